"""The simulated environment of a fault run: real entries and sides, and stand-ins.

The entries and sides run the production code. Upstreams, the key-value service, the
instance list, the weight store and the network between the processes are stand-ins.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing as t

from ..adapters.memory import MemoryNetwork
from ..app import EntryProcess
from ..app import ProcessDependencies
from ..app import SideProcess
from ..app import engine_side
from ..app import service_side
from ..config.document import Configuration
from ..config.document import Match
from ..config.document import Route
from ..config.document import Selector
from ..config.document import SelectorState
from ..config.store import ConfigStore
from ..history import MemoryHistory
from ..history import ProcessReachable
from ..history import ProcessStarted
from ..history import ProcessStopped
from ..history import ProcessUnreachable
from ..model import Assignment
from ..model import InstanceInfo
from ..model import Role
from ..model import UpstreamKind
from ..policy.presets import PRESETS
from ..standins.engine import EngineStandIn
from ..standins.engine_spec import EngineSpec
from ..standins.instance_list import InstanceListStandIn
from ..standins.key_value import KeyValueStandIn
from ..standins.kv_exchange import KvExchange
from ..standins.service import ServiceStandIn
from ..standins.weights import WeightStoreStandIn
from ..telemetry import NullTelemetry
from .gates import Gate

MODEL = "archivist"
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
SERVICES = ("service-1", "service-2")
ENTRIES = ("entry-1", "entry-2")
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
SERVICE_CONCURRENCY = 8
"""Maximum number of concurrent calls of a plain service."""

SERVICE_CALL_SECONDS = 0.3
"""Duration of a call of a plain service."""
ROLE_CHANGE_SECONDS = 6.0
LIST_LAG_SECONDS = 2.0
"""Delay until a change of the instance list becomes visible."""
KEY_VALUE_DELAY_SECONDS = 0.004


def initial_configuration() -> Configuration:
    """Return the initial configuration of every run."""
    labels = {name: {"pool": "models"} for name in ENGINES}
    labels |= {name: {"pool": "counter"} for name in SERVICES}
    return Configuration(
        labels=labels,
        selectors=(
            Selector(
                name="models",
                group="pool=models",
                match=Match(models=(MODEL,)),
                models=(f"{MODEL}@1",),
            ),
            Selector(
                name="drained", group="pool=drained", state=SelectorState.DRAINING
            ),
            Selector(
                name="counter",
                group="pool=counter",
                match=Match(routes=("counter", "orders")),
            ),
        ),
        routes={
            "counter": Route(prefix="/counter"),
            "orders": Route(prefix="/orders", repeatable=False),
        },
    )


@dataclasses.dataclass
class Process:
    """One running entry or side.

    :param gate: pauses and kills the process.
    :param app: the entry or side itself.
    :param reachable: whether the history records the process as reachable.
    """

    name: str
    gate: Gate
    app: EntryProcess | SideProcess
    reachable: bool = True


class FaultEnvironment:
    """The processes and stand-ins of one run.

    :param seed: seed of ``rng``.
    :param rng: source of the environment's random choices and of each process's own
        random source.
    :param history: records of everything that happened.
    :param cut_from_kv: names of the processes that can't reach the key-value service.
    :param restores: how often the key-value service was restored to older content.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.history = MemoryHistory()
        self.network = MemoryNetwork()
        self.kv = KeyValueStandIn(delay=KEY_VALUE_DELAY_SECONDS)
        self.cut_from_kv: set[str] = set()
        self.weights = WeightStoreStandIn({f"{MODEL}@1": 20.0, f"{MODEL}@2": 20.0})
        self.instance_list = InstanceListStandIn(lag=LIST_LAG_SECONDS)
        self.exchange = KvExchange()
        self.engines: dict[str, EngineStandIn] = {}
        self.services: dict[str, ServiceStandIn] = {}
        self.processes: dict[str, Process] = {}
        self.store = ConfigStore(self.kv.client("operator"), self.history)
        self.restores = 0
        for number, name in enumerate(ENGINES):
            self._add_engine(name, number)
        for number, name in enumerate(SERVICES):
            self.services[name] = ServiceStandIn(
                name, SERVICE_CALL_SECONDS, self.history
            )
            self._list_instance(name, UpstreamKind.SERVICE, number)

    def _add_engine(self, name: str, number: int) -> None:
        self.engines[name] = EngineStandIn(
            name,
            EngineSpec(
                change_seconds=ROLE_CHANGE_SECONDS, honours_fencing=number % 2 == 0
            ),
            assignment=Assignment(Role.MIXED, (f"{MODEL}@1",)),
            loader=self.weights.load,
            exchange=self.exchange,
            history=self.history,
        )
        self._list_instance(name, UpstreamKind.ENGINE, number)

    def _list_instance(self, name: str, kind: UpstreamKind, number: int) -> None:
        zone = ZONES[number % len(ZONES)]
        self.instance_list.put(InstanceInfo(name, kind, zone, name, ""))

    # Processes

    async def start(self) -> None:
        """Store the initial configuration and start every process."""
        await self.store.propose(initial_configuration(), 0, "operator", "first")
        for name in (*ENGINES, *SERVICES, *ENTRIES):
            self.start_process(name)

    def start_process(self, name: str) -> None:
        """Start an entry or a side."""
        app = self._entry(name) if name in ENTRIES else self._side(name)
        process = Process(name, Gate(), app)
        self.processes[name] = process
        self.history.record(ProcessStarted(at=self.now(), process=name))
        process.gate.run(app.run())
        self.record_reachability()

    async def kill(self, name: str) -> None:
        """Kill a process, as with SIGKILL."""
        process = self.processes.pop(name)
        self.history.record(ProcessStopped(at=self.now(), process=name))
        if isinstance(process.app, SideProcess):
            process.app.listener.close()
        await process.gate.kill()

    async def stop_gracefully(self, name: str) -> None:
        """Shut a process down, as on its first SIGTERM."""
        process = self.processes[name]
        await process.gate.run(process.app.close())
        if self.processes.get(name) is process:
            await self.kill(name)

    async def stop(self) -> None:
        """Kill every process."""
        for name in list(self.processes):
            await self.kill(name)

    def entry(self, name: str) -> EntryProcess | None:
        """Return an entry, or ``None`` if it isn't running or isn't ready.

        Callers use ready entries only, as the load balancer would choose for them.
        """
        process = self.processes.get(name)
        if process is None or not isinstance(process.app, EntryProcess):
            return None
        return process.app if process.app.core.is_ready else None

    def gate_of(self, entry: EntryProcess) -> Gate | None:
        """Return the gate of an entry, or ``None`` if its process has ended."""
        for process in self.processes.values():
            if process.app is entry:
                return process.gate
        return None

    def record_reachability(self) -> None:
        """Record the processes that became unreachable or reachable again."""
        for process in self.processes.values():
            reachable = self._is_reachable(process.name)
            if reachable is not process.reachable:
                kind = ProcessReachable if reachable else ProcessUnreachable
                self.history.record(kind(at=self.now(), process=process.name))
                process.reachable = reachable

    def _is_reachable(self, name: str) -> bool:
        """Return whether a configuration can get to a process.

        It can from the key-value service, or from the other side of a session with a
        running process.
        """
        process = self.processes[name]
        if process.gate.paused:
            return False
        if not self.kv.down and name not in self.cut_from_kv:
            return True
        if name not in ENTRIES:
            return name not in self.network.partitioned and self._any_entry_runs()
        return any(
            side in self.processes
            and side not in self.network.partitioned
            and not self.processes[side].gate.paused
            for side in (*ENGINES, *SERVICES)
        )

    def _any_entry_runs(self) -> bool:
        return any(
            name in self.processes and not self.processes[name].gate.paused
            for name in ENTRIES
        )

    # Construction of processes

    def _dependencies(self, name: str) -> ProcessDependencies:
        return ProcessDependencies(
            name=name,
            zone=ZONES[0],
            kv=self.kv.client(name),
            policies=PRESETS["default"],
            history=self.history,
            telemetry=NullTelemetry(),
            rng=random.Random(self.rng.getrandbits(64)),
            epoch_hint=lambda: int(self.now()),
        )

    def _entry(self, name: str) -> EntryProcess:
        return EntryProcess(
            self._dependencies(name), self.network, self.instance_list, self.weights
        )

    def _side(self, name: str) -> SideProcess:
        listener = self.network.listen(name)
        dependencies = self._dependencies(name)
        if name in self.engines:
            return engine_side(dependencies, listener, self.engines[name])
        return service_side(
            dependencies, listener, self.services[name], SERVICE_CONCURRENCY
        )

    def now(self) -> float:
        """Return seconds on the clock of the run."""
        return asyncio.get_running_loop().time()

    def pick_random(self, names: t.Iterable[str]) -> str | None:
        """Return a random name of some, or ``None`` if there are none."""
        choices = sorted(names)
        return self.rng.choice(choices) if choices else None
