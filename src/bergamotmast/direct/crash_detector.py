"""Detection of upstreams that crashed while they ran requests.

A lost connection alone does not mean that an upstream has crashed: it may have been
reset on the way, or closed by an upstream that is alive. A crash is assumed if the
upstream's address refuses connections right after the loss, or if its registration is
removed or replaced within seconds. The assumption is withdrawn if the upstream replies
to a later request and is still registered as the same incarnation seconds after that.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import logging

from ..crashes.model import Incarnation
from ..crashes.model import LostRun
from ..crashes.quarantine import EXPLANATION_SECONDS
from ..crashes.quarantine import CrashObserver
from ..telemetry import Telemetry
from .fleet import Fleet
from .model import Upstream
from .ports import ConnectionProbe

logger = logging.getLogger(__name__)

GATHER_SECONDS = 0.02
"""Time in which all runs that are lost with one upstream become known."""

POLL_SECONDS = 0.25
"""Interval between two checks of a registration."""

CRASH_RETENTION_SECONDS = 60.0
"""How long a crash is remembered, for runs whose loss becomes known later."""

MAX_LOGGED_RUNS = 32
"""Maximum number of lost runs, and of parts of their prompts, in one log line."""


@dataclasses.dataclass(slots=True)
class Losses:
    """Runs lost with one incarnation of an upstream; points in time.

    :param last_at: when the last loss became known.
    :param disconnected: whether one of the connections ended by itself.
    :param crashed: whether a crash is assumed.
    :param replied: whether the upstream has replied since.
    """

    upstream: Upstream
    last_at: float
    runs: dict[str, LostRun] = dataclasses.field(default_factory=dict)
    disconnected: bool = False
    crashed: bool = False
    replied: bool = False


class CrashDetector:
    """Detects crashes of upstreams from the runs that this entry has lost.

    :param probe: probe of an upstream's address; without one, only registrations tell.
    :param losses: lost runs by incarnation, until they are explained or forgotten.
    :param tasks: running checks.
    """

    def __init__(
        self,
        fleet: Fleet,
        telemetry: Telemetry,
        probe: ConnectionProbe | None = None,
        observer: CrashObserver | None = None,
    ) -> None:
        self.fleet = fleet
        self.telemetry = telemetry
        self.probe = probe
        self.observer = observer
        self.losses: dict[Incarnation, Losses] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def __bool__(self) -> bool:
        """Return whether any run was lost lately."""
        return bool(self.losses)

    def unexplained(self, fingerprint: str) -> int:
        """Return how many lost runs of a request may turn out to be crashes."""
        return sum(
            fingerprint in losses.runs
            for losses in self.losses.values()
            if not losses.crashed
        )

    def on_run_lost(
        self, upstream: Upstream, run: LostRun, *, disconnected: bool
    ) -> None:
        """Record a run whose reply was lost.

        :param disconnected: whether the connection ended by itself; otherwise the
            upstream fell silent.
        """
        now = asyncio.get_running_loop().time()
        key = Incarnation(upstream.name, upstream.boot)
        losses = self.losses.get(key)
        if losses is None:
            if not self._is_in_service(upstream):
                return
            losses = self.losses[key] = Losses(upstream, now)
            self._spawn(self._check(key, losses))
        losses.last_at = now
        losses.disconnected = losses.disconnected or disconnected
        if run.fingerprint in losses.runs:
            return
        losses.runs[run.fingerprint] = run
        if losses.crashed:
            self._notify_crash(key, [run])

    def on_reply(self, upstream: Upstream, sent_at: float) -> None:
        """Record an upstream's reply, which rules out an earlier crash.

        :param sent_at: when the request was sent; a point in time.
        """
        key = Incarnation(upstream.name, upstream.boot)
        losses = self.losses.get(key)
        if losses is None or sent_at <= losses.last_at or losses.replied:
            return
        if losses.crashed:
            losses.replied = True
            self._spawn(self._reconsider(key, losses))
        else:
            del self.losses[key]

    def _is_in_service(self, upstream: Upstream) -> bool:
        """Return whether an incarnation is registered and not shutting down."""
        registered = self.fleet.registered(upstream.name)
        return (
            registered is not None
            and registered.boot == upstream.boot
            and not registered.leaving
        )

    async def _check(self, key: Incarnation, losses: Losses) -> None:
        """Find out whether an upstream has crashed."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(GATHER_SECONDS)
        if losses.disconnected and self.probe is not None:
            if await self.probe.is_refused(losses.upstream.address):
                self._confirm(key, losses, "refused")
        while loop.time() < losses.last_at + EXPLANATION_SECONDS:
            registered = self.fleet.registered(losses.upstream.name)
            if registered is not None and registered.leaving:
                break
            if registered is None or registered.boot != losses.upstream.boot:
                self._confirm(key, losses, "registration")
            if losses.crashed:
                break
            if self.losses.get(key) is not losses:
                return
            await asyncio.sleep(POLL_SECONDS)
        if losses.crashed:
            await asyncio.sleep(CRASH_RETENTION_SECONDS)
        if self.losses.get(key) is losses:
            del self.losses[key]

    async def _reconsider(self, key: Incarnation, losses: Losses) -> None:
        """Withdraw the assumption of a crash, unless the upstream has started again.

        It may be back under the same name before its new registration is known here.
        """
        await asyncio.sleep(EXPLANATION_SECONDS)
        losses.replied = False
        registered = self._is_in_service(losses.upstream)
        if not registered or self.losses.get(key) is not losses:
            return
        del self.losses[key]
        logger.info(
            "upstream has not crashed",
            extra={"upstream": key.name, "boot": key.boot},
        )
        if self.observer is not None:
            self.observer.on_survival(key, list(losses.runs.values()))

    def _spawn(self, work: cabc.Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _confirm(self, key: Incarnation, losses: Losses, reason: str) -> None:
        """Assume that an upstream has crashed, unless it was shutting down."""
        registered = self.fleet.registered(losses.upstream.name)
        leaving = registered is not None and registered.leaving
        if losses.crashed or leaving or self.losses.get(key) is not losses:
            return
        losses.crashed = True
        runs = list(losses.runs.values())
        self.telemetry.on_crash(losses.upstream.group, len(runs))
        logger.info(
            "upstream has crashed",
            extra={
                "upstream": losses.upstream.name,
                "boot": losses.upstream.boot,
                "address": losses.upstream.address,
                "told_by": reason,
                "runs": len(runs),
                "requests": [run.fingerprint for run in runs[:MAX_LOGGED_RUNS]],
                "parts": _common_parts(runs),
            },
        )
        self._notify_crash(key, runs)

    def _notify_crash(self, key: Incarnation, runs: cabc.Sequence[LostRun]) -> None:
        if self.observer is not None:
            self.observer.on_crash(key, runs)


def _common_parts(runs: cabc.Sequence[LostRun]) -> dict[str, int]:
    """Return in how many lost runs each part of a prompt was, most first."""
    counts = collections.Counter(part for run in runs for part in run.parts)
    return dict(counts.most_common(MAX_LOGGED_RUNS))
