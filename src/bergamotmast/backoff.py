"""Exponential backoff with full jitter for retries."""

from __future__ import annotations

import random

INITIAL_DELAY_SECONDS = 0.2
MAX_DELAY_SECONDS = 5.0


class Backoff:
    """Exponentially growing delays with full jitter.

    After an outage of the key-value service every process of the fleet retries. With
    equal delays the retries would arrive together and overload the service again.
    Drawing each delay uniformly between zero and the current bound spreads them.

    :param rng: source of the jitter.
    :param initial: bound of the first delay, seconds.
    :param maximum: maximum that the bound grows to, seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        initial: float = INITIAL_DELAY_SECONDS,
        maximum: float = MAX_DELAY_SECONDS,
    ) -> None:
        self.rng = rng
        self.initial = initial
        self.maximum = maximum
        self.bound = initial

    def next_delay(self) -> float:
        """Return the next delay, in seconds, and double the bound."""
        delay = self.rng.uniform(0.0, self.bound)
        self.bound = min(self.bound * 2, self.maximum)
        return delay

    def reset(self) -> None:
        """Reset the bound to its first value after a success."""
        self.bound = self.initial
