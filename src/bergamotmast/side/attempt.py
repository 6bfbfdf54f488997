"""State of one attempt at a side, and the buffer of its unsent chunks."""

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
    """Phase of an attempt; only a waiting one may still be reported as not run."""

    WAITING = "waiting"
    STARTED = "started"
    DONE = "done"


@dataclasses.dataclass
class Attempt:
    """An offer that this side accepted.

    :param offer: the offer.
    :param session: the session that its messages go to; replaced when the entry opens
        a new one.
    :param deadline: local monotonic time, in seconds.
    :param credit: number of chunks that may still be sent.
    :param phase: waiting, started or done.
    :param task: runs the attempt; ``None`` before it starts.
    :param answer: the answer of a plain service, kept in case the entry asks again.
    :param forget_at: local monotonic time at which a kept answer is dropped.
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
    """Merges the chunks of a stream that wait for credit.

    This is the backpressure of streams: a caller that reads slowly must not stall the
    engine's other streams, and its chunks must not pile up one by one. Without credit,
    chunks are merged to one longer chunk, bounded by the length of the answer.

    :param attempt: name of the attempt.
    :param parts: text of the waiting chunks.
    :param first: first waiting chunk, or ``None``.
    :param last: last waiting chunk, or ``None``.
    :param tokens: tokens of the waiting chunks.
    """

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.parts: list[str] = []
        self.first: TokenChunk | None = None
        self.last: TokenChunk | None = None
        self.tokens = 0

    def clear(self) -> None:
        """Remove all waiting chunks."""
        self.parts = []
        self.first = None
        self.last = None
        self.tokens = 0

    def add(self, chunk: TokenChunk) -> None:
        """Append the chunk that follows the last one."""
        if self.first is None:
            self.first = chunk
        self.last = chunk
        self.tokens += chunk.tokens
        self.parts.append(chunk.text)

    def message(self) -> Chunk | None:
        """Return all waiting chunks as one message, without removing them."""
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
