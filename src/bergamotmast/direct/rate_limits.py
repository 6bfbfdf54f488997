"""Sends to upstreams that limit their requests, and refusal where none is in time."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging
import math

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_refusal import ReturnSchedule
from ..policy.named_limit import NO_LIMIT
from .fleet import Fleet
from .model import Upstream
from .named_limits import NamedLimits
from .placer import upstream_hash
from .slot_exchange import SlotExchange

logger = logging.getLogger(__name__)


class RateLimits:
    """Decides when this entry may send to upstreams that limit their requests.

    :param free_at: when the next send may be at the earliest, as far as known, and the
        limit for which this was worked out, by the hash of the upstream's incarnation;
        points in time.
    :param returns: when refused callers return, by group.
    """

    def __init__(
        self, fleet: Fleet, limits: NamedLimits, exchange: SlotExchange
    ) -> None:
        self.fleet = fleet
        self.limits = limits
        self.exchange = exchange
        self.free_at: dict[int, tuple[float, float]] = {}
        self.returns: dict[str, ReturnSchedule] = {}

    def rate(self, upstream: Upstream) -> float:
        """Return the limit of an upstream in requests a second; infinity for none."""
        if not self.limits.limits:
            return NO_LIMIT
        return self.limits.of(upstream_hash(upstream)).rate

    def next_at(self, upstream: Upstream) -> float:
        """Return when the next request may be sent at the earliest, as far as known."""
        free_at, rate = self.free_at.get(upstream_hash(upstream), (-math.inf, NO_LIMIT))
        return free_at if rate == self.rate(upstream) else -math.inf

    async def reserve(self, upstream: Upstream, latest: float) -> float | None:
        """Return when a request may be sent, or ``None`` if not in time.

        :param latest: latest time at which it may be sent; a point in time.
        """
        now = asyncio.get_running_loop().time()
        if self.rate(upstream) == NO_LIMIT:
            return now
        if self.next_at(upstream) > latest:
            return None
        key = upstream_hash(upstream)
        slot = await self.exchange.reserve(key, latest)
        if key not in self.free_at:
            self._forget_departed()
        self.free_at[key] = slot.next_at, self.rate(upstream)
        return slot.at

    def refusal(self, group: str, upstreams: cabc.Collection[Upstream]) -> RequestError:
        """Return the error of a request for which no upstream has room.

        :param upstreams: the upstreams that would be suitable.
        """
        now = asyncio.get_running_loop().time()
        entries = self.fleet.entry_share.entries(self.fleet.entries, now)
        rate = sum(self.rate(upstream) for upstream in upstreams) / entries
        free_at = min((self.next_at(u) for u in upstreams), default=now)
        schedule = self.returns.setdefault(group, ReturnSchedule())
        seconds = schedule.next_return(rate, max(now, free_at), now) - now
        logger.info(
            "request exceeds the limits of upstreams",
            extra={
                "group": group,
                "limits": {u.name: self.rate(u) for u in upstreams},
                "free_ms": round(max(0.0, free_at - now) * 1e3, 1),
            },
        )
        return RequestError(ResultCode.UPSTREAMS_LIMITED, retry_after=seconds)

    def _forget_departed(self) -> None:
        self.free_at = {
            key: free for key, free in self.free_at.items() if key in self.limits.limits
        }
