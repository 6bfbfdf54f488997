"""A replica as a process that names limits, leaves, and asks for rest.

Run as ``python feedback_replica.py PORT IDLE_SECONDS RECORD_FILE PHASES``. The phases
are a JSON list of ``[KIND, BEGIN, END, VALUE]``; times are on the system's monotonic
clock. The kind is ``limit`` (the value is the header's), ``leaving``, or ``rest``
(requests are turned away, the value is the header's).

Each line of the record file is ``WHAT REPLICA ID SECONDS VALUE``: ``arrives``, ``runs``
for a request that is answered and not only prefilled, or what the reply told.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
import typing as t

from limit_support import HeaderWriter
from platform_standin import Received
from series_replica import SeriesReplica
from series_replica import serve_until_sigterm


class FeedbackReplica(SeriesReplica):
    """Replica that tells how it is in its replies.

    :param port: its port, by which the record names it.
    :param phases: kind, begin, end and value of each phase.
    """

    def __init__(
        self, port: int, idle_seconds: float, record: int, phases: list[list[t.Any]]
    ) -> None:
        super().__init__(idle_seconds, record)
        self.port = port
        self.phases = phases

    async def _answer(self, received: Received, writer: asyncio.StreamWriter) -> None:
        if not received.request_id:
            await super()._answer(received, writer)
            return
        self._note("arrives", received)
        told = self._told()
        lines = []
        if "limit" in told:
            lines.append(f"Server-Limit: {told['limit']}")
        if "leaving" in told:
            lines.append("Server-Leaving: 1")
        line = "\r\n".join(lines)
        named: t.Any = HeaderWriter(writer, line) if lines else writer
        if "rest" in told:
            refusal = "HTTP/1.1 503 Word\r\nX-Not-Executed: 1\r\n"
            rest = f"Retry-After: {told['rest']}\r\nContent-Length: 0\r\n\r\n"
            named.write((refusal + rest).encode())
        elif received.headers.get("x-stage") == "prefill":
            await asyncio.sleep(0.02)
            body = b'{"transfer-handle":"h1","tokens":9,"version":1}'
            text = f"HTTP/1.1 200 Word\r\nContent-Length: {len(body)}\r\n\r\n"
            named.write(text.encode() + body)
        else:
            self._note("runs", received)
            await super()._answer(received, named)
        for kind, value in told.items():
            self._note(kind, received, value)

    def record_received(self, description: str) -> None:
        """Do nothing, as the record has lines of its own."""

    def _told(self) -> dict[str, str]:
        now = time.monotonic()
        return {
            kind: value for kind, begin, end, value in self.phases if begin <= now < end
        }

    def _note(self, what: str, received: Received, value: str = "-") -> None:
        line = (
            f"{what} {self.port} {received.request_id} {time.monotonic():.4f} {value}\n"
        )
        os.write(self.record, line.encode())


if __name__ == "__main__":
    record_file = os.open(sys.argv[3], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    port = int(sys.argv[1])
    replica = FeedbackReplica(
        port, float(sys.argv[2]), record_file, json.loads(sys.argv[4])
    )
    asyncio.run(serve_until_sigterm(replica, port))
