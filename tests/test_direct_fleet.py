"""Tests of a direct entry's configuration and upstreams, with faults of the store."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import random
import time

import pytest

import direct_support
from bergamotmast.adapters.http_calls import no_pause
from bergamotmast.adapters.http_calls import single_call_session
from bergamotmast.direct.fleet import MISSING_UPSTREAM_GRACE_SECONDS
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.model import CallKind
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.presence import PRESENCE_PREFIX
from bergamotmast.direct.presence import Presence
from bergamotmast.direct.routing import RouteTable
from bergamotmast.direct.routing import pick_group
from bergamotmast.direct.store_watcher import MAX_RETRY_DELAY_SECONDS
from bergamotmast.direct.store_watcher import OUTAGE_THRESHOLD_SECONDS
from bergamotmast.direct.store_watcher import StoreWatcher
from bergamotmast.direct.upstream_records import ROLE_CHANGE_TIMEOUT_SECONDS
from bergamotmast.errors import ConfigError
from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.errors import LeaseLapsedError
from bergamotmast.model import Assignment
from bergamotmast.model import Role
from bergamotmast.platform import store as platform_store
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.platform.store import PlatformStore
from bergamotmast.policy.entry_share import MIN_ENTRIES
from bergamotmast.policy.watch_pause import MAX_PAUSE_SECONDS
from bergamotmast.policy.watch_pause import MAX_WATCH_CALLS_PER_SECOND
from bergamotmast.policy.watch_pause import watch_pause
from bergamotmast.ports import Compare
from bergamotmast.ports import Delete
from bergamotmast.ports import KeyValue
from bergamotmast.ports import Put
from bergamotmast.protocol.plan import EnginePlan
from bergamotmast.protocol.plan import encode_record
from bergamotmast.protocol.plan import engine_key
from direct_support import config
from direct_support import engine
from direct_support import registration
from direct_support import route
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer

RECOVERY_SECONDS = 0.8
"""Watches wait 0.2 s with the slack set in :func:`_short_waits`."""


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch):
    monkeypatch.setattr(platform_store, "WATCH_SLACK_SECONDS", 0.3)


@contextlib.asynccontextmanager
async def watched_store(pause=no_pause):
    """Yield a store, a fleet that is kept up to date with it, and their adapter."""
    async with Store() as store, single_call_session() as session:
        fleet = Fleet(PlatformDirectory(), asyncio.get_running_loop().time)
        adapter = PlatformStore(session, store.address, RECOVERY_SECONDS, pause)
        task = asyncio.create_task(StoreWatcher(adapter, fleet, random.Random(1)).run())
        try:
            yield store, fleet, adapter
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


until = functools.partial(direct_support.until, seconds=3.0)


async def refuse_watches_until_read(store: Store) -> None:
    """Refuse watches as compacted until the whole store has been read again."""
    store.calls.clear()
    store.compacted = store.revision + 1
    await until(lambda: "GET /kv-range" in store.calls)
    store.compacted = 0


def names(fleet: Fleet, group: str = "plain") -> set[str]:
    now = asyncio.get_running_loop().time()
    return {upstream.name for upstream in fleet.members(group, now)}


def entry(**changes) -> dict:
    return registration(Replica("i", answer())) | {"address": "10.0.0.1:80"} | changes


async def test_entry_is_ready_with_configuration_and_upstreams():
    async with watched_store() as (store, fleet, _):
        await until(lambda: fleet.upstreams_loaded)
        assert not fleet.ready
        store.put("op/config", config())
        store.put("servers/i-1", entry())
        await until(lambda: fleet.ready and names(fleet) == {"i-1"})


async def test_full_read_makes_one_store_call():
    """Guards against exceeding the store's call limit when a whole fleet starts."""
    async with watched_store() as (store, fleet, _):
        store.page_size = 500
        store.put("op/config", config(7))
        store.put("servers/i-1", entry())
        store.put(PRESENCE_PREFIX + "entry-9", b"10.0.0.9:7380")
        await refuse_watches_until_read(store)
        await until(lambda: fleet.ready and names(fleet) == {"i-1"} and fleet.entries)
        await until(lambda: store.calls[-1] == "GET /kv-watch")
    start = store.calls.index("GET /kv-range")
    assert store.calls[start : start + 2] == ["GET /kv-range", "GET /kv-watch"]


async def test_leaving_and_removed_upstreams_are_not_members():
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config())
        for number in range(3):
            store.put(f"servers/i-{number}", entry())
        await until(lambda: names(fleet) == {"i-0", "i-1", "i-2"})
        store.put("servers/i-0", entry(state="draining"))
        store.remove("servers/i-1")
        await until(lambda: names(fleet) == {"i-2"}, seconds=0.5)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"{}",
        json.dumps(entry(state="resting")).encode(),
        json.dumps(entry(address=7)).encode(),
        json.dumps(entry(slots="many")).encode(),
        json.dumps(entry(stage="sleep")).encode(),
        json.dumps(entry(born="yesterday")).encode(),
        json.dumps({k: v for k, v in entry().items() if k != "zone"}).encode(),
    ],
)
async def test_undecodable_registration_is_ignored(value):
    """An undecodable registration is ignored and does not affect the others."""
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config())
        store.put("servers/i-1", entry())
        store.put("servers/i-2", value)
        store.put("servers/i-3", entry())
        await until(lambda: names(fleet) == {"i-1", "i-3"})


async def test_restarted_upstream_gets_a_new_load_tracker():
    """Guards against keeping the load of an upstream that restarted under its name."""
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config())
        store.put("servers/i-1", entry(born=1000))
        await until(lambda: names(fleet) == {"i-1"})
        placer = RequestPlacer(fleet, "entry-1", "zone-a", random.Random(1))
        placer.plain_load(fleet.members("plain", 0.0)[0]).running = 5
        store.put("servers/i-1", entry(born=2000))
        await until(lambda: fleet.members("plain", 0.0)[0].boot == "2000")
        assert placer.plain_load(fleet.members("plain", 0.0)[0]).running == 0
        assert len(placer.plain_loads) == 1


async def test_configuration_never_goes_back():
    """A delayed reply holds an older version than the one in force."""
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config(7))
        await until(lambda: fleet.generation == 7)
        store.put("op/config", config(5))
        store.put("servers/i-1", entry())
        await until(lambda: names(fleet) == {"i-1"})
        assert fleet.generation == 7


async def test_invalid_configuration_is_ignored():
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config(7))
        await until(lambda: fleet.generation == 7)
        store.put("op/config", b"{]")
        store.put("op/config", config(8, [route("/x/", "sometimes")]))
        store.put("op/config", config(9))
        await until(lambda: fleet.generation == 9)


async def test_outage_of_the_store_keeps_the_last_known_state():
    """While the store is down, the last configuration and members are used."""
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config(7))
        store.put("servers/i-1", entry())
        await until(lambda: names(fleet) == {"i-1"})
        store.outage = 503
        await asyncio.sleep(0.5)
        assert fleet.ready
        assert names(fleet) == {"i-1"}
        store.put("op/config", config(8))
        store.outage = 0
        await until(lambda: fleet.generation == 8, seconds=2.0)


async def test_entries_that_lapsed_in_an_outage_have_two_seconds():
    """Guards against losing the whole fleet after an outage of the store.

    Leases expire during an outage of some seconds although the replicas are alive. A
    replica that has not registered again after two seconds is removed.
    """
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config(7))
        store.put("servers/i-1", entry())
        store.put("servers/i-2", entry())
        await until(lambda: names(fleet) == {"i-1", "i-2"})
        store.outage = 503
        await asyncio.sleep(OUTAGE_THRESHOLD_SECONDS + 0.5)
        store.remove("servers/i-1")
        store.remove("servers/i-2")
        store.outage = 0
        await asyncio.sleep(0.8)
        assert names(fleet) == {"i-1", "i-2"}
        store.put("servers/i-1", entry())
        await until(
            lambda: names(fleet) == {"i-1"},
            seconds=MISSING_UPSTREAM_GRACE_SECONDS + 1.0,
        )


async def test_compacted_history_leads_to_a_full_read():
    """The store has compacted the revision that the watch would resume from (410)."""
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config(7))
        store.put("servers/i-1", entry())
        await until(lambda: names(fleet) == {"i-1"})
        store.log.clear()
        store.put("servers/i-2", entry())
        store.log.clear()
        store.remove("servers/i-1")
        store.log.clear()
        await refuse_watches_until_read(store)
        await until(lambda: names(fleet) == {"i-2"}, seconds=4.0)


async def test_watch_on_a_dead_connection_is_reopened():
    """Guards against a watch that hangs on a dead connection without a reset.

    The watch's timeout ends it, and all keys are read again.
    """
    async with watched_store() as (store, fleet, _):
        store.put("op/config", config(7))
        await until(lambda: fleet.generation == 7)
        store.silent = True
        await asyncio.sleep(0.3)
        store.put("op/config", config(8))
        await until(lambda: fleet.generation == 8, seconds=3.0)


async def test_configuration_applies_within_recovery_time_after_connections_go_silent():
    """The read after a failed watch must not wait on another dead connection."""
    async with watched_store() as (store, fleet, adapter):
        store.put("op/config", config(7))
        await until(lambda: fleet.generation == 7)
        await adapter.get("op/config")
        store.silence_connections()
        store.put("op/config", config(8))
        await until(lambda: fleet.generation == 8, seconds=RECOVERY_SECONDS)


async def test_engine_that_changes_its_role_is_not_a_member():
    """Guards against sending work to an engine that is changing its role."""
    async with watched_store() as (store, fleet, _):
        now = 0.0
        fleet.clock = lambda: now
        store.put("op/config", config())
        store.put("servers/i-1", entry(service="llm", stage="decode"))
        await until(lambda: names(fleet, "llm") == {"i-1"})
        plan = EnginePlan(1, 1, Assignment(Role.PREFILL))
        store.put(engine_key("i-1"), encode_record(plan))
        await until(lambda: fleet.members("llm", now) == [])
        assert len(fleet.present("llm", now)) == 1
        # An order that is never carried out must not exclude the engine for longer.
        assert len(fleet.members("llm", ROLE_CHANGE_TIMEOUT_SECONDS + 0.1)) == 1
        store.put("servers/i-1", entry(service="llm", stage="prefill"))
        await until(lambda: len(fleet.members("llm", now)) == 1)


async def test_entries_are_registered_under_a_lease():
    async with watched_store() as (store, fleet, adapter):
        presence = Presence(adapter, "entry-9", "10.0.0.9:7380", random.Random(1))
        task = asyncio.create_task(presence.run())
        key = PRESENCE_PREFIX + "entry-9"
        await until(lambda: fleet.entries.get(key) == ("10.0.0.9", 7380))
        task.cancel()
        store.end_lease(next(iter(store.leases)))
        await until(lambda: key not in fleet.entries)


async def test_changes_in_quick_succession_are_received_in_few_watch_calls():
    """Guards against one watch call per registration while a fleet starts."""
    pause = 0.4
    async with watched_store(lambda: pause) as (store, fleet, _):
        await until(lambda: fleet.upstreams_loaded)
        store.calls.clear()
        started_at = time.monotonic()
        for number in range(40):
            store.put(f"{PRESENCE_PREFIX}entry-{number}", b"10.0.0.9:7380")
            await asyncio.sleep(0.02)
        await until(lambda: len(fleet.entries) == 40)
        seconds = time.monotonic() - started_at
    # One call per pause, plus the initial watch and one call of margin.
    assert store.calls.count("GET /kv-watch") <= 2 + seconds / pause


@pytest.mark.parametrize("entries", [1, 5, 29, 68, 300, 1_000])
def test_watch_calls_of_a_fleet_are_bounded(entries):
    """Guards against excess watch calls in large fleets and delay in small ones."""
    pause = watch_pause(entries)
    assert entries / pause <= max(
        MAX_WATCH_CALLS_PER_SECOND, entries / MAX_PAUSE_SECONDS
    )
    assert pause <= MAX_PAUSE_SECONDS
    assert entries > 5 or pause < 0.1


async def test_removal_missed_by_watch_is_notified_on_next_full_read():
    """Without the callback, no candidate would try to acquire a lapsed lease."""
    async with watched_store() as (store, fleet, _):
        notifications = []
        fleet.on_removal["holder"] = lambda: notifications.append("gone")
        store.put("holder", b"entry-9")
        await until(lambda: "holder" in fleet.existing_keys)
        store.log.clear()
        store.remove("holder")
        store.log.clear()
        await refuse_watches_until_read(store)
        await until(lambda: notifications, seconds=4.0)
        assert notifications == ["gone"]


async def test_failing_watches_are_retried_with_backoff():
    """Guards against reads without backoff if only watches fail."""
    async with watched_store() as (store, fleet, _):
        store.compacted = 1_000_000
        await until(lambda: fleet.upstreams_loaded)
        store.calls.clear()
        seconds = 3.0
        await asyncio.sleep(seconds)
        readings = sum(call.endswith("/kv-watch") for call in store.calls)
    # A delay is drawn between zero and its maximum; the first three are shorter.
    assert readings <= 2 * (3 + 2 * seconds / MAX_RETRY_DELAY_SECONDS)


async def test_entry_whose_removal_was_missed_is_removed():
    """The removal of its key was compacted before the watch could deliver it."""
    async with watched_store() as (store, fleet, _):
        key = PRESENCE_PREFIX + "entry-9"
        store.put(key, b"10.0.0.9:7380")
        await until(lambda: key in fleet.entries)
        store.log.clear()
        store.remove(key)
        store.log.clear()
        await refuse_watches_until_read(store)
        await until(lambda: key not in fleet.entries, seconds=4.0)
        now = asyncio.get_running_loop().time()
        assert fleet.entry_share.entries(fleet.entries, now) == MIN_ENTRIES


async def test_store_reads_all_pages():
    async with watched_store() as (store, _, adapter):
        for number in range(7):
            store.put(f"many/{number}", {"n": number})
        found = await adapter.range("many/")
        assert [item.key for item in found.items] == [f"many/{n}" for n in range(7)]


async def test_store_transaction_and_its_failures():
    async with watched_store() as (store, _, adapter):
        made = await adapter.txn([Compare("k", 0)], [Put("k", b"\x00v")])
        assert made.succeeded
        read = await adapter.get("k")
        assert (read.value, read.mod_revision) == (b"\x00v", made.revision)
        assert not (await adapter.txn([Compare("k", 0)], [Put("k", b"2")])).succeeded
        assert (await adapter.txn([], [Delete("k")])).succeeded
        assert await adapter.get("k") is None
        with pytest.raises(LeaseLapsedError):
            await adapter.txn([], [Put("k", b"v", lease=99)])
        assert not await adapter.keep_alive(99)


async def test_lost_reply_to_a_write_is_of_unknown_outcome():
    """Guards against reporting a write as not done if only its reply was lost."""
    async with watched_store() as (store, _, adapter):
        store.lose_replies = 1
        with pytest.raises(KeyValueOutcomeUnknownError):
            await adapter.txn([], [Put("k", b"v")])
        assert (await adapter.get("k")).value == b"v"
        store.outage = 503
        with pytest.raises(KeyValueUnavailableError):
            await adapter.txn([], [Put("k", b"w")])


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        ("host.example", "/a/x", "a"),
        ("HOST.example:8080", "/a/x", "a"),
        ("host.example", "/a/b/x?y=/c/", "ab"),
        ("host.example", "/a/bc/", "a"),
        ("host.example", "/a", None),
        ("host.example", "/", None),
        ("host.example", "", None),
        ("other.example", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_longest_prefix_of_the_host(host, target, name):
    routes = [
        route("/a/", "safe", name="a"),
        route("/a/b/", "unsafe", name="ab"),
    ]
    value = json.dumps(config(routes=routes)).encode()
    table = RouteTable(PlatformDirectory().decode_routing(value))
    found = table.find(host, target)
    assert (found.name if found else None) == name


def test_traffic_split_matches_its_weights():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    document = config(routes=[route("/a/", "safe", **{"traffic-split": split})])
    routing = PlatformDirectory().decode_routing(json.dumps(document).encode())
    rng = random.Random(2)
    drawn = [pick_group(routing.routes[0], rng) for _ in range(2_000)]
    assert 120 < drawn.count("b") < 280


def test_kind_of_a_route_decides_whether_requests_may_be_retried():
    kinds = {"safe": True, "unsafe": False, "streaming": False}
    routes = [route(f"/{kind}/", kind) for kind in kinds]
    routes.append(route("/resumed/", "streaming", resumable=True))
    routing = PlatformDirectory().decode_routing(
        json.dumps(config(routes=routes)).encode()
    )
    assert [r.repeatable for r in routing.routes] == [True, False, False, True]
    assert routing.routes[2].kind is CallKind.STREAM


def test_unknown_fields_are_ignored():
    document = config() | {"new-field": {"deep": [1]}}
    assert PlatformDirectory().decode_routing(json.dumps(document).encode()).routes
    with pytest.raises(ConfigError):
        PlatformDirectory().decode_routing(b"nothing")


def test_outdated_registration_is_ignored():
    fleet = Fleet(PlatformDirectory(), lambda: 0.0)
    fleet.put(KeyValue("servers/i-1", json.dumps(entry(state="draining")).encode(), 9))
    fleet.put(KeyValue("servers/i-1", json.dumps(entry()).encode(), 5))
    assert fleet.members("plain", 0.0) == []
    fleet.remove("servers/i-1", 4)
    assert "servers/i-1" in fleet.upstream_records


def test_stand_in_engine_registers_as_one():
    replica = engine("i-1", answer())
    replica.address = "127.0.0.1:80"
    value = json.dumps(registration(replica)).encode()
    upstream = PlatformDirectory().decode_upstream("servers/i-1", value)
    assert upstream.role is Role.DECODE
