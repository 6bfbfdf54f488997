"""One streamed request: where it is read and answered, and how it goes on elsewhere."""

from __future__ import annotations

import asyncio
import dataclasses
import logging

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from ..model import Role
from ..policy.direct_placement import FIRST_TOKEN_SECONDS
from ..policy.direct_placement import priority_of
from ..policy.engine_book import CALL_SECONDS
from ..policy.engine_book import WorkKey
from ..policy.engine_book import read_rate
from .caller import CallerReply
from .context import Context
from .events import Event
from .events import EventSplitter
from .forwarding import answer_headers
from .model import Call
from .model import Upstream
from .placing import shared_parts
from .plain_run import NOT_RUN_STATUSES
from .ports import Attempt
from .ports import Reply
from .ports import ReplyTraits
from .sends import Sends

logger = logging.getLogger(__name__)

RELEASE_SECONDS = 1.0
"""Time to free an exported KV cache that nobody takes; it lapses by itself later."""

FAILED_SECONDS = 1.0
"""How long an engine that could not be reached, or broke off, is left alone."""


REFUSED_SECONDS = 0.3
"""How long an engine that refused a request is left alone: it is full or changing."""


class BrokenStreamError(Exception):
    """A stream ended before its end, or its reply can't be used."""


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


@dataclasses.dataclass(slots=True)
class Timeline:
    """When a stream came how far, as points in time; the last send's where it had more.

    :param reader: engine that read the prompt for the answering one.
    :param upstream: the answering engine.
    :param to_read: prompt tokens that were thought not to be cached.
    """

    reader: str = ""
    upstream: str = ""
    to_read: int = 0
    predicted: float = 0.0
    placed_at: float | None = None
    prefilled_at: float | None = None
    replied_at: float | None = None
    first_event_at: float | None = None

    def fields(self, arrived_at: float) -> dict[str, object]:
        """Return what a log line says of it, in milliseconds since the arrival."""
        points = {
            "placed_ms": self.placed_at,
            "prefilled_ms": self.prefilled_at,
            "replied_ms": self.replied_at,
            "first_event_ms": self.first_event_at,
        }
        found: dict[str, object] = {
            name: round((point - arrived_at) * 1e3, 1)
            for name, point in points.items()
            if point is not None
        }
        if self.upstream:
            found |= {
                "reader": self.reader,
                "upstream": self.upstream,
                "to_read": self.to_read,
                "predicted_ms": round(self.predicted * 1e3, 1),
            }
        return found


class StreamRun:
    """Runs one streamed request.

    :param last_event: number of the last event that the caller has.
    :param weights: version of the weights that began the answer.
    """

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.reply = reply
        self.sends = Sends(context, call)
        self.last_event = call.traits.last_event
        self.weights = ""
        self.prefills = 0
        self.timeline = Timeline()

    async def run(self) -> int:
        """Answer the caller and return the status.

        :raises RequestError: if there is no answer to give; nothing was sent then.
        """
        try:
            async with asyncio.timeout_at(self.call.deadline):
                return await self._answer()
        except TimeoutError:
            code = ResultCode.DEADLINE_EXCEEDED
            if not self.sends.maybe_ran:
                code = ResultCode.DEADLINE_UNREACHABLE
            raise RequestError(code) from None

    async def _answer(self) -> int:
        while True:
            try:
                reader, upstream = self._place()
            except RequestError:
                if self.sends.maybe_ran:
                    raise self.sends.exhausted() from None
                raise
            source = ""
            if reader is not None:
                source = await self._prefill(reader)
                if source:
                    upstream = self.context.placing.answering(
                        self.call, self.sends.excluded
                    )
            status = await self._send(upstream, source)
            if status is not None:
                return status

    def _place(self) -> tuple[Upstream | None, Upstream]:
        reader, upstream, placement = self.context.placing.place_stream(
            self.call, self.sends.excluded
        )
        timeline = self.timeline
        timeline.placed_at = asyncio.get_running_loop().time()
        timeline.reader = reader.name if reader else ""
        timeline.predicted = placement.first_token
        return reader, upstream

    async def _prefill(self, reader: Upstream) -> str:
        """Have the prompt read and return the name of its KV cache, "" if that failed."""
        if self.prefills and not self.sends.spend_extra():
            return ""
        self.prefills += 1
        book = self.context.placing.engine_book(reader)
        loop = asyncio.get_running_loop()
        read = self._begin_read(reader)
        done = False
        try:
            source = await self._exchange_prefill(reader, read)
            done = True
            self.timeline.prefilled_at = loop.time()
            self.timeline.to_read = read.tokens
            return source
        except (NotReachedError, ReplyLostError) as error:
            book.failed_until = loop.time() + FAILED_SECONDS
            self._log_failure(reader, error.message, "prefill")
            return ""
        finally:
            self._end_read(reader, read, done=done)

    def _begin_read(self, engine: Upstream) -> Read:
        """Book a prompt at the engine that is about to read it, and tell the peers."""
        context = self.context
        book = context.placing.engine_book(engine)
        now = asyncio.get_running_loop().time()
        reading = context.placing.reading(self.call, engine)
        tokens = reading.tokens
        priority = priority_of(self.call.route.rank, tokens)
        wait = book.wait_tokens(priority, now)
        rate = read_rate(engine.role or Role.MIXED)
        predicted = (wait + tokens) / rate + CALL_SECONDS
        if engine.role is not Role.PREFILL:
            predicted += FIRST_TOKEN_SECONDS
        key = context.placing.new_key()
        parts = shared_parts(self.call)
        book.begin(key, tokens, priority, now)
        # The last part is the request's or its session's own: it is noted once it has
        # been read. Noted before, a request that comes back after it was given up in
        # the queue would pass for cached and be read in the wrong place.
        book.prefix.store(parts[:-1])
        context.tell_begun(engine, key, priority, tokens, parts)
        return Read(key, tokens, priority, now, predicted, reading.fetch_from)

    def _end_read(self, engine: Upstream, read: Read, *, done: bool) -> None:
        book = self.context.placing.engine_book(engine)
        now = asyncio.get_running_loop().time()
        work = book.end(read.key, now)
        if done:
            book.prefix.store(shared_parts(self.call))
        if done and work is not None and not work.overtaken:
            book.measure(read.predicted, now - read.began_at, now)
        self.context.tell_ended(engine, read.key, read.tokens)

    async def _exchange_prefill(self, reader: Upstream, read: Read) -> str:
        call = self.call
        dialect = self.context.dialect
        now = asyncio.get_running_loop().time()
        attempt = Attempt(
            reader.name,
            call.deadline,
            priority=read.priority,
            prefill_only=True,
            fetch_from=read.fetch_from,
            last_event=self.last_event,
        )
        headers = dialect.write_headers(call.headers, attempt, now)
        async with self.context.client.send(
            reader.address, call.method, call.target, headers, call.body, fresh=False
        ) as reply:
            traits = self.context.read_reply(call, reader, reply)
            body = await reply.read()
            if reply.status != 200:
                raise ReplyLostError(f"the prefill was answered {reply.status}")
            if traits.request_id and traits.request_id != call.traits.request_id:
                raise ReplyLostError("the reply belongs to another request")
            prefilled = dialect.read_prefilled(body)
        return dialect.kv_source(reader.address, prefilled.handle)

    async def _send(self, upstream: Upstream, source: str) -> int | None:
        """Have an engine answer; ``None`` where the request may go on elsewhere."""
        try:
            self.sends.begin(upstream)
        except RequestError:
            self._release(source)
            raise
        book = self.context.placing.engine_book(upstream)
        loop = asyncio.get_running_loop()
        read = None if source else self._begin_read(upstream)
        self.timeline.upstream = upstream.name
        if read is not None:
            self.timeline.reader = ""
            self.timeline.to_read = read.tokens
        taken = False
        streaming = False
        try:
            async with self._open(upstream, source, read) as reply:
                self.timeline.replied_at = loop.time()
                traits = self.context.read_reply(self.call, upstream, reply)
                if traits.request_id and (
                    traits.request_id != self.call.traits.request_id
                ):
                    raise BrokenStreamError("the reply belongs to another request")
                if traits.not_run:
                    self.sends.on_not_run()
                    book.failed_until = loop.time() + _pause_after(traits)
                    raise BrokenStreamError(f"status {reply.status}, not run")
                taken = True
                if not 200 <= reply.status < 300:
                    return await self._on_failure_status(reply, traits)
                if not traits.signed:
                    raise BrokenStreamError("the reply is not signed")
                async for event in self._events(reply):
                    if not streaming:
                        streaming = True
                        book.streams += 1
                        if read is not None:
                            self._end_read(upstream, read, done=True)
                    await self._forward(event, reply, traits)
            await self._finish(reply, traits)
            return reply.status
        except NotReachedError as error:
            book.failed_until = loop.time() + FAILED_SECONDS
            self.sends.on_unreached(upstream)
            self._log_failure(upstream, error.message, "not reached")
        except (ReplyLostError, BrokenStreamError) as error:
            self._log_failure(upstream, str(error), "broken")
            self._refuse_unrepeatable()
        finally:
            if streaming:
                book.streams -= 1
            elif read is not None:
                self._end_read(upstream, read, done=False)
            if not taken:
                self._release(source)
        return None

    def _open(self, upstream: Upstream, source: str, read: Read | None):  # type: ignore[no-untyped-def]
        call = self.call
        now = asyncio.get_running_loop().time()
        tokens = call.traits.prompt_tokens if read is None else read.tokens
        attempt = Attempt(
            upstream.name,
            call.deadline,
            priority=priority_of(call.route.rank, tokens),
            kv_source=source,
            fetch_from=read.fetch_from if read is not None else "",
            last_event=self.last_event,
            weights=self.weights,
        )
        headers = self.context.dialect.write_headers(call.headers, attempt, now)
        return self.context.client.send(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            fresh=not call.route.repeatable,
        )

    async def _events(self, reply: Reply):  # type: ignore[no-untyped-def]
        splitter = EventSplitter()
        async for data in reply.chunks():
            for event in splitter.feed(data):
                yield event
        if splitter.rest:
            raise BrokenStreamError("the stream ended within an event")

    async def _forward(self, event: Event, reply: Reply, traits: ReplyTraits) -> None:
        if event.number is not None:
            if event.number <= self.last_event:
                return
            self.last_event = event.number
        await self._start(reply, traits)
        await self.reply.write(event.data)

    async def _start(self, reply: Reply, traits: ReplyTraits) -> None:
        if self.reply.started:
            return
        self.timeline.first_event_at = asyncio.get_running_loop().time()
        self.weights = traits.weights
        await self.reply.start(reply.status, answer_headers(reply))

    async def _finish(self, reply: Reply, traits: ReplyTraits) -> None:
        await self._start(reply, traits)
        await self.reply.finish()

    async def _on_failure_status(self, reply: Reply, traits: ReplyTraits) -> int:
        body = await reply.read()
        if reply.status in NOT_RUN_STATUSES or not traits.signed or self.reply.started:
            raise BrokenStreamError(f"status {reply.status} without a promise")
        await self.reply.answer(reply.status, answer_headers(reply), body)
        return reply.status

    def _refuse_unrepeatable(self) -> None:
        """Raise where the request must not be sent again."""
        if not self.sends.maybe_ran or self.call.route.repeatable:
            return
        raise RequestError(ResultCode.OUTCOME_UNKNOWN) from None

    def _release(self, source: str) -> None:
        if source:
            self.context.spawn(self._free(source))

    async def _free(self, source: str) -> None:
        address, _, handle = source.partition("/")
        method, target = self.context.dialect.release_target(handle)
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                async with self.context.client.send(
                    address, method, target, (), b"", fresh=False
                ) as reply:
                    await reply.read()
        except (NotReachedError, ReplyLostError, TimeoutError) as error:
            logger.info("a KV cache was not freed", extra={"error": str(error)})

    def _log_failure(self, upstream: Upstream, error: str, outcome: str) -> None:
        logger.info(
            "send failed",
            extra={
                "upstream": upstream.name,
                "error": error,
                "outcome": outcome,
                "sends": self.sends.count,
                "last_event": self.last_event,
            },
        )


def _pause_after(refusal: ReplyTraits) -> float:
    """Return how long an engine that refused is left alone.

    One that is not what its entry says keeps refusing until the entry is right, which
    takes a heartbeat; each request sent there meanwhile would be lost.
    """
    return FAILED_SECONDS if refusal.wrong_upstream else REFUSED_SECONDS
