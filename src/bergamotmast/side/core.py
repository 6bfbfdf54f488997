"""The side process: sessions with entries, a queue, and one upstream behind it.

Everything that touches the upstream passes through here, so the counts are exact, a
leaving upstream refuses work itself, and what was told "not run" cannot run.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import functools
import logging
import typing as t

import msgspec

from ..config_holder import ConfigHolder
from ..errors import ResultCode
from ..history import AttemptRecord
from ..history import HistorySink
from ..logs import request_context
from ..model import NO_TOKEN
from ..model import Cost
from ..model import EngineState
from ..model import FencingToken
from ..model import Readiness
from ..model import SideReport
from ..policy import QueueItem
from ..policy import SidePolicy
from ..protocol import messages
from ..protocol import timing
from ..telemetry import NullTelemetry
from ..telemetry import Telemetry
from .attempt import Attempt
from .attempt import AttemptPhase
from .outbox import Outbox
from .session import Session
from .session import SessionTable

if t.TYPE_CHECKING:
    from ..ports import Listener
    from .runners import Runner

logger = logging.getLogger(__name__)

EXPIRY_INTERVAL = 0.1
"""Seconds between two looks for waiting work that can no longer be answered."""

ANSWER_KEPT = 30.0
"""Seconds a plain service's answer is kept for an entry that lost its session."""

_STATES: dict[AttemptPhase, t.Literal["never_started", "started", "done"]] = {
    AttemptPhase.WAITING: "never_started",
    AttemptPhase.STARTED: "started",
    AttemptPhase.DONE: "done",
}

REFUSALS_A_REQUEST = 3
"""Sides that a refused request is usually offered to, before its caller hears of it."""

RETRY_AFTER_FULL = 1.0
"""Seconds after which a caller refused for load may come back."""


class SideCore:
    """One side process without its sockets.

    :param name: name of the upstream.
    :param listener: where entries connect.
    :param runner: runs an attempt on the upstream.
    :param policy: what waits and what starts next.
    :param holder: the configuration in force.
    :param incarnation: random for each start.
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
        self.outbox = Outbox(listener, self._on_frames_lost)
        self.runner = runner
        self.policy = policy
        self.holder = holder
        self.history = history
        self.telemetry = telemetry or NullTelemetry()
        self.sessions = SessionTable(incarnation)
        self.attempts: dict[str, Attempt] = {}
        self.running: set[str] = set()
        self.leaving = False
        self.admission_paused = False
        self.engine: EngineState | None = None
        self.engine_readiness = Readiness.UNKNOWN
        self.plan_token: cabc.Callable[[], FencingToken] = _no_plan
        self.alive_at = 0.0
        self.offered = Cost(0, 0)
        self.done = Cost(0, 0)
        self.shed = 0
        self._background: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    # What the rest of the side process asks of it

    @property
    def readiness(self) -> Readiness:
        """Whether new work is taken now."""
        if self.leaving or self.name in self.holder.selection.leaving:
            return Readiness.LEAVING
        if self.admission_paused:
            return Readiness.CHANGING
        return self.engine_readiness

    def on_engine(self, state: EngineState | None, readiness: Readiness) -> None:
        """Learn what the upstream is; waiting work leaves if it can't start here."""
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
        """Refuse new work and hand waiting work back, for a planned change."""
        self.admission_paused = True
        self._after_readiness_change()

    def resume_admission(self) -> None:
        """Take new work again."""
        self.admission_paused = False

    async def drained(self) -> None:
        """Wait until nothing runs on the upstream."""
        await self._idle.wait()

    async def leave(self) -> None:
        """Refuse new work, hand waiting work back and wait for the rest."""
        self.leaving = True
        self._after_readiness_change()
        await self.drained()
        await asyncio.gather(*self._background)
        # The last frames would else wait for a turn that the process may not take.
        await self.outbox.flush()

    def report(self) -> SideReport:
        """Return the exact state of this moment."""
        waiting = self.policy.waiting_cost()
        speed = self.policy.speed()
        engine = self.engine
        assignment = engine.assignment if engine else None
        plan = self.plan_token()
        return SideReport(
            readiness=self.readiness,
            role=assignment.role if assignment else None,
            models=assignment.models + assignment.adapters if assignment else (),
            running=len(self.running),
            queued=self.policy.waiting(),
            queued_prefill=waiting.prefill,
            queued_decode=waiting.decode,
            running_decode=self.policy.running_decode(),
            max_streams=engine.max_streams if engine else 1,
            prefill_rate=speed.prefill_rate if engine else 1.0,
            decode_rate=engine.decode_rate if engine else 1.0,
            offered_prefill=self.offered.prefill,
            offered_decode=self.offered.decode,
            done_prefill=self.done.prefill,
            done_decode=self.done.decode,
            shed=self.shed,
            kv_free=self.policy.kv_free(),
            waits_ms=tuple(round(1000 * wait) for wait in speed.waits),
            token_us=round(1e6 * speed.token_seconds),
            plan_epoch=plan.epoch,
            plan_revision=plan.revision,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self.outbox.run())
            group.create_task(self._beat())
            group.create_task(self._expire())
            group.create_task(self._follow_configuration())

    # Frames

    async def _receive(self) -> None:
        self.alive_at = self._now()
        while True:
            peer, frame = await self.listener.receive()
            self._forget_sessions_after_pause()
            try:
                message = messages.decode_to_side(frame)
            except messages.UnknownMessageError:
                self.telemetry.on_unknown_message()
                continue
            except msgspec.MsgspecError as error:
                logger.warning("frame refused: %s", error)
                continue
            await self._handle(peer, message)

    def _forget_sessions_after_pause(self) -> None:
        """End every session if this process did not run for a while.

        A process that was stopped wakes up to offers whose entries gave up on them
        long ago: starting them would burn the upstream on answers nobody waits for.
        The beat task notes each half second that the process runs; a gap of a
        session's lifetime means that every entry has turned away.
        """
        now = self._now()
        if now - self.alive_at > timing.SIDE_TIMEOUT:
            logger.warning("did not run for %.1f s: sessions end", now - self.alive_at)
            for session in list(self.sessions.by_name.values()):
                self._end_session(session)
            self.alive_at = now

    async def _handle(self, peer: bytes, message: messages.ToSide) -> None:
        if isinstance(message, messages.Hello):
            await self._on_hello(peer, message)
            return
        if isinstance(message, messages.ConfigDocument):
            self._on_document(message)
            return
        if isinstance(message, messages.ConfigPull):
            await self._send_document(peer, message.generation)
            return
        session = self.sessions.find(message.session, peer)
        if session is None:
            await self._on_stale(peer, message)
            return
        session.on_heard(self._now())
        await self._in_session(session, message)

    async def _in_session(
        self,
        session: Session,
        message: messages.Heartbeat
        | messages.Offer
        | messages.Credit
        | messages.Cancel,
    ) -> None:
        match message:
            case messages.Heartbeat():
                await self._compare_generation(session.peer, message.generation)
            case messages.Offer():
                await self._on_offer(session, message)
            case messages.Credit():
                self._on_credit(message)
            case messages.Cancel():
                await self._on_cancel(session, message)

    async def _on_stale(
        self,
        peer: bytes,
        message: messages.Heartbeat
        | messages.Offer
        | messages.Credit
        | messages.Cancel,
    ) -> None:
        if isinstance(message, messages.Offer):
            refused = messages.Refused(message.attempt, ResultCode.STALE_SESSION, 0.0)
            await self.send(peer, refused)
        await self.send(peer, messages.SessionUnknown(message.session))

    async def _on_hello(self, peer: bytes, hello: messages.Hello) -> None:
        version = messages.agreed_version(hello.version)
        if version is None:
            await self._refuse_version(peer, hello)
            return
        opened = self.sessions.open(peer, hello, self._now(), version)
        if opened is None:
            return
        session, earlier = opened
        if earlier is not None:
            await self._inherit(earlier, session)
        welcome = messages.Welcome(
            version=messages.PROTOCOL_VERSION,
            upstream=self.name,
            session=session.name,
            incarnation=self.sessions.side_incarnation,
            counter=hello.counter,
            generation=self.holder.generation,
        )
        await self.send(peer, welcome)
        await self._send_report(session)
        await self._compare_generation(peer, hello.generation)

    async def _refuse_version(self, peer: bytes, hello: messages.Hello) -> None:
        logger.warning(
            "entry %s speaks protocol %d, this side takes %d to %d: no session",
            hello.entry,
            hello.version,
            messages.OLDEST_VERSION,
            messages.PROTOCOL_VERSION,
        )
        refused = messages.VersionRefused(
            messages.PROTOCOL_VERSION, messages.OLDEST_VERSION, hello.counter
        )
        await self.send(peer, refused)

    async def _inherit(self, earlier: Session, session: Session) -> None:
        """Move what an ended session still runs to the one that follows it.

        Waiting attempts never start, streams end because the entry resumes them
        elsewhere, and calls of plain services go on: their answers are owed.
        """
        for attempt in self._of_session(earlier):
            attempt.session = session
            if attempt.phase is AttemptPhase.WAITING:
                await self._refuse_waiting(attempt, ResultCode.STALE_SESSION)
            elif attempt.is_model:
                self._end_stream(attempt)

    # Offers and what follows them

    async def _on_offer(self, session: Session, offer: messages.Offer) -> None:
        if not session.remember(offer.attempt):
            return
        code = self._admit(session, offer)
        if code is not ResultCode.OK:
            self.shed += 1
            await self._refuse(session, offer, code)
            return
        self._start_waiting()

    def _admit(self, session: Session, offer: messages.Offer) -> ResultCode:
        readiness = self.readiness
        if readiness is Readiness.LEAVING:
            return ResultCode.UPSTREAM_LEAVING
        if readiness is not Readiness.READY:
            return ResultCode.ENGINE_NOT_READY
        now = self._now()
        item = _queue_item(offer, now)
        code = self.policy.offer(item, now)
        demand = _demand(offer.work, code)
        self.offered = Cost(
            self.offered.prefill + demand.prefill, self.offered.decode + demand.decode
        )
        if code is ResultCode.OK:
            self.attempts[offer.attempt] = Attempt(
                offer, session, now + offer.budget, offer.credit
            )
        return code

    async def _refuse(
        self, session: Session, offer: messages.Offer, code: ResultCode
    ) -> None:
        self._record(offer, "refused")
        retry_after = RETRY_AFTER_FULL if 200 <= code < 300 else 0.0
        await self.send(
            session.peer, messages.Refused(offer.attempt, code, retry_after)
        )

    async def _refuse_waiting(self, attempt: Attempt, code: ResultCode) -> None:
        self.policy.withdraw(attempt.name)
        self.attempts.pop(attempt.name, None)
        await self._refuse(attempt.session, attempt.offer, code)

    def _start_waiting(self) -> None:
        """Start what the policy says may start now."""
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
            task.add_done_callback(functools.partial(self._on_ended, attempt))

    def _measure_wait(self, item: QueueItem) -> None:
        seconds = self._now() - item.arrived_at
        self.telemetry.on_queue_wait(item.tenant, item.request_class, seconds)

    async def _run_attempt(self, attempt: Attempt) -> None:
        with request_context(attempt.offer.request_id):
            await self.send(attempt.session.peer, messages.Started(attempt.name))
            await self.runner.run(attempt, self)

    def _on_ended(self, attempt: Attempt, task: asyncio.Task[None]) -> None:
        """Free what an attempt held.

        A task that is cancelled before its first step never enters its body, so this
        can't stand in a ``finally`` there: the upstream's place would stay taken.
        """
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("attempt %s failed", attempt.name, exc_info=error)
        attempt.phase = AttemptPhase.DONE
        attempt.forget_at = self._now() + ANSWER_KEPT
        self.running.discard(attempt.name)
        attempt.session.on_started(attempt.name)
        if attempt.answer is None:
            self.attempts.pop(attempt.name, None)
        self._record(attempt.offer, "done")
        self.policy.on_ended(attempt.name, self._now())
        self._start_waiting()
        if not self.running:
            self._idle.set()

    def _on_credit(self, credit: messages.Credit) -> None:
        attempt = self.attempts.get(credit.attempt)
        if attempt is not None:
            attempt.credit += credit.chunks
            self.runner.on_credit(attempt)

    async def _on_cancel(self, session: Session, cancel: messages.Cancel) -> None:
        attempt = self.attempts.get(cancel.attempt)
        if attempt is None:
            await self._on_cancel_of_unknown(session, cancel)
            return
        state = _STATES[attempt.phase]
        if attempt.phase is AttemptPhase.WAITING:
            self.policy.withdraw(attempt.name)
            self.attempts.pop(attempt.name)
            self._record(attempt.offer, "never_started")
        elif attempt.is_model:
            self._end_stream(attempt)
        await self.send(session.peer, messages.AttemptState(attempt.name, state))
        if attempt.answer is not None:
            await self.send(session.peer, attempt.answer)

    async def _on_cancel_of_unknown(
        self, session: Session, cancel: messages.Cancel
    ) -> None:
        """Answer for an attempt that is not here.

        If it was ever started, it has ended. If not, remembering it leaves the
        tombstone that keeps a later offer of it from starting.
        """
        state: t.Literal["never_started", "done"] = "done"
        if not session.may_have_started(cancel.attempt):
            session.remember(cancel.attempt)
            state = "never_started"
        await self.send(session.peer, messages.AttemptState(cancel.attempt, state))

    def _end_stream(self, attempt: Attempt) -> None:
        if attempt.task is not None:
            attempt.task.cancel()

    # Time

    async def _beat(self) -> None:
        while True:
            self.alive_at = self._now()
            self.telemetry.on_report(self.report())
            for session in list(self.sessions.by_name.values()):
                if session.beat_at <= self.alive_at:
                    await self._send_report(session)
            await asyncio.sleep(timing.BEAT_INTERVAL)

    async def _send_report(self, session: Session) -> None:
        session.beats += 1
        # A little early rather than a whole tick late.
        session.beat_at = self._now() + session.interval - timing.BEAT_INTERVAL / 2
        beat = messages.ReportBeat(
            session.name, session.beats, self.holder.generation, self.report()
        )
        await self.send(session.peer, beat)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            now = self._now()
            for item, code in self.policy.expire(now):
                self.shed += 1
                attempt = self.attempts.pop(item.attempt)
                await self._refuse(attempt.session, attempt.offer, code)
            self._drop_lost_sessions(now)
            self._forget_answers(now)
            self._start_waiting()

    def _drop_lost_sessions(self, now: float) -> None:
        for session in self.sessions.expired(now):
            logger.info("entry %s was not heard in time", session.entry)
            self._end_session(session)

    def _end_session(self, session: Session) -> None:
        """End a session whose entry can't be answered: its calls of services go on."""
        self.sessions.end(session)
        for attempt in self._of_session(session):
            if attempt.phase is AttemptPhase.WAITING:
                self.policy.withdraw(attempt.name)
                self.attempts.pop(attempt.name)
                self._record(attempt.offer, "never_started")
            elif attempt.is_model:
                self._end_stream(attempt)

    def _forget_answers(self, now: float) -> None:
        done = AttemptPhase.DONE
        for attempt in list(self.attempts.values()):
            if attempt.phase is done and attempt.forget_at <= now:
                del self.attempts[attempt.name]

    def _after_readiness_change(self) -> None:
        if self.readiness is Readiness.READY:
            return
        code = ResultCode.ENGINE_NOT_READY
        if self.readiness is Readiness.LEAVING:
            code = ResultCode.UPSTREAM_LEAVING
        waiting = [a for a in self.attempts.values() if a.phase is AttemptPhase.WAITING]
        for attempt in waiting:
            self.policy.withdraw(attempt.name)
            self.attempts.pop(attempt.name)
            self._in_background(self._refuse(attempt.session, attempt.offer, code))
        for session in self.sessions.by_name.values():
            self._in_background(self._send_report(session))

    def _in_background(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    # Configuration

    async def _follow_configuration(self) -> None:
        generation = -1
        while True:
            configuration = await self.holder.wait_newer(generation)
            generation = configuration.generation
            self.telemetry.on_generation(generation)
            self._after_readiness_change()

    async def _compare_generation(self, peer: bytes, generation: int) -> None:
        if self.holder.should_pull(generation):
            await self.send(peer, messages.ConfigPull(self.holder.generation))

    async def _send_document(self, peer: bytes, generation: int) -> None:
        if self.holder.generation > generation:
            document = messages.ConfigDocument(
                self.holder.generation, self.holder.document
            )
            await self.send(peer, document)

    def _on_document(self, message: messages.ConfigDocument) -> None:
        try:
            self.holder.offer(message.document)
        except msgspec.MsgspecError as error:
            logger.warning("configuration refused: %s", error)

    # Small helpers

    async def send(self, peer: bytes, message: messages.ToEntry) -> None:
        """Send to an entry, in the next turn of the event loop."""
        self.outbox.put(peer, messages.encode(message))

    def _on_frames_lost(self, peer: bytes) -> None:
        """End the sessions of an entry that is gone or takes no more.

        A frame that is dropped, because the entry was stopped and its buffers are
        full, may be the last of an answer: the entry would wait for it until the
        caller's deadline. So the session ends with the first frames lost; the entry
        learns that with its next heartbeat and resumes or asks in a new one.
        """
        for session in self.sessions.of_peer(peer):
            self._end_session(session)

    def on_tokens(self, attempt: Attempt, tokens: int, prefilled: int) -> None:
        """Learn of a stream's progress from the runner."""
        self.done = Cost(self.done.prefill + prefilled, self.done.decode + tokens)
        self.policy.on_progress(attempt.name, tokens, self._now())
        if prefilled:
            self._start_waiting()

    def _of_session(self, session: Session) -> list[Attempt]:
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
    return NO_TOKEN


def _queue_item(offer: messages.Offer, now: float) -> QueueItem:
    work = offer.work
    deadline = now + offer.budget
    if isinstance(work, messages.ServiceWork):
        cost = Cost(1, 1)
        kv_tokens = 0
        start_by = deadline
        resumed = False
    else:
        cost = _stage_cost(work)
        kv_tokens = work.prompt_tokens + work.resume_tokens + work.predicted_tokens
        start_by = now + work.first_token_budget
        resumed = work.resume_tokens > 0
    return QueueItem(
        attempt=offer.attempt,
        tenant=offer.tenant,
        weight=offer.weight,
        request_class=offer.request_class,
        priority=offer.priority,
        cost=cost,
        start_by=start_by,
        deadline=deadline,
        arrived_at=now,
        resumed=resumed,
        kv_tokens=kv_tokens,
    )


def _stage_cost(work: messages.ModelWork) -> Cost:
    """Return what is left to do here of an answer that may be made in two stages."""
    prefill = 0 if work.kv_handle else work.prompt_tokens + work.resume_tokens
    return Cost(prefill, 1 if work.prefill_only else work.predicted_tokens)


def _demand(work: messages.ModelWork | messages.ServiceWork, code: ResultCode) -> Cost:
    """Return what an offer adds to the demand that decides on roles.

    A request is counted whole where it is first offered. Counted stage by stage, what
    prefill engines refuse would never show as decode work, and the fleet would shift
    to prefill while decode is short. A refused request is offered to others too, so a
    refusal counts as a share of one.
    """
    if isinstance(work, messages.ServiceWork):
        return Cost(1, 1)
    if work.kv_handle:
        return Cost(0, 0)
    shares = 1 if code is ResultCode.OK else REFUSALS_A_REQUEST
    prefill = work.prompt_tokens + work.resume_tokens
    return Cost(prefill // shares, work.predicted_tokens // shares)
