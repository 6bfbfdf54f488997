"""Upstreams that have said in a reply that they leave."""

from __future__ import annotations

import collections.abc as cabc

from .model import Upstream
from .model import UpstreamKey


class SaidLeaving:
    """What upstreams have said holds until they end, whatever the store says.

    :param since: when each of them said it, by name and boot; points in time.
    """

    def __init__(self) -> None:
        self.since: dict[UpstreamKey, float] = {}

    def __contains__(self, upstream: Upstream) -> bool:
        """Return whether an upstream has said that it leaves."""
        return upstream.key in self.since

    def add(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream leaves."""
        self.since[upstream.key] = now

    def forget(self, registered: cabc.Container[UpstreamKey], before: float) -> None:
        """Drop the upstreams that are gone.

        :param registered: incarnations that are kept.
        :param before: others are kept if they have said it later; a point in time.
        """
        self.since = {
            key: at
            for key, at in self.since.items()
            if key in registered or at >= before
        }
