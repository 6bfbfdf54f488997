"""An engine as a process, which names itself in its events and may fall silent.

Run as ``python move_replica.py PORT IDLE_SECONDS RECORD_FILE NAME BUILD SILENT_SHARE``.
A line of the record is ``ID@NAME@MILLISECONDS`` for a request that the engine decodes,
with the time that was left as it was sent, ``ID@NAME@prefill`` for one that it only
prefills, and ``ID@NAME@silent`` for one that it will not go on with.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time

from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import event
from series_replica import SeriesReplica
from series_replica import serve_until_sigterm

FOREVER_SHARE = 0.1
"""Part of the silences that never end."""


class MoveReplica(SeriesReplica):
    """Engine that prefills and decodes prompts.

    :param share: part of its events before which the stream falls silent.
    """

    def __init__(
        self, idle_seconds: float, record: int, name: str, build: str, share: float
    ) -> None:
        super().__init__(idle_seconds, record)
        self.build = build
        self.silent_share = share
        self.engine = Replica(name, EngineScript(prefill_seconds=0.02))
        self.rng = random.Random(name)

    def describe(self, received: Received) -> str:
        """Return the request's id, the engine, and the time that was left."""
        time_left = received.headers["x-deadline-ms"]
        return f"{received.request_id}@{self.engine.name}@{time_left}"

    def event(self, number: int) -> bytes:
        """Return an event that names the engine, its build, and the present time."""
        text = f"{self.build}@{self.engine.name}@{time.monotonic():.3f}"
        return event(number, text)

    async def wait_for_event(
        self, received: Received, number: int, seconds: float
    ) -> None:
        """Wait until an event is due, or fall silent before it."""
        if self.rng.random() < self.silent_share:
            seconds = self.rng.uniform(0.8, 1.9)
            if self.rng.random() < FOREVER_SHARE:
                name = self.engine.name
                self.record_received(f"{received.request_id}@{name}@silent")
                seconds = 60.0
        await asyncio.sleep(seconds)

    async def _answer(self, received: Received, writer: asyncio.StreamWriter) -> None:
        headers = received.headers
        if headers.get("x-stage") == "prefill":
            self.record_received(f"{received.request_id}@{self.engine.name}@prefill")
        if received.method == "DELETE" or headers.get("x-stage") == "prefill":
            await self.engine.script(self.engine, received, writer)
        else:
            await super()._answer(received, writer)


if __name__ == "__main__":
    record_file = os.open(sys.argv[3], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    idle, (name, build, share) = float(sys.argv[2]), sys.argv[4:]
    replica = MoveReplica(idle, record_file, name, build, float(share))
    asyncio.run(serve_until_sigterm(replica, int(sys.argv[1])))
