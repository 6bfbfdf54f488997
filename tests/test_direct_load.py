"""Loads at which a direct entry's placement decides who is served; no network."""

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
from test_direct_policy import view

OBJECTIVE = 0.6


def test_an_answering_engine_reads_nothing_long():
    reading = [view(name, wait=0.5, prefill_seconds=0.15) for name in "abcd"]
    only = view(
        "e", Role.DECODE, prefill_seconds=DECODE_ENGINE_PREFILL_SHARE * OBJECTIVE + 0.01
    )
    assert (
        place_prompt([*reading, only], OBJECTIVE, OBJECTIVE).prefill_engine is not None
    )


def test_a_second_copy_is_made_only_where_it_saves_more_than_it_displaces():
    """The engine that keeps a prompt's beginning has a short queue, another has none.

    Fetched there, the beginning would be kept twice, and what it displaces is read
    again by somebody: 0.3 s for a beginning of 13,000 tokens.
    """
    kept = view("a", wait=0.05, prefill_seconds=0.05)
    other = view("b", prefill_seconds=0.05, transferred_seconds=0.3)
    answering = view("d", Role.DECODE, prefill_seconds=9.0)
    assert (
        place_prompt([kept, other, answering], OBJECTIVE, OBJECTIVE).prefill_engine
        == "a"
    )
    queue = dataclasses.replace(kept, wait=REPLICA_COST_SHARE * 0.3 + 0.02)
    assert (
        place_prompt([queue, other, answering], OBJECTIVE, OBJECTIVE).prefill_engine
        == "b"
    )


@dataclasses.dataclass
class Engine:
    """An engine's memory: what it has read, the oldest leaving first."""

    name: str
    memory: PrefixCacheModel
    busy_until: float = 0.0


def tokens_read(copy_share: float, seed: int) -> tuple[float, float]:
    """Return tokens read of shared beginnings, and the mean wait, over some minutes.

    Four engines share a hundred beginnings of 13,000 tokens, which fill four fifths of
    their memory when each is kept once. Prompts go where they cost least.
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
            cost = wait + seconds + copy_share * transferred / 45_000
            costs.append((cost, engine.name, engine, wait, seconds, missing))
        *_, engine, wait, seconds, missing = min(costs, key=lambda cost: cost[:2])
        engine.busy_until = now + wait + seconds
        engine.memory.store(parts)
        prefilled += missing
        waited += wait
    return prefilled, waited / count


@pytest.mark.parametrize("seed", range(3))
def test_homes_keep_more_beginnings_than_copies_everywhere(seed):
    """Shared beginnings are read again and again though memory would hold them all.

    A fetch takes a twentieth of a read, so each prompt goes to the shortest queue and
    takes its beginning along: every engine ends with a copy of the same few.
    """
    copied, wait_copied = tokens_read(0.0, seed)
    homed, wait_homed = tokens_read(REPLICA_COST_SHARE, seed)
    assert homed < copied
    assert wait_homed < wait_copied


def test_what_is_on_its_way_counts_at_its_engine_and_nowhere_else():
    """A prompt waits in a queue; another one with its beginning is placed.

    At the same engine it will be read by then. Another engine can't fetch it yet: asked
    for it, it reads all by itself, three times as long as was predicted.
    """
    memory = PrefixCacheModel(10_000)
    memory.expect(("e", 1), ((1, 4_000), (2, 900)))
    assert memory.expected_cached_tokens(((1, 4_000), (3, 100))) == 4_000
    assert memory.transferable_tokens(((1, 4_000), (3, 100))) == 0
    memory.settle(("e", 1), done=True)
    assert memory.transferable_tokens(((1, 4_000), (3, 100))) == 4_000


def test_what_was_given_up_in_the_queue_is_not_kept():
    book = EngineLoadTracker(100_000)
    book.prefix.expect(("e", 1), ((1, 4_000),))
    book.begin(("e", 1), 0.1, 5, 0.0)
    book.end(("e", 1), 0.05, done=False)
    assert book.prefix.expected_cached_tokens(((1, 4_000),)) == 0


def test_a_peers_own_part_displaces_others_too():
    """What nobody asks for again takes as much memory as what many share."""
    notice = PrefillNotice(1, 7, 5, tokens=3_000, cached=4_000, parts=((1, 4_000),))
    memory = PrefixCacheModel(8_000)
    memory.store(((9, 4_000),))
    memory.expect(("peer", 7), notice.all_parts(("peer", 7)))
    memory.settle(("peer", 7), done=True)
    assert memory.transferable_tokens(((9, 4_000),)) == 0
    assert memory.transferable_tokens(((1, 4_000),)) == 4_000
