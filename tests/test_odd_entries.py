"""Tests of odd entries in the store, which any writer may have put there."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import json
import random
import typing as t

import msgspec
import pytest

from answer_support import CALLER
from answer_support import entry_before
from answer_support import send
from bergamotmast.adapters.connection_probe import TcpConnectionProbe
from bergamotmast.adapters.datagrams import datagram_port
from bergamotmast.adapters.upstream_http import HttpUpstreamClient
from bergamotmast.crashes.part_records import PART_CRASHES_PREFIX
from bergamotmast.crashes.part_records import PARTS_PREFIX
from bergamotmast.crashes.quarantine import Quarantine
from bergamotmast.crashes.records import CRASHES_PREFIX
from bergamotmast.crashes.trials import Trials
from bergamotmast.direct.addresses import datagram_address
from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.presence import PRESENCE_PREFIX
from bergamotmast.direct.scaling_record import SCALING_KEY
from bergamotmast.direct.store_watcher import StoreWatcher
from bergamotmast.direct.stream_build_log import STREAMS_PREFIX
from bergamotmast.direct.stream_build_log import StreamBuildLog
from bergamotmast.direct.stream_builds import StreamBuilds
from bergamotmast.direct.usage_record import USAGE_KEY
from bergamotmast.direct.usage_record import UsageRecordStore
from bergamotmast.errors import NotReachedError
from bergamotmast.platform import directory
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.protocol.plan import HEAD_KEY
from bergamotmast.protocol.plan import HOLDER_KEY
from bergamotmast.protocol.plan import engine_key
from bergamotmast.telemetry import NullTelemetry
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import serving
from memory_site import Site
from memory_site import VirtualTimeLoop
from memory_store import Store as MemoryStore
from memory_store import StoreClient
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer
from test_direct_process import process

ODD_HOSTS = ["a..b", "a" * 5000, "\u00df" * 300, "fe80::1%" + "a" * 80, "localhost"]

DEPTH = 100_000

DEEP_JSON = b'{"more":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
DEEP_MESSAGE = b"\x91" * DEPTH + b"\xc0"

DEEP_RECORDS = {
    BUILDS_KEY: b'{"groups":{},"more":' + b"[" * DEPTH,
    STREAMS_PREFIX + "entry-9/0": DEEP_MESSAGE,
    PART_CRASHES_PREFIX + "crash/entry": DEEP_JSON,
    CRASHES_PREFIX + "request/crash": DEEP_JSON,
    USAGE_KEY: DEEP_JSON,
    engine_key("i-9"): DEEP_JSON,
    "servers/i-9": DEEP_JSON,
}


@pytest.mark.parametrize("host", ODD_HOSTS, ids=lambda host: host[:10])
async def test_upstream_without_an_ip_address_fails_no_request(host, caplog):
    """Guards against requests that fail as an upstream's host can't be looked up."""
    good, bad = Replica("i-1", answer()), Replica("i-2", answer())
    first, second = (engine(name, EngineScript()) for name in ("e-1", "e-2"))
    async with serving(good, first) as entry:
        bad.address = second.address = f"{host}:1"
        entry.register(bad)
        entry.register(second)
        asked = [
            entry.ask(target, request_id=f"{target}{number}")
            for target in ("/order/x", "/read/x", "/long/x")
            for number in range(20)
        ]
        statuses = [(await each).status for each in asked]
    assert statuses == [200] * 60
    assert not [record for record in caplog.records if record.exc_info]


@pytest.mark.parametrize("host", [*ODD_HOSTS[:3], "::1:::", "["])
async def test_address_that_cannot_be_used_is_not_reached(host):
    """Guards against an unexpected error before a byte of a request is sent."""
    async with HttpUpstreamClient() as client:
        for fresh in (True, False):
            with pytest.raises(NotReachedError):
                async with client.send(
                    f"{host}:1", "GET", "/report", (), b"", fresh=fresh
                ):
                    pass
    assert not await TcpConnectionProbe().is_refused(f"{host}:1")


@pytest.mark.parametrize("host", ODD_HOSTS, ids=lambda host: host[:10])
async def test_upstream_that_cannot_be_looked_up_is_set_aside(
    host, caplog, monkeypatch
):
    """Guards against failed requests where a check of the address lets a name pass."""
    monkeypatch.setattr(directory, "check_http_address", lambda address: None)
    good, bad = Replica("i-1", answer()), Replica("i-2", answer())
    first, second = (engine(name, EngineScript()) for name in ("e-1", "e-2"))
    async with serving(good, first) as entry:
        bad.address = second.address = f"{host}:1"
        entry.register(bad)
        entry.register(second)
        assert entry.fleet.registered("i-2") and entry.fleet.registered("e-2")
        statuses = [
            (await entry.ask(target, request_id=f"{target}{number}")).status
            for target in ("/order/x", "/read/x", "/long/x")
            for number in range(20)
        ]
    assert statuses == [200] * 60
    assert not [record for record in caplog.records if record.exc_info]


ODD_ENTRIES = [b"fe80::1%\xff:7", b"fe80::1%a\x00:7", b"fe80::1%:7", b"::1:7"]


@pytest.mark.parametrize("value", ODD_ENTRIES)
async def test_odd_address_of_an_entry_does_not_close_the_socket(value):
    """Guards against an entry that hears no other one after it sent to an address."""
    async with datagram_port("127.0.0.1", 0) as port:
        address = datagram_address(value)
        if address is not None:
            port.send(b"data", address)
        assert not port.transport.is_closing()


def test_deep_datagram_is_dropped():
    """Guards against an error in the event loop for each datagram that is nested."""
    tag = msgspec.msgpack.encode("liveness")
    inbox = PeerInbox()
    inbox.receive(DEEP_MESSAGE, ("10.0.0.1", 9))
    inbox.receive(b"\x95" + tag + b"\xa1s\x80\x80" + DEEP_MESSAGE, ("10.0.0.1", 9))


@pytest.mark.parametrize("key", DEEP_RECORDS)
async def test_deep_value_does_not_keep_an_entry_from_starting(key):
    """Guards against an entry that ends at each start, as long as a value is there."""
    async with entry_before(Replica("i-1", answer())) as (_, store):
        store.put(key, DEEP_RECORDS[key])
        async with process(store, name="entry-2", seconds="1.5") as late:
            await late.until_ready()
            reader, writer = await send(late, request("/order/x", **CALLER))
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert got.status == 200
            assert late.process.returncode is None


def nested(depth: int, document: dict[str, t.Any] | None = None) -> bytes:
    """Return a JSON object with a nested field that nobody reads."""
    value = json.dumps(document or {})[:-1].encode()
    separator = b"," if document else b""
    return value + separator + b'"more":' + b"[" * depth + b"]" * depth + b"}"


ENTRY = registration(engine("i", None)) | {"address": "10.0.0.9:80"}

ODD_VALUES = [
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"[]",
    b"7",
    b'"\\ud800"',
    b"9" * 5_000,
    b"1e400",
    b"\x91" * 50_000 + b"\xc0",
    b"\xdf\xff\xff\xff\xff",
    b"x" * 400_000,
    b"10.0.0.1:" + b"9" * 5_000,
    b"fe80::1%\xff:9",
    *(nested(depth) for depth in (500, 1_000, 100_000)),
    *(nested(depth, ENTRY) for depth in (500, 1_000, 100_000)),
    *(nested(depth, config(9)) for depth in (500, 100_000)),
    *(
        json.dumps(ENTRY | {name: value}).encode()
        for name, value in [
            ("address", "a..b:80"),
            ("address", "a" * 5_000 + ":80"),
            ("address", "10.0.0.1:70000"),
            ("slots", 10**30),
            ("slots", -1),
            ("born", 10**400),
            ("born", 1.5),
            ("version", [[[1]]]),
            ("version", "v" * 5_000),
            ("zone", "\x00"),
            ("service", "\u2028" * 2_000),
            ("stage", "decode\n"),
        ]
    ),
    b'{"groups":{"llm":[1]}}',
    b'{"groups":{"llm":null},"era":1e30}',
    b'{"groups":{"\\ud800":[]}}',
    b'{"groups":{},"era":-5}',
    b'{"last_window":1e400}',
    b'{"windows":{"x":{}}}',
    msgspec.msgpack.encode({"llm": {"v1": b"odd"}}),
    msgspec.msgpack.encode({"llm": {"v1": 7}}),
]

KEYS = [
    "op/config",
    "op/other",
    "servers/i-9",
    "servers/",
    "servers/\ud7ff/%2f",
    BUILDS_KEY,
    BUILDS_KEY + "-old",
    STREAMS_PREFIX + "entry-9/0",
    STREAMS_PREFIX,
    PRESENCE_PREFIX + "entry-9",
    PRESENCE_PREFIX,
    PART_CRASHES_PREFIX + "crash/entry",
    PARTS_PREFIX + "answers/part/crash",
    PARTS_PREFIX,
    CRASHES_PREFIX + "request/crash",
    CRASHES_PREFIX + "a/b/c",
    USAGE_KEY,
    SCALING_KEY,
    HEAD_KEY,
    HOLDER_KEY,
    engine_key("i-9"),
    engine_key(""),
    "other",
]


class Follower:
    """An entry's fleet and all its listeners, which follow a store in memory."""

    def __init__(self, loop: VirtualTimeLoop, store: MemoryStore) -> None:
        rng = random.Random(7)
        client = StoreClient(store, "entry-0")
        self.fleet = fleet = Fleet(PlatformDirectory(), loop.time, PRESENCE_PREFIX)
        quarantine = Quarantine("entry-0", NullTelemetry(), rng, Trials("entry-0"))
        fleet.on_removal[HOLDER_KEY] = lambda: None
        fleet.listeners |= {
            CRASHES_PREFIX: quarantine.records,
            PARTS_PREFIX: quarantine.parts.records,
            USAGE_KEY: UsageRecordStore(client, rng, client.restores),
        }
        streams = StreamBuilds(fleet)
        streams.stored = StreamBuildLog(
            client, streams, f"{STREAMS_PREFIX}entry-0/0", 400.0, dict
        )
        fleet.listeners[STREAMS_PREFIX] = streams.stored
        self.streams = streams
        watcher = StoreWatcher(client, fleet, rng)
        client.restores.on_restored.append(watcher.on_restored)
        self.task = loop.create_task(watcher.run())

    def look_up_streams(self) -> None:
        """Decode what is decoded only as a caller resumes a stream."""
        self.streams.stored.find(1)
        self.streams.stored.builds("llm")

    def follows(self, name: str) -> bool:
        assert not self.task.done()
        self.look_up_streams()
        known = self.fleet.registered(name)
        return known is not None and self.fleet.in_sync


@contextlib.contextmanager
def memory_store() -> cabc.Iterator[tuple[VirtualTimeLoop, MemoryStore]]:
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    store = MemoryStore(loop)
    store.put("op/config", config())
    tasks: list[asyncio.Task[None]] = []
    try:
        yield loop, store
    finally:
        tasks = list(asyncio.all_tasks(loop))
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()


@pytest.mark.parametrize("key", KEYS)
def test_entry_follows_the_store_beside_odd_values(key, caplog):
    """Guards against a value that ends the watch, or that a start does not survive."""
    with memory_store() as (loop, store):
        running = Follower(loop, store)
        loop.run_until_complete(asyncio.sleep(1.0))
        for number, value in enumerate(ODD_VALUES):
            store.put(key, value)
            starting = Follower(loop, store)
            loop.run_until_complete(asyncio.sleep(0.5))
            name = f"i-{number + 10}"
            store.put(f"servers/{name}", ENTRY | {"address": f"10.1.0.{number}:80"})
            loop.run_until_complete(asyncio.sleep(0.5))
            assert running.follows(name) and starting.follows(name)
            assert running.fleet.ready
            assert starting.fleet.ready or key == "op/config"
            if number % 3 == 0:
                store.remove(key)
            if number % 5 == 0:
                store.restore(store.contents)
            starting.task.cancel()
        loop.run_until_complete(asyncio.sleep(1.0))
    assert not [record.message for record in caplog.records if record.exc_info]


@pytest.mark.parametrize("key", [BUILDS_KEY + "-old", BUILDS_KEY + "/x"])
def test_key_with_a_longer_name_is_no_record(key):
    """Guards against the value of another key, taken for that of the record."""
    with memory_store() as (loop, store):
        entry = Follower(loop, store)
        store.put(BUILDS_KEY, {"groups": {"llm": ["v1"]}, "era": 0})
        store.put(key, {"groups": {"llm": ["v2"]}, "era": 0})
        late = Follower(loop, store)
        loop.run_until_complete(asyncio.sleep(1.0))
        for each in (entry, late):
            recorded = each.fleet.build_history.recorded_builds("llm")
            assert recorded == {"v1"}
        store.remove(key)
        loop.run_until_complete(asyncio.sleep(1.0))
        assert entry.fleet.build_history.recorded_builds("llm") == {"v1"}


@pytest.mark.parametrize("number", [2**63, 10**30, 10**400], ids=range(3))
def test_large_number_in_the_record_of_builds_ends_no_entry(number):
    """Guards against a number that an entry can't write again after it was read."""
    site = Site(2, "v1")
    try:
        site.store.put(BUILDS_KEY, {"groups": {"llm": ["v1"]}, "era": number})
        site.add_build("v2")
        site.start("entry-1")
        site.run(3.0)
        site.kill(["entry-1"])
        site.start("entry-1")
        site.run(3.0)
        for entry in site.entries.values():
            assert not [task for task in entry.tasks if task.done()]
            assert entry.fleet.in_sync
    finally:
        site.close()
