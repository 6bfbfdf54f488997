"""How fast an upstream really is, from the items that were started there.

Load pattern: prompts of which a large part is cached, mixed with decode work that slows
prefill down, so that the stated rates are off by a factor in either direction.

Without it: the door refuses prompts that a warm cache would have prefilled in time, or
admits what the batch then delays past its deadline.

Thresholds: sums are forgotten with a time constant of
:data:`RATE_TIME_CONSTANT_SECONDS` of busy time, a few hundred prefills, and a measured
rate is believed between :data:`MIN_RATE_RATIO` and :data:`MAX_RATE_RATIO` of the stated
one, so that a stretch of odd requests can neither close the door nor open it wide.
Until :data:`MIN_BUSY_SECONDS` were seen, the stated rate counts.
"""

from __future__ import annotations

import math

RATE_TIME_CONSTANT_SECONDS = 15.0
"""Busy seconds after which a measurement counts a third."""

MIN_BUSY_SECONDS = 1.0
"""Busy seconds needed before a measurement is believed."""

MIN_RATE_RATIO = 0.2
MAX_RATE_RATIO = 4.0
"""Bounds of what is believed, as shares of the stated rate."""

STEP_WEIGHT = 0.05
"""Weight of one finished answer in the measured time between tokens."""


class PrefillMeter:
    """Prompt tokens, cached ones included, a busy second.

    :param stated: the upstream's own figure.
    """

    def __init__(self, stated: float) -> None:
        self.stated = stated
        self.pending = 0
        self.marked_at = 0.0
        self.tokens = 0.0
        self.seconds = 0.0

    def begin(self, now: float) -> None:
        """Note a prefill handed over."""
        if self.pending == 0:
            self.marked_at = now
        self.pending += 1

    def end(self, tokens: int, now: float) -> None:
        """Note a prefill done, or given up with 0 tokens."""
        busy = max(0.0, now - self.marked_at)
        keep = math.exp(-busy / RATE_TIME_CONSTANT_SECONDS)
        self.tokens = keep * self.tokens + tokens
        self.seconds = keep * self.seconds + busy
        self.marked_at = now
        self.pending = max(0, self.pending - 1)

    def rate(self) -> float:
        """Return the rate to reckon with, in prompt tokens a second."""
        if self.seconds < MIN_BUSY_SECONDS:
            return self.stated
        measured = self.tokens / self.seconds
        return min(
            MAX_RATE_RATIO * self.stated, max(MIN_RATE_RATIO * self.stated, measured)
        )


class StepMeter:
    """Seconds between the tokens of one answer.

    :param stated: the same with a full batch, by the upstream's own figures.
    """

    def __init__(self, stated: float) -> None:
        self.stated = stated
        self.measured = stated

    def end(self, tokens: int, seconds: float) -> None:
        """Note an answer of so many tokens after its first, in so many seconds."""
        if tokens < 1:
            return
        weight = min(1.0, STEP_WEIGHT * math.sqrt(tokens))
        self.measured += weight * (seconds / tokens - self.measured)

    def seconds(self) -> float:
        """Return the time between tokens to reckon with."""
        most = self.stated / MIN_RATE_RATIO
        return min(most, max(self.stated / MAX_RATE_RATIO, self.measured))
