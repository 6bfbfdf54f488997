"""Has a stream's prompt read by an engine that does not answer it."""

from __future__ import annotations

import asyncio

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_refusal import retry_after
from .model import Upstream
from .ports import Attempt
from .prompt_reads import Read
from .silence import silence_limit
from .stream import Stream

MOST_PREFILLS = 2
"""Engines that a prompt is sent to for reading before an answering one reads it."""

SILENT = "the engine is silent"
OVERDUE = "the prompt is overdue"

RETURN_SECONDS = 0.5
"""A caller that is refused for want of room in the retry budget returns no sooner."""


class Prefilling:
    """The prefills of one stream.

    The first one that an engine takes is no second send. One that fails is: whether the
    engine had taken it can't be told, and if not, the next one is the first.

    :param count: engines asked so far.
    :param done: whether one of them has read the prompt.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.context = stream.context
        self.count = 0
        self.done = False

    @property
    def may_go_on(self) -> bool:
        """Whether another engine may be asked to read the prompt."""
        return self.count < MOST_PREFILLS

    async def run(self, reader: Upstream) -> None:
        """Have the prompt read; afterwards its KV cache is known if that went well."""
        stream = self.stream
        if self.done and not stream.sends.spend():
            self.count = MOST_PREFILLS
            return
        self.count += 1
        loop = asyncio.get_running_loop()
        read = stream.reads.begin(reader)
        done = False
        try:
            async with silence_limit(lambda: self._verdict(reader, read)):
                stream.cache.source = await self._exchange(reader, read)
            done = self.done = True
            stream.on_prompt_read()
            stream.timeline.prefilled_at = loop.time()
            stream.timeline.uncached_tokens = read.tokens
        except NotReachedError as error:
            self._on_failure(reader, error.message)
        except ReplyLostError as error:
            self._on_failure(reader, error.message)
            self._spend_or_refuse()
        finally:
            stream.reads.end(reader, read, done=done)

    def _spend_or_refuse(self) -> None:
        """Take the next send of a prompt that was not read out of the budget.

        :raises RequestError: without room. Where every engine fails, sending on would
            multiply the load, and the prompt has not run: its caller may come back.
        """
        if not self.stream.sends.spend():
            seconds = retry_after(self.context.rng, RETURN_SECONDS)
            raise RequestError(ResultCode.RETRY_BUDGET_SPENT, retry_after=seconds)

    def _on_failure(self, reader: Upstream, error: str) -> None:
        self.stream.unread_at.add(reader.name)
        if error != OVERDUE:
            self.stream.leave_alone(reader)
        self.stream.sends.log_failure(reader, error, "prefill")

    async def _verdict(self, reader: Upstream, read: Read) -> str:
        """Return why a prompt that waits at an engine is to be begun anew elsewhere."""
        if not self.context.decisions.silence:
            return ""
        book = self.context.placing.engine_load(reader)
        now = asyncio.get_running_loop().time()
        if now >= book.unresponsive_at(read.began_at, now):
            if not await self.context.engine_checks.lives(reader):
                return SILENT
        if now >= book.overdue_at(read.key) and self._is_in_time_elsewhere(reader):
            return OVERDUE
        return ""

    def _is_in_time_elsewhere(self, reader: Upstream) -> bool:
        """Return whether another engine would still serve this stream.

        What an engine that lives has read of a prompt is lost where it is begun anew;
        where the caller would leave before, it loses nothing by waiting.
        """
        stream = self.stream
        if not self.may_go_on or not stream.sends.has_room():
            return False
        excluded = {*stream.excluded, reader.name}
        try:
            *_, placement = self.context.placing.place_stream(stream.call, excluded)
        except RequestError:
            return False
        now = asyncio.get_running_loop().time()
        return now + placement.first_token <= stream.call.leaves_at

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
