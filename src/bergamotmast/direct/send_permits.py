"""Permits of one request to be sent to upstreams that limit their requests."""

from __future__ import annotations

import asyncio
import math

from ..errors import RequestError
from ..policy.named_limit import NO_LIMIT
from .context import Context
from .model import Call
from .model import Upstream
from .model import UpstreamKey
from .placer import UpstreamsLimitedError
from .placer import UpstreamsRestingError

MAX_WAIT_SHARE = 0.5
"""Share of the latency objective for which a request waits for a permit. A longer queue
would answer all requests late; those beyond it are refused at once."""

MIN_INVESTED_WAIT_SECONDS = 0.5
"""How long a request at least waits that is not to be refused any more: its prompt has
been prefilled, or its caller has received events."""

MAX_HELD_SECONDS = 1.0
"""How long a permit may be used late, as after a long prefill. Late sends add to those
that are due."""


class SendPermits:
    """Permits of one request; an upstream without a limit needs none.

    Implements :class:`~.placer.Permits`.

    :param invested: whether a refusal would waste what has been done for the request.
    :param held: when it may be sent, by upstream that it has not been sent to yet;
        points in time.
    """

    def __init__(self, context: Context, call: Call) -> None:
        self.context = context
        self.limits = context.rate_limits
        self.call = call
        self.invested = False
        self.held: dict[UpstreamKey, float] = {}

    def latest(self, now: float, lost_seconds: float = 0.0) -> float:
        """Return until when the request can wait for a permit; a point in time.

        :param lost_seconds: time that is not counted as waited.
        """
        if self.invested:
            until = self.call.caller_timeout_at
            return max(until, now + MIN_INVESTED_WAIT_SECONDS)
        patience = MAX_WAIT_SHARE * self.call.route.objective
        return max(now, self.call.arrived_at + lost_seconds + patience)

    def wait(self, upstream: Upstream, now: float) -> float:
        """Return for how many seconds the request would wait at least for a permit."""
        return max(0.0, self._earliest(upstream, now) - now)

    def is_obtainable(self, upstream: Upstream, now: float) -> bool:
        """Return whether the request may get a permit in time."""
        return self._earliest(upstream, now) <= self.latest(now)

    async def reserve(self, upstream: Upstream) -> bool:
        """Reserve a permit that is used later; return whether there is one in time."""
        now = asyncio.get_running_loop().time()
        if self.limits.rate(upstream) == NO_LIMIT or self.holds(upstream, now):
            return True
        at = await self.limits.reserve(upstream, self.latest(now))
        if at is None:
            return False
        self.held[upstream.key] = at
        return True

    async def take(self, upstream: Upstream) -> bool:
        """Wait until a permit is due; return whether the request may be sent then.

        It may not if there is no permit in time, or if the upstream has meanwhile begun
        to leave or asked for rest.
        """
        if not await self.reserve(upstream):
            # The choice of an upstream is made anew, and must not keep the event loop.
            await asyncio.sleep(0)
            return False
        at = self.held.pop(upstream.key, -math.inf)
        delay = at - asyncio.get_running_loop().time()
        if delay > 0.0:
            await asyncio.sleep(delay)
        now = asyncio.get_running_loop().time()
        return self.context.fleet.takes_requests(upstream, now)

    def holds(self, upstream: Upstream, now: float) -> bool:
        """Return whether a permit is held that may still be used."""
        return self._held_at(upstream, now) is not None

    def refusal(self, error: UpstreamsLimitedError) -> RequestError:
        """Return the error of the request, with the time at which to come back."""
        self._note_full(error)
        if isinstance(error, UpstreamsRestingError):
            resting = self.context.fleet.resting
            return resting.refusal(
                self.call.group.name, error.upstreams, self.context.rng
            )
        return self.limits.refusal(self.call.group.name, error.upstreams)

    def _note_full(self, error: UpstreamsLimitedError) -> None:
        """Record that the upstreams that respond have no room for the request.

        One that is late for a permit as it has lost time elsewhere does not count.
        """
        share = self.call.share
        if share is None:
            return
        now = asyncio.get_running_loop().time()
        latest = self.latest(now, share.lost_seconds)
        is_reachable = self.context.placer.reachability.is_reachable
        if isinstance(error, UpstreamsRestingError) or any(
            is_reachable(upstream.key) and self._earliest(upstream, now) > latest
            for upstream in error.upstreams
        ):
            share.on_full()

    def _earliest(self, upstream: Upstream, now: float) -> float:
        """Return when the request may be sent at the earliest, as far as known."""
        held_at = self._held_at(upstream, now)
        return self.limits.next_at(upstream) if held_at is None else held_at

    def _held_at(self, upstream: Upstream, now: float) -> float | None:
        """Return when a permit that is held is due; ``None`` if there is none."""
        at = self.held.get(upstream.key)
        if at is None or now > at + MAX_HELD_SECONDS:
            return None
        return at
