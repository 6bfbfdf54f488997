"""Every request that an entry has read gets its one answer, whatever happens to it."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import random
import resource
import signal
import socket
import time

import pytest
from aiohttp import web

from bergamotmast import direct_daemon
from bergamotmast.adapters import opaque_http
from bergamotmast.bounded_log import BoundedJsonHandler
from bergamotmast.direct import front
from bergamotmast.direct import role_planner
from bergamotmast.direct.events import EventSplitter
from bergamotmast.direct.following import Follower
from bergamotmast.direct.presence import PRESENCE_PREFIX
from bergamotmast.direct.presence import Presence
from bergamotmast.direct.role_planner import RolePlanner
from bergamotmast.direct.time_limits import TimeLimits
from bergamotmast.direct_daemon import serve_direct
from bergamotmast.errors import ResultCode
from bergamotmast.logs import ContextFilter
from bergamotmast.model import Assignment
from bergamotmast.model import Role
from bergamotmast.planner import authority
from bergamotmast.policy.last_requests import End
from bergamotmast.protocol.plan import HEAD_KEY
from bergamotmast.protocol.plan import HOLDER_KEY
from bergamotmast.protocol.plan import EnginePlan
from bergamotmast.protocol.plan import encode_record
from bergamotmast.protocol.plan import engine_key
from bergamotmast.settings import DirectEntrySettings
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from platform_standin import chunk
from platform_standin import event
from platform_standin import hang
from platform_standin import head
from platform_standin import reset
from support import free_port
from test_direct_process import Process
from test_direct_process import process

TIME = {"timeout-ms": 20_000, "target-latency-ms": 4_000}

ROUTES = [
    route("/order/", "unsafe", **TIME | {"max-attempts": 1}),
    route("/read/", "safe", **TIME),
    route("/talk/", "streaming", "llm", resumable=False, **TIME),
]

CALLER = {"X_Deadline_Ms": "20000", "X_Token_Count": "400,80"}

SOON = "1.5"
"""Seconds from SIGTERM to the end of a process; requests are served for 0.5 of them."""

ANSWER_SECONDS = 3.0
"""By then a caller of such a process has its answer, or gets none."""


@contextlib.asynccontextmanager
async def entry_before(*replicas: Replica, seconds: str = SOON, store=None):
    """Run a direct entry as a process before replicas that are started here."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(store or Store())
        store.put("op/config", config(routes=ROUTES))
        for replica in replicas:
            await stack.enter_async_context(replica)
            store.put(f"servers/{replica.name}", registration(replica))
        entry = await stack.enter_async_context(process(store, seconds=seconds))
        await entry.until_ready()
        yield entry, store


async def send(entry: Process, data: bytes):
    """Send a request to an entry on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    writer.write(data)
    return reader, writer


async def answer_at_the_end(entry: Process, reader):
    """Tell an entry to end and return the answer that a caller has by then.

    ``None`` where the connection is closed without one.
    """
    entry.process.send_signal(signal.SIGTERM)
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        return await asyncio.wait_for(read_answer(reader), ANSWER_SECONDS)
    return None


@pytest.mark.parametrize("path", ["/order/x", "/read/x", "/talk/x"])
async def test_request_at_work_at_the_end_is_told_that_its_outcome_is_unknown(path):
    """A replica has a request when the entry's time to end is over, and says nothing.

    It may run there: its caller is told so, where a closed connection would leave it
    to guess.
    """
    plain, llm = Replica("i-1", hang()), engine("i-2", hang())
    async with entry_before(plain, llm) as (entry, _):
        reader, writer = await send(entry, request(path, **CALLER))
        await until(lambda: bool(plain.received or llm.received))
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert got is not None, "the connection was closed without an answer"
    assert got.status in (502, 504)


async def test_prompt_that_is_read_at_the_end_is_refused_as_not_run():
    """A long prompt is at an engine that only reads it; nothing has been answered.

    The request did not run: its caller is told so, and when to come back.
    """
    reading = engine("i-1", EngineScript(prefill_seconds=30), "prefill")
    answering = engine("i-2", EngineScript())
    async with entry_before(reading, answering) as (entry, _):
        headers = CALLER | {"X_Token_Count": "9000,9"}
        reader, writer = await send(entry, request("/talk/x", **headers))
        await until(lambda: bool(reading.received))
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert answering.received == []
    assert got is not None, "the connection was closed without an answer"
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_stream_that_waits_at_the_end_is_refused_as_not_run():
    """A stream waits for the engine that is on its way to answering, and never ran.

    Its caller is told so, and when to come back, before the process ends.
    """
    changing = engine("i-1", EngineScript(), "prefill")
    async with entry_before(changing) as (entry, store):
        plan = EnginePlan(1, 1, Assignment(Role.DECODE))
        store.put(engine_key("i-1"), encode_record(plan))
        await asyncio.sleep(0.3)
        reader, writer = await send(entry, request("/talk/x", **CALLER))
        await asyncio.sleep(0.1)
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert not [r for r in changing.received if r.target.startswith("/talk")]
    assert got is not None, "the connection was closed without an answer"
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_request_whose_body_is_late_at_the_end_is_refused_as_not_run():
    """A request's head has been read; its body has not come when the process ends.

    Nothing was sent on: its caller is told so, and when to come back.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica) as (entry, _):
        whole = request("/order/x", body=b"x" * 1000, **CALLER)
        reader, writer = await send(entry, whole[:-900])
        await asyncio.sleep(0.2)
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert replica.received == []
    assert got is not None, "the connection was closed without an answer"
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_stream_at_work_at_the_end_looks_incomplete():
    """A stream is under way when the entry's time to end is over.

    What has been sent stays; the end that would make it whole is not sent.
    """
    talking = engine("i-1", EngineScript(last=1000, pause=0.02))
    async with entry_before(talking) as (entry, _):
        reader, writer = await send(entry, request("/talk/x", **CALLER))
        await until(lambda: bool(talking.received))
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert got is not None
    assert got.status == 200
    assert got.body.startswith(b"id: 1\n")
    assert not got.complete


async def small_caller(port: int) -> socket.socket:
    """Connect a socket that takes little before it is read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", port))
    return caller


async def bytes_in_the_system() -> int:
    """Return how much the system takes for a small caller that reads nothing."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        caller = await small_caller(listening.getsockname()[1])
        accepted, _ = listening.accept()
        with caller, accepted:
            accepted.setblocking(False)
            return accepted.send(b"x" * 16_000_000)


async def test_answer_that_its_caller_reads_late_is_sent_to_its_end():
    """An answer is a little larger than the sockets' buffers, and is read late.

    Its last bytes are with the event loop, not with the system, and no request is at
    work: the entry must not end before they have gone out, for which it has the time.
    """
    size = await bytes_in_the_system() + 30_000
    replica = Replica("i-1", answer(200, b"x" * size))
    async with entry_before(replica, seconds="8") as (entry, _):
        caller = await small_caller(entry.port)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, request("/order/x", **CALLER))
        await until(lambda: bool(replica.received))
        await asyncio.sleep(0.3)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(4.0)
        got = await body_length(caller)
    assert got == size


async def body_length(caller: socket.socket) -> int:
    """Read an answer to the end of its connection and return its body's length."""
    loop = asyncio.get_running_loop()
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while part := await asyncio.wait_for(loop.sock_recv(caller, 1 << 16), 8):
            data += part
    caller.close()
    return len(data) - data.index(b"\r\n\r\n") - 4


class HangingStore(Store):
    """A store that ends no lease and renews none once it hangs."""

    hangs = False

    async def _keep(self, request: web.Request) -> web.Response:
        return await self._unless_hung(super()._keep(request))

    async def _end(self, request: web.Request) -> web.Response:
        return await self._unless_hung(super()._end(request))

    async def _unless_hung(self, reply) -> web.Response:
        if self.hangs:
            await asyncio.sleep(30)
        return await reply


async def test_end_is_kept_to_with_a_store_that_is_silent():
    """The store takes calls and answers none; an order hangs at its replica.

    The platform kills the process when its seconds are over: by then the caller must
    have its answer, however long the store is waited for.
    """
    replica = Replica("i-1", hang())
    store = HangingStore()
    async with entry_before(replica, store=store) as (entry, _):
        await until(lambda: any("kv-txn" in call for call in store.calls))
        await asyncio.sleep(1.0)
        store.hangs = True
        reader, writer = await send(entry, request("/order/x", **CALLER))
        await until(lambda: bool(replica.received))
        loop = asyncio.get_running_loop()
        told_at = loop.time()
        got = await answer_at_the_end(entry, reader)
        await entry.process.wait()
        seconds = loop.time() - told_at
        writer.close()
    assert got is not None, "the connection was closed without an answer"
    assert got.status in (502, 504)
    assert seconds < float(SOON)


@pytest.mark.parametrize("turns", range(8))
async def test_connection_that_comes_as_the_entry_stops_taking_does_not_stay(turns):
    """A caller connects in the moment at which the entry stops taking.

    Its connection is in the system's queue, on its way to a handler, or has just got
    one. Left open and idle, it could bring a request as the process ends; left without
    a handler, its request would be read by nobody, and its caller would wait.
    """
    async with serving(Replica("i-1", answer())) as entry:
        caller = socket.create_connection(("127.0.0.1", entry.port))
        caller.setblocking(False)
        for _ in range(turns):
            await asyncio.sleep(0)
        entry.front.ending = True
        await entry.listening.stop_taking()
        with caller, contextlib.suppress(ConnectionError):
            loop = asyncio.get_running_loop()
            assert await asyncio.wait_for(loop.sock_recv(caller, 1), 1) == b""


@pytest.mark.parametrize("part", [Follower, Presence, RolePlanner])
async def test_failure_beside_the_requests_ends_no_request(part, monkeypatch):
    """A task that serves no request fails for a cause that nobody has foreseen.

    The order at work gets its answer. Ended at once, the process would leave every
    caller of the moment with a closed connection.
    """
    fail = asyncio.Event()

    async def run(self) -> None:
        await fail.wait()
        raise RuntimeError("unforeseen")

    async def slow_answer(replica: Replica, received: Received, writer) -> None:
        await asyncio.sleep(1.5)
        await answer()(replica, received, writer)

    async with Store() as store, Replica("i-1", slow_answer) as replica:
        store.put("op/config", config())
        store.put("servers/i-1", registration(replica))
        async with entry_in_this_process(store) as (port, task):
            if part is not Follower:
                monkeypatch.setattr(part, "run", run)
            else:
                read = part.run

                async def read_and_fail(self) -> None:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(read(self), 0.3)
                    await run(self)

                monkeypatch.setattr(part, "run", read_and_fail)
            reader, writer = await connect_soon(port)
            await asyncio.sleep(0.4)
            writer.write(request("/order/x"))
            await until(lambda: bool(replica.received))
            fail.set()
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert got.status == 200
            assert got.body == b"fine"
            task.cancel()


@contextlib.asynccontextmanager
async def entry_in_this_process(store: Store):
    """Run all of an entry as a task; its end is waited for and its errors are not."""
    ports = [free_port() for _ in range(3)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    settings = DirectEntrySettings(
        name="entry-1",
        zone="zone-a",
        store_address=store.address,
        listen_address=addresses[0],
        ready_address=addresses[1],
        peer_address=addresses[2],
        metrics_address="",
        shutdown_seconds=8.0,
        order_pause_ms=0,
        retry_share=0.1,
        retry_free=10,
        log_level="info",
        switched_off="",
    )
    task = asyncio.create_task(serve_direct(settings))
    try:
        yield ports[0], task
    finally:
        task.cancel()
        await asyncio.wait({task})
        task.cancelled() or task.exception()


async def connect_soon(port: int, seconds: float = 2):
    """Connect to a port that is about to be listened on."""
    async with asyncio.timeout(seconds):
        while True:
            with contextlib.suppress(ConnectionError):
                return await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(0.02)


UNREADABLE = {
    HEAD_KEY: b"no plan",
    engine_key("i-9"): b"no plan",
    PRESENCE_PREFIX + "long": b"host:" + b"9" * 5000,
    PRESENCE_PREFIX + "high": b"127.0.0.1:70000",
    PRESENCE_PREFIX + "host": b"." + b"a" * 80 + b".example:7000",
    "servers/deep": b'{"more":' + b"[" * 100_000,
    "op/config": b'{"more":' + b"[" * 100_000,
}


@pytest.mark.parametrize("key", UNREADABLE)
async def test_no_value_in_the_store_ends_the_entry(key):
    """A key of the store holds what nobody can read, whoever wrote it.

    It is left out of account. An entry that ended for it would cut off every request
    at work, and so would each of its successors.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica) as (entry, store):
        store.put(key, UNREADABLE[key])
        lasts = asyncio.get_running_loop().time() + 3.0
        while asyncio.get_running_loop().time() < lasts:
            reader, writer = await send(entry, request("/order/x", **CALLER))
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert got.status == 200
            await asyncio.sleep(0.1)
        assert entry.process.returncode is None
        late = Replica("i-2", answer(200, b"late"))
        async with late:
            store.put("servers/i-1", registration(replica) | {"state": "draining"})
            store.put("servers/i-2", registration(late))
            await asyncio.sleep(0.3)
            reader, writer = await send(entry, request("/order/x", **CALLER))
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
        assert got.body == b"late"


async def test_body_that_does_not_come_by_the_deadline():
    """A request's head has come and its body does not, until its caller's time is over.

    Nothing was sent on: the caller is told so in time.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/order/x", body=b"x" * 1000, X_Deadline_Ms="300")
        writer.write(whole[:-900])
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 503
    assert got.headers["connection"] == "close"
    assert replica.received == []


async def test_body_that_breaks_off_in_a_wrong_chunk():
    """A body comes in chunks, and one is none: the rest can't be read any more.

    The request was not sent on, and its caller is told so by its deadline.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        sent = {"Transfer_Encoding": "chunked", "X_Deadline_Ms": "500"}
        writer.write(request("/order/x", body=b"", **sent) + b"3\r\nabc\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\n")
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status in (400, 503)
    assert replica.received == []


async def test_caller_that_asks_before_it_sends_its_body():
    """A caller sends its body only once it is told to, as HTTP allows.

    Untold, it would wait for the entry, and the entry for it.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/order/x", body=b"x" * 1000, Expect="100-continue")
        writer.write(whole[:-1000])
        said = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
        assert said == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(whole[-1000:])
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 200
    assert replica.received[0].body == b"x" * 1000


async def test_stream_to_a_caller_of_the_older_protocol():
    """A caller speaks HTTP/1.0, which has no chunks: the end of the connection ends it.

    An answer that breaks off must not look like one that is whole.
    """
    async with serving(engine("i-1", EngineScript(last=3))) as entry:
        reader, writer = await entry.connect()
        sent = request("/talk/x", X_Token_Count="400,9")
        writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        got = await asyncio.wait_for(reader.read(), 2)
        writer.close()
    head, _, body = got.partition(b"\r\n\r\n")
    assert b" 200 " in head.split(b"\r\n")[0]
    assert b"chunked" not in head.lower()
    assert body.count(b"id:") == 3


async def test_broken_stream_to_a_caller_of_the_older_protocol():
    """The engine breaks off: the connection is reset, where an end would look whole."""
    script = EngineScript(last=3, break_after=2)
    async with serving(engine("i-1", script)) as entry:
        reader, writer = await entry.connect()
        sent = request("/talk/x", X_Token_Count="400,9")
        writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 2)
        writer.close()


async def test_answer_with_a_header_that_can_not_be_written():
    """A replica's answer has a control character in a header.

    The HTTP library reads it and refuses to write it. The answer goes out without that
    header; nothing at all would leave the caller of an order that ran without a word.
    """
    script = answer(200, b"fine", "X-Odd: a\x07b", "X-Even: ab")
    async with serving(Replica("i-1", script)) as entry:
        got = await asyncio.wait_for(entry.ask("/order/x"), 2)
    assert got.status == 200
    assert got.body == b"fine"
    assert got.headers["x-even"] == "ab"
    assert "x-odd" not in got.headers


@pytest.mark.parametrize("path", ["/order/x", "/talk/x"])
async def test_status_that_is_no_answer_is_not_passed_on(path):
    """A replica says that it changes the protocol, which nobody has asked it to do.

    Passed on, the caller would wait for the answer that HTTP has follow.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        writer.write(head(101, received.request_id))
        await writer.drain()

    plain, llm = Replica("i-1", script), engine("i-2", script)
    async with serving(plain, llm) as entry:
        got = await asyncio.wait_for(entry.ask(path, X_Token_Count="400,9"), 1)
    assert got.status == 502


async def test_line_that_can_not_be_written_ends_no_request():
    """A request's id has bytes that are no UTF-8, and each of its lines bears the id.

    It is refused in good order: the next request on its connection is answered.
    """
    readable, writable = os.pipe()
    handler = BoundedJsonHandler(writable, "entry-1")
    handler.addFilter(ContextFilter("entry-1"))
    root = logging.getLogger()
    root.addHandler(handler)
    level = root.level
    root.setLevel(logging.INFO)
    try:
        async with serving(Replica("i-1", answer())) as entry:
            reader, writer = await entry.connect()
            writer.write(request("/order/x").replace(b"id-1", b"id\xff"))
            assert (await read_answer(reader)).status == 400
            writer.write(request("/order/x"))
            got = await asyncio.wait_for(read_answer(reader), 1)
            writer.close()
    finally:
        root.setLevel(level)
        root.removeHandler(handler)
        lines = os.read(readable, 1 << 16).splitlines()
        os.close(readable)
        os.close(writable)
    assert got.status == 200
    ended = [
        line for line in map(json.loads, lines) if line["event"] == "request ended"
    ]
    assert [line["status"] for line in ended] == [400, 200]


@pytest.mark.parametrize(
    "address", ["host:7000", "127.0.0.1:70000", "127.0.0.1:0", "::1", ":7000", ""]
)
async def test_entry_is_only_told_of_prompts_at_an_ip_number_and_port(address):
    """Another entry has registered under what is no address of datagrams.

    A name would be looked up at each datagram, while all requests stand still; a port
    out of range would close the port that datagrams are sent from.
    """
    async with serving() as entry:
        entry.put(PRESENCE_PREFIX + "good", b"10.0.0.9:7380")
        entry.put(PRESENCE_PREFIX + "bad", b"10.0.0.8:7380")
        entry.put(PRESENCE_PREFIX + "bad", address.encode())
        assert list(entry.fleet.entries.values()) == [("10.0.0.9", 7380)]


async def test_fault_in_planning_ends_nothing(monkeypatch):
    """The planner fails for a cause that nobody has foreseen, each time it plans.

    It gives the lease back and tries again; the entry serves on.
    """
    monkeypatch.setattr(role_planner, "PAUSE_SECONDS", (0.05, 0.05))
    monkeypatch.setattr(direct_daemon, "FIRST_LOOK_SECONDS", 0.01)
    monkeypatch.setattr(authority, "LEAST_POLL_SECONDS", 0.01)
    monkeypatch.setattr(authority, "MOST_POLL_SECONDS", 0.02)
    failed = []

    async def plan(self) -> None:
        failed.append(self.authority.lease)
        raise RuntimeError("unforeseen")

    monkeypatch.setattr(RolePlanner, "_plan", plan)
    async with Store() as store, Replica("i-1", answer()) as replica:
        store.put("op/config", config())
        store.put("servers/i-1", registration(replica))
        async with entry_in_this_process(store) as (port, task):
            await until(lambda: len(failed) >= 3, 5)
            reader, writer = await connect_soon(port)
            writer.write(request("/order/x"))
            assert (await read_answer(reader)).status == 200
            writer.close()
            assert not task.done()
        await until(lambda: HOLDER_KEY not in store.items)


async def test_caller_that_leaves_within_its_body_is_no_fault(caplog):
    """A caller closes its connection before its body is whole.

    Nobody is left to answer: no fault is logged, and nothing is sent on.
    """
    caplog.set_level(logging.INFO)
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        _, writer = await entry.connect()
        writer.write(request("/order/x", body=b"x" * 1000)[:-900])
        await until(lambda: bool(entry.front.busy))
        writer.close()
        await until(lambda: not entry.front.busy)
    ended = [r for r in caplog.records if r.getMessage() == "request ended"]
    assert [record.code for record in ended] == [ResultCode.CANCELLED_BY_CALLER]
    assert not [r for r in caplog.records if r.levelno >= logging.WARNING]
    assert replica.received == []


@pytest.mark.parametrize(
    "framing", ["Content-Length: 5000000", "Transfer-Encoding: chunked"]
)
async def test_body_too_large_is_refused_before_it_has_come(framing):
    """A body is beyond the limit: its caller is told without having sent the rest."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=config(**{"max-body-bytes": 1000})) as entry:
        reader, writer = await entry.connect()
        sent = request("/order/x", body=b"").removesuffix(b"\r\n")
        writer.write(sent + framing.encode() + b"\r\n\r\n7d0\r\n" + b"x" * 2000)
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 413
    assert got.headers["connection"] == "close"
    assert got.headers["x-request-id"] == "id-1"
    assert replica.received == []


@pytest.mark.parametrize("name", ["X-Request-Id", "X-Other"])
async def test_header_of_a_caller_that_can_not_be_written_is_refused(name):
    """A caller's header has a control character: no upstream could get it unchanged."""
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        sent = request("/order/x").replace(
            b"\r\n", f"\r\n{name}: a\x07b\r\n".encode(), 1
        )
        writer.write(sent)
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 400
    assert replica.received == []


async def test_suspension_over_the_moment_at_which_an_entry_stops_taking():
    """A process is suspended from before that moment to after it, and wakes.

    Requests arrived meanwhile, on a kept connection and on a new one. All is over in
    one pass of the event loop: what is read in it is answered.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica, seconds="8") as (entry, _):
        kept, kept_writer = await send(entry, request("/read/x", **CALLER))
        assert (await read_answer(kept)).status == 200
        loop = asyncio.get_running_loop()
        entry.process.send_signal(signal.SIGTERM)
        wakes_at = loop.time() + direct_daemon.STILL_ROUTED_SECONDS + 0.1
        await asyncio.sleep(direct_daemon.STILL_ROUTED_SECONDS - 0.4)
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        # Both leave before the process ends, so that both are still taken.
        brief = CALLER | {"X_Deadline_Ms": "2000"}
        kept_writer.write(request("/read/x", request_id="kept", **brief))
        new, new_writer = await send(entry, request("/order/x", **brief))
        await asyncio.sleep(wakes_at - loop.time())
        entry.process.send_signal(signal.SIGCONT)
        for reader in (kept, new):
            assert (await asyncio.wait_for(read_answer(reader), 2)).status == 200
        kept_writer.close()
        new_writer.close()


async def slow_answer(replica: Replica, received: Received, writer) -> None:
    """Answer after a second."""
    await asyncio.sleep(1.0)
    await answer()(replica, received, writer)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
async def test_second_signal_cuts_nothing_off(number):
    """An entry that was told to end gets another signal while an order is at work."""
    replica = Replica("i-1", slow_answer)
    async with entry_before(replica, seconds="8") as (entry, _):
        reader, writer = await send(entry, request("/order/x", **CALLER))
        await until(lambda: bool(replica.received))
        for each in (signal.SIGTERM, number, number):
            entry.process.send_signal(each)
            await asyncio.sleep(0.1)
        got = await asyncio.wait_for(read_answer(reader), 2)
        writer.close()
    assert got.status == 200


async def test_signal_before_the_first_reading_of_the_store():
    """The store does not answer as an entry starts; callers come, then SIGTERM.

    They are told that nothing ran and when to come back.
    """
    async with Store() as store:
        store.outage = 503
        async with process(store, seconds="4") as entry:
            reader, writer = await connect_soon(entry.port, 10)
            writer.write(request("/order/x", **CALLER))
            entry.process.send_signal(signal.SIGTERM)
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert await asyncio.wait_for(entry.process.wait(), 4) == 0
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_log_whose_reader_is_gone_ends_no_request():
    """Whatever reads the logs has ended: each write to them fails."""
    replica = Replica("i-1", answer())
    async with entry_before(replica) as (entry, _):
        entry.process._transport.get_pipe_transport(1).close()
        for _ in range(3):
            reader, writer = await send(entry, request("/order/x", **CALLER))
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert got.status == 200


async def order_alone(entry: Process):
    """Ask for something on a connection that is closed after the answer."""
    reader, writer = await send(entry, request("/order/x", **CALLER))
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def descriptors_held(pid: int) -> int:
    """Return how many descriptors a process holds besides those of passing calls."""
    counts = []
    for _ in range(20):
        counts.append(len(os.listdir(f"/proc/{pid}/fd")))
        await asyncio.sleep(0.05)
    return min(counts)


async def test_callers_beyond_the_limit_of_descriptors_wait_for_one():
    """A process may open no further file: connections wait to be taken in.

    Once others are closed they are taken, and their requests answered; none that was
    read is lost, and an order that could not be sent on is refused as not run.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica, seconds="8") as (entry, _):
        pid = entry.process.pid
        now_open = await descriptors_held(pid)
        _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (now_open + 5, hard))
        idle = [await send(entry, b"") for _ in range(5)]
        calls = [asyncio.create_task(order_alone(entry)) for _ in range(10)]
        await asyncio.sleep(0.3)
        assert not any(call.done() for call in calls)
        for _, writer in idle:
            writer.close()
        answers = await asyncio.wait_for(asyncio.gather(*calls), 20)
    assert {got.status for got in answers} <= {200, 503}
    assert len(replica.received) == sum(got.status == 200 for got in answers)


async def test_group_that_vanishes_while_a_stream_waits():
    """A stream waits for an engine; the operators take the route and its group out.

    The engine comes under that name all the same, or does not: the caller is told.
    """
    one = engine("i-1", EngineScript(), "prefill")
    async with serving(one, document=config(routes=ROUTES)) as entry:
        plan = EnginePlan(1, 1, Assignment(Role.DECODE))
        entry.put(engine_key("i-1"), encode_record(plan))
        task = asyncio.create_task(entry.ask("/talk/x", **CALLER))
        await asyncio.sleep(0.2)
        entry.put("op/config", config(2, routes=[]) | {"services": []})
        await asyncio.sleep(0.1)
        entry.fleet.remove("servers/i-1", entry.revision + 1)
        got = await asyncio.wait_for(task, 1)
    assert got.status == 503


@pytest.mark.parametrize("events", [0, 2])
async def test_fault_of_the_entry_itself_is_told(events, monkeypatch):
    """Something that nobody has foreseen fails, before the answer or within it.

    Before, the caller is told; within, the stream looks incomplete.
    """
    split = EventSplitter.feed

    def feed(self, data: bytes):
        for whole in split(self, data):
            if whole.number is not None and whole.number > events:
                raise RuntimeError("unforeseen")
            yield whole

    monkeypatch.setattr(EventSplitter, "feed", feed)
    async with serving(engine("i-1", EngineScript(pause=0.02))) as entry:
        got = await asyncio.wait_for(entry.ask("/talk/x", X_Token_Count="400,9"), 2)
    if events:
        assert got.status == 200
        assert got.body.count(b"id:") == events
        assert not got.complete
    else:
        assert got.status == 500


@pytest.mark.parametrize("turns", range(6))
async def test_request_that_comes_as_its_connection_has_been_idle_too_long(
    turns, monkeypatch
):
    """A kept connection brings a request in the moment at which it is to be closed.

    Either it was not read, or it is answered.
    """
    monkeypatch.setattr(front, "IDLE_SECONDS", 0.2)
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        caller = socket.create_connection(("127.0.0.1", entry.port))
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        sent = asyncio.Event()

        def send_after(left: int) -> None:
            if left:
                loop.call_soon(send_after, left - 1)
                return
            with contextlib.suppress(ConnectionError):
                caller.send(request("/order/x"))
            sent.set()

        await until(lambda: bool(entry.listening.server.connections))
        (connection,) = entry.listening.server.connections
        loop.call_at(connection._keepalive_handle.when() - 1e-4, send_after, turns)
        await sent.wait()
        got = b""
        with contextlib.suppress(ConnectionError):
            got = await asyncio.wait_for(loop.sock_recv(caller, 1 << 16), 1)
        caller.close()
        await asyncio.sleep(0.05)
    assert got.startswith(b"HTTP/1.1 200") is bool(replica.received)


async def test_request_behind_another_on_a_connection_that_closes_never_runs():
    """Two requests come at once on one connection, and the entry is about to end.

    The first answer says "Connection: close": by HTTP the second has not been run, and
    it has not.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        entry.core.stopping = True
        reader, writer = await entry.connect()
        first = request("/order/x", request_id="first")
        writer.write(first + request("/order/x", request_id="second"))
        got = await asyncio.wait_for(read_answer(reader), 1)
        assert got.headers["connection"] == "close"
        assert await asyncio.wait_for(reader.read(), 1) == b""
        writer.close()
    assert [received.request_id for received in replica.received] == ["first"]


@pytest.mark.parametrize("path", ["/order/x", "/read/x", "/talk/x"])
async def test_answer_that_breaks_off_in_a_wrong_chunk(path):
    """A replica's answer comes in chunks, and one is none: the rest can't be read.

    The call is taken for broken at once, not at its deadline.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        lines = ("Transfer-Encoding: chunked", "Content-Type: text/event-stream")
        writer.write(head(200, received.request_id, *lines) + chunk(event(1)))
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\n")
        await asyncio.sleep(5)

    plain, llm = Replica("i-1", script), engine("i-2", script)
    async with serving(plain, llm) as entry:
        got = await asyncio.wait_for(entry.ask(path, X_Token_Count="400,9"), 1)
    assert got.status == (200 if path == "/talk/x" else 502)
    assert got.complete is (path != "/talk/x")


async def test_reset_of_an_idle_connection_is_no_fault(caplog):
    """A replica resets a kept connection that carries no request: nothing is logged."""

    async def script(replica: Replica, received: Received, writer) -> None:
        writer.write(head(200, received.request_id, "Content-Length: 4"))
        await asyncio.sleep(0.02)
        writer.write(b"fine")
        asyncio.get_running_loop().call_later(0.05, reset, writer)

    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        for _ in range(2):
            assert (await entry.ask("/read/x")).status == 200
            await asyncio.sleep(0.15)
            gc.collect()
    assert replica.connections == 2
    assert not [r for r in caplog.records if r.levelno >= logging.WARNING]


async def test_end_begins_while_a_deadline_passes():
    """A request's time is over, and it is still closing its connection to an upstream.

    In that moment the entry is told to end: the limits of all requests are brought
    forward, that of this one being past. The others end as they should.
    """
    loop = asyncio.get_running_loop()
    limits = TimeLimits(random.Random(1))

    async def work(seconds: float) -> None:
        async with limits.limit(loop.time() + seconds):
            try:
                await asyncio.sleep(5)
            finally:
                await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(work(seconds)) for seconds in (0.02, 3.0)]
    await asyncio.sleep(0.05)
    now = loop.time()
    limits.begin(End(now + 0.1, now + 0.2))
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    assert [type(outcome) for outcome in outcomes] == [TimeoutError, TimeoutError]
    assert loop.time() - now < 1.0


@pytest.mark.parametrize("path", ["/order/x", "/talk/x"])
async def test_answer_without_an_end_takes_no_more_memory_than_it_may(
    path, monkeypatch
):
    """An upstream sends one body, or one event, and never stops.

    Kept to its end, it would take the memory of the process, and the system would end
    that with every request at work. It is taken for broken.
    """
    monkeypatch.setattr(opaque_http, "MOST_BODY_BYTES", 1 << 20)
    sent = 0

    async def script(replica: Replica, received: Received, writer) -> None:
        nonlocal sent
        writer.write(head(200, received.request_id, "Transfer-Encoding: chunked"))
        while sent < 40 << 20:
            writer.write(chunk(b"x" * (1 << 16)))
            sent += 1 << 16
            await writer.drain()
        await hang()(replica, received, writer)

    plain, llm = Replica("i-1", script), engine("i-2", script)
    async with serving(plain, llm) as entry:
        got = await asyncio.wait_for(entry.ask(path, X_Token_Count="400,9"), 2)
    assert got.status == 502
    assert sent < 40 << 20


async def test_request_that_waits_as_a_stalled_process_finds_its_connection_idle(
    monkeypatch,
):
    """The event loop stands still over the end of a connection's idle time.

    A request has come meanwhile, found in one pass with the timer: it is answered.
    """
    monkeypatch.setattr(front, "IDLE_SECONDS", 0.2)
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        with socket.create_connection(("127.0.0.1", entry.port)) as caller:
            caller.setblocking(False)
            await until(lambda: bool(entry.listening.server.connections))
            caller.send(request("/order/x"))
            time.sleep(0.3)
            loop = asyncio.get_running_loop()
            got = await asyncio.wait_for(loop.sock_recv(caller, 1 << 16), 1)
    assert got.startswith(b"HTTP/1.1 200")


async def test_head_that_comes_in_two_parts_around_the_close_of_idle_connections():
    """Half of a request's head has come as the entry closes what is idle.

    Its connection is no idle one: closed, its caller would not know whether the request
    was read.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/read/x")
        writer.write(whole[:60])
        await asyncio.sleep(0.05)
        entry.core.stopping = entry.front.ending = True
        await entry.listening.stop_taking()
        writer.write(whole[60:])
        got = await asyncio.wait_for(read_answer(reader), 1)
        assert got.headers["connection"] == "close"
        writer.close()
    assert got.status == 200


async def test_request_behind_a_stream_that_began_before_the_end():
    """A stream began before anyone knew of the end, and ends after it.

    It did not say that its connection closes, and the next request has been read on it:
    it is answered, and that answer says so.
    """
    async with serving(
        engine("i-1", EngineScript(last=5, pause=0.05)), Replica("i-2", answer())
    ) as entry:
        reader, writer = await entry.connect()
        writer.write(request("/talk/x", X_Token_Count="400,9", request_id="first"))
        await reader.readuntil(b"id: 1")
        entry.core.stopping = entry.front.ending = True
        writer.write(request("/read/x", request_id="second"))
        await reader.readuntil(b"0\r\n\r\n")
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 200
    assert got.headers["connection"] == "close"


@pytest.mark.parametrize("target", ["http://xn--/read/x", "http://[::1/x", "//[::1/x"])
async def test_target_that_can_not_be_understood_is_refused(target):
    """A request names a host that is none, in the form that proxies are asked in.

    The HTTP library fails on it between the reading of the head and the handler, and
    would leave the connection open and read by nobody.
    """
    async with serving(Replica("i-1", answer())) as entry:
        reader, writer = await entry.connect()
        writer.write(request(target, body=b"", method="GET"))
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status in (400, 404)


@pytest.mark.parametrize("version", ["HTTP/0.9", "HTTP/2.0"])
async def test_stream_to_a_caller_of_another_protocol(version):
    """The head names a version that has no chunks, or none in this form."""
    async with serving(engine("i-1", EngineScript(last=3))) as entry:
        reader, writer = await entry.connect()
        sent = request("/talk/x", X_Token_Count="400,9", Connection="close")
        writer.write(sent.replace(b"HTTP/1.1", version.encode(), 1))
        got = await asyncio.wait_for(reader.read(), 2)
        writer.close()
    head, _, body = got.partition(b"\r\n\r\n")
    assert b" 200 " in head.split(b"\r\n")[0]
    assert body.count(b"id:") == 3


async def test_rest_of_a_refused_body_holds_no_end_up():
    """A request was refused before its body had come, and its caller sends the rest.

    Its answer is out: the connection is idle, and closed as such.
    """
    replica = Replica("i-1", answer())
    async with serving(replica, document=config(**{"max-body-bytes": 10})) as entry:
        reader, writer = await entry.connect()
        whole = request("/order/x", body=b"x" * 1000)
        writer.write(whole[:-900])
        assert (await read_answer(reader)).status == 413
        writer.write(whole[-900:-100])
        await asyncio.sleep(0.05)
        (connection,) = entry.listening.server.connections
        assert entry.listening.is_idle(connection, asyncio.get_running_loop().time())
        writer.close()


async def test_part_of_a_head_is_forgotten_once_the_request_is_answered():
    """A head came in two parts; its connection is idle again after the answer."""
    loop = asyncio.get_running_loop()
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/read/x", body=b"x" * 100)
        for part in (whole[:60], whole[60:-50], whole[-50:]):
            writer.write(part)
            await asyncio.sleep(0.02)
            (connection,) = entry.listening.server.connections
            if part != whole[-50:]:
                assert not entry.listening.is_idle(connection, loop.time())
        assert (await read_answer(reader)).status == 200
        await asyncio.sleep(0.02)
        assert entry.listening.is_idle(connection, loop.time())
        writer.close()
