"""Stand-ins for the platform's store, replicas and consumers, and the entries' processes.

The stand-ins follow PROTOCOL.md. Entries run as processes of their own, with the command
and the variables of deploy/system.toml; the stand-ins live in the process of the script.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "host.example"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_SECONDS = 1.2
CONTRACTS = "base,drain,config,cost,retry,recover,split,stream,engine,platform"


def now() -> float:
    return time.monotonic()


_given: set[int] = set()


def free_port() -> int:
    """Return a free port of the loopback address, below the ephemeral ports."""
    while True:
        port = random.randrange(12_000, 30_000)
        if port in _given:
            continue
        _given.add(port)
        with contextlib.suppress(OSError):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = now()

    def __call__(self, text: str) -> None:
        line = f"{now() - self.began:8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self) -> None:
        self.file.close()


class Store:
    """The platform's store. Each entry has an address of its own at it.

    :param down: addresses (by index) whose calls get 503.
    :param late_write: address whose next transaction gets no answer and is carried out
        ``late_seconds`` later; ``None`` for none.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.revision = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.granted = 0
        self.down: set[int] = set()
        self.late_write: int | None = None
        self.late_seconds = 4.0
        self.late: set[asyncio.Task] = set()
        self.writes: list[float] = []
        self.record = lambda text: None
        self.changed = asyncio.Event()
        self.runners: list[web.AppRunner] = []
        self.addresses: list[str] = []
        self.era = 0

    async def start(self, count: int) -> None:
        for index in range(count):
            app = web.Application(middlewares=[self._middleware(index)])
            app.router.add_get("/kv-key", self._key)
            app.router.add_get("/kv-range", self._range)
            app.router.add_get("/kv-watch", self._watch)
            app.router.add_post("/kv-txn", self._txn)
            app.router.add_post("/kv-lease", self._lease)
            app.router.add_post("/kv-keep/{lease}", self._keep)
            app.router.add_delete("/kv-lease-end/{lease}", self._end)
            runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", free_port()).start()
            self.runners.append(runner)
            host, port = runner.addresses[0][:2]
            self.addresses.append(f"{host}:{port}")
        self.expiry = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        self.expiry.cancel()
        for task in self.late:
            task.cancel()
        for runner in self.runners:
            await runner.cleanup()

    def set_down(self, *indexes: int) -> None:
        """Answer 503 to all calls, also waiting ones, at these addresses."""
        self.down = set(indexes)
        self._wake()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        self.revision += 1
        self._put(key, value, lease)

    def _put(self, key: str, value: object, lease: int) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create-revision": known["create-revision"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.log.append(item)
        self._wake()

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.log.append({"key": key, "revision": self.revision, "tombstone": True})
            self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, ends_at) in list(self.leases.items()):
                if now() >= ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def _middleware(self, index: int):
        @web.middleware
        async def middleware(request, handler):
            if request.method != "GET":
                self.writes.append(now())
            if index in self.down:
                response = web.Response(status=503)
            elif index == self.late_write and request.path == "/kv-txn":
                self.late_write = None
                body = await request.json()
                self.late.add(asyncio.create_task(self._carry_out_late(body)))
                # No answer: the channel stays open and silent.
                await asyncio.sleep(3600)
                return web.Response(status=503)
            else:
                response = await handler(request)
                if index in self.down and request.path == "/kv-watch":
                    response = web.Response(status=503)
            response.headers["Store-Era"] = str(self.era)
            return response

        return middleware

    async def _key(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response(item | {"store-revision": self.revision})

    async def _range(self, request):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return web.json_response(
            {
                "items": [self.items[key] for key in keys[:500]],
                "has-more": len(keys) > 500,
                "store-revision": self.revision,
            }
        )

    async def _watch(self, request):
        after, prefix = int(request.query["after"]), request.query["prefix"]
        end = now() + min(int(request.query["wait-ms"]), 30_000) / 1e3
        if after > self.revision:
            return web.Response(status=410)
        while True:
            changed = self.changed
            events = [
                e
                for e in self.log
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - now()
            if events or left <= 0 or self.down:
                return web.json_response(
                    {"events": events, "store-revision": self.revision}
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    async def _carry_out_late(self, body: dict) -> None:
        keys = [put["key"] for put in body["puts"]]
        self.record(f"store: the write of {keys} gets no answer")
        await asyncio.sleep(self.late_seconds)
        answer = self._carry_out(body)
        self.record(f"store: that write is carried out late: {answer.status}")

    async def _txn(self, request):
        return self._carry_out(await request.json())

    def _carry_out(self, body: dict) -> web.Response:
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [r["key"] for r in body["precondition"]]
                current = [self.items[k] for k in rows if k in self.items]
                return web.json_response({"items": current}, status=412)
        for put in body["puts"]:
            if put.get("lease") and put["lease"] not in self.leases:
                return web.Response(status=404)
            if put["key"].startswith(("op/", "servers/")):
                return web.Response(status=403)
        self.revision += 1
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self._put(put["key"], value, put.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return web.json_response({"revision": self.revision})

    async def _lease(self, request):
        body = await request.json()
        self.granted += 1
        lease, ttl = 1000 + self.granted, max(1000, body["ttl-ms"]) / 1e3
        self.leases[lease] = ttl, now() + ttl
        return web.json_response({"lease": lease, "ttl-ms": int(ttl * 1e3)})

    async def _keep(self, request):
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        ttl, _ = self.leases[lease]
        self.leases[lease] = ttl, now() + ttl
        return web.json_response({"lease": lease, "ttl-ms": int(ttl * 1e3)})

    async def _end(self, request):
        self._end_lease(int(request.match_info["lease"]))
        return web.json_response({})


def route(prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 8000,
        "target-latency-ms": 800,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
    } | more


def configuration(routes: list[dict], version: int = 1, **more: object) -> dict:
    """Return a configuration."""
    engine = {"slots": 64, "kv-capacity-tokens": 477_670, "handle-ttl-s": 5.0}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 5_000,
            "idle-timeout-ms": 15_000,
        },
    } | more


class Received:
    """A request as a replica received it."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes) -> None:
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Received | None:
    """Read a request; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    return Received(method, target, headers, await reader.readexactly(length))


class Replica:
    """A replica of a service, which can crash and start again under its id.

    :param id: its id in the store.
    :param run: answers one request: ``await run(replica, received, writer)``.
    """

    def __init__(self, store, record, id, service, run, **entry) -> None:
        self.store, self.record, self.id, self.service = store, record, id, service
        self.run = run
        self.entry = {"version": "v1", "slots": 64, "zone": "zone-a"} | entry
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.orders = 0
        self.busy = False
        self.beat = 0
        self.state = "ready"
        self.registers = True
        self.running = 0

    @property
    def version(self) -> str:
        return self.entry["version"]

    async def start(self) -> None:
        """Start a new lifetime: listen and register."""
        self.born = int(time.time() * 1e3)
        self.orders, self.busy, self.running = 0, False, 0
        self.state = "ready"
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=512, reuse_address=True
        )
        self.record(f"replica {self.id} starts, {self.version}, born {self.born}")
        self.spawn(self._heartbeat())

    def crash(self) -> None:
        """End at once: reset all connections, and register no more."""
        self.record(f"replica {self.id} ({self.version}) ends")
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _heartbeat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def register(self) -> None:
        """Write the entry in the store, unless the store is down for all."""
        if not self.registers:
            return
        self.beat += 1
        self.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence": self.beat,
                "born": self.born,
            }
            | self.entry,
        )

    async def _serve(self, reader, writer) -> None:
        if not self.server.is_serving():
            # It was accepted just before the crash.
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.spawn(self._answer_all(reader, writer))

    async def _answer_all(self, reader, writer) -> None:
        try:
            while (received := await read_request(reader)) is not None:
                answer = asyncio.create_task(self._answer(received, writer))
                self.tasks.add(answer)
                answer.add_done_callback(self.tasks.discard)
                gone = asyncio.create_task(self._closed(reader))
                await asyncio.wait({answer, gone}, return_when="FIRST_COMPLETED")
                gone.cancel()
                if not answer.done():
                    self.record(f"{self.id}: channel of {received.id} closed, dropped")
                    answer.cancel()
                    break
                await asyncio.gather(answer, return_exceptions=True)
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _closed(self, reader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.005)

    async def _answer(self, received: Received, writer) -> None:
        expected = received.headers.get("x-expect-instance")
        if expected not in (None, self.id):
            self._reply(writer, 421, b"", "X-Not-Executed: 1")
        elif received.target == "/report":
            self._reply(writer, 200, json.dumps(self._report()).encode())
        elif received.target == "/order":
            self._order(json.loads(received.body), writer)
        elif received.target.startswith(("/kv-handle/", "/kv-pin/", "/hold-drop/")):
            self._reply(writer, 200, b"{}")
        elif not received.id:
            self._reply(writer, 400, b"", "X-Not-Executed: 1")
        else:
            self.running += 1
            try:
                await self.run(self, received, writer)
            finally:
                self.running -= 1
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    def _report(self) -> dict:
        return {
            "born": self.born,
            "stage": self.entry.get("stage", ""),
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.busy,
            "sequence": self.orders,
            "queued": 0,
            "running": self.running,
            "kv-used": 0,
            "kv-total": 477_670,
            "handles": 0,
        }

    def _order(self, order: dict, writer) -> None:
        if order.get("precondition", self.orders) != self.orders or self.busy:
            self._reply(writer, 409, b"{}")
        elif order["stage"] == self.entry.get("stage"):
            self._reply(writer, 200, b"{}")
        else:
            self.record(f"{self.id}: order {order}")
            self.orders += 1
            self.busy = True
            self.spawn(self._change(order["stage"]))
            self._reply(writer, 202, b"{}")

    async def _change(self, stage: str) -> None:
        await asyncio.sleep(3.0)
        self.entry["stage"], self.busy = stage, False
        self.register()

    def _reply(self, writer, status: int, body: bytes, *lines: str) -> None:
        head = [f"HTTP/1.1 {status} Word", f"Content-Length: {len(body)}", *lines]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)


def head(status: int, request_id: str, *lines: str) -> bytes:
    """Return the status line and headers of a signed answer."""
    first = [
        f"HTTP/1.1 {status} Word",
        f"X-Request-Id: {request_id}",
        f"X-Response-Signature: {SIGNATURE}",
    ]
    return "\r\n".join([*first, *lines]).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Entry:
    """A process of the system, as the deploy file starts it."""

    def __init__(self, name: str, store_address: str, folder, **settings) -> None:
        self.name, self.folder = name, folder
        listen, ready, metrics = free_port(), free_port(), free_port()
        self.port, self.ready_port = listen, ready
        self.settings = {
            "BERGAMOTMAST_NAME": name,
            "BERGAMOTMAST_ZONE": "zone-a",
            "BERGAMOTMAST_STORE_ADDRESS": store_address,
            "BERGAMOTMAST_STORE_RECOVERY_MS": "3000",
            "BERGAMOTMAST_LISTEN_ADDRESS": f"127.0.0.1:{listen}",
            "BERGAMOTMAST_READY_ADDRESS": f"127.0.0.1:{ready}",
            "BERGAMOTMAST_SHUTDOWN_SECONDS": "8",
            "BERGAMOTMAST_ORDER_PAUSE_MS": "3000",
            "BERGAMOTMAST_PEER_ADDRESS": f"127.0.0.1:{free_port()}",
            "BERGAMOTMAST_METRICS_ADDRESS": f"127.0.0.1:{metrics}",
            "BERGAMOTMAST_RETRY_SHARE": "0.2",
            "BERGAMOTMAST_RETRY_FREE": "58",
            "BERGAMOTMAST_CONTRACTS": CONTRACTS,
            "BERGAMOTMAST_SCALING_ADDRESS": "",
            "BERGAMOTMAST_USAGE_ADDRESS": "",
            "BERGAMOTMAST_USAGE_WINDOW_SECONDS": "5",
            "BERGAMOTMAST_USAGE_DUE_SECONDS": "10",
        } | settings
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"{name}.log"

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = kept | self.settings
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "serve.py",
                "direct",
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        end = now() + 20
        while not await self.is_ready():
            if self.process.returncode is not None or now() > end:
                raise RuntimeError(f"{self.name} does not start")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1.0):
                line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    @property
    def rss_mb(self) -> float:
        """Resident memory of the process, in MB."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a consumer received.

    :param how: ``complete``, or how the answer broke off.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.how = "no answer"


async def ask(
    port: int,
    method: str,
    target: str,
    request_id: str,
    body: bytes = b"",
    time_budget_ms: int = 8000,
    headers: dict[str, str] | None = None,
    on_data=None,
) -> Answer:
    """Send a request on a new channel and read its answer to the end."""
    answer = Answer()
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {time_budget_ms}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    writer = None
    try:
        async with asyncio.timeout(time_budget_ms / 1e3):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read_answer(reader, answer, on_data)
    except TimeoutError:
        answer.how = "time budget"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.how = f"broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer: Answer, on_data) -> None:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(text[0].split()[1])
    pairs = (line.partition(":") for line in text[1:] if line)
    answer.headers = {name.strip().lower(): v.strip() for name, _, v in pairs}
    answer.how = "broken off"
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await _read_line(reader), 16):
            data = (await reader.readexactly(size + 2))[:-2]
            answer.body += data
            if on_data:
                on_data(data)
        await _read_line(reader)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.how = "complete"


async def _read_line(reader) -> bytes:
    """Return a line of a chunked body; a channel that has ended broke it off."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise asyncio.IncompleteReadError(line, None)
    return line.strip()


async def _run(work, seconds: float) -> int:
    """Run a case; a signal ends it, with all processes that it started."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(work, seconds)


def main(case, seconds: float = 110.0) -> None:
    """Run a case: ``await case(folder, record, temporary, trouble)`` returns its code.

    Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
    """
    folder = pathlib.Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"TROUBLE={int(trouble)}")
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    code = 2
    try:
        code = asyncio.run(_run(case(record, temporary, trouble), seconds))
    except BaseException as error:
        record(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
        record(f"exit code {code}")
        record.close()
    print((folder / "record.txt").read_text().splitlines()[-2])
    sys.exit(code)


@contextlib.asynccontextmanager
async def system(record, temporary, count: int, config: dict, **settings):
    """Yield a store and started entries; end them afterwards."""
    store = Store()
    store.record = record
    await store.start(count)
    store.put("op/config", config)
    entries = [
        Entry(f"entry-{n}", store.addresses[n], temporary, **settings)
        for n in range(count)
    ]
    try:
        yield store, entries
    finally:
        for entry in entries:
            await entry.kill()
        await store.stop()


def stop(entry: Entry) -> None:
    assert entry.process is not None
    entry.process.send_signal(signal.SIGSTOP)


def resume(entry: Entry) -> None:
    assert entry.process is not None
    entry.process.send_signal(signal.SIGCONT)
