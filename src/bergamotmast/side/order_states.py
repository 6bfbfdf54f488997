"""Where a side stands with the orders to its engine, as a state machine."""

from __future__ import annotations

import enum
import typing as t

import transitions


class OrderState(enum.Enum):
    """Where a side stands with the orders to its engine."""

    UNKNOWN = "unknown"
    """What the engine is has not been read back since a start or a restart."""

    SETTLED = "settled"
    """The engine is what it should be, as far as the side has a plan for it."""

    DRAINING = "draining"
    """Admission is closed, and work in flight ends before the order is given."""

    ORDERING = "ordering"
    """An order is given, or its reply was lost and it may still arrive."""

    CHANGING = "changing"
    """The engine carries an order out."""


_ALL_STATES = list(OrderState)

_TRANSITIONS: list[dict[str, t.Any]] = [
    {"trigger": "lost", "source": _ALL_STATES, "dest": OrderState.UNKNOWN},
    {"trigger": "found_settled", "source": _ALL_STATES, "dest": OrderState.SETTLED},
    {"trigger": "found_changing", "source": _ALL_STATES, "dest": OrderState.CHANGING},
    {
        "trigger": "drain",
        "source": [s for s in _ALL_STATES if s is not OrderState.DRAINING],
        "dest": OrderState.DRAINING,
    },
    {
        "trigger": "give",
        "source": [s for s in _ALL_STATES if s is not OrderState.ORDERING],
        "dest": OrderState.ORDERING,
    },
    {
        "trigger": "taken",
        "source": OrderState.ORDERING,
        "dest": OrderState.CHANGING,
    },
    {
        "trigger": "not_taken",
        "source": OrderState.ORDERING,
        "dest": OrderState.UNKNOWN,
    },
]


class OrderMachine:
    """The state machine itself; a trigger without a transition is an error.

    While an order may be under way there is none for giving another: the engine's
    state must have been read back first.

    :param state: the present state.
    """

    state: OrderState
    trigger: t.Callable[[str], bool]

    def __init__(self) -> None:
        self.machine = transitions.Machine(
            model=self,
            states=OrderState,
            transitions=_TRANSITIONS,
            initial=OrderState.UNKNOWN,
            auto_transitions=False,
        )
