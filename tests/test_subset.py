"""Subsets of upstreams that entries keep connections to."""

from __future__ import annotations

import collections

import pytest

from bergamotmast.policy.subset import SUBSET_SIZE
from bergamotmast.policy.subset import choose_subset

ZONES = [f"zone-{i}" for i in range(7)]
GROUP = {f"engine-{i}": ZONES[i % 7] for i in range(85)}


def subsets(members, entries=330):
    return {
        f"entry-{i}": choose_subset(f"entry-{i}", ZONES[i % 7], members)
        for i in range(entries)
    }


def test_small_group_is_its_own_subset():
    few = {"engine-1": "zone-a", "engine-2": "zone-b"}
    assert choose_subset("entry-1", "zone-a", few) == set(few)


def test_subsets_are_bounded_and_spread():
    chosen = subsets(GROUP)
    assert {len(names) for names in chosen.values()} == {SUBSET_SIZE}
    degree = collections.Counter(n for names in chosen.values() for n in names)
    mean = 330 * SUBSET_SIZE / 85
    assert set(degree) == set(GROUP)
    assert min(degree.values()) > mean / 2
    assert max(degree.values()) < mean * 1.5


@pytest.mark.parametrize("lost", ZONES)
def test_loss_of_a_zone_leaves_candidates(lost):
    for names in subsets(GROUP).values():
        assert sum(GROUP[name] != lost for name in names) >= SUBSET_SIZE // 2


def test_removed_upstream_changes_few_subsets():
    fewer = {name: zone for name, zone in GROUP.items() if name != "engine-3"}
    before, after = subsets(GROUP), subsets(fewer)
    moved = sum(len(after[e] - before[e]) for e in before)
    assert moved <= sum("engine-3" in names for names in before.values())
