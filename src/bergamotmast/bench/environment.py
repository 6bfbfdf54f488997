"""Simulated deployment in one process: real entries, sides and planner.

Only what lies behind the ports is simulated: engines, plain services, the instance
list, the key-value service and the network between processes.
"""

from __future__ import annotations

import asyncio
import random
import typing as t

from ..adapters.memory import MemoryNetwork
from ..config.document import Configuration
from ..config.document import Match
from ..config.document import RequestClass
from ..config.document import Route
from ..config.document import Selector
from ..config.document import Tenant
from ..config.document import encode_configuration
from ..config.holder import ConfigHolder
from ..entry.core import EntryCore
from ..errors import RequestError
from ..errors import ResultCode
from ..history import MemoryHistory
from ..model import Assignment
from ..model import InstanceInfo
from ..model import Priority
from ..model import Readiness
from ..model import Role
from ..model import ServiceAnswer
from ..model import ServiceCall
from ..model import UpstreamKind
from ..planner.election import PlannerElection
from ..planner.fleet_view import TimedReport
from ..planner.plan_store import PlanStore
from ..planner.planner import Planner
from ..policy.presets import PolicySet
from ..side.core import SideCore
from ..side.orders import OrderReconciler
from ..side.runners import EngineRunner
from ..side.runners import ServiceRunner
from ..standins.engine import EngineStandIn
from ..standins.key_value import KeyValueStandIn
from ..standins.kv_exchange import KvExchange
from ..standins.weights import WeightStoreStandIn
from .faults import Fault
from .faults import FaultKind
from .fleet import Fleet
from .fleet import FleetUpstream
from .trace import TraceRequest

ROUTE = "calls"
"""Name of the only route of plain services."""

SETTLE_SECONDS = 20.0
"""Time before the trace starts, in which sessions open and the planner starts."""

KIND_LABEL = "bench-kind"
"""Label by which the generated selectors distinguish engines and plain services."""

DEFAULT_MODEL = "model"


class FakeInstanceList:
    """Instance list of the platform that can mark upstreams as leaving."""

    def __init__(self, instances: list[InstanceInfo]) -> None:
        self.listed = {info.name: info for info in instances}

    async def instances(self) -> tuple[InstanceInfo, ...]:
        """Return all instances."""
        return tuple(self.listed.values())

    def withdraw(self, name: str) -> None:
        """Mark an upstream as leaving."""
        info = self.listed[name]
        self.listed[name] = InstanceInfo(
            info.name,
            info.kind,
            info.zone,
            info.side_address,
            info.upstream_url,
            leaving=True,
        )


class FakePlainService:
    """Plain service with a constant service time and limited concurrency."""

    def __init__(self, upstream: FleetUpstream) -> None:
        self.seconds = upstream.call_seconds
        self.slots = asyncio.Semaphore(upstream.max_calls)
        self.calls = 0

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Execute one call once a slot is free."""
        async with self.slots:
            self.calls += 1
            await asyncio.sleep(self.seconds)
        return ServiceAnswer(200, b"", "text/plain")

    async def is_refused(self) -> bool:
        """Return ``False``: the service never crashes."""
        return False


class EntryView:
    """The planner's view of the fleet, from the sessions of the entry it runs in."""

    def __init__(self, entry: EntryCore) -> None:
        self.entry = entry

    def instances(self) -> list[InstanceInfo]:
        """Return the instances of the last instance list."""
        return list(self.entry.membership.infos.values())

    def leaving(self) -> frozenset[str]:
        """Return the upstreams that any source marks as leaving."""
        membership = self.entry.membership
        return frozenset(n for n in membership.infos if membership.is_leaving(n))

    def last_report(self, upstream: str) -> TimedReport | None:
        """Return the last report of a side, with the time of its receipt."""
        peer = self.entry.membership.peers.get(upstream)
        if peer is None or peer.report is None:
            return None
        return TimedReport(peer.report, peer.reported_at)


class NoClaims:
    """Claim service that refuses all claims; calls of a trace carry no key."""

    async def claim(self, key: str, digest: bytes) -> ServiceAnswer | None:
        """Refuse the claim."""
        raise RequestError(ResultCode.CLAIM_UNAVAILABLE)

    async def complete(self, key: str, answer: ServiceAnswer) -> None:
        """Keep nothing."""

    async def release(self, key: str) -> None:
        """Keep nothing."""


class BenchEnvironment:
    """Simulated deployment that runs while its context is open.

    :param fleet: upstreams and entries.
    :param policy_set: policies of all processes.
    :param requests: trace for which the configuration is made.
    :param seed: seed of all random sources.
    """

    def __init__(
        self,
        fleet: Fleet,
        policy_set: PolicySet,
        requests: tuple[TraceRequest, ...],
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.policy_set = policy_set
        self.seed = seed
        self.history = MemoryHistory()
        self.network = MemoryNetwork()
        self.kv = KeyValueStandIn(delay=0.002)
        self.exchange = KvExchange()
        self.configuration = configuration_for(fleet, requests)
        self.document = encode_configuration(self.configuration)
        self.instance_list = FakeInstanceList(
            [instance_info(upstream) for upstream in fleet.upstreams]
        )
        self.engines: dict[str, EngineStandIn] = {}
        self.sides: dict[str, SideCore] = {}
        self.entries: list[EntryCore] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> BenchEnvironment:
        first_roles = self.policy_set.first_roles(len(self.fleet.engines()))
        for upstream, role in zip(self.fleet.engines(), first_roles, strict=True):
            self._start_engine(upstream, role)
        for upstream in self.fleet.services():
            runner = ServiceRunner(FakePlainService(upstream))
            side = self._start_side(upstream, runner)
            side.policy.configure(upstream.max_calls, 1, 1e6, 1e6, None)
            side.on_engine_state(None, Readiness.READY)
        for index in range(self.fleet.entries):
            self._start_entry(index)
        self._start_planner()
        await asyncio.sleep(SETTLE_SECONDS)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def rng(self, purpose: str) -> random.Random:
        """Return a random source that is independent for each purpose."""
        return random.Random(f"{self.seed} {purpose}")

    def _spawn(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _holder(self, process: str) -> ConfigHolder:
        holder = ConfigHolder(process, self.history)
        holder.offer(self.document)
        return holder

    def _start_engine(self, upstream: FleetUpstream, role: Role) -> None:
        models, adapters = models_and_adapters(self.configuration)
        engine = EngineStandIn(
            upstream.name,
            self.fleet.spec(upstream),
            assignment=Assignment(role, models, adapters),
            exchange=self.exchange,
            history=self.history,
        )
        self.engines[upstream.name] = engine
        side = self._start_side(upstream, EngineRunner(engine))
        reconciler = OrderReconciler(
            upstream.name,
            engine,
            self.kv.client(f"side-{upstream.name}"),
            side,
            side.on_engine_state,
            self.rng(f"orders {upstream.name}"),
        )
        self._spawn(reconciler.run())

    def _start_side(
        self, upstream: FleetUpstream, runner: EngineRunner | ServiceRunner
    ) -> SideCore:
        side = SideCore(
            upstream.name,
            self.network.listen(upstream.name),
            runner,
            self.policy_set.side_policy(),
            self._holder(f"side-{upstream.name}"),
            self.history,
            f"side-{upstream.name}",
        )
        self.sides[upstream.name] = side
        self._spawn(side.run())
        return side

    def _start_entry(self, index: int) -> None:
        name = f"entry-{index}"
        zone = self.fleet.zones[index % len(self.fleet.zones)]
        entry = EntryCore(
            name,
            zone,
            name,
            self.network,
            self.instance_list,
            self.policy_set.entry_policy(self.rng(f"policy {name}"), zone),
            self._holder(name),
            NoClaims(),
            self.rng(f"jitter {name}"),
        )
        self.entries.append(entry)
        self._spawn(entry.run())

    def _start_planner(self) -> None:
        """Run the planner beside the first entry."""
        client = self.kv.client("planner")
        rng = self.rng("planner")
        entry = self.entries[0]
        planner = Planner(
            PlannerElection(client, "planner", rng),
            PlanStore(client, "planner", rng, self.history),
            entry.holder,
            EntryView(entry),
            self.policy_set.shift_policy(),
            WeightStoreStandIn(),
            rng,
        )
        self._spawn(planner.run())

    # Faults

    async def inject(self, fault: Fault, origin: float) -> None:
        """Inject a fault at its start and undo it at its end.

        :param origin: loop time at the start of the trace.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(origin + fault.start - loop.time())
        self._start_fault(fault)
        if fault.kind is FaultKind.WITHDRAWAL:
            return
        await asyncio.sleep(origin + fault.end - loop.time())
        self._end_fault(fault)

    def _start_fault(self, fault: Fault) -> None:
        name = self.fleet.engines()[fault.engine].name
        match fault.kind:
            case FaultKind.ENGINE_SPEED:
                self.engines[name].set_speed(fault.speed)
            case FaultKind.ENGINE_CRASH:
                self.engines[name].crash()
            case FaultKind.ENGINES_UNREACHABLE:
                self._set_engines_reachable(False)
            case FaultKind.WITHDRAWAL:
                self.instance_list.withdraw(name)
            case FaultKind.KEY_VALUE_DOWN:
                self.kv.down = True

    def _end_fault(self, fault: Fault) -> None:
        name = self.fleet.engines()[fault.engine].name
        match fault.kind:
            case FaultKind.ENGINE_SPEED:
                self.engines[name].set_speed(1.0)
            case FaultKind.ENGINE_CRASH:
                self.engines[name].restart()
            case FaultKind.ENGINES_UNREACHABLE:
                self._set_engines_reachable(True)
            case FaultKind.KEY_VALUE_DOWN:
                self.kv.down = False

    def _set_engines_reachable(self, reachable: bool) -> None:
        for engine in self.engines.values():
            engine.reachable = reachable
            if not reachable:
                engine.break_connections()


def instance_info(upstream: FleetUpstream) -> InstanceInfo:
    """Return an upstream's record in the instance list."""
    return InstanceInfo(
        upstream.name,
        upstream.kind,
        upstream.zone,
        upstream.name,
        f"mem:{upstream.name}",
    )


def configuration_for(
    fleet: Fleet, requests: tuple[TraceRequest, ...]
) -> Configuration:
    """Return a configuration with the models, tenants and classes of a trace."""
    names = sorted({r.model for r in requests if r.model}) or [DEFAULT_MODEL]
    models = sorted({name.partition(":")[0] for name in names})
    adapters = sorted({a for a in (n.partition(":")[2] for n in names) if a})
    labels = {
        upstream.name: {**upstream.labels, KIND_LABEL: upstream.kind.value}
        for upstream in fleet.upstreams
    }
    selectors = [
        Selector(
            name="models",
            group=f"{KIND_LABEL}={UpstreamKind.ENGINE.value}",
            models=tuple(f"{name}@1" for name in models),
            adapters=tuple(f"{name}@1" for name in adapters),
        )
    ]
    if fleet.services():
        selectors.append(
            Selector(
                name="services",
                group=f"{KIND_LABEL}={UpstreamKind.SERVICE.value}",
                match=Match(routes=(ROUTE,)),
            )
        )
    return Configuration(
        generation=1,
        labels=labels,
        selectors=tuple(selectors),
        classes=classes_for(fleet, requests),
        tenants={r.tenant: Tenant() for r in requests} | fleet.tenants,
        routes={ROUTE: Route(prefix=ROUTE, repeatable=False)},
    )


def models_and_adapters(
    configuration: Configuration,
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the models and adapters that the engines serve."""
    selector = configuration.selectors[0]
    return selector.models, selector.adapters


def classes_for(
    fleet: Fleet, requests: tuple[TraceRequest, ...]
) -> dict[str, RequestClass]:
    """Return the fleet's classes; other classes get objectives from their deadlines."""
    max_deadlines: dict[str, float] = {}
    for request in requests:
        max_deadlines[request.klass] = max(
            max_deadlines.get(request.klass, 0.0), request.deadline
        )
    derived = {
        name: RequestClass(
            priority=_priority(deadline), first_token=deadline, total=deadline
        )
        for name, deadline in sorted(max_deadlines.items())
    }
    return derived | fleet.classes


MAX_INTERACTIVE_DEADLINE_SECONDS = 10.0
MAX_STANDARD_DEADLINE_SECONDS = 60.0
"""Maximum deadlines of the two higher priorities, for classes the fleet omits."""


def _priority(deadline: float) -> Priority:
    if deadline <= MAX_INTERACTIVE_DEADLINE_SECONDS:
        return Priority.INTERACTIVE
    return (
        Priority.STANDARD
        if deadline <= MAX_STANDARD_DEADLINE_SECONDS
        else Priority.BATCH
    )


def first_token_seconds(configuration: Configuration) -> dict[str, float]:
    """Return the first-token objective of each class, in seconds."""
    return {name: c.first_token for name, c in configuration.classes.items()}
