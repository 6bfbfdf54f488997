"""Tests of what an entry learns of builds while a request or a write is under way."""

from __future__ import annotations

import asyncio
import json
import math
import random

import pytest

from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.build_history import BuildHistory
from bergamotmast.direct.build_history import encode
from bergamotmast.direct.build_recorder import BuildRecorder
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.fleet import ReadReason
from bergamotmast.direct.only_build import PeerAnswers
from bergamotmast.direct.stream_builds import StreamBuild
from bergamotmast.direct.stream_builds import StreamBuilds
from bergamotmast.direct.unregistered_builds import unregistered_build
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.policy.entry_ranking import stable_hash
from bergamotmast.ports import KeyValue
from bergamotmast.ports import Put
from bergamotmast.ports import TxnResult
from direct_support import Answer
from direct_support import config
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer
from platform_standin import chunk
from platform_standin import event
from platform_standin import head
from platform_standin import reset
from test_builds import SHORT
from test_builds import begin
from test_builds import built
from test_builds import events
from test_builds import resume
from test_builds import streams
from test_stream_builds import Network
from test_stream_builds import register
from test_stream_builds import registration_of


def later(script, seconds: float = 0.2):
    """Return a script that begins to answer later."""

    async def delayed(replica, received, writer) -> None:
        await asyncio.sleep(seconds)
        await script(replica, received, writer)

    return delayed


class Asked:
    """Peers that know a stream, or a store that holds its record, from some time on.

    :param stream_builds: receives the record once peers are asked.
    """

    def __init__(self, stream_builds: StreamBuilds, build: str) -> None:
        self.stream_builds = stream_builds
        self.record = StreamBuild(stable_hash("id-1"), "llm", build, math.inf)
        self.told = False

    def copy(self, records) -> None:
        pass

    async def find(self, stream, group) -> PeerAnswers:
        if self.told and stream == self.record.stream:
            self.stream_builds.on_copy(self.record)
        return PeerAnswers()

    find_at_holders = find

    async def survey(self, group) -> PeerAnswers:
        return await self.find(self.record.stream, group)


class Stored(Asked):
    def find(self, stream) -> tuple[str, str] | None:
        return ("llm", self.record.build) if self.told else None


async def resume_as_second_build_comes(
    known_by: str, build: str
) -> tuple[Answer, Replica, Replica]:
    """Resume a stream at an entry that learns of a second build before its next event.

    :param known_by: who knows by then that the stream began at a build.
    """
    one = built("i-1", "v1", later(EngineScript(last=6)))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        entry.fleet.remove("servers/i-2", entry.revision + 1)
        entry.fleet.build_history.departed.clear()
        stream_builds = entry.core.context.stream_builds
        asked = Asked(stream_builds, build)
        if known_by == "asked peers":
            stream_builds.peers = asked
        elif known_by == "store":
            stream_builds.stored = asked = Stored(stream_builds, build)
        answering = asyncio.create_task(resume(entry, "id-2", "id-1"))
        await until(lambda: bool(one.received))
        asked.told = True
        if known_by == "peers":
            stream_builds.on_copy(asked.record)
        entry.register(two)
        got = await answering
    return got, one, two


@pytest.mark.parametrize("known_by", ["peers", "asked peers", "store"])
async def test_build_that_becomes_known_before_the_first_event_counts(known_by):
    """Guards against a guess that is kept although the build is known by then."""
    got, one, two = await resume_as_second_build_comes(known_by, "v2")
    assert len(streams(one)) == len(streams(two)) == 1
    assert (got.status, got.complete, got.body) == (200, True, events(3, 6))


@pytest.mark.parametrize("known_by", ["peers", "asked peers", "store", "nobody"])
async def test_stream_of_the_only_build_goes_on_as_another_comes(known_by):
    """Guards against giving up a stream at the right build as it is about to go on."""
    got, one, two = await resume_as_second_build_comes(known_by, "v1")
    assert (len(streams(one)), streams(two)) == (1, [])
    assert (got.status, got.complete, got.body) == (200, True, events(3, 6))


@pytest.mark.parametrize("ending", ["close", "reset"])
async def test_rest_of_a_run_that_is_read_late_is_of_the_build_that_sent_it(ending):
    """Guards against a build that is told by when a slow caller's data is read."""
    size, count = 40_000, 300

    async def old(replica, received, writer) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines))
        for number in range(1, count + 1):
            writer.write(chunk(event(number, "x" * size)))
        # What the sockets' buffers do not hold is sent once the caller reads.
        await writer.drain()
        writer.close() if ending == "close" else reset(writer)

    one, two = built("i-1", "v1", old), built("i-2", "v2", EngineScript(last=count + 9))
    document = config(
        routes=[
            route(
                "/long/",
                "streaming",
                "llm",
                resumable=True,
                **{"timeout-ms": 20_000, "max-attempts": 3},
            )
        ]
    )
    async with serving(one, two, document=document) as entry:
        entry.register(two, state="draining")
        reader, writer = await entry.connect()
        writer.write(request("/long/x", X_Deadline_Ms="15000", **SHORT))
        await until(lambda: bool(one.received))
        await asyncio.sleep(0.3)
        one.script = two.script
        entry.register(one, version="v2", born=2)
        entry.register(two)
        await asyncio.sleep(0.3)
        got = await read_answer(reader)
        writer.close()
    assert got.body.startswith(event(1, "x" * size))
    assert b"word" not in got.body
    assert not got.complete


async def test_first_event_does_not_wait_for_the_store():
    """Guards against events that are held up by a store that does not answer."""

    class Silent:
        async def only_build(self, group) -> str | None:
            await asyncio.sleep(5.0)
            return None

    one = built("i-1", "v1", later(EngineScript(last=6)))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        entry.fleet.remove("servers/i-2", entry.revision + 1)
        entry.fleet.build_history.departed.clear()
        entry.core.context.stream_builds.check = Silent()
        answering = asyncio.create_task(resume(entry, "id-2", "id-1"))
        await until(lambda: bool(one.received))
        entry.register(two)
        got = await asyncio.wait_for(answering, 1.5)
    assert (got.status, got.complete, got.body) == (200, True, events(3, 6))


async def test_stream_whose_resumption_fails_may_still_be_resumed():
    """Guards against forgetting a stream as its engine answers with a failure."""
    one = built("i-1", "v1", EngineScript(last=6, pause=0.02))
    two = built("i-2", "v2", EngineScript(last=6))
    async with serving(one, two) as entry:
        await begin(entry, "id-1", [two])
        one.script = answer(500, b"broken")
        got = await resume(entry, "id-2", "id-1")
        assert got.status == 500
        await asyncio.sleep(0.1)
        assert stable_hash("id-1") in entry.core.context.stream_builds.unfinished


class Writes:
    """A store whose answer to a write comes after a later record was received."""

    def __init__(self, history: BuildHistory) -> None:
        self.history = history
        self.revision = 10
        self.value = b""
        self.later: bytes | None = None
        self.refused = 0

    async def txn(self, compares, writes) -> TxnResult:
        (put,) = writes
        assert isinstance(put, Put)
        if self.value and compares[0].mod_revision != self.revision:
            self.refused += 1
            return TxnResult(False, 0)
        self.revision += 1
        self.value, own = put.value, self.revision
        if self.later is not None:
            self.history.put(KeyValue(BUILDS_KEY, put.value, own))
            self.revision += 1
            self.value, self.later = self.later, None
            self.history.put(KeyValue(BUILDS_KEY, self.value, self.revision))
        return TxnResult(True, own)


async def test_late_answer_to_a_write_hides_no_later_record():
    """Guards against writes that fail for ever, as they expect an old revision."""
    builds = {"v1"}
    loop = asyncio.get_running_loop()
    history = BuildHistory(loop.time, lambda group: builds)
    kv = Writes(history)
    kv.later = encode({"llm": frozenset({"v1", "v2"})})
    recorder = BuildRecorder(
        kv, history, "entry-1", lambda: ["llm"], lambda: ["entry-1"], random.Random(7)
    )
    history.on_read()
    running = asyncio.create_task(recorder.run())
    await until(lambda: history.revision > 0)
    await asyncio.sleep(0.05)
    assert history.recorded == {"llm": {"v1", "v2"}}
    builds.add("v3")
    history.on_registered("llm", "v3")
    await until(lambda: b"v3" in kv.value, 1.0)
    running.cancel()
    assert kv.refused == 0


class Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize("groups", [[], ["llm"]])
async def test_record_keeps_groups_of_routes_that_are_gone(groups):
    """Guards against builds that are forgotten with a route that soon comes back, or by
    an entry that has no configuration yet."""
    clock, registered = Clock(), {"llm": {"v1"}, "other": {"v3"}}
    history = BuildHistory(clock, lambda group: registered.get(group, set()))
    recorded = {"llm": frozenset({"v1"}), "other": frozenset({"v2", "v3"})}
    history.on_read()
    history.put(KeyValue(BUILDS_KEY, encode(recorded), 7))
    assert history.wanted(groups) == recorded
    del registered["other"]
    clock.now += 61.0
    assert history.wanted(groups) == {"llm": {"v1"}}


async def test_group_of_a_new_route_is_recorded_at_once():
    """Guards against streams at a group that the store knows nothing of for seconds."""
    loop = asyncio.get_running_loop()
    fleet = Fleet(PlatformDirectory(), loop.time)
    kv = Writes(fleet.build_history)
    recorder = BuildRecorder(
        kv,
        fleet.build_history,
        "entry-1",
        fleet.stream_groups,
        lambda: ["entry-1"],
        random.Random(7),
    )
    one = built("i-1", "v1", EngineScript())
    one.address = "127.0.0.1:9"
    other = built("i-2", "v7", EngineScript())
    other.address, other.entry["service"] = "127.0.0.1:8", "other"
    document = config()
    document["services"].append(document["services"][1] | {"name": "other"})
    for revision, replica in enumerate((one, other), 2):
        value = json.dumps(registration(replica)).encode()
        fleet.put(KeyValue(f"servers/{replica.name}", value, revision))
    fleet.put(KeyValue("op/config", json.dumps(document).encode(), 4))
    fleet.build_history.on_read()
    running = asyncio.create_task(recorder.run())
    await until(lambda: b"v1" in kv.value)
    moved = route("/long/", "streaming", "other", resumable=True)
    document |= {"version": 2, "routes": [*document["routes"], moved]}
    fleet.put(KeyValue("op/config", json.dumps(document).encode(), 5))
    await until(lambda: b"v7" in kv.value, 1.0)
    running.cancel()


async def test_entry_that_hears_nothing_of_the_store_makes_no_guess():
    """Guards against the only build of an entry that is cut off and has not noticed.

    Copies of the first streams at another build tell entries of it, but not all.
    """
    network = Network(12, versions=("v1",))
    register(network.fleets["entry-0"], "i-9", "v2")
    cut_off = network.fleets["entry-5"].build_history
    cut_off.on_read()
    cut_off.put(KeyValue(BUILDS_KEY, encode({"llm": frozenset({"v1"})}), 7))
    began = [f"id-{number}" for number in range(10)]
    for request_id in began:
        network.builds["entry-0"].on_begun(request_id, "llm", "v2")
    await asyncio.sleep(0.02)
    network.alive.remove("entry-0")
    found = [await network.find("entry-5", request_id) for request_id in began]
    assert set(found) <= {"v2", None}


async def test_restart_at_the_same_build_makes_no_second_build_at_other_entries():
    """Guards against refusals after an engine was another incarnation for a moment."""
    network = Network(12, versions=("v1",))
    at_peer = network.fleets["entry-5"]
    registered = at_peer.registered("i-0")
    assert registered is not None
    name = unregistered_build(("i-0", "2"))
    record = StreamBuild(stable_hash("id-1"), "llm", name, math.inf)
    network.builds["entry-5"].on_copy(record)
    assert at_peer.build_history.builds("llm") == {"v1", name}
    value = json.loads(registration_of("v1")) | {"born": 2}
    at_peer.put(KeyValue("servers/i-0", json.dumps(value).encode(), 9))
    assert at_peer.build_history.builds("llm") == {"v1"}
    assert await network.find("entry-5", "id-1") == "v1"
    assert await network.find("entry-5", "id-unknown") == "v1"


@pytest.mark.parametrize("away", [0.5, 2.0, 30.0])
async def test_streams_of_the_only_build_go_on_after_a_restore(away):
    """Guards against a minute of refusals as the store was away before its restore."""
    clock = Clock()
    fleet = Fleet(PlatformDirectory(), clock)
    history = fleet.build_history
    only = KeyValue("servers/i-0", registration_of("v1"), 3)
    record = KeyValue(BUILDS_KEY, encode({"llm": frozenset({"v1"})}), 5)
    fleet.replace_all((only, record), clock(), ReadReason.RESYNC)
    fleet.in_sync = True
    clock.now += 100.0
    history.on_store_reply(clock())
    # The watch waits for up to two seconds while nothing changes.
    clock.now += 1.9 + away
    fleet.replace_all((only, record), clock(), ReadReason.RESTORE, 1)
    history.on_store_reply(clock())
    clock.now += 2.1
    pending = history.pending(["llm"])
    assert pending == ({"llm": {"v1"}}, 1)
    history.on_written(pending[0], 9, pending[1])
    found = await StreamBuilds(fleet).find("id-1", ["llm"])
    assert found.record is not None
    assert found.record.build == "v1"
