"""Which prompts of a class are large, by the sizes that the class has had lately.

Load pattern: prompts of one class differ in size a hundredfold, and what is usual
changes with the callers.

Without it: a limit in tokens that separates large prompts from small ones is wrong for
every class but one.
"""

from __future__ import annotations

import bisect
import collections
import enum

WINDOW_SIZES = 256
"""Sizes that are remembered of each class."""

MOST_CLASSES = 100
"""Classes that are followed; the one used least lately is forgotten."""

FEWEST_SIZES = 10
"""Sizes below which no prompt is among the largest tenth."""


class SizeBand(enum.StrEnum):
    """Where a prompt stands among those of its class."""

    LARGEST = "largest"
    LARGE = "large"
    REST = "rest"


BAND_SHARES = {SizeBand.LARGEST: 0.1, SizeBand.LARGE: 0.2}
"""Shares of a class's prompts that are in the upper bands."""

LARGEST_SHARE = BAND_SHARES[SizeBand.LARGEST]
BOTH_SHARES = LARGEST_SHARE + BAND_SHARES[SizeBand.LARGE]


class RecentSizes:
    """The latest prompt sizes of one class.

    :param latest: in tokens, in the order of arrival.
    :param ordered: the same, the smallest first.
    """

    def __init__(self) -> None:
        self.latest: collections.deque[int] = collections.deque()
        self.ordered: list[int] = []

    def observe(self, size: int) -> SizeBand:
        """Remember a prompt and return its band.

        :param size: prompt tokens.
        """
        if len(self.latest) == WINDOW_SIZES:
            oldest = self.latest.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.latest.append(size)
        bisect.insort(self.ordered, size)
        return self._band(size)

    def _band(self, size: int) -> SizeBand:
        count = len(self.ordered)
        if count < FEWEST_SIZES:
            return SizeBand.REST
        # Prompts of equal size share the lower band.
        at_least = count - bisect.bisect_left(self.ordered, size)
        if at_least <= LARGEST_SHARE * count:
            return SizeBand.LARGEST
        return SizeBand.LARGE if at_least <= BOTH_SHARES * count else SizeBand.REST


class ClassSizes:
    """The latest prompt sizes of each class."""

    def __init__(self) -> None:
        self.classes: collections.OrderedDict[str, RecentSizes] = (
            collections.OrderedDict()
        )

    def observe(self, name: str, size: int) -> SizeBand:
        """Remember a prompt of a class and return its band.

        :param size: prompt tokens.
        """
        sizes = self.classes.setdefault(name, RecentSizes())
        self.classes.move_to_end(name)
        if len(self.classes) > MOST_CLASSES:
            self.classes.popitem(last=False)
        return sizes.observe(size)
