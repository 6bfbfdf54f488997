"""Stand-ins for the platform: a store and replicas on real sockets, with faults."""

from __future__ import annotations

import asyncio
import base64
import collections.abc as cabc
import contextlib
import dataclasses
import json
import socket
import struct
import typing as t

from aiohttp import web

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


@dataclasses.dataclass
class Received:
    """A request as a replica received it."""

    method: str
    target: str
    headers: dict[str, str]
    raw_headers: list[tuple[str, str]]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


Script: t.TypeAlias = cabc.Callable[
    ["Replica", Received, asyncio.StreamWriter], cabc.Awaitable[None]
]


class Replica:
    """A replica whose script writes its answers byte for byte.

    :param received: all requests that were read completely.
    :param closed: ids of requests whose connection the peer closed.
    :param writers: writers of the open connections.
    """

    def __init__(self, name: str, script: Script, **entry: t.Any) -> None:
        self.name = name
        self.script = script
        self.entry = entry
        self.received: list[Received] = []
        self.closed: list[str] = []
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> Replica:
        return await self.listen(0)

    async def listen(self, port: int) -> Replica:
        """Serve on a port; 0 for any free one."""
        self.server = await asyncio.start_server(
            self._connected, "127.0.0.1", port, backlog=512
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            # A writer that outlasts its event loop can't be closed any more.
            self.writers.discard(writer)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                received = await read_request(reader)
                if received is None:
                    break
                self.received.append(received)
                answer = asyncio.create_task(
                    t.cast(t.Any, self.script(self, received, writer))
                )
                disconnected = asyncio.create_task(self._watch_close(reader))
                done, _ = await asyncio.wait(
                    {answer, disconnected}, return_when=asyncio.FIRST_COMPLETED
                )
                if answer not in done:
                    self.closed.append(received.request_id)
                    answer.cancel()
                    break
                disconnected.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await disconnected
                if writer.is_closing():
                    break

    async def _watch_close(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.005)


class HeaderOnlyReplica(Replica):
    """A replica that rejects each request by its headers and never reads a body."""

    def __init__(self, name: str, body: bytes) -> None:
        super().__init__(name, answer(400, body))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received = await read_head(reader)
        while received is not None:
            self.received.append(received)
            await t.cast(t.Any, self.script(self, received, writer))
            if received.headers.get("content-length", "0") != "0":
                await asyncio.sleep(10)
            received = await read_head(reader)


async def read_head(reader: asyncio.StreamReader) -> Received | None:
    """Read a request's line and headers; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    raw = [
        (name, value.strip())
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    ]
    headers = {name.lower(): value for name, value in raw}
    return Received(method, target, headers, raw, b"")


async def read_request(reader: asyncio.StreamReader) -> Received | None:
    """Read one request with a known length; ``None`` at the end of the connection."""
    received = await read_head(reader)
    if received is not None:
        length = int(received.headers.get("content-length", "0"))
        received.body = await reader.readexactly(length)
    return received


def head(status: int, request_id: str, *lines: str) -> bytes:
    """Return the status line and headers of a signed answer."""
    text = "\r\n".join(
        (
            f"HTTP/1.1 {status} Word",
            f"X-Request-Id: {request_id}",
            f"X-Response-Signature: {SIGNATURE}",
            *lines,
        )
    )
    return text.encode() + b"\r\n\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; closing it would end it gracefully."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def answer(status: int = 200, body: bytes = b"fine", *lines: str) -> Script:
    """Return the script of a replica that sends one complete answer."""

    async def script(
        replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        length = f"Content-Length: {len(body)}"
        writer.write(head(status, received.request_id, length, *lines) + body)
        await writer.drain()

    return script


def not_run(status: int = 503) -> Script:
    """Return the script of a replica that rejects requests as not executed."""

    async def script(
        replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            f"HTTP/1.1 {status} Word\r\nX-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        await writer.drain()

    return script


def hang() -> Script:
    """Return the script of a replica that reads requests and never answers."""

    async def script(
        replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(60)

    return script


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int, text: str = "word") -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {text}-{number}\n\n".encode()


@dataclasses.dataclass(frozen=True)
class Backup:
    """A snapshot of the store."""

    items: dict[str, dict[str, t.Any]]
    log: list[dict[str, t.Any]]
    revision: int
    leases: dict[int, float]
    leases_granted: int


@dataclasses.dataclass
class EngineScript:
    """Script of an engine that prefills prompts and streams events.

    :param last: number of the last event of each stream.
    :param break_after: reset the connection within the event after this one; 0 never.
    :param pause: seconds before each event.
    :param prefill_seconds: duration of a prefill.
    :param handles: transfer handles of all prefills.
    :param freed: transfer handles that were released.
    """

    last: int = 4
    break_after: int = 0
    pause: float = 0.0
    prefill_seconds: float = 0.0
    handles: list[str] = dataclasses.field(default_factory=list)
    freed: list[str] = dataclasses.field(default_factory=list)

    async def __call__(
        self, replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        if received.method == "DELETE":
            self.freed.append(received.target.rpartition("/")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif received.headers.get("x-stage") == "prefill":
            await self._prefill(received, writer)
        else:
            await self._stream(received, writer)
        await writer.drain()

    async def _prefill(self, received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.prefill_seconds)
        handle = f"h{len(self.handles)}"
        self.handles.append(handle)
        body = json.dumps({"transfer-handle": handle, "tokens": 9, "version": 1})
        length = f"Content-Length: {len(body)}"
        writer.write(head(200, received.request_id, length) + body.encode())

    async def _stream(self, received: Received, writer: asyncio.StreamWriter) -> None:
        first = int(received.headers.get("last-event-id", "0")) + 1
        writer.write(
            head(
                200,
                received.request_id,
                "Content-Type: text/event-stream",
                "X-Weight-Versions: 1",
                "Transfer-Encoding: chunked",
            )
        )
        for number in range(first, self.last + 1):
            await asyncio.sleep(self.pause)
            if self.break_after and number > self.break_after:
                writer.write(chunk(event(number)[:7]))
                await writer.drain()
                reset(writer)
                return
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Store:
    """The platform's store, in memory.

    :param outage: status returned to all calls while it is not 0.
    :param compacted: revision below which watches return status 410.
    :param silent: whether watches neither return changes nor end.
    :param lose_replies: how many of the next writes take effect but get no reply.
    :param era: number of restores, sent in all answers; ``None`` to omit the header.
    :param next_read_era: era sent once instead, with the next answer to a read.
    :param silent_connections: connections on which requests are no longer answered.
    :param page_size: maximum number of items in one range response.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, t.Any]] = {}
        self.log: list[dict[str, t.Any]] = []
        self.revision = 10
        self.leases: dict[int, float] = {}
        self.leases_granted = 0
        self.era: int | None = 0
        self.next_read_era: int | None = None
        self.outage = 0
        self.compacted = 0
        self.silent = False
        self.lose_replies = 0
        self.connections: set[asyncio.BaseTransport] = set()
        self.silent_connections: set[asyncio.BaseTransport] = set()
        self.page_size = 2
        self.calls: list[str] = []
        self.changed = asyncio.Event()
        self.address = ""
        self.runner: web.AppRunner | None = None

    async def __aenter__(self) -> Store:
        application = web.Application(middlewares=[self._faults])
        router = application.router
        router.add_get("/kv-key", self._key)
        router.add_get("/kv-range", self._range)
        router.add_get("/kv-watch", self._watch)
        router.add_post("/kv-txn", self._txn)
        router.add_post("/kv-lease", self._lease)
        router.add_post("/kv-keep/{lease}", self._keep)
        router.add_delete("/kv-lease-end/{lease}", self._end)
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self.runner is not None
        await self.runner.cleanup()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key, as an operator or a replica does."""
        self.revision += 1
        self._put(key, value, lease)

    def put_encoded(self, key: str, value: str) -> None:
        """Write a key whose value is already encoded as base64."""
        self.put(key, base64.b64decode(value))

    def _put(self, key: str, value: object, lease: int) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create-revision": self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)

    def _remove(self, key: str) -> None:
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "tombstone": True})

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def _note(self, entry: dict[str, t.Any]) -> None:
        self.log.append(entry)
        self.changed.set()
        self.changed = asyncio.Event()

    def backup(self) -> Backup:
        """Return a snapshot of the store."""
        return Backup(
            dict(self.items),
            list(self.log),
            self.revision,
            dict(self.leases),
            self.leases_granted,
        )

    def restore(self, backup: Backup) -> None:
        """Restore a snapshot, so that revisions and leases are reissued."""
        self.items = dict(backup.items)
        self.log = list(backup.log)
        self.revision = backup.revision
        self.leases = dict(backup.leases)
        self.leases_granted = backup.leases_granted
        assert self.era is not None
        self.era += 1

    def silence_connections(self) -> None:
        """Stop answering on all connections that have carried a request so far."""
        self.silent_connections |= self.connections

    @web.middleware
    async def _faults(self, request: web.Request, handler: t.Any) -> web.StreamResponse:
        assert request.transport is not None
        self.connections.add(request.transport)
        response = await self._answer(request, handler)
        era = self.era
        if request.method == "GET" and self.next_read_era is not None:
            era, self.next_read_era = self.next_read_era, None
        if era is not None:
            response.headers["Store-Era"] = str(era)
        while request.transport in self.silent_connections:
            await asyncio.sleep(0.05)
        return response

    async def _answer(self, request: web.Request, handler: t.Any) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        if self.outage:
            return web.Response(status=self.outage)
        response = await handler(request)
        if request.method == "POST" and self.lose_replies:
            self.lose_replies -= 1
            assert request.transport is not None
            request.transport.abort()
        return t.cast(web.StreamResponse, response)

    def _json(self, value: dict[str, t.Any], status: int = 200) -> web.Response:
        return web.json_response(value, status=status)

    async def _key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return self._json(item | {"store-revision": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[: self.page_size]
        return self._json(
            {
                "items": [self.items[key] for key in page],
                "has-more": len(keys) > len(page),
                "store-revision": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        prefix = request.query["prefix"]
        wait = min(int(request.query["wait-ms"]) / 1e3, 0.2)
        if after < self.compacted or after > self.revision:
            return web.Response(status=410)
        while self.silent:
            await asyncio.sleep(0.05)
        end = asyncio.get_running_loop().time() + wait
        while True:
            events = [
                entry
                for entry in self.log
                if entry["revision"] > after and entry["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return self._json({"events": events, "store-revision": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return self._json({"items": []}, 412)
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return web.Response(status=404)
        # All writes of one transaction share one revision.
        self.revision += 1
        for put in body["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self._remove(key)
        return self._json({"revision": self.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.leases_granted += 1
        lease = 1000 + self.leases_granted
        self.leases[lease] = body["ttl-ms"]
        return self._json({"lease": lease, "ttl-ms": body["ttl-ms"]})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        return self._json({"ttl-ms": self.leases[lease]})

    async def _end(self, request: web.Request) -> web.Response:
        self.end_lease(int(request.match_info["lease"]))
        return self._json({})
