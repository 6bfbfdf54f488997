"""The composition root: which parts make an entry and a side, and how they are wired.

Both are usable as a library: hand in the ports, and run them in any event loop.
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
from .entry.admin import AdminHttp
from .entry.core import EntryCore
from .entry.fleet_status import read_fleet_status
from .entry.fleet_view import EntryFleetView
from .entry.http import CallerLimits
from .entry.http import EntryHttp
from .history import HistorySink
from .model import NO_TOKEN
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

Work: t.TypeAlias = cabc.Coroutine[t.Any, t.Any, None]

ADMIN_PATH = "/admin/v1"

SERVICE_RATE = 1e6
"""Tokens a second of a plain service, whose calls count as one token each."""


def wall_clock_seconds() -> int:
    """Return the seconds since 1970."""
    return int(time.time())


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessParts:
    """What every process is given.

    :param name: unique name; a side has that of its upstream.
    :param zone: availability zone.
    :param kv: the key-value service.
    :param policies: decisions under load.
    :param rng: seeded source of jitter and of names.
    :param epoch_hint: least epoch of a planner that takes over, a number that only
        rises: after a restore of the key-value service nobody may be left who knows
        the lost epochs, and orders under them would be given out a second time.
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
        """Return a name for this start of the process."""
        return f"{self.name}-{self.rng.getrandbits(48):012x}"


class UnpacedWeights:
    """A weight store that nothing is known of: loads are not paced."""

    async def sizes(self) -> dict[str, float]:
        """Return no sizes."""
        return {}

    async def rate(self) -> float:
        """Return a rate that no load reaches."""
        return math.inf


async def _together(works: cabc.Iterable[Work]) -> None:
    """Run works until cancelled; the first failure ends all."""
    async with asyncio.TaskGroup() as group:
        for work in works:
            group.create_task(work)


class EntryProcess:
    """One entry: connections to sides, configuration, callers, maybe the planner.

    :param holder: the configuration in force.
    :param core: the entry itself.
    :param planner: plans while it holds the lease; ``None`` if it may not.
    :param busy: connections whose request is being answered.
    """

    def __init__(
        self,
        parts: ProcessParts,
        dialer: Dialer,
        instance_list: InstanceList,
        weights: WeightStore | None = None,
        may_plan: bool = True,
        lease_seconds: int = LEASE_SECONDS,
    ) -> None:
        self.holder = ConfigHolder(parts.name, parts.history)
        self.watcher = ConfigWatcher(parts.kv, self.holder, parts.rng)
        self.store = ConfigStore(parts.kv, parts.history)
        self.claims = ClaimStore(parts.kv, parts.name, parts.rng)
        self.core = EntryCore(
            name=parts.name,
            zone=parts.zone,
            incarnation=parts.incarnation(),
            dialer=dialer,
            instance_list=instance_list,
            policy=parts.policies.entry_policy(parts.rng, parts.zone),
            holder=self.holder,
            claims=self.claims,
            rng=parts.rng,
            telemetry=parts.telemetry,
        )
        self.busy: set[asyncio.BaseProtocol] = set()
        self.planner: Planner | None = None
        if may_plan:
            self.planner = self._new_planner(parts, weights, lease_seconds)

    def _new_planner(
        self, parts: ProcessParts, weights: WeightStore | None, lease_seconds: int
    ) -> Planner:
        planner = Planner(
            election=PlannerElection(parts.kv, parts.name, parts.rng, lease_seconds),
            store=PlanStore(
                parts.kv, parts.name, parts.rng, parts.history, parts.epoch_hint
            ),
            holder=self.holder,
            fleet=EntryFleetView(self.core.membership),
            policy=parts.policies.shift_policy(),
            weights=weights or UnpacedWeights(),
            rng=parts.rng,
        )
        self.core.membership.observes_all = lambda: planner.planning
        return planner

    def application(self, limits: CallerLimits | None = None) -> web.Application:
        """Return the HTTP application that serves callers and operators."""
        http = EntryHttp(self.core, limits)
        self.busy = http.busy
        application = http.application()
        admin = AdminHttp(self.holder, self.store, lambda: read_fleet_status(self.core))
        application.add_subapp(ADMIN_PATH, admin.application())
        return application

    def background_tasks(self) -> list[Work]:
        """Return what runs until cancelled, each independent of the others' failure."""
        works = [self.watcher.run(), self.core.run(), self.claims.run()]
        if self.planner is not None:
            works.append(self.planner.run())
        return works

    async def run(self) -> None:
        """Run until cancelled."""
        await _together(self.background_tasks())

    async def close(self) -> None:
        """Refuse new requests and wait until the last answer is out."""
        await self.core.close()
        await self.claims.flush()


class SideProcess:
    """One side: an upstream, its queue, its orders, connections to entries.

    :param holder: the configuration in force.
    :param core: the side itself.
    :param reconciler: gives the engine its orders; ``None`` for a plain service.
    """

    def __init__(
        self,
        parts: ProcessParts,
        listener: Listener,
        runner: Runner,
    ) -> None:
        self.holder = ConfigHolder(parts.name, parts.history)
        self.watcher = ConfigWatcher(parts.kv, self.holder, parts.rng)
        self.listener = listener
        self.core = SideCore(
            name=parts.name,
            listener=listener,
            runner=runner,
            policy=parts.policies.side_policy(),
            holder=self.holder,
            history=parts.history,
            incarnation=parts.incarnation(),
            telemetry=parts.telemetry,
        )
        self.reconciler: OrderReconciler | None = None

    def background_tasks(self) -> list[Work]:
        """Return what runs until cancelled, each independent of the others' failure."""
        works = [self.watcher.run(), self.core.run()]
        if self.reconciler is not None:
            works.append(self.reconciler.run())
        return works

    async def run(self) -> None:
        """Run until cancelled."""
        await _together(self.background_tasks())

    async def close(self) -> None:
        """Refuse new work and wait until the work in flight is done."""
        await self.core.leave()
        self.listener.close()


def engine_side(parts: ProcessParts, listener: Listener, engine: Engine) -> SideProcess:
    """Return the side of a model engine."""
    side = SideProcess(parts, listener, EngineRunner(engine))
    reconciler = OrderReconciler(
        name=parts.name,
        engine=engine,
        kv=parts.kv,
        workload=side.core,
        on_engine_state=side.core.on_engine_state,
        rng=parts.rng,
        plan_seen=lambda: side.core.plan_seen,
    )
    side.reconciler = reconciler
    side.core.plan_token = lambda: reconciler.token
    return side


def service_side(
    parts: ProcessParts, listener: Listener, service: PlainService, concurrency: int
) -> SideProcess:
    """Return the side of a plain service.

    :param concurrency: most calls the service takes at once.
    """
    side = SideProcess(parts, listener, ServiceRunner(service))
    state = EngineState(
        boot_id="",
        assignment=None,
        changing=False,
        token=NO_TOKEN,
        max_streams=concurrency,
        kv_capacity=concurrency * 2,
        prefill_rate=SERVICE_RATE,
        decode_rate=SERVICE_RATE,
    )
    side.core.on_engine_state(state, Readiness.READY)
    return side
