"""Placement by a direct entry under load, without a network."""

from __future__ import annotations

import dataclasses
import random

import pytest

from bergamotmast.direct.prefill_notice import PrefillNotice
from bergamotmast.model import Role
from bergamotmast.policy.direct_placement import DECODE_ENGINE_PREFILL_SHARE
from bergamotmast.policy.direct_placement import REPLICA_COST_SHARE
from bergamotmast.policy.direct_placement import place_prompt
from bergamotmast.policy.engine_load import EngineLoadTracker
from bergamotmast.policy.prefix_cache import PrefixCacheModel
from test_direct_policy import candidate

OBJECTIVE = 0.6


def test_decode_engine_prefills_no_long_prompt():
    prefill_engines = [
        candidate(name, wait=0.5, prefill_seconds=0.15) for name in "abcd"
    ]
    only = candidate(
        "e", Role.DECODE, prefill_seconds=DECODE_ENGINE_PREFILL_SHARE * OBJECTIVE + 0.01
    )
    assert (
        place_prompt([*prefill_engines, only], OBJECTIVE, OBJECTIVE).prefill_engine
        is not None
    )


def test_replica_is_made_only_if_it_saves_more_than_it_evicts():
    """The engine with the cached prefix has a short queue, another engine has none.

    A transfer would store the prefix twice and evict another one, which has to be
    prefilled again: 0.3 s for a prefix of 13,000 tokens.
    """
    kept = candidate("a", wait=0.05, prefill_seconds=0.05)
    other = candidate("b", prefill_seconds=0.05, transferred_seconds=0.3)
    decode_candidate = candidate("d", Role.DECODE, prefill_seconds=9.0)
    assert (
        place_prompt(
            [kept, other, decode_candidate], OBJECTIVE, OBJECTIVE
        ).prefill_engine
        == "a"
    )
    queue = dataclasses.replace(kept, wait=REPLICA_COST_SHARE * 0.3 + 0.02)
    assert (
        place_prompt(
            [queue, other, decode_candidate], OBJECTIVE, OBJECTIVE
        ).prefill_engine
        == "b"
    )


@dataclasses.dataclass
class Engine:
    """An engine's prefix cache (LRU) and the end of its queued work."""

    name: str
    memory: PrefixCacheModel
    busy_until: float = 0.0


def prefilled_tokens(replica_cost_share: float, seed: int) -> tuple[float, float]:
    """Return the prefilled tokens of shared prefixes and the mean wait over some
    minutes.

    Four engines share a hundred prefixes of 13,000 tokens, which fill four fifths of
    their caches if each is stored once. Prompts go where they cost least.
    """
    rng = random.Random(seed)
    engines = [Engine(str(n), PrefixCacheModel(400_000)) for n in range(4)]
    now, prefilled, waited, count = 0.0, 0, 0.0, 4_000
    for number in range(count):
        now += rng.expovariate(22.0)
        shared = (rng.randrange(100), 13_000)
        parts = (shared, (10_000 + number, 3_000))
        costs = []
        for engine in engines:
            wait = max(0.0, engine.busy_until - now)
            own = engine.memory.transferable_tokens([shared])
            transferred = (
                0
                if own
                else max(e.memory.transferable_tokens([shared]) for e in engines)
            )
            missing = 13_000 - own - transferred
            seconds = (3_000 + missing) / 45_000 + transferred / 900_000
            cost = wait + seconds + replica_cost_share * transferred / 45_000
            costs.append((cost, engine.name, engine, wait, seconds, missing))
        *_, engine, wait, seconds, missing = min(costs, key=lambda cost: cost[:2])
        engine.busy_until = now + wait + seconds
        engine.memory.store(parts)
        prefilled += missing
        waited += wait
    return prefilled, waited / count


@pytest.mark.parametrize("seed", range(3))
def test_replica_cost_keeps_more_prefixes_cached(seed):
    """Without a cost for replicas, prefixes are evicted though the caches could hold
    all.

    A transfer takes a twentieth of a prefill, so each prompt goes to the shortest queue
    with its prefix: every engine ends up with a replica of the same few.
    """
    with_replicas, wait_with_replicas = prefilled_tokens(0.0, seed)
    with_cost, wait_with_cost = prefilled_tokens(REPLICA_COST_SHARE, seed)
    assert with_cost < with_replicas
    assert wait_with_cost < wait_with_replicas


def test_pending_prefix_counts_only_at_its_engine():
    """A prompt is queued when another one with the same prefix is placed.

    At the same engine the prefix will be cached by then. Another engine can't fetch it
    yet: it would prefill everything itself, three times as long as predicted.
    """
    memory = PrefixCacheModel(10_000)
    memory.expect(("e", 1), ((1, 4_000), (2, 900)))
    assert memory.expected_cached_tokens(((1, 4_000), (3, 100))) == 4_000
    assert memory.transferable_tokens(((1, 4_000), (3, 100))) == 0
    memory.settle(("e", 1), done=True)
    assert memory.transferable_tokens(((1, 4_000), (3, 100))) == 4_000


def test_aborted_prefill_is_not_cached():
    tracker = EngineLoadTracker(100_000)
    tracker.prefix.expect(("e", 1), ((1, 4_000),))
    tracker.begin(("e", 1), 0.1, 5, 0.0)
    tracker.end(("e", 1), 0.05, done=False)
    assert tracker.prefix.expected_cached_tokens(((1, 4_000),)) == 0


def test_unshared_part_of_a_peer_evicts_others():
    """A part that is never requested again takes as much cache as a shared one."""
    notice = PrefillNotice(1, 7, 5, tokens=3_000, cached=4_000, parts=((1, 4_000),))
    memory = PrefixCacheModel(8_000)
    memory.store(((9, 4_000),))
    memory.expect(("peer", 7), notice.all_parts(("peer", 7)))
    memory.settle(("peer", 7), done=True)
    assert memory.transferable_tokens(((9, 4_000),)) == 0
    assert memory.transferable_tokens(((1, 4_000),)) == 4_000
