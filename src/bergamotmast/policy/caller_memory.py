"""Limits on the memory that a process spends on its callers.

Load pattern: callers that don't behave. Many send large bodies at once, or requests
ahead of their answers, and most stop just short of the end and stay connected.

Without it: what they have sent fills the memory, and the kernel ends the process with
the requests of all other callers.

Each connection is charged with what it costs. While the charges exceed the limit, the
connections are closed whose callers have been inactive for longest, out of those that
wait for their caller: idle ones, those whose request is not complete, and those whose
response is not read. An ordinary request arrives within milliseconds and is answered
meanwhile, so that its connection is closed only if the callers of all other connections
have been active since. A request that runs is never ended. Where connections are the
limit, one gives way only after :data:`MIN_INACTIVE_SECONDS`, and new ones wait for it:
a crowd that connects again and again would otherwise replace a connection before its
caller's first request arrives.

A body beyond :data:`SMALL_BODY_BYTES` has to fit as a whole before more of it is read,
see :class:`BodyGrants`: if every large body could grow a little, none could be
completed. Bodies that wait are not read, so that their bytes stay at the caller.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import typing as t

_C = t.TypeVar("_C")
"""A caller's connection."""

CALLER_SHARE = 0.35
"""Share of a process's memory for callers. An entry of a large fleet needs some 60 MB
for itself, and the smallest instances have 160 MB."""

LARGE_BODY_SHARE = 0.2
"""Share of a process's memory for large bodies, out of that for callers."""

READ_AHEAD_SHARE = 0.1
"""Share of a process's memory for responses of callers that read slowly."""

WHOLE_REPLY_SHARE = 0.15
"""Share of a process's memory for replies that are read whole."""

UNPARSED_REPLY_SHARE = 0.04
"""Share of a process's memory for heads and trailers of replies. What is parsed of them
takes two to three times as much."""

PARTIAL_EVENT_SHARE = 0.05
"""Share of a process's memory for events of streams that are not complete."""

SMALL_BODY_BYTES = 65_536
"""Largest body that needs no grant."""

MIN_INACTIVE_SECONDS = 0.2
"""Time that a caller has to send something before its connection is replaced."""

BODY_COPIES = 2
"""Copies of a body while its parts are joined and while it is sent to an upstream."""

STALLED_CHECKS = 2
"""Number of checks in a row without progress after which a grant is withdrawn. One is
not enough: after a pause of the machine, a check may run before anything is read."""

MAX_GRANT_SECONDS = 10.0
"""Time for a large body while others wait, so that a trickle can't hold its grant. The
body of a caller within the limits takes 7 s on the slowest link, 5 Mbit/s."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits in bytes.

    :param total: for requests of all callers.
    :param large_bodies: part of it for large bodies.
    :param read_ahead: for responses that are read ahead of their callers.
    :param whole_replies: for replies that are read whole before they are sent.
    :param unparsed_replies: for heads and trailers of replies that are not complete.
    :param partial_events: for events of streams that are not complete.
    """

    total: int
    large_bodies: int
    read_ahead: int
    whole_replies: int
    unparsed_replies: int
    partial_events: int

    @classmethod
    def of_process(cls, megabytes: float) -> MemoryLimits:
        """Return the limits of a process that may use so much memory."""
        memory = megabytes * 1e6
        return cls(
            total=int(memory * CALLER_SHARE),
            large_bodies=int(memory * LARGE_BODY_SHARE),
            read_ahead=int(memory * READ_AHEAD_SHARE),
            whole_replies=int(memory * WHOLE_REPLY_SHARE),
            unparsed_replies=int(memory * UNPARSED_REPLY_SHARE),
            partial_events=int(memory * PARTIAL_EVENT_SHARE),
        )


class ConnectionCharges(t.Generic[_C]):
    """Account of what the connections of all callers cost.

    :param held: sum of all charges, in bytes.
    :param waiting: connections that wait for their caller, and when it was active
        last; the one whose caller has been inactive for longest comes first.
    """

    def __init__(self) -> None:
        self.held = 0
        self.charges: dict[_C, int] = {}
        self.waiting: collections.OrderedDict[_C, float] = collections.OrderedDict()

    def charge(self, connection: _C, size: int) -> None:
        """Set what a connection costs, in bytes."""
        self.held += size - self.charges.get(connection, 0)
        self.charges[connection] = size

    def remove(self, connection: _C) -> None:
        """Forget a connection that is closed."""
        self.held -= self.charges.pop(connection, 0)
        self.waiting.pop(connection, None)

    def on_caller_active(self, connection: _C, now: float) -> None:
        """Record that a caller has sent or read something, and has to do so again."""
        if connection in self.charges:
            self.waiting[connection] = now
            self.waiting.move_to_end(connection)

    def on_caller_done(self, connection: _C) -> None:
        """Record that a caller has nothing to do before its request is answered."""
        self.waiting.pop(connection, None)

    def longest_inactive(self, among: cabc.Container[_C] | None = None) -> _C | None:
        """Return the connection to close first; ``None`` if none waits.

        :param among: connections that may be closed; all if ``None``.
        """
        for connection in self.waiting:
            if among is None or connection in among:
                return connection
        return None

    def may_be_replaced(self, connection: _C, now: float) -> bool:
        """Return whether a caller has had enough time to send something."""
        return now >= self.waiting[connection] + MIN_INACTIVE_SECONDS


@dataclasses.dataclass(slots=True)
class Grant:
    """Room for one large body.

    :param size: reserved bytes.
    :param expires_at: when it is withdrawn if others wait; a point in time.
    :param received: bytes of the body that had been received at the last check.
    :param stalled_checks: number of checks in a row without progress.
    :param complete: whether the whole body has been received.
    """

    size: int
    expires_at: float
    received: int = -1
    stalled_checks: int = 0
    complete: bool = False


class BodyGrants(t.Generic[_C]):
    """Decides which large bodies are read; points in time are the caller's.

    The request that came last is the first to get a grant: it has most of its time
    left, and a crowd that waits already can't keep it from being read. One is given if
    it is the only one, and none is larger than all memory for large bodies: a single
    request within the limits is served, whatever the size of the process.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        self.granted = 0
        self.grants: dict[_C, Grant] = {}
        self.requests: dict[_C, int] = {}

    def ask(self, connection: _C, body_bytes: int) -> None:
        """Ask for a grant; :meth:`grant_next` returns when it is given."""
        most = self.limits.large_bodies
        self.requests[connection] = min(body_bytes * BODY_COPIES, most)

    def grant_next(self, held: int, now: float) -> _C | None:
        """Give the next grant if there is room; return the connection that gets it.

        :param held: what connections cost beside the grants, in bytes.
        """
        if not self.requests:
            return None
        connection, size = next(reversed(self.requests.items()))
        granted = self.granted + size
        fits = (
            granted <= self.limits.large_bodies and granted + held <= self.limits.total
        )
        if self.grants and not fits:
            return None
        del self.requests[connection]
        self.grants[connection] = Grant(size, now + MAX_GRANT_SECONDS)
        self.granted = granted
        return connection

    def complete(self, connection: _C, body_bytes: int) -> None:
        """Record that a whole body has been received, and return what it left over."""
        grant = self.grants.get(connection)
        if grant is not None:
            size = min(grant.size, body_bytes * BODY_COPIES)
            self.granted += size - grant.size
            grant.size = size
            grant.complete = True

    def release(self, connection: _C) -> None:
        """Return a connection's grant, and withdraw its request for one."""
        self.requests.pop(connection, None)
        grant = self.grants.pop(connection, None)
        if grant is not None:
            self.granted -= grant.size

    def overdue(self, received: cabc.Callable[[_C], int], now: float) -> list[_C]:
        """Return the connections whose grant is withdrawn in favour of others.

        To be called at regular intervals.

        :param received: returns how much has been received of a connection's body.
        """
        found = []
        for connection, grant in self.grants.items():
            if grant.complete:
                continue
            size = received(connection)
            stalled = size == grant.received
            grant.stalled_checks = grant.stalled_checks + 1 if stalled else 0
            grant.received = size
            is_stalled = grant.stalled_checks >= STALLED_CHECKS
            if self.requests and (is_stalled or now >= grant.expires_at):
                found.append(connection)
        return found
