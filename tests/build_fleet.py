"""The processes of a series of kills and releases, and the faults that befall them."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import signal
import time
import typing as t

from aiohttp import web

from direct_support import route
from move_series import MoveFleet
from move_series import MovePlan
from peer_relays import PartedStore
from series_fleet import SeriesStore
from series_fleet import send_signal

SHUTDOWN_SECONDS = 5
STREAM_MS = 25_000
"""Time limit of the route; longer than callers go on with a stream."""

ENTRY_NAME = "BERGAMOTMAST_NAME"


@dataclasses.dataclass(frozen=True, kw_only=True)
class BuildPlan(MovePlan):
    """A series of kills and releases.

    :param silent_share: part of the events before which some engines fall silent.
    :param has_cuts: whether datagrams between entries pass through relays.
    """

    silent_share: float = 0.005
    has_cuts: bool = False


@dataclasses.dataclass(frozen=True)
class Cut:
    """What some entries are cut off from.

    :param store: how, as for ``PartedStore``; empty if the store is not cut off.
    :param way: of the datagrams between them and all others that are lost: ``both``,
        ``in``, ``out``, or empty for none.
    """

    entries: tuple[int, ...]
    store: str
    way: str


class BuildStore(PartedStore, SeriesStore):
    """The platform's store, which can turn entries away and be late.

    :param addresses: the address that each entry knows it by.
    :param turned_away: addresses whose calls get status 503.
    :param late_writes: how many of the next writes get no reply and take effect later.
    :param late_seconds: how much later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.addresses: list[str] = []
        self.turned_away: set[str] = set()
        self.late_writes = 0
        self.late_seconds = 0.0

    async def listen(self, count: int) -> None:
        """Listen at an address for each entry."""
        assert self.runner is not None
        for _ in range(count):
            await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.addresses = [f"{host}:{port}" for host, port in self.runner.addresses[1:]]

    async def _answer(self, request: web.Request, handler: t.Any) -> web.StreamResponse:
        assert request.transport is not None
        host, port = request.transport.get_extra_info("sockname")
        if f"{host}:{port}" in self.turned_away:
            return web.Response(status=503)
        if request.method == "POST" and self.late_writes:
            self.late_writes -= 1
            await request.read()
            request.transport.abort()
            await asyncio.sleep(self.late_seconds)
        return await super()._answer(request, handler)


class BuildFleet(MoveFleet):
    """Entries and engines that are killed, released anew, and lose the store.

    :param releasing: build of all engines that are started from now on.
    :param born: start of each engine, in milliseconds of the wall clock, by number.
    :param cuts: cuts at present.
    """

    plan: BuildPlan
    store: BuildStore
    replica_script = "build_replica.py"
    routes: t.ClassVar = [
        route("/long/", "streaming", "llm", resumable=True)
        | {"max-attempts": 3, "timeout-ms": STREAM_MS}
    ]

    def __init__(
        self, plan: BuildPlan, folder: pathlib.Path, rng: random.Random
    ) -> None:
        super().__init__(plan, folder, rng)
        self.store = BuildStore()
        self.releasing = ""
        self.born: dict[int, int] = {}
        self.cuts: list[Cut] = []

    async def _start(self) -> None:
        await self.store.listen(self.plan.entries)
        if self.plan.has_cuts:
            ports = (int(each.rpartition(":")[2]) for each in self.store.addresses)
            self.store.numbers = {port: entry for entry, port in enumerate(ports)}
            await self.store.relays.open(self.plan.entries)
        await super()._start()

    async def __aexit__(self, *error: object) -> None:
        self.cuts.clear()
        self._apply_cuts()
        self.store.relays.close()
        await super().__aexit__(*error)

    async def _spawn(
        self, log: str, script: str, *arguments: str, **settings: str
    ) -> asyncio.subprocess.Process:
        if ENTRY_NAME in settings:
            number = int(settings[ENTRY_NAME].rpartition("-")[2])
            address = self.store.addresses[number]
            settings["BERGAMOTMAST_STORE_ADDRESS"] = address
            settings["BERGAMOTMAST_SHUTDOWN_SECONDS"] = str(SHUTDOWN_SECONDS)
        return await super()._spawn(log, script, *arguments, **settings)

    def arguments(self, number: int) -> tuple[str, ...]:
        """Return an engine's name, build, silent share, and start."""
        self.born[number] = int(time.time() * 1e3)
        share = 0.0 if number % 2 else self.plan.silent_share
        build = self.kinds[number][1]
        return (f"i-{number}", build, str(share), str(self.born[number]))

    def register(self, number: int, entry: dict[str, object]) -> None:
        """Register an engine that has just started."""
        super().register(number, entry | {"born": self.born[number]})

    async def kill_all(self, seconds: float) -> None:
        """Kill all entries and start them again some seconds later."""
        async with asyncio.TaskGroup() as group:
            for entry in range(self.plan.entries):
                group.create_task(self.kill(entry, seconds))

    async def kill(self, entry: int, seconds: float) -> None:
        """Kill an entry and start it again some seconds later."""
        await self._end(entry, signal.SIGKILL, seconds)

    async def stop(self, entry: int) -> None:
        """Stop an entry by SIGTERM, and start it again once it has ended."""
        await self._end(entry, signal.SIGTERM, 0.0)

    async def freeze(self, entry: int, seconds: float) -> None:
        """Pause an entry's process."""
        incarnation = self.current[entry]
        await send_signal(incarnation, signal.SIGSTOP, 0.0)
        await send_signal(incarnation, signal.SIGCONT, seconds)

    async def _end(self, entry: int, how: signal.Signals, seconds: float) -> None:
        incarnation = self.current[entry]
        ended = incarnation.sigterm_at or incarnation.killed_at
        if how == signal.SIGKILL and not incarnation.killed_at:
            incarnation.killed_at = time.monotonic()
        elif not ended:
            incarnation.sigterm_at = time.monotonic()
        await send_signal(incarnation, how, 0.0)
        await incarnation.process.wait()
        if not ended:
            await asyncio.sleep(seconds)
            await self.start_entry(entry)

    async def come_back(self, seconds: float, build: str) -> None:
        """Crash an engine, which starts again under its name, perhaps of a build."""
        number = await self._take()
        self.replicas[number].kill()
        await self.replicas[number].wait()
        lapses = self.rng.random() < 0.5
        await asyncio.sleep(seconds / 2)
        if lapses:
            self.store.remove(f"servers/i-{number}")
        await asyncio.sleep(seconds / 2)
        stage, before = self.kinds[number]
        self.kinds[number] = (stage, self.rng.choice((before, build)))
        await self.start_replica(number)

    async def release(self, build: str, interval: float) -> None:
        """Start an engine of a build for each one, which is then drained and ended."""
        self.releasing = build
        async with asyncio.TaskGroup() as group:
            for number in sorted(self.serving):
                if number in self.serving and self.kinds[number][1] != build:
                    self.serving.remove(number)
                    group.create_task(self._retire(number))
                    await asyncio.sleep(interval)

    async def turn_away(self, entries: t.Sequence[int], seconds: float) -> None:
        """Let the store turn some entries away."""
        self.store.turned_away |= {self.store.addresses[entry] for entry in entries}
        await asyncio.sleep(seconds)
        self.store.turned_away.clear()

    async def part(
        self, entries: tuple[int, ...], store: str, way: str, seconds: float
    ) -> None:
        """Cut some entries off together, for some seconds."""
        cut = Cut(entries, store, way)
        self.cuts.append(cut)
        self._apply_cuts()
        await asyncio.sleep(seconds)
        if cut in self.cuts:
            self.cuts.remove(cut)
        self._apply_cuts()

    def _apply_cuts(self) -> None:
        self.store.cuts.clear()
        self.store.relays.cut.clear()
        for cut in self.cuts:
            others = [n for n in range(self.plan.entries) if n not in cut.entries]
            for entry in cut.entries:
                if cut.store:
                    self.store.cuts[entry] = cut.store
                self.store.relays.part(entry, others, cut.way)

    async def lose_replies(self, count: int) -> None:
        """Let the store lose the replies to some writes."""
        self.store.lose_replies = count
        await asyncio.sleep(1.0)
        self.store.lose_replies = 0

    async def delay_writes(self, count: int, seconds: float) -> None:
        """Let the store carry some writes out later, without a reply."""
        self.store.late_writes, self.store.late_seconds = count, seconds
        await asyncio.sleep(1.0)
        self.store.late_writes = 0
        await asyncio.sleep(seconds)

    async def restore(self, age: float, seconds: float) -> None:
        """Let the store come back from a copy of some age after an outage."""
        backup = self.store.backup()
        await asyncio.sleep(age)
        self.store.outage = 503
        await asyncio.sleep(seconds / 2)
        self.store.restore_live(backup)
        self.store.outage = 0

    async def _start_another(self, number: int) -> None:
        build = self.releasing or self.rng.choice(self.plan.builds)
        self.kinds.append((self.kinds[number][0], build))
        await self.start_replica(len(self.kinds) - 1)
