"""One call of a plain service at its entry; at most once where it must not repeat."""

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
from .interfaces import RunsEntry
from .placement import Placement

COMPLETION_TIMEOUT = 1.0
"""Seconds an answer waits for its claim to be marked as completed."""

RESOLUTION_GRACE = 10.0
"""Seconds for which a call that may be running waits for its side to be heard again.

A cut of some seconds then ends in the true answer. A side that died never tells, and
holding the caller until a deadline minutes away would only delay "unknown".
"""


class ServiceRun:
    """Runs one call of a plain service.

    :param entry: the entry that runs it.
    :param call: the request.
    """

    def __init__(self, entry: RunsEntry, call: ServiceCall) -> None:
        self.entry = entry
        self.call = call
        self.placement = Placement(entry, call)

    async def answer(self) -> ServiceAnswer:
        """Return the whole answer.

        :raises RequestError: if there is none.
        """
        if self.call.repeatable:
            return await self._attempts()
        if not self.call.idempotency_key:
            return await self._attempts()
        return await self._once()

    async def _once(self) -> ServiceAnswer:
        """Claim the caller's key, then run; no claim, no run."""
        claims = self.entry.claims
        key = f"{self.call.tenant}/{self.call.route}/{self.call.idempotency_key}"
        earlier = await claims.claim(key, self._digest())
        if earlier is not None:
            return earlier
        try:
            answer = await self._attempts()
        except RequestError as error:
            if CODE_INFO[error.code].outcome is Outcome.NOT_RUN:
                await self._settle(claims.release(key))
            raise
        await self._settle(claims.complete(key, answer))
        return answer

    async def _settle(self, writing: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Write the end of a claim; a claim left open only makes a replay unknown."""
        try:
            async with asyncio.timeout(COMPLETION_TIMEOUT):
                await writing
        except (PortError, RequestError, TimeoutError):
            return

    def _digest(self) -> bytes:
        call = self.call
        text = f"{call.method} {call.path} {call.content_type}\n".encode()
        return hashlib.sha256(text + call.body).digest()[:16]

    async def _attempts(self) -> ServiceAnswer:
        self.entry.policy.on_admitted(self.call, self.placement.now())
        while True:
            choice = await self.placement.choose(0, self.call.deadline)
            assert choice.upstream is not None
            attempt = await self.placement.offer(
                choice.upstream, Cost(1, 1), self._work()
            )
            if attempt is None:
                continue
            try:
                answer = await self._follow(attempt)
            finally:
                self.placement.leave(attempt)
            if answer is not None:
                self.placement.on_done(attempt.upstream, 0)
                return answer

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

    async def _follow(self, attempt: EntryAttempt) -> ServiceAnswer | None:
        """Return the answer, or ``None`` if another attempt may be made."""
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
                case messages.Failed() | SideReplaced():
                    self._on_lost(attempt)
                    return None
                case SessionLost() if self.call.repeatable:
                    self._on_lost(attempt)
                    return None
                case SessionLost():
                    self._give_up_by(attempt, self.placement.now() + RESOLUTION_GRACE)
                case messages.AttemptState(state="started"):
                    self._give_up_by(attempt, self.call.deadline)
                case messages.AttemptState(state="never_started"):
                    self.placement.on_refused(
                        attempt.upstream, ResultCode.STALE_SESSION, None
                    )
                    return None
                case messages.AttemptState(state="done"):
                    return await self._answer_kept(attempt)
                case DeadlinePassed():
                    return await self._give_up(attempt)
                case _:
                    pass

    def _give_up_by(self, attempt: EntryAttempt, at: float) -> None:
        """Set the time at which the call ends as unknown without its side's word."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = asyncio.get_running_loop().call_at(
            min(at, self.call.deadline), attempt.events.put_nowait, DeadlinePassed()
        )

    def _on_lost(self, attempt: EntryAttempt) -> None:
        """Go on with a repeatable call; end any other as unknown."""
        self.placement.on_failed(attempt.upstream, ResultCode.OUTCOME_UNKNOWN, 0)
        if not self.call.repeatable:
            raise self.placement.error(ResultCode.OUTCOME_UNKNOWN, None)

    async def _answer_kept(self, attempt: EntryAttempt) -> ServiceAnswer | None:
        """Wait for the answer that follows the word that the call is done."""
        try:
            async with asyncio.timeout(timing.CANCEL_REPLY_TIMEOUT_SECONDS):
                while True:
                    event = await attempt.events.get()
                    if isinstance(event, messages.ServiceDone):
                        return _answer(event)
        except TimeoutError:
            self._on_lost(attempt)
            return None

    async def _give_up(self, attempt: EntryAttempt) -> ServiceAnswer | None:
        """End the call at its deadline and say truly whether it ran."""
        state = await self.placement.resolve(attempt)
        if state == "never_started":
            raise self.placement.error(ResultCode.EXPIRED_IN_QUEUE, None)
        if state == "done":
            return await self._answer_kept(attempt)
        self.placement.may_have_run = True
        raise self.placement.error(ResultCode.OUTCOME_UNKNOWN, None)


def _answer(done: messages.ServiceDone) -> ServiceAnswer:
    return ServiceAnswer(done.status, done.body, done.content_type)
