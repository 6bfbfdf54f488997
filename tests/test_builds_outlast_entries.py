"""Streams that callers take up again after all entries were killed and started again.

The entries' memory is gone then, while the engines' group has, or just had, several
builds. Engines do not check that a stream goes on at the build that began it.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import contextlib
import itertools
import time
import types
import typing as t

import pytest
from aiohttp import web

from direct_support import config
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from platform_standin import Backup
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import event
from test_builds import SHORT
from test_builds import begin_at
from test_builds import resume_at
from test_builds import streams
from test_direct_process import Process
from test_direct_process import process

STREAMS = 12
PATIENCE_SECONDS = 4.0
"""How long callers try to take a stream up again, on from the entries' readiness."""

LATE_SECONDS = 1.5
"""Delay of a write that is carried out late: past the kill of the entries."""

RETURN_SECONDS = 1.8
"""When live engines are registered again after a restore; two seconds are allowed."""

WRITES = ("/kv-txn", "/kv-lease")


class FaultyStore(Store):
    """A store with an address for each entry, lapsing leases, and faults of writes.

    :param turned_away: ports at which all calls are refused.
    :param write_fault: what happens to writes: ``refused``, ``lost`` (carried out, and
        not answered), ``late`` (the same, some time later), or nothing.
    """

    def __init__(self) -> None:
        super().__init__()
        self.turned_away: set[int] = set()
        self.write_fault = ""
        self.late: set[asyncio.Task[None]] = set()
        self.renewed_at: dict[int, float] = {}

    async def open_port(self) -> int:
        """Listen on one more port."""
        assert self.runner is not None
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return int(self.runner.addresses[-1][1])

    def writes(self) -> int:
        return sum(call.removeprefix("POST ") in WRITES for call in self.calls)

    async def expire_leases(self) -> None:
        """End leases that are not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, milliseconds in list(self.leases.items()):
                renewed_at = self.renewed_at.setdefault(lease, now)
                if now >= renewed_at + milliseconds / 1e3:
                    self.end_lease(lease)

    def restore(self, backup: Backup) -> None:
        super().restore(backup)
        self.renewed_at.clear()

    async def _keep(self, request: web.Request) -> web.Response:
        self.renewed_at[int(request.match_info["lease"])] = time.monotonic()
        return await super()._keep(request)

    async def _answer(self, request: web.Request, handler: t.Any) -> web.StreamResponse:
        assert request.transport is not None
        fault = self.write_fault if request.path in WRITES else ""
        if request.transport.get_extra_info("sockname")[1] in self.turned_away:
            fault = "refused"
        if fault in ("lost", "late"):
            await request.read()
            late = asyncio.create_task(self._carry_out(request, handler, fault))
            self.late.add(late)
            late.add_done_callback(self.late.discard)
            request.transport.abort()
        if fault:
            self.calls.append(f"{request.method} {request.path}")
            return web.Response(status=503)
        return await super()._answer(request, handler)

    async def _carry_out(
        self, request: web.Request, handler: t.Any, fault: str
    ) -> None:
        await asyncio.sleep(LATE_SECONDS if fault == "late" else 0.0)
        await handler(request)


class Site:
    """Entries as processes in front of two engines of each build.

    :param begun: builds of the streams that have begun, by the id of their request.
    """

    def __init__(self, stack: contextlib.AsyncExitStack, store: FaultyStore) -> None:
        self.stack = stack
        self.store = store
        self.engines: dict[str, list[Replica]] = {}
        self.ports: list[int] = []
        self.entries: list[Process] = []
        self.begun: dict[str, str] = {}
        self.held: list[asyncio.StreamWriter] = []

    async def add_engines(self) -> None:
        script = EngineScript(last=400, pause=0.02)
        for build, number in itertools.product(("v1", "v2"), range(2)):
            more = {"service": "llm", "slots": 64, "version": build, "born": 1}
            engine = Replica(f"{build}-{number}", script, **more)
            await self.stack.enter_async_context(engine)
            self.engines.setdefault(build, []).append(engine)

    def register(self, *builds: str) -> None:
        for engine in itertools.chain(*(self.engines[build] for build in builds)):
            self.store.put(f"servers/{engine.name}", registration(engine))

    def leave(self, build: str) -> None:
        for engine in self.engines[build]:
            self.store.remove(f"servers/{engine.name}")

    async def start(self, unready: cabc.Container[int] = ()) -> None:
        """Start all entries, and wait for those that the store serves."""
        self.entries = []
        for number, port in enumerate(self.ports):
            address = types.SimpleNamespace(address=f"127.0.0.1:{port}")
            started = process(t.cast(t.Any, address), f"entry-{number}")
            self.entries.append(await self.stack.enter_async_context(started))
        ready = [e for n, e in enumerate(self.entries) if n not in unready]
        await asyncio.gather(*(entry.until_ready() for entry in ready))
        # Another process that has taken a port would answer in an entry's place.
        assert all(entry.process.returncode is None for entry in self.entries)

    async def kill(self) -> None:
        """Kill all entries at once."""
        for entry in self.entries:
            entry.process.kill()
        await asyncio.gather(*(entry.process.wait() for entry in self.entries))

    async def begin(self, name: str, count: int = STREAMS, first: int = 0) -> list[str]:
        """Begin streams, in turn at the entries from one on; return those that begin."""
        ids = [f"{name}-{number}" for number in range(count)]
        entries = itertools.cycle(self.entries[first:])
        opened = await asyncio.gather(
            *(
                asyncio.wait_for(begin_at(entry.port, each), 2.0)
                for entry, each in zip(entries, ids, strict=False)
            ),
            return_exceptions=True,
        )
        self.held += [w for w in opened if isinstance(w, asyncio.StreamWriter)]
        builds = {
            received.request_id: build
            for build, engines in self.engines.items()
            for received in itertools.chain(*map(streams, engines))
        }
        begun = [
            each
            for each, writer in zip(ids, opened, strict=True)
            if isinstance(writer, asyncio.StreamWriter)
        ]
        self.begun |= {each: builds[each] for each in begun}
        return begun

    async def resume(self, only: int | None = None) -> dict[str, list[int]]:
        """Take all streams up again; return the statuses by stream, 0 for none.

        :param only: the entry that all callers reach; otherwise each try is at another.
        """
        until = time.monotonic() + PATIENCE_SECONDS
        found = await asyncio.gather(
            *(
                self._take_up(stream, number, only, until)
                for number, stream in enumerate(self.begun)
            )
        )
        return dict(zip(self.begun, found, strict=True))

    async def _take_up(
        self, stream: str, number: int, only: int | None, until: float
    ) -> list[int]:
        statuses = []
        for attempt in itertools.count():
            index = (number + attempt + 1) % len(self.entries)
            port = self.entries[index if only is None else only].port
            status, delay = 0, 0.5
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, TimeoutError
            ):
                asked = resume_at(port, f"{stream}~{attempt}", stream)
                got = await asyncio.wait_for(asked, 2.5)
                delay = max(delay, float(got.headers.get("retry-after", "0")))
                goes_on = got.body.endswith(event(400))
                status = got.status if goes_on or got.status != 200 else 0
            statuses.append(status)
            if status == 200 or time.monotonic() + delay > until:
                break
            await asyncio.sleep(delay)
        return statuses

    def misplaced(self) -> list[str]:
        """Return the attempts that reached an engine of another build."""
        return [
            received.request_id
            for build, engines in self.engines.items()
            for received in itertools.chain(*map(streams, engines))
            if self.begun.get(received.request_id.partition("~")[0], build) != build
        ]

    def share(self, outcome: t.Mapping[str, list[int]], build: str) -> float:
        """Return the part of a build's streams that go on."""
        ends = [outcome[s][-1] for s, began in self.begun.items() if began == build]
        return ends.count(200) / len(ends)

    def summary(self, outcome: t.Mapping[str, list[int]]) -> str:
        """Return how many streams ended with each status, by the build they began at."""
        ends = collections.Counter((self.begun[s], o[-1]) for s, o in outcome.items())
        return f"{sorted(ends.items())}, misplaced: {len(self.misplaced())}"


@contextlib.asynccontextmanager
async def site(*builds: str, entries: int = 3) -> cabc.AsyncIterator[Site]:
    """Run entries before engines of which those of some builds are registered."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(FaultyStore())
        expiry = asyncio.create_task(store.expire_leases())
        stack.callback(expiry.cancel)
        found = Site(stack, store)
        await found.add_engines()
        talk = {"resumable": True, "timeout-ms": 9000}
        document = config(routes=[route("/long/", "streaming", "llm", **talk)])
        store.put("op/config", document)
        found.register(*builds)
        found.ports = [await store.open_port() for _ in range(entries)]
        await found.start()
        await asyncio.sleep(0.7)
        yield found


async def begin_at_both(found: Site, first: int = 0) -> None:
    """Begin streams at both builds and let them run for a second."""
    await found.begin("a", first=first)
    assert len(found.begun) == STREAMS
    assert set(found.begun.values()) == {"v1", "v2"}
    await asyncio.sleep(1.0)


async def assert_new_streams_begin(found: Site, first: int = 0) -> None:
    assert len(await found.begin("new", 6, first)) == 6


@pytest.mark.parametrize("down_seconds", [0.2, 1.0])
async def test_streams_of_two_builds_outlast_all_entries(down_seconds):
    """Guards against refusing for ever, or misplacing, the streams of two builds."""
    async with site("v1", "v2") as found:
        await begin_at_both(found)
        await found.kill()
        await asyncio.sleep(down_seconds)
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == []
        shares = [found.share(outcome, build) for build in ("v1", "v2")]
        assert min(shares) >= 0.5, found.summary(outcome)


@pytest.mark.parametrize("when", ["before the kill", "while all are down"])
async def test_stream_of_a_build_that_left_is_refused(when):
    """Guards against the only build left, which did not begin the stream."""
    async with site("v1", "v2") as found:
        await begin_at_both(found)
        if when == "before the kill":
            found.leave("v1")
            await asyncio.sleep(0.5)
        await found.kill()
        if when == "while all are down":
            found.leave("v1")
        await asyncio.sleep(0.3)
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        old = [o for s, o in outcome.items() if found.begun[s] == "v1"]
        assert set(itertools.chain(*old)) == {503}
        assert found.share(outcome, "v2") >= 0.5, found.summary(outcome)
        await assert_new_streams_begin(found)


async def test_streams_of_the_only_build_go_on_as_another_comes_in_the_outage():
    """Guards against misplacing or refusing streams that began before there were two
    builds, where the second one came while no entry ran."""
    async with site("v1") as found:
        await found.begin("a")
        await asyncio.sleep(1.0)
        await found.kill()
        found.register("v2")
        await asyncio.sleep(0.3)
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        await assert_new_streams_begin(found)
        assert found.share(outcome, "v1") >= 0.5, found.summary(outcome)


async def test_streams_outlast_two_kills_in_series():
    """Guards against entries that overwrite what they kept before they were killed."""
    async with site("v1", "v2") as found:
        await begin_at_both(found)
        for _ in range(2):
            await found.kill()
            killed_at = time.monotonic()
            await asyncio.sleep(0.2)
            await found.start()
            await asyncio.sleep(max(0.0, killed_at + 1.0 - time.monotonic()))
        outcome = await found.resume()
        assert found.misplaced() == []
        shares = [found.share(outcome, build) for build in ("v1", "v2")]
        assert min(shares) >= 0.5, found.summary(outcome)


@pytest.mark.parametrize("since", ["the streams begin", "it starts", "it is ready"])
async def test_entry_that_the_store_turns_away_makes_no_guess(since):
    """Guards against an entry that takes the only build that it reads, or that its
    peers know, for the build of a stream which it knows nothing of."""
    async with site("v1", "v2") as found:
        port = {found.ports[0]}
        if since == "the streams begin":
            found.store.turned_away = port
        await begin_at_both(found)
        await found.kill()
        found.leave("v1")
        await asyncio.sleep(0.3)
        found.store.turned_away = port if since == "it starts" else set()
        await found.start(unready={0} if since == "it starts" else ())
        if since == "it is ready":
            found.store.turned_away = port
        outcome = await found.resume(only=0)
        assert found.misplaced() == [], found.summary(outcome)
        old = [o for s, o in outcome.items() if found.begun[s] == "v1"]
        assert 200 not in set(itertools.chain(*old))
        await assert_new_streams_begin(found, first=1)


@pytest.mark.parametrize("fault", ["refused", "lost", "late"])
@pytest.mark.parametrize("leaves", ["v1", "v2"])
async def test_faults_of_writes_before_the_kill_misplace_no_stream(fault, leaves):
    """Guards against a guess by what the store was told before its writes failed.

    The first build leaves while no entry runs; or the second one does, which came as
    writes failed already.
    """
    early = ("v1", "v2") if leaves == "v1" else ("v1",)
    async with site(*early, entries=2) as found:
        found.store.write_fault = fault
        found.register("v2")
        await asyncio.sleep(0.5)
        await found.begin("a")
        await asyncio.sleep(1.0)
        await found.kill()
        found.leave(leaves)
        await asyncio.sleep(0.3)
        found.store.write_fault = ""
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        await assert_new_streams_begin(found)


@pytest.mark.parametrize("when", ["before", "while down", "after"])
async def test_restore_around_the_kill_misplaces_no_stream(when):
    """Guards against a guess by a copy of the store that is older than a build.

    The second build's engines live on, and are registered again two seconds later.
    """
    async with site("v1", entries=2) as found:
        copy = found.store.backup()
        found.register("v2")
        await asyncio.sleep(0.5)
        await begin_at_both(found)

        def restore() -> None:
            found.store.restore(copy)
            loop = asyncio.get_running_loop()
            loop.call_later(RETURN_SECONDS, found.register, "v1", "v2")

        if when == "before":
            restore()
            await asyncio.sleep(0.3)
        await found.kill()
        if when == "while down":
            restore()
        await asyncio.sleep(0.2)
        await found.start()
        if when == "after":
            await asyncio.sleep(0.3)
            restore()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        await assert_new_streams_begin(found)


async def test_streams_of_one_build_outlast_all_entries():
    """Guards against refusing streams where there has been one build throughout."""
    async with site("v1") as found:
        await found.begin("a")
        assert len(found.begun) == STREAMS
        await asyncio.sleep(1.0)
        await found.kill()
        await asyncio.sleep(0.3)
        await found.start()
        outcome = await found.resume()
        assert found.share(outcome, "v1") == 1.0, found.summary(outcome)


async def test_streams_of_one_build_cost_no_writes():
    """Guards against writes to the store for each stream of a group of one build."""
    async with site("v1", entries=2) as found:
        for engine in found.engines["v1"]:
            engine.script = EngineScript(last=6, pause=0.05)
        await asyncio.sleep(2.0)
        counts = []
        for streams_at_once in (0, 50):
            before = found.store.writes()
            until = asyncio.create_task(asyncio.sleep(2.0))
            answers = await asyncio.gather(
                *(
                    ask_whole(found.entries[n % 2].port, f"w-{n}")
                    for n in range(streams_at_once)
                )
            )
            await until
            assert answers == [200] * streams_at_once
            counts.append(found.store.writes() - before)
        idle, busy = counts
        assert busy <= idle + len(found.entries), counts


async def ask_whole(port: int, request_id: str) -> int:
    """Ask for a stream, and return its status if it comes to its end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request("/long/x", request_id=request_id, **SHORT))
    got = await read_answer(reader)
    writer.close()
    return got.status if got.complete else 0
