"""Paces loads of models and adapters to the rate of the weight store."""

from __future__ import annotations

import collections.abc as cabc

UNKNOWN_GIGABYTES = 100.0
"""Assumed of a version whose size the store does not tell."""


class WeightPacer:
    """Lets one load begin when those before it should have ended.

    All loads share the store's rate. Begun together after an edit, they would each
    take as long as all of them, with every engine of the fleet between two versions;
    one after another, the first is done in its own time and the last no later.

    :param sizes: gigabytes of each version.
    :param rate: gigabytes a second that all loads share.
    :param free_at: when the loads begun so far should have ended.
    """

    def __init__(self) -> None:
        self.sizes: cabc.Mapping[str, float] = {}
        self.rate = 0.0
        self.free_at = 0.0

    def configure(self, sizes: cabc.Mapping[str, float], rate: float) -> None:
        """Learn the store's sizes and rate."""
        self.sizes = sizes
        self.rate = rate

    def may_begin(self, now: float) -> bool:
        """Return whether a load may begin; never before the store was read."""
        return self.rate > 0.0 and now >= self.free_at

    def begin(self, versions: cabc.Iterable[str], now: float) -> None:
        """Count a load that begins; :meth:`may_begin` must have allowed it."""
        gigabytes = sum(self.sizes.get(v, UNKNOWN_GIGABYTES) for v in versions)
        self.free_at = max(now, self.free_at) + gigabytes / self.rate
