"""Has a stream's prompt read by an engine that does not answer it."""

from __future__ import annotations

import asyncio

from ..errors import NotReachedError
from ..errors import ReplyLostError
from .model import Upstream
from .ports import Attempt
from .prompt_reads import Read
from .silence import silence_limit
from .stream import Stream

MOST_PREFILLS = 2
"""Engines that a prompt is sent to for reading before an answering one reads it."""


class Prefilling:
    """The prefills of one stream."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.context = stream.context
        self.count = 0

    @property
    def may_go_on(self) -> bool:
        """Whether another engine may be asked to read the prompt."""
        return self.count < MOST_PREFILLS

    async def run(self, reader: Upstream) -> None:
        """Have the prompt read; afterwards its KV cache is known if that went well."""
        stream = self.stream
        if self.count and not stream.sends.spend():
            self.count = MOST_PREFILLS
            return
        self.count += 1
        book = self.context.placing.engine_book(reader)
        loop = asyncio.get_running_loop()
        read = stream.reads.begin(reader)
        done = False
        try:
            async with silence_limit(
                lambda: book.silent_at(read.began_at, loop.time())
            ):
                stream.cache.source = await self._exchange(reader, read)
            done = True
            stream.timeline.prefilled_at = loop.time()
            stream.timeline.to_read = read.tokens
        except (NotReachedError, ReplyLostError) as error:
            stream.leave_alone(reader)
            stream.sends.log_failure(reader, error.message, "prefill")
        finally:
            stream.reads.end(reader, read, done=done)

    async def _exchange(self, reader: Upstream, read: Read) -> str:
        """Send the prompt and return the name of its KV cache."""
        call = self.stream.call
        dialect = self.context.dialect
        now = asyncio.get_running_loop().time()
        attempt = Attempt(
            reader.name,
            call.deadline,
            priority=read.priority,
            prefill_only=True,
            fetch_from=read.fetch_from,
            last_event=self.stream.last_event,
        )
        headers = dialect.write_headers(call.headers, attempt, now)
        async with self.context.client.send(
            reader.address, call.method, call.target, headers, call.body, fresh=False
        ) as reply:
            self.context.read_reply(call, reader, reply)
            body = await reply.read()
            self.stream.on_heard(reader)
            if reply.status != 200:
                raise ReplyLostError(f"the prefill was answered {reply.status}")
            prefilled = dialect.read_prefilled(body)
        return dialect.kv_source(reader.address, prefilled.handle)
