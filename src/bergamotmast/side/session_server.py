"""Server of a side's sessions: hellos, heartbeats and configuration exchange."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from ..config.holder import ConfigHolder
from ..decoding import DecodingError
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
"""Heartbeats of an entry after which it has read the frames sent before them."""

READ_CHECK_INTERVAL = 0.05
"""Seconds between checks whether those heartbeats have arrived."""


class SessionHandler(t.Protocol):
    """Handler of the messages that arrive in sessions: the side's core."""

    def report(self) -> SideReport:
        """Return the report that heartbeats carry."""
        ...

    def on_plan_seen(self, token: FencingToken) -> None:
        """Record the token of a plan that an earlier side of this upstream obeyed."""
        ...

    async def on_offer(self, session: Session, offer: messages.Offer) -> None:
        """Accept an offer, or refuse it."""
        ...

    def on_credit(self, credit: messages.Credit) -> None:
        """Grant more credit to a stream."""
        ...

    async def on_cancel(self, session: Session, cancel: messages.Cancel) -> None:
        """End an attempt and report its state."""
        ...

    async def on_session_replaced(self, earlier: Session, session: Session) -> None:
        """Move the attempts of an ended session to the session that replaces it."""
        ...

    def on_session_ended(self, session: Session) -> None:
        """End the attempts of a closed session."""
        ...


class SessionServer:
    """Receives the messages of entries and maintains the sessions with them.

    :param upstream: name of the upstream.
    :param listener: the socket that entries connect to.
    :param handler: handles the messages of sessions.
    :param holder: the configuration in force.
    :param telemetry: receives metrics.
    :param incarnation: random identifier of this start of the side.
    :param outbox: frames to entries that are not sent yet.
    :param table: the sessions.
    :param last_ran_at: local monotonic time at which the heartbeat task last ran.
    """

    def __init__(
        self,
        upstream: str,
        listener: Listener,
        handler: SessionHandler,
        holder: ConfigHolder,
        telemetry: Telemetry,
        incarnation: str,
    ) -> None:
        self.upstream = upstream
        self.listener = listener
        self.handler = handler
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
            except DecodingError as error:
                logger.warning("frame is not a valid message: %s", error)
                continue
            await self._handle(peer, message)

    def _end_sessions_after_suspension(self) -> None:
        """End every session if this process was suspended for a session's lifetime.

        A process that resumes finds offers in its socket whose entries have long given
        up on them; starting them would waste the upstream on answers that nobody waits
        for. The heartbeat task records every half second that the process runs. A gap
        of a session's lifetime means that every entry has closed its session.
        """
        now = _now()
        if now - self.last_ran_at > timing.SIDE_TIMEOUT_SECONDS:
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
            config_exchange.offer_document(self.holder, message)
            return
        if isinstance(message, messages.ConfigPull):
            await self._send_document(peer, message.generation)
            return
        session = self.table.find(message.session, peer)
        if session is None:
            await self._on_stale(peer, message)
            return
        session.on_received(_now())
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
                await self.handler.on_offer(session, message)
            case messages.Credit():
                self.handler.on_credit(message)
            case messages.Cancel():
                await self.handler.on_cancel(session, message)

    async def _on_stale(
        self,
        peer: bytes,
        message: messages.Heartbeat
        | messages.Offer
        | messages.Credit
        | messages.Cancel,
    ) -> None:
        """Refuse a message of a session that is not open."""
        if isinstance(message, messages.Offer):
            refused = messages.Refused(message.attempt, ResultCode.STALE_SESSION, 0.0)
            await self.send(peer, refused)
        await self.send(peer, messages.SessionUnknown(message.session))

    async def _on_hello(self, peer: bytes, hello: messages.Hello) -> None:
        """Open a session, or refuse it if there is no common protocol version."""
        version = messages.negotiate_version(hello.version)
        if version is None:
            await self._refuse_version(peer, hello)
            return
        opened = self.table.open(peer, hello, _now(), version)
        if opened is None:
            return
        session, earlier = opened
        self.handler.on_plan_seen(FencingToken(hello.plan_epoch, hello.plan_revision))
        if earlier is not None:
            await self.handler.on_session_replaced(earlier, session)
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
            messages.MIN_PROTOCOL_VERSION,
            messages.PROTOCOL_VERSION,
        )
        refused = messages.VersionRefused(
            messages.PROTOCOL_VERSION, messages.MIN_PROTOCOL_VERSION, hello.counter
        )
        await self.send(peer, refused)

    async def _heartbeat_loop(self) -> None:
        """Send heartbeats that are due until cancelled."""
        while True:
            # When the process resumes, this may run before the first frame is read.
            self._end_sessions_after_suspension()
            self.last_ran_at = _now()
            self.telemetry.on_report(self.handler.report())
            for session in list(self.table.by_name.values()):
                if session.next_heartbeat_at <= self.last_ran_at:
                    await self.send_report(session)
            await asyncio.sleep(timing.HEARTBEAT_INTERVAL_SECONDS)

    async def send_report(self, session: Session) -> None:
        """Send an entry a heartbeat with a report of the current state."""
        session.heartbeats_sent += 1
        # Due half an interval of the loop early rather than a whole interval late.
        session.next_heartbeat_at = (
            _now() + session.interval - timing.HEARTBEAT_INTERVAL_SECONDS / 2
        )
        heartbeat = messages.ReportHeartbeat(
            session.name,
            session.heartbeats_sent,
            self.holder.generation,
            self.handler.report(),
        )
        await self.send(session.peer, heartbeat)

    async def wait_until_read(self) -> None:
        """Wait until every working entry has had time to read the frames sent so far.

        When the connection closes, ZeroMQ drops the frames that an entry has not read:
        last answers would be lost, and calls that ran would end as unknown. The first
        heartbeat may have been under way before; an entry that sends the second one has
        run since and reads its socket. The wait ends after the session timeout, when an
        entry that does not respond counts the side as lost too.
        """
        working_sessions = [s for s in self.table.by_name.values() if not s.is_observer]
        awaited = {
            s.name: s.heartbeats_received + HEARTBEATS_UNTIL_READ
            for s in working_sessions
        }
        end_by = _now() + timing.SIDE_TIMEOUT_SECONDS
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
        if request := config_exchange.config_pull(self.holder, generation):
            await self.send(peer, request)

    async def _send_document(self, peer: bytes, generation: int) -> None:
        if document := config_exchange.newer_config_document(self.holder, generation):
            await self.send(peer, document)

    async def send(self, peer: bytes, message: messages.ToEntry) -> None:
        """Send a message to an entry in the next iteration of the event loop."""
        self.outbox.put(peer, messages.encode(message))

    def _on_frames_lost(self, peer: bytes) -> None:
        """End the sessions of an entry whose frames could not be sent.

        The entry has ended, or it is suspended and its buffers are full. A dropped
        frame may be the last of an answer, which the entry would wait for until the
        caller's deadline, so the session ends with the first frame that is dropped. The
        entry learns of that with its next heartbeat, opens a new session, and resumes
        streams or asks for the state of calls there.
        """
        for session in self.table.from_peer(peer):
            self.end(session)

    def end(self, session: Session) -> None:
        """Close a session and end its attempts."""
        self.table.end(session)
        self.handler.on_session_ended(session)

    def end_expired(self, now: float) -> None:
        """Close the sessions whose entries sent nothing in time."""
        for session in self.table.expired(now):
            logger.info("entry %s was not heard in time", session.entry)
            self.end(session)


def _now() -> float:
    return asyncio.get_running_loop().time()
