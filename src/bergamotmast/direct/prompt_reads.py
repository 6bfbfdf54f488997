"""Books one request's prompt at the engines that read it, here and at the peers."""

from __future__ import annotations

import asyncio
import dataclasses

from ..policy.engine_load import EngineLoadTracker
from ..policy.prefix_cache import PrefillKey
from .context import Context
from .model import Call
from .model import Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A prompt booked at the engine that reads it.

    :param tokens: prompt tokens that were thought not to be cached there.
    :param cached: tokens before them.
    :param predicted: seconds that it should take.
    :param alone: whether nothing else was known to be at the engine.
    """

    key: PrefillKey
    tokens: int
    cached: int
    priority: int
    began_at: float
    predicted: float
    alone: bool
    fetch_from: str


class PromptReads:
    """Books one request's prompt."""

    def __init__(self, context: Context, call: Call) -> None:
        self.context = context
        self.call = call

    def begin(self, engine: Upstream) -> Read:
        """Book a prompt at the engine that is about to read it, and tell the peers."""
        context = self.context
        book = context.placing.engine_load(engine)
        now = asyncio.get_running_loop().time()
        reading = context.placing.reading(self.call, engine)
        tokens = reading.tokens
        priority = context.placing.priority(self.call, tokens)
        cached = max(0, self.call.traits.prompt_tokens - tokens)
        wait = book.wait(priority, now)
        predicted = wait + book.prefill_seconds(tokens, cached)
        alone = not book.pending_prefills
        key = context.placing.new_key()
        parts = self.call.parts
        goes_first = self.call.goes_first
        seconds = book.occupied_seconds(tokens, cached)
        book.begin(key, seconds, priority, now, goes_first=goes_first)
        book.prefix.expect(key, parts)
        context.tell_begun(
            engine, key, priority, tokens, cached, parts, goes_first=goes_first
        )
        return Read(
            key, tokens, cached, priority, now, predicted, alone, reading.fetch_from
        )

    def end(self, engine: Upstream, read: Read, *, done: bool) -> None:
        """Take a prompt off the books, and learn from the time it took.

        :param done: whether it was read to its end.
        """
        book = self.context.placing.engine_load(engine)
        now = asyncio.get_running_loop().time()
        work = book.end(read.key, now, done=done)
        if done and work is not None and not work.overtaken:
            self._learn(book, read, now - read.began_at, now)
        self.context.tell_ended(engine, read.key, read.tokens, done=done)

    def _learn(
        self, book: EngineLoadTracker, read: Read, seconds: float, now: float
    ) -> None:
        decisions = self.context.decisions
        if decisions.slowness:
            book.observe_slowdown(read.predicted, seconds, now)
        if decisions.learning and read.alone:
            book.learn(read.tokens, read.cached, seconds)
