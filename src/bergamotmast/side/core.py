"""Transport-independent core of a side: admission, queueing and execution of offers.

All work for the upstream passes through here. The load counts are therefore exact, a
leaving upstream refuses work by itself, and an attempt that was reported as "not run"
can't run.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import functools
import logging
import typing as t

from ..config.holder import ConfigHolder
from ..errors import ResultCode
from ..history import AttemptRecord
from ..history import HistorySink
from ..logs import request_context
from ..model import NO_FENCING_TOKEN
from ..model import Cost
from ..model import EngineState
from ..model import FencingToken
from ..model import Readiness
from ..model import SideReport
from ..policy import QueueItem
from ..policy import SidePolicy
from ..ports import Listener
from ..protocol import messages
from ..telemetry import NullTelemetry
from ..telemetry import Telemetry
from .attempt import Attempt
from .attempt import AttemptPhase
from .offers import offered_demand
from .offers import queue_item
from .report import read_report
from .runners import Runner
from .session import Session
from .session_server import SessionServer

logger = logging.getLogger(__name__)

EXPIRY_INTERVAL = 0.1
"""Seconds between checks for waiting attempts that have expired."""

ANSWER_RETENTION = 30.0
"""Seconds for which a service's answer is kept for an entry that lost its session."""

_WIRE_STATES: dict[AttemptPhase, t.Literal["never_started", "started", "done"]] = {
    AttemptPhase.WAITING: "never_started",
    AttemptPhase.STARTED: "started",
    AttemptPhase.DONE: "done",
}

SHUTDOWN_DETAIL = "the side's time to end was over"
"""Detail reported for an attempt that the end of the shutdown has cancelled."""

RETRY_AFTER_FULL = 1.0
"""Seconds in ``Retry-After`` of a refusal for load."""


class SideCore:
    """Queues the offers of entries and runs them on one upstream, without sockets.

    :param name: name of the upstream.
    :param listener: the socket that entries connect to.
    :param runner: runs an attempt on the upstream.
    :param policy: decides on admission and on what starts next.
    :param holder: the configuration in force.
    :param history: receives the events of attempts.
    :param incarnation: random identifier of this start of the process.
    :param telemetry: receives metrics; none are recorded without it.
    :param attempts: attempts that wait or run, and done ones whose answer is kept.
    :param running: names of the attempts that run on the upstream.
    :param leaving: whether this process is shutting down.
    :param admission_paused: whether a planned change keeps new work away.
    :param engine: last known state of the upstream; ``None`` while it is unknown.
    :param engine_readiness: readiness of the upstream itself.
    :param plan_seen: highest plan token that an earlier side of the upstream obeyed.
    :param plan_token: returns the token of the plan that this side obeys.
    :param offered: demand offered since the start, in tokens.
    :param done: work done since the start, in tokens.
    :param shed: offers refused or expired since the start.
    """

    def __init__(
        self,
        name: str,
        listener: Listener,
        runner: Runner,
        policy: SidePolicy,
        holder: ConfigHolder,
        history: HistorySink,
        incarnation: str,
        telemetry: Telemetry | None = None,
    ) -> None:
        self.name = name
        self.listener = listener
        self.runner = runner
        self.policy = policy
        self.holder = holder
        self.history = history
        self.telemetry = telemetry or NullTelemetry()
        self.server = SessionServer(
            name, listener, self, holder, self.telemetry, incarnation
        )
        self.sessions = self.server.table
        self.attempts: dict[str, Attempt] = {}
        self.running: set[str] = set()
        self.leaving = False
        self.admission_paused = False
        self.engine: EngineState | None = None
        self.engine_readiness = Readiness.UNKNOWN
        self.plan_seen = NO_FENCING_TOKEN
        self.plan_token: cabc.Callable[[], FencingToken] = _no_plan
        self.offered = Cost(0, 0)
        self.done = Cost(0, 0)
        self.shed = 0
        self._background: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    # Readiness and shutdown

    @property
    def readiness(self) -> Readiness:
        """Whether new work is accepted now."""
        if self.leaving or self.name in self.holder.selection.leaving:
            return Readiness.LEAVING
        if self.admission_paused:
            return Readiness.CHANGING
        return self.engine_readiness

    def on_engine_state(self, state: EngineState | None, readiness: Readiness) -> None:
        """Update the state of the upstream.

        Waiting attempts are refused if the upstream is not ready any more.
        """
        if state is not None and state != self.engine:
            self.policy.configure(
                state.max_streams,
                state.kv_capacity,
                state.prefill_rate,
                state.decode_rate,
                state.assignment.role if state.assignment else None,
            )
        self.engine = state
        self.engine_readiness = readiness
        self._after_readiness_change()

    def pause_admission(self) -> None:
        """Refuse new and waiting attempts, for a planned change."""
        self.admission_paused = True
        self._after_readiness_change()

    def resume_admission(self) -> None:
        """Accept new work again."""
        self.admission_paused = False

    async def drained(self) -> None:
        """Wait until nothing runs on the upstream."""
        await self._idle.wait()

    async def leave(self) -> None:
        """Shut down gracefully: refuse new and waiting attempts, drain running ones.

        Offers that are still on their way are refused meanwhile. Returns once the
        entries have read the last answers.
        """
        self.leaving = True
        self._after_readiness_change()
        await self.drained()
        await self.flush()
        await self.server.wait_until_read()
        await self.flush()

    async def abort_attempts(self) -> None:
        """Cancel the running attempts and report them as failed to their entries.

        Streams are resumed elsewhere, and a call that may not be repeated ends as
        unknown now, not when the entry counts the side as lost.
        """
        # A copy, as attempts may end and be removed while a message is sent.
        for attempt in [self.attempts[name] for name in sorted(self.running)]:
            failed = messages.Failed(
                attempt.name, ResultCode.OUTCOME_UNKNOWN, SHUTDOWN_DETAIL
            )
            await self.send(attempt.session.peer, failed)
            if attempt.task is not None:
                attempt.task.cancel()
        await self.flush()
        await self.server.wait_until_read()
        await self.flush()

    async def flush(self) -> None:
        """Send all queued frames now, as the event loop may stop before it would."""
        await asyncio.gather(*self._background)
        await self.server.outbox.flush()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.server.run())
            group.create_task(self._expire())
            group.create_task(self._watch_configuration())

    async def on_session_replaced(self, earlier: Session, session: Session) -> None:
        """Move the attempts of an ended session to the session that replaces it.

        Waiting attempts are refused, and streams are cancelled, as the entry resumes
        them elsewhere. Calls of plain services go on: the entry waits for the answer.
        """
        for attempt in self._attempts_of(earlier):
            attempt.session = session
            if attempt.phase is AttemptPhase.WAITING:
                await self._refuse_waiting(attempt, ResultCode.STALE_SESSION)
            elif attempt.is_model:
                self._end_stream(attempt)

    def on_plan_seen(self, token: FencingToken) -> None:
        """Record the token of a plan that an earlier side of this upstream obeyed."""
        self.plan_seen = max(self.plan_seen, token)

    # Offers and attempts

    async def on_offer(self, session: Session, offer: messages.Offer) -> None:
        """Queue an offer, or refuse it at once; a duplicate is ignored."""
        if not session.remember(offer.attempt):
            return
        code = self._admit(session, offer)
        if code is not ResultCode.OK:
            self.shed += 1
            await self._refuse(session, offer, code)
            return
        self._start_ready_attempts()

    def _admit(self, session: Session, offer: messages.Offer) -> ResultCode:
        """Queue an offer if the side is ready and the policy admits it."""
        readiness = self.readiness
        if readiness is Readiness.LEAVING:
            return ResultCode.UPSTREAM_LEAVING
        if readiness is not Readiness.READY:
            return ResultCode.ENGINE_NOT_READY
        now = self._now()
        item = queue_item(offer, now)
        code = self.policy.offer(item, now)
        added = offered_demand(offer.work, code)
        self.offered = Cost(
            self.offered.prefill + added.prefill, self.offered.decode + added.decode
        )
        if code is ResultCode.OK:
            self.attempts[offer.attempt] = Attempt(
                offer, session, now + offer.budget, offer.credit
            )
        return code

    async def _refuse(
        self, session: Session, offer: messages.Offer, code: ResultCode
    ) -> None:
        """Refuse an offer.

        Refusals for load, which have codes from 200 to 299, name a delay for a retry.
        """
        self._record(offer, "refused")
        retry_after = RETRY_AFTER_FULL if 200 <= code < 300 else 0.0
        await self.send(
            session.peer, messages.Refused(offer.attempt, code, retry_after)
        )

    async def _refuse_waiting(self, attempt: Attempt, code: ResultCode) -> None:
        self._withdraw(attempt)
        await self._refuse(attempt.session, attempt.offer, code)

    def _withdraw(self, attempt: Attempt) -> None:
        """Remove a waiting attempt from the queue; after this it never starts."""
        self.policy.withdraw(attempt.name)
        del self.attempts[attempt.name]

    def _end_attempt(self, attempt: Attempt) -> None:
        """End an attempt, unless it is a running call of a service, which goes on."""
        if attempt.phase is AttemptPhase.WAITING:
            self._withdraw(attempt)
            self._record(attempt.offer, "never_started")
        elif attempt.is_model:
            self._end_stream(attempt)

    def _start_ready_attempts(self) -> None:
        """Start the waiting attempts that the policy selects."""
        while (item := self.policy.next(self._now())) is not None:
            attempt = self.attempts[item.attempt]
            attempt.phase = AttemptPhase.STARTED
            attempt.session.on_started(attempt.name)
            self.running.add(attempt.name)
            self._idle.clear()
            self._record(attempt.offer, "started")
            self._measure_wait(item)
            task = asyncio.create_task(self._run_attempt(attempt))
            attempt.task = task
            task.add_done_callback(functools.partial(self._on_attempt_ended, attempt))

    def _measure_wait(self, item: QueueItem) -> None:
        seconds = self._now() - item.arrived_at
        self.telemetry.on_queue_wait(item.tenant, item.request_class, seconds)

    async def _run_attempt(self, attempt: Attempt) -> None:
        with request_context(attempt.offer.request_id):
            await self.send(attempt.session.peer, messages.Started(attempt.name))
            await self.runner.run(attempt, self)

    def _on_attempt_ended(self, attempt: Attempt, task: asyncio.Task[None]) -> None:
        """Release the resources of an attempt, as a callback of its task.

        A task that is cancelled before its first step never enters its body, so a
        ``finally`` there would not run and the attempt's slot would stay occupied.
        """
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("attempt %s failed", attempt.name, exc_info=error)
        attempt.phase = AttemptPhase.DONE
        attempt.forget_at = self._now() + ANSWER_RETENTION
        self.running.discard(attempt.name)
        attempt.session.on_started(attempt.name)
        if attempt.answer is None:
            self.attempts.pop(attempt.name, None)
        self._record(attempt.offer, "done")
        self.policy.on_ended(attempt.name, self._now())
        self._start_ready_attempts()
        if not self.running:
            self._idle.set()

    def on_credit(self, credit: messages.Credit) -> None:
        """Grant more credit to a stream."""
        attempt = self.attempts.get(credit.attempt)
        if attempt is not None:
            attempt.credit += credit.chunks
            self.runner.on_credit(attempt)

    async def on_cancel(self, session: Session, cancel: messages.Cancel) -> None:
        """End an attempt, except a running call of a service, and report its state."""
        attempt = self.attempts.get(cancel.attempt)
        if attempt is None:
            await self._on_cancel_of_unknown(session, cancel)
            return
        state = _WIRE_STATES[attempt.phase]
        self._end_attempt(attempt)
        await self.send(session.peer, messages.AttemptState(attempt.name, state))
        if attempt.answer is not None:
            await self.send(session.peer, attempt.answer)

    async def _on_cancel_of_unknown(
        self, session: Session, cancel: messages.Cancel
    ) -> None:
        """Report the state of an attempt that is no longer, or not yet, known.

        If it was ever started, it has ended. Otherwise a tombstone is left, which keeps
        an offer of it that arrives later from starting.
        """
        state: t.Literal["never_started", "done"] = "done"
        if not session.may_have_started(cancel.attempt):
            session.remember(cancel.attempt)
            state = "never_started"
        await self.send(session.peer, messages.AttemptState(cancel.attempt, state))

    def _end_stream(self, attempt: Attempt) -> None:
        if attempt.task is not None:
            attempt.task.cancel()

    # Expiry

    async def _expire(self) -> None:
        """Drop expired attempts, sessions and kept answers until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            now = self._now()
            for item, code in self.policy.expire(now):
                self.shed += 1
                attempt = self.attempts.pop(item.attempt)
                await self._refuse(attempt.session, attempt.offer, code)
            self.server.end_expired(now)
            self._forget_answers(now)
            self._start_ready_attempts()

    def on_session_ended(self, session: Session) -> None:
        """End the attempts of a closed session, except running calls of services."""
        for attempt in self._attempts_of(session):
            self._end_attempt(attempt)

    def _forget_answers(self, now: float) -> None:
        done = AttemptPhase.DONE
        for attempt in list(self.attempts.values()):
            if attempt.phase is done and attempt.forget_at <= now:
                del self.attempts[attempt.name]

    def _after_readiness_change(self) -> None:
        """Unless ready, refuse the waiting attempts and send all entries a report."""
        if self.readiness is Readiness.READY:
            return
        code = ResultCode.ENGINE_NOT_READY
        if self.readiness is Readiness.LEAVING:
            code = ResultCode.UPSTREAM_LEAVING
        waiting = [a for a in self.attempts.values() if a.phase is AttemptPhase.WAITING]
        for attempt in waiting:
            self._withdraw(attempt)
            self._in_background(self._refuse(attempt.session, attempt.offer, code))
        for session in self.sessions.by_name.values():
            self._in_background(self.server.send_report(session))

    def _in_background(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    # Configuration

    async def _watch_configuration(self) -> None:
        """Apply each new configuration, which may mark this upstream as leaving."""
        generation = -1
        while True:
            configuration = await self.holder.wait_for_newer(generation)
            generation = configuration.generation
            self.telemetry.on_generation(generation)
            self._after_readiness_change()

    # Reports, messages and progress

    def report(self) -> SideReport:
        """Return a report of the current state."""
        return read_report(self)

    async def send(self, peer: bytes, message: messages.ToEntry) -> None:
        """Send a message to an entry in the next iteration of the event loop."""
        await self.server.send(peer, message)

    def on_tokens(self, attempt: Attempt, tokens: int, prefilled: int) -> None:
        """Record the progress of a stream.

        :param tokens: output tokens that were added.
        :param prefilled: prompt tokens whose prefill is complete.
        """
        self.done = Cost(self.done.prefill + prefilled, self.done.decode + tokens)
        self.policy.on_progress(attempt.name, tokens, self._now())
        if prefilled:
            self._start_ready_attempts()

    def _attempts_of(self, session: Session) -> list[Attempt]:
        return [a for a in self.attempts.values() if a.session is session]

    def _record(self, offer: messages.Offer, event: str) -> None:
        self.history.record(
            AttemptRecord(
                at=self._now(),
                upstream=self.name,
                request=offer.request_id,
                attempt=offer.attempt,
                event=event,
            )
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _no_plan() -> FencingToken:
    return NO_FENCING_TOKEN
