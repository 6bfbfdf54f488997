"""One attempt to stream a response from a decode engine."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import typing as t

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from .attempt_identity import AttemptIdentity
from .event_reader import read_events
from .events import BrokenStreamError
from .events import Event
from .events import EventSplitter
from .events import RunOrder
from .exported_cache import ExportedCache
from .forwarding import response_headers
from .model import Upstream
from .ports import Attempt
from .ports import Reply
from .ports import ReplyTraits
from .ports import Response
from .prefill_tracker import TrackedPrefill
from .remote_prefill import UNRESPONSIVE
from .response_buffer import ResponseReader
from .stream import Stream
from .unregistered_builds import UNIDENTIFIED_BUILD

STALL_TIMEOUT_SECONDS = 1.2
"""Maximum gap between two events before a resumable stream is also started at another
engine. Callers disconnect after two seconds, and resuming takes about 400 ms."""

REFUSED_COOL_DOWN_SECONDS = 0.3
"""Cool-down of an engine that refused a request: it is full or changing its role."""

WRONG_UPSTREAM_COOL_DOWN_SECONDS = 1.0
"""Cool-down of an engine whose registration is outdated: it refuses requests until it
has updated the registration, which takes one heartbeat."""

logger = logging.getLogger(__name__)


class Race(t.Protocol):
    """The attempts of one stream, of which one forwards its events."""

    @property
    def contested(self) -> bool:
        """Whether several attempts are running."""
        ...

    def on_progress(self, decode: DecodeAttempt) -> None:
        """Withdraw the other attempts, as this one goes on with the response."""
        ...

    def leads(self, decode: DecodeAttempt) -> bool:
        """Return whether no other running attempt started before this one."""
        ...


class DecodeAttempt:
    """One attempt to stream a response from one engine.

    Points in time are on the event loop's clock.

    :param identity: the incarnation that it runs at.
    :param cache_build: build of the KV cache to import; ``None`` without one.
    :param prefill: the tracked prefill if this engine also prefills the prompt.
    :param last_reply_at: when data last arrived from the engine; infinity before that.
    :param reader: reader of the engine's response; ``None`` before it has begun.
    :param splitter: splits the response into events.
    :param order: order of the events of this run.
    :param streaming: whether the engine has sent an event.
    :param decoding: whether it is counted as decoding the stream.
    :param reserved: tokens of its memory that are counted for this attempt.
    :param started_at: when the attempt started.
    :param sent_at: when the engine was asked to import a KV cache from another engine.
    :param sent: whether the request has been sent.
    :param measured: whether it counts as a decode in the measured engine time.
    :param replaced: whether another attempt has started beside it.
    :param forwarding: whether the caller's connection is being written to.
    :param began: whether the stream began with it, so that it is booked there.
    :param finished: whether the attempt has ended.
    :param obstacle: last logged reason for waiting for a silent engine.
    """

    def __init__(
        self, stream: Stream, upstream: Upstream, cache: ExportedCache, race: Race
    ) -> None:
        self.stream = stream
        self.cache = cache
        self.race = race
        self.context = stream.context
        self.call = stream.call
        self.upstream = upstream
        self.tracker = stream.context.placer.engine_load(upstream)
        self.identity = AttemptIdentity(stream.context.incarnations, upstream)
        self.cache_build = cache.build if cache else None
        self.prefill: TrackedPrefill | None = None
        self.last_reply_at = math.inf
        self.reader: ResponseReader | None = None
        self.splitter = EventSplitter()
        self.order = RunOrder(stream.order)
        self.streaming = False
        self.decoding = False
        self.reserved = 0
        self.sent_at: float | None = None
        self.started_at = asyncio.get_running_loop().time()
        self.sent = False
        self.measured = False
        self.replaced = False
        self.forwarding = False
        self.began = False
        self.finished = False
        self.obstacle = ""

    async def run(self) -> int | None:
        """Return the status, or ``None`` if the request may be retried elsewhere.

        :raises RequestError: if it must not be retried, or no attempt is left.
        """
        attempts = self.stream.attempts
        attempts.begin(self.upstream)
        async with attempts.run_apart(self.upstream) as granted:
            if not granted or not attempts.is_still_open(self.upstream):
                attempts.on_not_sent(self.upstream)
                return None
            return await self._run()

    async def _run(self) -> int | None:
        self._track_prefill()
        try:
            return await self._exchange()
        except NotReachedError as error:
            self.context.on_lost(self.call, self.upstream, self.started_at)
            self.stream.start_cool_down(self.upstream)
            self.stream.attempts.on_not_sent(self.upstream)
            self._log_failure(error.message, "not reached")
        except ReplyLostError as error:
            self._on_lost(error)
            self._on_broken(error)
        except BrokenStreamError as error:
            self._on_broken(error)
        except TimeoutError:
            # The operating system has timed the connection out.
            timed_out = ReplyLostError("the connection timed out")
            self._on_lost(timed_out)
            self._on_broken(timed_out)
        finally:
            self.finished = True
            self._untrack()
        return None

    @property
    def replied(self) -> bool:
        """Whether data has arrived from the engine."""
        return self.last_reply_at < math.inf

    def _on_lost(self, error: Exception) -> None:
        if not self.replied:
            self.context.on_lost(self.call, self.upstream, self.started_at)
        self.stream.attempts.on_lost(
            self.upstream, error, self.started_at, replied=self.replied
        )

    def _on_broken(self, error: Exception) -> None:
        """Handle a reply that broke off or can't be used.

        :raises RequestError: if the request must not run again.
        """
        self._log_failure(str(error), "broken")
        if not self.replied:
            # Without a cool-down, the engine would look idle and attract the
            # following requests.
            self.stream.start_cool_down(self.upstream)
        # The engine may have imported the KV cache, which can be imported once.
        self.cache.release()
        self._raise_if_not_repeatable()

    def _track_prefill(self) -> None:
        """Track the prefill at this engine unless another engine has done it."""
        timeline = self.stream.timeline
        timeline.upstream = self.upstream.name
        if not self.cache:
            self.prefill = self.stream.prefills.begin(self.upstream)
            timeline.prefill_engine = ""
            timeline.uncached_tokens = self.prefill.tokens
            # Until its end, the prefill counts for the prompt.
            self._reserve(self.call.traits.max_tokens)
        else:
            self._reserve(self.call.traits.prompt_tokens + self.call.traits.max_tokens)

    def _reserve(self, tokens: int) -> None:
        self.reserved += tokens
        self.tracker.memory.reserved += tokens

    def _on_event(self) -> None:
        """Record that the prefill is complete when the first event arrives."""
        if self.streaming:
            return
        self.streaming = True
        self._begin_decode()
        self.stream.attempts.on_begun(self.last_reply_at)
        self.stream.on_prefilled()
        if self.reader is None or not self.reader.has_ended:
            self.decoding = True
            self.tracker.streams += 1
        if self.prefill is not None:
            self.stream.prefills.end(self.upstream, self.prefill, done=True)
            self._reserve(self.call.traits.prompt_tokens)
        elif self.sent_at is not None and self.context.decisions.learning:
            seconds = asyncio.get_running_loop().time() - self.sent_at
            transfers = self.tracker.prefill_times.transfers
            transfers.learn(self.call.traits.prompt_tokens, 0, seconds)

    def _begin_decode(self) -> None:
        if not self.measured:
            self.measured = True
            self.context.engine_times.on_decode_begun(self.upstream.group)

    def _on_decoded(self) -> None:
        """Record that the engine has sent all of its response."""
        self._reserve(-self.reserved)
        if self.measured:
            self.measured = False
            self.context.engine_times.on_decode_ended(self.upstream.group)
        if self.decoding:
            self.decoding = False
            self.tracker.streams -= 1

    def _untrack(self) -> None:
        self._on_decoded()
        if not self.streaming and self.prefill is not None:
            self.stream.prefills.end(self.upstream, self.prefill, done=False)

    async def _exchange(self) -> int:
        async with self._open() as reply:
            traits = self._check(reply)
            self.cache.on_imported()
            if not 200 <= reply.status < 300:
                return await self._on_failure_status(reply)
            self.identity.ask_early(self.started_at)
            reader = ResponseReader(
                reply.chunks(),
                self.context.held_responses,
                self._on_data,
                self._on_decoded,
            )
            self.reader = reader
            try:
                memory = self.context.partial_events
                async for event in read_events(reader, self.splitter, memory):
                    self._on_event()
                    await self._forward(event, reply, traits, reader)
            finally:
                self.context.partial_events.release(self.splitter)
                self.order.on_ended(self.splitter.rest)
                self.identity.close()
                await reader.close()
            await self._end(reply, traits)
        return reply.status

    async def _identify(self) -> None:
        """Find out at which incarnation of the engine the request runs.

        :raises BrokenStreamError: if the response can't go on there.
        """
        if self.identity.settled:
            return
        await self.identity.settle(self.started_at)
        build = self.identity.build
        allowed = {self.cache_build or build, UNIDENTIFIED_BUILD}
        if self.stream.goes_on:
            allowed = {self.stream.attempts.build or ""}
        if build not in allowed:
            raise BrokenStreamError(f"the engine runs build {build!r}")

    def _open(self) -> contextlib.AbstractAsyncContextManager[Reply]:
        call, prefill = self.call, self.prefill
        now = asyncio.get_running_loop().time()
        self.sent = True
        if self.cache:
            self.sent_at = now
            # The answer may wait for a slot of the engine's batch, which it lacks.
            self._begin_decode()
        attempt = Attempt(
            self.upstream.name,
            call.deadline,
            call.tenant_name,
            priority=self._priority(),
            kv_source=self.cache.source,
            prefix_source=prefill.prefix_source if prefill is not None else "",
            last_event=self.stream.last_event,
            weights=self.stream.weights,
        )
        headers = self.context.write_headers(call, self.upstream, attempt, now)
        return self.context.client.send(
            self.upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            fresh=not call.route.repeatable,
        )

    def _priority(self) -> int:
        if self.prefill is not None:
            return self.prefill.priority
        return self.stream.decode_priority

    def _check(self, reply: Reply) -> ReplyTraits:
        """Return the reply's traits after checking that it belongs to this request.

        :raises ReplyLostError: if it does not.
        :raises BrokenStreamError: if it says that the request was not run.
        """
        self.last_reply_at = asyncio.get_running_loop().time()
        self.stream.timeline.replied_at = self.last_reply_at
        self.stream.on_reply_received(self.upstream)
        traits = self.context.read_reply(
            self.call, self.upstream, reply, self.started_at
        )
        if traits.not_run:
            self.stream.attempts.on_not_run()
            wrong = traits.wrong_upstream
            cool_down = (
                WRONG_UPSTREAM_COOL_DOWN_SECONDS if wrong else REFUSED_COOL_DOWN_SECONDS
            )
            self.stream.start_cool_down(self.upstream, cool_down)
            raise BrokenStreamError(f"status {reply.status}, not run")
        self.context.check_reply(self.call, reply, traits)
        return traits

    def _on_data(self) -> None:
        """Record that data has arrived, as the engine is alive."""
        self.tracker.last_reply_at = self.last_reply_at = (
            asyncio.get_running_loop().time()
        )
        if self.reader is not None:
            self.identity.on_data(self.reader.asked_at, self.last_reply_at)
        if self.replaced:
            self.replaced = False
            self.context.crash_detector.on_reply(self.upstream, self.last_reply_at)

    async def needs_replacement(self) -> bool:
        """Return whether to start another attempt, as the engine is silent."""
        if not self.call.route.repeatable or not await self._is_silent():
            return False
        obstacle = self.stream.attempts.obstacle()
        if obstacle and obstacle != self.obstacle:
            self._log_silence("silent engine is waited for", obstacle=obstacle)
        self.obstacle = obstacle
        return not obstacle

    async def _is_silent(self) -> bool:
        """Return whether a reply or the next event is overdue.

        After a power loss, an engine never replies and the caller disconnects before
        the connection times out. An engine at capacity does not reply in time either,
        but it passes the liveness probe and keeps the request. One that preempts a
        stream when it runs out of KV memory passes it too, but may take seconds.
        """
        now = asyncio.get_running_loop().time()
        if not self.sent or self.forwarding:
            return False
        if self.reader is not None and self.reader.has_data:
            return False
        if self.replied:
            return now >= self._waiting_since + STALL_TIMEOUT_SECONDS
        if not self.context.decisions.silence:
            return False
        if now < self.tracker.unresponsive_at(self.started_at, now):
            return False
        return not await self.context.liveness_checker.is_alive(self.upstream)

    @property
    def _waiting_since(self) -> float:
        """Since when the next data is waited for; a point in time."""
        resumed_at = self.reader.resumed_at if self.reader is not None else -math.inf
        return max(self.last_reply_at, resumed_at)

    def on_replaced(self) -> None:
        """Record that another attempt starts, as the engine is silent."""
        self.replaced = True
        self._on_lost(ReplyLostError(UNRESPONSIVE))
        if not self.replied:
            self.stream.start_cool_down(self.upstream)
        self._log_silence("another attempt beside a silent engine")

    def on_overtaken(self, other: DecodeAttempt) -> None:
        """Record that another attempt goes on with the response."""
        self.stream.attempts.on_withdrawn(self.upstream)
        if self.started_at < other.started_at:
            self.stream.start_cool_down(self.upstream)
            self._log_failure(UNRESPONSIVE, "broken")
        else:
            self._log_failure(f"{other.upstream.name} goes on", "withdrawn")

    def _log_silence(self, message: str, **fields: str) -> None:
        now = asyncio.get_running_loop().time()
        since = self.last_reply_at if self.replied else self.started_at
        logger.info(
            message,
            extra={
                "upstream": self.upstream.name,
                "last_event": self.stream.last_event,
                "silent_ms": round((now - since) * 1e3, 1),
                **fields,
            },
        )

    async def _forward(
        self, event: Event, reply: Reply, traits: ReplyTraits, reader: ResponseReader
    ) -> None:
        await self._identify()
        build = self.identity.build
        if not await self.stream.may_go_on_at(build):
            if not self.began:
                raise BrokenStreamError("the stream has begun at another build")
            # The engine has turned out to be another incarnation than was registered.
            self.stream.on_begun(build)
        if event.number is None:
            if not self.race.leads(self):
                return
        elif self.order.is_new(event.number):
            self.race.on_progress(self)
        else:
            return
        self.forwarding = True
        reader.on_write()
        await self._start(reply, traits)
        began_at = asyncio.get_running_loop().time()
        await self.stream.reply.write(event.data)
        now = asyncio.get_running_loop().time()
        self.identity.on_written(now - began_at)
        reader.on_written()
        self.forwarding = False
        if not reader.reads_ahead:
            # A caller that reads slowly has kept the engine's next event waiting.
            self.last_reply_at = now

    async def _end(self, reply: Reply, traits: ReplyTraits) -> None:
        """End the response normally."""
        if not self.race.leads(self):
            raise BrokenStreamError("ended without an event")
        if self.stream.order.lacks_event:
            raise BrokenStreamError("ended without an event that had begun")
        await self._identify()
        self.race.on_progress(self)
        self.stream.attempts.on_complete(self.upstream, self.started_at)
        self.forwarding = True
        await self._start(reply, traits)
        await self.stream.reply.finish()

    async def _start(self, reply: Reply, traits: ReplyTraits) -> None:
        if self.stream.reply.started:
            return
        self.race.on_progress(self)
        self.stream.timeline.first_event_at = asyncio.get_running_loop().time()
        self.stream.weights = traits.weights
        self.began = self.call.build is None
        self.stream.on_begun(self.identity.build)
        await self.stream.reply.start(reply.status, response_headers(reply))

    async def _on_failure_status(self, reply: Reply) -> int:
        response = Response(reply.status, response_headers(reply), await reply.read())
        if self.stream.reply.started:
            raise BrokenStreamError(f"status {reply.status} in a stream")
        if self.race.contested:
            self.stream.last_failure = response
            raise BrokenStreamError(f"status {reply.status}, another attempt runs")
        self.forwarding = True
        await self.stream.reply.respond(
            response.status, response.headers, response.body
        )
        return reply.status

    def _log_failure(self, error: str, outcome: str) -> None:
        last_event = self.stream.last_event
        self.stream.attempts.log_failure(self.upstream, error, outcome, last_event)

    def _raise_if_not_repeatable(self) -> None:
        """Raise an error if the request may have run and must not run again."""
        if self.stream.attempts.may_have_run and not self.call.route.repeatable:
            raise RequestError(ResultCode.OUTCOME_UNKNOWN) from None
