"""Crowds of callers that send more than they should, and what they cost a process."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import os
import pathlib
import resource
import signal
import socket
import sys
import time

from direct_support import HOST
from direct_support import config
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from support import free_port

ROOT = pathlib.Path(__file__).resolve().parent.parent

MEMORY_MB = 128
"""Memory that a process may use; the platform ends a process that exceeds its limit."""

DESCRIPTORS = 4_100
"""Limit on open descriptors, of which :data:`FILE_DESCRIPTORS` are for files."""

FEW_DESCRIPTORS = 400

FILE_DESCRIPTORS = 200

BODY_BYTES = 4 << 20
"""Largest body that the configuration allows."""

HEADER_BYTES = 16_384
"""Largest head that the configuration allows."""

CALLER_BUFFER_BYTES = 4_096
"""Receive buffer of a caller that reads nothing."""

QUIET_SECONDS = 1.0
"""Time without any progress after which a crowd counts as settled."""

MAX_SETTLE_SECONDS = 6.0
"""Maximum wait for a crowd that goes on sending."""

ANSWER_SECONDS = 20.0
"""Time after which a request that is not answered shows that the process hangs."""

SAMPLE_SECONDS = 0.02

Parts = cabc.Callable[[int], cabc.Iterable[bytes]]
"""Returns what a caller sends, in order, given the caller's number."""


@dataclasses.dataclass(frozen=True)
class Crowd:
    """A crowd of callers that keep their connections open and read nothing.

    :param comes_back: whether a caller whose connection was closed connects again.
    """

    callers: int
    parts: Parts
    comes_back: bool = False


class CrowdRun:
    """A crowd that sends to one address.

    :param connections: number of connections made so far.
    """

    def __init__(self, crowd: Crowd, port: int) -> None:
        self.crowd = crowd
        self.port = port
        self.connections = 0
        self.progress_at = time.monotonic()
        self.tasks: list[asyncio.Task[None]] = []
        self.sockets: dict[int, socket.socket] = {}
        self.settled: set[int] = set()

    async def __aenter__(self) -> CrowdRun:
        for number in range(self.crowd.callers):
            self.tasks.append(asyncio.create_task(self._call(number)))
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for each in self.sockets.values():
            each.close()

    async def until_settled(self) -> None:
        """Wait until nobody can send more, or for some seconds."""
        started_at = time.monotonic()
        while len(self.settled) < self.crowd.callers:
            now = time.monotonic()
            if now - self.progress_at > QUIET_SECONDS:
                return
            if now - started_at > MAX_SETTLE_SECONDS:
                return
            await asyncio.sleep(SAMPLE_SECONDS)

    async def _call(self, number: int) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._send(number)
            if not self.crowd.comes_back:
                break
            await asyncio.sleep(0.05)
        self.settled.add(number)

    async def _send(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        earlier = self.sockets.pop(number, None)
        if earlier is not None:
            earlier.close()
        caller = self.sockets[number] = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", self.port))
        self.connections += 1
        self.progress_at = time.monotonic()
        for part in self.crowd.parts(number):
            await loop.sock_sendall(caller, part)
            self.progress_at = time.monotonic()
        if self.crowd.comes_back:
            await self._until_closed(caller)

    async def _until_closed(self, caller: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(caller, 65_536):
            pass


class Usage:
    """What a process uses, sampled while a block runs.

    Bytes that were received and not read yet count as memory, as on the platform.

    :param memory: largest memory seen, in bytes.
    :param sockets: largest number of open sockets seen.
    """

    def __init__(self, pid: int, ports: cabc.Collection[int]) -> None:
        self.pid = pid
        self.ports = ports
        self.memory = 0
        self.sockets = 0
        self.task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Usage:
        self.task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self.task is not None
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        self.sample()

    def sample(self) -> None:
        """Take a sample; a process that has ended uses nothing."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            memory = anonymous_bytes(self.pid) + unread_bytes(self.ports)
            self.memory = max(self.memory, memory)
            self.sockets = max(self.sockets, open_sockets(self.pid))

    async def _run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)


def anonymous_bytes(pid: int) -> int:
    """Return a process's resident memory without the pages of files."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0


def unread_bytes(ports: cabc.Collection[int]) -> int:
    """Return the bytes that the kernel has received for ports and nobody has read."""
    total = 0
    wanted = {f"{port:04X}" for port in ports}
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues = line.split()[:5]
        if state != "0A" and local.rpartition(":")[2] in wanted:
            total += int(queues.rpartition(":")[2], 16)
    return total


def open_sockets(pid: int) -> int:
    """Return the number of a process's open sockets."""
    count = 0
    for descriptor in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            count += os.readlink(descriptor).startswith("socket:")
    return count


@dataclasses.dataclass
class CrowdedEntry:
    """A direct entry as a process, which is told small limits.

    :param ports: ports of callers, readiness probes and metrics.
    """

    process: asyncio.subprocess.Process
    ports: dict[str, int]
    log: pathlib.Path

    async def ask(self, body: bytes = b"hello", deadline_ms: int = 20_000) -> int:
        """Send an ordinary request on a new connection; return the answer's status."""
        asked = request("/read/x", body=body, X_Deadline_Ms=str(deadline_ms))
        return await ask(self.ports["callers"], asked)

    async def ask_ready(self) -> int:
        """Send a readiness probe; return the answer's status."""
        return await ask(
            self.ports["ready"], b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        )

    async def ask_metrics(self) -> int:
        """Ask for the metrics; return the answer's status."""
        return await ask(
            self.ports["metrics"], b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        )

    def usage(self) -> Usage:
        return Usage(self.process.pid, self.ports.values())

    def error_lines(self) -> int:
        """Return the number of lines in the log that tell of an error."""
        with self.log.open("rb") as log:
            return sum(b'"level":"info"' not in line for line in log)


async def ask(port: int, asked: bytes) -> int:
    """Send a request on a new connection and return the answer's status.

    :raises TimeoutError: if it is not answered.
    """
    async with asyncio.timeout(ANSWER_SECONDS):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(asked)
            await writer.drain()
            return (await read_answer(reader)).status
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def crowded_entry(
    folder: pathlib.Path, descriptors: int = DESCRIPTORS
) -> cabc.AsyncIterator[CrowdedEntry]:
    """Run a direct entry before a plain replica and an engine.

    :param descriptors: limit on its open descriptors.
    """
    script = EngineScript(last=5)
    async with (
        Store() as store,
        Replica("i-1", answer()) as plain,
        Replica("i-2", script, service="llm", stage="decode") as engine,
    ):
        routes = [
            route("/read/", "safe", **{"timeout-ms": 20_000}),
            route("/talk/", "streaming", "llm", **{"timeout-ms": 20_000}),
        ]
        limits = {"max-body-bytes": BODY_BYTES, "max-header-bytes": HEADER_BYTES}
        store.put("op/config", config(routes=routes, **limits))
        store.put("servers/i-1", registration(plain))
        store.put("servers/i-2", registration(engine))
        ports = {name: free_port() for name in ("callers", "ready", "peers", "metrics")}
        addresses = {name: f"127.0.0.1:{port}" for name, port in ports.items()}
        settings = {
            "BERGAMOTMAST_NAME": "entry-1",
            "BERGAMOTMAST_ZONE": "zone-a",
            "BERGAMOTMAST_STORE_ADDRESS": store.address,
            "BERGAMOTMAST_LISTEN_ADDRESS": addresses["callers"],
            "BERGAMOTMAST_READY_ADDRESS": addresses["ready"],
            "BERGAMOTMAST_PEER_ADDRESS": addresses["peers"],
            "BERGAMOTMAST_METRICS_ADDRESS": addresses["metrics"],
            "BERGAMOTMAST_MEMORY_MB": str(MEMORY_MB),
            "BERGAMOTMAST_MAX_DESCRIPTORS": str(descriptors),
        }
        path = folder / "entry.log"
        with path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "serve.py"),
                "direct",
                env=os.environ | settings,
                stdout=log,
                stderr=log,
            )
        limit = (descriptors, descriptors)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limit)
        del ports["peers"]
        entry = CrowdedEntry(process, ports, path)
        try:
            await _until_ready(entry)
            yield entry
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()


async def _until_ready(entry: CrowdedEntry) -> None:
    async with asyncio.timeout(ANSWER_SECONDS):
        while True:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                if await entry.ask_ready() == 200:
                    return
            await asyncio.sleep(SAMPLE_SECONDS)


# What the callers of a crowd send


def head_of(number: int, path: str, *lines: str) -> bytes:
    """Return a request's head with the longest deadline that a caller may ask for."""
    asked = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: c-{number}",
        "X-Deadline-Ms: 600000",
        "X-Token-Count: 400,80",
        *lines,
    )
    return ("\r\n".join(asked) + "\r\n\r\n").encode()


def sized_body(
    size: int, pieces: int = 1, missing: int = 1, path: str = "/read/x"
) -> Parts:
    """Send a body with its length, in pieces, all but its last bytes."""
    body = bytes(-(-size // pieces))

    def parts(number: int) -> cabc.Iterator[bytes]:
        yield head_of(number, path, f"Content-Length: {size}")
        left = size - missing
        while left > 0:
            piece = body[:left]
            yield piece
            left -= len(piece)

    return parts


def chunked_body(size: int, chunk_bytes: int, end: bytes = b"") -> Parts:
    """Send a body in chunks of one size, followed by ``end``."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    each = max(1, 65_536 // len(chunk))
    block = chunk * each

    def parts(number: int) -> cabc.Iterator[bytes]:
        yield head_of(number, "/read/x", "Transfer-Encoding: chunked")
        for _ in range(-(-size // (chunk_bytes * each))):
            yield block
        if end:
            yield end

    return parts


def endless(head: bytes, block: bytes) -> Parts:
    """Send a head and then the same block again and again, without end."""

    def parts(number: int) -> cabc.Iterator[bytes]:
        yield head
        while True:
            yield block

    return parts


def sent_ahead(asked: bytes, count: int) -> Parts:
    """Send many requests one after the other without reading their answers."""

    def parts(number: int) -> cabc.Iterator[bytes]:
        for _ in range(count):
            yield asked

    return parts


def nothing(number: int) -> cabc.Iterable[bytes]:
    """Send nothing."""
    return ()
