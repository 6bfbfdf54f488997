from __future__ import annotations

import asyncio
import collections
import contextlib
import random

import pytest

from bergamotmast.checker import check
from bergamotmast.config.document import Configuration
from bergamotmast.config.document import RoleBounds
from bergamotmast.config.document import Selector
from bergamotmast.config.document import SelectorState
from bergamotmast.config.document import encode_configuration
from bergamotmast.config.holder import ConfigHolder
from bergamotmast.history import MemoryHistory
from bergamotmast.history import OrderEnded
from bergamotmast.history import OrderTaken
from bergamotmast.history import PlanWritten
from bergamotmast.model import Assignment
from bergamotmast.model import InstanceInfo
from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.model import SideReport
from bergamotmast.model import UpstreamKind
from bergamotmast.planner.convergence import CHANGE_TIMEOUT_SECONDS
from bergamotmast.planner.convergence import REISSUE_SECONDS
from bergamotmast.planner.election import PlannerElection
from bergamotmast.planner.fleet_view import TimedReport
from bergamotmast.planner.groups import RoleShift
from bergamotmast.planner.groups import bounds_allow
from bergamotmast.planner.groups import find_groups
from bergamotmast.planner.groups import find_required_shift
from bergamotmast.planner.groups import group_bounds
from bergamotmast.planner.plan_store import PlanStore
from bergamotmast.planner.planner import Planner
from bergamotmast.policy.interfaces import RoleChange
from bergamotmast.side.orders import OrderReconciler
from bergamotmast.standins.engine import EngineStandIn
from bergamotmast.standins.engine_spec import EngineSpec
from bergamotmast.standins.key_value import KeyValueStandIn
from bergamotmast.standins.weights import WeightStoreStandIn

P, D, M = Role.PREFILL, Role.DECODE, Role.MIXED
STARTUP_SECONDS = 25.0
"""Seconds within which a planner always wins the lease and adopts a fleet."""


class NoWork:
    """A side without work in flight."""

    def pause_admission(self):
        pass

    def resume_admission(self):
        pass

    async def drained(self):
        pass


class RequestedRole:
    """Shift policy that requests the role change set by the test."""

    def __init__(self):
        self.engine = ""
        self.role = M

    def decide(self, snapshot, now):
        if any(
            e.name == self.engine and e.role is not self.role for e in snapshot.engines
        ):
            return RoleChange(self.engine, self.role, "asked for")
        return None


class Fleet:
    """Engines with their sides, and the fleet view that planners get of them."""

    def __init__(self, names, honours_fencing=True):
        self.history = MemoryHistory()
        self.service = KeyValueStandIn(delay=0.002)
        self.store = WeightStoreStandIn({"m@1": 20, "m@2": 20, "a@1": 10}, 10)
        self.holder = ConfigHolder("entry-1", self.history)
        self.engines = {}
        self.reports = {}
        self.not_reporting = set()
        self.leaving_engines = set()
        self.tasks = []
        spec = EngineSpec(change_seconds=8, honours_fencing=honours_fencing)
        for name in names:
            engine = EngineStandIn(
                name,
                spec,
                assignment=Assignment(M, ("m@1",)),
                loader=self.store.load,
                history=self.history,
            )
            self.engines[name] = engine
            self.start(self.side(name, engine).run())

    def start(self, running):
        self.tasks.append(asyncio.create_task(running))
        return self.tasks[-1]

    def side(self, name, engine):
        def on_engine_state(state, readiness):
            now = asyncio.get_running_loop().time()
            held = state.assignment if state else None
            report = SideReport(
                readiness,
                held.role if held else None,
                held.models + held.adapters if held else (),
            )
            if name not in self.not_reporting:
                self.reports[name] = TimedReport(report, now)

        client = self.service.client(f"side-{name}")
        rng = random.Random(name)
        return OrderReconciler(name, engine, client, NoWork(), on_engine_state, rng)

    def planner(self, name, policy=None):
        rng = random.Random(name)
        client = self.service.client(name)
        return Planner(
            PlannerElection(client, name, rng),
            PlanStore(client, name, rng, self.history),
            self.holder,
            self,
            policy or RequestedRole(),
            self.store,
            rng,
        )

    def configure(self, generation, *selectors, labels=None):
        named = {name: {"pool": "main"} for name in self.engines}
        document = Configuration(
            generation=generation, labels=labels or named, selectors=selectors
        )
        assert self.holder.offer(encode_configuration(document))

    def instances(self):
        kind = UpstreamKind.ENGINE
        return [InstanceInfo(n, kind, "z", "s:1", "http://u") for n in self.engines]

    def leaving(self):
        return self.leaving_engines

    def last_report(self, upstream):
        return self.reports.get(upstream)

    def roles(self):
        return collections.Counter(
            e.orders.assignment.role for e in self.engines.values()
        )

    def max_concurrent_orders(self):
        under_way, most = set(), 0
        for record in self.history.records:
            if isinstance(record, OrderTaken):
                under_way.add(record.engine)
            elif isinstance(record, OrderEnded):
                under_way.discard(record.engine)
            most = max(most, len(under_way))
        return most

    def orders_taken(self):
        return [r for r in self.history.records if isinstance(r, OrderTaken)]


@contextlib.asynccontextmanager
async def fleet(count=4, **options):
    made = Fleet([f"e{i}" for i in range(count)], **options)
    yield made
    for task in made.tasks:
        assert not task.done() or task.cancelled()
        task.cancel()
    await asyncio.gather(*made.tasks, return_exceptions=True)
    assert check(made.history.records) == []


def selector(models=("m@1",), name="main", group="pool=main", **options):
    return Selector(name=name, group=group, models=models, **options)


def bounds(**named):
    return {Role(name): RoleBounds(*pair) for name, pair in named.items()}


@pytest.mark.looptime
async def test_a_fleet_that_is_as_configured_gets_no_orders():
    async with fleet() as f:
        f.configure(1, selector())
        f.start(f.planner("p1").run())
        await asyncio.sleep(60)
        assert f.orders_taken() == []


@pytest.mark.looptime
async def test_the_first_split_follows_the_bounds_one_engine_at_a_time():
    async with fleet() as f:
        f.configure(1, selector(roles=bounds(prefill=(1, 2), decode=(2, None))))
        f.start(f.planner("p1").run())
        await asyncio.sleep(STARTUP_SECONDS + 60)
        assert f.roles() == {P: 1, D: 2, M: 1}
        assert len(f.orders_taken()) == 3
        assert f.max_concurrent_orders() == 1


@pytest.mark.looptime
async def test_a_new_version_is_loaded_by_one_engine_of_a_group_at_a_time():
    async with fleet() as f:
        f.configure(1, selector())
        f.start(f.planner("p1").run())
        await asyncio.sleep(STARTUP_SECONDS)
        f.configure(2, selector(models=("m@2",), adapters=("a@1",)))
        await asyncio.sleep(60)
        held = {e.orders.assignment for e in f.engines.values()}
        assert held == {Assignment(M, ("m@2",), ("a@1",))}
        assert f.max_concurrent_orders() == 1
        assert f.store.loads == 8


@pytest.mark.looptime
async def test_groups_change_concurrently_and_share_the_weight_store():
    async with fleet() as f:
        f.store.versions["m@2"] = 200
        labels = {n: {"pool": "main" if n < "e2" else "side"} for n in f.engines}
        both = selector(), selector(name="side", group="pool=side")
        f.configure(1, *both, labels=labels)
        f.start(f.planner("p1").run())
        await asyncio.sleep(STARTUP_SECONDS)
        split = bounds(decode=(1, None))
        both = (
            selector(roles=split),
            selector(name="side", group="pool=side", roles=split),
        )
        f.configure(2, *both, labels=labels)
        await asyncio.sleep(25)
        assert f.max_concurrent_orders() == 2
        before = len(f.orders_taken())
        new = ("m@2",)
        both = selector(new), selector(new, name="side", group="pool=side")
        f.configure(3, *both, labels=labels)
        await asyncio.sleep(30)
        first, second = f.orders_taken()[before:]
        assert second.at - first.at >= 20


@pytest.mark.looptime
async def test_groups_that_share_a_selector_take_turns():
    async with fleet() as f:
        labels = {n: {"pool": "main"} for n in f.engines}
        labels["e3"] = {"pool": "main", "tier": "new"}
        wide = selector(roles=bounds(decode=(1, None)))
        f.configure(1, wide, selector((), "narrow", "tier=new"), labels=labels)
        f.start(f.planner("p1").run())
        await asyncio.sleep(STARTUP_SECONDS + 30)
        assert len(f.orders_taken()) == 1


@pytest.mark.looptime
async def test_an_engine_that_never_comes_back_blocks_its_group_until_a_timeout():
    async with fleet() as f:
        requested = RequestedRole()
        planner = f.planner("p1", requested)
        f.configure(1, selector())
        f.start(planner.run())
        await asyncio.sleep(STARTUP_SECONDS)
        f.engines["e0"].reachable = False
        await asyncio.sleep(10)
        requested.engine, requested.role = "e1", D
        await asyncio.sleep(20)
        assert f.orders_taken() == []
        await asyncio.sleep(CHANGE_TIMEOUT_SECONDS)
        assert [r.engine for r in f.orders_taken()] == ["e1"]
        planned = planner.store.plans["e0"].assignment
        requested.engine = "e0"
        await asyncio.sleep(20)
        assert planner.store.plans["e0"].assignment == planned


@pytest.mark.looptime
async def test_role_changes_of_the_policy_are_limited_by_the_bounds():
    async with fleet() as f:
        requested = RequestedRole()
        requested.engine, requested.role = "e1", D
        f.configure(1, selector(roles=bounds(decode=(0, 0))))
        f.start(f.planner("p1", requested).run())
        await asyncio.sleep(STARTUP_SECONDS + 30)
        assert f.orders_taken() == []
        f.configure(2, selector(roles=bounds(decode=(0, 1))))
        await asyncio.sleep(30)
        assert [(r.engine, r.assignment[:6]) for r in f.orders_taken()] == [
            ("e1", "decode")
        ]


@pytest.mark.looptime
@pytest.mark.parametrize("count", [1, 2])
async def test_nothing_is_changed_while_too_many_reports_are_stale(count):
    # Reports of two of four engines stop, as in a partition: the planner sees only
    # half the load and must not change roles. One missing report blocks nothing.
    async with fleet() as f:
        requested = RequestedRole()
        f.configure(1, selector())
        f.start(f.planner("p1", requested).run())
        await asyncio.sleep(STARTUP_SECONDS)
        f.not_reporting = {f"e{i}" for i in range(count)}
        await asyncio.sleep(20)
        requested.engine, requested.role = "e3", D
        await asyncio.sleep(20)
        assert len(f.orders_taken()) == (1 if count == 1 else 0)


@pytest.mark.looptime
async def test_engines_that_drain_or_leave_are_not_counted_or_changed():
    async with fleet() as f:
        labels = {n: {"pool": "main"} for n in f.engines}
        labels["e0"] = {"pool": "out"}
        drain = selector((), "out", "pool=out", state=SelectorState.DRAINING)
        f.leaving_engines = {"e1"}
        f.configure(1, selector(roles=bounds(prefill=(2, 2))), drain, labels=labels)
        f.start(f.planner("p1").run())
        await asyncio.sleep(STARTUP_SECONDS + 40)
        assert {r.engine for r in f.orders_taken()} == {"e2", "e3"}


@pytest.mark.looptime
@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_a_planner_paused_past_its_lease_changes_nothing_when_it_resumes(
    honours_fencing,
):
    # p1 is paused during a write, its lease expires and p2 plans. When p1 resumes, its
    # write reaches the service and fails its comparison, so that no engine changes.
    async with fleet(honours_fencing=honours_fencing) as f:
        requested = RequestedRole()
        first = f.planner("p1", requested)
        f.configure(1, selector())
        f.start(first.run())
        await asyncio.sleep(STARTUP_SECONDS)
        assert first.planning
        f.service.delays["p1"] = 100.0
        requested.engine, requested.role = "e1", D
        await asyncio.sleep(1.5)
        f.start(f.planner("p2").run())
        await asyncio.sleep(45)
        written = [r for r in f.history.records if isinstance(r, PlanWritten)]
        assert written[-1].writer == "p2"
        await asyncio.sleep(60)
        assert f.orders_taken() == []
        assert f.roles() == {M: 4}


@pytest.mark.looptime
async def test_two_concurrent_planners_make_one_plan():
    # Both planners believe that they hold the lease, and their policies request
    # different roles. The compare-and-swap lets one at a time write, and an engine has
    # one order at a time.
    async with fleet() as f:
        planners = []
        f.configure(1, selector())
        for name, role in (("p1", P), ("p2", D)):
            requested = RequestedRole()
            requested.engine, requested.role = "e1", role
            planner = f.planner(name, requested)

            async def always(planner=planner):
                await asyncio.sleep(planner.rng.uniform(0, 3))

            planner.election.acquire = always
            planner.election.hold = lambda: asyncio.sleep(1000)
            planners.append(f.start(planner.run()))
        await asyncio.sleep(120)
        writers = {r.writer for r in f.history.records if isinstance(r, PlanWritten)}
        assert writers == {"p1", "p2"}
        assert f.max_concurrent_orders() == 1


@pytest.mark.looptime
async def test_a_lost_reply_to_a_plan_write_causes_no_second_change():
    async with fleet() as f:
        requested = RequestedRole()
        f.configure(1, selector())
        f.start(f.planner("p1", requested).run())
        await asyncio.sleep(STARTUP_SECONDS)
        f.service.lose_next_reply("p1", 2)
        requested.engine, requested.role = "e1", D
        await asyncio.sleep(60)
        assert len(f.orders_taken()) == 1


@pytest.mark.looptime
async def test_an_outage_only_stops_changes_of_the_plan():
    # The service is down for a minute, longer than the lease. Engines keep their
    # assignments, and planning resumes by itself afterwards.
    async with fleet() as f:
        requested = RequestedRole()
        planner = f.planner("p1", requested)
        f.configure(1, selector())
        f.start(planner.run())
        await asyncio.sleep(STARTUP_SECONDS)
        f.service.down = True
        requested.engine, requested.role = "e1", D
        await asyncio.sleep(60)
        assert f.orders_taken() == []
        assert not planner.planning
        f.service.down = False
        await asyncio.sleep(60)
        assert f.roles() == {D: 1, M: 3}


@pytest.mark.looptime
async def test_a_failed_load_is_reissued_with_a_new_token():
    # The weight store fails during a load. The engine has no assignment then, and has
    # already used the order's token. The plan must be reissued with a new one.
    async with fleet() as f:
        f.configure(1, selector())
        f.start(f.planner("p1").run())
        await asyncio.sleep(STARTUP_SECONDS)
        f.configure(2, selector(models=("m@1", "m@3")))
        await asyncio.sleep(10)
        assert None in {e.orders.assignment for e in f.engines.values()}
        f.store.versions["m@3"] = 10
        await asyncio.sleep(REISSUE_SECONDS + 60)
        assert {e.orders.assignment.models for e in f.engines.values()} == {
            ("m@1", "m@3")
        }


@pytest.mark.looptime
async def test_an_engine_that_left_the_configuration_leaves_the_plan():
    async with fleet() as f:
        planner = f.planner("p1")
        f.configure(1, selector())
        f.start(planner.run())
        await asyncio.sleep(STARTUP_SECONDS)
        assert len(planner.store.plans) == 4
        f.configure(2, selector(), labels={"e0": {"pool": "main"}})
        await asyncio.sleep(3)
        assert set(planner.store.plans) == {"e0"}


@pytest.mark.parametrize(
    ("counts", "asked", "wanted"),
    [
        ({P: 0, D: 0, M: 4}, {"prefill": (1, 2)}, RoleShift(M, P)),
        ({P: 3, D: 1, M: 0}, {"prefill": (0, 2)}, RoleShift(P, M)),
        ({P: 3, D: 1, M: 0}, {"prefill": (0, 2), "mixed": (0, 0)}, RoleShift(P, D)),
        ({P: 1, D: 1, M: 2}, {"prefill": (1, 2), "decode": (1, 1)}, None),
        ({P: 1, D: 0, M: 0}, {"prefill": (1, 1), "decode": (1, 1)}, None),
    ],
)
def test_bounds_require_one_change_at_a_time(counts, asked, wanted):
    full = {role: RoleBounds() for role in Role} | bounds(**asked)
    assert find_required_shift(counts, full) == wanted


def test_bounds_of_a_selector_span_the_groups_it_names():
    wide = selector(roles=bounds(prefill=(2, 3)))
    narrow = selector(name="narrow", group="tier=new")
    document = Configuration(
        labels={
            "e1": {"pool": "main"},
            "e2": {"pool": "main"},
            "e3": {"pool": "main", "tier": "new"},
        },
        selectors=(wide, narrow),
    )
    groups = find_groups(document, document.labels)
    assert [g.engines for g in groups] == [("e1", "e2"), ("e3",)]
    roles = {"e1": P, "e2": M, "e3": P}
    left = group_bounds(groups[0], groups, roles)
    assert left[P] == RoleBounds(1, 2)
    assert not bounds_allow(RoleShift(P, M), {P: 1, D: 0, M: 1}, left)


def test_a_report_stays_fresh_for_as_long_as_the_next_one_may_take():
    # With 600 sides, each reports to a planner every 48 s. If such reports counted as
    # stale, the plan of a large fleet would never change.
    seldom = TimedReport(SideReport(Readiness.READY, Role.MIXED), 100.0, 48.0)
    often = TimedReport(SideReport(Readiness.READY, Role.MIXED), 100.0, 0.5)
    assert seldom.fresh_until > 148.0
    assert often.fresh_until == 108.0
