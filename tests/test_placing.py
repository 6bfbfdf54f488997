"""Tests of stream placement over a whole fleet of engines."""

from __future__ import annotations

import asyncio
import collections
import json
import random

import pytest

from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.model import Call
from bergamotmast.direct.model import CallTraits
from bergamotmast.direct.model import PromptPart
from bergamotmast.direct.model import Upstream
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.placer import shared_parts
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.ports import KeyValue
from direct_support import HOST
from direct_support import config
from direct_support import engine
from direct_support import registration

ENTRIES = 68
ENGINES = 59


def make_fleet(engines: int) -> Fleet:
    """Return a fleet in which every third engine is a prefill engine."""
    fleet = Fleet(PlatformDirectory(), asyncio.get_running_loop().time)
    fleet.put(KeyValue("op/config", json.dumps(config()).encode(), 1))
    for number in range(engines):
        replica = engine(f"i-{number}", None)
        replica.address = f"10.0.0.{number}:80"
        stage = "decode" if number % 3 else "prefill"
        value = registration(replica) | {"stage": stage}
        fleet.put(KeyValue(f"servers/i-{number}", json.dumps(value).encode(), 2))
    return fleet


class NoPermitsNeeded:
    """Permits of a request to upstreams without limits."""

    def is_obtainable(self, upstream: Upstream, now: float) -> bool:
        """Return that it may be sent."""
        return True

    def wait(self, upstream: Upstream, now: float) -> float:
        """Return no waiting time."""
        return 0.0

    def holds(self, upstream: Upstream, now: float) -> bool:
        """Return that no permit is held."""
        return False


def make_call(fleet: Fleet, tokens: int) -> Call:
    traits = CallTraits("id", 3.0, 0, tokens, 30, 0, (PromptPart("part", tokens // 2),))
    route = fleet.table.find(HOST, "/long/x")
    group = fleet.group("llm")
    parts = shared_parts(traits)
    return Call(traits, route, group, "POST", "/long/x", (), b"", 0.0, 3.0, parts)


@pytest.mark.parametrize("tokens", [700, 3_000])
async def test_entries_without_load_data_do_not_all_choose_one_engine(tokens):
    """Guards against a tie-break order common to all entries, which overloads the
    first engines in that order."""
    fleet = make_fleet(ENGINES)
    chosen = collections.Counter()
    for number in range(ENTRIES):
        placer = RequestPlacer(
            fleet, f"entry-{number}", "zone-a", random.Random(number)
        )
        reader, answering, _ = placer.place_stream(
            make_call(fleet, tokens), (), None, NoPermitsNeeded()
        )
        chosen[reader.name if reader else answering.name] += 1
    # With a uniform random choice among the 20 prefill engines, the probability that
    # any of them gets more than 12 of the 68 prompts is below 0.001.
    assert max(chosen.values()) <= 12


async def test_placement_cost_is_linear_in_the_number_of_engines(monkeypatch):
    """Guards against comparing every pair of engines for each request."""
    lookups = collections.Counter()

    class CountingDict(dict):
        def __getitem__(self, key):
            lookups["kept"] += 1
            return super().__getitem__(key)

    original_kept = RequestPlacer._prefix_replicas
    monkeypatch.setattr(
        RequestPlacer,
        "_prefix_replicas",
        lambda *arguments: CountingDict(original_kept(*arguments)),
    )
    fleet = make_fleet(ENGINES)
    placer = RequestPlacer(fleet, "entry-1", "zone-a", random.Random(1))
    placer.place_stream(make_call(fleet, 3_000), (), None, NoPermitsNeeded())
    assert lookups["kept"] <= 4 * ENGINES
