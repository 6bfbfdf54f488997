from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from bergamotmast.adapters.memory import MemoryNetwork
from bergamotmast.checker import check
from bergamotmast.errors import OrderRefusedError
from bergamotmast.errors import ReplyLostError
from bergamotmast.history import MemoryHistory
from bergamotmast.history import OrderEnded
from bergamotmast.history import OrderTaken
from bergamotmast.model import Assignment
from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.planner.plan_store import PlanStore
from bergamotmast.protocol.plan import EnginePlan
from bergamotmast.protocol.plan import encode_record
from bergamotmast.protocol.plan import engine_key
from bergamotmast.side.order_states import OrderState
from bergamotmast.side.orders import MAX_ORDER_DELIVERY_SECONDS
from bergamotmast.side.orders import OrderReconciler
from bergamotmast.side.orders import needs_drain
from bergamotmast.standins.engine import EngineStandIn
from bergamotmast.standins.engine_spec import EngineSpec
from bergamotmast.standins.key_value import KeyValueStandIn

CHANGE_SECONDS = 8.0
SETTLE_SECONDS = MAX_ORDER_DELIVERY_SECONDS + 1.5
MIXED = Assignment(Role.MIXED, ("model@1",))
PREFILL = Assignment(Role.PREFILL, ("model@1",))
DECODE = Assignment(Role.DECODE, ("model@1",))
MORE = Assignment(Role.MIXED, ("model@1", "other@1"))

pytestmark = pytest.mark.looptime


class FakeWorkload:
    """A workload whose admission and idleness the test controls."""

    def __init__(self):
        self.open = True
        self.idle = asyncio.Event()
        self.idle.set()

    def pause_admission(self):
        self.open = False

    def resume_admission(self):
        self.open = True

    async def drained(self):
        await self.idle.wait()


class DelayingEngine:
    """An engine whose orders are delayed in a socket until a gate opens."""

    def __init__(self, engine):
        self.engine = engine
        self.state = engine.state
        self.gate = asyncio.Event()
        self.refused = 0
        self.held = []

    async def order(self, order):
        held = asyncio.create_task(self.deliver(order))
        self.held.append(held)
        await asyncio.shield(held)

    async def deliver(self, order):
        await self.gate.wait()
        try:
            await self.engine.order(order)
        except OrderRefusedError:
            self.refused += 1


class OrderHarness:
    """One engine with its plan, and any number of sides that reconcile it."""

    def __init__(self, honours_fencing=True):
        self.history = MemoryHistory()
        self.service = KeyValueStandIn(delay=0.002)
        spec = EngineSpec(
            change_seconds=CHANGE_SECONDS, honours_fencing=honours_fencing
        )

        async def load(version):
            await asyncio.sleep(5)

        self.engine = EngineStandIn(
            "e1", spec, assignment=MIXED, history=self.history, loader=load
        )
        self.network = MemoryNetwork()
        self.tasks = []
        self.planner = self.new_planner("planner-1")

    def new_planner(self, name):
        client = self.service.client(name)
        return PlanStore(client, name, random.Random(name), self.history)

    async def plan(self, assignment):
        if self.planner.head is None:
            await self.planner.open()
        await self.planner.write({"e1": assignment})

    def side(self, engine=None):
        """Start a side as its process does: bind the address, then reconcile."""
        listener = self.network.listen("side:1")
        work = FakeWorkload()
        seen = []
        reconciler = OrderReconciler(
            "e1",
            engine or self.engine,
            self.service.client("side"),
            work,
            lambda state, readiness: seen.append(readiness),
            random.Random(7),
        )
        reconciler.work = work
        reconciler.seen = seen
        reconciler.listener = listener
        reconciler.task = asyncio.create_task(reconciler.run())
        self.tasks.append(reconciler.task)
        return reconciler

    async def kill(self, reconciler):
        reconciler.task.cancel()
        await asyncio.gather(reconciler.task, return_exceptions=True)
        reconciler.listener.close()

    def taken(self):
        return [r.assignment for r in self.history.records if type(r) is OrderTaken]

    def violations(self):
        return check(self.history.records)


@contextlib.asynccontextmanager
async def order_harness(**options):
    harness = OrderHarness(**options)
    yield harness
    for task in harness.tasks:
        assert not task.done() or task.cancelled()
        task.cancel()
    await asyncio.gather(*harness.tasks, return_exceptions=True)
    assert harness.violations() == []


async def test_without_a_plan_an_engine_serves_as_it_is():
    async with order_harness() as b:
        side = b.side()
        await asyncio.sleep(0.5)
        assert side.readiness is Readiness.UNKNOWN
        assert not side.work.open
        await asyncio.sleep(SETTLE_SECONDS)
        assert side.readiness is Readiness.READY
        assert side.work.open
        assert b.taken() == []


async def test_a_role_change_waits_for_work_in_flight_and_closes_admission():
    # The plan moves a busy engine to prefill. No new work starts, running work ends,
    # and only then is the order given.
    async with order_harness() as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        side.work.idle.clear()
        await b.plan(PREFILL)
        await asyncio.sleep(60)
        assert side.state is OrderState.DRAINING
        assert not side.work.open
        assert b.taken() == []
        side.work.idle.set()
        await asyncio.sleep(1)
        assert side.readiness is Readiness.CHANGING
        await asyncio.sleep(CHANGE_SECONDS + 1.5)
        assert side.readiness is Readiness.READY
        assert side.work.open
        assert side.engine_state.assignment == PREFILL


async def test_a_plan_that_goes_back_during_a_drain_ends_the_drain():
    async with order_harness() as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        side.work.idle.clear()
        await b.plan(PREFILL)
        await asyncio.sleep(2)
        await b.plan(MIXED)
        await asyncio.sleep(2)
        assert side.readiness is Readiness.READY
        assert b.taken() == []


async def test_another_model_is_loaded_without_draining():
    async with order_harness() as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        side.work.idle.clear()
        side.seen.clear()
        await b.plan(MORE)
        await asyncio.sleep(8)
        assert set(side.seen) == {Readiness.READY}
        assert side.engine_state.assignment == MORE


@pytest.mark.parametrize(
    ("present", "wanted", "drains"),
    [
        (MIXED, PREFILL, True),
        (MIXED, MORE, False),
        (MORE, MIXED, True),
        (None, MIXED, True),
    ],
)
async def test_change_needs_a_drain_only_if_it_takes_something_away(
    present, wanted, drains
):
    assert needs_drain(present, wanted) is drains


@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_a_plan_that_comes_during_a_change_waits_for_its_end(honours_fencing):
    # Two plans follow each other faster than a change. The engine must never hold both
    # orders; the newer one is given once the first is carried out.
    async with order_harness(honours_fencing=honours_fencing) as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        await b.plan(PREFILL)
        await asyncio.sleep(2)
        await b.plan(DECODE)
        await asyncio.sleep(3 * CHANGE_SECONDS)
        kinds = [type(r) for r in b.history.records if type(r).__name__[:5] == "Order"]
        assert kinds == [OrderTaken, OrderEnded, OrderTaken, OrderEnded]
        assert side.engine_state.assignment == DECODE


@pytest.mark.parametrize("honours_fencing", [True, False])
@pytest.mark.parametrize("change_done", [True, False])
@pytest.mark.parametrize("incomplete", [True, False])
@pytest.mark.parametrize("seconds", [1, 4])
async def test_a_crash_in_mid_change(honours_fencing, change_done, incomplete, seconds):
    # The engine crashes during a change and is back within a second, with the change
    # done, not done, or with an incomplete state. It must not get work until its state
    # has been read and matches the plan, although no call may have failed.
    async with order_harness(honours_fencing=honours_fencing) as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        await b.plan(PREFILL)
        await asyncio.sleep(seconds)
        assert side.readiness is Readiness.CHANGING
        side.seen.clear()
        b.engine.crash(change_done=change_done, incomplete=incomplete)
        b.engine.restart()
        await asyncio.sleep(3 * CHANGE_SECONDS)
        assert side.readiness is Readiness.READY
        assert side.engine_state.assignment == PREFILL
        first_ready = side.seen.index(Readiness.READY)
        assert set(side.seen[first_ready:]) == {Readiness.READY}
        assert len(b.taken()) == (1 if change_done and not incomplete else 2)


@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_an_order_whose_reply_is_lost_is_not_given_again(honours_fencing):
    # The engine accepts the order and the reply is lost. The side reads the engine's
    # state, sees that it is changing and waits.
    async with order_harness(honours_fencing=honours_fencing) as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        b.engine.lost_order_replies = 1
        await b.plan(PREFILL)
        await asyncio.sleep(2 * CHANGE_SECONDS)
        assert len(b.taken()) == 1
        assert side.readiness is Readiness.READY


async def test_newer_order_waits_until_a_delayed_one_is_delivered():
    # An order is delayed in a socket, its reply times out, and the plan changes. An
    # engine without fencing would accept both, so the side holds the newer one back
    # until the older one has arrived or can't arrive any more.
    async with order_harness(honours_fencing=False) as b:
        delaying = DelayingEngine(b.engine)
        side = b.side(delaying)
        await asyncio.sleep(SETTLE_SECONDS)
        await b.plan(PREFILL)
        await asyncio.sleep(5.5)
        assert side.state is OrderState.ORDERING
        await b.plan(DECODE)
        await asyncio.sleep(MAX_ORDER_DELIVERY_SECONDS - 1)
        delaying.gate.set()
        await asyncio.sleep(4 * CHANGE_SECONDS)
        assert len(b.taken()) == 2
        assert side.engine_state.assignment == DECODE


async def test_a_lost_order_that_never_arrived_is_given_again():
    async with order_harness() as b:
        losses = []

        class ReplyLosingEngine(DelayingEngine):
            async def order(self, order):
                if not losses:
                    losses.append(order)
                    raise ReplyLostError("the connection broke")
                await self.engine.order(order)

        side = b.side(ReplyLosingEngine(b.engine))
        await asyncio.sleep(SETTLE_SECONDS)
        await b.plan(PREFILL)
        await asyncio.sleep(2 * CHANGE_SECONDS)
        assert len(b.taken()) == 1
        assert side.readiness is Readiness.READY


async def test_two_sides_at_an_engine_that_honours_fencing():
    # The old side is suspended while it sends an order. It has lost its address, so a
    # new side runs and follows a newer plan. The engine refuses the old order by its
    # fencing token.
    async with order_harness() as b:
        delaying = DelayingEngine(b.engine)
        old = b.side(delaying)
        await asyncio.sleep(SETTLE_SECONDS)
        await b.plan(PREFILL)
        await asyncio.sleep(1)
        old.listener.close()
        new = b.side()
        await b.plan(DECODE)
        await asyncio.sleep(SETTLE_SECONDS + CHANGE_SECONDS + 2)
        assert new.engine_state.assignment == DECODE
        await b.kill(old)
        delaying.gate.set()
        await asyncio.sleep(2 * CHANGE_SECONDS)
        assert delaying.refused
        assert len(b.taken()) == 1
        assert new.readiness is Readiness.READY


async def test_two_sides_at_an_engine_that_ignores_fencing():
    # The suspended side still holds its address, so a new one can't start beside it.
    # Once the old one is killed, its last order arrives within the delivery time: the
    # new side sees the engine change, and gives its own order only after that.
    async with order_harness(honours_fencing=False) as b:
        delaying = DelayingEngine(b.engine)
        old = b.side(delaying)
        await asyncio.sleep(SETTLE_SECONDS)
        await b.plan(PREFILL)
        await asyncio.sleep(1)
        await b.plan(DECODE)
        with pytest.raises(OSError):
            b.side()
        await b.kill(old)
        new = b.side()
        await asyncio.sleep(MAX_ORDER_DELIVERY_SECONDS - 1)
        assert b.taken() == []
        delaying.gate.set()
        await asyncio.sleep(3 * CHANGE_SECONDS)
        assert len(b.taken()) == 2
        assert new.engine_state.assignment == DECODE


@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_side_with_a_silent_watch_confirms_the_plan_before_ordering(
    honours_fencing,
):
    # The side's watch reports nothing while a new planner replaces the plan. When the
    # drain ends, the side must not give the order of the planner that was replaced.
    async with order_harness(honours_fencing=honours_fencing) as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        side.work.idle.clear()
        await b.plan(PREFILL)
        await asyncio.sleep(2)
        b.service.silence_watches("side")
        b.planner = b.new_planner("planner-2")
        await b.plan(DECODE)
        side.work.idle.set()
        await asyncio.sleep(2 * CHANGE_SECONDS)
        assert len(b.taken()) == 1
        assert side.engine_state.assignment == DECODE


async def test_the_key_value_service_down_during_a_change_and_back():
    # The last plan stays in force: the change ends, an engine that crashes during the
    # outage is brought to the plan again, and a newer plan is followed after it.
    async with order_harness() as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        await b.plan(PREFILL)
        await asyncio.sleep(2)
        b.service.down = True
        await asyncio.sleep(CHANGE_SECONDS + 1)
        assert side.engine_state.assignment == PREFILL
        b.engine.crash(incomplete=True)
        b.engine.restart()
        await asyncio.sleep(3 * CHANGE_SECONDS)
        assert side.engine_state.assignment == PREFILL
        assert side.readiness is Readiness.READY
        b.service.down = False
        await b.plan(DECODE)
        await asyncio.sleep(3 * CHANGE_SECONDS)
        assert side.engine_state.assignment == DECODE


@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_older_plan_after_a_restore_changes_nothing(honours_fencing):
    # The key-value service is restored from a backup and its watch shows an older plan.
    # The side does not return the engine to it, nor does a new side if the engine
    # stores the fencing token.
    async with order_harness(honours_fencing=honours_fencing) as b:
        side = b.side()
        await b.plan(DECODE)
        await asyncio.sleep(SETTLE_SECONDS + CHANGE_SECONDS + 1)
        backup = b.service.snapshot()
        await b.plan(PREFILL)
        await asyncio.sleep(CHANGE_SECONDS + 3)
        b.service.restore(backup)
        await asyncio.sleep(20)
        if honours_fencing:
            await b.kill(side)
            side = b.side()
        await asyncio.sleep(20)
        assert len(b.taken()) == 2
        assert side.engine_state.assignment == PREFILL
        assert side.readiness is Readiness.READY


async def test_older_plan_changes_nothing_though_side_and_engine_were_replaced():
    # The key-value service is restored with an older plan, and neither the engine,
    # which stores no token, nor its new side remembers the later one. The entries
    # report the token that the earlier side obeyed, so the older plan is not followed.
    async with order_harness(honours_fencing=False) as b:
        first = b.side()
        await b.plan(DECODE)
        await asyncio.sleep(SETTLE_SECONDS + CHANGE_SECONDS + 1)
        backup = b.service.snapshot()
        await b.plan(PREFILL)
        await asyncio.sleep(CHANGE_SECONDS + 3)
        obeyed = first.token
        await b.kill(first)
        b.service.restore(backup)
        second = b.side()
        second.plan_seen = lambda: obeyed
        await asyncio.sleep(20)
        assert second.token < obeyed
        assert second.engine_state.assignment == PREFILL
        assert len(b.taken()) == 2


async def test_unreachable_engine_is_unknown_after_failed_reads():
    async with order_harness() as b:
        side = b.side()
        await asyncio.sleep(SETTLE_SECONDS)
        b.engine.reachable = False
        await asyncio.sleep(1.5)
        assert side.readiness is Readiness.READY
        await asyncio.sleep(3)
        assert side.readiness is Readiness.UNKNOWN
        assert not side.work.open
        b.engine.reachable = True
        await asyncio.sleep(1.5)
        assert side.readiness is Readiness.READY


async def test_invalid_and_older_plans_are_ignored():
    async with order_harness() as b:
        side = b.side()
        side.offer_plan(b"{")
        assert side.plan is None
        side.offer_plan(encode_record(EnginePlan(3, 4, MIXED)))
        side.offer_plan(encode_record(EnginePlan(3, 3, PREFILL)))
        side.offer_plan(encode_record(EnginePlan(2, 9, PREFILL)))
        assert side.plan.assignment == MIXED


async def test_plans_of_other_engines_are_ignored():
    async with order_harness() as b:
        side = b.side()
        await b.planner.open()
        await b.planner.write({"e10": PREFILL})
        await asyncio.sleep(SETTLE_SECONDS)
        assert side.plan is None
        assert engine_key("e10") in b.service.store.items
