"""A whole deployment in one process, with stand-ins for the external systems."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import random

import zmq.asyncio
from aiohttp import web

from .adapters.zeromq import ZmqDialer
from .adapters.zeromq import ZmqListener
from .app import EntryProcess
from .app import ProcessDependencies
from .app import SideProcess
from .app import engine_side
from .app import service_side
from .config.document import Configuration
from .config.store import ConfigStore
from .history import MemoryHistory
from .model import Assignment
from .model import InstanceInfo
from .model import UpstreamKind
from .policy.presets import PRESETS
from .standins.engine import EngineStandIn
from .standins.engine_spec import EngineSpec
from .standins.instance_list import InstanceListStandIn
from .standins.key_value import KeyValueStandIn
from .standins.kv_exchange import KvExchange
from .standins.service import ServiceStandIn
from .standins.weights import WeightStoreStandIn
from .telemetry import NullTelemetry

LOOPBACK = "127.0.0.1"

SERVICE_CONCURRENCY = 8
"""Maximum number of concurrent calls to a plain service."""

READY_TIMEOUT_SECONDS = 30.0
"""Maximum time until every entry has a ready session with every side."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Components of a deployment.

    :param configuration: initial configuration.
    :param engines: availability zone of each engine, by name.
    :param services: availability zone of each plain service, by name.
    :param entries: availability zone of each entry, by name.
    :param assignment: initial role, models and adapters of every engine.
    :param versions: size of each version in the weight store, gigabytes.
    """

    configuration: Configuration
    engines: dict[str, str]
    services: dict[str, str]
    entries: dict[str, str]
    assignment: Assignment
    versions: dict[str, float]


class LocalFleet:
    """A running deployment.

    :param plan: components of the deployment.
    :param seed: seed of all random numbers.
    :param history: records of all events.
    :param urls: base URL of each entry, by name.
    """

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan = plan
        self.seed = seed
        self.history = MemoryHistory()
        self.kv = KeyValueStandIn()
        self.weights = WeightStoreStandIn(plan.versions)
        self.instance_list = InstanceListStandIn()
        self.exchange = KvExchange()
        self.context = zmq.asyncio.Context()
        self.engines: dict[str, EngineStandIn] = {}
        self.services: dict[str, ServiceStandIn] = {}
        self.sides: dict[str, SideProcess] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.urls: dict[str, str] = {}
        self.store = ConfigStore(self.kv.client("operator"), self.history)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Start all components and wait until every entry is ready."""
        await self.edit(self.plan.configuration, 0)
        for name, zone in self.plan.engines.items():
            self._start_engine(name, zone)
        for name, zone in self.plan.services.items():
            self._start_service(name, zone)
        for name, zone in self.plan.entries.items():
            await self._start_entry(name, zone)
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await self._wait_until_ready()

    async def edit(self, configuration: Configuration, against: int) -> None:
        """Change the configuration as an operator would.

        :param against: generation that the edit is based on.
        """
        nonce = f"edit-{against}"
        await self.store.propose(configuration, against, "operator", nonce)

    async def stop(self) -> None:
        """Shut down gracefully: entries first, then sides."""
        await asyncio.gather(*(entry.close() for entry in self.entries.values()))
        for runner in self._runners:
            await runner.cleanup()
        for side in self.sides.values():
            await side.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.context.destroy(linger=0)

    def _dependencies(self, name: str, zone: str) -> ProcessDependencies:
        return ProcessDependencies(
            name=name,
            zone=zone,
            kv=self.kv.client(name),
            policies=PRESETS["default"],
            history=self.history,
            telemetry=NullTelemetry(),
            rng=random.Random(f"{self.seed}/{name}"),
        )

    def _start_engine(self, name: str, zone: str) -> None:
        engine = EngineStandIn(
            name,
            EngineSpec(),
            assignment=self.plan.assignment,
            loader=self.weights.load,
            exchange=self.exchange,
            history=self.history,
        )
        self.engines[name] = engine
        listener = ZmqListener(self.context, f"{LOOPBACK}:0", None)
        side = engine_side(self._dependencies(name, zone), listener, engine)
        self._start_side(name, zone, UpstreamKind.ENGINE, listener, side)

    def _start_service(self, name: str, zone: str) -> None:
        service = ServiceStandIn(name, history=self.history)
        self.services[name] = service
        listener = ZmqListener(self.context, f"{LOOPBACK}:0", None)
        side = service_side(
            self._dependencies(name, zone), listener, service, SERVICE_CONCURRENCY
        )
        self._start_side(name, zone, UpstreamKind.SERVICE, listener, side)

    def _start_side(
        self,
        name: str,
        zone: str,
        kind: UpstreamKind,
        listener: ZmqListener,
        side: SideProcess,
    ) -> None:
        self.sides[name] = side
        self._run(side.run())
        self.instance_list.put(InstanceInfo(name, kind, zone, listener.address, ""))

    async def _start_entry(self, name: str, zone: str) -> None:
        entry = EntryProcess(
            self._dependencies(name, zone),
            ZmqDialer(self.context, None),
            self.instance_list,
            self.weights,
        )
        self.entries[name] = entry
        self._run(entry.run())
        runner = web.AppRunner(entry.application(), access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, LOOPBACK, 0)
        await site.start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        self.urls[name] = f"http://{host}:{port}"

    def _run(self, coroutine: cabc.Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _wait_until_ready(self) -> None:
        count = len(self.sides)
        while True:
            peers = [e.core.membership.peers for e in self.entries.values()]
            if all(sum(p.is_ready for p in each.values()) == count for each in peers):
                return
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def local_fleet(plan: FleetPlan, seed: int) -> cabc.AsyncIterator[LocalFleet]:
    """Run a deployment during an ``async with`` block."""
    fleet = LocalFleet(plan, seed)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()
