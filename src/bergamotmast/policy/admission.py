"""What is turned away at the door, before any work is spent on it.

Load pattern: saturation for minutes, from half as much again to three times what the
fleet can do, with callers whose deadlines differ by two orders of magnitude.

Without it: queues grow until whatever comes out of them is too late; every engine is
busy and goodput falls to nothing, while prefills are spent on answers nobody waits for.

Thresholds: the side, whose counts are exact, refuses what its own queue would bring
past its deadline; it has the last word. An entry sees only old reports, so it refuses
only where every upstream it compared is predicted to be :data:`ENTRY_SLACK` times too
late: a wrong refusal there loses an answer, a wrong offer costs a round trip of a
millisecond. :data:`DOOR_SLACK` is the side's own margin for a length that turns out
longer than predicted. A refused caller is told to come back after the predicted
overshoot, spread by :data:`RETRY_JITTER` so that a refused burst does not return as
one.
"""

from __future__ import annotations

import random

ENTRY_SLACK = 2.0
"""How many times too late a prediction must be for an entry to refuse."""

DOOR_SLACK = 1.0
"""Share of the time left that a side's prediction may take."""

LEAST_RETRY_AFTER = 1.0
"""Seconds a refused caller waits at least."""

MOST_RETRY_AFTER = 30.0
"""Seconds a refused caller is asked to wait at most."""

RETRY_JITTER = 0.5
"""Share by which a wait is spread upwards."""


def too_late_for_entry(
    predicted: float, left: float, slack: float = ENTRY_SLACK
) -> bool:
    """Return whether an entry refuses, from predicted and remaining seconds."""
    return left <= 0.0 or predicted > slack * left


def too_late_for_side(predicted: float, left: float, slack: float) -> bool:
    """Return whether a side refuses, from predicted and remaining seconds."""
    return left <= 0.0 or predicted > slack * left


def retry_after(overshoot: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller may come back."""
    seconds = min(MOST_RETRY_AFTER, max(LEAST_RETRY_AFTER, overshoot))
    return round(seconds * (1.0 + RETRY_JITTER * rng.random()), 3)
