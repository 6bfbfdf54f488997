"""Builds that the store names, before streams begin at them."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.build_history import encode
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.presence import presence_key
from bergamotmast.policy.entry_ranking import first_entries
from bergamotmast.policy.entry_ranking import stable_hash
from bergamotmast.ports import KeyValue
from build_outage_support import STREAMS
from build_outage_support import assert_new_streams_begin
from build_outage_support import site
from direct_support import engine
from direct_support import registration
from test_placing import NoPermitsNeeded
from test_placing import make_call
from test_placing import make_fleet


def register(fleet: Fleet, name: str, build: str, stage: str = "decode") -> None:
    replica = engine(name, None)
    replica.address = f"10.0.1.{len(fleet.upstream_records)}:80"
    value = registration(replica) | {"stage": stage, "version": build}
    fleet.put(KeyValue(f"servers/{name}", json.dumps(value).encode(), 3))


def record(fleet: Fleet, *builds: str) -> None:
    value = encode({"llm": frozenset(builds)})
    revision = fleet.build_history.revision + 1
    fleet.put(KeyValue(BUILDS_KEY, value, revision))


def place(fleet: Fleet, tokens: int = 700) -> tuple[str | None, str]:
    """Return the builds of the prefill engine, if there is one, and decode engine."""
    rng = random.Random(len(fleet.upstream_records))
    placer = RequestPlacer(fleet, "entry-0", "zone-a", rng)
    call = make_call(fleet, tokens)
    reader, answering, _ = placer.place_stream(call, (), None, NoPermitsNeeded())
    return None if reader is None else reader.build, answering.build


@pytest.mark.parametrize("stage", ["decode", "prefill"])
async def test_streams_begin_at_a_build_once_it_is_recorded(stage):
    """Guards against streams that the store knows nothing of after the entries' end."""
    fleet = make_fleet(0)
    register(fleet, "i-0", "v1")
    record(fleet, "v1")
    for number in range(1, 9):
        register(fleet, f"i-{number}", "v2", stage if number % 2 else "decode")
    assert {place(fleet, 700 + n) for n in range(20)} == {(None, "v1")}
    record(fleet, "v1", "v2")
    assert "v2" in {place(fleet, 700 + n)[1] for n in range(20)}


@pytest.mark.parametrize("recorded", [(), ("v1",)])
@pytest.mark.parametrize("left", ["none", "prefill"])
async def test_stream_begins_at_an_unrecorded_build_where_there_is_no_other(
    recorded, left
):
    """Guards against refusing all streams as the store takes no write."""
    fleet = make_fleet(0)
    record(fleet, *recorded)
    if left == "prefill":
        register(fleet, "i-0", "v1", "prefill")
    register(fleet, "i-1", "v2")
    assert place(fleet)[1] == "v2"


@pytest.mark.parametrize("fault", ["refused", "late"])
async def test_no_stream_begins_at_a_build_while_it_cannot_be_recorded(fault):
    """Guards against streams at a build that came as writes failed already, and left
    while no entry ran: nothing then tells them from those of the recorded build."""
    async with site("v1", entries=2) as found:
        found.store.write_fault = fault
        found.register("v2")
        await asyncio.sleep(0.5)
        for wave in range(6):
            await found.begin(f"a{wave}", STREAMS // 2)
        assert len(found.begun) == 3 * STREAMS
        if fault == "refused":
            assert set(found.begun.values()) == {"v1"}
        await asyncio.sleep(1.0)
        await found.kill()
        found.leave("v2")
        await asyncio.sleep(0.3)
        found.store.write_fault = ""
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        if fault == "refused":
            assert found.share(outcome, "v1") >= 0.5, found.summary(outcome)
        await assert_new_streams_begin(found)


async def test_build_is_used_soon_without_the_entry_that_records_first():
    """Guards against a new build that waits for the record of an entry that is gone."""
    async with site("v1") as found:
        keys = [presence_key(f"entry-{n}") for n in range(len(found.entries))]
        (first,) = first_entries(1, keys, stable_hash(BUILDS_KEY))
        gone = found.entries.pop(keys.index(first))
        gone.process.kill()
        await gone.process.wait()
        found.register("v2")
        loop = asyncio.get_running_loop()
        until = loop.time() + 2.5
        while "v2" not in found.begun.values() and loop.time() < until:
            await found.begin(f"a-{loop.time()}", 4)
            await asyncio.sleep(0.1)
        assert set(found.begun.values()) == {"v1", "v2"}
