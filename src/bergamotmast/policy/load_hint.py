"""What an upstream says of its load, which counts less as it ages."""

from __future__ import annotations

import math


class DecayingLoadHint:
    """An upstream's word on the work that others than this entry have given it.

    :param seconds: time constant with which it fades.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.reported = 0
        self.at = -math.inf

    def update(self, running: int, waiting: int, own: int, now: float) -> None:
        """Take the upstream's word on all its work, this entry's own included."""
        self.reported = max(0, running + waiting - own)
        self.at = now

    def estimate(self, now: float) -> float:
        """Return how much work of others is thought to be there."""
        age = max(0.0, now - self.at)
        return self.reported * math.exp(-age / self.seconds)
