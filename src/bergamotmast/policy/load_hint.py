"""Load and slowness that an upstream reports, with exponential decay."""

from __future__ import annotations

import math

SLOWNESS_SECONDS = 0.6
"""Time constant with which a reported slowness decays to 1: machines shared with others
are slow for spans of some 0.6 s."""

SLOWNESS_WEIGHT = 0.5
"""Weight of a new report, on a log scale. The figure changes many times a second, and
placements can't follow each change."""

MAX_SLOWNESS = 8.0
"""Bound of a reported slowness, in either direction; the report may be false."""


class DecayingLoadHint:
    """Estimate of the work that others than this entry have at an upstream.

    :param seconds: time constant of the decay.
    :param reported: reported requests of others.
    :param reported_at: when they were reported; a point in time.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.reported = 0
        self.reported_at = -math.inf

    def update(self, running: int, waiting: int, own: int, now: float) -> None:
        """Record the upstream's reported load.

        :param own: this entry's requests, which the report includes.
        """
        self.reported = max(0, running + waiting - own)
        self.reported_at = now

    def estimate(self, now: float) -> float:
        """Return the estimated number of requests of others."""
        age = max(0.0, now - self.reported_at)
        return self.reported * math.exp(-age / self.seconds)


class DecayingSlowness:
    """How long work takes at an upstream's machine, relative to the usual.

    :param seconds: time constant of the decay.
    :param weight: weight of a new report, on a log scale; with 1, only the latest one
        counts.
    :param bound: bound of a reported slowness, in either direction.
    :param log: natural logarithm of the smoothed reports at ``reported_at``, a point in
        time.
    """

    def __init__(
        self,
        seconds: float = SLOWNESS_SECONDS,
        weight: float = SLOWNESS_WEIGHT,
        bound: float = MAX_SLOWNESS,
    ) -> None:
        self.seconds = seconds
        self.weight = weight
        self.bound = bound
        self.log = 0.0
        self.reported_at = -math.inf

    @property
    def is_reported(self) -> bool:
        """Whether there has been a report."""
        return self.reported_at > -math.inf

    def update(self, slowness: float, now: float) -> None:
        """Record a reported slowness; one that can't be true is ignored."""
        if not (math.isfinite(slowness) and slowness > 0.0):
            return
        reported = math.log(max(1.0 / self.bound, min(self.bound, slowness)))
        known = self.estimate_log(now)
        self.log = (1.0 - self.weight) * known + self.weight * reported
        self.reported_at = now

    def estimate(self, now: float) -> float:
        """Return the estimated slowness."""
        return math.exp(self.estimate_log(now)) if self.log else 1.0

    def estimate_log(self, now: float) -> float:
        """Return the natural logarithm of the estimated slowness."""
        if not self.log:
            return 0.0
        age = max(0.0, now - self.reported_at)
        return self.log * math.exp(-age / self.seconds)
