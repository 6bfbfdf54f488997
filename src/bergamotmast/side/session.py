"""Sessions between a side and entries, and the memory of attempts offered in them."""

from __future__ import annotations

import collections
import dataclasses

from ..protocol import timing
from ..protocol.messages import PROTOCOL_VERSION
from ..protocol.messages import Hello

MAX_TOMBSTONES = 4096
"""Attempts that a session remembers, so that a duplicate offer never starts.

Frames of one session arrive in order, and frames of an older session are refused, so a
duplicate can only follow closely. The bound limits the memory of a long session.
"""

MAX_INCARNATIONS = 4096
"""Entry incarnations whose last hello is remembered: some weeks of restarts."""


@dataclasses.dataclass
class Session:
    """A session with one entry.

    :param name: identifies the session in messages.
    :param peer: transport identity that the session's frames come from.
    :param entry: name of the entry.
    :param incarnation: random identifier of the entry's start.
    :param counter: number of the hello that opened the session.
    :param interval: seconds between heartbeats, in both directions.
    :param version: protocol version that both ends speak.
    :param expires_at: local monotonic time at which the entry counts as lost, unless
        another message of it arrives.
    :param next_heartbeat_at: local monotonic time of the next heartbeat to the entry.
    :param heartbeats_sent: number of heartbeats sent to the entry.
    :param heartbeats_received: number of heartbeats received from the entry.
    :param seen: attempts offered or cancelled, and whether each was ever started.
    """

    name: str
    peer: bytes
    entry: str
    incarnation: str
    counter: int
    interval: float
    version: int = PROTOCOL_VERSION
    expires_at: float = 0.0
    next_heartbeat_at: float = 0.0
    heartbeats_sent: int = 0
    heartbeats_received: int = 0
    seen: collections.OrderedDict[str, bool] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def is_observer(self) -> bool:
        """Whether the entry offers no work in this session."""
        return self.interval > timing.HEARTBEAT_INTERVAL_SECONDS

    def on_received(self, now: float) -> None:
        """Extend the session after a message of the entry."""
        self.expires_at = now + self.interval * timing.SIDE_MAX_MISSED_HEARTBEATS

    def remember(self, attempt: str) -> bool:
        """Record an attempt; ``False`` if its offer or cancel was seen before."""
        if attempt in self.seen:
            return False
        self._note(attempt, False)
        return True

    def on_started(self, attempt: str) -> None:
        """Record that an attempt was started."""
        self._note(attempt, True)

    def may_have_started(self, attempt: str) -> bool:
        """Return whether an attempt is known to have been started."""
        return self.seen.get(attempt, False)

    def inherit(self, earlier: Session) -> None:
        """Take over the attempts of an earlier session of the same incarnation.

        A call may have run, and the message of its end may have been lost with the
        earlier session; the entry asks for its state in this one. Without this memory
        it would get "never started" for a call that ran, and run it again elsewhere.
        """
        self.seen = earlier.seen

    def _note(self, attempt: str, started: bool) -> None:
        self.seen[attempt] = started
        self.seen.move_to_end(attempt)
        if len(self.seen) > MAX_TOMBSTONES:
            self.seen.popitem(last=False)


class SessionTable:
    """The sessions of a side, at most one for each incarnation of an entry.

    :param side_incarnation: random identifier of this start of the side.
    :param by_name: the open sessions by name.
    :param by_incarnation: the last session of each entry incarnation, open or ended.
    :param opened: number of sessions opened so far.
    """

    def __init__(self, side_incarnation: str) -> None:
        self.side_incarnation = side_incarnation
        self.by_name: dict[str, Session] = {}
        self.by_incarnation: collections.OrderedDict[str, Session] = (
            collections.OrderedDict()
        )
        self.opened = 0

    def open(
        self, peer: bytes, hello: Hello, now: float, version: int = PROTOCOL_VERSION
    ) -> tuple[Session, Session | None] | None:
        """Open a session and return it with the last earlier one of its incarnation.

        A hello may be buffered during a network partition and arrive after a later
        one. Accepting it would end the current session and let offers from before the
        partition start, so a hello with an old counter is ignored.

        :param now: local monotonic time, in seconds.
        :returns: the session and the earlier one, if any; ``None`` if the hello is not
            newer than the last one of its incarnation.
        """
        earlier = self.by_incarnation.get(hello.incarnation)
        if earlier is not None and hello.counter <= earlier.counter:
            return None
        self.opened += 1
        session = Session(
            name=f"{self.side_incarnation}.{self.opened}",
            peer=peer,
            entry=hello.entry,
            incarnation=hello.incarnation,
            counter=hello.counter,
            interval=max(hello.interval, timing.HEARTBEAT_INTERVAL_SECONDS),
            version=version,
        )
        session.on_received(now)
        if earlier is not None:
            session.inherit(earlier)
            self.end(earlier)
        self.by_name[session.name] = session
        self.by_incarnation[hello.incarnation] = session
        self.by_incarnation.move_to_end(hello.incarnation)
        if len(self.by_incarnation) > MAX_INCARNATIONS:
            self.by_incarnation.popitem(last=False)
        return session, earlier

    def find(self, name: str, peer: bytes) -> Session | None:
        """Return an open session if the frame came from the session's own peer."""
        session = self.by_name.get(name)
        if session is None or session.peer != peer:
            return None
        return session

    def from_peer(self, peer: bytes) -> list[Session]:
        """Return the open sessions of a peer."""
        return [s for s in self.by_name.values() if s.peer == peer]

    def end(self, session: Session) -> None:
        """Close a session; the counter of its incarnation is still remembered."""
        self.by_name.pop(session.name, None)

    def expired(self, now: float) -> list[Session]:
        """Return the open sessions whose entries sent nothing in time."""
        return [s for s in self.by_name.values() if s.expires_at <= now]
