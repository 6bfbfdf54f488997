"""Detection of unresponsive engines: liveness probes and cancellation of calls."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import math

from ..errors import ReplyLostError
from .model import Upstream
from .model import UpstreamKey
from .placer import RequestPlacer
from .ports import LivenessProbe

logger = logging.getLogger(__name__)

WATCHDOG_INTERVAL_SECONDS = 0.15
"""Interval between two checks of a running call."""

FailureListener = cabc.Callable[[Upstream, float], None]
"""Receives an engine whose probe failed, and when the probe was sent."""

AbortCheck = cabc.Callable[[], cabc.Awaitable[str]]
"""Returns why a call is to be cancelled, or an empty string to let it run."""


@contextlib.asynccontextmanager
async def abort_when(check: AbortCheck) -> cabc.AsyncIterator[None]:
    """Cancel the body as soon as a check returns a reason.

    A power loss or a dead connection causes no error. With the call's deadline as the
    only limit, the caller would disconnect before another engine has taken over.

    :raises ReplyLostError: with the reason that the check returned.
    """
    reasons: list[str] = []
    try:
        async with asyncio.timeout(None) as limit:
            poll_task = asyncio.create_task(_poll_check(check, limit, reasons))
            try:
                yield
            finally:
                poll_task.cancel()
    except TimeoutError:
        # Without a reason, the operating system has timed the connection out.
        reason = reasons[0] if reasons else "the connection timed out"
        raise ReplyLostError(reason) from None


async def _poll_check(
    check: AbortCheck, limit: asyncio.Timeout, reasons: list[str]
) -> None:
    while not (reason := await check()):
        await asyncio.sleep(WATCHDOG_INTERVAL_SECONDS)
    reasons.append(reason)
    limit.reschedule(asyncio.get_running_loop().time())


class LivenessChecker:
    """Probes unresponsive engines, with at most one probe per engine at a time.

    Without probes, every prompt that queues behind a long one would be withdrawn from
    an engine that is only busy and restarted at the next one, which then falls behind
    as well.

    :param liveness_probe: if missing, an unresponsive engine is considered dead.
    :param running_probes: running probes, by engine.
    :param alive_until: until when engines that have asked for rest count as alive, once
        they have replied to a probe; points in time.
    :param on_failed: receives failed probes; ``None`` if nobody is notified.
    """

    def __init__(
        self, placer: RequestPlacer, liveness_probe: LivenessProbe | None = None
    ) -> None:
        self.placer = placer
        self.liveness_probe = liveness_probe
        self.running_probes: dict[UpstreamKey, asyncio.Task[bool]] = {}
        self.alive_until: dict[UpstreamKey, float] = {}
        self.on_failed: FailureListener | None = None

    async def is_alive(self, engine: Upstream) -> bool:
        """Return whether an engine replies to the liveness probe."""
        if self.liveness_probe is None:
            return False
        key = engine.key
        now = asyncio.get_running_loop().time()
        if now < self.alive_until.get(key, -math.inf):
            return True
        task = self.running_probes.get(key)
        if task is None:
            task = asyncio.create_task(self._run_probe(self.liveness_probe, engine))
            self.running_probes[key] = task
            task.add_done_callback(lambda _: self.running_probes.pop(key, None))
        # Other requests may wait for the same probe: if this one is cancelled, the
        # probe must go on.
        return await asyncio.shield(task)

    def _spare(self, engine: Upstream) -> None:
        """Don't probe an engine again until the rest ends that it has asked for."""
        now = asyncio.get_running_loop().time()
        rest_ends_at = self.placer.fleet.resting.ends_at(engine)
        self.alive_until = {k: at for k, at in self.alive_until.items() if now < at}
        if rest_ends_at is not None:
            self.alive_until[engine.key] = rest_ends_at

    async def _run_probe(self, liveness_probe: LivenessProbe, engine: Upstream) -> bool:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        is_alive = await liveness_probe.probe(engine)
        if is_alive:
            self.placer.engine_load(engine).last_reply_at = loop.time()
            self.placer.reachability.on_reply(engine.key, loop.time())
            self._spare(engine)
        else:
            self.placer.reachability.on_lost(engine.key, started_at)
            if self.on_failed is not None:
                self.on_failed(engine, started_at)
        ms = round((loop.time() - started_at) * 1e3, 1)
        logger.info(
            "silent engine is asked",
            extra={"upstream": engine.name, "lives": is_alive, "ms": ms},
        )
        return is_alive
