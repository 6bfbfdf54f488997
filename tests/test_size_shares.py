"""Service of large prompts under overload."""

from __future__ import annotations

import random

import pytest

from bergamotmast.policy.size_classes import MAX_REQUEST_CLASSES
from bergamotmast.policy.size_classes import SizeClass
from bergamotmast.policy.size_shares import MAX_DEFICIT_PROMPTS
from bergamotmast.policy.size_shares import MAX_SURPLUS_PROMPTS
from bergamotmast.policy.size_shares import MIN_SERVED_SHARE
from bergamotmast.policy.size_shares import SizedPrompt
from bergamotmast.policy.size_shares import SizeShares
from bergamotmast.served_shares import MIN_SERVED_RATIO
from bergamotmast.served_shares import ServedShares
from prompt_load import Load
from prompt_load import LoadedFleet
from prompt_load import shares_of


async def play(
    entries: int, prefill_engines: int, load: Load, seed: int
) -> ServedShares:
    rng = random.Random(seed)
    fleet = LoadedFleet(entries, prefill_engines, 2, rng)
    prompts = load.draw(rng)
    await fleet.play(prompts)
    reports = [prompt for prompt in prompts if prompt.target == "/report/x"]
    return shares_of(reports, fleet.served)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("factor", [3.0, 6.0])
@pytest.mark.parametrize(("entries", "prefill_engines"), [(1, 2), (4, 4)])
async def test_largest_prompts_do_not_starve(entries, prefill_engines, factor, seed):
    """Under overload, shorter prompts overtake the largest until their callers time
    out.
    """
    load = Load(
        reports=4.0 * prefill_engines, checks=5.0 * prefill_engines, factor=factor
    )
    shares = await play(entries, prefill_engines, load, seed)
    assert shares.all < 0.9
    assert shares.min_served_ratio >= MIN_SERVED_RATIO, shares


def sized(classes: SizeShares, size: int) -> SizedPrompt:
    return classes.begin("report", size)


@pytest.fixture
def classes() -> SizeShares:
    """Return the account of a request class whose prompts have all been served."""
    classes = SizeShares()
    for size in random.Random(3).sample(range(100, 300), 200):
        sized(classes, size).end(served=True)
    return classes


@pytest.mark.parametrize("size_class", [SizeClass.LARGEST, SizeClass.LARGE])
def test_at_most_one_prompt_goes_first_after_all_were_served(classes, size_class):
    shares = classes.classes["report"]
    assert sum(SizedPrompt(shares, size_class).claim() for _ in range(20)) <= 1


@pytest.mark.parametrize("size_class", [SizeClass.LARGEST, SizeClass.LARGE])
def test_refused_size_class_gets_half_of_its_request_class(classes, size_class):
    rng = random.Random(7)
    claims = []
    ends = []
    for _ in range(4_000):
        prompt = sized(classes, rng.randrange(100, 300))
        served = rng.random() < 0.6
        if prompt.size_class is size_class:
            served = prompt.claim()
            claims.append(served)
        prompt.end(served=served)
        ends.append(served)
    served_of_all = sum(ends) / len(ends)
    allowed = [
        part * served_of_all for part in (MIN_SERVED_RATIO, MIN_SERVED_SHARE + 0.1)
    ]
    assert allowed[0] <= sum(claims) / len(claims) <= allowed[1]


def test_one_deficit_lets_one_prompt_go_first(classes):
    shares = classes.classes["report"]
    shares.deficits[SizeClass.LARGEST] = 0.7
    prompts = [SizedPrompt(shares, SizeClass.LARGEST) for _ in range(5)]
    assert [prompt.claim() for prompt in prompts] == [True] + [False] * 4
    assert prompts[0].claim()


def test_deficit_is_restored_if_the_prompt_was_not_served(classes):
    shares = classes.classes["report"]
    shares.deficits[SizeClass.LARGEST] = 0.7
    prompt = SizedPrompt(shares, SizeClass.LARGEST)
    assert prompt.claim()
    prompt.end(served=False)
    assert shares.deficits[SizeClass.LARGEST] == pytest.approx(0.7)


def test_deficit_of_an_outage_is_bounded(classes):
    shares = classes.classes["report"]
    for _ in range(500):
        SizedPrompt(shares, SizeClass.LARGEST).end(served=False)
        SizedPrompt(shares, SizeClass.REST).end(served=True)
    assert shares.deficits[SizeClass.LARGEST] == MAX_DEFICIT_PROMPTS


def test_surplus_of_low_load_is_bounded(classes):
    shares = classes.classes["report"]
    for _ in range(100):
        SizedPrompt(shares, SizeClass.LARGEST).end(served=True)
    prompts_to_offset = MAX_SURPLUS_PROMPTS / (MIN_SERVED_SHARE * 0.1)
    for _ in range(int(prompts_to_offset) + 2):
        SizedPrompt(shares, SizeClass.REST).end(served=True)
    assert SizedPrompt(shares, SizeClass.LARGEST).claim()


def test_no_deficit_without_served_prompts(classes):
    shares = classes.classes["report"]
    shares.deficits[SizeClass.LARGEST] = 0.0
    for _ in range(100):
        prompt = SizedPrompt(shares, SizeClass.LARGEST)
        assert not prompt.claim()
        prompt.end(served=False)


def test_number_of_accounts_is_bounded():
    classes = SizeShares()
    for number in range(10 * MAX_REQUEST_CLASSES):
        classes.begin(f"class-{number}", 1).end(served=True)
    assert len(classes.classes) == MAX_REQUEST_CLASSES
