"""One streamed request: where it is read and answered, and how it goes on elsewhere."""

from __future__ import annotations

import asyncio
import logging

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from ..model import Role
from ..policy.direct_placement import DECODE_SHARE
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


class BrokenStreamError(Exception):
    """A stream ended before its end, or its reply can't be used."""


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
        self.first_event_at: float | None = None

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
        logger.info(
            "placed",
            extra={
                "reader": reader.name if reader else "",
                "upstream": upstream.name,
                "predicted_ms": round(placement.first_token * 1e3),
                "tokens": self.call.traits.prompt_tokens,
            },
        )
        return reader, upstream

    async def _prefill(self, reader: Upstream) -> str:
        """Have the prompt read and return the name of its KV cache, "" if that failed."""
        if self.prefills and not self.sends.spend_extra():
            return ""
        self.prefills += 1
        book = self.context.placing.engine_book(reader)
        loop = asyncio.get_running_loop()
        parts = shared_parts(self.call)
        to_read = max(1, self.call.traits.prompt_tokens - book.prefix.cached(parts))
        number = book.begin(to_read, self.call.route.rank, loop.time())
        done = False
        try:
            source = await self._exchange_prefill(reader)
            done = True
            book.prefix.store(parts)
            return source
        except (NotReachedError, ReplyLostError) as error:
            book.failed_until = loop.time() + FAILED_SECONDS
            self._log_failure(reader, error.message, "prefill")
            return ""
        finally:
            book.end(number, loop.time(), done=done)

    async def _exchange_prefill(self, reader: Upstream) -> str:
        call = self.call
        dialect = self.context.dialect
        now = asyncio.get_running_loop().time()
        attempt = Attempt(
            reader.name,
            call.deadline,
            priority=self._priority(),
            prefill_only=True,
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
        parts = shared_parts(self.call)
        to_read = max(1, self.call.traits.prompt_tokens - book.prefix.cached(parts))
        reading = book.begin(1 if source else to_read, self.call.route.rank, loop.time())
        taken = False
        try:
            async with self._open(upstream, source) as reply:
                traits = self.context.read_reply(self.call, upstream, reply)
                if traits.request_id and (
                    traits.request_id != self.call.traits.request_id
                ):
                    raise BrokenStreamError("the reply belongs to another request")
                if traits.not_run:
                    self.sends.on_not_run()
                    raise BrokenStreamError(f"status {reply.status}, not run")
                taken = True
                if not 200 <= reply.status < 300:
                    return await self._on_failure_status(reply, traits)
                if not traits.signed:
                    raise BrokenStreamError("the reply is not signed")
                async for event in self._events(reply):
                    if reading:
                        share = 1.0 if upstream.role is Role.PREFILL else DECODE_SHARE
                        book.end(reading, loop.time(), done=not source, share=share)
                        reading = 0
                        book.streams += 1
                        book.prefix.store(parts)
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
            if reading:
                book.end(reading, loop.time(), done=False)
            else:
                book.streams -= 1
            if not taken:
                self._release(source)
        return None

    def _open(self, upstream: Upstream, source: str):  # type: ignore[no-untyped-def]
        call = self.call
        now = asyncio.get_running_loop().time()
        attempt = Attempt(
            upstream.name,
            call.deadline,
            priority=self._priority(),
            kv_source=source,
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
        self.first_event_at = asyncio.get_running_loop().time()
        self.weights = traits.weights
        await self.reply.start(reply.status, answer_headers(reply))

    async def _finish(self, reply: Reply, traits: ReplyTraits) -> None:
        await self._start(reply, traits)
        await self.reply.finish()

    async def _on_failure_status(self, reply: Reply, traits: ReplyTraits) -> int:
        body = await reply.read()
        if (
            reply.status in NOT_RUN_STATUSES
            or not traits.signed
            or self.reply.started
        ):
            raise BrokenStreamError(f"status {reply.status} without a promise")
        await self.reply.answer(reply.status, answer_headers(reply), body)
        return reply.status

    def _refuse_unrepeatable(self) -> None:
        """Raise where the request must not be sent again."""
        if not self.sends.maybe_ran or self.call.route.repeatable:
            return
        raise RequestError(ResultCode.OUTCOME_UNKNOWN) from None

    def _priority(self) -> int:
        return min(9, self.call.route.rank)

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
