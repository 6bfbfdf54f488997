"""Rate limiting of model and adapter loads to the weight store's transfer rate."""

from __future__ import annotations

import collections.abc as cabc

DEFAULT_VERSION_GIGABYTES = 100.0
"""Assumed size of a version that the weight store doesn't list."""


class WeightPacer:
    """Starts a load only when the earlier ones should have finished.

    All loads share the store's rate. If all engines began to load together after an
    edit, each load would take as long as all of them, and every engine of the fleet
    would be between two versions. One after another, the first load finishes early
    and the last no later.

    :param sizes: size of each version, in gigabytes.
    :param rate: transfer rate that all loads share, in gigabytes per second.
    :param free_at: time when the loads begun so far should have finished, in seconds
        on the clock of ``now``.
    """

    def __init__(self) -> None:
        self.sizes: cabc.Mapping[str, float] = {}
        self.rate = 0.0
        self.free_at = 0.0

    def configure(self, sizes: cabc.Mapping[str, float], rate: float) -> None:
        """Set the sizes and the rate that the weight store reports."""
        self.sizes = sizes
        self.rate = rate

    def may_begin(self, now: float) -> bool:
        """Return whether a load may begin; never before :meth:`configure`."""
        return self.rate > 0.0 and now >= self.free_at

    def begin(self, versions: cabc.Iterable[str], now: float) -> None:
        """Record the start of a load; :meth:`may_begin` must have allowed it."""
        gigabytes = sum(self.sizes.get(v, DEFAULT_VERSION_GIGABYTES) for v in versions)
        self.free_at = max(now, self.free_at) + gigabytes / self.rate
