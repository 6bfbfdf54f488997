"""Placement of requests: choosing an upstream, offering it work, counting failures."""

from __future__ import annotations

import asyncio
import contextlib
import functools

from ..crashes.model import Incarnation
from ..crashes.model import LostRun
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
from .fingerprint import fingerprint_of
from .interfaces import EntryContext

MAX_REFUSALS = 3
"""Refusals for load after which a request that no upstream has accepted is refused."""

MAX_FAILURES = 4
"""Failed attempts after which a request is given up.

Without this bound, a prompt that crashes its engine would crash one engine after
another.
"""

RETRY_AFTER_NO_UPSTREAM = 2.0
"""Seconds in ``Retry-After`` when no upstream can serve a request."""

CHOICE_RETRY_DELAY_RANGE = (0.05, 0.15)
"""Bounds of the jittered delay, in seconds, before an upstream is chosen again."""

_FLEET_CHANGE_CODES = frozenset(
    {
        ResultCode.UPSTREAM_LEAVING,
        ResultCode.ENGINE_NOT_READY,
        ResultCode.STALE_SESSION,
        ResultCode.NOT_HANDED_OVER,
    }
)
"""Refusals caused by changes of the fleet, not by load."""


class Placement:
    """Finds an upstream for one request and tracks the outcome of its attempts.

    :param entry: the entry that runs the request.
    :param call: the request.
    :param excluded: upstreams that refused the request or failed it.
    :param accepted: whether an upstream accepted the request once. From then on,
        changes of the fleet and failures are retried; only a deadline ends it.
    :param no_candidate_choice: the result when no candidate is left: the last refusal
        for load, or else ``NO_UPSTREAM``.
    :param refusals: number of refusals for load.
    :param failures: number of failed attempts.
    :param may_have_run: whether some attempt may have started.
    :param has_run: whether some attempt is known to have started.
    :param aborting: whether the entry shuts down, so that no further attempt is made.
    :param attempt: the current attempt.
    """

    def __init__(self, entry: EntryContext, call: ModelCall | ServiceCall) -> None:
        self.entry = entry
        self.call = call
        self.excluded: set[str] = set()
        self.accepted = False
        self.may_have_run = False
        self.has_run = False
        self.refusals = 0
        self.no_candidate_choice = Choice(
            None, ResultCode.NO_UPSTREAM, RETRY_AFTER_NO_UPSTREAM
        )
        self.failures = 0
        self.aborting = False
        self.attempt: EntryAttempt | None = None

    def abort(self) -> None:
        """End the request now, with its known outcome, as the entry shuts down."""
        self.aborting = True
        if self.attempt is not None:
            self.attempt.events.put_nowait(DeadlinePassed())

    def now(self) -> float:
        """Return the time on the local monotonic clock."""
        return asyncio.get_running_loop().time()

    @functools.cached_property
    def fingerprint(self) -> str:
        """Fingerprint of the request, the same for all tries of its caller."""
        return fingerprint_of(self.call)

    def check_quarantine(self) -> None:
        """Check that the request may be offered to an upstream.

        :raises RequestError: if it has crashed too many upstreams.
        """
        quarantine = self.entry.quarantine
        if not quarantine.is_watching:
            return
        try:
            quarantine.check(self.fingerprint)
        except RequestError as error:
            raise self.error(error.code, error.retry_after) from None

    def run_apart(self, upstream: str) -> contextlib.AbstractAsyncContextManager[bool]:
        """Keep an attempt apart from others that may crash the same upstream.

        The block receives whether the request may be offered to the upstream now.
        """
        quarantine = self.entry.quarantine
        if not quarantine.is_watching:
            return contextlib.nullcontext(True)
        return quarantine.run_apart(self.fingerprint, Incarnation(upstream, ""))

    async def on_crash(self, upstream: str, boot: str) -> None:
        """Record that an upstream crashed while it ran the request.

        Waits, for a short time, for what other entries know of the request, as the next
        attempt may be one too many.

        :param boot: incarnation that crashed; empty if it did not crash.
        """
        if boot:
            run = LostRun(self.fingerprint, self.call.request_id)
            self.entry.quarantine.on_crash(Incarnation(upstream, boot), [run])
            await self.entry.quarantine.consult(self.fingerprint)

    def on_answered(self) -> None:
        """Record that the request has its complete answer."""
        if self.entry.quarantine.is_watching:
            self.entry.quarantine.on_answered(self.fingerprint)

    async def choose(self, resumed_tokens: int, wait_until: float) -> Choice:
        """Choose the upstream of the next attempt.

        A request that was accepted, or whose only upstream lost its session just now,
        waits for an upstream; any other is refused if none is available.

        :param resumed_tokens: tokens of the answer that the caller already has.
        :param wait_until: local monotonic time until which the request waits.
        :raises RequestError: if no upstream is available.
        """
        while True:
            if self.aborting:
                raise self.error(ResultCode.SHUTTING_DOWN, None)
            self.check_quarantine()
            choice = self._choose_once(resumed_tokens)
            if choice.upstream is not None:
                return choice
            if not self.accepted and not self._may_reconnect(choice.code):
                raise self.error(choice.code, choice.retry_after)
            if self.now() >= wait_until:
                raise self.error(ResultCode.EXPIRED_IN_QUEUE, choice.retry_after)
            self.excluded.clear()
            await asyncio.sleep(self.entry.rng.uniform(*CHOICE_RETRY_DELAY_RANGE))

    def _may_reconnect(self, code: ResultCode) -> bool:
        """Return whether only a session that was lost just now is missing."""
        return code is ResultCode.NO_UPSTREAM and self.entry.has_reconnecting_upstream(
            self.call
        )

    def _choose_once(self, resumed_tokens: int) -> Choice:
        candidates = self.entry.candidates(self.call)
        if not any(c.name not in self.excluded for c in candidates):
            return self.no_candidate_choice
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
        """Offer the request to an upstream and start the timer of its deadline.

        :param cost: predicted cost of the attempt, in tokens.
        :returns: the attempt; ``None`` if the offer was certainly not handed over.
        :raises RequestError: if that was the last refusal allowed.
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

    def on_busy(self, upstream: str) -> None:
        """Record that an upstream is taken by the trial of another request.

        :raises RequestError: if no further attempt may be made.
        """
        self.on_refused(upstream, ResultCode.QUEUE_FULL, None)

    def on_refused(
        self, upstream: str, code: ResultCode, retry_after: float | None
    ) -> None:
        """Record that an upstream refused the request.

        :raises RequestError: if no further attempt may be made.
        """
        self.excluded.add(upstream)
        self._report_to_policy(upstream, code, 0)
        if code in _FLEET_CHANGE_CODES:
            self.accepted = True
            return
        if self.accepted and code is not ResultCode.EXPIRED_IN_QUEUE:
            return
        self.refusals += 1
        self.no_candidate_choice = Choice(None, code, retry_after)
        last = self.refusals >= MAX_REFUSALS or code is ResultCode.EXPIRED_IN_QUEUE
        if last or not self.entry.policy.may_retry(self.call, self.now()):
            raise self.error(code, retry_after)

    def on_failed(self, upstream: str, code: ResultCode, output_tokens: int) -> None:
        """Record an attempt that failed after it may have started.

        :raises RequestError: if no further attempt may be made.
        """
        self.excluded.add(upstream)
        self.accepted = True
        self.may_have_run = True
        self.failures += 1
        self._report_to_policy(upstream, code, output_tokens)
        if self.failures >= MAX_FAILURES:
            raise self.error(ResultCode.UPSTREAM_FAILED, None)

    def on_done(self, upstream: str, output_tokens: int) -> None:
        """Record an attempt that completed its work."""
        self._report_to_policy(upstream, ResultCode.OK, output_tokens)

    def detach(self, attempt: EntryAttempt) -> None:
        """Stop tracking an attempt; later messages about it are ignored."""
        self.attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        peer = self.entry.membership.peers.get(attempt.upstream)
        if peer is not None:
            peer.forget(attempt)

    async def resolve(self, attempt: EntryAttempt) -> str:
        """Cancel an attempt and return the state that its side reports.

        :returns: ``never_started``, ``started``, ``done``, or ``unknown`` if the side
            can't be reached or does not reply in time.
        """
        peer = self.entry.membership.peers.get(attempt.upstream)
        if peer is None or not await peer.cancel(attempt):
            return "unknown"
        try:
            async with asyncio.timeout(timing.CANCEL_REPLY_TIMEOUT_SECONDS):
                return await _wait_for_state(attempt)
        except TimeoutError:
            return "unknown"

    def error(self, code: ResultCode, retry_after: float | None) -> RequestError:
        """Return the final error of the request.

        A code whose outcome is "not run" is replaced if some attempt ran or may have
        run.
        """
        if CODE_INFO[code].outcome is Outcome.NOT_RUN:
            if self.has_run:
                code = ResultCode.UPSTREAM_FAILED
            elif self.may_have_run:
                code = ResultCode.OUTCOME_UNKNOWN
        detail = ""
        if code is ResultCode.EXPIRED_IN_QUEUE and self.aborting:
            code = ResultCode.SHUTTING_DOWN
        elif code is ResultCode.DEADLINE_EXCEEDED and self.aborting:
            detail = "The request ran and was not whole when the entry ended."
        return RequestError(code, detail, retry_after)

    def _report_to_policy(self, upstream: str, code: ResultCode, tokens: int) -> None:
        self.entry.policy.on_ended(upstream, self.call, code, tokens, self.now())


async def _wait_for_state(attempt: EntryAttempt) -> str:
    while True:
        event = await attempt.events.get()
        if isinstance(event, messages.AttemptState):
            return event.state
        if isinstance(event, messages.Refused):
            return "never_started"
