"""What engines of unknown makes take to read, learned from what reads have taken."""

from __future__ import annotations

import dataclasses
import math
import random

import pytest

from bergamotmast.model import Role
from bergamotmast.policy.engine_load import MAX_SLOWDOWN
from bergamotmast.policy.engine_load import EngineLoadTracker
from bergamotmast.policy.prefill_model import PREFILL_ENGINE_PRIOR
from bergamotmast.policy.prefill_model import EngineTimeRatio
from bergamotmast.policy.prefill_model import GroupPrefillTimes
from bergamotmast.policy.prefill_model import PrefillTimeModel

READS = 48
WITHIN = 1.25


@dataclasses.dataclass(frozen=True)
class Make:
    """An engine that reads in pieces, a step for each.

    :param rate: tokens a second, beside the steps.
    :param step: seconds.
    :param pair: seconds for each pair of a token and one before it.
    """

    rate: float
    step: float = 0.004
    piece: int = 2048
    pair: float = 0.4e-9
    call: float = 0.008

    def seconds(self, tokens: int, cached: int) -> float:
        steps = math.ceil(tokens / self.piece)
        pairs = tokens * (cached + tokens / 2)
        return self.call + steps * self.step + tokens / self.rate + pairs * self.pair


MAKES = {
    "as guessed": Make(50_000),
    "half as fast": Make(25_000, pair=0.8e-9),
    "twice as fast": Make(100_000, step=0.002, pair=0.2e-9),
    "six times as slow": Make(8_000, pair=2.4e-9),
    "slow steps": Make(50_000, step=0.02),
    "small pieces": Make(50_000, piece=512),
    "pairs cost nothing": Make(50_000, pair=0.0),
    "pairs cost much": Make(60_000, pair=1.2e-9),
}


def prompts(rng: random.Random, count: int) -> list[tuple[int, int]]:
    """Return tokens to read and cached ones, as different as a day's."""
    found = []
    for _ in range(count):
        tokens = int(min(60_000, 3_000 * rng.lognormvariate(0, 1.1))) + 50
        found.append((tokens, rng.choice((0, 0, 3_000, 13_000))))
    return found


def disturbed(rng: random.Random, seconds: float) -> float:
    """Return what a read seems to take: some meet a queue, of some much was kept."""
    kind = rng.random()
    if kind < 0.25:
        return seconds + rng.expovariate(4.0)
    if kind < 0.3:
        return seconds * 0.3
    return seconds * rng.uniform(0.95, 1.08)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("name", MAKES)
def test_reads_of_any_make_are_known_within_four_dozen(name, seed):
    """Another customer's engines are of a make that nobody has told of.

    Half of what is sent there waits behind prompts that should be read by then, or is
    turned away though there would be time.
    """
    make, rng = MAKES[name], random.Random(seed)
    model = PrefillTimeModel(PREFILL_ENGINE_PRIOR)
    for tokens, cached in prompts(rng, READS):
        model.learn(tokens, cached, disturbed(rng, make.seconds(tokens, cached)))
    for tokens, cached in ((1_000, 0), (4_000, 13_000), (15_000, 0), (45_000, 0)):
        ratio = model.times.seconds(tokens, cached) / make.seconds(tokens, cached)
        assert 1 / WITHIN < ratio < WITHIN


def test_engines_of_one_group_have_each_their_pace():
    """Two of four engines take 1.5 times as long: no read of theirs shows the rest."""
    rng, group = random.Random(1), GroupPrefillTimes()
    paces = [1.0, 1.5, 1.0, 1.5]
    books = [EngineLoadTracker(500_000, group) for _ in paces]
    make = Make(30_000)
    for _ in range(READS):
        for time_ratio, book in zip(paces, books, strict=True):
            ((tokens, cached),) = prompts(rng, 1)
            book.learn(tokens, cached, time_ratio * make.seconds(tokens, cached))
    for time_ratio, book in zip(paces, books, strict=True):
        ratio = book.prefill_seconds(9_000, 0) / (time_ratio * make.seconds(9_000, 0))
        assert 1 / WITHIN < ratio < WITHIN


def test_roles_are_learned_apart():
    group = GroupPrefillTimes()
    book = EngineLoadTracker(500_000, group)
    book.role = Role.MIXED
    for tokens, cached in prompts(random.Random(2), READS):
        book.learn(tokens, cached, 4 * Make(20_000).seconds(tokens, cached))
    assert group.prefill_engines.times == PREFILL_ENGINE_PRIOR
    assert book.prefill_seconds(5_000, 0) > 3 * Make(20_000).seconds(5_000, 0)


def test_a_few_odd_reads_change_little():
    """One prompt that waited for a second leaves its engine as good as before."""
    time_ratio = EngineTimeRatio()
    for _ in range(10):
        time_ratio.learn(0.1, 0.1)
    time_ratio.learn(0.1, 1.1)
    assert time_ratio.factor < 1.2


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_what_can_not_be_is_left_out(seconds):
    model, time_ratio = PrefillTimeModel(PREFILL_ENGINE_PRIOR), EngineTimeRatio()
    for _ in range(READS):
        model.learn(1_000, 0, seconds)
        model.learn(0, 0, 1.0)
        time_ratio.learn(0.1, seconds)
    assert model.times == PREFILL_ENGINE_PRIOR
    assert time_ratio.factor == 1.0


def test_the_longest_prompt_under_way_is_found_out():
    """An engine reads a prompt for a second; urgent ones are sent there all the while.

    As the prompt before it ends, two wait: the long one, which the engine has begun by
    then, and an urgent one that has just come. Taken for the present one, the urgent
    one seems to be read in a moment, and so does each that comes after it.
    """
    book = EngineLoadTracker(500_000)
    book.begin(("a", 1), 0.1, 5, 0.0)
    book.begin(("a", 2), 1.0, 9, 0.05)
    book.begin(("b", 1), 0.03, 0, 0.095)
    book.end(("a", 1), 0.1)
    assert book.current == ("a", 2)
    assert book.wait(0, 0.2) > 0.8


def test_a_present_prompt_that_takes_too_long_is_another_one():
    """The guess was wrong, and nothing ends that would tell: its own time tells."""
    book = EngineLoadTracker(500_000)
    book.begin(("a", 1), 0.03, 0, 0.0)
    book.begin(("a", 2), 1.0, 9, 0.01)
    assert book.current == ("a", 1)
    assert book.wait(0, 0.15) > 0.7
    assert book.current == ("a", 2)


def test_the_end_of_any_prompt_turns_the_engine_to_the_next():
    """It was not thought to be under way: what was thought so is not, either."""
    book = EngineLoadTracker(500_000)
    book.begin(("a", 1), 0.5, 5, 0.0)
    book.begin(("a", 2), 0.2, 3, 0.01)
    book.begin(("a", 3), 0.4, 4, 0.02)
    book.end(("a", 2), 0.25)
    assert book.current == ("a", 3)
    assert book.wait(9, 0.25) == pytest.approx(0.9 - 0.02)


def test_a_caller_that_leaves_says_nothing_of_the_present_prompt():
    book = EngineLoadTracker(500_000)
    book.begin(("a", 1), 0.5, 5, 0.0)
    book.begin(("a", 2), 0.2, 6, 0.01)
    book.end(("a", 2), 0.25, done=False)
    assert book.current == ("a", 1)
    assert book.wait(9, 0.25) == pytest.approx(0.25)


def test_slowness_stays_bounded():
    book = EngineLoadTracker(500_000)
    for number in range(200):
        book.observe_slowdown(0.01, 100.0, number * 0.01)
    assert book.slowdown(2.0) <= MAX_SLOWDOWN
