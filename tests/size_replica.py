"""An engine as a process: prefills one prompt at a time, in order of priority.

Run as ``python size_replica.py PORT IDLE_SECONDS RECORD_FILE STAGE``, with the same
first arguments as ``series_replica.py``.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys

from platform_standin import Received
from platform_standin import Replica
from platform_standin import chunk
from platform_standin import event
from platform_standin import head
from prompt_load import SimulatedEngine

STREAM_HEADERS = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")


class SizeReplica(Replica):
    """Serves one :class:`SimulatedEngine`, in real time."""

    def __init__(self, stage: str) -> None:
        super().__init__("i", self.answer)
        self.engine = SimulatedEngine("i", stage, 1)

    async def answer(
        self, replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        request_id = received.request_id
        if received.method == "DELETE" or not request_id:
            writer.write(head(200, request_id, "Content-Length: 0"))
            return
        if "x-kv-source" not in received.headers:
            tokens = int(received.headers["x-token-count"].partition(",")[0])
            priority = int(received.headers["x-request-priority"])
            await self.engine.read(tokens, priority)
        if received.headers.get("x-stage") == "prefill":
            body = json.dumps({"transfer-handle": request_id, "version": 1}).encode()
            length = f"Content-Length: {len(body)}"
            writer.write(head(200, request_id, length) + body)
            return
        first = head(200, request_id, "X-Weight-Versions: 1", *STREAM_HEADERS)
        writer.write(first + chunk(event(1)) + b"0\r\n\r\n")


async def run(port: int, stage: str) -> None:
    """Serve until SIGTERM."""
    sigterm = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, sigterm.set)
    await SizeReplica(stage).listen(port)
    await sigterm.wait()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), sys.argv[4]))
