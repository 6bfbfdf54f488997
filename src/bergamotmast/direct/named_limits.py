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


class NamedLimits:
    """The limits of all upstreams, as this entry knows them.

    :param limits: limits that are or were in force, by the hash of the upstream's
        incarnation.
    """

    def __init__(self, fleet: Fleet, telemetry: Telemetry) -> None:
        self.fleet = fleet
        self.telemetry = telemetry
        self.limits: dict[int, NamedLimit] = {}

    def of(self, key: int) -> NamedLimit:
        """Return the limit of an upstream.

        :param key: hash of the upstream's incarnation.
        """
        return self.limits.get(key, NamedLimit())

    def on_reply(self, upstream: Upstream, rate: float, sent_at: float) -> None:
        """Apply the limit that a reply names.

        :param rate: infinity if it names none.
        :param sent_at: when the request was sent; a point in time.
        """
        if rate == NO_LIMIT and not self.limits:
            return
        key = upstream_hash(upstream)
        if rate == NO_LIMIT and key not in self.limits:
            return
        now = asyncio.get_running_loop().time()
        self._set(key, self.of(key).after_reply(rate, sent_at, now), "reply")

    def learn(self, key: int, limit: NamedLimit) -> None:
        """Apply what another entry knows."""
        known = self.of(key)
        newest = known.merged(limit)
        if newest is not known:
            self._set(key, newest, "another entry")

    def _set(self, key: int, limit: NamedLimit, told_by: str) -> None:
        """Replace the limit of an upstream and log a change of it."""
        if key not in self.limits:
            self._forget_departed()
        known = self.of(key)
        self.limits[key] = limit
        if limit.rate == known.rate:
            return
        now = asyncio.get_running_loop().time()
        fields: dict[str, object] = {"upstream": self._name(key), "told_by": told_by}
        if known.rate != NO_LIMIT:
            fields["before"] = known.rate
            fields["known_ms"] = round((now - known.known_at) * 1e3, 1)
        if limit.rate == NO_LIMIT:
            logger.info("upstream limits its requests no more", extra=fields)
        else:
            fields["limit"] = limit.rate
            logger.info("upstream limits its requests", extra=fields)
        limited = sum(limit.rate != NO_LIMIT for limit in self.limits.values())
        self.telemetry.on_limited_upstreams(limited)

    def _name(self, key: int) -> str:
        """Return the name of an upstream; empty if it is not registered here."""
        for record in self.fleet.upstream_records.values():
            if upstream_hash(record.upstream) == key:
                return record.upstream.name
        return ""

    def _forget_departed(self) -> None:
        """Drop the limits of upstreams that are gone."""
        oldest = asyncio.get_running_loop().time() - DEPARTED_RETENTION_SECONDS
        present = {
            upstream_hash(record.upstream)
            for record in self.fleet.upstream_records.values()
        }
        self.limits = {
            key: limit
            for key, limit in self.limits.items()
            if key in present or limit.known_at > oldest
        }
