"""Which prompts of a class are large, by the sizes that the class has had lately.

Load pattern: prompts of one class differ in size a hundredfold, and what is usual
changes with the callers.

Without it: a limit in tokens that separates large prompts from small ones is wrong for
every class but one.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc as cabc
import enum
import typing as t

_T = t.TypeVar("_T")

SIZE_SAMPLES = 256
"""Sizes that are remembered of each class."""

MAX_REQUEST_CLASSES = 100
"""Classes that are followed; the one used least lately is forgotten."""

MIN_SIZE_SAMPLES = 10
"""Sizes below which no prompt is among the largest tenth."""


class SizeClass(enum.StrEnum):
    """Where a prompt stands among those of its class."""

    LARGEST = "largest"
    LARGE = "large"
    REST = "rest"


SIZE_CLASS_SHARES = {SizeClass.LARGEST: 0.1, SizeClass.LARGE: 0.2}
"""Shares of a class's prompts that are in the upper bands."""

LARGEST_SHARE = SIZE_CLASS_SHARES[SizeClass.LARGEST]
LARGE_SHARE = LARGEST_SHARE + SIZE_CLASS_SHARES[SizeClass.LARGE]


class RecentSizes:
    """The latest prompt sizes of one class.

    :param latest: in tokens, in the order of arrival.
    :param ordered: the same, the smallest first.
    """

    def __init__(self) -> None:
        self.latest: collections.deque[int] = collections.deque()
        self.ordered: list[int] = []

    def observe(self, size: int) -> SizeClass:
        """Remember a prompt and return its band.

        :param size: prompt tokens.
        """
        if len(self.latest) == SIZE_SAMPLES:
            oldest = self.latest.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.latest.append(size)
        bisect.insort(self.ordered, size)
        return self._band(size)

    def _band(self, size: int) -> SizeClass:
        count = len(self.ordered)
        if count < MIN_SIZE_SAMPLES:
            return SizeClass.REST
        # Prompts of equal size share the lower band.
        at_least = count - bisect.bisect_left(self.ordered, size)
        if at_least <= LARGEST_SHARE * count:
            return SizeClass.LARGEST
        return SizeClass.LARGE if at_least <= LARGE_SHARE * count else SizeClass.REST


class RequestClassTable(t.Generic[_T]):
    """Something kept for each class, of a bounded number of classes.

    :param make: makes it for a class that is new.
    """

    def __init__(self, make: cabc.Callable[[], _T]) -> None:
        self.make = make
        self.classes: collections.OrderedDict[str, _T] = collections.OrderedDict()

    def of(self, name: str) -> _T:
        """Return what is kept for a class."""
        if name not in self.classes:
            self.classes[name] = self.make()
        self.classes.move_to_end(name)
        if len(self.classes) > MAX_REQUEST_CLASSES:
            self.classes.popitem(last=False)
        return self.classes[name]


class RequestClassSizes(RequestClassTable[RecentSizes]):
    """The latest prompt sizes of each class."""

    def __init__(self) -> None:
        super().__init__(RecentSizes)

    def observe(self, name: str, size: int) -> SizeClass:
        """Remember a prompt of a class and return its band.

        :param size: prompt tokens.
        """
        return self.of(name).observe(size)
