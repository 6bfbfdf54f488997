"""Orders to engines: one holder, a token each, nothing repeated too soon."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import random

import pytest

import direct_support
from bergamotmast.adapters.upstream_http import HttpUpstreamClient
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.role_planner import RolePlanner
from bergamotmast.errors import AuthorityLostError
from bergamotmast.history import NullHistory
from bergamotmast.model import Role
from bergamotmast.planner import election
from bergamotmast.planner.election import PlannerElection
from bergamotmast.planner.plan_store import PlanStore
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.platform.orders import PlatformOrders
from bergamotmast.platform.store import PlatformStore
from bergamotmast.platform.store import store_session
from bergamotmast.policy.direct_roles import MixMeter
from bergamotmast.policy.direct_roles import RoleOrder
from bergamotmast.ports import KeyValue
from direct_support import config
from direct_support import engine
from direct_support import registration
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Store
from platform_standin import reset


class OrderedEngine:
    """An engine that takes orders; ``how`` says how it answers them.

    :param orders: bodies of the orders that arrived.
    :param token: highest fencing token seen.
    """

    def __init__(self, how: str = "take") -> None:
        self.how = how
        self.orders: list[dict] = []
        self.times: list[float] = []
        self.token = 0

    async def __call__(self, replica: Replica, received: Received, writer) -> None:
        if received.target == "/report":
            report = {"sequence": len(self.orders), "busy": False, "stage": "decode"}
            self._answer(writer, 200, json.dumps(report).encode())
            return
        order = json.loads(received.body)
        self.orders.append(order)
        self.times.append(asyncio.get_running_loop().time())
        if self.how == "lose":
            reset(writer)
        elif order["fencing-token"] < self.token:
            self._answer(writer, 412)
        else:
            self.token = order["fencing-token"]
            self._answer(writer, 409 if self.how == "conflict" else 202)
        await writer.drain()

    def _answer(self, writer, status: int, body: bytes = b"") -> None:
        head = f"HTTP/1.1 {status} Word\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)


@contextlib.asynccontextmanager
async def planners(*scripts: OrderedEngine, count: int = 1, quiet: float = 0.0):
    """Yield a store, fleets and planners over engines that all make answers."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(Store())
        session = await stack.enter_async_context(store_session())
        client = await stack.enter_async_context(HttpUpstreamClient())
        replicas = [engine(f"i-{n}", script) for n, script in enumerate(scripts)]
        for replica in replicas:
            await stack.enter_async_context(replica)
        found = []
        for number in range(count):
            fleet = Fleet(PlatformDirectory(), asyncio.get_running_loop().time)
            fleet.upstreams_loaded = True
            fleet.put(KeyValue("op/config", json.dumps(config()).encode(), 1))
            for replica in replicas:
                value = json.dumps(registration(replica)).encode()
                fleet.put(KeyValue(f"servers/{replica.name}", value, 2))
            name, rng = f"entry-{number}", random.Random(number)
            adapter = PlatformStore(session, store.address, 3.0)
            found.append(
                RolePlanner(
                    name,
                    PlannerElection(
                        adapter, name, rng, 2, first_poll_spread_seconds=0.01
                    ),
                    PlanStore(
                        adapter,
                        name,
                        rng,
                        NullHistory(),
                        max_engines_per_txn=24,
                        carry_over=False,
                    ),
                    fleet,
                    RequestPlacer(fleet, name, "zone-a", rng),
                    PlatformOrders(client),
                    MixMeter(),
                    quiet,
                    rng,
                )
            )
        yield store, found


@contextlib.asynccontextmanager
async def run(planner: RolePlanner):
    task = asyncio.create_task(planner.run())
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


until = functools.partial(direct_support.until, seconds=5.0)


async def test_fleet_without_a_reading_engine_gets_one():
    """Two engines, both answering: one is ordered to read, once."""
    scripts = [OrderedEngine(), OrderedEngine()]
    async with planners(*scripts) as (store, (planner,)), run(planner):
        await until(lambda: any(script.orders for script in scripts))
        await asyncio.sleep(1.2)
    orders = [order for script in scripts for order in script.orders]
    assert len(orders) == 1
    assert orders[0] == {
        "operation": "stage",
        "stage": "prefill",
        "holder": "entry-0",
        "fencing-token": 1,
        "precondition": 0,
    }
    assert any(key.startswith("/bergamotmast/plan/engines/") for key in store.items)


async def test_order_whose_reply_is_lost_is_not_given_again():
    """The engine may carry it out seconds later: a second order would tear it."""
    scripts = [OrderedEngine("lose"), OrderedEngine("lose")]
    async with planners(*scripts) as (_, (planner,)), run(planner):
        await until(lambda: any(script.orders for script in scripts))
        await asyncio.sleep(1.2)
    assert sum(len(script.orders) for script in scripts) == 1


async def test_refused_token_is_not_used_again():
    """Another machine has given orders under a higher token: this one gives up.

    It may order again only under a new authority, whose token is higher.
    """
    scripts = [OrderedEngine(), OrderedEngine()]
    for script in scripts:
        script.token = 2
    async with planners(*scripts) as (_, (planner,)), run(planner):
        await until(lambda: any(script.orders for script in scripts))
        await asyncio.sleep(0.5)
        tokens = [o["fencing-token"] for script in scripts for o in script.orders]
    assert tokens == sorted(set(tokens))


async def test_two_candidates_never_order_under_one_token():
    """The holder is paused, its lease lapses, another takes over, the first wakes.

    Its write of the plan fails, so that it gives no order any more; the new holder's
    token is higher, and it lets the pause between two holders pass.
    """
    scripts = [OrderedEngine(), OrderedEngine()]
    async with planners(*scripts, count=2, quiet=0.6) as (store, (one, two)):
        await one.election.acquire()
        await one.store.open()
        await order_all(one)
        store.end_lease(one.election.lease)
        began = asyncio.get_running_loop().time()
        async with run(two):
            await until(lambda: any(len(script.orders) > 1 for script in scripts))
        second = min(script.times[1] for script in scripts if len(script.orders) > 1)
        assert second - began >= 0.6
        with contextlib.suppress(Exception):
            await one._tick()
        later = [order for script in scripts for order in script.orders[1:]]
    assert {order["holder"] for order in later} == {"entry-1"}
    assert {order["fencing-token"] for order in later} == {2}


async def order_all(planner: RolePlanner) -> None:
    """Give each engine an order, as an earlier holder did."""
    now = asyncio.get_running_loop().time()
    for upstream in planner.fleet.present("llm", now):
        order = RoleOrder(upstream.name, Role.PREFILL, "too few prefill engines")
        await planner._send_order(upstream, order, now)


async def test_engine_that_nobody_ordered_lately_is_ordered_at_once():
    """All answering engines leave as the holder loses the store; another takes over.

    Only an engine that had an order of the former holder needs the pause between two
    holders. Waiting for all of them, nothing was served for three seconds more.
    """
    scripts = [OrderedEngine(), OrderedEngine()]
    async with planners(*scripts, count=2, quiet=5.0) as (store, (one, two)):
        await one.election.acquire()
        await one.store.open()
        first = one.fleet.present("llm", 0.0)[0]
        await one._send_order(first, RoleOrder(first.name, Role.PREFILL, ""), 0.0)
        store.end_lease(one.election.lease)
        async with run(two):
            await until(lambda: scripts[1].orders, seconds=2.0)
    assert [order["holder"] for order in scripts[0].orders] == ["entry-0"]
    assert [order["holder"] for order in scripts[1].orders] == ["entry-1"]


async def test_role_without_an_engine_does_not_wait_for_another_order():
    """An engine is on its way to reading when the last answering ones leave.

    Nothing is answered until one answers again: the order for it is not put off until
    the change under way is over, which takes seconds where its reply is lost.
    """
    scripts = [OrderedEngine("lose"), OrderedEngine(), OrderedEngine()]
    async with planners(*scripts) as (_, (planner,)), run(planner):
        await until(lambda: scripts[0].orders)
        enter(planner.fleet, "i-1", stage="prefill")
        enter(planner.fleet, "i-2", stage="prefill")
        enter(planner.fleet, "i-0", state="draining")
        await until(lambda: scripts[1].orders or scripts[2].orders, seconds=2.0)
    orders = scripts[1].orders + scripts[2].orders
    assert [order["stage"] for order in orders] == ["decode"]


def enter(fleet: Fleet, name: str, **changes: str) -> None:
    """Change an engine's entry as it does itself."""
    replica = engine(name, None)
    replica.address = fleet.upstream_records[f"servers/{name}"].upstream.address
    value = json.dumps(registration(replica) | changes).encode()
    fleet.put(KeyValue(f"servers/{name}", value, 10))


async def test_candidate_looks_as_soon_as_the_lease_is_free():
    """The holder dies; a candidate would look at the lease in five to fifteen seconds.

    Its watch tells it that the holder's key is gone, so that it looks at once.
    """
    async with planners(OrderedEngine(), count=2) as (store, (one, two)):
        two.election.vacancy_poll_spread_seconds = 0.05
        await one.election.acquire()
        waiting = asyncio.create_task(two.election.acquire())
        await asyncio.sleep(0.1)
        store.end_lease(one.election.lease)
        assert not waiting.done()
        two.election.on_vacant()
        await asyncio.wait_for(waiting, 1.0)


async def test_candidate_does_not_read_known_holder(monkeypatch):
    """Polling by every candidate would load the store in a large fleet."""
    monkeypatch.setattr(election, "MIN_POLL_SECONDS", 0.01)
    monkeypatch.setattr(election, "MAX_POLL_SECONDS", 0.02)
    async with planners(OrderedEngine(), count=2) as (store, (one, two)):
        await one.election.acquire()
        known = True
        two.election.holder_known = lambda: known
        two.election.vacancy_poll_spread_seconds = 0.01
        store.calls.clear()
        waiting = asyncio.create_task(two.election.acquire())
        await asyncio.sleep(0.2)
        assert store.calls == []
        known = False
        store.end_lease(one.election.lease)
        two.election.on_vacant()
        await asyncio.wait_for(waiting, 1.0)


async def test_lease_freed_during_holder_read_is_retried():
    """A lost notification would delay the next attempt by a full poll interval."""
    async with planners(OrderedEngine(), count=2) as (store, (one, two)):
        await one.election.acquire()
        get = two.election.kv.get
        two.election.vacancy_poll_spread_seconds = 0.01

        async def get_then_end_lease(key):
            holder = await get(key)
            if holder is not None:
                store.end_lease(one.election.lease)
                two.election.on_vacant()
            return holder

        two.election.kv.get = get_then_end_lease
        await asyncio.wait_for(two.election.acquire(), 2.0)


async def test_plan_of_the_last_holder_is_not_taken_for_new_orders():
    """A new holder opens the plan, in which an engine was once told to read.

    The engine has started again since and answers. Entries that took the old part for
    an order under way would leave it alone for seconds.
    """
    scripts = [OrderedEngine(), OrderedEngine()]
    async with planners(*scripts, count=2) as (store, (one, two)):
        await one.election.acquire()
        await one.store.open()
        await order_all(one)
        assert any("/plan/engines/" in key for key in store.items)
        await two.store.open()
        assert not any("/plan/engines/" in key for key in store.items)
        assert len(two.store.tokens_at_open) == 2


async def test_holder_suspended_before_an_order_looks_at_the_time_anew():
    """The holder is suspended after its write of the plan, for longer than its lease.

    Another machine may have taken over and ordered elsewhere meanwhile. The holder's
    timers have not run yet when it wakes; it must not order on what it believed.
    """
    scripts = [OrderedEngine(), OrderedEngine()]
    loop = asyncio.get_running_loop()
    async with planners(*scripts) as (store, (planner,)):
        write = planner.store.write

        async def suspended(*arguments):
            await write(*arguments)
            awake = loop.time
            loop.time = lambda: awake() + 60

        await planner.election.acquire()
        await planner.store.open()
        planner.store.write = suspended
        with pytest.raises(AuthorityLostError):
            await planner._tick()
    assert not any(script.orders for script in scripts)


async def test_order_is_not_given_on_an_old_reading():
    """The store takes its time over the plan's write, within the lease.

    The engine may have restarted meanwhile and count from 0 again, so that the count
    in the order would be one of another life. It is read anew first.
    """
    scripts = [OrderedEngine(), OrderedEngine()]
    loop = asyncio.get_running_loop()
    async with planners(*scripts) as (_, (planner,)):
        planner.election.lease_seconds = 60
        await planner.election.acquire()
        await planner.store.open()
        write = planner.store.write

        async def slow(*arguments):
            await write(*arguments)
            awake = loop.time
            loop.time = lambda: awake() + 2

        planner.store.write = slow
        await planner._tick()
        assert not any(script.orders for script in scripts)
        planner.store.write = write
        await planner._tick()
    assert sum(len(script.orders) for script in scripts) == 1


async def test_lease_counts_from_before_it_was_asked_for():
    """A candidate is paused while the reply to its request for a lease comes in.

    The lease runs from the store's receipt; counted from the awakening it would be
    held after its end.
    """
    loop = asyncio.get_running_loop()
    async with planners(OrderedEngine()) as (store, (planner,)):
        service = planner.election.kv
        grant = service.grant_lease

        async def slow(seconds):
            lease = await grant(seconds)
            awake = loop.time
            loop.time = lambda: awake() + seconds
            return lease

        service.grant_lease = slow
        await planner.election.acquire()
        assert planner.election.lease
        assert not planner.election.lease_is_valid


async def test_released_lease_is_taken_by_the_next():
    scripts = [OrderedEngine("conflict"), OrderedEngine("conflict")]
    async with planners(*scripts, count=2) as (store, (one, two)):
        async with run(one):
            await until(lambda: one.election.lease > 0)
        await until(lambda: not store.leases)
        async with run(two):
            await until(lambda: two.election.lease > 0)


async def test_entry_that_ends_as_it_takes_over_leaves_no_lease_behind():
    """An entry is told to end while the reply to its takeover is on its way.

    The lease it was granted would keep the others from planning until it lapses.
    """
    async with planners(OrderedEngine()) as (store, (planner,)):
        service = planner.election.kv
        write = service.txn
        asked = asyncio.Event()

        async def slow(*arguments):
            result = await write(*arguments)
            asked.set()
            await asyncio.sleep(10)
            return result

        service.txn = slow
        async with run(planner):
            await asyncio.wait_for(asked.wait(), 5)
            assert store.leases
        assert not store.leases


@pytest.mark.parametrize("known", [True, False])
async def test_store_that_is_down_stops_orders_and_nothing_else(known):
    scripts = [OrderedEngine(), OrderedEngine()]
    async with planners(*scripts) as (store, (planner,)):
        if known:
            await planner.election.acquire()
        store.outage = 503
        async with run(planner) as task:
            await asyncio.sleep(0.6)
            assert not task.done()
    assert not any(script.orders for script in scripts)
