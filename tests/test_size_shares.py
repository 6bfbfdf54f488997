"""What is served of large prompts while more comes than can be read."""

from __future__ import annotations

import random

import pytest

from prompt_load import Load
from prompt_load import LoadedFleet
from prompt_load import ServedShares
from prompt_load import served_shares

LEAST_RATIO = 0.5
"""The users' bound: of the largest tenth of a class, and of the fifth below it, at least
half as large a share is served as of the whole class."""

pytestmark = pytest.mark.looptime


async def play(entries: int, readers: int, load: Load, seed: int) -> ServedShares:
    rng = random.Random(seed)
    fleet = LoadedFleet(entries, readers, 2, rng)
    prompts = load.draw(rng)
    await fleet.play(prompts)
    reports = [prompt for prompt in prompts if prompt.target == "/report/x"]
    return served_shares(reports, fleet.served)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("factor", [3.0, 6.0])
@pytest.mark.parametrize(("entries", "readers"), [(1, 2), (4, 4)])
async def test_largest_prompts_are_not_left_to_the_last(entries, readers, factor, seed):
    """Shorter prompts that keep coming pass the largest until their callers leave."""
    load = Load(reports=4.0 * readers, checks=5.0 * readers, factor=factor)
    shares = await play(entries, readers, load, seed)
    assert shares.all < 0.9
    assert shares.least_ratio >= LEAST_RATIO, shares
