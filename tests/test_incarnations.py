"""Tests of how an entry finds out which incarnation of an engine answers."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

import pytest

from bergamotmast.direct.model import MAX_BUILD_CHARACTERS
from bergamotmast.direct.model import Upstream
from bergamotmast.direct.model import build_name
from bergamotmast.direct.unregistered_builds import RegisteredIncarnations
from bergamotmast.direct.unregistered_builds import is_unregistered
from bergamotmast.direct.unregistered_builds import unregistered_build
from direct_support import Entry
from direct_support import registration
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import chunk
from platform_standin import head
from platform_standin import not_run
from platform_standin import reset
from test_builds import LONG
from test_builds import SHORT
from test_builds import begin
from test_builds import breaks_when
from test_builds import built
from test_builds import events
from test_builds import resume
from test_builds import streams
from test_outdated_registrations import ask_and_break
from test_outdated_registrations import lose_connection
from test_outdated_registrations import only
from test_outdated_registrations import telling


def questions(replica: Replica) -> int:
    """Return how often an engine was asked for its report."""
    return sum(received.target == "/report" for received in replica.received)


def telling_late(seconds: float, born: object, script: Script) -> Script:
    """Return the script of an engine whose report takes some time."""
    told = telling(born, script)

    async def run(replica: Replica, received: Received, writer: t.Any) -> None:
        if received.target == "/report":
            await asyncio.sleep(seconds)
        await told(replica, received, writer)

    return run


@contextlib.asynccontextmanager
async def running(
    first: Script, second: Script | None = None
) -> t.AsyncIterator[tuple[Entry, Replica, Replica]]:
    """Run an entry in front of two engines of one build."""
    one = built("i-1", "v1", first)
    two = built("i-2", "v1", second or telling(1, EngineScript(last=4)))
    async with serving(one, two, asks_engines=True) as entry:
        only(entry, one, two)
        yield entry, one, two


async def test_engine_without_a_doubt_is_not_asked():
    """Guards against the price of a question for each stream of a calm deployment."""
    async with running(telling(1, EngineScript(last=4))) as (entry, one, two):
        entry.register(two)
        for number in range(6):
            got = await entry.ask("/long/x", request_id=f"id-{number}", **SHORT)
            assert got.complete
        assert questions(one) == questions(two) == 0


@pytest.mark.parametrize("doubt", ["turned away", "sign"])
async def test_stream_of_a_confirmed_engine_goes_on_elsewhere(doubt):
    """Guards against breaking streams off in an outage of the store, or after a lost
    connection, though no engine has started anew."""
    released = asyncio.Event()
    async with running(telling(1, EngineScript())) as (entry, one, two):
        if doubt == "turned away":
            entry.fleet.in_sync = False
        else:
            await lose_connection(entry, one)
        one.script = telling(1, breaks_when(released))
        got = await ask_and_break(entry, one, two, released)
    assert (got.complete, got.body) == (True, events(1, 4))
    assert [r.headers.get("last-event-id") for r in streams(two)] == ["2"]


async def test_one_question_confirms_an_engine_until_the_next_sign():
    """Guards against asking for each stream once a doubt has been removed."""
    async with running(telling(1, EngineScript())) as (entry, one, _):
        for number in range(2):
            await lose_connection(entry, one)
            for _ in range(5):
                await entry.ask("/long/x", request_id="id-1", **SHORT)
            assert questions(one) == number + 1


async def test_one_question_serves_all_streams_that_wait():
    """Guards against a question for each of many streams that begin at once."""
    script = telling_late(0.15, 1, EngineScript())
    async with running(script) as (entry, one, _):
        entry.fleet.in_sync = False
        answers = await asyncio.gather(
            *(
                entry.ask("/long/x", request_id=f"id-{number}", **SHORT)
                for number in range(20)
            )
        )
        assert [a.complete for a in answers] == [True] * 20
        assert questions(one) <= 3


async def test_streams_of_a_turned_away_entry_vouch_for_their_engine():
    """Guards against a question for each stream as long as the store is away."""
    script = telling(1, EngineScript(last=400, pause=0.02))
    async with running(script) as (entry, one, _):
        entry.fleet.in_sync = False
        held = asyncio.create_task(begin(entry, "id-0", last=60))
        await until(lambda: bool(streams(one)))
        await asyncio.sleep(0.1)
        for number in range(1, 6):
            await begin(entry, f"id-{number}", last=6)
        await held
    assert len(streams(one)) == 6
    assert questions(one) <= 3


async def test_stream_of_an_engine_that_does_not_tell_its_start_stays_there():
    """Guards against guessing the build if no report comes in time."""
    released = asyncio.Event()
    script = telling_late(5.0, 1, breaks_when(released))
    async with running(script) as (entry, one, two):
        entry.fleet.in_sync = False
        asked = asyncio.create_task(entry.ask("/long/x", request_id="id-2", **SHORT))
        await asyncio.sleep(0.6)
        entry.register(two)
        released.set()
        got = await asked
        resumed = await resume(entry, "id-3", "id-2")
    assert got.body == events(1, 2)
    assert not got.complete
    assert resumed.status == 503
    assert streams(two) == []


async def test_stream_is_resumed_at_the_build_that_registers_later():
    """Guards against streams that stay lost once the registration has come."""
    script = telling(2, EngineScript(last=400, pause=0.02))
    async with running(script) as (entry, one, two):
        three = built("i-3", "v2", telling(1, EngineScript(last=6)))
        async with three:
            entry.fleet.in_sync = False
            await begin(entry, "id-1", last=20)
            entry.fleet.in_sync = True
            entry.register(one, version="v2", born=2, state="draining")
            entry.register(two)
            entry.register(three)
            got = await resume(entry, "id-2", "id-1")
    assert streams(two) == []
    assert [r.request_id for r in streams(three)] == ["id-2"]
    assert got.status == 200


async def test_stream_that_runs_as_its_engine_registers_anew_is_booked_there():
    """Guards against keeping the build that was registered as the stream began.

    The entry has seen no sign of the restart, and the registration comes late.
    """
    script = telling(2, EngineScript(last=400, pause=0.02))
    async with running(script) as (entry, one, two):
        three = built("i-3", "v2", telling(1, EngineScript(last=6)))
        async with three:
            asked = asyncio.create_task(begin(entry, "id-1", last=30))
            await until(lambda: bool(streams(one)))
            await asyncio.sleep(0.1)
            entry.register(one, version="v2", born=2)
            await asked
            entry.register(one, version="v2", born=2, state="draining")
            entry.register(two)
            entry.register(three)
            got = await resume(entry, "id-2", "id-1")
    assert streams(two) == []
    assert [r.request_id for r in streams(three)] == ["id-2"]
    assert got.status == 200


async def test_stream_that_ends_as_its_engine_registers_anew_keeps_its_build():
    """Guards against booking at the new incarnation what the one before has begun."""
    released = asyncio.Event()

    async def ends(replica: Replica, received: Received, writer: t.Any) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines))
        writer.write(chunk(events(1, 2)))
        await writer.drain()
        await released.wait()
        reset(writer)

    async with running(telling(1, ends)) as (entry, one, two):
        asked = asyncio.create_task(entry.ask("/long/x", request_id="id-1", **SHORT))
        await until(lambda: bool(streams(one)))
        await asyncio.sleep(0.1)
        one.script = telling(2, EngineScript())
        entry.register(one, version="v2", born=2)
        entry.register(two)
        released.set()
        got = await asked
    assert (got.complete, got.body) == (True, events(1, 4))
    assert [r.headers.get("last-event-id") for r in streams(two)] == ["2"]
    assert len(streams(one)) == 1


async def test_restart_with_the_same_build_breaks_no_stream():
    """Guards against taking each restart for a change of the build."""
    released = asyncio.Event()
    script = telling(2, EngineScript(last=400, pause=0.02))
    async with running(script) as (entry, one, two):
        asked = asyncio.create_task(begin(entry, "id-1", last=30))
        await until(lambda: bool(streams(one)))
        await asyncio.sleep(0.1)
        entry.register(one, born=2)
        await asked
        one.script = telling(2, breaks_when(released))
        got = await ask_and_break(entry, one, two, released)
        assert (got.complete, got.body) == (True, events(1, 4))
        entry.register(one, born=2, state="draining")
        resumed = await resume(entry, "id-3", "id-1")
    assert resumed.status == 200
    assert "id-3" in {r.request_id for r in streams(two)}


async def test_resumed_stream_is_not_booked_at_the_build_of_another_incarnation():
    """Guards against going on with a resumed stream once its engine turns out to run
    another build than the stream began at."""
    script = telling(2, EngineScript(last=400, pause=0.02))
    async with running(script) as (entry, one, two):
        two.script = telling(1, EngineScript(last=400, pause=0.02))
        only(entry, two, one)
        await begin(entry, "id-1", last=4)
        only(entry, one, two)
        asked = asyncio.create_task(resume(entry, "id-2", "id-1", last=4))
        await until(lambda: bool(streams(one)))
        await asyncio.sleep(0.1)
        entry.register(one, version="v2", born=2)
        got = await asked
        two.script = telling(1, EngineScript(last=6))
        entry.register(two)
        again = await resume(entry, "id-3", "id-1", last=4)
    assert not got.complete
    assert len(got.body) < len(events(5, 60))
    assert "id-3" in {r.request_id for r in streams(two)}
    assert (again.complete, again.body) == (True, events(5, 6))


async def test_sign_of_a_restart_puts_the_streams_that_run_to_the_question():
    """Guards against a sign that comes after the stream has begun: another connection
    to the incarnation before may end late."""
    script = telling(2, EngineScript(last=400, pause=0.02))
    async with running(script) as (entry, one, two):
        asked = asyncio.create_task(begin(entry, "id-1", last=40))
        await until(lambda: bool(streams(one)))
        await asyncio.sleep(0.1)
        (member,) = entry.fleet.present("llm", 0.0)
        entry.core.context.incarnations.on_sign(member, "reset")
        await asked
        entry.register(one, state="draining")
        entry.register(two)
        got = await resume(entry, "id-2", "id-1")
    assert questions(one) >= 1
    assert streams(two) == []
    assert got.status == 503


async def test_kv_cache_of_a_restarted_engine_is_not_imported():
    """Guards against decoding from a KV cache that another build has written."""
    reader = built("i-1", "v1", telling(2, EngineScript()), "prefill")
    decoder = built("i-2", "v1", telling(1, EngineScript()))
    async with serving(reader, decoder, asks_engines=True) as entry:
        entry.fleet.in_sync = False
        got = await entry.ask("/long/x", **LONG)
    assert got.complete
    (received,) = streams(decoder)
    assert "x-kv-source" not in received.headers


async def test_restarted_engine_imports_no_kv_cache():
    """Guards against decoding at another build than the one that read the prompt."""
    reader = built("i-1", "v1", telling(1, EngineScript()), "prefill")
    decoder = built("i-2", "v1", telling(2, EngineScript()))
    async with serving(reader, decoder, asks_engines=True) as entry:
        entry.fleet.in_sync = False
        got = await entry.ask("/long/x", **LONG)
    assert got.complete
    (received,) = streams(decoder)
    assert "x-kv-source" not in received.headers


@pytest.mark.parametrize("born", ["2", 1.5, None, [2], {}])
async def test_report_without_a_start_time_tells_no_incarnation(born):
    """Guards against a build that is known from a report that can't be read."""
    script = telling(born, EngineScript(last=400, pause=0.02))
    async with running(script) as (entry, one, two):
        entry.fleet.in_sync = False
        await begin(entry, "id-1", last=4)
        only(entry, two, one)
        got = await resume(entry, "id-2", "id-1")
    assert questions(one) >= 1
    assert streams(two) == []
    assert got.status == 503


async def test_engine_without_a_registered_start_time_is_not_asked():
    """Guards against breaking streams off where there is nothing to compare."""
    released = asyncio.Event()
    script = telling(2, breaks_when(released))
    async with running(script) as (entry, one, two):
        del one.entry["born"]
        del two.entry["born"]
        only(entry, one, two)
        entry.fleet.in_sync = False
        got = await ask_and_break(entry, one, two, released)
        assert questions(one) == questions(two) == 0
    assert (got.complete, got.body) == (True, events(1, 4))


async def test_registration_of_an_incarnation_that_has_ended_does_not_come_back():
    """Guards against a late write of the registration that was found to be outdated."""
    async with running(telling(2, EngineScript())) as (entry, one, _):
        entry.fleet.in_sync = False
        await entry.ask("/long/x", **SHORT)
        entry.register(one, slots=9)
        found = entry.fleet.registered("i-1")
        assert found is not None
        assert (found.boot, found.slots) == ("2", 9)
        assert is_unregistered(found.build)
        entry.register(one, born=2, version="v2")
        registered = entry.fleet.registered("i-1")
        assert registered is not None
        assert (registered.boot, registered.build) == ("2", "v2")
        assert entry.fleet.registered_builds("llm") == {"v1", "v2"}


async def test_engine_that_refuses_is_asked_by_streams_that_go_on():
    """Guards against sending a stream that has begun to an engine that says nothing."""
    released = asyncio.Event()
    silent = telling_late(5.0, 1, not_run())
    async with running(telling(1, breaks_when(released)), silent) as (entry, one, two):
        await ask_and_break(entry, one, two, released)
        assert len(streams(two)) == 1
        entry.fleet.in_sync = False
        await resume(entry, "id-3", "id-2")
        assert len(streams(two)) == 1


def test_names_of_unregistered_builds_are_taken_by_no_version():
    """Guards against a software version that looks like an incarnation."""
    name = unregistered_build(("i-1", "2"))
    assert build_name(name) != name
    assert not is_unregistered(build_name(name))
    long = unregistered_build(("i" * 200, "2"))
    assert is_unregistered(long)
    assert len(long) <= MAX_BUILD_CHARACTERS
    assert long != unregistered_build(("i" * 200, "3"))


async def test_build_of_a_departed_incarnation_is_known_for_a_while():
    """Guards against streams that can't be resumed after a second restart."""
    one = built("i-1", "v2", EngineScript())
    async with serving(one) as entry:
        known = entry.fleet.incarnations
        entry.register(one, born=2)
        entry.register(one, born=3)
        assert known.build(unregistered_build(("i-1", "2"))) == "v2"
        assert known.build(unregistered_build(("i-1", "4"))) != "v2"
        assert registration(one)["version"] == "v2"


def test_builds_of_departed_incarnations_are_forgotten():
    """Guards against a list that grows with each restart."""
    now = 0.0
    known = RegisteredIncarnations(lambda: now)
    for number in range(100):
        boot = str(number)
        upstream = Upstream("i-1", boot, "llm", "127.0.0.1:1", "z", 4, build="v1")
        known.on_registered(upstream)
        known.on_departed(upstream)
        now += 30.0
    assert len(known.builds) <= 4
