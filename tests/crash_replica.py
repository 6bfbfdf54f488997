"""A replica as a process, which certain requests crash.

Run as ``python crash_replica.py PORT IDLE_SECONDS RECORD_FILE``. A request whose body
begins with ``crash`` ends the process after the milliseconds of its query. Each line of
the record file is ``WHAT ID SECONDS``: what happened to the request with this id, and
when, on the system's monotonic clock. It is ``runs``, ``ends`` or ``crash``.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
import urllib.parse

from platform_standin import Received
from series_replica import SeriesReplica
from series_replica import serve_until_sigterm

HARMFUL = b"crash"
"""First bytes of the body of a request that crashes each replica that runs it."""


class CrashReplica(SeriesReplica):
    """Replica that ends without notice when it runs a harmful request."""

    async def _answer(self, received: Received, writer: asyncio.StreamWriter) -> None:
        request_id = received.request_id
        if not request_id:
            await super()._answer(received, writer)
            return
        self._record("runs", request_id)
        if received.body.startswith(HARMFUL):
            query = urllib.parse.parse_qs(received.target.partition("?")[2])
            await asyncio.sleep(int(query["ms"][0]) / 1e3)
            self._record("crash", request_id)
            os._exit(1)
        await super()._answer(received, writer)
        self._record("ends", request_id)

    def record_received(self, request_id: str) -> None:
        """Do nothing, as the record has lines of its own."""

    def _record(self, what: str, request_id: str) -> None:
        os.write(self.record, f"{what} {request_id} {time.monotonic():.3f}\n".encode())


if __name__ == "__main__":
    record_file = os.open(sys.argv[3], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    replica = CrashReplica(float(sys.argv[2]), record_file)
    asyncio.run(serve_until_sigterm(replica, int(sys.argv[1])))
