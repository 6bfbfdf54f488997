"""Stand-ins that crash: replicas that certain requests end, and a fleet of entries."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import time
import typing as t

from direct_support import registration
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import Store
from platform_standin import reset

CRASHES = b"crash this engine"
"""Body of a request that crashes each replica that begins to run it."""


class CrashingReplica(Replica):
    """A replica that a request may crash, with all other requests that it runs.

    :param runs_before: seconds that the request runs before the crash.
    :param harmful: bodies of the requests that crash it.
    :param crashed_at: when it crashed, on the event loop's clock; ``None`` if it lives.
    :param arrivals: arrival time of each request with a harmful body.
    """

    born = itertools.count(int(time.time() * 1e3))

    def __init__(
        self, name: str, script: Script, runs_before: float = 0.02, **entry: t.Any
    ) -> None:
        super().__init__(name, self._run, **entry)
        self.entry["born"] = next(self.born)
        self.inner = script
        self.runs_before = runs_before
        self.harmful: cabc.Container[bytes] = {CRASHES}
        self.crashed_at: float | None = None
        self.arrivals: list[float] = []
        self.on_crash: cabc.Callable[[CrashingReplica], None] | None = None

    async def _run(
        self, replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        if received.body in self.harmful:
            self.arrivals.append(asyncio.get_running_loop().time())
            if received.headers.get("x-stage") != "prefill":
                await asyncio.sleep(self.runs_before)
                self.crash()
                return
        await t.cast(t.Any, self.inner(self, received, writer))

    def crash(self) -> None:
        """Close the listener and reset all connections."""
        if self.crashed_at is not None:
            return
        self.crashed_at = asyncio.get_running_loop().time()
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            with contextlib.suppress(OSError):
                reset(writer)
        if self.on_crash is not None:
            self.on_crash(self)


def register(store: Store, replica: Replica, **changes: t.Any) -> None:
    """Write a replica's registration to the store."""
    store.put(f"servers/{replica.name}", registration(replica) | changes)
