"""A side's conversations with entries: sessions, heartbeats, the configuration."""

from __future__ import annotations

import asyncio
import logging
import typing as t

import msgspec

from ..config.holder import ConfigHolder
from ..errors import ResultCode
from ..model import FencingToken
from ..model import SideReport
from ..ports import Listener
from ..protocol import config_exchange
from ..protocol import messages
from ..protocol import timing
from ..telemetry import Telemetry
from .outbox import Outbox
from .session import Session
from .session import SessionTable

logger = logging.getLogger(__name__)


HEARTBEATS_UNTIL_READ = 2
"""Beats of an entry after which it has read what was handed over before them."""

READ_CHECK_INTERVAL = 0.05
"""Seconds between two looks whether those beats were heard."""


class SessionHandler(t.Protocol):
    """The side's work, which sessions bring offers to."""

    def report(self) -> SideReport:
        """Return the state that heartbeats tell."""
        ...

    def on_plan_seen(self, token: FencingToken) -> None:
        """Learn of a plan that an earlier side of this upstream obeyed."""
        ...

    async def on_offer(self, session: Session, offer: messages.Offer) -> None:
        """Take an offer, or refuse it."""
        ...

    def on_credit(self, credit: messages.Credit) -> None:
        """Let a stream send more."""
        ...

    async def on_cancel(self, session: Session, cancel: messages.Cancel) -> None:
        """End an attempt and say what became of it."""
        ...

    async def on_session_replaced(self, earlier: Session, session: Session) -> None:
        """Learn that a session has taken an earlier one's place."""
        ...

    def on_session_ended(self, session: Session) -> None:
        """Learn that a session is over."""
        ...


class SessionServer:
    """Answers entries and keeps their sessions.

    :param upstream: name of the upstream.
    :param listener: where entries connect.
    :param user: the side's work.
    :param holder: the configuration in force.
    :param table: the open sessions.
    :param last_ran_at: when this process last ran its beat.
    """

    def __init__(
        self,
        upstream: str,
        listener: Listener,
        user: SessionHandler,
        holder: ConfigHolder,
        telemetry: Telemetry,
        incarnation: str,
    ) -> None:
        self.upstream = upstream
        self.listener = listener
        self.user = user
        self.holder = holder
        self.telemetry = telemetry
        self.outbox = Outbox(listener, self._on_frames_lost)
        self.table = SessionTable(incarnation)
        self.last_ran_at = 0.0

    async def run(self) -> None:
        """Serve entries until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self.outbox.run())
            group.create_task(self._heartbeat_loop())

    async def _receive(self) -> None:
        self.last_ran_at = _now()
        while True:
            peer, frame = await self.listener.receive()
            self._end_sessions_after_suspension()
            try:
                message = messages.decode_to_side(frame)
            except messages.UnknownMessageError:
                self.telemetry.on_unknown_message()
                continue
            except msgspec.MsgspecError as error:
                logger.warning("frame refused: %s", error)
                continue
            await self._handle(peer, message)

    def _end_sessions_after_suspension(self) -> None:
        """End every session if this process did not run for a while.

        A process that was stopped wakes up to offers whose entries gave up on them
        long ago: starting them would burn the upstream on answers nobody waits for.
        The beat task notes each half second that the process runs; a gap of a
        session's lifetime means that every entry has turned away.
        """
        now = _now()
        if now - self.last_ran_at > timing.SIDE_TIMEOUT:
            logger.warning(
                "did not run for %.1f s: sessions end", now - self.last_ran_at
            )
            for session in list(self.table.by_name.values()):
                self.end(session)
            self.last_ran_at = now

    async def _handle(self, peer: bytes, message: messages.ToSide) -> None:
        if isinstance(message, messages.Hello):
            await self._on_hello(peer, message)
            return
        if isinstance(message, messages.ConfigDocument):
            config_exchange.take_document(self.holder, message)
            return
        if isinstance(message, messages.ConfigPull):
            await self._send_document(peer, message.generation)
            return
        session = self.table.find(message.session, peer)
        if session is None:
            await self._on_stale(peer, message)
            return
        session.on_heard(_now())
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
                session.heartbeats_received += 1
                await self._compare_generation(session.peer, message.generation)
            case messages.Offer():
                await self.user.on_offer(session, message)
            case messages.Credit():
                self.user.on_credit(message)
            case messages.Cancel():
                await self.user.on_cancel(session, message)

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
        opened = self.table.open(peer, hello, _now(), version)
        if opened is None:
            return
        session, earlier = opened
        self.user.on_plan_seen(FencingToken(hello.plan_epoch, hello.plan_revision))
        if earlier is not None:
            await self.user.on_session_replaced(earlier, session)
        welcome = messages.Welcome(
            version=messages.PROTOCOL_VERSION,
            upstream=self.upstream,
            session=session.name,
            incarnation=self.table.side_incarnation,
            counter=hello.counter,
            generation=self.holder.generation,
        )
        await self.send(peer, welcome)
        await self.send_report(session)
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

    async def _heartbeat_loop(self) -> None:
        while True:
            # On waking, this may run before the first frame is read.
            self._end_sessions_after_suspension()
            self.last_ran_at = _now()
            self.telemetry.on_report(self.user.report())
            for session in list(self.table.by_name.values()):
                if session.next_heartbeat_at <= self.last_ran_at:
                    await self.send_report(session)
            await asyncio.sleep(timing.BEAT_INTERVAL)

    async def send_report(self, session: Session) -> None:
        """Tell an entry the side's exact state now."""
        session.heartbeats_sent += 1
        # A little early rather than a whole tick late.
        session.next_heartbeat_at = _now() + session.interval - timing.BEAT_INTERVAL / 2
        beat = messages.ReportBeat(
            session.name,
            session.heartbeats_sent,
            self.holder.generation,
            self.user.report(),
        )
        await self.send(session.peer, beat)

    async def wait_until_read(self) -> None:
        """Wait until every entry has had a turn to read what was handed over.

        ZeroMQ drops what an entry has not read when the connection closes: last answers
        would be lost, and calls that ran end as unknown. The first beat heard may have
        been under way before; an entry that sends the second has run since, and reads.
        One that stays silent takes the side for lost after the same time.
        """
        working_sessions = [
            s for s in self.table.by_name.values() if not s.only_observes
        ]
        awaited = {
            s.name: s.heartbeats_received + HEARTBEATS_UNTIL_READ
            for s in working_sessions
        }
        end_by = _now() + timing.SIDE_TIMEOUT
        while awaited and _now() < end_by:
            await asyncio.sleep(READ_CHECK_INTERVAL)
            open_sessions = self.table.by_name
            awaited = {
                name: count
                for name, count in awaited.items()
                if name in open_sessions
                and open_sessions[name].heartbeats_received < count
            }

    async def _compare_generation(self, peer: bytes, generation: int) -> None:
        if request := config_exchange.pull(self.holder, generation):
            await self.send(peer, request)

    async def _send_document(self, peer: bytes, generation: int) -> None:
        if document := config_exchange.newer_document(self.holder, generation):
            await self.send(peer, document)

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
        for session in self.table.from_peer(peer):
            self.end(session)

    def end(self, session: Session) -> None:
        """End a session whose entry can't be answered any more."""
        self.table.end(session)
        self.user.on_session_ended(session)

    def end_expired(self, now: float) -> None:
        """End the sessions whose entries were not heard in time."""
        for session in self.table.expired(now):
            logger.info("entry %s was not heard in time", session.entry)
            self.end(session)


def _now() -> float:
    return asyncio.get_running_loop().time()
