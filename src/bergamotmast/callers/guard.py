"""Keeps the callers of a process within its memory and its descriptors."""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import enum
import logging
import resource
import typing as t

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.caller_memory import BodyGrants
from ..policy.caller_memory import ConnectionCharges
from ..policy.caller_memory import MemoryLimits
from ..telemetry import Telemetry
from .turns import InputTurns

logger = logging.getLogger(__name__)

DEFAULT_MEMORY_MB = 256.0
"""Memory of a process whose settings name none."""

FILE_DESCRIPTORS = 200
"""Descriptors that are left for files."""

INTERNAL_DESCRIPTORS = 24
"""Descriptors for the store, datagrams, listening sockets and the event loop."""

MIN_CALLER_SHARE = 1 / 16
"""Smallest share of all descriptors for callers, where few may be opened."""

MAX_PROBE_CONNECTIONS = 32
"""Maximum connections of a listener for probes or metrics, which has few callers."""

RECEIVE_BUFFER_BYTES = 32_768
"""Receive buffer of a connection in the kernel, which counts as memory of the process.
It takes 5 MB/s over a distance of 3 ms."""

READ_BYTES = 16_384
"""Maximum size of one read from a caller."""

CHECK_SECONDS = 0.5
"""Interval between two checks for stalled bodies while others wait."""

LOG_SECONDS = 1.0
"""Minimum interval between two log lines about limits."""

MAX_LINGERING = 64
"""Maximum number of refused connections that are kept for their caller to read the
refusal."""


class Limit(enum.Enum):
    """The limit for which a connection was closed or its request was refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    BODY_STALLED = "body stalled"
    HEAD = "head"


class Room(enum.Enum):
    """Room for a new connection."""

    FREE = enum.auto()

    IN_PLACE = enum.auto()
    """In place of another connection."""

    LATER = enum.auto()
    """Soon, unless the callers of all connections become active."""

    NONE = enum.auto()
    """None before a request has ended, of which it isn't known when."""


class GuardedConnection(t.Protocol):
    """A caller's connection."""

    @property
    def body_received(self) -> int:
        """Bytes of the present body that have been received."""
        ...

    def on_granted(self) -> None:
        """Read on, as the present body has been granted."""
        ...

    def end(self, error: RequestError) -> None:
        """Refuse the present request if there is one, or close the connection."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorLimits:
    """Limits on connections.

    :param callers: maximum connections of the listener for callers. As many are left
        for upstreams.
    """

    callers: int

    @classmethod
    def of_process(cls, descriptors: int) -> DescriptorLimits:
        """Return the limits of a process.

        :param descriptors: what it may open; 0 for the limit of the operating system.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        most = min(descriptors or soft, soft)
        kept = FILE_DESCRIPTORS + INTERNAL_DESCRIPTORS + 2 * MAX_PROBE_CONNECTIONS
        return cls(max((most - kept) // 2, int(most * MIN_CALLER_SHARE)))


class CallerGuard:
    """Keeps the callers of a process within its memory and its descriptors.

    :param lingering: refused connections that are kept for their caller.
    :param closed: connections that were closed or refused by each limit, and not
        logged yet.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        limits: MemoryLimits | None = None,
        descriptors: DescriptorLimits | None = None,
    ) -> None:
        self.telemetry = telemetry
        self.limits = limits or MemoryLimits.of_process(DEFAULT_MEMORY_MB)
        self.descriptors = descriptors or DescriptorLimits.of_process(0)
        self.charges: ConnectionCharges[GuardedConnection] = ConnectionCharges()
        self.grants: BodyGrants[GuardedConnection] = BodyGrants(self.limits)
        self.turns = InputTurns()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.lingering: collections.OrderedDict[GuardedConnection, None] = (
            collections.OrderedDict()
        )
        self.closed: collections.Counter[Limit] = collections.Counter()
        self._check: asyncio.TimerHandle | None = None
        self._log: asyncio.TimerHandle | None = None

    @property
    def is_full(self) -> bool:
        """Whether no further request may begin."""
        return self.charges.held + self.grants.granted > self.limits.total

    def check_room(self) -> None:
        """Check whether a request may begin.

        :raises RequestError: if the memory is used up by requests that run.
        """
        if self.is_full:
            self._count(Limit.MEMORY)
            raise _refusal()

    def charge(self, connection: GuardedConnection, size: int) -> None:
        """Set what a connection costs, and close others if there is no room."""
        self.charges.charge(connection, size)
        while self.is_full:
            victim = self.charges.longest_inactive()
            if victim is None:
                break
            self._end(victim, Limit.MEMORY)

    def remove(self, connection: GuardedConnection) -> None:
        """Forget a connection that is closed."""
        self.charges.remove(connection)
        self.lingering.pop(connection, None)
        self.release(connection)

    def on_caller_active(self, connection: GuardedConnection) -> None:
        """Record that a caller has sent or read something, and has to do so again."""
        now = asyncio.get_running_loop().time()
        self.charges.on_caller_active(connection, now)

    def room_in_place(self, connections: cabc.Collection[GuardedConnection]) -> Room:
        """Return whether one of a listener's connections may be replaced."""
        oldest = self.charges.longest_inactive(connections)
        if oldest is None:
            return Room.NONE
        now = asyncio.get_running_loop().time()
        replaceable = self.charges.may_be_replaced(oldest, now)
        return Room.IN_PLACE if replaceable else Room.LATER

    def replace_one(self, connections: cabc.Collection[GuardedConnection]) -> None:
        """Close one of a listener's connections, which may be replaced."""
        oldest = self.charges.longest_inactive(connections)
        if oldest is not None:
            self.on_surplus()
            self.remove(oldest)
            oldest.abort()

    def on_surplus(self) -> None:
        """Count a connection that is closed because there are too many."""
        self._count(Limit.CONNECTIONS)

    def ask(self, connection: GuardedConnection, body_bytes: int) -> None:
        """Ask for a grant for a large body."""
        self.grants.ask(connection, body_bytes)
        self._grant()
        if self.grants.requests and self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(CHECK_SECONDS, self._check_grants)

    def complete(self, connection: GuardedConnection, body_bytes: int) -> None:
        """Record that a whole body has been received."""
        self.charges.on_caller_done(connection)
        if connection in self.grants.grants:
            self.grants.complete(connection, body_bytes)
            self._grant()

    def release(self, connection: GuardedConnection) -> None:
        """Return the grant of a connection whose request has ended."""
        if connection in self.grants.grants or connection in self.grants.requests:
            self.grants.release(connection)
            self._grant()

    def linger(self, connection: GuardedConnection) -> None:
        """Keep a refused connection until its caller has read the refusal."""
        self.lingering[connection] = None
        if len(self.lingering) > MAX_LINGERING:
            oldest, _ = self.lingering.popitem(last=False)
            oldest.abort()

    def on_endless_head(self, connection: GuardedConnection) -> None:
        """End a connection whose head or trailer is too long."""
        self._end(
            connection,
            Limit.HEAD,
            RequestError(ResultCode.BAD_HEADER, "The head or trailer is too long."),
        )

    def _grant(self) -> None:
        now = asyncio.get_running_loop().time()
        while True:
            connection = self.grants.grant_next(self.charges.held, now)
            if connection is None:
                return
            connection.on_granted()

    def _check_grants(self) -> None:
        self._check = None
        loop = asyncio.get_running_loop()
        for connection in self.grants.overdue(_body_received, loop.time()):
            self._end(connection, Limit.BODY_STALLED)
        self._grant()
        if self.grants.requests:
            self._check = loop.call_later(CHECK_SECONDS, self._check_grants)

    def _end(
        self,
        connection: GuardedConnection,
        limit: Limit,
        error: RequestError | None = None,
    ) -> None:
        self._count(limit)
        self.remove(connection)
        connection.end(error or _refusal())

    def _count(self, limit: Limit) -> None:
        self.telemetry.on_limited_caller(limit.value)
        self.closed[limit] += 1
        if self._log is None:
            loop = asyncio.get_running_loop()
            self._log = loop.call_later(LOG_SECONDS, self._write_log)

    def _write_log(self) -> None:
        self._log = None
        logger.warning(
            "callers are limited",
            extra={
                "closed": {limit.value: n for limit, n in self.closed.items()},
                "connections": len(self.charges.charges),
                "held_bytes": self.charges.held,
                "granted_bytes": self.grants.granted,
                "waiting_bodies": len(self.grants.requests),
            },
        )
        self.closed.clear()


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listener.

    :param guard: limits of the process, which its listeners share.
    :param body_limit: returns the maximum size of a body in bytes; ``None`` if bodies
        are not kept.
    :param max_connections: maximum number of connections; ``None`` for that of the
        process.
    """

    guard: CallerGuard
    body_limit: cabc.Callable[[], int] | None = None
    max_connections: int | None = None


def _body_received(connection: GuardedConnection) -> int:
    return connection.body_received


def _refusal() -> RequestError:
    return RequestError(ResultCode.CALLERS_LIMITED)
