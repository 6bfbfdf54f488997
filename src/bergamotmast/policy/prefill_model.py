"""Prefill time model of a group of engines, fitted to the prefills they have done.

Load pattern: engines of unknown makes, some of a group slower than others; prompts that
differ in length a hundredfold; queues filled by other entries.

Without it: prefill times are predicted for engines of another make. If they are half
the actual times, every engine seems free and prompts queue behind each other while
others idle; if they are twice the actual times, callers are refused that could have
been served.

A prefill takes a fixed time for the call and the first step, a time for each token, and
a time for each pair of a token and one before it (attention): 50,000 tokens take half
again as long as five times 10,000. The three coefficients are fitted to the latest
prefills that met no queue, with less weight for outliers: an unknown queue makes a
prefill longer, a prefix cached without this entry's knowledge makes it shorter. The
time from the end of a prefill to the first token at another engine is learned in the
same way.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing as t

WINDOW_SAMPLES = 48
"""Most recent prefills that are fitted."""

MIN_SAMPLES = 6
"""Prefills needed for the first fit."""

SAMPLES_BETWEEN_FITS = 4
"""New prefills after which the fit is repeated."""

SCALE_QUANTILE = 0.4
"""Quantile of the ratios of actual times to the prior that scales the prior. It is
below the median, since queues make prefills longer."""

WIDTH_STRETCHES = (4.0, 3.0, 2.0, 1.5, 1.0, 1.0)
"""Factors on the outlier widths, one for each round of iteratively reweighted fitting.
They start wide: at first, a long prompt is far off because its pairs cost more than the
prior says."""

SLOWER_LOG_WIDTH = 0.15
"""Log ratio to the fit at which a prefill that took longer has half its weight."""

FASTER_LOG_WIDTH = 0.3
"""Log ratio to the fit at which a prefill that took less time has half its weight."""

PRIOR_WEIGHT = 0.05
"""Weight of the scaled prior, in samples: a few prefills of one length can't separate
the three coefficients."""

MAX_PRIOR_FACTOR = 5.0
"""Bound of each coefficient relative to the scaled prior, in either direction."""

TIME_RATIO_WEIGHT = 0.25
"""Weight of a new prefill in an engine's time ratio, on a log scale."""

MAX_TIME_RATIO_STEP = 0.5
"""Bound of the deviation, as a log ratio, that one prefill may contribute."""

MAX_TIME_RATIO = 8.0
"""Bound of an engine's time ratio to its group, in either direction."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillTimes:
    """Coefficients of the prefill time, in seconds.

    :param fixed: for each call, without occupying the engine.
    :param token: for each uncached token.
    :param pair: for each pair of an uncached token and one before it.
    """

    fixed: float
    token: float
    pair: float

    def occupied_seconds(self, tokens: int, cached: int) -> float:
        """Return how long a prefill keeps its engine from other prompts.

        :param tokens: prompt tokens that are not cached.
        :param cached: cached tokens before them.
        """
        return tokens * self.token + _pairs(tokens, cached) * self.pair

    def seconds(self, tokens: int, cached: int) -> float:
        """Return how long a prefill takes without a queue."""
        return self.fixed + self.occupied_seconds(tokens, cached)


PREFILL_ENGINE_PRIOR = PrefillTimes(fixed=0.015, token=1 / 45_000, pair=0.4e-9)
"""Prior for engines in the prefill role."""

DECODE_ENGINE_PRIOR = PrefillTimes(fixed=0.02, token=1 / 22_000, pair=0.8e-9)
"""Prior for engines that also decode: they prefill between decode steps, at half the
speed."""


TRANSFER_PRIOR = PrefillTimes(fixed=0.02, token=1.6e-6, pair=0.0)
"""Prior of the time from the end of a prefill to the first token at another engine."""


class PrefillSample(t.NamedTuple):
    """A prefill without a queue, divided by its engine's ratio.

    :param pairs: pairs of an uncached token and one before it.
    """

    tokens: int
    pairs: float
    seconds: float

    @classmethod
    def of(cls, tokens: int, cached: int, seconds: float) -> PrefillSample:
        """Return the sample of a prefill of uncached tokens after cached ones."""
        return cls(tokens, _pairs(tokens, cached), seconds)


class PrefillTimeModel:
    """Prefill times of a group's engines in one role, normalised to the group's speed.

    :param times: the present fit.
    :param fits: number of fits so far.
    """

    def __init__(self, prior: PrefillTimes) -> None:
        self.prior = prior
        self.times = prior
        self.fits = 0
        self.samples: collections.deque[PrefillSample] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self.samples_since_fit = 0

    def learn(self, tokens: int, cached: int, seconds: float) -> None:
        """Add the time of a prefill without a queue, divided by the engine's ratio."""
        if tokens <= 0 or seconds <= 0.0:
            return
        self.samples.append(PrefillSample.of(tokens, cached, seconds))
        self.samples_since_fit += 1
        if (
            len(self.samples) >= MIN_SAMPLES
            and self.samples_since_fit >= SAMPLES_BETWEEN_FITS
        ):
            self.samples_since_fit = 0
            self.fit(self.samples)

    def fit(self, samples: t.Collection[PrefillSample]) -> None:
        """Fit the times to samples."""
        self.times = _fit(self.prior, samples)
        self.fits += 1


class EngineTimeRatio:
    """Ratio of one engine's prefill times to its group's usual ones."""

    def __init__(self) -> None:
        self.log = 0.0

    @property
    def factor(self) -> float:
        """The ratio; above 1 the engine is slower than its group."""
        return math.exp(self.log)

    def learn(self, expected: float, seconds: float) -> None:
        """Update the ratio from an actual time and the one expected of the group."""
        if expected <= 0.0 or seconds <= 0.0:
            return
        deviation = math.log(seconds / expected) - self.log
        self.log += TIME_RATIO_WEIGHT * max(
            -MAX_TIME_RATIO_STEP, min(MAX_TIME_RATIO_STEP, deviation)
        )
        max_log = math.log(MAX_TIME_RATIO)
        self.log = max(-max_log, min(max_log, self.log))


def _pairs(tokens: int, cached: int) -> float:
    return tokens * (cached + tokens / 2)


def _fit(prior: PrefillTimes, samples: t.Collection[PrefillSample]) -> PrefillTimes:
    """Return the coefficients that fit the samples best, near a scaled prior."""
    scale = _scale(prior, samples)
    start = (prior.fixed * scale, prior.token * scale, prior.pair * scale)
    factors = [1.0, 1.0, 1.0]
    for stretch in WIDTH_STRETCHES:
        factors = _refit(start, factors, samples, stretch)
    return PrefillTimes(
        *(part * factor for part, factor in zip(start, factors, strict=True))
    )


def _scale(prior: PrefillTimes, samples: t.Collection[PrefillSample]) -> float:
    ratios = sorted(
        sample.seconds
        / (prior.fixed + sample.tokens * prior.token + sample.pairs * prior.pair)
        for sample in samples
    )
    return ratios[int(len(ratios) * SCALE_QUANTILE)]


def _refit(
    start: tuple[float, float, float],
    factors: t.Sequence[float],
    samples: t.Iterable[PrefillSample],
    stretch: float,
) -> list[float]:
    """Return better factors of the coefficients by weighted least squares of ratios."""
    matrix = [[PRIOR_WEIGHT * (i == j) for j in range(3)] for i in range(3)]
    rhs = [PRIOR_WEIGHT] * 3
    for sample in samples:
        parts = (start[0], sample.tokens * start[1], sample.pairs * start[2])
        expected = sum(p * f for p, f in zip(parts, factors, strict=True))
        ratio = sample.seconds / expected
        weight = _weight(math.log(ratio) / stretch)
        row = [part / expected for part in parts]
        for i in range(3):
            rhs[i] += weight * row[i] * ratio
            for j in range(3):
                matrix[i][j] += weight * row[i] * row[j]
    solved = _solve(matrix, rhs)
    return [
        max(1 / MAX_PRIOR_FACTOR, min(MAX_PRIOR_FACTOR, factor)) for factor in solved
    ]


def _weight(log_ratio: float) -> float:
    width = SLOWER_LOG_WIDTH if log_ratio > 0.0 else FASTER_LOG_WIDTH
    return 1.0 / (1.0 + (log_ratio / width) ** 2)


def _solve(matrix: list[list[float]], rhs: list[float]) -> list[float]:
    """Solve linear equations with a positive definite matrix."""
    rows = [[*row, value] for row, value in zip(matrix, rhs, strict=True)]
    for i, pivot in enumerate(rows):
        for j, row in enumerate(rows):
            if j != i:
                factor = row[i] / pivot[i]
                rows[j] = [a - factor * b for a, b in zip(row, pivot, strict=True)]
    return [row[-1] / row[i] for i, row in enumerate(rows)]
