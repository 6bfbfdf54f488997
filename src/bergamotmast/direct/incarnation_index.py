"""Index of the registered upstreams by which messages between entries name them."""

from __future__ import annotations

import math

from .fleet import Fleet
from .model import Upstream
from .placer import upstream_hash

INDEX_SECONDS = 1.0
"""How long the index is used before it is built again."""


class IncarnationIndex:
    """Registered upstreams by the hash of their incarnation.

    :param upstreams: the upstreams as of the last refresh.
    :param valid_until: when they are read again; a point in time.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.upstreams: dict[int, Upstream] = {}
        self.valid_until = -math.inf

    def refresh(self, now: float) -> bool:
        """Build the index again if it is due; return whether it was."""
        if now < self.valid_until:
            return False
        self.valid_until = now + INDEX_SECONDS
        self.upstreams = {
            upstream_hash(record.upstream): record.upstream
            for record in self.fleet.upstream_records.values()
        }
        return True

    def expire(self) -> None:
        """Have it built again at the next refresh."""
        self.valid_until = -math.inf
