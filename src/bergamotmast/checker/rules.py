"""Types shared by the checks of a history: rules, violations and time limits."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import typing as t

from ..history import AnyRecord


class Rule(enum.Enum):
    """A guarantee that a history can violate."""

    ANSWERED_ONCE = "answered_once"
    """A request was answered more than once, or was never sent."""
    WHOLE_ANSWER = "whole_answer"
    """An answer is not byte for byte the upstream's answer."""
    NOT_LOST = "not_lost"
    """A request was never answered."""
    NOT_CUT_OFF = "not_cut_off"
    """An answer was truncated and has no result code."""
    TRULY_NOT_RUN = "truly_not_run"
    """A caller received the outcome "not run", but the request ran before or after."""
    AT_MOST_ONCE = "at_most_once"
    """A non-repeatable request, or its idempotency key, ran more than once."""
    ONE_ORDER = "one_order"
    """An engine accepted an order while a conflicting one was in progress."""
    ORDER_AUTHORITY = "order_authority"
    """An engine accepted a lower fencing token, or one token for two orders."""
    CONFIG_FORWARD = "config_forward"
    """A process put an older configuration in force."""
    CONFIG_IN_FORCE = "config_in_force"
    """An accepted configuration was not in force at a process in time."""
    LEAVING = "leaving"
    """An upstream received a new request too long after its leaving was announced."""
    PLAN_FORWARD = "plan_forward"
    """A plan was written whose fencing token is not above the previous one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a guarantee.

    :param rule: the violated guarantee.
    :param at: seconds on the clock of the run.
    :param subject: the request, idempotency key, engine, upstream, process or writer
        of plans concerned.
    :param detail: description for the reader of a report.
    """

    rule: Rule
    at: float
    subject: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Time limits of the guarantees.

    :param config_seconds: maximum time from the acceptance of a configuration, or
        from the moment a process starts or becomes reachable again, until the
        configuration is in force there.
    :param leaving_seconds: how long an upstream may receive new requests after it
        was announced as leaving.
    """

    config_seconds: float = 18.0
    leaving_seconds: float = 3.0


Check: t.TypeAlias = cabc.Callable[
    [cabc.Sequence[AnyRecord], Limits], cabc.Iterator[Violation]
]
