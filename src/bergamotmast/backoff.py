"""Exponential backoff with full jitter for retries."""

from __future__ import annotations

import random

FIRST_DELAY_SECONDS = 0.2
LONGEST_DELAY_SECONDS = 5.0


class Backoff:
    """Exponentially growing delays with full jitter.

    After an outage of the key-value service every process of the fleet retries. With
    equal delays the retries would arrive together and overload the service again.
    Drawing each delay uniformly between zero and the current bound spreads them.

    :param rng: source of the jitter.
    :param first: bound of the first delay, seconds.
    :param longest: maximum that the bound grows to, seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        first: float = FIRST_DELAY_SECONDS,
        longest: float = LONGEST_DELAY_SECONDS,
    ) -> None:
        self.rng = rng
        self.first = first
        self.longest = longest
        self.bound = first

    def next_delay(self) -> float:
        """Return the next delay, in seconds, and double the bound."""
        delay = self.rng.uniform(0.0, self.bound)
        self.bound = min(self.bound * 2, self.longest)
        return delay

    def reset(self) -> None:
        """Reset the bound to its first value after a success."""
        self.bound = self.first
