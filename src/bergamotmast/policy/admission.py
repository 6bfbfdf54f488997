"""Admission control: refuses requests that can't meet their deadline.

Load pattern: saturation for minutes, from one and a half times to three times the
capacity of the fleet, with callers whose deadlines differ by two orders of magnitude.

Without it: queues grow until every request that leaves them is too late; all engines
are busy, goodput falls to nothing, and prefills are spent on answers that no caller
waits for any more.

Thresholds: a side knows its exact counts and decides last; it refuses a request that
its own queue would bring past its deadline. An entry sees only old reports, so it
refuses only if every upstream that it compared is predicted to be :data:`ENTRY_SLACK`
times too late: a wrong refusal loses an answer, a wrong offer costs one round trip of a
millisecond. :data:`SIDE_SLACK` is the side's margin for answers longer than predicted.
A refused caller is asked to retry after the predicted overshoot, plus jitter of up to
:data:`RETRY_JITTER` of it, so that refused bursts don't return all at once.
"""

from __future__ import annotations

import random

ENTRY_SLACK = 2.0
"""Multiple of the remaining time that a prediction must exceed for an entry to refuse.
"""

SIDE_SLACK = 1.0
"""Share of the remaining time that a side's prediction may take."""

MIN_RETRY_AFTER_SECONDS = 1.0
"""Lower bound of the delay that a refused caller is asked to keep."""

MAX_RETRY_AFTER_SECONDS = 30.0
"""Upper bound of the same delay."""

RETRY_JITTER = 0.5
"""Largest random addition to the delay, as a share of it."""


def exceeds_entry_deadline(
    predicted: float, seconds_left: float, slack: float = ENTRY_SLACK
) -> bool:
    """Return whether an entry refuses a request.

    :param predicted: predicted seconds until the request is served.
    :param seconds_left: seconds until its deadline.
    :param slack: multiple of ``seconds_left`` that the prediction must exceed.
    """
    return seconds_left <= 0.0 or predicted > slack * seconds_left


def exceeds_side_deadline(predicted: float, seconds_left: float, slack: float) -> bool:
    """Return whether a side refuses a request.

    :param predicted: predicted seconds until the request is served.
    :param seconds_left: seconds until its deadline.
    :param slack: share of ``seconds_left`` that the prediction may take.
    """
    return seconds_left <= 0.0 or predicted > slack * seconds_left


def retry_after(overshoot: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should retry.

    :param overshoot: predicted seconds past the deadline.
    """
    seconds = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, overshoot))
    return round(seconds * (1.0 + RETRY_JITTER * rng.random()), 3)
