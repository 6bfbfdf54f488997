"""Limits on the requests a second that upstreams name in their replies."""

from __future__ import annotations

import asyncio
import logging

from ..policy.named_limit import NO_LIMIT
from ..policy.named_limit import NamedLimit
from ..telemetry import Telemetry
from .fleet import DEPARTED_RETENTION_SECONDS
from .fleet import Fleet
from .model import Upstream
from .placer import upstream_hash

logger = logging.getLogger(__name__)


class RateLimits:
    """The limits of all upstreams, as this entry knows them.

    :param named: limits that are or were in force, by the hash of the upstream's
        incarnation.
    """

    def __init__(self, fleet: Fleet, telemetry: Telemetry) -> None:
        self.fleet = fleet
        self.telemetry = telemetry
        self.named: dict[int, NamedLimit] = {}

    def on_reply(self, upstream: Upstream, rate: float, sent_at: float) -> None:
        """Apply the limit that a reply names.

        :param rate: infinity if it names none.
        :param sent_at: when the request was sent; a point in time.
        """
        key = upstream_hash(upstream)
        known = self.named.get(key)
        if known is None and rate == NO_LIMIT:
            return
        known = known or NamedLimit()
        now = asyncio.get_running_loop().time()
        self._set(key, known, known.after_reply(rate, sent_at, now), upstream.name)

    def _set(
        self, key: int, known: NamedLimit, named: NamedLimit, upstream: str
    ) -> None:
        """Replace the limit of an upstream and log a change of it."""
        if key not in self.named:
            self._forget_departed()
        self.named[key] = named
        if named.rate == known.rate:
            return
        now = asyncio.get_running_loop().time()
        fields: dict[str, object] = {"upstream": upstream}
        if known.rate != NO_LIMIT:
            fields["before"] = known.rate
            fields["known_ms"] = round((now - known.known_at) * 1e3, 1)
        if named.rate == NO_LIMIT:
            logger.info("upstream limits its requests no more", extra=fields)
        else:
            fields["limit"] = named.rate
            logger.info("upstream limits its requests", extra=fields)
        limited = sum(limit.rate != NO_LIMIT for limit in self.named.values())
        self.telemetry.on_limited_upstreams(limited)

    def _forget_departed(self) -> None:
        """Drop the limits of upstreams that are gone."""
        oldest = asyncio.get_running_loop().time() - DEPARTED_RETENTION_SECONDS
        present = {
            upstream_hash(record.upstream)
            for record in self.fleet.upstream_records.values()
        }
        self.named = {
            key: named
            for key, named in self.named.items()
            if key in present or named.known_at > oldest
        }
