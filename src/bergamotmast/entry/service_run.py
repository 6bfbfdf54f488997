"""Execution of one call of a plain service, at most once if it is not repeatable."""

from __future__ import annotations

import asyncio
import hashlib
import typing as t

from ..errors import CODE_INFO
from ..errors import Outcome
from ..errors import PortError
from ..errors import RequestError
from ..errors import ResultCode
from ..model import Cost
from ..model import ServiceAnswer
from ..model import ServiceCall
from ..protocol import messages
from ..protocol import timing
from .attempt import DeadlinePassed
from .attempt import EntryAttempt
from .attempt import SessionLost
from .attempt import SideReplaced
from .interfaces import EntryContext
from .placement import Placement

CLAIM_WRITE_TIMEOUT = 1.0
"""Seconds for which an answer is held back while the end of its claim is written."""

SESSION_RECOVERY_GRACE = 10.0
"""Seconds for which a call that may be running waits for a new session with its side.

After a network partition of a few seconds, the call still gets its real answer. A side
that died never reports, and waiting for a deadline that is minutes away would only
delay the outcome "unknown".
"""


class ServiceRun:
    """Runs one call of a plain service.

    A repeatable call is retried on another upstream. Any other call is offered again
    only if it certainly did not run; with an idempotency key, it also needs a claim.

    :param entry: the entry that runs the call.
    :param call: the call.
    """

    def __init__(self, entry: EntryContext, call: ServiceCall) -> None:
        self.entry = entry
        self.call = call
        self.placement = Placement(entry, call)

    async def answer(self) -> ServiceAnswer:
        """Run the call and return its answer.

        :raises RequestError: if the call ends without an answer.
        """
        if self.call.repeatable:
            return await self._run_attempts()
        if not self.call.idempotency_key:
            return await self._run_attempts()
        return await self._run_at_most_once()

    async def _run_at_most_once(self) -> ServiceAnswer:
        """Claim the caller's idempotency key, then run the call.

        Without a granted claim the call does not run. The answer stored for an earlier
        call with the key is returned as it is.
        """
        claims = self.entry.claims
        key = f"{self.call.tenant}/{self.call.route}/{self.call.idempotency_key}"
        earlier = await claims.claim(key, self._digest())
        if earlier is not None:
            return earlier
        try:
            answer = await self._run_attempts()
        except RequestError as error:
            if CODE_INFO[error.code].outcome is Outcome.NOT_RUN:
                await self._finish_claim(claims.release(key))
            raise
        await self._finish_claim(claims.complete(key, answer))
        return answer

    async def _finish_claim(self, writing: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Record the end of a claim, within a time limit.

        A failure is ignored: a claim left open only makes a replay of its key end as
        "unknown".
        """
        try:
            async with asyncio.timeout(CLAIM_WRITE_TIMEOUT):
                await writing
        except (PortError, RequestError, TimeoutError):
            return

    def _digest(self) -> bytes:
        call = self.call
        text = f"{call.method} {call.path} {call.content_type}\n".encode()
        return hashlib.sha256(text + call.body).digest()[:16]

    async def _run_attempts(self) -> ServiceAnswer:
        self.entry.policy.on_admitted(self.call, self.placement.now())
        while True:
            choice = await self.placement.choose(0, self.call.deadline)
            assert choice.upstream is not None
            async with self.placement.run_apart(choice.upstream) as granted:
                if not granted:
                    self.placement.on_busy(choice.upstream)
                    continue
                answer = await self._attempt(choice.upstream)
            if answer is not None:
                self.placement.on_done(choice.upstream, 0)
                self.placement.on_answered()
                return answer

    async def _attempt(self, upstream: str) -> ServiceAnswer | None:
        """Make one attempt; return ``None`` if another one may be made."""
        attempt = await self.placement.offer(upstream, Cost(1, 1), self._work())
        if attempt is None:
            return None
        try:
            return await self._consume(attempt)
        finally:
            self.placement.detach(attempt)

    def _work(self) -> messages.ServiceWork:
        call = self.call
        return messages.ServiceWork(
            route=call.route,
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            repeatable=call.repeatable,
            idempotency_key=call.idempotency_key,
        )

    async def _consume(self, attempt: EntryAttempt) -> ServiceAnswer | None:
        """Handle the attempt's events until it ends.

        :returns: the answer; ``None`` if another attempt may be made.
        """
        while True:
            event = await attempt.events.get()
            match event:
                case messages.ServiceDone():
                    return _answer(event)
                case messages.Refused():
                    self.placement.on_refused(
                        attempt.upstream, event.code, event.retry_after or None
                    )
                    return None
                case messages.Failed():
                    await self.placement.on_crash(attempt.upstream, event.crashed_boot)
                    self._on_outcome_unknown(attempt)
                    return None
                case SideReplaced():
                    self._on_outcome_unknown(attempt)
                    return None
                case SessionLost() if self.call.repeatable:
                    self._on_outcome_unknown(attempt)
                    return None
                case SessionLost():
                    self._set_resolution_deadline(
                        attempt, self.placement.now() + SESSION_RECOVERY_GRACE
                    )
                case messages.AttemptState(state="started"):
                    self._set_resolution_deadline(attempt, self.call.deadline)
                case messages.AttemptState(state="never_started"):
                    self.placement.on_refused(
                        attempt.upstream, ResultCode.STALE_SESSION, None
                    )
                    return None
                case messages.AttemptState(state="done"):
                    return await self._wait_for_stored_answer(attempt)
                case DeadlinePassed():
                    return await self._end_at_deadline(attempt)
                case _:
                    pass

    def _set_resolution_deadline(self, attempt: EntryAttempt, at: float) -> None:
        """Set when the call ends as unknown if its side reports nothing.

        :param at: local monotonic time; the call's deadline also applies.
        """
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = asyncio.get_running_loop().call_at(
            min(at, self.call.deadline), attempt.events.put_nowait, DeadlinePassed()
        )

    def _on_outcome_unknown(self, attempt: EntryAttempt) -> None:
        """Allow another attempt of a repeatable call; end any other as unknown."""
        self.placement.on_failed(attempt.upstream, ResultCode.OUTCOME_UNKNOWN, 0)
        if not self.call.repeatable:
            raise self.placement.error(ResultCode.OUTCOME_UNKNOWN, None)

    async def _wait_for_stored_answer(
        self, attempt: EntryAttempt
    ) -> ServiceAnswer | None:
        """Wait for the answer that follows the report that the call is done."""
        try:
            async with asyncio.timeout(timing.CANCEL_REPLY_TIMEOUT_SECONDS):
                while True:
                    event = await attempt.events.get()
                    if isinstance(event, messages.ServiceDone):
                        return _answer(event)
        except TimeoutError:
            self._on_outcome_unknown(attempt)
            return None

    async def _end_at_deadline(self, attempt: EntryAttempt) -> ServiceAnswer | None:
        """End the call at its deadline with the outcome that the side reports."""
        state = await self.placement.resolve(attempt)
        if state == "never_started":
            raise self.placement.error(ResultCode.EXPIRED_IN_QUEUE, None)
        if state == "done":
            return await self._wait_for_stored_answer(attempt)
        self.placement.may_have_run = True
        raise self.placement.error(ResultCode.OUTCOME_UNKNOWN, None)


def _answer(done: messages.ServiceDone) -> ServiceAnswer:
    return ServiceAnswer(done.status, done.body, done.content_type)
