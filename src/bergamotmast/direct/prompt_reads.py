"""Books one request's prompt at the engines that read it, here and at the peers."""

from __future__ import annotations

import asyncio
import dataclasses

from ..model import Role
from ..policy.direct_placement import FIRST_TOKEN_SECONDS
from ..policy.direct_placement import priority_of
from ..policy.engine_book import CALL_SECONDS
from ..policy.engine_book import WorkKey
from ..policy.engine_book import read_seconds
from ..policy.engine_book import role_share
from .context import Context
from .model import Call
from .model import Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A prompt booked at the engine that reads it.

    :param tokens: prompt tokens that were thought not to be cached there.
    :param predicted: seconds that it should take.
    """

    key: WorkKey
    tokens: int
    priority: int
    began_at: float
    predicted: float
    fetch_from: str


class PromptReads:
    """Books one request's prompt."""

    def __init__(self, context: Context, call: Call) -> None:
        self.context = context
        self.call = call

    def begin(self, engine: Upstream) -> Read:
        """Book a prompt at the engine that is about to read it, and tell the peers."""
        context = self.context
        book = context.placing.engine_book(engine)
        now = asyncio.get_running_loop().time()
        reading = context.placing.reading(self.call, engine)
        tokens = reading.tokens
        priority = priority_of(self.call.route.rank, tokens, context.decisions)
        cached = max(0, self.call.traits.prompt_tokens - tokens)
        seconds = read_seconds(tokens, cached)
        share = role_share(engine.role or Role.MIXED)
        predicted = (book.wait(priority, now) + seconds) / share + CALL_SECONDS
        if engine.role is not Role.PREFILL:
            predicted += FIRST_TOKEN_SECONDS
        key = context.placing.new_key()
        parts = self.call.parts
        book.begin(key, seconds, priority, now, share)
        # The last part is the request's or its session's own: it is noted once it has
        # been read. Noted before, a request that comes back after it was given up in
        # the queue would pass for cached and be read in the wrong place.
        book.prefix.store(parts[:-1])
        context.tell_begun(engine, key, priority, tokens, cached, parts)
        return Read(key, tokens, priority, now, predicted, reading.fetch_from)

    def end(self, engine: Upstream, read: Read, *, done: bool) -> None:
        """Take a prompt off the books, and learn from the time it took.

        :param done: whether it was read to its end.
        """
        book = self.context.placing.engine_book(engine)
        now = asyncio.get_running_loop().time()
        work = book.end(read.key, now)
        if done:
            book.prefix.store(self.call.parts)
        learns = self.context.decisions.slowness
        if learns and done and work is not None and not work.overtaken:
            book.measure(read.predicted, now - read.began_at, now)
        self.context.tell_ended(engine, read.key, read.tokens)
