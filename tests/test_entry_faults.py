"""Tests of faults in background work, which must not affect running requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import resource

import pytest

from answer_support import CALLER
from answer_support import connect_soon
from answer_support import entry_before
from answer_support import send
from bergamotmast import direct_daemon
from bergamotmast.bounded_log import BoundedJsonHandler
from bergamotmast.direct import role_planner
from bergamotmast.direct.events import EventSplitter
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.presence import PRESENCE_PREFIX
from bergamotmast.direct.presence import Presence
from bergamotmast.direct.role_planner import RolePlanner
from bergamotmast.direct.store_watcher import StoreWatcher
from bergamotmast.direct_daemon import serve_direct
from bergamotmast.logs import ContextFilter
from bergamotmast.planner import election
from bergamotmast.policy import replica_count
from bergamotmast.protocol.plan import HEAD_KEY
from bergamotmast.protocol.plan import HOLDER_KEY
from bergamotmast.protocol.plan import engine_key
from bergamotmast.settings import DirectEntrySettings
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from support import free_port
from test_direct_process import Process


@pytest.mark.parametrize("part", [StoreWatcher, Presence, RolePlanner])
async def test_failure_of_a_background_task_ends_no_request(part, monkeypatch):
    """Guards against closed connections after an unexpected error in a background task.

    The process shuts down gracefully, and the running order gets its response.
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
            if part is not StoreWatcher:
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
async def entry_in_this_process(store: Store, scaling_address: str = ""):
    """Run a whole entry as a task; its end is awaited, and its errors are ignored."""
    ports = [free_port() for _ in range(3)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    settings = DirectEntrySettings(
        name="entry-1",
        zone="zone-a",
        store_address=store.address,
        store_recovery_ms=3_000,
        store_writes_per_second=400,
        listen_address=addresses[0],
        memory_mb=256.0,
        max_descriptors=0,
        ready_address=addresses[1],
        peer_address=addresses[2],
        metrics_address="",
        shutdown_seconds=8.0,
        order_pause_ms=0,
        retry_share=0.1,
        retry_free=10,
        log_level="info",
        switched_off="",
        learned_capacity="off",
        tenant_shares="off",
        contracts="",
        scaling_address=scaling_address,
        usage_address="",
        usage_window_seconds=5.0,
        usage_due_seconds=10.0,
    )
    task = asyncio.create_task(serve_direct(settings))
    try:
        yield ports[0], task
    finally:
        task.cancel()
        await asyncio.wait({task})
        task.cancelled() or task.exception()


async def test_entry_orders_replicas_by_the_load_in_replies(monkeypatch):
    """Guards against a duty that is not wired up, or hears of no load."""
    monkeypatch.setattr(replica_count, "SETTLING_SECONDS", 0.2)
    monkeypatch.setattr(replica_count, "SHORTAGE_SECONDS", 0.5)
    busy = Replica("i-1", answer(200, b"fine", "X-Server-Load: 6,3,6"))
    scaling = {"min": 1, "max": 4, "boot-s": 5}
    services = [{"name": "plain", "scaling": scaling}]
    async with Store() as store, busy, Replica("cloud", answer(200, b"")) as cloud:
        store.put("op/config", config() | {"services": services})
        store.put("servers/i-1", registration(busy))
        async with entry_in_this_process(store, cloud.address) as (port, _):
            deadline = asyncio.get_running_loop().time() + 15.0
            while not cloud.received:
                assert asyncio.get_running_loop().time() < deadline
                reader, writer = await connect_soon(port)
                writer.write(request("/order/x"))
                await asyncio.wait_for(read_answer(reader), 5)
                writer.close()
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.3)
    order = cloud.received[0]
    assert (order.method, order.target) == ("POST", "/scaling")
    assert json.loads(order.body) == {
        "service": "plain",
        "zone": "zone-a",
        "desired-count": 2,
    }
    assert order.headers["x-lease-holder"] == "entry-1"
    assert int(order.headers["x-fencing-token"]) >= 1


async def test_error_in_the_watch_does_not_end_the_entry(monkeypatch):
    """Guards against an entry that ends, or follows no change, after such an error."""
    errors = iter([RuntimeError("unforeseen"), KeyError("key"), RecursionError()])

    def failing(method):
        def call(self, *arguments):
            method(self, *arguments)
            if arguments[0] != "op/config" and (error := next(errors, None)):
                raise error

        return call

    for name in ("remove", "replace_all"):
        monkeypatch.setattr(Fleet, name, failing(getattr(Fleet, name)))
    replica, late = Replica("i-1", answer()), Replica("i-2", answer(200, b"late"))
    async with Store() as store, replica, late:
        store.put("op/config", config())
        store.put("servers/i-1", registration(replica))
        store.put("other", b"")
        async with entry_in_this_process(store) as (port, task):
            await connect_soon(port)
            await asyncio.sleep(1.5)
            store.remove("other")
            await asyncio.sleep(1.5)
            store.put("servers/i-1", registration(replica) | {"state": "draining"})
            store.put("servers/i-2", registration(late))
            await asyncio.sleep(1.0)
            assert not task.done()
            assert next(errors, None) is None
            reader, writer = await connect_soon(port)
            writer.write(request("/order/x"))
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert got.body == b"late"


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
    """Guards against a crash on a value in the store that can't be decoded.

    The value is ignored. A crash would cut off all running requests, and would repeat
    after each restart.
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


async def test_request_id_of_invalid_utf8_is_refused():
    """Guards against a log handler that fails on a request id with invalid UTF-8.

    The request is refused, and the next one on the connection gets its response.
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
async def test_invalid_datagram_address_is_ignored(address):
    """Guards against an invalid datagram address in another entry's registration.

    A host name would be resolved for every datagram, blocking the event loop. A port
    out of range would close the socket that sends the datagrams.
    """
    async with serving() as entry:
        entry.put(PRESENCE_PREFIX + "good", b"10.0.0.9:7380")
        entry.put(PRESENCE_PREFIX + "bad", b"10.0.0.8:7380")
        entry.put(PRESENCE_PREFIX + "bad", address.encode())
        assert list(entry.fleet.entries.values()) == [("10.0.0.9", 7380)]


async def test_error_in_the_planner_ends_nothing_else(monkeypatch):
    """Guards against terminating an entry on an unexpected error in the planner.

    The planner releases its lease and tries again, and requests are still served.
    """
    monkeypatch.setattr(role_planner, "TERM_PAUSE_SECONDS", (0.05, 0.05))
    monkeypatch.setattr(direct_daemon, "FIRST_POLL_SPREAD_SECONDS", 0.01)
    monkeypatch.setattr(election, "MIN_POLL_SECONDS", 0.01)
    monkeypatch.setattr(election, "MAX_POLL_SECONDS", 0.02)
    failed = []

    async def plan(self) -> None:
        failed.append(self.election.lease)
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


async def test_closed_log_pipe_ends_no_request():
    """Requests are served although the log's reader has exited and writes fail."""
    replica = Replica("i-1", answer())
    async with entry_before(replica) as (entry, _):
        entry.process._transport.get_pipe_transport(1).close()
        for _ in range(3):
            reader, writer = await send(entry, request("/order/x", **CALLER))
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert got.status == 200


async def order_alone(entry: Process):
    """Send an order on a new connection that is closed after the response."""
    reader, writer = await send(entry, request("/order/x", **CALLER))
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def descriptors_held(pid: int) -> int:
    """Return the number of a process's descriptors without short-lived connections."""
    counts = []
    for _ in range(20):
        counts.append(len(os.listdir(f"/proc/{pid}/fd")))
        await asyncio.sleep(0.05)
    return min(counts)


async def test_connections_over_the_descriptor_limit_wait_in_the_backlog():
    """Guards against losing requests at the limit of file descriptors.

    New connections wait in the backlog and are accepted once others are closed. Each
    request gets a response; an order that could not be sent is refused as not run.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica, seconds="8") as (entry, store):
        pid = entry.process.pid
        # As a watch ends, a waiting connection may take its descriptor.
        store.silent = True
        now_open = await descriptors_held(pid)
        _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (now_open + 5, hard))
        idle = [await send(entry, b"") for _ in range(5)]
        calls = [asyncio.create_task(order_alone(entry)) for _ in range(10)]
        await asyncio.sleep(0.3)
        assert not any(call.done() for call in calls)
        store.silent = False
        for _, writer in idle:
            writer.close()
        answers = await asyncio.wait_for(asyncio.gather(*calls), 20)
    assert {got.status for got in answers} <= {200, 503}
    assert len(replica.received) == sum(got.status == 200 for got in answers)


@pytest.mark.parametrize("events", [0, 2])
async def test_internal_error_is_reported_to_the_caller(events, monkeypatch):
    """An unexpected error before a response starts or in the middle of a stream.

    The caller gets a 500, or a stream that is visibly incomplete.
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
