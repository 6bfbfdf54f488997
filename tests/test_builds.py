"""Tests of engines of several software versions (builds) in one service."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import typing as t

import pytest

from bergamotmast.direct.decode_attempt import STALL_TIMEOUT_SECONDS
from bergamotmast.direct.presence import PRESENCE_PREFIX
from bergamotmast.errors import ConfigError
from bergamotmast.model import Role
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.policy.direct_placement import EngineCandidate
from bergamotmast.policy.direct_placement import place_prompt
from bergamotmast.policy.direct_roles import EngineRole
from bergamotmast.policy.direct_roles import RoleController
from bergamotmast.ports import KeyValue
from direct_support import MISSING
from direct_support import Answer
from direct_support import Entry
from direct_support import config
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import Store
from platform_standin import answer
from platform_standin import chunk
from platform_standin import event
from platform_standin import head
from platform_standin import not_run
from platform_standin import reset
from test_direct_process import Process
from test_direct_process import process
from test_direct_roles import OrderedEngine
from test_direct_roles import planners
from test_direct_roles import run
from test_silent_engines import FixedProbe

LONG = {"X_Token_Count": "6000,80", "X_Prompt_Prefix": "aa:2000,bb:4000"}
SHORT = {"X_Token_Count": "400,80", "X_Prompt_Prefix": "cc:100,dd:300"}


def built(name: str, build: object, script: Script, stage: str = "decode") -> Replica:
    """Return an engine of a build that is not started yet."""
    return Replica(
        name, script, service="llm", slots=64, stage=stage, version=build, born=1
    )


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


def streams(replica: Replica) -> list[Received]:
    """Return the requests for a stream that an engine has received."""
    return [
        received
        for received in replica.received
        if received.method == "POST" and "x-stage" not in received.headers
    ]


def breaks_when(released: asyncio.Event, events_before: int = 2) -> Script:
    """Return the script of an engine that crashes within an event once released."""

    async def script(replica: Replica, received: Received, writer: t.Any) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines))
        for number in range(1, events_before + 1):
            writer.write(chunk(event(number)))
        await writer.drain()
        await released.wait()
        writer.write(chunk(event(events_before + 1)[:7]))
        await writer.drain()
        reset(writer)

    return script


def silent(seconds: float) -> Script:
    """Return the script of an engine that pauses after two events and goes on."""

    async def script(replica: Replica, received: Received, writer: t.Any) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines))
        for number in range(1, 5):
            if number == 3:
                await asyncio.sleep(seconds)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


def load(entry: Entry, name: str, seconds: float = 0.5) -> None:
    """Let an engine seem to have so much work that any idle one is chosen first."""
    now = asyncio.get_running_loop().time()
    (member,) = [m for m in entry.fleet.members("llm", now) if m.name == name]
    tracker = entry.core.context.placer.engine_load(member)
    tracker.begin(("peer", 1), seconds, 0, now)


async def ask_breaking(
    entry: Entry,
    first: Replica,
    released: asyncio.Event,
    others: t.Sequence[Replica],
    loaded: str = "",
    headers: t.Mapping[str, str] = SHORT,
) -> Answer:
    """Send a request that the first engine begins; the others are added before it ends.

    :param loaded: name of an engine that is busier than the other ones.
    """
    for other in others:
        entry.register(other, state="draining")
    asked = asyncio.create_task(entry.ask("/long/x", **headers))
    await until(lambda: bool(first.received))
    for other in others:
        entry.register(other)
    if loaded:
        load(entry, loaded)
    await asyncio.sleep(0.05)
    released.set()
    return await asked


async def begin(
    entry: Entry, request_id: str, others: t.Sequence[Replica] = (), last: int = 2
) -> None:
    """Begin a stream while other engines are leaving, and disconnect within it."""
    for other in others:
        entry.register(other, state="draining")
    reader, writer = await entry.connect()
    writer.write(request("/long/x", request_id=request_id, **SHORT))
    await reader.readuntil(event(last))
    writer.close()
    for other in others:
        entry.register(other)


async def resume(
    entry: Entry, request_id: str, resumes: str, last: int = 2, **headers: str
) -> Answer:
    """Send a request that takes a stream up again."""
    return await entry.ask(
        "/long/x",
        request_id=request_id,
        Resumes=resumes,
        Last_Event_Id=str(last),
        **SHORT,
        **headers,
    )


# Within one answer


async def test_crashed_stream_goes_on_at_its_build():
    """Guards against moving a stream to an idle engine of another build."""
    released = asyncio.Event()
    first = built("i-1", "v1", breaks_when(released))
    same = built("i-2", "v1", EngineScript())
    others = [built(f"i-{n}", "v2", EngineScript()) for n in (3, 4)]
    async with serving(first, same, *others) as entry:
        got = await ask_breaking(entry, first, released, (same, *others), "i-2")
    assert [other.received for other in others] == [[], []]
    assert got.complete
    assert got.body == events(1, 4)
    assert same.received[0].headers["last-event-id"] == "2"


async def test_crashed_stream_without_another_engine_of_its_build_is_cut():
    """Guards against completing a stream at another build for lack of its own."""
    released = asyncio.Event()
    first = built("i-1", "v1", breaks_when(released))
    others = [built(f"i-{n}", "v2", EngineScript()) for n in (2, 3)]
    async with serving(first, *others) as entry:
        got = await ask_breaking(entry, first, released, others)
    assert [other.received for other in others] == [[], []]
    assert got.status == 200
    assert not got.complete
    assert got.body == events(1, 2)


async def test_stream_without_an_event_may_begin_at_another_build():
    """Guards against tying a stream to a build before its first event."""
    released = asyncio.Event()
    first = built("i-1", "v1", breaks_when(released, events_before=0))
    other = built("i-2", "v2", EngineScript())
    async with serving(first, other) as entry:
        got = await ask_breaking(entry, first, released, [other])
        assert got.complete
        assert got.body == events(1, 4)
        first.script = EngineScript()
        load(entry, "i-2")
        again = await resume(entry, "id-2", "id-1")
    assert again.complete
    assert [r.request_id for r in streams(other)] == ["id-1", "id-2"]


async def test_silent_stream_stays_without_another_engine_of_its_build():
    """Guards against cancelling a silent stream that only another build could take."""
    first = built("i-1", "v1", silent(STALL_TIMEOUT_SECONDS + 0.6))
    other = built("i-2", "v2", EngineScript())
    async with serving(first, other) as entry:
        entry.register(other, state="draining")
        asked = asyncio.create_task(
            entry.ask("/long/x", X_Deadline_Ms="60000", **SHORT)
        )
        await until(lambda: bool(first.received))
        entry.register(other)
        got = await asked
    assert other.received == []
    assert got.complete
    assert got.body == events(1, 4)


async def test_silent_stream_moves_to_its_build():
    """Guards against moving a silent stream to an idle engine of another build."""
    first = built("i-1", "v1", silent(30.0))
    same = built("i-2", "v1", EngineScript())
    other = built("i-3", "v2", EngineScript())
    async with serving(first, same, other) as entry:
        for each in (same, other):
            entry.register(each, state="draining")
        asked = asyncio.create_task(
            entry.ask("/long/x", X_Deadline_Ms="60000", **SHORT)
        )
        await until(lambda: bool(first.received))
        for each in (same, other):
            entry.register(each)
        await asyncio.sleep(STALL_TIMEOUT_SECONDS - 0.3)
        load(entry, "i-2", 2.0)
        got = await asked
    assert other.received == []
    assert got.complete
    assert got.body == events(1, 4)


async def test_cool_down_does_not_exclude_the_last_engine_of_a_build():
    """Guards against losing a stream as the only engine of its build cools down."""
    released = asyncio.Event()
    first = built("i-1", "v1", breaks_when(released))
    same = built("i-2", "v1", EngineScript())
    other = built("i-3", "v2", EngineScript())
    async with serving(first, same, other) as entry:
        now = asyncio.get_running_loop().time()
        members = entry.fleet.members("llm", now)
        (member,) = [m for m in members if m.name == "i-2"]
        entry.core.context.placer.engine_load(member).cool_down_until = now + 9.0
        got = await ask_breaking(entry, first, released, (same, other))
    assert other.received == []
    assert got.complete
    assert got.body == events(1, 4)


# KV caches


async def test_prompt_is_not_prefilled_at_another_build():
    """Guards against importing a KV cache of a build without a decode engine."""
    reader = built("i-1", "v1", EngineScript(), "prefill")
    decoder = built("i-2", "v2", EngineScript())
    async with serving(reader, decoder) as entry:
        got = await entry.ask("/talk/x", **LONG)
    assert reader.received == []
    assert got.complete
    assert "x-kv-source" not in decoder.received[0].headers


async def test_prefill_and_decode_are_placed_at_one_build():
    """Guards against pairing the idle prefill engine of one build with the idle decode
    engine of another."""
    one = built("i-1", "v1", EngineScript(), "prefill")
    two = built("i-2", "v1", EngineScript())
    three = built("i-3", "v2", EngineScript(), "prefill")
    four = built("i-4", "v2", EngineScript())
    async with serving(one, two, three, four) as entry:
        builds = {one.address: "v1", three.address: "v2"}
        load(entry, "i-2", 1.0)
        load(entry, "i-3", 1.0)
        for number in range(6):
            parts = {"X_Prompt_Prefix": f"a{number}:6000", "X_Token_Count": "6000,80"}
            await entry.ask("/talk/x", request_id=f"id-{number}", **parts)
    pairs = [
        (builds[source.partition("/")[0]], build)
        for replica, build in ((two, "v1"), (four, "v2"))
        for received in streams(replica)
        if (source := received.headers.get("x-kv-source"))
    ]
    assert pairs
    assert [pair for pair in pairs if pair[0] != pair[1]] == []


async def test_refused_kv_cache_is_not_imported_at_another_build():
    """Guards against passing a KV cache on to another build after a refusal."""
    reader = built("i-1", "v1", EngineScript(prefill_seconds=0.2), "prefill")
    full = built("i-2", "v1", not_run())
    other = built("i-3", "v2", EngineScript())
    async with serving(reader, full, other) as entry:
        entry.register(other, state="draining")
        asked = asyncio.create_task(entry.ask("/long/x", **LONG))
        await until(lambda: bool(reader.received))
        entry.register(other)
        await asked
    sources = [received.headers.get("x-kv-source") for received in streams(other)]
    assert [source for source in sources if source] == []
    assert len(full.received) >= 1


async def test_prompt_of_a_moved_stream_is_not_prefilled_at_another_build():
    """Guards against reading the prompt again at another build after a crash."""
    released = asyncio.Event()
    first = built("i-1", "v1", breaks_when(released))
    same = built("i-2", "v1", EngineScript())
    reader = built("i-3", "v2", EngineScript(), "prefill")
    async with serving(first, same, reader) as entry:
        got = await ask_breaking(entry, first, released, (same, reader), headers=LONG)
    assert reader.received == []
    assert got.complete
    assert got.body == events(1, 4)


async def test_prefix_is_not_transferred_between_builds():
    """Guards against copying a cached prefix from an engine of another build."""
    one = built("i-1", "v1", EngineScript(prefill_seconds=0.3), "prefill")
    two = built("i-2", "v2", EngineScript(prefill_seconds=0.3), "prefill")
    decoders = [
        built("i-3", "v1", EngineScript()),
        built("i-4", "v2", EngineScript()),
    ]
    first = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:3000,b1:9000"}
    other = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "cc:3000,b3:9000"}
    second = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:3000,b2:9000"}
    async with serving(one, two, *decoders) as entry:
        for replica in (two, decoders[1]):
            entry.register(replica, state="draining")
        await entry.ask("/talk/x", **first)
        tasks = [asyncio.create_task(entry.ask("/talk/x", request_id="id-2", **other))]
        await until(lambda: len(one.received) == 2)
        for replica in (two, decoders[1]):
            entry.register(replica)
        tasks.append(
            asyncio.create_task(entry.ask("/talk/x", request_id="id-3", **second))
        )
        await asyncio.gather(*tasks)
    at_other = [r for replica in (two, decoders[1]) for r in replica.received]
    assert "id-3" in {received.request_id for received in at_other}
    assert [r for r in at_other if "kv-fetch" in r.headers] == []


# Streams that callers take up again


async def test_caller_resumes_at_the_build_that_began():
    """Guards against resuming at an idle engine of another build, at the first attempt
    and at later ones, which all name the attempt of the first event."""
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        await begin(entry, "id-1", [two])
        load(entry, "i-1")
        second = await resume(entry, "id-2", "id-1")
        third = await resume(entry, "id-3", "id-1", last=4)
    assert two.received == []
    assert [r.headers.get("last-event-id") for r in streams(one)] == [None, "2", "4"]
    assert (second.complete, second.body) == (True, events(3, 6))
    assert (third.complete, third.body) == (True, events(5, 6))


async def test_resumed_stream_that_crashes_goes_on_at_its_build():
    """Guards against forgetting the build within the answer to a resumed request."""
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        await begin(entry, "id-1", [two])
        one.script = EngineScript(last=6, break_after=4)
        got = await resume(entry, "id-2", "id-1")
    assert two.received == []
    assert not got.complete
    assert got.body == events(3, 4)


async def test_resumed_stream_without_an_engine_of_its_build_is_refused():
    """Guards against resuming at another build once the first one is gone."""
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        await begin(entry, "id-1", [two])
        entry.register(one, state="draining")
        got = await resume(entry, "id-2", "id-1")
    assert two.received == []
    assert got.status == 503


async def test_engine_back_under_its_name_with_another_build_is_another_one():
    """Guards against taking a name and an address for a build."""
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v1", EngineScript(last=6))
    async with serving(one, two) as entry:
        await begin(entry, "id-1", [two])
        entry.register(one, version="v2", born=2)
        load(entry, "i-2")
        got = await resume(entry, "id-2", "id-1")
        entry.register(two, state="draining")
        refused = await resume(entry, "id-3", "id-1")
    assert [r.request_id for r in streams(one)] == ["id-1"]
    assert (got.complete, got.body) == (True, events(3, 6))
    assert refused.status == 503


async def test_engine_back_with_another_build_does_not_go_on_with_a_stream():
    """Guards against a retry at the restarted engine within one answer."""
    released = asyncio.Event()
    one = built("i-1", "v1", breaks_when(released))
    async with serving(one) as entry:
        asked = asyncio.create_task(entry.ask("/long/x", **SHORT))
        await until(lambda: bool(one.received))
        await asyncio.sleep(0.05)
        one.script = EngineScript()
        entry.register(one, version="v2", born=2)
        released.set()
        got = await asked
    assert len(one.received) == 1
    assert not got.complete
    assert got.body == events(1, 2)


async def test_unknown_stream_is_not_run_while_two_builds_serve():
    """Guards against guessing the build of a stream that no entry knows."""
    one = built("i-1", "v1", EngineScript(last=6))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        got = await resume(entry, "id-2", "id-1")
    assert one.received == two.received == []
    assert got.status == 503


async def test_unknown_stream_is_served_while_one_build_serves():
    """Guards against refusing resumed streams where no mistake is possible."""
    one = built("i-1", "v1", EngineScript(last=6))
    two = built("i-2", "v1", EngineScript(last=6))
    async with serving(one, two) as entry:
        got = await resume(entry, "id-2", "id-1")
    assert (got.complete, got.body) == (True, events(3, 6))


ODD_NAMES = {
    "wrong": {"Resumes": "id-9"},
    "missing": {},
    "empty": {"Resumes": ""},
    "twice": {"Resumes": "id-1", "resumes": "id-9"},
    "long": {"Resumes": "x" * 10_000},
    "not ascii": {"Resumes": "id-\u00e9\u4e2d"},
}


@pytest.mark.parametrize("odd", ODD_NAMES)
async def test_odd_name_of_a_resumed_stream_counts_as_unknown(odd):
    """Guards against an error or a guess by a name that can't be one."""
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v2", EngineScript(last=6))
    headers = {"Last_Event_Id": "2"} | SHORT | ODD_NAMES[odd]
    async with serving(one, two) as entry:
        await begin(entry, "id-1", [two])
        unknown = await entry.ask("/long/x", request_id="id-2", **headers)
        assert [r.request_id for r in one.received + two.received] == ["id-1"]
        entry.register(two, state="draining")
        leaving = await entry.ask("/long/x", request_id="id-3", **headers)
    async with serving(built("i-3", "v1", EngineScript(last=6))) as entry:
        single = await entry.ask("/long/x", request_id="id-3", **headers)
    assert leaving.status == 503
    assert unknown.status == 503
    assert (single.status, single.complete) == (200, True)
    assert single.body == events(3, 6)


@pytest.mark.parametrize("odd", ODD_NAMES)
async def test_name_without_an_event_is_a_new_stream(odd):
    """Guards against tying a request to a build though it begins at the first event."""
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        await begin(entry, "id-1", [two])
        load(entry, "i-1")
        named = await entry.ask("/long/x", request_id="id-2", Resumes="id-1", **SHORT)
        got = await entry.ask("/long/x", request_id="id-3", **SHORT, **ODD_NAMES[odd])
    for reply in (named, got):
        assert (reply.complete, reply.body) == (True, events(1, 6))
    assert "id-2" in {received.request_id for received in two.received}


@dataclasses.dataclass
class Processes:
    """Entries as processes, in front of an engine of each of two builds."""

    store: Store
    one: Replica
    two: Replica
    entries: list[Process]

    async def set_states(self, one: str, two: str) -> None:
        """Register both engines with a state, and wait until the entries know it."""
        for replica, state in ((self.one, one), (self.two, two)):
            value = registration(replica) | {"state": state}
            self.store.put(f"servers/{replica.name}", value)
        await asyncio.sleep(0.5)


@contextlib.asynccontextmanager
async def processes(count: int) -> t.AsyncIterator[Processes]:
    """Run entries that know each other."""
    script = EngineScript(last=400, pause=0.02)
    one, two = built("i-1", "v1", script), built("i-2", "v2", script)
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(Store())
        for replica in (one, two):
            await stack.enter_async_context(replica)
        long = {"timeout-ms": 9000}
        talk = route("/long/", "streaming", "llm", resumable=True, **long)
        store.put("op/config", config(routes=[talk]))
        started = Processes(store, one, two, [])
        await started.set_states("ready", "ready")
        for number in range(count):
            entry = await stack.enter_async_context(process(store, f"entry-{number}"))
            started.entries.append(entry)
        for entry in started.entries:
            await entry.until_ready()

        def present() -> int:
            return sum(key.startswith(PRESENCE_PREFIX) for key in store.items)

        await until(lambda: present() == count, 9.0)
        await asyncio.sleep(0.5)
        yield started


@pytest.mark.parametrize("killed", [False, True])
async def test_caller_resumes_at_another_entry(killed):
    """Guards against a build that only the first entry knows, also once it is killed.

    Streams begin at one entry, some at each build, and are taken up at the others.
    """
    async with processes(4) as fleet:
        first, *others = fleet.entries
        await fleet.set_states("ready", "draining")
        for number in range(3):
            (await begin_at(first.port, f"a-{number}")).close()
        await fleet.set_states("draining", "ready")
        for number in range(3):
            (await begin_at(first.port, f"b-{number}")).close()
        await fleet.set_states("ready", "ready")
        if killed:
            first.process.kill()
            await first.process.wait()
        resumed = []
        for begun in ("a-0", "b-0", "a-1", "b-1", "a-2", "b-2"):
            for index, entry in enumerate(others):
                request_id = f"{begun}-{index}"
                got = await resume_at(entry.port, request_id, begun)
                resumed.append((request_id, got.status))
    wrong = [r.request_id for r in streams(fleet.one) if r.request_id.startswith("b")]
    wrong += [r.request_id for r in streams(fleet.two) if r.request_id.startswith("a")]
    assert wrong == []
    assert [each for each in resumed if each[1] != 200] == []


async def test_caller_resumes_at_another_entry_at_once():
    """Guards against losing or misplacing streams that are taken up within the time
    that entries need to tell each other of them."""
    async with processes(4) as fleet:
        first, *others = fleet.entries
        statuses = []
        for number in range(12):
            (await begin_at(first.port, f"a-{number}")).close()
            port = others[number % 3].port
            got = await resume_at(port, f"b-{number}", f"a-{number}")
            statuses.append(got.status)
    build_of = {r.request_id: "v1" for r in streams(fleet.one)}
    build_of |= {r.request_id: "v2" for r in streams(fleet.two)}
    pairs = [(build_of[f"a-{n}"], build_of.get(f"b-{n}")) for n in range(12)]
    assert [pair for pair in pairs if pair[1] not in (None, pair[0])] == []
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= 6


async def begin_at(port: int, request_id: str) -> asyncio.StreamWriter:
    """Begin a stream at an entry's port and return its connection after two events."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = {"X_Deadline_Ms": "9000"} | SHORT
    writer.write(request("/long/x", request_id=request_id, **headers))
    await reader.readuntil(event(2))
    return writer


async def resume_at(port: int, request_id: str, resumes: str) -> Answer:
    """Take a stream up again near its end, at an entry's port."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = {"Resumes": resumes, "Last_Event_Id": "398"} | SHORT
    writer.write(request("/long/x", request_id=request_id, **headers))
    got = await read_answer(reader)
    writer.close()
    return got


async def test_stream_whose_resumption_failed_can_still_be_resumed():
    """Guards against forgetting a stream as an engine fails to go on with it."""
    engine = built("i-1", "v1", EngineScript(last=20, pause=0.02))
    async with serving(engine) as entry:
        await begin(entry, "id-1")
        engine.script = answer(500)
        assert (await resume(entry, "id-2", "id-1")).status == 500
        await asyncio.sleep(0.1)
        (record,) = entry.core.context.stream_builds.unfinished.values()
    assert record.build == "v1"


# Registrations


def decoded_build(version: object) -> str:
    """Return the build of a registration with a version."""
    value = registration(built("i-1", version, EngineScript()))
    value["address"] = "127.0.0.1:1"
    data = json.dumps(value).encode()
    return PlatformDirectory().decode_upstream("servers/i-1", data).build


def test_build_is_the_registered_version():
    """Guards against builds that can't be told apart."""
    assert decoded_build("v1") == decoded_build("v1") != decoded_build("v2")


@pytest.mark.parametrize("odd", [7, None, 1.5, True, [], {"a": 1}])
def test_registration_whose_version_is_no_text_names_no_upstream(odd):
    """Guards against engines of several odd versions, taken for one build."""
    with pytest.raises(ConfigError):
        decoded_build(odd)


def test_registration_without_a_version_has_an_unknown_build():
    """Guards against dropping an engine, or guessing, where no version is named."""
    assert decoded_build(MISSING) not in {decoded_build("v1"), decoded_build("7")}


@pytest.mark.parametrize("odd", [MISSING, 7, None, 1.5, {"a": 1}])
async def test_engine_without_a_usable_version_takes_no_stream_of_another(odd):
    """Guards against an unknown build that fits any other, and against a registration
    that spoils those of other engines."""
    released = asyncio.Event()
    first = built("i-1", "v1", breaks_when(released))
    same = built("i-2", "v1", EngineScript())
    unknown = built("i-3", odd, EngineScript())
    async with serving(first, same, unknown) as entry:
        now = asyncio.get_running_loop().time()
        used = {member.name for member in entry.fleet.members("llm", now)}
        assert used == {"i-1", "i-2"} | ({"i-3"} if odd is MISSING else set())
        got = await ask_breaking(entry, first, released, (same, unknown), "i-2")
    assert unknown.received == []
    assert got.complete
    assert got.body == events(1, 4)


async def test_stream_of_an_unknown_build_goes_on_at_an_unknown_build():
    """Guards against losing all streams of engines that register no version."""
    released = asyncio.Event()
    first = built("i-1", MISSING, breaks_when(released))
    same = built("i-2", MISSING, EngineScript())
    other = built("i-3", "v1", EngineScript())
    async with serving(first, same, other) as entry:
        got = await ask_breaking(entry, first, released, (same, other), "i-2")
    assert other.received == []
    assert got.complete
    assert got.body == events(1, 4)


# Roles


def settle(roles: t.Sequence[Role], builds: str, share: float) -> list[EngineRole]:
    """Carry out the controller's orders until it gives none.

    Fails if an order takes a build's last decode engine away.
    """
    engines = [
        EngineRole(f"i-{n}", role, build=build)
        for n, (role, build) in enumerate(zip(roles, builds, strict=True))
    ]
    controller = RoleController()
    idle = 0
    for step in range(40):
        order = controller.decide(engines, share, 10.0 * step)
        idle = idle + 1 if order is None else 0
        if idle == 3:
            return engines
        if order is not None:
            before = decoding_builds(engines)
            engines = [
                dataclasses.replace(e, role=order.role) if e.name == order.name else e
                for e in engines
            ]
            assert before <= decoding_builds(engines)
    raise AssertionError("orders do not end")


def decoding_builds(engines: t.Iterable[EngineRole]) -> set[str]:
    return {e.build for e in engines if e.role is not Role.PREFILL}


@pytest.mark.parametrize(
    "builds", ["ab", "abc", "aab", "aabb", "aaabb", "ababa", "aaaab", "abbbb", "aabbc"]
)
@pytest.mark.parametrize("share", [0.0, 0.3, 0.9])
def test_each_build_keeps_a_decode_engine(builds, share):
    """Guards against a build whose streams no engine can go on with."""
    kept = set(builds)
    for roles in itertools.product((Role.PREFILL, Role.DECODE), repeat=len(builds)):
        engines = settle(roles, builds, share)
        assert decoding_builds(engines) == kept, roles
        if len(engines) > len(kept):
            assert any(engine.role is Role.PREFILL for engine in engines), roles


def test_build_without_a_decode_engine_gets_one():
    """Guards against leaving a build without one as other builds have enough."""
    engines = [
        EngineRole("i-0", Role.DECODE, build="a"),
        EngineRole("i-1", Role.DECODE, build="a"),
        EngineRole("i-2", Role.PREFILL, build="a"),
        EngineRole("i-3", Role.PREFILL, build="b"),
    ]
    controller = RoleController()
    orders = [controller.decide(engines, 0.0, 0.5 * step) for step in range(8)]
    given = [(order.name, order.role) for order in orders if order is not None]
    assert given[:1] == [("i-3", Role.DECODE)]


def test_changing_engine_does_not_replace_the_last_one_of_its_build():
    """Guards against a build without a decode engine for the seconds of a change."""
    engines = [
        EngineRole("i-0", Role.DECODE, build="a"),
        EngineRole("i-1", Role.DECODE, changing=True, build="a"),
        EngineRole("i-2", Role.DECODE, build="b"),
        EngineRole("i-3", Role.DECODE, build="b"),
    ]
    controller = RoleController()
    orders = [controller.decide(engines, 0.0, 0.5 * step) for step in range(40)]
    given = {order.name for order in orders if order is not None}
    assert given
    assert given <= {"i-2", "i-3"}


async def test_planner_orders_by_build():
    """Guards against a planner that knows the builds and does not pass them on."""
    scripts = [OrderedEngine() for _ in range(4)]
    async with planners(*scripts) as (_, (planner,)):
        records = list(planner.fleet.upstream_records.values())
        for record in records:
            upstream = record.upstream
            value = {
                "service": upstream.group,
                "address": upstream.address,
                "zone": upstream.zone,
                "version": "v1" if upstream.name == "i-0" else "v2",
                "slots": upstream.slots,
                "state": "ready",
                "stage": "decode",
            }
            key = f"servers/{upstream.name}"
            planner.fleet.put(KeyValue(key, json.dumps(value).encode(), 3))
        async with run(planner):
            await until(lambda: any(script.orders for script in scripts), 5.0)
            await asyncio.sleep(0.6)
    assert scripts[0].orders == []


async def test_unnumbered_first_event_fixes_the_build():
    """Guards against events of another build after an event without a number."""

    async def comments(replica, received, writer) -> None:
        await until(lambda: bool(two.received), 5.0)
        await asyncio.sleep(0.1)
        writer.write(head(200, received.request_id, "Transfer-Encoding: chunked"))
        writer.write(chunk(b": waiting\n\n"))
        await writer.drain()
        await asyncio.sleep(1.0)
        reset(writer)

    async def later(replica, received, writer) -> None:
        await asyncio.sleep(0.4)
        await EngineScript()(replica, received, writer)

    one, two = built("i-1", "v1", comments), built("i-2", "v2", later)
    async with serving(one, two, liveness_probe=FixedProbe(lives=False)) as entry:
        entry.register(two, state="draining")
        asked = asyncio.create_task(entry.ask("/long/x", **SHORT))
        await until(lambda: bool(one.received))
        entry.register(two)
        got = await asked
    assert not (b"waiting" in got.body and b"word" in got.body)


@pytest.mark.parametrize("odd", ["+2", "2.0", "0" * 16 + "2", "2, 2", "-1"])
async def test_invalid_event_id_does_not_reach_an_engine(odd):
    """Guards against an engine that resumes what the entry takes for a new stream."""
    one = built("i-1", "v1", EngineScript())
    async with serving(one) as entry:
        await entry.ask("/long/x", Last_Event_Id=odd, **SHORT)
    assert "last-event-id" not in one.received[0].headers


async def test_stream_is_resumed_in_the_group_that_it_began_in():
    """Guards against refusing a stream whose group another draw would not choose."""
    split = [{"service": "llm", "weight": 0.5}, {"service": "other", "weight": 0.5}]
    both = route(
        "/long/", "streaming", "llm", resumable=True, **{"traffic-split": split}
    )
    document = config(routes=[both])
    document["services"].append(document["services"][1] | {"name": "other"})
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v2", EngineScript(last=6, pause=0.02))
    two.entry["service"] = "other"
    async with serving(one, two, document=document) as entry:
        for number in range(8):
            name = f"id-{number}"
            await entry.ask("/long/x", request_id=name, **SHORT)
            began = one if any(r.request_id == name for r in one.received) else two
            got = await resume(entry, f"again-{number}", name)
            assert (got.status, got.complete) == (200, True)
            assert began.received[-1].request_id == f"again-{number}"


def test_builds_are_chosen_by_the_rules_for_engines():
    """Guards against a build that gets all prompts, or one in another zone."""
    near = EngineCandidate("near", Role.DECODE, True, 0.0, 0.01, 1.0, 1.0, build="b")
    far = EngineCandidate("far", Role.DECODE, False, 0.0, 0.01, 1.0, 1.0, build="a")
    placement = place_prompt([far, near], 0.5, 0.5)
    assert placement is not None
    assert placement.decode_engine == "near"
    chosen = set()
    for ties in ((1, 2), (2, 1)):
        engines = [
            dataclasses.replace(near, name=name, build=name, tie_break=tie)
            for name, tie in zip("xy", ties, strict=True)
        ]
        placement = place_prompt(engines, 0.5, 0.5)
        assert placement is not None
        chosen.add(placement.decode_engine)
    assert chosen == {"x", "y"}


@pytest.mark.parametrize("builds", ["aaaabbbb", "aaaaaabbbbbb", "aaaaab"])
def test_one_decode_engine_of_a_large_build_may_fail(builds):
    """Guards against a crash that leaves a build's streams without a decode engine."""
    roles = [Role.PREFILL] * (len(builds) - 1) + [Role.DECODE]
    counts = collections.Counter(
        e.build for e in settle(roles, builds, 0.0) if e.role is not Role.PREFILL
    )
    assert all(counts[b] >= 2 for b in set(builds) if builds.count(b) >= 4)
