"""One attempt to run a request, as its entry tracks it, and the attempt's events."""

from __future__ import annotations

import asyncio
import dataclasses
import typing as t

from ..model import Cost
from ..protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class SessionLost:
    """The session with the side was lost; a new one may be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class SideReplaced:
    """Another side process answers at the address: the attempt's fate is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline has passed, or the entry ends its requests."""


AttemptEvent: t.TypeAlias = (
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
    """An offer handed to a side, and the queue of events that concern it.

    :param name: unique over the life of the system.
    :param upstream: name of the upstream that it was offered to.
    :param cost: predicted work, in tokens.
    :param survives_session: whether the side goes on with it when the session is lost.
    """

    def __init__(
        self, name: str, upstream: str, cost: Cost, survives_session: bool
    ) -> None:
        self.name = name
        self.upstream = upstream
        self.cost = cost
        self.survives_session = survives_session
        self.events: asyncio.Queue[AttemptEvent] = asyncio.Queue()
        self.prefill_left = cost.prefill
        self.decode_left = cost.decode
        self.started = False
        self.consumed_chunks = 0
        self.timer: asyncio.TimerHandle | None = None

    def on_progress(self, tokens: int) -> None:
        """Count output tokens; the first one means that the prompt is prefilled."""
        self.prefill_left = 0
        self.decode_left = max(0, self.decode_left - tokens)
