"""A replica as a process, which records the requests that it receives.

Run as ``python series_replica.py PORT IDLE_SECONDS RECORD_FILE``. The query of a
request selects its answer: ``?ms=40`` an answer after 40 ms, ``?ms=40&events=9`` nine
events with 40 ms before each.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import urllib.parse

from platform_standin import Received
from platform_standin import chunk
from platform_standin import event
from platform_standin import head
from platform_standin import read_request

STREAM_HEADERS = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")


class SeriesReplica:
    """Replica with a graceful shutdown, which closes idle connections.

    :param idle_seconds: time after which an idle connection is closed.
    :param record: descriptor of the file that request ids are appended to.
    :param busy: connections with a request in progress.
    """

    def __init__(self, idle_seconds: float, record: int) -> None:
        self.idle_seconds = idle_seconds
        self.record = record
        self.open: set[asyncio.StreamWriter] = set()
        self.busy: set[asyncio.StreamWriter] = set()
        self.shutting_down = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open.add(writer)
        lost = (ConnectionError, asyncio.IncompleteReadError, TimeoutError)
        with contextlib.suppress(*lost):
            while not self.shutting_down.is_set():
                received = await asyncio.wait_for(
                    read_request(reader), self.idle_seconds
                )
                if received is None:
                    break
                self.busy.add(writer)
                await self._answer(received, writer)
                self.busy.discard(writer)
        self.busy.discard(writer)
        self.open.discard(writer)
        writer.close()

    def describe(self, received: Received) -> str:
        """Return what is recorded of a request, without white space."""
        return received.request_id

    async def wait_for_event(
        self, received: Received, number: int, seconds: float
    ) -> None:
        """Wait until an event of a stream is due."""
        await asyncio.sleep(seconds)

    def event(self, number: int) -> bytes:
        """Return an event of a stream."""
        return event(number)

    def record_received(self, description: str) -> None:
        """Append a line to the record file."""
        os.write(self.record, f"{description}\n".encode())

    async def _answer(self, received: Received, writer: asyncio.StreamWriter) -> None:
        request_id = received.request_id
        if not request_id:
            writer.write(b"HTTP/1.1 404 Word\r\nContent-Length: 0\r\n\r\n")
            return
        self.record_received(self.describe(received))
        query = urllib.parse.parse_qs(received.target.partition("?")[2])
        pause = int(query["ms"][0]) / 1e3
        if "events" not in query:
            await asyncio.sleep(pause)
            body = f"fine {request_id}".encode()
            length = f"Content-Length: {len(body)}"
            writer.write(head(200, request_id, length) + body)
            return
        first = int(received.headers.get("last-event-id", "0")) + 1
        writer.write(head(200, request_id, "X-Weight-Versions: 1", *STREAM_HEADERS))
        for number in range(first, int(query["events"][0]) + 1):
            await self.wait_for_event(received, number, pause)
            writer.write(chunk(self.event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def serve_until_sigterm(replica: SeriesReplica, port: int) -> None:
    """Serve until SIGTERM, then until the last request is answered."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, replica.shutting_down.set)
    server = await asyncio.start_server(replica.serve, "127.0.0.1", port, backlog=512)
    await replica.shutting_down.wait()
    server.close()
    for writer in replica.open - replica.busy:
        writer.close()
    while replica.busy:
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    record_file = os.open(sys.argv[3], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    replica = SeriesReplica(float(sys.argv[2]), record_file)
    asyncio.run(serve_until_sigterm(replica, int(sys.argv[1])))
