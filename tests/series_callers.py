"""Callers of a series of stops.

Some send continuously, others just as an entry stops accepting requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time

from direct_support import Answer
from direct_support import read_answer
from direct_support import request
from series_checks import EntryIncarnation
from series_checks import SentRequest
from series_fleet import SeriesFleet
from series_plan import ADMISSION_SECONDS
from series_plan import Stop

ANSWER_TIMEOUT_SECONDS = 15.0
"""How long a caller waits for an answer; no answer of a series takes as long."""

ENDLESS_TARGET = "/talk/x?ms=200&events=60"


@dataclasses.dataclass
class Connection:
    """A caller's connection to one incarnation of an entry."""

    incarnation: EntryIncarnation
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class SeriesCallers:
    """Sends requests and records their results.

    :param sent: all requests so far.
    :param refused: when an attempt to connect found no entry that listens.
    :param accepted: when a connection was accepted.
    """

    def __init__(self, fleet: SeriesFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.sent: list[SentRequest] = []
        self.refused: list[float] = []
        self.accepted: list[float] = []
        self.stopping = asyncio.Event()

    async def send_continuously(self) -> None:
        """Send requests to any entry, on each connection until it is closed."""
        pause = self.rng.choice((0.001, 0.01, 0.2))
        while not self.stopping.is_set():
            connection = await self._connect_anywhere()
            if connection is None:
                await asyncio.sleep(0.02)
                continue
            while await self._ask(connection, self._target()):
                await asyncio.sleep(self.rng.uniform(0.0, 2 * pause))
                if self.stopping.is_set():
                    break
            connection.writer.close()

    async def open_endless_stream(self, stop: Stop) -> None:
        """Open a stream that is longer than the entry's shutdown."""
        await self._on_new_connection(stop, ENDLESS_TARGET)

    async def send_at_admission_end(self, stop: Stop, sigterm_delay: float) -> None:
        """Send on an idle connection around the moment when admission ends.

        :param sigterm_delay: seconds from now until the entry receives SIGTERM.
        """
        incarnation = self.fleet.current[stop.entry]
        connection = await self._connect(incarnation)
        if connection is None:
            return
        if await self._ask(connection, "/read/x?ms=1"):
            around = stop.stall_seconds if stop.stall_at else 0.05
            after = ADMISSION_SECONDS + self.rng.uniform(-0.05, around)
            await asyncio.sleep(sigterm_delay + after)
            await self._ask(connection, self._target())
        connection.writer.close()

    async def connect_at_admission_end(self, stop: Stop) -> None:
        """Open a connection around the moment when admission ends, and send on it."""
        await asyncio.sleep(ADMISSION_SECONDS + self.rng.uniform(-0.1, 0.3))
        await self._on_new_connection(stop, self._target())

    async def send_until_exit(self, stop: Stop) -> None:
        """Connect and send, with pauses, until the process has exited."""
        incarnation = self.fleet.current[stop.entry]
        while incarnation.process.returncode is None:
            connection = await self._connect(incarnation)
            if connection is None:
                await asyncio.sleep(0.005)
                continue
            await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.02, 0.2)))
            while await self._ask(connection, self._target()):
                await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            connection.writer.close()

    def longest_refusal(self) -> float:
        """Return the longest time from a refusal to the next accepted connection."""
        waits = [0.0]
        for at in self.refused:
            waits.append(min((t for t in self.accepted if t > at), default=at) - at)
        return max(waits)

    async def _on_new_connection(self, stop: Stop, target: str) -> None:
        connection = await self._connect(self.fleet.current[stop.entry])
        if connection is not None:
            await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.02, 0.5)))
            await self._ask(connection, target)
            connection.writer.close()

    async def _connect_anywhere(self) -> Connection | None:
        incarnations = list(self.fleet.current.values())
        self.rng.shuffle(incarnations)
        for incarnation in incarnations:
            connection = await self._connect(incarnation)
            if connection is not None:
                return connection
        self.refused.append(time.monotonic())
        return None

    async def _connect(self, incarnation: EntryIncarnation) -> Connection | None:
        port = self.fleet.entry_ports[incarnation.entry]
        try:
            streams = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            return None
        self.accepted.append(time.monotonic())
        return Connection(self.fleet.current[incarnation.entry], *streams)

    def _target(self) -> str:
        kind = self.rng.choice(("/order/", "/read/", "/talk/", "/long/"))
        if kind in ("/order/", "/read/"):
            return f"{kind}x?ms={self.rng.choice((1, 20, 300, 900))}"
        events, pause = self.rng.choice(((3, 5), (5, 20), (15, 150)))
        return f"{kind}x?ms={pause}&events={events}"

    async def _ask(self, connection: Connection, target: str) -> bool:
        """Send one request; return whether the connection can carry another one."""
        sent = SentRequest(f"q-{len(self.sent)}", target, connection.incarnation)
        return await self._send(connection, sent, X_Deadline_Ms="14000")

    async def _send(
        self, connection: Connection, sent: SentRequest, **headers: str
    ) -> bool:
        """Send a request with headers; return whether the connection remains."""
        self.sent.append(sent)
        data = request(sent.target, request_id=sent.request_id, **headers)
        got = None
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            got = await self._exchange(connection, data)
        sent.ended_at = time.monotonic()
        if got is None:
            return False
        sent.status, sent.complete, sent.body = got.status, got.complete, got.body
        return got.complete and got.headers.get("connection") != "close"

    async def _exchange(self, connection: Connection, data: bytes) -> Answer:
        cut = self.rng.randrange(len(data)) if self.rng.random() < 0.3 else 0
        if cut:
            connection.writer.write(data[:cut])
            await asyncio.sleep(self.rng.uniform(0.0, 0.06))
        connection.writer.write(data[cut:])
        return await asyncio.wait_for(
            read_answer(connection.reader), ANSWER_TIMEOUT_SECONDS
        )
