"""Callers that send calls continuously on persistent HTTP connections."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import time

from bergamotmast.history import Execution

PAUSE_SECONDS = 0.004

numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Call:
    """Result of one call.

    :param status: HTTP status; 0 if the connection was closed without a response.
    :param kept: whether the connection had carried an earlier call.
    :param outcome: outcome in the body of an error: ``not_run``, ``ran`` or
        ``unknown``.
    :param error: how the connection ended, with its port and the time since the call.
    """

    request_id: str
    status: int
    kept: bool
    outcome: str
    error: str = ""


class KeepAliveCallers:
    """Callers of one entry, each on a persistent connection of its own.

    A caller reconnects when its connection is closed, and ends when nothing listens.

    :param calls: results of all calls so far.
    """

    def __init__(self, url: str, path: str = "/services/orders") -> None:
        host, _, port = url.removeprefix("http://").rpartition(":")
        self.host = host
        self.port = int(port)
        self.path = path
        self.calls: list[Call] = []
        self.stopping = False

    @contextlib.asynccontextmanager
    async def sending(self, count):
        """Run ``count`` callers within an ``async with``."""
        tasks = [asyncio.create_task(self._caller()) for _ in range(count)]
        try:
            yield self
        finally:
            self.stopping = True
            await asyncio.wait_for(asyncio.gather(*tasks), 30)

    async def _caller(self) -> None:
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
            except OSError:
                return
            try:
                await self._on_connection(reader, writer)
            finally:
                writer.close()

    async def _on_connection(self, reader, writer) -> None:
        kept = False
        while not self.stopping:
            request_id = f"k{next(numbers)}"
            call, closes = await self._call(reader, writer, request_id, kept)
            self.calls.append(call)
            if closes:
                return
            kept = True
            await asyncio.sleep(PAUSE_SECONDS)

    async def _call(self, reader, writer, request_id, kept):
        head = (
            f"POST {self.path} HTTP/1.1\r\nHost: x\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: 3\r\n\r\n"
        )
        port = writer.get_extra_info("sockname")[1]
        sent_at = time.monotonic()
        try:
            writer.write(head.encode() + b"box")
            answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = answer.partition("content-length:")[2].partition("\r\n")[0]
            body = await reader.readexactly(int(length))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            seconds = time.monotonic() - sent_at
            end = f"{type(error).__name__}, port {port}, {seconds:.3f} s"
            return Call(request_id, 0, kept, "", end), True
        status = int(answer.split()[1])
        outcome = "" if status == 200 else json.loads(body)["error"]["outcome"]
        closes = "connection: close" in answer
        return Call(request_id, status, kept, outcome), closes

    @property
    def closed_unanswered(self) -> list[Call]:
        """Calls whose connection was closed without a response."""
        return [call for call in self.calls if not call.status]

    @property
    def statuses(self) -> dict[int, int]:
        return dict(collections.Counter(call.status for call in self.calls))

    @property
    def unanswered(self) -> dict[str, int]:
        """Number of responses by status and outcome, other than status 200."""
        ends = [f"{c.status} {c.outcome}" for c in self.calls if c.status != 200]
        return dict(collections.Counter(ends))

    def ran(self, records) -> list[Call]:
        """Calls without a 200 response that the service executed."""
        began = {r.request for r in records if isinstance(r, Execution)}
        return [c for c in self.calls if c.status != 200 and c.request_id in began]

    @property
    def outcomes(self) -> set[str]:
        return {call.outcome for call in self.calls}
