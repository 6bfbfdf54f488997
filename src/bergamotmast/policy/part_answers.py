"""Memory of the parts of prompts that upstreams have answered.

Load pattern: an upstream crashes while it runs many requests, which share parts with
nearly all others. That a part of half of all prompts was lost with it says nothing of
the part, while one that was never answered may well have caused the crash.
"""

from __future__ import annotations

import collections
import dataclasses

HALF_LIFE_SECONDS = 300.0
"""Time in which the weight of an answer halves, as the mix of prompts shifts."""

MIN_ANSWERS = 0.1
"""Weight of the answers of a part below which it counts as never answered."""

MIN_TOTAL = 20.0
"""Weight of all answers from which on a part without any is taken for a new one."""

MAX_ANSWERED_PARTS = 16_384
"""Maximum number of remembered parts, which take less than 8 MB."""


@dataclasses.dataclass(slots=True)
class DecayingCount:
    """Number of answers, of which older ones weigh less; points in time."""

    weight: float = 0.0
    last_at: float = 0.0

    def at(self, now: float) -> float:
        """Return the weight of all answers."""
        return float(self.weight * 0.5 ** ((now - self.last_at) / HALF_LIFE_SECONDS))

    def add(self, now: float) -> None:
        """Count an answer."""
        self.weight = self.at(now) + 1.0
        self.last_at = now


class PartAnswers:
    """Answered prompts by part and by the build of the upstream that answered them.

    Points in time are the caller's.

    :param by_part: answers by part and build, the latest last.
    :param by_build: all answers to prompts with shared parts, by build.
    """

    def __init__(self) -> None:
        self.by_part: collections.OrderedDict[tuple[str, str], DecayingCount] = (
            collections.OrderedDict()
        )
        self.by_build: dict[str, DecayingCount] = {}

    def add(self, parts: tuple[str, ...], build: str, now: float) -> None:
        """Count an answered prompt."""
        self.by_build.setdefault(build, DecayingCount()).add(now)
        for part in parts:
            self.by_part.setdefault((part, build), DecayingCount()).add(now)
            self.by_part.move_to_end((part, build))
        while len(self.by_part) > MAX_ANSWERED_PARTS:
            self.by_part.popitem(last=False)

    def count(self, part: str, build: str, now: float) -> float:
        """Return the weight of the answers to prompts with a part."""
        answers = self.by_part.get((part, build))
        weight = 0.0 if answers is None else answers.at(now)
        return weight if weight >= MIN_ANSWERS else 0.0

    def total(self, build: str, now: float) -> float:
        """Return the weight of all answers to prompts with shared parts."""
        answers = self.by_build.get(build)
        return 0.0 if answers is None else answers.at(now)

    def surprise(
        self, part: str, build: str, lost: int, lost_runs: int, now: float
    ) -> float:
        """Return the probability that a crash would lose no other run with a part.

        The part is as common as among all answered and lost prompts, but for the one
        that may have caused the crash.

        :param lost: number of lost runs with the part.
        :param lost_runs: number of all lost runs.
        """
        total, count = self.total(build, now), self.count(part, build, now)
        others = total + lost_runs - 1
        is_new = not count and total >= MIN_TOTAL
        if is_new or others <= 0.0:
            return 1.0
        share = (count + max(0, lost - 1)) / others
        return float((1.0 - min(1.0, share)) ** max(1, lost_runs))
