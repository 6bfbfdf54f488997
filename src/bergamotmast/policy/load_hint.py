"""Load that an upstream reports in its replies, with exponential decay."""

from __future__ import annotations

import math


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
