"""Speeds of the engines of a group, learned from prefills that all entries measured.

Load pattern: dozens of entries, each of which sees a small part of the prefills;
engines of one group whose speeds differ by a factor of two or more, that slow down and
recover while they serve.

Without it: each entry predicts prefill times alone from a few samples of its own, and
is off by a factor of two for the first ten seconds; long prompts go to slow engines.

The group's times and an engine's speed can't be told apart by one sample. The times are
therefore fitted to samples divided by the engines' present factors, whose mean over the
engines is taken as 1: a slowdown of all engines changes the group's times, and a
slowdown of one its factor. A factor fades to 1 when no sample comes, so that an engine
that was slow gets prompts again and shows whether it has recovered.
"""

from __future__ import annotations

import collections
import math
import typing as t

from .prefill_model import MIN_SAMPLES
from .prefill_model import SAMPLES_BETWEEN_FITS
from .prefill_model import WINDOW_SAMPLES
from .prefill_model import PrefillSample
from .prefill_model import PrefillTimeModel

ENGINE_SAMPLES = 12
"""Most recent prefills of an engine that its factor follows: some two seconds of an
engine that prefills 150 announced prompts a second together with 26 others."""

DEVIATION_QUANTILE = 0.4
"""Weighted quantile of the deviations that is taken as typical. It is below the median,
since unknown queues make prefills longer."""

RECENT_SECONDS = 4.0
"""Time constant with which a sample's weight decays relative to newer ones."""

FADE_SECONDS = 10.0
"""Time constant with which the logarithm of a factor decays while no sample comes. An
engine that was believed 2.5 times as slow as its group counts as 1.4 times after it.
"""

FAST_FADE_SECONDS = 2.0
"""The same for an engine believed faster than its group. Such an engine gets prompts at
once. If it gets no sample nevertheless, all of them met a queue: it has slowed down and
attracts more than it can take, which a lasting factor would keep up."""

PRIOR_SAMPLES = 0.5
"""Weight, in samples, of the assumption that an engine is as fast as its group."""

EQUAL_LOG = 0.1
"""Deviation, on a log scale, up to which an engine counts as fast as its group. All
entries see the same samples: without it, they all prefer the engine that a few of them
show as a little faster, and its queue grows (replayed: with 12 equal engines, 0.842 of
the prompts were in time instead of 0.86)."""

DISTINCT_LOG = 0.3
"""Deviation from which an engine's factor is taken as it was measured."""

MAX_LOG_FACTOR = math.log(8.0)
"""Bound of a factor's logarithm, in either direction."""

FACTOR_TTL_SECONDS = 0.1
"""Time for which a computed factor is used: a placement reads it several times for each
engine."""

MIN_FIT_INTERVAL_SECONDS = 1.0
"""Time between two fits once the window is full. A fit takes 2.6 ms; with the samples
of 30 entries, one for every four samples would take a tenth of a processor."""


class EngineSample(t.NamedTuple):
    """A measured prefill of an engine.

    :param model: times of the role that the engine had.
    :param at: when it ended; a point in time.
    """

    model: PrefillTimeModel
    tokens: int
    cached: int
    seconds: float
    at: float

    @property
    def deviation(self) -> float:
        """Logarithm of the ratio of its time to the group's."""
        return math.log(self.seconds / self.model.times.seconds(*self[1:3]))


class EngineSpeed:
    """Ratio of one engine's prefill times to its group's usual ones.

    :param samples: its latest prefills.
    :param deviation: typical deviation of the samples, on a log scale.
    :param evidence: weight of the samples.
    :param learned_at: when the latest sample ended; a point in time.
    :param fits: number of fits of the models that ``deviation`` refers to.
    :param computed: the factor as computed last, valid until ``valid_until``, a point
        in time.
    """

    def __init__(self) -> None:
        self.samples: collections.deque[EngineSample] = collections.deque(
            maxlen=ENGINE_SAMPLES
        )
        self.deviation = 0.0
        self.evidence = 0.0
        self.learned_at = -math.inf
        self.fits = 0
        self.computed = 1.0
        self.valid_until = -math.inf

    def add(self, sample: EngineSample) -> None:
        """Add a measured prefill."""
        self.samples.append(sample)
        self.learned_at = sample.at
        self._update()

    def factor(self, now: float) -> float:
        """Return the ratio; above 1 the engine is slower than its group."""
        if now >= self.valid_until:
            self.computed = math.exp(_without_noise(self.log(now)))
            self.valid_until = now + FACTOR_TTL_SECONDS
        return self.computed

    def log(self, now: float) -> float:
        """Return the logarithm of the ratio as measured."""
        if not self.samples:
            return 0.0
        if self.fits != self._count_fits():
            self._update()
        age = max(0.0, now - self.learned_at)
        known = self.evidence / (self.evidence + PRIOR_SAMPLES)
        seconds = FADE_SECONDS if self.deviation > 0.0 else FAST_FADE_SECONDS
        return self.deviation * known * math.exp(-age / seconds)

    def _count_fits(self) -> int:
        return sum(model.fits for model in {sample.model for sample in self.samples})

    def _update(self) -> None:
        """Compute the typical deviation from the models' present fits."""
        weighted = sorted(
            (
                sample.deviation,
                math.exp(min(0.0, sample.at - self.learned_at) / RECENT_SECONDS),
            )
            for sample in self.samples
        )
        self.evidence = sum(weight for _, weight in weighted)
        left = DEVIATION_QUANTILE * self.evidence
        for deviation, weight in weighted:
            left -= weight
            if left <= 0.0:
                self.deviation = max(-MAX_LOG_FACTOR, min(MAX_LOG_FACTOR, deviation))
                break
        self.fits = self._count_fits()
        self.valid_until = -math.inf


class SharedPrefills:
    """Fits the times of a group's engines in one role to all entries' samples.

    :param samples: the latest prefills and the speed of the engine of each.
    :param fitted_at: when they were last fitted; a point in time.
    """

    def __init__(self, model: PrefillTimeModel) -> None:
        self.model = model
        self.samples: collections.deque[tuple[EngineSpeed, EngineSample]] = (
            collections.deque(maxlen=WINDOW_SAMPLES)
        )
        self.samples_since_fit = 0
        self.fitted_at = -math.inf

    def learn(
        self, speed: EngineSpeed, tokens: int, cached: int, seconds: float, now: float
    ) -> None:
        """Add the time of a prefill without a queue, and fit if it is time."""
        if tokens <= 0 or not 0.0 < seconds < math.inf:
            return
        sample = EngineSample(self.model, tokens, cached, seconds, now)
        speed.add(sample)
        self.samples.append((speed, sample))
        self.samples_since_fit += 1
        if self._is_fit_due(now):
            self._fit(now)

    def _is_fit_due(self, now: float) -> bool:
        if self.samples_since_fit < SAMPLES_BETWEEN_FITS:
            return False
        if len(self.samples) < WINDOW_SAMPLES:
            return len(self.samples) >= MIN_SAMPLES
        return now >= self.fitted_at + MIN_FIT_INTERVAL_SECONDS

    def _fit(self, now: float) -> None:
        self.samples_since_fit = 0
        self.fitted_at = now
        logs = {speed: speed.log(now) for speed, _ in self.samples}
        mean = sum(logs.values()) / len(logs)
        self.model.fit(
            [
                PrefillSample.of(
                    sample.tokens,
                    sample.cached,
                    sample.seconds / math.exp(logs[speed] - mean),
                )
                for speed, sample in self.samples
            ]
        )


def _without_noise(log: float) -> float:
    """Return a deviation with small ones taken as 0."""
    above = max(0.0, abs(log) - EQUAL_LOG) * DISTINCT_LOG / (DISTINCT_LOG - EQUAL_LOG)
    return math.copysign(min(abs(log), above), log)
