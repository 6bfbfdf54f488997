"""How long engines take to read a prompt, learned from what reads have taken.

Load pattern: engines of makes nobody has told of, some of a group slower than others;
prompts that differ in length a hundredfold; queues that other entries have filled.

Without it: reads are predicted for engines of another make. Half as long as they take,
every engine seems free, and prompts wait behind each other where others idle; twice as
long, callers are turned away that would have been served.

A read takes a fixed time for the call and the first step, a time for each token, and
one for each pair of a token and one before it: 50,000 tokens take half again as long as
their share of 10,000. The three are fitted to the latest reads that met no queue, with
less weight for those far off: a queue that nobody told of makes a read longer, a prompt
whose beginning was kept unknown to this entry makes it shorter. The time from the end
of a read to the first token at another engine is learned in the same way.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing as t

from ..model import Role

WINDOW_SAMPLES = 48
"""Reads that are fitted; later ones take the place of the oldest."""

MIN_SAMPLES = 6
"""Reads with which the first fit is made."""

SAMPLES_BETWEEN_FITS = 4
"""New reads after which the fit is made again."""

SCALE_QUANTILE = 0.4
"""Where the ratio of what reads took to the first guess is taken: below the middle,
since queues make reads longer."""

WIDTH_STRETCHES = (4.0, 3.0, 2.0, 1.5, 1.0, 1.0)
"""Rounds of fitting, each with the weights that the last one leads to, and by how much
the widths are stretched in it: at first, a long prompt is far off because its pairs
cost more than guessed."""

SLOWER_LOG_WIDTH = 0.15
"""Log ratio to the fit at which a read that took longer has half its weight."""

FASTER_LOG_WIDTH = 0.3
"""The same for one that took less time."""

PRIOR_WEIGHT = 0.05
"""Reads that the scaled first guess counts for: a few of one length don't tell
the three parts from each other."""

MAX_PRIOR_FACTOR = 5.0
"""Bound of each part against the scaled first guess."""

TIME_RATIO_WEIGHT = 0.25
"""Weight of a new read in an engine's pace, on a log scale."""

MAX_TIME_RATIO_STEP = 0.5
"""Bound of the log ratio by which one read may pull the pace."""

MAX_TIME_RATIO = 8.0
"""Bound of an engine's pace against its group's, either way."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillTimes:
    """What reads take, in seconds.

    :param fixed: of each call, without holding up other reads.
    :param token: of each token to read.
    :param pair: of each pair of a token to read and one before it.
    """

    fixed: float
    token: float
    pair: float

    def occupied_seconds(self, tokens: int, cached: int) -> float:
        """Return how long a read keeps its engine from others.

        :param tokens: to read.
        :param cached: tokens before them that need not be read.
        """
        return tokens * self.token + _pairs(tokens, cached) * self.pair

    def seconds(self, tokens: int, cached: int) -> float:
        """Return how long a read takes that meets no queue."""
        return self.fixed + self.occupied_seconds(tokens, cached)


PREFILL_ENGINE_PRIOR = PrefillTimes(fixed=0.015, token=1 / 45_000, pair=0.4e-9)
"""First guess for engines that only read."""

DECODE_ENGINE_PRIOR = PrefillTimes(fixed=0.02, token=1 / 22_000, pair=0.8e-9)
"""First guess for engines that make answers too: between their tokens, they read at
half the speed."""


TRANSFER_PRIOR = PrefillTimes(fixed=0.02, token=1.6e-6, pair=0.0)
"""First guess of the time from a read to the first token at another engine."""


class _Read(t.NamedTuple):
    tokens: int
    pairs: float
    seconds: float


class PrefillTimeModel:
    """The reads of a group's engines in one role, at the pace of the group.

    :param times: what reads are taken to take.
    """

    def __init__(self, guess: PrefillTimes) -> None:
        self.guess = guess
        self.times = guess
        self.reads: collections.deque[_Read] = collections.deque(maxlen=WINDOW_SAMPLES)
        self.unfitted = 0

    def learn(self, tokens: int, cached: int, seconds: float) -> None:
        """Take what a read took that met no queue, divided by its engine's pace."""
        if tokens <= 0 or seconds <= 0.0:
            return
        self.reads.append(_Read(tokens, _pairs(tokens, cached), seconds))
        self.unfitted += 1
        if len(self.reads) >= MIN_SAMPLES and self.unfitted >= SAMPLES_BETWEEN_FITS:
            self.unfitted = 0
            self.times = _fit(self.guess, self.reads)


class GroupPrefillTimes:
    """The reads of one group's engines in each role, and the transfers between them."""

    def __init__(self) -> None:
        self.prefill_engines = PrefillTimeModel(PREFILL_ENGINE_PRIOR)
        self.decode_engines = PrefillTimeModel(DECODE_ENGINE_PRIOR)
        self.transfers = PrefillTimeModel(TRANSFER_PRIOR)

    def of(self, role: Role) -> PrefillTimeModel:
        """Return the reads of engines in a role."""
        return self.prefill_engines if role is Role.PREFILL else self.decode_engines


class EngineTimeRatio:
    """How many times longer than its group's usual one engine takes."""

    def __init__(self) -> None:
        self.log = 0.0

    @property
    def factor(self) -> float:
        """The engine's time against the group's."""
        return math.exp(self.log)

    def learn(self, expected: float, seconds: float) -> None:
        """Compare what a read took with what the group would take."""
        if expected <= 0.0 or seconds <= 0.0:
            return
        off = math.log(seconds / expected) - self.log
        self.log += TIME_RATIO_WEIGHT * max(
            -MAX_TIME_RATIO_STEP, min(MAX_TIME_RATIO_STEP, off)
        )
        most = math.log(MAX_TIME_RATIO)
        self.log = max(-most, min(most, self.log))


def _pairs(tokens: int, cached: int) -> float:
    return tokens * (cached + tokens / 2)


def _fit(guess: PrefillTimes, reads: t.Collection[_Read]) -> PrefillTimes:
    """Return the times that fit some reads best, near a multiple of the first guess."""
    scale = _scale(guess, reads)
    start = (guess.fixed * scale, guess.token * scale, guess.pair * scale)
    factors = [1.0, 1.0, 1.0]
    for stretch in WIDTH_STRETCHES:
        factors = _refit(start, factors, reads, stretch)
    return PrefillTimes(
        *(part * factor for part, factor in zip(start, factors, strict=True))
    )


def _scale(guess: PrefillTimes, reads: t.Collection[_Read]) -> float:
    ratios = sorted(
        read.seconds
        / (guess.fixed + read.tokens * guess.token + read.pairs * guess.pair)
        for read in reads
    )
    return ratios[int(len(ratios) * SCALE_QUANTILE)]


def _refit(
    start: tuple[float, float, float],
    factors: t.Sequence[float],
    reads: t.Iterable[_Read],
    stretch: float,
) -> list[float]:
    """Return better factors of the three parts: weighted least squares of ratios."""
    matrix = [[PRIOR_WEIGHT * (i == j) for j in range(3)] for i in range(3)]
    right = [PRIOR_WEIGHT] * 3
    for read in reads:
        parts = (start[0], read.tokens * start[1], read.pairs * start[2])
        expected = sum(p * f for p, f in zip(parts, factors, strict=True))
        ratio = read.seconds / expected
        weight = _weight(math.log(ratio) / stretch)
        row = [part / expected for part in parts]
        for i in range(3):
            right[i] += weight * row[i] * ratio
            for j in range(3):
                matrix[i][j] += weight * row[i] * row[j]
    solved = _solve(matrix, right)
    return [
        max(1 / MAX_PRIOR_FACTOR, min(MAX_PRIOR_FACTOR, factor)) for factor in solved
    ]


def _weight(log_ratio: float) -> float:
    width = SLOWER_LOG_WIDTH if log_ratio > 0.0 else FASTER_LOG_WIDTH
    return 1.0 / (1.0 + (log_ratio / width) ** 2)


def _solve(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve linear equations whose matrix is positive definite."""
    rows = [[*row, value] for row, value in zip(matrix, right, strict=True)]
    for i, pivot in enumerate(rows):
        for j, row in enumerate(rows):
            if j != i:
                factor = row[i] / pivot[i]
                rows[j] = [a - factor * b for a, b in zip(row, pivot, strict=True)]
    return [row[-1] / row[i] for i, row in enumerate(rows)]
