"""What the checks of a history take and return."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import typing as t

from ..history import AnyRecord


class Rule(enum.Enum):
    """A promise that a history can break."""

    ANSWERED_ONCE = "answered_once"
    """A request was answered more than once, or without having been sent."""
    WHOLE_ANSWER = "whole_answer"
    """An answer is not, byte for byte, what the upstream gave."""
    NOT_LOST = "not_lost"
    """A request was never answered."""
    NOT_CUT_OFF = "not_cut_off"
    """An answer broke off without a code."""
    TRULY_NOT_RUN = "truly_not_run"
    """A caller was told "not run" and the request ran, before or after."""
    AT_MOST_ONCE = "at_most_once"
    """A non-repeatable request, or its idempotency key, ran more than once."""
    ONE_ORDER = "one_order"
    """An engine held two conflicting orders at once."""
    ORDER_AUTHORITY = "order_authority"
    """An engine took an order of an older authority than one before."""
    CONFIG_FORWARD = "config_forward"
    """A process put an older configuration in force."""
    CONFIG_IN_FORCE = "config_in_force"
    """A process did not have an accepted configuration in force in time."""
    LEAVING = "leaving"
    """An upstream received new work too long after it was leaving."""
    PLAN_FORWARD = "plan_forward"
    """A plan was written whose fencing token is not above the one before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise.

    :param rule: the promise.
    :param at: seconds on the clock of the run.
    :param subject: the request, engine, upstream or process it was broken to.
    :param detail: a sentence for a person.
    """

    rule: Rule
    at: float
    subject: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The times that the promises allow.

    :param config_seconds: from the acceptance of a configuration, or a process's
        start or return, until it must be in force there.
    :param leaving_seconds: how long a leaving upstream may still receive new work.
    """

    config_seconds: float = 18.0
    leaving_seconds: float = 3.0


Check: t.TypeAlias = cabc.Callable[
    [cabc.Sequence[AnyRecord], Limits], cabc.Iterator[Violation]
]
