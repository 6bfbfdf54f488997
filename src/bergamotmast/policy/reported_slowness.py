"""Slowness that an upstream reports of its machine, as far as it is true."""

from __future__ import annotations

import math

from .load_hint import DecayingSlowness
from .response_samples import DECAY_SECONDS
from .response_samples import MAX_LOG_RATIO

SLOWNESS_SECONDS = 0.3
"""Time constant of a reported slowness: spans last 0.6 s, of which half is left on
average."""

TRUST_WEIGHT = 0.5
"""Weight of the assumption that a reported slowness is true. Five answers in changing
spans of 2.5 times the usual time weigh as much."""


class ReportedSlowness:
    """Slowness that an upstream reports of its machine, and how far it is true.

    Answers tell how far times follow it: a slowness that is reported but not found in
    the times ceases to count. One that never changes is part of the upstream's level.

    :param machine: the reports. Only the latest counts, as it is answers that tell
        whether it is true.
    :param trust: exponent that the reported value counts with, from 0 to 1.
    """

    def __init__(self) -> None:
        self.machine = DecayingSlowness(
            SLOWNESS_SECONDS, weight=1.0, bound=math.exp(MAX_LOG_RATIO)
        )
        self.trust = 1.0
        self.sums = [0.0] * 5
        self.sums_at = -math.inf

    def report(self, slowness: float, now: float) -> None:
        """Record a report; one that can't be true is ignored."""
        self.machine.update(slowness, now)

    def reported(self, now: float) -> float:
        """Return the logarithm of the slowness that is expected from the reports."""
        return self.machine.estimate_log(now)

    def expected(self, now: float) -> float:
        """Return the logarithm of the factor by which answers take longer."""
        return self.trust * self.reported(now)

    def learn(self, reported: float, ratio: float, now: float) -> None:
        """Compare a report with the time of an answer; both are logarithms."""
        if not self.machine.is_reported:
            return
        factor = math.exp(min(0.0, self.sums_at - now) / DECAY_SECONDS)
        sample = (1.0, reported, ratio, reported * reported, reported * ratio)
        self.sums = [factor * a + b for a, b in zip(self.sums, sample, strict=True)]
        self.sums_at = now
        weight, x, y, xx, xy = self.sums
        common, spread = xy - x * y / weight, max(0.0, xx - x * x / weight)
        trust = (common + TRUST_WEIGHT) / (spread + TRUST_WEIGHT)
        self.trust = max(0.0, min(1.0, trust))
