"""Entries that share a store and exchange datagrams, in memory and in virtual time.

Each entry has the parts that know at which build a stream began, put together as in the
composition root, and the platform's adapter of the store.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import itertools
import random
import typing as t

from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.build_recorder import BuildRecorder
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.model import Call
from bergamotmast.direct.model import CallTraits
from bergamotmast.direct.model import PromptPart
from bergamotmast.direct.model import Upstream
from bergamotmast.direct.peer_messages import Address
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.placer import shared_parts
from bergamotmast.direct.presence import presence_key
from bergamotmast.direct.record_check import RecordCheck
from bergamotmast.direct.store_progress import CatchUp
from bergamotmast.direct.store_progress import SharedRead
from bergamotmast.direct.store_watcher import StoreWatcher
from bergamotmast.direct.stream_build_exchange import StreamBuildExchange
from bergamotmast.direct.stream_build_log import STREAMS_PREFIX
from bergamotmast.direct.stream_build_log import StreamBuildLog
from bergamotmast.direct.stream_builds import FoundBuild
from bergamotmast.direct.stream_builds import StreamBuilds
from bergamotmast.direct.unregistered_builds import unregistered_build
from bergamotmast.errors import RequestError
from bergamotmast.platform.directory import PlatformDirectory
from direct_support import HOST
from direct_support import config
from direct_support import engine
from direct_support import registration
from memory_store import Contents
from memory_store import Store
from memory_store import StoreClient
from test_placing import NoPermitsNeeded

GROUP = "llm"
DATAGRAM_SECONDS = 0.001
REWRITE_SECONDS = 1.0
"""Time after which replicas have written their registrations again after a restore."""

WRITES_PER_SECOND = 400.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        poll = self._selector.select

        def select(timeout: float | None) -> list[t.Any]:
            assert timeout is not None, "all tasks wait without a timer"
            self.now += timeout
            return poll(0)

        self._selector.select = select

    def time(self) -> float:
        return self.now


class Entry:
    """One process of an entry."""

    def __init__(self, site: Site, name: str) -> None:
        self.site = site
        self.name = name
        self.alive = True
        self.rng = random.Random(f"{name} {len(site.processes)}")
        key = presence_key(name)
        clock = site.loop.time
        self.client = StoreClient(site.store, name)
        self.fleet = fleet = Fleet(PlatformDirectory(), clock, key)
        self.stream_builds = StreamBuilds(fleet)
        self.inbox = PeerInbox()
        exchange = StreamBuildExchange(
            key, self.stream_builds, lambda: fleet.entries, self._send
        )
        exchange.listen(self.inbox)
        self.stream_builds.peers = exchange
        log = StreamBuildLog(
            self.client,
            self.stream_builds,
            f"{STREAMS_PREFIX}{name}/{self.rng.getrandbits(32):08x}",
            WRITES_PER_SECOND,
            lambda: fleet.entries,
        )
        fleet.listeners[STREAMS_PREFIX] = log
        self.stream_builds.stored = log
        reads = SharedRead(self.client, BUILDS_KEY)
        self.stream_builds.check = RecordCheck(reads, fleet.build_history)
        self.stream_builds.proof.store = CatchUp(reads, fleet.applied)
        recorder = BuildRecorder(
            self.client,
            fleet.build_history,
            key,
            fleet.stream_groups,
            lambda: fleet.entries_with(key, clock()),
            self.rng,
            exchange,
        )
        watcher = StoreWatcher(self.client, fleet, self.rng)
        self.client.restores.on_restored.append(watcher.on_restored)
        runs = (watcher.run(), exchange.run(), log.run(), recorder.run())
        self.tasks = [site.loop.create_task(run) for run in runs]

    def _send(self, data: bytes, address: Address) -> None:
        if self.alive:
            self.site.deliver(self.name, data, address)

    def kill(self) -> list[asyncio.Task[None]]:
        """End the process without notice; return its tasks, which are ending."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        return self.tasks

    def place(self, request_id: str, build: str | None = None) -> Upstream | None:
        """Return the engine to which a stream is sent, if there is one."""
        fleet = self.fleet
        if not fleet.ready:
            return None
        # Without loads, a placer prefers the same engine each time.
        placer = RequestPlacer(fleet, request_id, "zone-a", self.rng)
        parts = (PromptPart("part", 300),)
        traits = CallTraits(request_id, 3.0, 0, 700, 30, 0, parts)
        route = fleet.table.find(HOST, "/long/x")
        shared = shared_parts(traits)
        group = fleet.group(GROUP)
        call = Call(traits, route, group, "POST", "/long/x", (), b"", 0.0, 3.0, shared)
        try:
            _, chosen, _ = placer.place_stream(call, (), build, NoPermitsNeeded())
        except RequestError:
            return None
        return chosen


@dataclasses.dataclass
class Stream:
    """A stream that a caller reads.

    :param build: the build of the engine that sent its first event.
    :param entry: the process that it was last read at.
    """

    request_id: str
    build: str
    began_at: float
    entry: Entry


class Site:
    """The store, entries and engines.

    :param processes: all processes of entries, ended ones included.
    :param entries: the process of each entry; ``None`` while there is none.
    :param engines: builds of the running engines, by name.
    :param boots: the incarnation of each running engine, by name.
    :param incarnations: builds of all incarnations, by the names that these builds have
        before a registration tells them.
    :param loses_datagrams: whether datagrams get lost.
    :param cut_links: pairs of sender and receiver whose datagrams get lost.
    :param outcomes: number of resumptions by how the build was known.
    """

    def __init__(self, entries: int, *builds: str) -> None:
        self.loop = VirtualTimeLoop()
        self.store = Store(self.loop)
        self.processes: list[Entry] = []
        self.names = [f"entry-{number}" for number in range(entries)]
        self.entries: dict[str, Entry | None] = dict.fromkeys(self.names)
        self.engines: dict[str, str] = {}
        self.boots: dict[str, int] = {}
        self.incarnations: dict[str, str] = {}
        self.begun = 0
        self.registered = 0
        self.loses_datagrams = False
        self.cut_links: set[tuple[str, str]] = set()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.store.put("op/config", config())
        for number, name in enumerate(self.names):
            self.store.put(presence_key(name), f"10.1.0.{number}:9".encode())
        for build in builds:
            self.add_build(build)
        for name in self.names:
            self.start(name)
        self.run(1.0)

    def run(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self) -> None:
        self.kill(self.names)
        self.loop.close()

    def deliver(self, sender: str, data: bytes, address: Address) -> None:
        receiver = self.names[int(address[0].rpartition(".")[2])]
        target = self.entries[receiver]
        is_lost = self.loses_datagrams or (sender, receiver) in self.cut_links
        if target is not None and not is_lost:
            number = self.names.index(sender)
            arguments = data, (f"10.1.0.{number}", 9)
            self.loop.call_later(DATAGRAM_SECONDS, self._receive, target, *arguments)

    def _receive(self, target: Entry, data: bytes, address: Address) -> None:
        if target.alive:
            target.inbox.receive(data, address)

    def start(self, name: str) -> None:
        if self.entries[name] is None:
            entry = self.entries[name] = Entry(self, name)
            self.processes.append(entry)

    def kill(self, names: cabc.Iterable[str]) -> None:
        ending: list[asyncio.Task[None]] = []
        for name in names:
            entry, self.entries[name] = self.entries[name], None
            ending += [] if entry is None else entry.kill()
        if ending:
            self.loop.run_until_complete(asyncio.wait(ending))

    def cut_off(self, *names: str, store: str = "silent", peers: bool = True) -> None:
        """Cut entries off from the store, and perhaps from all others.

        Entries that are cut off together still reach one another.

        :param store: how calls to the store fail, or ``""`` if they don't.
        """
        for name in names:
            self.store.unreachable[name] = store
        others = [name for name in self.names if name not in names]
        if peers:
            self.cut_links |= set(itertools.product(names, others))
            self.cut_links |= set(itertools.product(others, names))

    def heal(self) -> None:
        """End all cuts."""
        self.store.unreachable.clear()
        self.cut_links.clear()

    def add_build(self, build: str, engines: int = 2) -> None:
        for _ in range(engines):
            self.registered += 1
            name = f"i-{self.registered}"
            self._boot(name, build)
            self._register(name)

    def exchange_build(self, build: str, other: str, seconds: float) -> None:
        """Restart engines of a build under their names with another one.

        :param seconds: time from their start to their registration.
        """
        for name in [name for name, b in self.engines.items() if b == build]:
            self._boot(name, other)
            self.loop.call_later(seconds, self._register_again, name, self.boots[name])

    def _boot(self, name: str, build: str) -> None:
        self.engines[name] = build
        self.boots[name] = self.boots.get(name, 0) + 1
        self.incarnations[unregistered_build((name, str(self.boots[name])))] = build

    def _register_again(self, name: str, boot: int) -> None:
        if name in self.engines and self.boots[name] == boot:
            self._register(name)

    def true_build(self, build: str) -> str:
        """Return the build that an incarnation has, or a build as it is."""
        return self.incarnations.get(build, build)

    def _register(self, name: str) -> None:
        replica = engine(name, None)
        replica.address = f"10.0.0.{name.rpartition('-')[2]}:80"
        value = registration(replica) | {"version": self.engines[name]}
        value["born"] = self.boots[name]
        self.store.put(f"servers/{name}", value)

    def remove_build(self, build: str) -> None:
        for name in [name for name, b in self.engines.items() if b == build]:
            del self.engines[name]
            self.store.remove(f"servers/{name}")

    def restore(self, backup: Contents) -> None:
        """Restore the store; replicas then write what they are."""
        self.store.restore(backup)
        self.loop.call_later(REWRITE_SECONDS, self._rewrite, self.store.era)

    def _rewrite(self, era: int) -> None:
        if era != self.store.era:
            return
        for key in list(self.store.contents.items):
            prefix, _, name = key.partition("/")
            if prefix == "servers" and name not in self.engines:
                self.store.remove(key)
        for name in self.engines:
            self._register(name)

    def begin(self, name: str) -> Stream | None:
        """Begin a stream at an entry; ``None`` if no engine answers."""
        return self.loop.run_until_complete(self._begin(name))

    async def _begin(self, name: str) -> Stream | None:
        entry = self.entries[name]
        request_id = f"id-{self.begun}"
        chosen = None if entry is None else entry.place(request_id)
        if entry is None or chosen is None or chosen.name not in self.engines:
            return None
        self.begun += 1
        build, boot = chosen.build, str(self.boots[chosen.name])
        if chosen.boot != boot:
            # The reply names an incarnation that has not registered here.
            entry.fleet.on_answered_as(chosen, boot)
            build = unregistered_build((chosen.name, boot))
            build = entry.fleet.incarnations.build(build)
        entry.stream_builds.on_begun(request_id, GROUP, build)
        return Stream(request_id, self.true_build(build), self.loop.now, entry)

    def resume(self, stream: Stream, name: str) -> FoundBuild | None:
        """Resume a stream at an entry; ``None`` if that can't answer."""
        return self.loop.run_until_complete(self._resume(stream, name))

    def _runs(self, engine: Upstream) -> bool:
        """Return whether an incarnation runs; no other one goes on with a stream."""
        name = engine.name
        return name in self.engines and str(self.boots[name]) == engine.boot

    async def _resume(self, stream: Stream, name: str) -> FoundBuild | None:
        entry = self.entries[name]
        if entry is None or not entry.fleet.ready:
            return None
        stream.entry.stream_builds.on_ended(stream.request_id, complete=False)
        found = await entry.stream_builds.find(stream.request_id, [GROUP])
        self.outcomes[found.known_by.value] += 1
        if found.record is not None:
            chosen = entry.place(stream.request_id, found.record.build)
            if chosen is not None and self._runs(chosen):
                build = found.record.build
                entry.stream_builds.on_begun(stream.request_id, GROUP, build)
                stream.entry = entry
        return found

    def resume_all(
        self, streams: cabc.Iterable[Stream], name: str
    ) -> list[FoundBuild | None]:
        """Resume streams at an entry, all at once."""
        asked = [self._resume(stream, name) for stream in streams]

        async def gather() -> list[FoundBuild | None]:
            return await asyncio.gather(*asked)

        return self.loop.run_until_complete(gather())

    def complete(self, stream: Stream) -> None:
        """End a stream whole."""
        self.loop.run_until_complete(self._complete(stream))

    async def _complete(self, stream: Stream) -> None:
        stream.entry.stream_builds.on_ended(stream.request_id, complete=True)
