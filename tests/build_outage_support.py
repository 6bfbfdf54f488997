"""Entries as processes that are killed at once, before engines of several builds."""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import contextlib
import itertools
import time
import types
import typing as t
import zlib

from aiohttp import web

from direct_support import config
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from platform_standin import Backup
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Store
from platform_standin import event
from test_builds import SHORT
from test_builds import resume_at
from test_builds import streams
from test_direct_process import Process
from test_direct_process import process

STREAMS = 12
PATIENCE_SECONDS = 4.0
"""How long callers try to take a stream up again, on from the entries' readiness."""

LATE_SECONDS = 1.5
"""Delay of a write that is carried out late: past the kill of the entries."""

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


async def long_stream(
    replica: Replica, received: Received, writer: asyncio.StreamWriter
) -> None:
    """Stream for eight seconds, to callers that may be killed meanwhile."""
    with contextlib.suppress(ConnectionError):
        await EngineScript(last=400, pause=0.02)(replica, received, writer)


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
        for build, number in itertools.product(("v1", "v2"), range(2)):
            more = {"service": "llm", "slots": 64, "version": build, "born": 1}
            engine = Replica(f"{build}-{number}", long_stream, **more)
            await self.stack.enter_async_context(engine)
            self.engines.setdefault(build, []).append(engine)

    def register(self, *builds: str) -> None:
        for engine in itertools.chain(*(self.engines[build] for build in builds)):
            self.store.put(f"servers/{engine.name}", registration(engine))

    def leave(self, build: str) -> None:
        for engine in self.engines[build]:
            self.store.remove(f"servers/{engine.name}")

    async def open_ports(self, entries: int) -> None:
        """Open the store's address of each entry."""
        self.ports = [await self.store.open_port() for _ in range(entries)]

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
        self.hang_up()

    def hang_up(self) -> None:
        """Close the callers' connections."""
        for writer in self.held:
            writer.close()
        self.held.clear()

    async def begin(
        self, name: str, count: int = STREAMS, first: int = 0, end: int | None = None
    ) -> list[str]:
        """Begin streams and return those that have begun.

        :param first: the first entry that callers reach.
        :param end: the first of the last entries, which callers do not reach.
        """
        ids = [f"{name}-{number}" for number in range(count)]
        entries = itertools.cycle(self.entries[first:end])
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
        """Return how many streams ended with each status, by build."""
        ends = collections.Counter((self.begun[s], o[-1]) for s, o in outcome.items())
        return f"{sorted(ends.items())}, misplaced: {len(self.misplaced())}"


SiteT = t.TypeVar("SiteT", bound=Site)


@contextlib.asynccontextmanager
async def site(
    *builds: str,
    entries: int = 3,
    site_class: type[SiteT] = Site,  # type: ignore[assignment]
    store_class: type[FaultyStore] = FaultyStore,
) -> cabc.AsyncIterator[SiteT]:
    """Run entries before engines of which those of some builds are registered."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(store_class())
        expiry = asyncio.create_task(store.expire_leases())
        stack.callback(expiry.cancel)
        found = site_class(stack, store)
        await found.add_engines()
        talk = {"resumable": True, "timeout-ms": 9000}
        document = config(routes=[route("/long/", "streaming", "llm", **talk)])
        store.put("op/config", document)
        found.register(*builds)
        await found.open_ports(entries)
        try:
            await found.start()
            await asyncio.sleep(0.7)
            yield found
        finally:
            found.hang_up()
            # Engines notice the closed connections before the event loop ends.
            await asyncio.sleep(0.1)


async def begin_at_both(found: Site) -> None:
    """Begin streams until each build has some, and let them run for a second."""
    for wave in range(10):
        await found.begin(f"a{wave}", STREAMS // 2)
        counts = collections.Counter(found.begun.values())
        if len(found.begun) >= STREAMS and min(counts["v1"], counts["v2"]) >= 4:
            break
    else:
        raise AssertionError(f"streams begin at one build only: {counts}")
    await asyncio.sleep(1.0)


async def assert_new_streams_begin(found: Site, first: int = 0) -> None:
    assert len(await found.begin("new", 6, first)) == 6


async def ask_whole(port: int, request_id: str) -> int:
    """Ask for a stream, and return its status if it comes to its end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request("/long/x", request_id=request_id, **SHORT))
    got = await read_answer(reader)
    writer.close()
    return got.status if got.complete else 0


async def begin_at(port: int, request_id: str) -> asyncio.StreamWriter:
    """Begin a stream and return its connection after two events.

    No two streams share a part of their prompts, which would draw them to one engine.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    own_part = f"{zlib.crc32(request_id.encode()):x}:400"
    headers = SHORT | {"X_Deadline_Ms": "9000", "X_Prompt_Prefix": own_part}
    writer.write(request("/long/x", request_id=request_id, **headers))
    await reader.readuntil(event(2))
    return writer
