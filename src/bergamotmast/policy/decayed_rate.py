"""Rate of events with weights, as an exponentially decayed sum."""

from __future__ import annotations

import math


class DecayedRate:
    """Rate of the last seconds; what is older counts exponentially less.

    :param seconds: time constant of the decay.
    :param total: decayed sum.
    :param at: until when it has decayed; a point in time.
    """

    __slots__ = ("at", "seconds", "total")

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.total = 0.0
        self.at = -math.inf

    def add(self, weight: float, now: float) -> None:
        """Record an event."""
        self.total = self.sum(now) + weight
        self.at = max(self.at, now)

    def sum(self, now: float) -> float:
        """Return the decayed sum of the weights."""
        if self.total == 0.0 or now <= self.at:
            return self.total
        return self.total * math.exp((self.at - now) / self.seconds)

    def rate(self, now: float) -> float:
        """Return the weight a second."""
        return self.sum(now) / self.seconds
