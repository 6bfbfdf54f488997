"""Execution of attempts on an upstream: streams of an engine, calls of a service."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import typing as t

from ..errors import NotReachedError
from ..errors import PortError
from ..errors import ReplyLostError
from ..errors import ResultCode
from ..model import EngineState
from ..model import GenerateRequest
from ..model import ServiceCall
from ..ports import Engine
from ..ports import PlainService
from ..protocol import messages
from .attempt import Attempt
from .attempt import ChunkBuffer

logger = logging.getLogger(__name__)

CRASH_CHECK_SECONDS = 0.3
"""Time limit for the check whether a lost stream was lost in a crash: the entry waits
for it before it resumes the stream elsewhere."""


class AttemptSink(t.Protocol):
    """The receiver of an attempt's messages and progress: the side.

    :param engine: last known state of the upstream.
    """

    engine: EngineState | None

    async def send(self, peer: bytes, message: messages.ToEntry) -> None:
        """Send a message to an entry in the next iteration of the event loop."""
        ...

    def on_tokens(self, attempt: Attempt, tokens: int, prefilled: int) -> None:
        """Record the progress of a stream.

        :param tokens: output tokens that were added.
        :param prefilled: prompt tokens whose prefill is complete.
        """
        ...


class Runner(t.Protocol):
    """Runs attempts on one kind of upstream."""

    async def run(self, attempt: Attempt, side: AttemptSink) -> None:
        """Run a started attempt to its end and send its results."""
        ...

    def on_credit(self, attempt: Attempt) -> None:
        """Handle new credit of a stream."""
        ...


class EngineRunner:
    """Runs streams on an engine.

    :param engine: the engine beside this side.
    :param credit_events: set by new credit, by name of the attempt.
    """

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.credit_events: dict[str, asyncio.Event] = {}

    def on_credit(self, attempt: Attempt) -> None:
        """Wake the stream if it waits for credit."""
        event = self.credit_events.get(attempt.name)
        if event is not None:
            event.set()

    async def run(self, attempt: Attempt, side: AttemptSink) -> None:
        """Stream an answer, sending chunks only while the stream has credit."""
        self.credit_events[attempt.name] = asyncio.Event()
        boot = side.engine.boot_id if side.engine is not None else ""
        try:
            await self._stream(attempt, side)
        except NotReachedError:
            await _refused(attempt, side)
        except PortError as error:
            crashed_boot = boot if await self._has_crashed(boot) else ""
            await _failed(
                attempt,
                side,
                ResultCode.UPSTREAM_FAILED,
                error.message,
                crashed_boot,
            )
        except asyncio.CancelledError:
            # Cancelled on purpose; closing the generator has ended the engine's stream.
            pass
        finally:
            del self.credit_events[attempt.name]

    async def _has_crashed(self, boot: str) -> bool:
        """Return whether an incarnation of the engine has ended.

        The side runs on the engine's instance: nothing but the end of its process
        makes a connection from there be refused.
        """
        try:
            async with asyncio.timeout(CRASH_CHECK_SECONDS):
                state = await self.engine.state()
        except NotReachedError:
            return True
        except (PortError, TimeoutError) as error:
            logger.info("crash is not checked: %r", error)
            return False
        return state.boot_id != boot

    async def _stream(self, attempt: Attempt, side: AttemptSink) -> None:
        buffer = ChunkBuffer(attempt.name)
        work = attempt.offer.work
        assert isinstance(work, messages.ModelWork)
        prefill = 0 if work.kv_handle else work.prompt_tokens
        finished = False
        chunks = self.engine.generate(_generate_request(attempt, work))
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                first = buffer.last is None and chunk.index == work.resume_tokens
                side.on_tokens(attempt, chunk.tokens, prefill * first)
                buffer.add(chunk)
                finished = bool(chunk.finish)
                await self._flush(attempt, side, buffer)
        if not finished:
            raise ReplyLostError("the engine's stream broke off")
        await self._flush_last(attempt, side, buffer)

    async def _flush(
        self, attempt: Attempt, side: AttemptSink, buffer: ChunkBuffer
    ) -> None:
        if attempt.credit <= 0:
            return
        message = buffer.message()
        if message is not None:
            attempt.credit -= 1
            buffer.clear()
            await side.send(attempt.session.peer, message)

    async def _flush_last(
        self, attempt: Attempt, side: AttemptSink, buffer: ChunkBuffer
    ) -> None:
        """Send the remaining chunks as credit allows, until the caller's deadline."""
        event = self.credit_events[attempt.name]
        while buffer.last is not None:
            await self._flush(attempt, side, buffer)
            if buffer.last is None:
                return
            event.clear()
            try:
                async with asyncio.timeout_at(attempt.deadline):
                    await event.wait()
            except TimeoutError:
                return


class ServiceRunner:
    """Runs calls of a plain service.

    :param service: the service beside this side.
    :param name: random identifier of this runner.
    :param crashes: number of crashes of the service that it has seen.
    """

    def __init__(self, service: PlainService) -> None:
        self.service = service
        self.name = secrets.token_hex(8)
        self.crashes = 0

    def on_credit(self, attempt: Attempt) -> None:
        """Ignore credit, as the answer of a plain service is one message."""

    async def run(self, attempt: Attempt, side: AttemptSink) -> None:
        """Run a call and send its answer."""
        work = attempt.offer.work
        assert isinstance(work, messages.ServiceWork)
        earlier_crashes = self.crashes
        try:
            answer = await self.service.call(_service_call(attempt, work))
        except NotReachedError:
            await _refused(attempt, side)
            return
        except PortError as error:
            boot = await self._crashed_boot(earlier_crashes)
            await _failed(
                attempt, side, ResultCode.OUTCOME_UNKNOWN, error.message, boot
            )
            return
        done = messages.ServiceDone(
            attempt.name, answer.status, answer.body, answer.content_type
        )
        attempt.answer = done
        await side.send(attempt.session.peer, done)

    async def _crashed_boot(self, earlier_crashes: int) -> str:
        """Return the id of the service's incarnation that crashed with a call.

        A service has no id of its own, so its crashes are counted: calls that were
        started after the same number of crashes are lost with the same incarnation.

        :param earlier_crashes: number of crashes before the call was started.
        :returns: an empty string if the service did not crash.
        """
        if self.crashes == earlier_crashes:
            if not await self.service.is_refused():
                return ""
            self.crashes = earlier_crashes + 1
        return f"{self.name}-{earlier_crashes}"


async def _refused(attempt: Attempt, side: AttemptSink) -> None:
    refused = messages.Refused(attempt.name, ResultCode.ENGINE_NOT_READY, 0.0)
    await side.send(attempt.session.peer, refused)


async def _failed(
    attempt: Attempt,
    side: AttemptSink,
    code: ResultCode,
    detail: str,
    crashed_boot: str = "",
) -> None:
    failed = messages.Failed(attempt.name, code, detail, crashed_boot)
    await side.send(attempt.session.peer, failed)


def _generate_request(attempt: Attempt, work: messages.ModelWork) -> GenerateRequest:
    return GenerateRequest(
        stream_id=f"{attempt.offer.request_id}/{attempt.name}",
        model=work.model,
        prompt=work.prompt,
        prompt_tokens=work.prompt_tokens,
        max_tokens=work.max_tokens,
        priority=attempt.offer.priority,
        prefix_key=work.prefix_key,
        resume_text=work.resume_text,
        resume_tokens=work.resume_tokens,
        kv_handle=work.kv_handle,
        prefill_only=work.prefill_only,
    )


def _service_call(attempt: Attempt, work: messages.ServiceWork) -> ServiceCall:
    offer = attempt.offer
    return ServiceCall(
        request_id=offer.request_id,
        tenant=offer.tenant,
        request_class=offer.request_class,
        priority=offer.priority,
        route=work.route,
        method=work.method,
        path=work.path,
        body=work.body,
        content_type=work.content_type,
        repeatable=work.repeatable,
        idempotency_key=work.idempotency_key,
        deadline=attempt.deadline,
    )
