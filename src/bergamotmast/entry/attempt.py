"""One attempt as its entry sees it: where it is and what was heard of it."""

from __future__ import annotations

import asyncio
import dataclasses
import typing as t

from ..model import Cost
from ..protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class SessionLost:
    """The session with the side is lost; it may come back."""


@dataclasses.dataclass(frozen=True, slots=True)
class SideReplaced:
    """Another side process answers at the address: what ran is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline has passed, or the entry's own time is over."""


Event: t.TypeAlias = (
    messages.Refused
    | messages.Started
    | messages.Chunk
    | messages.ServiceDone
    | messages.Failed
    | messages.AttemptState
    | SessionLost
    | SideReplaced
    | DeadlinePassed
)


class EntryAttempt:
    """An offer handed to a side.

    :param name: unique over the life of the system.
    :param upstream: where it went.
    :param cost: predicted work.
    :param survives_session: whether it goes on at the side when the session is lost.
    """

    def __init__(
        self, name: str, upstream: str, cost: Cost, survives_session: bool
    ) -> None:
        self.name = name
        self.upstream = upstream
        self.cost = cost
        self.survives_session = survives_session
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.prefill_left = cost.prefill
        self.decode_left = cost.decode
        self.started = False
        self.taken = 0
        self.timer: asyncio.TimerHandle | None = None

    def on_progress(self, tokens: int) -> None:
        """Note output tokens; the first means that the prompt is prefilled."""
        self.prefill_left = 0
        self.decode_left = max(0, self.decode_left - tokens)
