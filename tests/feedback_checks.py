"""Checks of a series in which replicas name limits, leave and ask for rest."""

from __future__ import annotations

import bisect
import collections
import collections.abc as cabc
import dataclasses

from limit_support import SPAN_SECONDS
from limit_support import STABLE_SECONDS
from limit_support import TOLD_SECONDS
from limit_support import allowed

DRAIN_SECONDS = 2.0
"""Time after a reply that tells so from which requests must not go to a replica."""

RESTING_SECONDS = 0.5
"""Time after a refusal from which the rest that it asks for must be kept to."""

RESTING_REQUESTS = 2
"""Requests that may arrive in a rest after that."""

SETTLING_SECONDS = 1.0
"""Time after a disturbance for which its entry is excused."""

MAX_FAILED_SHARE = 0.02
"""Share of the requests at undisturbed entries that may end without an answer, as a
connection crossed the end of a replica's or an entry's process."""


@dataclasses.dataclass(frozen=True)
class Note:
    """A line of the replicas' record.

    :param entry: number of the entry that sent the request.
    """

    what: str
    replica: int
    request: str
    at: float
    value: str

    @property
    def entry(self) -> int:
        return int(self.request.partition("-")[0][1:])


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A restart or a freeze of an entry, from its begin to its end."""

    entry: int
    begin: float
    end: float


@dataclasses.dataclass
class Asked:
    """A caller's request and its result; status 0 without an answer."""

    request: str
    sent_at: float
    status: int = 0
    retry_after: bool = False
    complete: bool = False

    @property
    def entry(self) -> int:
        return int(self.request.partition("-")[0][1:])


def read_notes(text: str) -> list[Note]:
    """Parse the replicas' record."""
    notes = []
    for line in text.splitlines():
        what, replica, request, at, value = line.split(" ")
        notes.append(Note(what, int(replica), request, float(at), value))
    return sorted(notes, key=lambda note: note.at)


class FeedbackCheck:
    """Compares what arrived at replicas to what they had told."""

    def __init__(
        self,
        notes: list[Note],
        asked: cabc.Iterable[Asked],
        disturbances: list[Disturbance],
    ) -> None:
        self.notes = notes
        self.asked = {each.request: each for each in asked}
        self.disturbances = disturbances

    def faults(self, phases: dict[int, list[list]]) -> list[str]:
        """Return all faults.

        :param phases: kind, begin, end and value of each phase, by replica.
        """
        faults = []
        for replica, of_replica in phases.items():
            for kind, begin, end, value in of_replica:
                if kind == "limit":
                    faults += self._limit_faults(replica, begin, end, value)
        faults += self._drain_faults()
        faults += self._rest_faults()
        faults += self._answer_faults()
        return faults

    def _is_excused(self, entry: int, begin: float, end: float) -> bool:
        """Return whether an entry was disturbed in a time."""
        return any(
            d.entry == entry and d.begin <= end and begin < d.end + SETTLING_SECONDS
            for d in self.disturbances
        )

    def _limit_faults(
        self, replica: int, begin: float, end: float, value: str
    ) -> list[str]:
        told: dict[int, float] = {}
        for note in self.notes:
            if (note.what, note.replica, note.value) == ("limit", replica, value):
                if begin <= note.at < end:
                    told.setdefault(note.entry, note.at)
        if not told:
            return []
        stable_at = min(told.values()) + STABLE_SECONDS
        counted = [
            note.at
            for note in self.notes
            if (note.what, note.replica) == ("arrives", replica)
            and stable_at <= note.at < end
            and note.at >= told.get(note.entry, end) + TOLD_SECONDS
            and not self._is_excused(note.entry, note.at - SPAN_SECONDS, note.at)
        ]
        ends = (bisect.bisect_left(counted, at + SPAN_SECONDS) for at in counted)
        most = max((last - first for first, last in enumerate(ends)), default=0)
        bound = allowed(float(value))
        if most <= bound:
            return []
        return [
            f"LIMIT: {most} requests in 4 s at {replica}, limit {value}, {bound:.0f}"
        ]

    def _drain_faults(self) -> list[str]:
        faults = []
        told: dict[tuple[int, int], float] = {}
        for note in self.notes:
            key = note.replica, note.entry
            if note.what == "leaving":
                told.setdefault(key, note.at)
            elif note.what == "arrives" and key in told:
                sent_at = self.asked[note.request].sent_at
                late = sent_at > told[key] + DRAIN_SECONDS
                if late and not self._is_excused(note.entry, told[key], note.at):
                    after = note.at - told[key]
                    faults.append(
                        f"DRAIN: {note.request} at {note.replica}, {after:.2f} s"
                    )
        return faults

    def _rest_faults(self) -> list[str]:
        faults = []
        arrivals = collections.defaultdict(list)
        for note in self.notes:
            if note.what == "arrives":
                arrivals[note.replica, note.entry].append(note.at)
        for note in self.notes:
            if note.what != "rest":
                continue
            times = arrivals[note.replica, note.entry]
            begin, end = note.at + RESTING_SECONDS, note.at + float(note.value)
            came = bisect.bisect_left(times, end) - bisect.bisect_right(times, begin)
            if came > RESTING_REQUESTS and not self._is_excused(
                note.entry, note.at, end
            ):
                faults.append(f"BUDGET: {came} requests in a rest of {note.value} s")
        return faults

    def _answer_faults(self) -> list[str]:
        faults = []
        runs = collections.Counter(
            note.request for note in self.notes if note.what == "runs"
        )
        calm = [
            each
            for each in self.asked.values()
            if not self._is_excused(each.entry, each.sent_at, each.sent_at + 8.0)
        ]
        for each in calm:
            if each.status not in (0, 200, 503):
                faults.append(f"{each.request}: status {each.status}")
            if each.status == 503 and not each.retry_after:
                faults.append(f"{each.request}: 503 without Retry-After")
            if each.status == 503 and runs[each.request]:
                faults.append(f"{each.request}: 503, and it ran")
            if each.status == 200 and not each.complete:
                faults.append(f"{each.request}: incomplete")
        lost = [each.request for each in calm if each.status == 0]
        if len(lost) > MAX_FAILED_SHARE * len(calm):
            faults.append(f"{len(lost)} of {len(calm)} without an answer: {lost[:5]}")
        for request, count in runs.items():
            if "-order-" in request and count > 1:
                faults.append(f"{request} ran {count} times")
        return faults
