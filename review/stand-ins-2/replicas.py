"""Sound replicas: a plain service, and models that prefill, stream and take orders."""

from __future__ import annotations

import asyncio
import json
import time

import http1

SIGNATURE = "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"
BEAT_SECONDS = 1.2
SWITCH_SECONDS = 3.0


class Replica(http1.Server):
    """Registers itself in the store, and checks who is meant.

    :param arrived: when each request arrived that it has begun.
    """

    service = ""
    slots = 6

    def __init__(self, store, name: str, record, version: str = "v1") -> None:
        super().__init__()
        self.store, self.name, self.record = store, name, record
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.arrived: dict[str, float] = {}
        self.beating: asyncio.Task | None = None

    async def __aenter__(self):
        await super().__aenter__()
        self.beating = asyncio.ensure_future(self._beat())
        return self

    def stop(self) -> None:
        """End: send no more beats, close all channels."""
        if self.beating is not None:
            self.beating.cancel()
        super().stop()

    def entry(self) -> dict:
        """Return what it registers."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "maia-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self) -> None:
        self.store.put(f"servers/{self.name}", self.entry())

    async def _beat(self) -> None:
        while True:
            self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    async def answer(self, message, writer):
        expected = message.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return http1.response(421, b"", "X-Not-Executed: 1")
        name = message.headers.get("x-request-id", "")
        if message.words[1] == "/health":
            return http1.response(200, b"", f"X-Instance-Id: {self.name}")
        if not name and message.words[1] not in ("/report", "/order"):
            if message.words[0] != "DELETE":
                return http1.response(400, b"", "X-Not-Executed: 1")
        return await self.run(name, message, writer)

    def begin(self, name: str) -> None:
        self.record(f"{self.name} begins {name}")
        self.arrived[name] = time.monotonic()

    async def run(self, name: str, message, writer):
        raise NotImplementedError


class Counter(Replica):
    """A replica of a plain service."""

    service = "balcao"
    work_seconds = 0.045

    async def run(self, name, message, writer):
        self.begin(name)
        await asyncio.sleep(self.work_seconds)
        return http1.response(200, b"done", f"X-Request-Id: {name}", SIGNATURE)


class Engine(Replica):
    """A model replica.

    :param break_after: break off in the event after this one, in runs that begin with
        the first; 0 for never.
    """

    service = "leitor"
    slots = 64
    events = 3
    pause_seconds = 0.01
    first_seconds = 0.03

    def __init__(self, store, name, record, version="v1", stage="decode") -> None:
        super().__init__(store, name, record, version)
        self.stage, self.orders, self.busy = stage, 0, False
        self.handles: set[str] = set()
        self.break_after = 0

    def entry(self) -> dict:
        return super().entry() | {"stage": self.stage}

    async def run(self, name, message, writer):
        method, path, _ = message.words
        if path == "/report":
            report = {"sequence": self.orders, "busy": self.busy, "born": self.born}
            report |= {"stage": self.stage, "queued": 0, "running": 0}
            return http1.response(200, json.dumps(report).encode())
        if path == "/order":
            return self._order(json.loads(message.body))
        if method == "DELETE":
            self.handles.discard(path.rpartition("/")[2])
            return http1.response(200)
        if message.headers.get("x-stage") == "prefill":
            return await self._prefill(name)
        if self.stage != "decode":
            return http1.response(421, b"", "X-Not-Executed: 1")
        return await self.stream(name, message, writer)

    def _order(self, order: dict) -> bytes:
        if self.busy or order.get("precondition", self.orders) != self.orders:
            return http1.response(409)
        if order["stage"] == self.stage:
            return http1.response(200)
        self.record(f"{self.name} takes the order to {order['stage']}")
        self.orders, self.busy = self.orders + 1, True
        asyncio.get_running_loop().call_later(
            SWITCH_SECONDS, self._change, order["stage"]
        )
        return http1.response(202)

    def _change(self, stage: str) -> None:
        self.stage, self.busy = stage, False
        self.beat()

    async def _prefill(self, name: str) -> bytes:
        await asyncio.sleep(self.first_seconds)
        handle = f"{self.name}.{len(self.handles)}.{time.monotonic_ns():x}"
        self.handles.add(handle)
        body = {"transfer-handle": handle, "tokens": 828, "version": 1}
        return http1.response(
            200, json.dumps(body).encode(), f"X-Request-Id: {name}", SIGNATURE
        )

    async def stream(self, name, message, writer):
        first = int(message.headers.get("last-event-id", "0")) + 1
        self.begin(name)
        lines = [f"X-Request-Id: {name}", SIGNATURE, "X-Weight-Versions: 1"]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(["HTTP/1.1 200 Word", *lines]) + "\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            seconds = self.first_seconds if number == first else self.pause_seconds
            await asyncio.sleep(seconds)
            data = f"id: {number}\ndata: {self.version}\n\n".encode()
            if self.break_after and first == 1 and number == self.break_after + 1:
                # It stops in the middle of an event.
                writer.write(http1.chunk(data[:6]))
                await writer.drain()
                return None
            writer.write(http1.chunk(data))
            await writer.drain()
        return http1.chunk(b"")
