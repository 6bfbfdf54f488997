"""State machine of the orders that a side gives to its engine."""

from __future__ import annotations

import enum
import typing as t

import transitions


class OrderState(enum.Enum):
    """State of the orders to one engine."""

    UNKNOWN = "unknown"
    """The engine's state has not been read since the side or the engine started."""

    SETTLED = "settled"
    """The engine matches its plan, or keeps its assignment while no order is due."""

    DRAINING = "draining"
    """Admission is paused; the order is given once the work in flight has ended."""

    ORDERING = "ordering"
    """An order has been sent, or its reply was lost and it may still be delivered."""

    CHANGING = "changing"
    """The engine is carrying out an order."""


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
    """State machine of the orders; a trigger without a transition raises an error.

    ``ORDERING`` has no transition for giving an order: while one may be under way, the
    engine's state must be read first.

    :param state: the current state.
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
