"""Whom a direct entry turns away at once, and when refused callers come back.

Load pattern: a burst, or a lost engine, leaves more work than can be read before its
callers leave.

Without it: what can't be served waits until its caller has gone, some of it is read for
nobody, and callers that are refused for one cause all return in one moment, most of
them to be refused again.
"""

from __future__ import annotations

import random

LEAST_RETRY_AFTER = 0.3
"""Seconds after which a refused caller may come back at the earliest."""

FIRST_SHARE = 0.6
"""Part of its caller's time within which the first event of a prompt that goes first
must be foreseen. It holds up all others of its rank, in vain if its caller leaves."""

RETURN_SPREAD_SECONDS = 0.5
"""Callers that are refused for one cause return over so long."""


def is_hopeless(
    first_token: float, seconds_left: float, *, goes_first: bool = False
) -> bool:
    """Return whether a caller would leave before its first event.

    :param first_token: predicted seconds to it.
    :param seconds_left: until the caller leaves.
    :param goes_first: whether the prompt is read before the others of its rank.
    """
    share = FIRST_SHARE if goes_first else 1.0
    return first_token > share * seconds_left


def retry_after(rng: random.Random, seconds: float) -> float:
    """Return after how many seconds a refused caller should come back.

    :param seconds: after which it would be served, as far as can be told.
    """
    return max(LEAST_RETRY_AFTER, seconds) + rng.uniform(0.0, RETURN_SPREAD_SECONDS)
