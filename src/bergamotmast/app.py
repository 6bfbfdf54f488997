"""Composition root: creates an entry or a side from its components.

Both can be used as a library: pass in implementations of the ports, and run them in any
event loop.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import math
import random
import time
import typing as t

from .claims.store import ClaimStore
from .config.holder import ConfigHolder
from .config.store import ConfigStore
from .config.watch import ConfigWatcher
from .crashes.quarantine import Quarantine
from .crashes.reader import CrashReader
from .crashes.records import CrashRecordWriter
from .crashes.trials import Trials
from .entry.admin import AdminHttp
from .entry.core import EntryCore
from .entry.fleet_status import read_fleet_status
from .entry.fleet_view import EntryFleetView
from .entry.http import CallerLimits
from .entry.http import EntryHttp
from .history import HistorySink
from .model import NO_FENCING_TOKEN
from .model import EngineState
from .model import Readiness
from .planner.election import LEASE_SECONDS
from .planner.election import PlannerElection
from .planner.plan_store import PlanStore
from .planner.planner import Planner
from .policy.presets import PolicySet
from .side.core import SideCore
from .side.orders import OrderReconciler
from .side.runners import EngineRunner
from .side.runners import Runner
from .side.runners import ServiceRunner
from .telemetry import Telemetry

if t.TYPE_CHECKING:
    from aiohttp import web

    from .ports import Dialer
    from .ports import Engine
    from .ports import InstanceList
    from .ports import KeyValueService
    from .ports import Listener
    from .ports import PlainService
    from .ports import WeightStore

BackgroundTask: t.TypeAlias = cabc.Coroutine[t.Any, t.Any, None]

ADMIN_PATH = "/admin/v1"

SERVICE_TOKENS_PER_SECOND = 1e6
"""Nominal token rate of a plain service, whose calls count as one token each."""


def wall_clock_seconds() -> int:
    """Return the Unix time in whole seconds."""
    return int(time.time())


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessDependencies:
    """Dependencies that every process needs.

    :param name: unique name; a side has the name of its upstream.
    :param zone: availability zone.
    :param kv: client of the key-value service.
    :param policies: policies for load-dependent decisions.
    :param history: receiver of the records that the checker reads.
    :param telemetry: receiver of measurements.
    :param rng: random source of jitter and of names.
    :param epoch_hint: returns the lowest epoch that a new planner may use, which never
        decreases. After a restore of the key-value service no process may know the
        epochs that were lost, and orders with these epochs would be issued again.
    """

    name: str
    zone: str
    kv: KeyValueService
    policies: PolicySet
    history: HistorySink
    telemetry: Telemetry
    rng: random.Random
    epoch_hint: cabc.Callable[[], int] = wall_clock_seconds

    def incarnation(self) -> str:
        """Return a unique name for this run of the process."""
        return f"{self.name}-{self.rng.getrandbits(48):012x}"


class UnlimitedWeightStore:
    """Weight store without known limits, so that model loads are not paced."""

    async def sizes(self) -> dict[str, float]:
        """Return no sizes."""
        return {}

    async def rate(self) -> float:
        """Return an infinite transfer rate."""
        return math.inf


async def _run_all(coroutines: cabc.Iterable[BackgroundTask]) -> None:
    """Run coroutines concurrently; the first failure cancels all."""
    async with asyncio.TaskGroup() as group:
        for coroutine in coroutines:
            group.create_task(coroutine)


class EntryProcess:
    """Entry with its configuration, its sessions with sides, and optionally a planner.

    :param holder: holder of the configuration in force.
    :param core: request handling of the entry.
    :param planner: planner that is active while it holds the lease; ``None`` if this
        entry must not plan.
    :param busy: connections whose request is being handled.
    """

    def __init__(
        self,
        dependencies: ProcessDependencies,
        dialer: Dialer,
        instance_list: InstanceList,
        weights: WeightStore | None = None,
        may_plan: bool = True,
        lease_seconds: int = LEASE_SECONDS,
    ) -> None:
        self.holder = ConfigHolder(dependencies.name, dependencies.history)
        self.watcher = ConfigWatcher(dependencies.kv, self.holder, dependencies.rng)
        self.store = ConfigStore(dependencies.kv, dependencies.history)
        self.claims = ClaimStore(dependencies.kv, dependencies.name, dependencies.rng)
        self.crash_writer = CrashRecordWriter(dependencies.kv, dependencies.rng)
        self.quarantine = Quarantine(
            dependencies.name,
            dependencies.telemetry,
            dependencies.rng,
            Trials(dependencies.name, dependencies.kv),
            self.crash_writer,
        )
        self.crash_reader = CrashReader(dependencies.kv, self.quarantine)
        self.core = EntryCore(
            name=dependencies.name,
            zone=dependencies.zone,
            incarnation=dependencies.incarnation(),
            dialer=dialer,
            instance_list=instance_list,
            policy=dependencies.policies.entry_policy(
                dependencies.rng, dependencies.zone
            ),
            holder=self.holder,
            claims=self.claims,
            rng=dependencies.rng,
            telemetry=dependencies.telemetry,
            quarantine=self.quarantine,
        )
        self.busy: set[asyncio.BaseProtocol] = set()
        self.planner: Planner | None = None
        if may_plan:
            self.planner = self._new_planner(dependencies, weights, lease_seconds)

    def _new_planner(
        self,
        dependencies: ProcessDependencies,
        weights: WeightStore | None,
        lease_seconds: int,
    ) -> Planner:
        planner = Planner(
            election=PlannerElection(
                dependencies.kv, dependencies.name, dependencies.rng, lease_seconds
            ),
            store=PlanStore(
                dependencies.kv,
                dependencies.name,
                dependencies.rng,
                dependencies.history,
                dependencies.epoch_hint,
            ),
            holder=self.holder,
            fleet=EntryFleetView(self.core.membership),
            policy=dependencies.policies.shift_policy(),
            weights=weights or UnlimitedWeightStore(),
            rng=dependencies.rng,
        )
        self.core.membership.observes_all = lambda: planner.planning
        return planner

    def application(self, limits: CallerLimits | None = None) -> web.Application:
        """Return the HTTP application for callers and operators."""
        http = EntryHttp(self.core, limits)
        self.busy = http.busy
        application = http.application()
        admin = AdminHttp(self.holder, self.store, lambda: read_fleet_status(self.core))
        application.add_subapp(ADMIN_PATH, admin.application())
        return application

    def background_tasks(self) -> list[BackgroundTask]:
        """Return the coroutines to run until cancelled; each can fail independently."""
        tasks = [
            self.watcher.run(),
            self.core.run(),
            self.claims.run(),
            self.crash_writer.run(),
            self.crash_reader.run(),
            self.quarantine.run(),
        ]
        if self.planner is not None:
            tasks.append(self.planner.run())
        return tasks

    async def run(self) -> None:
        """Run all background tasks until cancelled."""
        await _run_all(self.background_tasks())

    async def close(self) -> None:
        """Refuse new requests and wait until the last response is sent."""
        await self.core.close()
        await self.claims.flush()


class SideProcess:
    """Side of one upstream, with its queue and its sessions with entries.

    :param holder: holder of the configuration in force.
    :param core: request handling of the side.
    :param reconciler: sends the engine its orders; ``None`` for a plain service.
    """

    def __init__(
        self,
        dependencies: ProcessDependencies,
        listener: Listener,
        runner: Runner,
    ) -> None:
        self.holder = ConfigHolder(dependencies.name, dependencies.history)
        self.watcher = ConfigWatcher(dependencies.kv, self.holder, dependencies.rng)
        self.listener = listener
        self.core = SideCore(
            name=dependencies.name,
            listener=listener,
            runner=runner,
            policy=dependencies.policies.side_policy(),
            holder=self.holder,
            history=dependencies.history,
            incarnation=dependencies.incarnation(),
            telemetry=dependencies.telemetry,
        )
        self.reconciler: OrderReconciler | None = None

    def background_tasks(self) -> list[BackgroundTask]:
        """Return the coroutines to run until cancelled; each can fail independently."""
        tasks = [self.watcher.run(), self.core.run()]
        if self.reconciler is not None:
            tasks.append(self.reconciler.run())
        return tasks

    async def run(self) -> None:
        """Run all background tasks until cancelled."""
        await _run_all(self.background_tasks())

    async def close(self) -> None:
        """Refuse new work and wait until all running work is done."""
        await self.core.leave()
        self.listener.close()


def engine_side(
    dependencies: ProcessDependencies, listener: Listener, engine: Engine
) -> SideProcess:
    """Create the side of a model engine."""
    side = SideProcess(dependencies, listener, EngineRunner(engine))
    reconciler = OrderReconciler(
        name=dependencies.name,
        engine=engine,
        kv=dependencies.kv,
        workload=side.core,
        on_engine_state=side.core.on_engine_state,
        rng=dependencies.rng,
        plan_seen=lambda: side.core.plan_seen,
    )
    side.reconciler = reconciler
    side.core.plan_token = lambda: reconciler.token
    return side


def service_side(
    dependencies: ProcessDependencies,
    listener: Listener,
    service: PlainService,
    concurrency: int,
) -> SideProcess:
    """Create the side of a plain service.

    :param concurrency: maximum number of concurrent calls to the service.
    """
    side = SideProcess(dependencies, listener, ServiceRunner(service))
    state = EngineState(
        boot_id="",
        assignment=None,
        changing=False,
        token=NO_FENCING_TOKEN,
        max_streams=concurrency,
        kv_capacity=concurrency * 2,
        prefill_rate=SERVICE_TOKENS_PER_SECOND,
        decode_rate=SERVICE_TOKENS_PER_SECOND,
    )
    side.core.on_engine_state(state, Readiness.READY)
    return side
