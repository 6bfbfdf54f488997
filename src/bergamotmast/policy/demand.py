"""Demand of a group of engines: the smoothed rate of the tokens offered to it.

Load pattern: bursts of seconds on top of a mix that changes over minutes.

Without it: a rate between two reports is mostly noise, and an average over the day
never changes. The meter smooths over a time constant chosen by its user.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math

from .interfaces import EngineView


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Offered work, in tokens a second."""

    prefill: float
    decode: float


class DemandMeter:
    """Exponential moving average of the demand, computed from cumulative counters.

    :param seconds: time constant.
    :param last_counters: last prefill and decode counter of each engine, in tokens.
    :param observed_at: time of the last observation; a point in time.
    :param weight: sum of the weights of all observations, from 0 to 1.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.last_counters: dict[str, tuple[int, int]] = {}
        self.observed_at: float | None = None
        self.prefill = 0.0
        self.decode = 0.0
        self.weight = 0.0

    def observe(self, engines: cabc.Sequence[EngineView], now: float) -> None:
        """Update the demand from the engines' counters.

        A counter that fell belongs to a restarted side, so its whole value is new. A
        newly seen engine adds nothing yet, as its counter covers an unknown time.
        """
        prefill, decode = 0, 0
        for engine in engines:
            increase = self._increase(engine)
            prefill += increase[0]
            decode += increase[1]
        if self.observed_at is not None and now > self.observed_at:
            self._smooth(prefill, decode, now - self.observed_at)
        self.observed_at = now

    def _increase(self, engine: EngineView) -> tuple[int, int]:
        assert engine.report is not None
        count = (engine.report.offered_prefill, engine.report.offered_decode)
        last = self.last_counters.get(engine.name)
        self.last_counters[engine.name] = count
        if last is None:
            return (0, 0)
        if count[0] < last[0] or count[1] < last[1]:
            return count
        return (count[0] - last[0], count[1] - last[1])

    def _smooth(self, prefill: int, decode: int, seconds: float) -> None:
        keep = math.exp(-seconds / self.seconds)
        self.prefill = keep * self.prefill + (1.0 - keep) * prefill / seconds
        self.decode = keep * self.decode + (1.0 - keep) * decode / seconds
        self.weight = keep * self.weight + (1.0 - keep)

    def demand(self) -> Demand:
        """Return the smoothed demand; 0 before the second observation."""
        if self.weight <= 0.0:
            return Demand(0.0, 0.0)
        return Demand(self.prefill / self.weight, self.decode / self.weight)
