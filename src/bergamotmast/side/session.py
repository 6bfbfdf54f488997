"""A side's sessions: which entry may offer work now, and what it offered."""

from __future__ import annotations

import collections
import dataclasses

from ..protocol import timing
from ..protocol.messages import PROTOCOL_VERSION
from ..protocol.messages import Hello

MAX_TOMBSTONES = 4096
"""Attempts a session remembers so that a copy of their offer never starts.

Frames of one session arrive in order and an older session is refused as a whole, so
a copy can only follow closely; the bound keeps a long session from growing.
"""

MAX_INCARNATIONS = 4096
"""Incarnations of entries whose last hello is remembered; some weeks of restarts."""


@dataclasses.dataclass
class Session:
    """One entry's standing at this side.

    :param name: names the session in messages.
    :param peer: transport identity that the session's frames come from.
    :param incarnation: of the entry.
    :param counter: of the hello that opened it.
    :param interval: seconds between heartbeats, both ways.
    :param version: protocol version that both ends know.
    :param expires_at: when the entry counts as lost unless it is heard again.
    :param next_heartbeat_at: when the next beat to the entry is due.
    :param heartbeats_received: beats heard from the entry.
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
    def only_observes(self) -> bool:
        """Whether the entry offers no work in this session."""
        return self.interval > timing.BEAT_INTERVAL

    def on_heard(self, now: float) -> None:
        """Put off the moment at which the entry counts as lost."""
        self.expires_at = now + self.interval * timing.MISSED_BY_SIDE

    def remember(self, attempt: str) -> bool:
        """Note an attempt; ``False`` if its offer or cancel was seen before."""
        if attempt in self.seen:
            return False
        self._note(attempt, False)
        return True

    def on_started(self, attempt: str) -> None:
        """Note that an attempt has run, or runs."""
        self._note(attempt, True)

    def may_have_started(self, attempt: str) -> bool:
        """Return whether an attempt that was seen was ever started."""
        return self.seen.get(attempt, False)

    def inherit(self, earlier: Session) -> None:
        """Take over what an earlier session of the same incarnation saw.

        A call may have run and its end have been lost with the earlier session: the
        entry asks for it in this one. Without the memory it would hear "never
        started" of a call that ran, and run it again elsewhere.
        """
        self.seen = earlier.seen

    def _note(self, attempt: str, started: bool) -> None:
        self.seen[attempt] = started
        self.seen.move_to_end(attempt)
        if len(self.seen) > MAX_TOMBSTONES:
            self.seen.popitem(last=False)


class SessionTable:
    """All sessions of a side, at most one for each incarnation of an entry.

    :param side_incarnation: random for each start of the side.
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
        """Open a session and return it with the one it ends.

        A hello may lie in a buffer while its connection is cut off and arrive after
        a later one. Taking it would end the session in use and let offers from
        before the cut start: it is refused by its counter.
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
            interval=max(hello.interval, timing.BEAT_INTERVAL),
            version=version,
        )
        session.on_heard(now)
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
        """Return a session if it is open and the frame came from its own peer."""
        session = self.by_name.get(name)
        if session is None or session.peer != peer:
            return None
        return session

    def from_peer(self, peer: bytes) -> list[Session]:
        """Return the open sessions whose frames come from a peer."""
        return [s for s in self.by_name.values() if s.peer == peer]

    def end(self, session: Session) -> None:
        """Take a session out; its incarnation stays known with its counter."""
        self.by_name.pop(session.name, None)

    def expired(self, now: float) -> list[Session]:
        """Return the open sessions whose entries were not heard in time."""
        return [s for s in self.by_name.values() if s.expires_at <= now]
