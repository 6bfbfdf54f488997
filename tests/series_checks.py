"""Results of a series of stops as callers and replicas see them, and their checks."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import re
import time

from series_plan import Plan

KILL_TIMEOUT_SECONDS = 8.0
"""Time from SIGTERM until the platform kills an entry."""

MAX_ANSWER_SECONDS = 6.9
"""Time from SIGTERM after which an answer may be cut off."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
FAILED_AT_REPLICA_STATUSES = frozenset({502, 504})
STREAM_PATHS = ("/talk/", "/long/")
AT_MOST_ONCE_PATHS = ("/order/", "/talk/")


@dataclasses.dataclass
class EntryIncarnation:
    """One process of an entry, as the platform sees it.

    Its points in time are 0.0 until they are known.

    :param entry: number of the entry.
    :param handle: pidfd of the process.
    :param signals: signals sent to the process.
    """

    entry: int
    process: asyncio.subprocess.Process
    handle: int
    signals: set[int] = dataclasses.field(default_factory=set)
    ready_at: float = 0.0
    sigterm_at: float = 0.0
    killed_at: float = 0.0
    ended_at: float = 0.0

    def fault(self) -> str:
        """Return what is wrong with the end of the process, or an empty string."""
        code = self.process.returncode
        if code is None or self.killed_at:
            return ""
        if not self.sigterm_at:
            return f"entry-{self.entry} ended by itself with {code}"
        seconds = self.ended_at - self.sigterm_at
        if seconds > KILL_TIMEOUT_SECONDS:
            return f"entry-{self.entry} ended {seconds:.2f} s after SIGTERM"
        # A signal ends the process by default before its handlers are installed and
        # after they are removed, and the process has no requests then.
        if code == 0 or -code in self.signals or not self.ready_at:
            return ""
        return f"entry-{self.entry} ended with {code}"


@dataclasses.dataclass
class SentRequest:
    """A request and its result, as its caller knows them.

    :param status: HTTP status; 0 if the response is missing or incomplete.
    :param complete: whether the response was complete according to HTTP.
    """

    request_id: str
    target: str
    incarnation: EntryIncarnation
    status: int = 0
    complete: bool = False
    body: bytes = b""
    began_at: float = dataclasses.field(default_factory=time.monotonic)
    ended_at: float = 0.0

    def fault(self, runs: int, plan: Plan) -> str:
        """Return what is wrong with the result, or an empty string.

        :param runs: how often replicas received the request.
        """
        if runs > 1 and self.target.startswith(AT_MOST_ONCE_PATHS):
            return "ran twice"
        if self.status == 0:
            return "cut off" if runs and not self._may_be_lost() else ""
        if self.status in NOT_RUN_STATUSES:
            return "not run, it was told" if runs else ""
        if self.status in FAILED_AT_REPLICA_STATUSES:
            replicas_close = plan.replica_restarts or plan.replica_idle < 1.0
            return "" if replicas_close else "lost without a cause"
        if self.status != 200:
            return "no answer to this request"
        return self._answer_fault()

    def describe(self, fault: str, runs: int) -> str:
        """Format a fault with everything that is known about the request."""
        sigterm_at = self.incarnation.sigterm_at
        began, ended = self.began_at - sigterm_at, self.ended_at - sigterm_at
        after = (
            f"{began:.3f} to {ended:.3f} s after SIGTERM"
            if sigterm_at
            else "no SIGTERM"
        )
        return (
            f"{fault}: {self.request_id} {self.target} at "
            f"entry-{self.incarnation.entry}, status {self.status}, {runs} runs, "
            f"{after}"
        )

    def _may_be_lost(self) -> bool:
        """Return whether the request may be lost.

        It may if it was in flight when its entry was killed, or if it ended too long
        after SIGTERM.
        """
        incarnation = self.incarnation
        if incarnation.killed_at:
            return self.ended_at >= incarnation.killed_at
        too_late = self.ended_at - incarnation.sigterm_at > MAX_ANSWER_SECONDS
        return bool(incarnation.sigterm_at) and too_late

    def _answer_fault(self) -> str:
        if not self.target.startswith(STREAM_PATHS):
            fine = self.body == f"fine {self.request_id}".encode()
            return "" if fine else "another body"
        last = int(self.target.rpartition("=")[2])
        numbers = [int(n) for n in re.findall(rb"id: (\d+)\n", self.body)]
        if numbers != list(range(1, len(numbers) + 1)):
            return f"events {numbers}"
        if self.complete:
            return "" if len(numbers) == last else f"whole with {len(numbers)} events"
        return "" if self._may_be_lost() else f"broken after {len(numbers)} events"


@dataclasses.dataclass
class SeriesReport:
    """Result of a series.

    :param faults: descriptions of everything that must not happen.
    :param statuses: number of requests by status.
    :param refused: number of attempts to connect while no entry listened.
    :param longest_refusal_seconds: longest time from such an attempt to the next
        connection.
    :param none_ready_seconds: total time in which no entry reported itself ready.
    """

    faults: list[str]
    statuses: dict[int, int]
    refused: int
    longest_refusal_seconds: float
    none_ready_seconds: float


def find_faults(
    plan: Plan,
    sent: list[SentRequest],
    incarnations: list[EntryIncarnation],
    received: list[str],
) -> list[str]:
    """Return descriptions of everything that must not happen, one line each.

    :param received: ids of the requests that replicas received.
    """
    runs = collections.Counter(received)
    faults = ["" if received else "no request reached a replica"]
    faults += [incarnation.fault() for incarnation in incarnations]
    for each in sent:
        fault = each.fault(runs[each.request_id], plan)
        faults.append(fault and each.describe(fault, runs[each.request_id]))
    return [fault for fault in faults if fault]
