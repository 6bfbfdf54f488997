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
have been active since. A request that runs is never ended.
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


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits in bytes.

    :param total: for requests of all callers.
    """

    total: int

    @classmethod
    def of_process(cls, megabytes: float) -> MemoryLimits:
        """Return the limits of a process that may use so much memory."""
        memory = megabytes * 1e6
        return cls(
            total=int(memory * CALLER_SHARE),
        )


class ConnectionCharges(t.Generic[_C]):
    """Account of what the connections of all callers cost.

    :param held: sum of all charges, in bytes.
    :param waiting: connections that wait for their caller, the one whose caller has
        been inactive for longest first.
    """

    def __init__(self) -> None:
        self.held = 0
        self.charges: dict[_C, int] = {}
        self.waiting: collections.OrderedDict[_C, None] = collections.OrderedDict()

    def charge(self, connection: _C, size: int) -> None:
        """Set what a connection costs, in bytes."""
        self.held += size - self.charges.get(connection, 0)
        self.charges[connection] = size

    def remove(self, connection: _C) -> None:
        """Forget a connection that is closed."""
        self.held -= self.charges.pop(connection, 0)
        self.waiting.pop(connection, None)

    def on_caller_active(self, connection: _C) -> None:
        """Record that a caller has sent or read something, and has to do so again."""
        if connection in self.charges:
            self.waiting[connection] = None
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
