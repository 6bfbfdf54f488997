"""One attempt at a side: waiting, started, done, and the chunks on their way out."""

from __future__ import annotations

import asyncio
import dataclasses
import enum

from ..model import TokenChunk
from ..protocol.messages import Chunk
from ..protocol.messages import ModelWork
from ..protocol.messages import Offer
from ..protocol.messages import ServiceDone
from .session import Session


class AttemptPhase(enum.Enum):
    """How far an attempt is; only the first phase may still be called not run."""

    WAITING = "waiting"
    STARTED = "started"
    DONE = "done"


@dataclasses.dataclass
class Attempt:
    """An offer that this side took.

    :param session: where its messages go; replaced when the entry says hello again.
    :param deadline: point on the local monotonic clock.
    :param credit: chunks that may still be sent.
    :param answer: the whole answer of a plain service, kept for a second asking.
    """

    offer: Offer
    session: Session
    deadline: float
    credit: int
    phase: AttemptPhase = AttemptPhase.WAITING
    task: asyncio.Task[None] | None = None
    answer: ServiceDone | None = None
    forget_at: float = 0.0

    @property
    def name(self) -> str:
        """Unique name of the attempt."""
        return self.offer.attempt

    @property
    def is_model(self) -> bool:
        """Whether it runs on an engine."""
        return isinstance(self.offer.work, ModelWork)


class ChunkBuffer:
    """Chunks that wait for credit, merged so that a slow caller costs little.

    A caller that reads slowly must not stall the engine's other streams, and its
    chunks must not pile up one by one: without credit, chunks become one longer
    chunk, bounded by the answer's own length.
    """

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.parts: list[str] = []
        self.first: TokenChunk | None = None
        self.last: TokenChunk | None = None
        self.tokens = 0

    def clear(self) -> None:
        """Drop what waits."""
        self.parts = []
        self.first = None
        self.last = None
        self.tokens = 0

    def add(self, chunk: TokenChunk) -> None:
        """Append a chunk that follows the last one."""
        if self.first is None:
            self.first = chunk
        self.last = chunk
        self.tokens += chunk.tokens
        self.parts.append(chunk.text)

    def message(self) -> Chunk | None:
        """Return everything that waits as one message, and keep it."""
        if self.first is None or self.last is None:
            return None
        return Chunk(
            attempt=self.attempt,
            index=self.first.index,
            tokens=self.tokens,
            text="".join(self.parts),
            finish=self.last.finish,
            cached_tokens=self.first.cached_tokens,
            kv_handle=self.last.kv_handle,
        )
