"""Stand-ins for replicas: a plain service and model replicas, as PROTOCOL.md tells.

They check ``X-Expect-Instance``, echo the request's id, sign what they ran, register
in the store and write their entry about every heartbeat.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import time

from http11 import Request
from http11 import Server
from http11 import reset
from http11 import response
from store import Store

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_SECONDS = 1.2


@dataclasses.dataclass
class Run:
    """A request that a replica has run."""

    at: float
    replica: str
    method: str
    target: str
    headers: dict[str, str]


class Replica(Server):
    """A replica of a plain service.

    :param work_seconds: how long a request takes.
    :param extra: further headers of each answer.
    """

    version = "v1"

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        *,
        slots: int = 6,
        stage: str = "",
        work_seconds: float = 0.01,
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.store = store
        self.slots = slots
        self.stage = stage
        self.work_seconds = work_seconds
        self.extra: dict[str, str] = {}
        self.runs: list[Run] = []
        self.sequence = 0
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.beats: asyncio.Task | None = None
        self.born = int(time.time() * 1e3)

    async def start(self) -> None:
        """Listen and register."""
        await self.listen()
        self.beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        if self.beats is not None:
            self.beats.cancel()
        await self.close()

    async def crash(self, seconds: float) -> None:
        """Crash, and start again under the same id, with a new ``born``."""
        host, _, port = self.address.rpartition(":")
        if self.beats is not None:
            self.beats.cancel()
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        await asyncio.sleep(seconds)
        self.born = int(time.time() * 1e3)
        self.orders = self.fence = 0
        self.busy = False
        await self.listen(host, int(port))
        self.beats = asyncio.create_task(self._beat())

    def register(self) -> None:
        """Write the replica's entry."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "born": self.born,
            "sequence": self.sequence,
        }
        if self.stage:
            models = [{"name": "m", "version": 1, "adapters": []}]
            entry |= {"stage": self.stage, "models": models}
        self.store.put(f"servers/{self.name}", entry)

    async def _beat(self) -> None:
        while True:
            if not self.store.away:
                self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def refuse(self, request: Request, status: int) -> None:
        request.writer.write(
            response(status, X_Not_Executed="1", X_Instance_Id=self.name)
        )

    async def answer(self, request: Request) -> None:
        expected = request.headers.get("x-expect-instance", "")
        if expected not in ("", self.name):
            self.refuse(request, 421)
        elif request.path == "/health":
            request.writer.write(response(200, X_Instance_Id=self.name))
        elif request.path == "/report":
            self._report(request)
        elif request.path == "/order":
            self.order(request)
        elif request.method == "DELETE" and request.path.startswith("/kv-handle/"):
            request.writer.write(response(200))
        elif "x-request-id" not in request.headers:
            self.refuse(request, 400)
        else:
            await self.run(request)

    def order(self, request: Request) -> None:
        """Refuse an order; a plain service knows none."""
        request.writer.write(response(400))

    def _report(self, request: Request) -> None:
        report = {
            "stage": self.stage,
            "busy": self.busy,
            "sequence": self.orders,
            "queued": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 480_000,
            "handles": 0,
            "born": self.born,
        }
        request.writer.write(response(200, json.dumps(report).encode()))

    def note(self, request: Request) -> None:
        """Record that a request has begun to run."""
        run = Run(
            time.monotonic(), self.name, request.method, request.target, request.headers
        )
        self.runs.append(run)

    async def run(self, request: Request) -> None:
        self.note(request)
        await asyncio.sleep(self.work_seconds)
        request.writer.write(
            response(
                200,
                b"fine",
                X_Request_Id=request.headers["x-request-id"],
                X_Response_Signature=SIGNATURE,
                **self.extra,
            )
        )


class Engine(Replica):
    """A model replica that prefills at once and streams some events.

    :param events: number of events of each stream.
    :param pause_seconds: time before each event but the first.
    """

    handles = itertools.count(1)
    events = 2
    pause_seconds = 0.0

    def order(self, request: Request) -> None:
        """Carry out an order that changes the stage."""
        body = json.loads(request.body)
        if body.get("operation") != "stage" or "holder" not in body:
            status = 400
        elif body["fencing-token"] < self.fence:
            status = 412
        elif self.busy or body.get("precondition", self.orders) != self.orders:
            status = 409
        elif body["stage"] == self.stage:
            status = 200
        else:
            status = 202
            self.orders += 1
            self.busy = True
            asyncio.get_running_loop().call_later(3.0, self._change, body["stage"])
        if status in (200, 202):
            self.fence = body["fencing-token"]
        request.writer.write(response(status))

    def _change(self, stage: str) -> None:
        self.stage, self.busy = stage, False
        self.register()

    async def run(self, request: Request) -> None:
        request_id = request.headers["x-request-id"]
        if self.busy:
            self.refuse(request, 503)
            return
        if request.headers.get("x-stage") == "prefill":
            if self.stage != "prefill":
                self.refuse(request, 421)
                return
            tokens = int(request.headers.get("x-token-count", "0").split(",")[0])
            body = {"transfer-handle": f"{next(self.handles):012x}"}
            body |= {"tokens": tokens, "version": 1}
            request.writer.write(
                response(200, json.dumps(body).encode(), X_Request_Id=request_id)
            )
            return
        if self.stage != "decode":
            self.refuse(request, 421)
            return
        self.note(request)
        await asyncio.sleep(self.work_seconds)
        lines = [
            "HTTP/1.1 200 Word",
            f"X-Request-Id: {request_id}",
            f"X-Response-Signature: {SIGNATURE}",
            "X-Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        request.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            if number > first and self.pause_seconds:
                await asyncio.sleep(self.pause_seconds)
            if request.writer.is_closing():
                return
            event = f"id: {number}\ndata: word-{number}\n\n".encode()
            request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            with contextlib.suppress(ConnectionError):
                await request.writer.drain()
        request.writer.write(b"0\r\n\r\n")
