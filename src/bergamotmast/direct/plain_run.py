"""Handling of one request to a plain upstream, including retries."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from .attempts import AttemptTracker
from .caller import CallerReply
from .context import Context
from .forwarding import response_headers
from .liveness import abort_when
from .model import Call
from .model import Upstream
from .ports import Attempt
from .ports import Headers

RETRY_AFTER_OBJECTIVES = 2.0
"""Multiple of the latency objective after which an idempotent request is retried at
another upstream. Without a retry, a hanging upstream would delay it to its deadline."""

OVERDUE = "no reply within the timeout"
"""Error of an attempt without a reply, as operators see it in the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """An upstream's complete response."""

    status: int
    headers: Headers
    body: bytes


class PlainRun:
    """Runs one request to a plain upstream.

    :param last_failure: last failed response, forwarded if no attempt is left.
    """

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.reply = reply
        self.attempts = AttemptTracker(context, call)
        self.last_failure: PlainResponse | None = None

    async def run(self) -> int:
        """Send the response to the caller and return its status.

        :raises RequestError: if there is no response to forward.
        """
        try:
            async with self.context.time_limits.limit(self.call.deadline):
                response = await self._run_attempts()
        except TimeoutError:
            raise self.attempts.timeout_error() from None
        await self.reply.respond(response.status, response.headers, response.body)
        return response.status

    async def _run_attempts(self) -> PlainResponse:
        while True:
            try:
                upstream = self.context.placer.choose_plain_upstream(
                    self.call, self.attempts.excluded
                )
                self.attempts.begin(upstream)
            except RequestError:
                if self.last_failure is not None:
                    return self.last_failure
                if self.attempts.may_have_run:
                    raise self.attempts.exhausted_error() from None
                raise
            response = await self._send(upstream)
            if response is not None:
                self.attempts.on_answered()
                return response

    async def _send(self, upstream: Upstream) -> PlainResponse | None:
        """Make one attempt; return ``None`` if another upstream may be tried."""
        async with self.attempts.run_apart(upstream) as granted:
            if not granted:
                self.attempts.on_not_sent(upstream)
                return None
            return await self._run(upstream)

    async def _run(self, upstream: Upstream) -> PlainResponse | None:
        tracker = self.context.placer.plain_load(upstream)
        loop = asyncio.get_running_loop()
        tracker.running += 1
        sent_at = loop.time()
        try:
            async with asyncio.timeout_at(self.call.deadline):
                async with self._abort_for_retry(sent_at):
                    return await self._exchange(upstream)
        except NotReachedError as error:
            tracker.failed(loop.time())
            self.attempts.on_not_sent(upstream)
            self.attempts.log_failure(upstream, error.message, "not reached")
            return None
        except (ReplyLostError, TimeoutError) as error:
            tracker.failed(loop.time())
            # Only the reply is known to be lost: the upstream has most likely run it.
            self.attempts.on_begun(sent_at)
            self.attempts.on_lost(upstream, error)
            self.attempts.log_failure(upstream, str(error) or OVERDUE, "unknown")
            if not self.call.route.repeatable:
                raise RequestError(ResultCode.OUTCOME_UNKNOWN) from None
            if loop.time() >= self.call.deadline:
                raise RequestError(ResultCode.DEADLINE_EXCEEDED) from None
            return None
        finally:
            tracker.running -= 1

    def _abort_for_retry(
        self, sent_at: float
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Cancel an overdue attempt if the request may be sent to another upstream."""
        route = self.call.route
        if not route.repeatable:
            return contextlib.nullcontext()
        overdue_at = sent_at + RETRY_AFTER_OBJECTIVES * route.objective
        return abort_when(lambda: self._overdue_reason(overdue_at))

    async def _overdue_reason(self, overdue_at: float) -> str:
        """Return why to cancel an attempt, or an empty string to keep waiting.

        A slow upstream's response is worth more than none.
        """
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, overdue_at - now))
        attempts = self.attempts
        return "" if attempts.obstacle() or not attempts.prepay(1) else OVERDUE

    async def _exchange(self, upstream: Upstream) -> PlainResponse | None:
        call = self.call
        dialect = self.context.dialect
        now = asyncio.get_running_loop().time()
        attempt = Attempt(upstream.name, call.deadline, call.tenant_name)
        headers = dialect.write_headers(call.headers, attempt, now)
        async with self.context.client.send(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            fresh=not call.route.repeatable,
        ) as reply:
            traits = self.context.read_reply(call, upstream, reply, now)
            if traits.not_run:
                self.attempts.on_not_run()
                self.attempts.log_failure(upstream, f"status {reply.status}", "not run")
                return None
            self.attempts.on_begun(now)
            self.context.check_reply(call, reply, traits)
            body = await reply.read()
            response = PlainResponse(reply.status, response_headers(reply), body)
        tracker = self.context.placer.plain_load(upstream)
        if 200 <= response.status < 300:
            tracker.succeeded()
            return response
        return self._on_failure_status(upstream, response)

    def _on_failure_status(
        self, upstream: Upstream, response: PlainResponse
    ) -> PlainResponse | None:
        """Return a failed response to forward, or ``None`` to retry elsewhere first."""
        self.attempts.log_failure(upstream, f"status {response.status}", "ran")
        self.last_failure = response
        may_repeat = self.call.route.repeatable and response.status >= 500
        return None if may_repeat else response
