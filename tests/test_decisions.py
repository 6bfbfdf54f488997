"""Switches of a direct entry's decisions."""

from __future__ import annotations

import dataclasses

import pytest

from bergamotmast.model import Role
from bergamotmast.policy.decisions import ALL_DECISIONS
from bergamotmast.policy.decisions import DECISION_NAMES
from bergamotmast.policy.decisions import Decisions
from bergamotmast.policy.direct_placement import place_prompt
from bergamotmast.policy.direct_placement import prefill_priority
from bergamotmast.policy.priority import Rank
from test_direct_policy import LONG
from test_direct_policy import TIGHT
from test_direct_policy import candidate


@pytest.mark.parametrize("name", sorted(DECISION_NAMES))
def test_only_the_named_decision_is_switched_off(name):
    assert Decisions.without([name]) == dataclasses.replace(
        ALL_DECISIONS, **{name: False}
    )


def test_unknown_decision_is_named_in_the_error():
    with pytest.raises(ValueError, match="unknown decision: pakcing"):
        Decisions.without(["pakcing"])


def test_without_packing_a_long_prompt_takes_the_free_engine():
    engines = [candidate("a", wait=0.1), candidate("b"), candidate("d", Role.DECODE)]
    long = [dataclasses.replace(e, prefill_seconds=LONG) for e in engines]
    off = Decisions.without(["packing"])
    assert place_prompt(long, 0.8, TIGHT).prefill_engine == "a"
    assert place_prompt(long, 0.8, TIGHT, off).prefill_engine == "b"


def test_without_size_priority_prompts_of_a_rank_have_one_priority():
    off = Decisions.without(["size_priority"])
    assert prefill_priority(Rank(1), 100, off) == prefill_priority(Rank(1), 90_000, off)
