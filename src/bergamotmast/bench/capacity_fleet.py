"""Idle fleet of real entries and sides whose control traffic is counted."""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import hashlib
import random
import typing as t

from ..adapters.memory import MemoryLink
from ..adapters.memory import MemoryNetwork
from ..app import EntryProcess
from ..app import ProcessDependencies
from ..app import SideProcess
from ..app import engine_side
from ..config.document import Configuration
from ..config.document import RequestClass
from ..config.document import Selector
from ..config.document import Tenant
from ..config.store import ConfigStore
from ..entry.peer import Peer
from ..history import NullHistory
from ..model import Assignment
from ..model import InstanceInfo
from ..model import Role
from ..model import UpstreamKind
from ..policy.presets import PRESETS
from ..ports import KeyValue
from ..ports import RangeResult
from ..standins.engine import EngineStandIn
from ..standins.instance_list import InstanceListStandIn
from ..standins.key_value import KeyValueClient
from ..standins.key_value import KeyValueStandIn
from ..telemetry import NullTelemetry

WARM_UP_SECONDS = 40.0
"""Time in which sessions open, a planner takes the lease and writes the first plan."""

ZONES = 7
MODEL = "archivist@1"


class CountingNetwork(MemoryNetwork):
    """In-memory network that counts frames and bytes of each connection, both ways."""

    def __init__(self) -> None:
        super().__init__()
        self.frames: collections.Counter[bytes] = collections.Counter()
        self.bytes: collections.Counter[bytes] = collections.Counter()

    def carry(
        self,
        address: str,
        queue: asyncio.Queue[tuple[bytes, bytes]],
        frame: tuple[bytes, bytes],
    ) -> None:
        """Count a frame and deliver it."""
        connection, data = frame
        self.frames[connection] += 1
        self.bytes[connection] += len(data)
        super().carry(address, queue, frame)

    def clear(self) -> None:
        """Reset the counters."""
        self.frames.clear()
        self.bytes.clear()

    def frames_of(self, peers: cabc.Iterable[Peer]) -> int:
        """Return the number of frames on the connections of some peers."""
        return sum(self.frames[_connection(p)] for p in peers)

    def bytes_of(self, peers: cabc.Iterable[Peer]) -> int:
        """Return the number of bytes on the connections of some peers."""
        return sum(self.bytes[_connection(p)] for p in peers)


def _connection(peer: Peer) -> bytes:
    return peer.link.peer if isinstance(peer.link, MemoryLink) else b""


class CountingClient(KeyValueClient):
    """Key-value client that counts the bytes that its reads return."""

    read_bytes = 0

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        item = await super().get(key)
        self.read_bytes += len(item.value) if item else 0
        return item

    async def range(self, prefix: str) -> RangeResult:
        """Read every key with a prefix."""
        result = await super().range(prefix)
        self.read_bytes += sum(len(i.key) + len(i.value) for i in result.items)
        return result


def side_names(count: int) -> list[str]:
    """Return the names of a number of engines, which their sides share."""
    return [f"engine-{number:04d}" for number in range(count)]


def document(tenants: int, sides: int) -> Configuration:
    """Return a configuration with one group of engines and one key for each tenant."""
    return Configuration(
        labels={name: {"pool": "models"} for name in side_names(sides)},
        selectors=(Selector(name="models", group="pool=models", models=(MODEL,)),),
        classes={"standard": RequestClass()},
        tenants={
            name: tenant(name, 1.0)
            for name in (f"tenant-{number:04d}" for number in range(tenants))
        },
    )


def tenant(name: str, weight: float) -> Tenant:
    """Return a tenant with one API key."""
    return Tenant(weight=weight, keys=(hashlib.sha256(name.encode()).hexdigest(),))


class IdleFleet:
    """Entries and sides that receive no requests.

    :param tenants: number of tenants in the configuration.
    :param entries: number of entries.
    :param sides: number of sides, each beside one engine.
    """

    def __init__(self, tenants: int, entries: int, sides: int) -> None:
        self.tenants = tenants
        self.names = side_names(sides)
        self.network = CountingNetwork()
        self.kv = KeyValueStandIn(delay=0.004)
        self.clients: dict[str, CountingClient] = {}
        self.list = InstanceListStandIn(self._info(n) for n in self.names)
        self.store = ConfigStore(KeyValueClient(self.kv, "operator"), NullHistory())
        self.sides: list[SideProcess] = []
        self.entries: list[EntryProcess] = []
        self.entry_names = [f"entry-{number:04d}" for number in range(entries)]
        self.tasks: list[asyncio.Task[None]] = []

    def _info(self, name: str) -> InstanceInfo:
        zone = f"zone-{int(name[-4:]) % ZONES}"
        return InstanceInfo(name, UpstreamKind.ENGINE, zone, name, f"http://{name}")

    def _dependencies(self, name: str, zone: str) -> ProcessDependencies:
        client = CountingClient(self.kv, name)
        self.clients[name] = client
        return ProcessDependencies(
            name=name,
            zone=zone,
            kv=client,
            policies=PRESETS["default"],
            history=NullHistory(),
            telemetry=NullTelemetry(),
            rng=random.Random(name),
        )

    async def start(self) -> None:
        """Start every process and wait until the fleet is idle."""
        await self.store.propose(
            document(self.tenants, len(self.names)), 0, "operator", "first"
        )
        for name in self.names:
            self._start_side(name)
        for number, name in enumerate(self.entry_names):
            self._start_entry(name, f"zone-{number % ZONES}")
        await asyncio.sleep(WARM_UP_SECONDS)

    def _start_side(self, name: str) -> None:
        assignment = Assignment(Role.MIXED, (MODEL,))
        engine = EngineStandIn(name, assignment=assignment)
        listener = self.network.listen(name)
        side = engine_side(self._dependencies(name, "zone-0"), listener, engine)
        self.sides.append(side)
        self._run(side.run())

    def _start_entry(self, name: str, zone: str) -> None:
        dependencies = self._dependencies(name, zone)
        entry = EntryProcess(dependencies, self.network, self.list)
        self.entries.append(entry)
        self._run(entry.run())

    def _run(self, coroutine: cabc.Coroutine[t.Any, t.Any, None]) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def stop(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def peers(self, entry: EntryProcess, observers: bool) -> list[Peer]:
        """Return the peers with which an entry has a session.

        :param observers: whether to return sessions of the planner, which only observe,
            or those that carry requests.
        """
        peers = entry.core.membership.peers.values()
        return [p for p in peers if p.session and p.is_observer is observers]
