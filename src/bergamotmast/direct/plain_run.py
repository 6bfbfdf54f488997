"""Handling of one request to a plain upstream, including retries."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import math

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from .attempt_tasks import cancel_all
from .attempt_tasks import outcomes
from .attempts import AttemptTracker
from .caller import CallerReply
from .context import Context
from .forwarding import response_headers
from .liveness import WATCHDOG_INTERVAL_SECONDS
from .model import Call
from .model import Upstream
from .placer import UpstreamsLimitedError
from .plain_placer import PlainPlacer
from .ports import Attempt
from .ports import Response
from .send_permits import SendPermits

RETRY_AFTER_OBJECTIVES = 2.0
"""Multiple of the latency objective after which an idempotent request is also sent to
another upstream. A hanging upstream would delay it to its deadline."""

OVERDUE = "no reply within the timeout"
"""Error of an attempt without a reply, as operators see it in the log."""


class PlainRun:
    """Runs one request to a plain upstream.

    :param last_failure: last failed response, forwarded if no attempt is left.
    :param newest: upstream of the attempt that was started last.
    :param newest_sent_at: when that one was sent; a point in time.
    :param overdue_at: when another one may start beside it; a point in time.
    """

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.reply = reply
        self.attempts = AttemptTracker(context, call)
        self.permits = SendPermits(context, call)
        self.last_failure: Response | None = None
        self.newest: Upstream | None = None
        self.newest_sent_at = -math.inf
        self.overdue_at = math.inf

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

    async def _run_attempts(self) -> Response:
        """Return the first response; another attempt starts beside an overdue one."""
        running: set[asyncio.Task[Response | None]] = set()
        try:
            while True:
                if not running:
                    running.add(self._start_attempt())
                done, running = await asyncio.wait(
                    running,
                    timeout=self._seconds_to_overdue(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                response = self._collect(done, others_run=bool(running))
                if response is not None:
                    return response
                if not done and self._may_start_another():
                    running.add(self._start_attempt())
        finally:
            await cancel_all(*running)

    def _start_attempt(self) -> asyncio.Task[Response | None]:
        now = asyncio.get_running_loop().time()
        self.overdue_at = now + RETRY_AFTER_OBJECTIVES * self.call.route.objective
        return asyncio.create_task(self._attempt())

    def _collect(
        self,
        done: cabc.Collection[asyncio.Task[Response | None]],
        *,
        others_run: bool,
    ) -> Response | None:
        """Return the response of an attempt that has ended, or ``None``.

        :raises RequestError: if the last attempt failed and no other is allowed.
        """
        results, errors = outcomes(done)
        for response in results:
            if response is not None:
                self.attempts.on_answered()
                return response
        if not errors or results or others_run:
            return None
        if self.last_failure is not None and isinstance(errors[0], RequestError):
            return self.last_failure
        raise errors[0]

    def _seconds_to_overdue(self) -> float | None:
        """Return the time until another attempt may start; ``None`` for never."""
        if not self.call.route.repeatable:
            return None
        now = asyncio.get_running_loop().time()
        seconds = self.overdue_at - now
        return seconds if seconds > 0.0 else WATCHDOG_INTERVAL_SECONDS

    def _may_start_another(self) -> bool:
        """Return whether to start another attempt, and pay for it if so."""
        now = asyncio.get_running_loop().time()
        if now < self.overdue_at or self.attempts.obstacle():
            return False
        if not self.attempts.prepay(1):
            return False
        if self.newest is not None:
            self._on_overdue(self.newest)
        return True

    def _on_overdue(self, upstream: Upstream) -> None:
        """Record that an upstream has not answered in time."""
        now = asyncio.get_running_loop().time()
        self._on_failed(upstream, self.newest_sent_at)
        # Only the reply is missing: the upstream has most likely begun to run it.
        self.attempts.on_begun(now)
        self.attempts.log_failure(upstream, OVERDUE, "unknown")

    def _on_failed(self, upstream: Upstream, sent_at: float) -> None:
        """Record that an upstream has failed an attempt.

        :param sent_at: when it was sent; a point in time.
        """
        now = asyncio.get_running_loop().time()
        placer = self.context.placer
        self.context.on_lost(self.call, upstream, sent_at)
        placer.plain_load(upstream).failed(now)
        placer.learned.on_failure(upstream, now)

    async def _attempt(self) -> Response | None:
        """Make one attempt; return ``None`` if another upstream may be tried."""
        try:
            upstream = await self._choose_upstream()
            self.attempts.begin(upstream)
        except RequestError:
            if self.attempts.may_have_run:
                raise self.attempts.exhausted_error() from None
            raise
        self.newest = upstream
        self.newest_sent_at = asyncio.get_running_loop().time()
        async with self.attempts.run_apart(upstream) as granted:
            if not granted or not self.attempts.is_still_open(upstream):
                self.attempts.on_not_sent(upstream)
                return None
            return await self._run(upstream)

    async def _choose_upstream(self) -> Upstream:
        """Return the upstream of the next attempt, once the request may be sent there.

        :raises RequestError: if there is none, or none that takes it in time.
        """
        placer = PlainPlacer(self.context.placer)
        while True:
            try:
                upstream = placer.choose(
                    self.call, self.attempts.excluded, self.permits
                )
            except UpstreamsLimitedError as error:
                raise self.permits.refusal(error) from None
            if await self.permits.take(upstream):
                return upstream

    async def _run(self, upstream: Upstream) -> Response | None:
        tracker = self.context.placer.plain_load(upstream)
        loop = asyncio.get_running_loop()
        tracker.running += 1
        sent_at = loop.time()
        try:
            async with asyncio.timeout_at(self.call.deadline):
                return await self._exchange(upstream)
        except NotReachedError as error:
            self._on_failed(upstream, sent_at)
            self.attempts.on_not_sent(upstream)
            self.attempts.log_failure(upstream, error.message, "not reached")
            return None
        except (ReplyLostError, TimeoutError) as error:
            self._on_failed(upstream, sent_at)
            # Only the reply is known to be lost: the upstream has most likely run it.
            self.attempts.on_begun(sent_at)
            self.attempts.on_lost(upstream, error, sent_at)
            self.attempts.log_failure(upstream, str(error) or OVERDUE, "unknown")
            if not self.call.route.repeatable:
                raise RequestError(ResultCode.OUTCOME_UNKNOWN) from None
            if loop.time() >= self.call.deadline:
                raise RequestError(ResultCode.DEADLINE_EXCEEDED) from None
            return None
        except asyncio.CancelledError:
            self._on_left(upstream, loop.time() - sent_at)
            raise
        finally:
            tracker.running -= 1

    def _on_left(self, upstream: Upstream, seconds: float) -> None:
        """Record that the caller has left while an upstream took too long.

        An upstream that is slower than its callers' patience would otherwise show no
        time at all. Attempts of repeatable requests count when they are overdue.
        """
        route = self.call.route
        if not route.repeatable and seconds > route.objective:
            now = asyncio.get_running_loop().time()
            self.context.placer.learned.on_failure(upstream, now)

    async def _exchange(self, upstream: Upstream) -> Response | None:
        call = self.call
        loop = asyncio.get_running_loop()
        now = loop.time()
        tracker = self.context.placer.plain_load(upstream)
        load = tracker.load(now)
        learned = self.context.placer.learned
        attempt = Attempt(upstream.name, call.deadline, call.tenant_name)
        headers = self.context.write_headers(call, upstream, attempt, now)
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
                if not traits.wrong_upstream:
                    learned.on_failure(upstream, loop.time())
                self.attempts.log_failure(upstream, f"status {reply.status}", "not run")
                return None
            self.attempts.on_begun(now)
            self.context.check_reply(call, reply, traits)
            body = await reply.read()
            response = Response(reply.status, response_headers(reply), body)
        if 200 <= response.status < 300:
            ended = loop.time()
            # The load at the start lacks what other entries sent in the same moment.
            running = (load + tracker.load(ended)) / 2
            learned.on_answer(upstream, call.route, ended - now, running, ended)
            self.context.placer.plain_load(upstream).succeeded()
            self.attempts.on_complete(upstream, now)
            return response
        return self._on_failure_status(upstream, response)

    def _on_failure_status(
        self, upstream: Upstream, response: Response
    ) -> Response | None:
        """Return a failed response to forward, or ``None`` to retry elsewhere first."""
        self.attempts.log_failure(upstream, f"status {response.status}", "ran")
        if response.status >= 500:
            now = asyncio.get_running_loop().time()
            self.context.placer.learned.on_failure(upstream, now)
        self.last_failure = response
        may_repeat = self.call.route.repeatable and response.status >= 500
        return None if may_repeat else response
