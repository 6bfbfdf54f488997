"""Early refusal at a direct entry, and the time after which refused callers retry.

Load pattern: a burst, or the loss of an engine, leaves more work than can be prefilled
before its callers time out.

Without it: requests wait until their callers have left, some are prefilled even later,
and callers refused for the same cause all retry at the same moment, most of them to be
refused again.
"""

from __future__ import annotations

import math
import random

MIN_RETRY_AFTER_SECONDS = 0.3
"""Lower bound of the delay before a refused caller retries."""

GOES_FIRST_SHARE = 0.6
"""Share of the caller's remaining time within which the first event of a prompt that
goes first must be predicted. Such a prompt delays all others of its rank, in vain if
its caller leaves."""

RETRY_JITTER_SECONDS = 0.5
"""Interval over which the retries of callers refused for the same cause are spread."""


MAX_RETURN_SECONDS = 5.0
"""Longest delay of a caller that was refused for the limits of upstreams, which may end
at any moment."""

MIN_RETURN_RATE = 0.1
"""Smallest rate, a second, at which such callers return."""


def is_unreachable(
    first_token: float, seconds_left: float, *, goes_first: bool = False
) -> bool:
    """Return whether a caller would time out before its first event.

    :param first_token: predicted seconds to the first event.
    :param seconds_left: seconds until the caller times out.
    :param goes_first: whether the prompt precedes the others of its rank.
    """
    share = GOES_FIRST_SHARE if goes_first else 1.0
    return first_token > share * seconds_left


def retry_after(rng: random.Random, seconds: float) -> float:
    """Return the seconds after which a refused caller should retry.

    :param seconds: estimated seconds until it could be served.
    """
    return max(MIN_RETRY_AFTER_SECONDS, seconds) + rng.uniform(
        0.0, RETRY_JITTER_SECONDS
    )


def rest_retry_after(rng: random.Random, seconds: float) -> float:
    """Return the seconds after which a caller returns that met upstreams at rest.

    The callers of a whole rest would otherwise return at its end.

    :param seconds: time until the earliest end of a rest.
    """
    return seconds + rng.uniform(0.0, max(RETRY_JITTER_SECONDS, seconds))


class ReturnSchedule:
    """Times at which callers return that were refused for the limits of upstreams.

    The refused callers of one entry return one after the other, at the rate at which
    they can be served.

    :param last: when the last one returns; a point in time.
    """

    def __init__(self) -> None:
        self.last = -math.inf

    def next_return(self, rate: float, earliest: float, now: float) -> float:
        """Return when the next refused caller returns; a point in time.

        :param rate: requests a second that the upstreams take from this entry.
        :param earliest: when one of them takes a request; a point in time.
        """
        next_return = max(self.last + 1.0 / max(rate, MIN_RETURN_RATE), earliest)
        self.last = min(next_return, now + MAX_RETURN_SECONDS)
        return self.last
