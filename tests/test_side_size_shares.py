"""Service of large prompts at a side while its engine is overloaded."""

from __future__ import annotations

import collections
import math
import random

import pytest

from bergamotmast.errors import ResultCode
from bergamotmast.model import Cost
from bergamotmast.model import Priority
from bergamotmast.model import Role
from bergamotmast.policy.interfaces import QueueItem
from bergamotmast.policy.side_policy import FairSidePolicy
from bergamotmast.served_shares import MIN_SERVED_RATIO
from prompt_load import Prompt
from prompt_load import shares_of

TOKENS_PER_SECOND = 45_000
PATIENCE = 3.0
MEDIAN = 6_000
SPREAD = 0.8
MEAN = MEDIAN * math.exp(SPREAD**2 / 2)


class OneEngine:
    """A side and its engine, which prefills one prompt at a time."""

    def __init__(self) -> None:
        self.policy = FairSidePolicy()
        self.policy.configure(64, 1_000_000, TOKENS_PER_SECOND, 40_000, Role.MIXED)
        self.handed: collections.deque[QueueItem] = collections.deque()
        self.free_at = 0.0
        self.served: set[str] = set()

    def offer(self, prompt: Prompt) -> None:
        self._run_until(prompt.at)
        item = QueueItem(
            prompt.name,
            "tenant",
            1.0,
            "report",
            Priority.INTERACTIVE,
            Cost(prompt.size, 4),
            prompt.at + PATIENCE,
            prompt.at + 3 * PATIENCE,
            prompt.at,
        )
        if self.policy.offer(item, prompt.at) is ResultCode.OK:
            self._hand_over(prompt.at)

    def _hand_over(self, now: float) -> None:
        self.policy.expire(now)
        while (item := self.policy.next(now)) is not None:
            self.free_at = max(self.free_at, now) if not self.handed else self.free_at
            self.handed.append(item)

    def _run_until(self, now: float) -> None:
        while self.handed:
            item = self.handed[0]
            read_at = self.free_at + item.cost.prefill / TOKENS_PER_SECOND
            if read_at > now:
                return
            self.handed.popleft()
            self.free_at = read_at
            if read_at <= item.start_by:
                self.served.add(item.attempt)
            self.policy.on_progress(item.attempt, 1, read_at)
            self.policy.on_ended(item.attempt, read_at)
            self._hand_over(read_at)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("factor", [1.5, 3.0])
def test_largest_prompts_do_not_starve_at_a_side(factor, seed):
    """Short prompts fill the queue up to the callers' timeout, and long ones never fit
    in.
    """
    rng = random.Random(seed)
    side = OneEngine()
    rate = factor * TOKENS_PER_SECOND / MEAN
    prompts = []
    at = 0.0
    for number in range(800):
        at += rng.expovariate(rate)
        size = int(rng.lognormvariate(math.log(MEDIAN), SPREAD))
        prompts.append(Prompt(f"report-{number}", "", at, size))
        side.offer(prompts[-1])
    shares = shares_of(prompts, side.served)
    assert shares.all < 0.95
    assert shares.min_served_ratio >= MIN_SERVED_RATIO, shares
