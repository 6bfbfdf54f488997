"""An entry's connection to one side: session, heartbeats, offers and their events.

One task runs the connection sequentially: hello, welcome, messages, reconnection.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging

from ..config.holder import ConfigHolder
from ..decoding import DecodingError
from ..errors import NotReachedError
from ..model import NO_FENCING_TOKEN
from ..model import Cost
from ..model import FencingToken
from ..model import InstanceInfo
from ..model import Readiness
from ..model import SideReport
from ..policy import Candidate
from ..ports import Dialer
from ..ports import Link
from ..protocol import config_exchange
from ..protocol import messages
from ..protocol import timing
from ..telemetry import NullTelemetry
from ..telemetry import Telemetry
from .attempt import EntryAttempt
from .attempt import SessionLost
from .attempt import SideReplaced

logger = logging.getLogger(__name__)


class VersionError(Exception):
    """The side and this entry have no protocol version in common."""


class Peer:
    """The connection of one entry to one side, and what the side last reported.

    :param entry: name of the entry.
    :param incarnation: random identifier of this start of the entry.
    :param info: the upstream's record in the instance list.
    :param dialer: opens the connection.
    :param holder: the configuration in force.
    :param counters: numbers the hellos of this incarnation over all its peers; a side
        ignores a hello whose number is not above that of the last one it accepted.
    :param interval: seconds between heartbeats; longer for a side that is only
        observed and gets no work.
    :param telemetry: receives metrics; none are recorded without it.
    :param session: name of the open session, or ``None``.
    :param version: protocol version of the last session.
    :param side_incarnation: identifier of the start of the side's process.
    :param counter: number of the latest hello.
    :param report: the side's last report, or ``None`` without a session.
    :param reported_at: local monotonic time of that report.
    :param reconnect_by: local monotonic time until which a lost session is likely to
        be replaced by a new one.
    :param generation: generation of the configuration that the side has in force.
    :param frame_dropped: whether a frame could not be handed to the transport.
    :param plan_seen: highest plan token that any side of this upstream has reported.
    :param attempts: attempts offered to this side, by name.
    :param offered_since_report: cost of the offers since the last report, which does
        not contain them yet.
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        info: InstanceInfo,
        dialer: Dialer,
        holder: ConfigHolder,
        counters: cabc.Iterator[int],
        interval: float = timing.HEARTBEAT_INTERVAL_SECONDS,
        telemetry: Telemetry | None = None,
    ) -> None:
        self.entry = entry
        self.incarnation = incarnation
        self.info = info
        self.dialer = dialer
        self.holder = holder
        self.counters = counters
        self.interval = interval
        self.telemetry = telemetry or NullTelemetry()
        self.link: Link | None = None
        self.session: str | None = None
        self.version = messages.PROTOCOL_VERSION
        self.side_incarnation = ""
        self.counter = 0
        self.report: SideReport | None = None
        self.reported_at = 0.0
        self.reconnect_by = 0.0
        self.generation = 0
        self.frame_dropped = False
        self.plan_seen = NO_FENCING_TOKEN
        self.attempts: dict[str, EntryAttempt] = {}
        self.offered_since_report = Cost(0, 0)

    # Offers and their attempts

    @property
    def is_observer(self) -> bool:
        """Whether the side is only observed and gets no work."""
        return self.interval > timing.HEARTBEAT_INTERVAL_SECONDS

    @property
    def is_ready(self) -> bool:
        """Whether new work may be offered to the side."""
        if self.is_observer or self.session is None or self.report is None:
            return False
        return self.report.readiness is Readiness.READY

    def candidate(self) -> Candidate:
        """Return the side's state as input for the routing policy."""
        attempts = self.attempts.values()
        return Candidate(
            name=self.info.name,
            zone=self.info.zone,
            report=self.report,
            reported_at=self.reported_at,
            own_running=len(self.attempts),
            own_prefill=sum(a.prefill_left for a in attempts),
            own_decode=sum(a.decode_left for a in attempts),
            own_since_report=self.offered_since_report,
        )

    async def offer(self, attempt: EntryAttempt, offer: messages.Offer) -> None:
        """Send an offer to the side; later messages about it become attempt events.

        :raises NotReachedError: if the offer was certainly not handed over.
        """
        if self.session is None or self.link is None:
            raise NotReachedError(f"no session with {self.info.name}")
        self.attempts[attempt.name] = attempt
        self.offered_since_report = Cost(
            self.offered_since_report.prefill + attempt.cost.prefill,
            self.offered_since_report.decode + attempt.cost.decode,
        )
        try:
            await self.link.send(messages.encode(offer))
        except NotReachedError:
            self.attempts.pop(attempt.name, None)
            raise

    async def cancel(self, attempt: EntryAttempt) -> bool:
        """Ask the side to cancel an attempt; ``False`` if it can't be reached now."""
        if self.session is None:
            return False
        return await self._send(messages.Cancel(self.session, attempt.name))

    async def grant(self, attempt: EntryAttempt, chunks: int) -> None:
        """Grant credit for more chunks of an attempt's stream."""
        if self.session is not None:
            await self._send(messages.Credit(self.session, attempt.name, chunks))

    def forget(self, attempt: EntryAttempt) -> None:
        """Stop tracking an attempt; later messages about it are ignored."""
        self.attempts.pop(attempt.name, None)

    # The connection

    async def run(self) -> None:
        """Maintain a session with the side until cancelled."""
        while True:
            retry = timing.HELLO_RETRY_SECONDS
            link = self.dialer.dial(self.info.side_address)
            try:
                await self._run_session(link)
            except TimeoutError:
                logger.info("side %s is not heard", self.info.name)
            except VersionError as error:
                logger.warning("no session with side %s: %s", self.info.name, error)
                retry = timing.VERSION_RETRY_SECONDS
            finally:
                self._on_session_lost()
                link.close()
            await asyncio.sleep(retry)

    async def _run_session(self, link: Link) -> None:
        welcome = await self._open_session(link)
        self.link = link
        await self._on_session_open(welcome)
        heartbeats = asyncio.create_task(self._send_heartbeats(welcome.session))
        try:
            await self._receive(link, welcome.session)
        finally:
            heartbeats.cancel()

    async def _open_session(self, link: Link) -> messages.Welcome:
        """Send hellos until the side welcomes the latest one.

        :raises VersionError: if the two have no protocol version in common.
        :raises TimeoutError: if the side does not reply in time.
        """
        while True:
            self.counter = next(self.counters)
            hello = messages.Hello(
                version=messages.PROTOCOL_VERSION,
                entry=self.entry,
                incarnation=self.incarnation,
                counter=self.counter,
                generation=self.holder.generation,
                interval=self.interval,
                plan_epoch=self.plan_seen.epoch,
                plan_revision=self.plan_seen.revision,
            )
            try:
                await link.send(messages.encode(hello))
                async with asyncio.timeout(timing.SIDE_TIMEOUT_SECONDS):
                    return await self._wait_for_welcome(link)
            except NotReachedError:
                await asyncio.sleep(timing.HELLO_RETRY_SECONDS)

    async def _wait_for_welcome(self, link: Link) -> messages.Welcome:
        while True:
            message = self._decode(await link.receive())
            if isinstance(message, messages.Welcome):
                if message.counter == self.counter:
                    self.version = _negotiated_version(message)
                    return message
            elif isinstance(message, messages.VersionRefused):
                if message.counter == self.counter:
                    raise VersionError(
                        f"it takes protocol {message.oldest} to {message.version}, "
                        f"this entry speaks up to {messages.PROTOCOL_VERSION}"
                    )
            elif message is not None:
                await self._on_message(message)

    async def _receive(self, link: Link, session: str) -> None:
        """Handle messages until the side does not know the session or a frame is lost.

        :raises TimeoutError: if the side sends nothing for too long.
        """
        while True:
            for frame in await self._next_frames(link):
                message = self._decode(frame)
                if self.frame_dropped:
                    return
                if isinstance(message, messages.SessionUnknown):
                    if message.session == session:
                        return
                elif message is not None:
                    await self._on_message(message)

    async def _next_frames(self, link: Link) -> list[bytes]:
        """Return the next frames.

        After the timeout the socket is read once more. If this process was suspended,
        the side's heartbeats wait in the socket while the timer has already expired;
        without another read, every session would end on resumption and requests would
        be refused for lack of an upstream.

        :raises TimeoutError: if the side sent nothing for too long.
        """
        try:
            async with asyncio.timeout(
                self.interval * timing.ENTRY_MAX_MISSED_HEARTBEATS
            ):
                return await link.receive_many()
        except TimeoutError:
            async with asyncio.timeout(timing.FINAL_RECEIVE_SECONDS):
                return await link.receive_many()

    def _decode(self, frame: bytes) -> messages.ToEntry | None:
        try:
            return messages.decode_to_entry(frame)
        except messages.UnknownMessageError:
            self.telemetry.on_unknown_message()
            return None
        except DecodingError as error:
            logger.warning("frame of %s refused: %s", self.info.name, error)
            return None

    async def _on_session_open(self, welcome: messages.Welcome) -> None:
        """Start a session and resolve the attempts of the earlier one.

        If the side's process was replaced, their state is lost. Otherwise a cancel is
        sent for each, to which the side replies with the attempt's state.
        """
        replaced = welcome.incarnation != self.side_incarnation
        self.side_incarnation = welcome.incarnation
        self.session = welcome.session
        self.frame_dropped = False
        for attempt in list(self.attempts.values()):
            if replaced:
                attempt.events.put_nowait(SideReplaced())
                self.forget(attempt)
            else:
                await self.cancel(attempt)
        await self._compare_generation(welcome.generation)

    def _on_session_lost(self) -> None:
        """Clear the session and notify the attempts that were offered in it."""
        if self.session is None:
            return
        self.session = None
        self.report = None
        self.link = None
        self.reconnect_by = (
            asyncio.get_running_loop().time() + timing.RECONNECT_GRACE_SECONDS
        )
        for attempt in list(self.attempts.values()):
            attempt.events.put_nowait(SessionLost())
            if not attempt.survives_session:
                self.forget(attempt)

    async def _send_heartbeats(self, session: str) -> None:
        while True:
            await self._send(messages.Heartbeat(session, self.holder.generation))
            await asyncio.sleep(self.interval)

    async def _on_message(self, message: messages.ToEntry) -> None:
        match message:
            case messages.Chunk():
                self._on_chunk(message)
            case messages.ReportHeartbeat():
                await self._on_report(message)
            case messages.Started():
                if attempt := self.attempts.get(message.attempt):
                    attempt.started = True
                    attempt.events.put_nowait(message)
            case (
                messages.Refused()
                | messages.ServiceDone()
                | messages.Failed()
                | messages.AttemptState()
            ):
                if attempt := self.attempts.get(message.attempt):
                    attempt.events.put_nowait(message)
            case messages.ConfigPull():
                await self._send_document(message.generation)
            case messages.ConfigDocument():
                config_exchange.offer_document(self.holder, message)

    def _on_chunk(self, chunk: messages.Chunk) -> None:
        attempt = self.attempts.get(chunk.attempt)
        if attempt is None:
            return
        attempt.on_progress(chunk.tokens)
        attempt.events.put_nowait(chunk)

    async def _on_report(self, heartbeat: messages.ReportHeartbeat) -> None:
        if heartbeat.session != self.session:
            return
        self.report = heartbeat.report
        self.reported_at = asyncio.get_running_loop().time()
        reported_plan = FencingToken(
            heartbeat.report.plan_epoch, heartbeat.report.plan_revision
        )
        self.plan_seen = max(self.plan_seen, reported_plan)
        self.offered_since_report = Cost(0, 0)
        await self._compare_generation(heartbeat.generation)

    # Configuration

    async def _compare_generation(self, generation: int) -> None:
        self.generation = generation
        if request := config_exchange.config_pull(self.holder, generation):
            await self._send(request)

    async def _send_document(self, generation: int) -> None:
        if document := config_exchange.newer_config_document(self.holder, generation):
            await self._send(document)

    async def _send(self, message: messages.ToSide) -> bool:
        if self.link is None:
            return False
        try:
            await self.link.send(messages.encode(message))
        except NotReachedError:
            # Without a lost credit message its stream would stall until the deadline,
            # so the session ends with the first frame that is dropped.
            self.frame_dropped = True
            return False
        return True


def _negotiated_version(welcome: messages.Welcome) -> int:
    version = messages.negotiate_version(welcome.version)
    if version is None:
        raise VersionError(
            f"it speaks protocol {welcome.version}, this entry takes "
            f"{messages.MIN_PROTOCOL_VERSION} to {messages.PROTOCOL_VERSION}"
        )
    return version
