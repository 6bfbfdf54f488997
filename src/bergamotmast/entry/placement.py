"""What every run of a request shares: choosing an upstream and offering it work."""

from __future__ import annotations

import asyncio

from ..errors import CODE_INFO
from ..errors import NotReachedError
from ..errors import Outcome
from ..errors import RequestError
from ..errors import ResultCode
from ..model import Cost
from ..model import ModelCall
from ..model import ServiceCall
from ..policy import Choice
from ..protocol import messages
from ..protocol import timing
from .attempt import DeadlinePassed
from .attempt import EntryAttempt
from .interfaces import RunsEntry

MAX_REFUSALS = 3
"""Upstreams that may refuse a fresh request for load before it is turned away."""

MAX_FAILURES = 4
"""Attempts that may break before a request is given up.

A prompt that crashes its engine would otherwise take one engine after the other.
"""

RETRY_AFTER_NO_UPSTREAM = 2.0
"""Seconds after which a caller may come back when nothing can serve it."""

PAUSE_RANGE = (0.05, 0.15)
"""Seconds, jittered, between two looks for an upstream for work already accepted."""

_MOVED = frozenset(
    {
        ResultCode.UPSTREAM_LEAVING,
        ResultCode.ENGINE_NOT_READY,
        ResultCode.STALE_SESSION,
        ResultCode.NOT_HANDED_OVER,
    }
)
"""Refusals that say nothing of load: the fleet changed under the request."""


class Placement:
    """The search for a place to run one request.

    :param entry: the entry that runs it.
    :param call: the request.
    :param excluded: upstreams that refused or failed it.
    :param accepted: whether it was taken once, so that it is owed an answer: the
        fleet's changes and failures no longer turn it away, only time does.
    :param no_choice: what the caller hears when nobody is left to ask: the last
        refusal for load, if there was one.
    :param may_have_run: whether some attempt may have started.
    :param has_run: whether some attempt is known to have started.
    :param ending: whether no further attempt may be made, since the entry ends.
    :param attempt: the one under way.
    """

    def __init__(self, entry: RunsEntry, call: ModelCall | ServiceCall) -> None:
        self.entry = entry
        self.call = call
        self.excluded: set[str] = set()
        self.accepted = False
        self.may_have_run = False
        self.has_run = False
        self.refusals = 0
        self.no_choice = Choice(None, ResultCode.NO_UPSTREAM, RETRY_AFTER_NO_UPSTREAM)
        self.failures = 0
        self.ending = False
        self.attempt: EntryAttempt | None = None

    def end(self) -> None:
        """Let the request end now, as the entry does, with what is known of it."""
        self.ending = True
        if self.attempt is not None:
            self.attempt.events.put_nowait(DeadlinePassed())

    def now(self) -> float:
        """Return the time on the local monotonic clock."""
        return asyncio.get_running_loop().time()

    async def choose(self, resumed_tokens: int, wait_until: float) -> Choice:
        """Return the next place to try.

        :param wait_until: how long an accepted request looks for one.
        :raises RequestError: if there is none.
        """
        while True:
            if self.ending:
                raise self.error(ResultCode.SHUTTING_DOWN, None)
            choice = self._choose_now(resumed_tokens)
            if choice.upstream is not None:
                return choice
            if not self.accepted and not self._may_reconnect(choice.code):
                raise self.error(choice.code, choice.retry_after)
            if self.now() >= wait_until:
                raise self.error(ResultCode.EXPIRED_IN_QUEUE, choice.retry_after)
            self.excluded.clear()
            await asyncio.sleep(self.entry.rng.uniform(*PAUSE_RANGE))

    def _may_reconnect(self, code: ResultCode) -> bool:
        """Whether the one thing missing is a session that was lost just now."""
        return code is ResultCode.NO_UPSTREAM and self.entry.reconnecting(self.call)

    def _choose_now(self, resumed_tokens: int) -> Choice:
        candidates = self.entry.candidates(self.call)
        if not any(c.name not in self.excluded for c in candidates):
            return self.no_choice
        return self.entry.policy.choose(
            self.call,
            candidates,
            self.now(),
            resumed_tokens,
            frozenset(self.excluded),
        )

    async def offer(
        self,
        upstream: str,
        cost: Cost,
        work: messages.ModelWork | messages.ServiceWork,
    ) -> EntryAttempt | None:
        """Hand an offer to an upstream; ``None`` if it was certainly not handed over.

        The attempt also hears when the caller's deadline has passed.
        """
        peer = self.entry.peer(upstream)
        survives = isinstance(work, messages.ServiceWork) and not work.repeatable
        attempt = EntryAttempt(self.entry.new_attempt_name(), upstream, cost, survives)
        try:
            await peer.offer(attempt, self._message(peer.session or "", attempt, work))
        except NotReachedError:
            self.on_refused(upstream, ResultCode.NOT_HANDED_OVER, None)
            return None
        self.attempt = attempt
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_at(
            self.call.deadline, attempt.events.put_nowait, DeadlinePassed()
        )
        return attempt

    def _message(
        self,
        session: str,
        attempt: EntryAttempt,
        work: messages.ModelWork | messages.ServiceWork,
    ) -> messages.Offer:
        call = self.call
        return messages.Offer(
            session=session,
            attempt=attempt.name,
            request_id=call.request_id,
            tenant=call.tenant,
            weight=self.entry.tenant_weight(call.tenant),
            request_class=call.request_class,
            priority=call.priority,
            budget=call.deadline - self.now(),
            credit=timing.CHUNK_CREDIT,
            work=work,
        )

    def on_refused(
        self, upstream: str, code: ResultCode, retry_after: float | None
    ) -> None:
        """Note a refusal.

        :raises RequestError: if it is the last one that the request may get.
        """
        self.excluded.add(upstream)
        self._tell_policy(upstream, code, 0)
        if code in _MOVED:
            self.accepted = True
            return
        if self.accepted and code is not ResultCode.EXPIRED_IN_QUEUE:
            return
        self.refusals += 1
        self.no_choice = Choice(None, code, retry_after)
        last = self.refusals >= MAX_REFUSALS or code is ResultCode.EXPIRED_IN_QUEUE
        if last or not self.entry.policy.may_retry(self.call, self.now()):
            raise self.error(code, retry_after)

    def on_failed(self, upstream: str, code: ResultCode, output_tokens: int) -> None:
        """Note an attempt that broke after it may have started.

        :raises RequestError: if no further one may be made.
        """
        self.excluded.add(upstream)
        self.accepted = True
        self.may_have_run = True
        self.failures += 1
        self._tell_policy(upstream, code, output_tokens)
        if self.failures >= MAX_FAILURES:
            raise self.error(ResultCode.UPSTREAM_FAILED, None)

    def on_done(self, upstream: str, output_tokens: int) -> None:
        """Note an attempt that gave all it was asked for."""
        self._tell_policy(upstream, ResultCode.OK, output_tokens)

    def leave(self, attempt: EntryAttempt) -> None:
        """Ignore everything that still comes of an attempt."""
        self.attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        peer = self.entry.membership.peers.get(attempt.upstream)
        if peer is not None:
            peer.forget(attempt)

    async def resolve(self, attempt: EntryAttempt) -> str:
        """Cancel an attempt and return what the side says became of it.

        :returns: ``never_started``, ``started``, ``done``, or ``unknown`` where the
            side can't be asked or does not answer.
        """
        peer = self.entry.membership.peers.get(attempt.upstream)
        if peer is None or not await peer.cancel(attempt):
            return "unknown"
        try:
            async with asyncio.timeout(timing.CANCEL_REPLY_TIMEOUT_SECONDS):
                return await _state(attempt)
        except TimeoutError:
            return "unknown"

    def error(self, code: ResultCode, retry_after: float | None) -> RequestError:
        """Return the final error, never claiming "not run" of what may have run."""
        if CODE_INFO[code].outcome is Outcome.NOT_RUN:
            if self.has_run:
                code = ResultCode.UPSTREAM_FAILED
            elif self.may_have_run:
                code = ResultCode.OUTCOME_UNKNOWN
        detail = ""
        if code is ResultCode.EXPIRED_IN_QUEUE and self.ending:
            code = ResultCode.SHUTTING_DOWN
        elif code is ResultCode.DEADLINE_EXCEEDED and self.ending:
            detail = "The request ran and was not whole when the entry ended."
        return RequestError(code, detail, retry_after)

    def _tell_policy(self, upstream: str, code: ResultCode, tokens: int) -> None:
        self.entry.policy.on_ended(upstream, self.call, code, tokens, self.now())


async def _state(attempt: EntryAttempt) -> str:
    while True:
        event = await attempt.events.get()
        if isinstance(event, messages.AttemptState):
            return event.state
        if isinstance(event, messages.Refused):
            return "never_started"
