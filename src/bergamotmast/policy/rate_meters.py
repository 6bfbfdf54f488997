"""Measured rates of an upstream: prefill throughput and time between tokens.

Load pattern: prompts with a large cached part, mixed with decode work that slows
prefill down, so that the nominal rates are wrong by a factor in either direction.

Without it: admission control refuses prompts that a warm cache would have prefilled in
time, or admits work that the batch then delays past its deadline.

Thresholds: sums decay with a time constant of :data:`RATE_TIME_CONSTANT_SECONDS` of
busy time, a few hundred prefills. A measured rate is limited to between
:data:`MIN_RATE_RATIO` and :data:`MAX_RATE_RATIO` of the nominal one, so that a run of
unusual requests can neither refuse nor admit everything. The nominal rate is used until
:data:`MIN_BUSY_SECONDS` have been measured.
"""

from __future__ import annotations

import math

RATE_TIME_CONSTANT_SECONDS = 15.0
"""Busy time after which a measurement's weight has decayed to about a third."""

MIN_BUSY_SECONDS = 1.0
"""Busy time needed before a measurement is used."""

MIN_RATE_RATIO = 0.2
MAX_RATE_RATIO = 4.0
"""Bounds of a measured rate, as multiples of the nominal rate."""

STEP_WEIGHT = 0.05
"""Weight of an answer in the moving average of the time between tokens, multiplied by
the square root of its number of tokens."""


class PrefillMeter:
    """Measures prompt tokens, cached ones included, per busy second.

    :param nominal: the upstream's nominal rate, in prompt tokens a second.
    :param pending: number of prefills that have begun and not ended.
    :param marked_at: until when busy time has been counted; a point in time.
    :param tokens: decayed sum of prefilled tokens.
    :param seconds: decayed sum of busy time.
    """

    def __init__(self, nominal: float) -> None:
        self.nominal = nominal
        self.pending = 0
        self.marked_at = 0.0
        self.tokens = 0.0
        self.seconds = 0.0

    def begin(self, now: float) -> None:
        """Record the start of a prefill."""
        if self.pending == 0:
            self.marked_at = now
        self.pending += 1

    def end(self, tokens: int, now: float) -> None:
        """Record the end of a prefill, with 0 tokens if it was aborted."""
        busy = max(0.0, now - self.marked_at)
        keep = math.exp(-busy / RATE_TIME_CONSTANT_SECONDS)
        self.tokens = keep * self.tokens + tokens
        self.seconds = keep * self.seconds + busy
        self.marked_at = now
        self.pending = max(0, self.pending - 1)

    def rate(self) -> float:
        """Return the estimated rate, in prompt tokens a second."""
        if self.seconds < MIN_BUSY_SECONDS:
            return self.nominal
        measured = self.tokens / self.seconds
        return min(
            MAX_RATE_RATIO * self.nominal, max(MIN_RATE_RATIO * self.nominal, measured)
        )


class StepMeter:
    """Measures the seconds between the tokens of one answer.

    :param nominal: nominal time between tokens with a full batch, in seconds.
    :param measured: moving average of the measured time, in seconds.
    """

    def __init__(self, nominal: float) -> None:
        self.nominal = nominal
        self.measured = nominal

    def end(self, tokens: int, seconds: float) -> None:
        """Record a finished answer.

        :param tokens: output tokens after the first one.
        :param seconds: time that they took.
        """
        if tokens < 1:
            return
        weight = min(1.0, STEP_WEIGHT * math.sqrt(tokens))
        self.measured += weight * (seconds / tokens - self.measured)

    def seconds(self) -> float:
        """Return the estimated time between tokens."""
        upper = self.nominal / MIN_RATE_RATIO
        return min(upper, max(self.nominal / MAX_RATE_RATIO, self.measured))
