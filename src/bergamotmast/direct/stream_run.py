"""One streamed request: where it is read and answered, and how it goes on elsewhere."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import math

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_placement import Placement
from ..policy.direct_placement import answer_priority
from ..policy.direct_placement import priority_of
from ..policy.engine_book import EngineBook
from .caller import CallerReply
from .context import Context
from .events import Event
from .events import EventSplitter
from .forwarding import answer_headers
from .model import Call
from .model import Upstream
from .ports import Attempt
from .ports import Reply
from .ports import ReplyTraits
from .prompt_reads import PromptReads
from .prompt_reads import Read
from .sends import Sends
from .silence import silence_limit
from .timeline import Timeline

logger = logging.getLogger(__name__)

RELEASE_SECONDS = 1.0
"""Time to free an exported KV cache that nobody takes; it lapses by itself later."""

FAILED_SECONDS = 1.0
"""How long an engine that could not be reached, or broke off, is left alone."""

STALL_SECONDS = 1.2
"""Longest pause between the events of a stream that may be resumed: its caller leaves
after two seconds, and going on elsewhere takes some 400 ms."""

ROLE_MARGIN_SECONDS = 0.3
"""What a request needs once an answering engine is there."""

ROLE_CHECK_SECONDS = 0.05
"""Between two looks whether an answering engine is there."""

RETURN_SPREAD_SECONDS = 0.5
"""Callers that are refused for one cause return over so long."""

LEAST_RETRY_AFTER = 0.3
"""Seconds after which a refused caller may come back at the earliest."""

MOST_PREFILLS = 2
"""Engines that a prompt is sent to for reading before an answering one reads it."""

REFUSED_SECONDS = 0.3
"""How long an engine that refused a request is left alone: it is full or changing."""

MOST_EVENT_BYTES = 1 << 20
"""Of a stream; one event carries a few words. One without an end would take all memory
of the process."""


class BrokenStreamError(Exception):
    """A stream ended before its end, or its reply can't be used."""


class StreamRun:
    """Runs one streamed request.

    :param last_event: number of the last event that the caller has.
    :param weights: version of the weights that began the answer.
    :param heard_at: when the answering engine last said anything; a point in time.
    :param source: exported KV cache of the prompt that no engine has taken yet.
    """

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.reply = reply
        self.sends = Sends(context, call)
        self.reads = PromptReads(context, call)
        self.last_event = call.traits.last_event
        self.weights = ""
        self.prefills = 0
        self.source = ""
        self.heard_at = math.inf
        self.timeline = Timeline()

    async def run(self) -> int:
        """Answer the caller and return the status.

        :raises RequestError: if there is no answer to give; nothing was sent then.
        """
        try:
            async with self.context.time_limits.limit(self.call.deadline):
                return await self._answer()
        except TimeoutError:
            raise self.sends.out_of_time() from None

    async def _answer(self) -> int:
        try:
            while True:
                reader, upstream = await self._place_in_time()
                if reader is not None and not self.source:
                    await self._prefill(reader)
                    if not self.source and self.prefills < MOST_PREFILLS:
                        continue
                if self.source:
                    upstream = self.context.placing.answering(
                        self.call, self.sends.excluded
                    )
                status = await self._send(upstream)
                if status is not None:
                    return status
        except RequestError as error:
            if self.sends.maybe_ran:
                raise self.sends.exhausted(error.code) from None
            raise
        finally:
            self._release()

    async def _place_in_time(self) -> tuple[Upstream | None, Upstream]:
        """Place the request, or wait for the engine that is on its way to answer it.

        :raises RequestError: if there is none, or too late for this caller.
        """
        while True:
            try:
                return self._place()
            except RequestError as error:
                if error.code is not ResultCode.NO_UPSTREAM or self.sends.count:
                    raise
                await asyncio.sleep(self._wait_for_role())

    def _wait_for_role(self) -> float:
        """Return how long to wait until a placement may succeed.

        With all answering engines gone, another one changes its role within seconds. A
        caller that stays so long is served soonest if it waits here; any other is told
        when to come back.

        :raises RequestError: if the caller should come back.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        ready_at = self.context.fleet.answers_from(self.call.group.name, now)
        if ready_at is None:
            raise RequestError(ResultCode.NO_UPSTREAM)
        # A change that is overdue may be over at any moment, or never.
        if max(ready_at, now) + ROLE_MARGIN_SECONDS <= self._leaves_at():
            return ROLE_CHECK_SECONDS
        raise self._refusal(ResultCode.NO_UPSTREAM, ready_at - now)

    def _refusal(self, code: ResultCode, retry_after: float) -> RequestError:
        """Return the error of a request whose caller should come back.

        Callers that are refused for one burst or one lost engine would otherwise all
        return in one moment, and most be refused again.
        """
        spread = self.context.rng.uniform(0.0, RETURN_SPREAD_SECONDS)
        retry_after = max(LEAST_RETRY_AFTER, retry_after) + spread
        return RequestError(code, retry_after=retry_after)

    def _leaves_at(self) -> float:
        """Return when the caller of a silent stream leaves; a point in time."""
        call = self.call
        return min(call.deadline, call.arrived_at + call.route.patience)

    def _place(self) -> tuple[Upstream | None, Upstream]:
        reader, upstream, placement = self.context.placing.place_stream(
            self.call, self.sends.excluded
        )
        now = asyncio.get_running_loop().time()
        timeline = self.timeline
        timeline.placed_at = now
        timeline.reader = reader.name if reader else ""
        timeline.predicted = placement.first_token
        self._refuse_hopeless(placement, now)
        return reader, upstream

    def _refuse_hopeless(self, placement: Placement, now: float) -> None:
        """Refuse at once what its caller would leave before its first event.

        Let in, it would wait until its caller has gone, and some of it would be read
        for nobody. Refused, the caller knows when to come back.
        """
        if self.reply.started or now + placement.first_token <= self._leaves_at():
            return
        raise self._refusal(
            ResultCode.DEADLINE_UNREACHABLE,
            placement.first_token - self.call.route.objective,
        )

    async def _prefill(self, reader: Upstream) -> None:
        """Have the prompt read; afterwards its KV cache is known if that went well."""
        if self.prefills and not self.sends.spend():
            self.prefills = MOST_PREFILLS
            return
        self.prefills += 1
        book = self.context.placing.engine_book(reader)
        loop = asyncio.get_running_loop()
        read = self.reads.begin(reader)
        done = False
        try:
            async with silence_limit(
                lambda: book.silent_at(read.began_at, loop.time())
            ):
                self.source = await self._exchange_prefill(reader, read)
            done = True
            self.timeline.prefilled_at = loop.time()
            self.timeline.to_read = read.tokens
        except (NotReachedError, ReplyLostError) as error:
            book.failed_until = loop.time() + FAILED_SECONDS
            self.sends.log_failure(reader, error.message, "prefill")
        finally:
            self.reads.end(reader, read, done=done)

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
            self.context.read_reply(call, reader, reply)
            body = await reply.read()
            self._on_heard(reader)
            if reply.status != 200:
                raise ReplyLostError(f"the prefill was answered {reply.status}")
            prefilled = dialect.read_prefilled(body)
        return dialect.kv_source(reader.address, prefilled.handle)

    async def _send(self, upstream: Upstream) -> int | None:
        """Have an engine answer; ``None`` where the request may go on elsewhere."""
        self.sends.begin(upstream)
        placing = self.context.placing
        book = placing.engine_book(upstream)
        loop = asyncio.get_running_loop()
        read = None if self.source else self.reads.begin(upstream)
        self._note_send(upstream, read)
        streaming = False
        try:
            async with self._open(upstream, read) as reply:
                traits = self._check_reply(upstream, reply)
                # The engine has taken the KV cache, if there was one.
                self.source = ""
                self.heard_at = loop.time()
                if not 200 <= reply.status < 300:
                    return await self._on_failure_status(reply)
                async with self._stall_limit():
                    async for event in self._events(reply, book):
                        if not streaming:
                            streaming = True
                            book.streams += 1
                            if read is not None:
                                self.reads.end(upstream, read, done=True)
                        await self._forward(event, reply, traits)
            await self._finish(reply, traits)
            return reply.status
        except NotReachedError as error:
            book.failed_until = loop.time() + FAILED_SECONDS
            self.sends.on_unreached(upstream)
            self.sends.log_failure(
                upstream, error.message, "not reached", self.last_event
            )
        except (ReplyLostError, BrokenStreamError) as error:
            self.sends.log_failure(upstream, str(error), "broken", self.last_event)
            # Whatever became of the KV cache, it can't be taken twice.
            self._release()
            self._refuse_unrepeatable()
        finally:
            if streaming:
                book.streams -= 1
            elif read is not None:
                self.reads.end(upstream, read, done=False)
        return None

    def _note_send(self, upstream: Upstream, read: Read | None) -> None:
        self.timeline.upstream = upstream.name
        if read is not None:
            self.timeline.reader = ""
            self.timeline.to_read = read.tokens

    def _check_reply(self, upstream: Upstream, reply: Reply) -> ReplyTraits:
        """Return what a reply says of itself if it is one to this request.

        :raises ReplyLostError: if it is not.
        :raises BrokenStreamError: if it says that nothing ran.
        """
        now = asyncio.get_running_loop().time()
        self.timeline.replied_at = now
        self._on_heard(upstream)
        traits = self.context.read_reply(self.call, upstream, reply)
        if traits.not_run:
            self.sends.on_not_run()
            book = self.context.placing.engine_book(upstream)
            book.failed_until = now + _pause_after(traits)
            raise BrokenStreamError(f"status {reply.status}, not run")
        self.context.check_reply(self.call, reply, traits)
        return traits

    def _on_heard(self, upstream: Upstream) -> None:
        book = self.context.placing.engine_book(upstream)
        book.heard_at = asyncio.get_running_loop().time()

    def _open(
        self, upstream: Upstream, read: Read | None
    ) -> contextlib.AbstractAsyncContextManager[Reply]:
        call = self.call
        now = asyncio.get_running_loop().time()
        traits, rank = call.traits, call.route.rank
        if read is None:
            priority = answer_priority(rank, traits.prompt_tokens, traits.max_tokens)
        else:
            priority = priority_of(rank, read.tokens)
        attempt = Attempt(
            upstream.name,
            call.deadline,
            priority=priority,
            kv_source=self.source,
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

    async def _events(
        self, reply: Reply, book: EngineBook
    ) -> cabc.AsyncIterator[Event]:
        """Yield whole events.

        :raises BrokenStreamError: if the stream ends within one, or one has no end.
        """
        splitter = EventSplitter()
        async for data in reply.chunks():
            book.heard_at = self.heard_at = asyncio.get_running_loop().time()
            for event in splitter.feed(data):
                yield event
            if len(splitter.rest) > MOST_EVENT_BYTES:
                raise BrokenStreamError("an event is too long")
        if splitter.rest:
            raise BrokenStreamError("the stream ended within an event")

    def _stall_limit(self) -> contextlib.AbstractAsyncContextManager[None]:
        if self.call.route.resumable:
            return silence_limit(self._stalled_at)
        return contextlib.nullcontext()

    def _stalled_at(self) -> float:
        """Return when a stream had better go on elsewhere; never if it can't.

        An engine that puts a request back for want of memory pauses for seconds and
        then goes on. Ended without another engine to go on at, the answer would be
        lost that the caller still waits for.
        """
        if not self.sends.may_move():
            return math.inf
        return self.heard_at + STALL_SECONDS

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

    async def _on_failure_status(self, reply: Reply) -> int:
        body = await reply.read()
        if self.reply.started:
            raise BrokenStreamError(f"status {reply.status} in a stream")
        await self.reply.answer(reply.status, answer_headers(reply), body)
        return reply.status

    def _refuse_unrepeatable(self) -> None:
        """Raise where the request must not be sent again."""
        if not self.sends.maybe_ran or self.call.route.repeatable:
            return
        raise RequestError(ResultCode.OUTCOME_UNKNOWN) from None

    def _release(self) -> None:
        """Free a KV cache that no engine will take any more."""
        source, self.source = self.source, ""
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


def _pause_after(refusal: ReplyTraits) -> float:
    """Return how long an engine that refused is left alone.

    One that is not what its entry says keeps refusing until the entry is right, which
    takes a heartbeat; each request sent there meanwhile would be lost.
    """
    return FAILED_SECONDS if refusal.wrong_upstream else REFUSED_SECONDS
