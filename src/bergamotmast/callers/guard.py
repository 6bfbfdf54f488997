"""Keeps the callers of a process within its descriptors."""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import enum
import logging
import resource
import typing as t

from ..policy.caller_memory import ConnectionCharges
from ..telemetry import Telemetry

logger = logging.getLogger(__name__)

FILE_DESCRIPTORS = 200
"""Descriptors that are left for files."""

INTERNAL_DESCRIPTORS = 24
"""Descriptors for the store, datagrams, listening sockets and the event loop."""

MAX_PROBE_CONNECTIONS = 32
"""Maximum connections of a listener for probes or metrics, which has few callers."""

LOG_SECONDS = 1.0
"""Minimum interval between two log lines about limits."""


class Limit(enum.Enum):
    """The limit for which a connection was closed."""

    CONNECTIONS = "connections"


class GuardedConnection(t.Protocol):
    """A caller's connection."""

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
        return cls(max(1, (most - kept) // 2))


class CallerGuard:
    """Keeps the callers of a process within its descriptors.

    :param closed: connections that were closed by each limit, and not
        logged yet.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        descriptors: DescriptorLimits | None = None,
    ) -> None:
        self.telemetry = telemetry
        self.descriptors = descriptors or DescriptorLimits.of_process(0)
        self.charges: ConnectionCharges[GuardedConnection] = ConnectionCharges()
        self.closed: collections.Counter[Limit] = collections.Counter()
        self._log: asyncio.TimerHandle | None = None

    def remove(self, connection: GuardedConnection) -> None:
        """Forget a connection that is closed."""
        self.charges.remove(connection)

    def make_room(self, connections: cabc.Collection[GuardedConnection]) -> bool:
        """Close one of a listener's connections; return whether one could be closed."""
        victim = self.charges.longest_inactive(connections)
        self._count(Limit.CONNECTIONS)
        if victim is None:
            return False
        self.remove(victim)
        victim.abort()
        return True

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
            },
        )
        self.closed.clear()


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listener.

    :param guard: limits of the process, which its listeners share.
    :param max_connections: maximum number of connections; ``None`` for that of the
        process.
    """

    guard: CallerGuard
    max_connections: int | None = None
