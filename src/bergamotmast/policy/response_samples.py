"""Samples of response times by range of fill, which lose their weight with time."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math
import typing as t

DECAY_SECONDS = 5.0
"""Time constant with which samples lose their weight."""

STEPS_PER_FILL = 4
"""Number of ranges of fill between idle and full."""

MAX_FILL = 2.0
"""Largest fill, relative to the slots, that times are learned for."""

STEPS = int(MAX_FILL * STEPS_PER_FILL) + 1
"""Number of ranges of fill."""

MAX_LOG_RATIO = math.log(16.0)
"""Largest ratio to the usual time that one sample counts with."""

MIN_SCALE = 1e-9
"""Scale of decayed sums below which they are worked out anew."""

SHAPE = tuple(math.log(max(1.0, step / STEPS_PER_FILL)) for step in range(STEPS))
"""Logarithm of an unlearned upstream's time by range of fill, relative to its time when
idle: requests beyond the slots wait for one. A shape learned for the group attributed
the slowdown of one upstream to others that were never idle."""


class ResponseSums:
    """Decaying sums of samples, by range of fill.

    All sums have a common scale, so that a decay costs the same for any number of
    ranges.

    :param weights: weight of the samples.
    :param totals: weighted sum of the logarithms of their ratios.
    :param weight_sum: weight of all samples.
    :param excess_sum: weighted sum of what they exceed :data:`SHAPE` by.
    :param scale: factor that all sums are to be multiplied by.
    :param at: time up to which they have decayed; a point in time.
    """

    def __init__(self, now: float) -> None:
        self.weights = [0.0] * STEPS
        self.totals = [0.0] * STEPS
        self.weight_sum = 0.0
        self.excess_sum = 0.0
        self.scale = 1.0
        self.at = now

    @property
    def weight(self) -> float:
        """Weight of all samples."""
        return self.weight_sum * self.scale

    @property
    def excess(self) -> float:
        """Weighted sum of what all samples exceed the shape by."""
        return self.excess_sum * self.scale

    def decay(self, now: float) -> None:
        """Let the samples lose weight up to a point in time."""
        if now <= self.at:
            return
        self.scale *= math.exp((self.at - now) / DECAY_SECONDS)
        self.at = now
        if self.scale < MIN_SCALE:
            self._rescale()

    def _rescale(self) -> None:
        """Multiply all sums by their scale, which gets too small for later samples."""
        self.weights = [weight * self.scale for weight in self.weights]
        self.totals = [total * self.scale for total in self.totals]
        self.weight_sum *= self.scale
        self.excess_sum *= self.scale
        self.scale = 1.0

    def add(self, step: int, value: float, now: float) -> None:
        """Add one sample."""
        self.decay(now)
        self._add(step, 1.0, value)

    def merge(self, steps: cabc.Mapping[int, tuple[float, float]], now: float) -> None:
        """Add the weights and totals of other samples, by range."""
        self.decay(now)
        for step, (weight, total) in steps.items():
            self._add(step, weight, total)

    def _add(self, step: int, weight: float, total: float) -> None:
        weight /= self.scale
        total /= self.scale
        self.weights[step] += weight
        self.totals[step] += total
        self.weight_sum += weight
        self.excess_sum += total - weight * SHAPE[step]

    def steps(self) -> dict[int, tuple[float, float]]:
        """Return the weight and the total of each range that has samples."""
        return {
            step: (self.weights[step] * self.scale, self.totals[step] * self.scale)
            for step in range(STEPS)
            if self.weights[step]
        }

    def shift(self, value: float) -> None:
        """Change the scale of all samples by the logarithm of a factor."""
        for step in range(STEPS):
            self.totals[step] += value * self.weights[step]
        self.excess_sum += value * self.weight_sum


@dataclasses.dataclass(frozen=True, slots=True)
class Fill:
    """Requests that an upstream runs, in ranges of its slots."""

    position: float

    @classmethod
    def of(cls, running: float, slots: int) -> Fill:
        """Return the fill of an upstream with so many slots."""
        position = STEPS_PER_FILL * max(0.0, running) / max(1, slots)
        return cls(min(STEPS - 1.0, position))

    @property
    def step(self) -> int:
        """Number of the range that it is in."""
        return round(self.position)

    def value(self, curve: t.Sequence[float]) -> float:
        """Return the value of a curve."""
        lower = min(STEPS - 2, int(self.position))
        share = self.position - lower
        return curve[lower] + share * (curve[lower + 1] - curve[lower])
