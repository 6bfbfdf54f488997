"""Size classes of prompts, relative to recent prompts of the same request class.

Load pattern: prompts of one class differ in size a hundredfold, and the usual sizes
change with the callers.

Without it: a fixed token limit between large and small prompts is wrong for every
request class but one.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc as cabc
import enum
import typing as t

_T = t.TypeVar("_T")

SIZE_SAMPLES = 256
"""Prompt sizes kept for each request class."""

MAX_REQUEST_CLASSES = 100
"""Request classes tracked; the least recently used one is dropped."""

MIN_SIZE_SAMPLES = 10
"""Samples below which every prompt is in the lowest size class."""


class SizeClass(enum.StrEnum):
    """Size class of a prompt among those of its request class."""

    LARGEST = "largest"
    LARGE = "large"
    REST = "rest"


SIZE_CLASS_SHARES = {SizeClass.LARGEST: 0.1, SizeClass.LARGE: 0.2}
"""Share of a request class's prompts in each of the upper size classes."""

LARGEST_SHARE = SIZE_CLASS_SHARES[SizeClass.LARGEST]
LARGE_SHARE = LARGEST_SHARE + SIZE_CLASS_SHARES[SizeClass.LARGE]
"""Shares of a request class's prompts that are in the largest size class, or at least
in the large one."""


class RecentSizes:
    """Sliding window of the prompt sizes of one request class.

    :param latest: sizes in tokens, in order of arrival.
    :param ordered: the same sizes in ascending order.
    """

    def __init__(self) -> None:
        self.latest: collections.deque[int] = collections.deque()
        self.ordered: list[int] = []

    def observe(self, size: int) -> SizeClass:
        """Record a prompt and return its size class.

        :param size: prompt tokens.
        """
        if len(self.latest) == SIZE_SAMPLES:
            oldest = self.latest.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.latest.append(size)
        bisect.insort(self.ordered, size)
        return self._size_class(size)

    def _size_class(self, size: int) -> SizeClass:
        count = len(self.ordered)
        if count < MIN_SIZE_SAMPLES:
            return SizeClass.REST
        # Prompts of equal size share the lower size class.
        at_least = count - bisect.bisect_left(self.ordered, size)
        if at_least <= LARGEST_SHARE * count:
            return SizeClass.LARGEST
        return SizeClass.LARGE if at_least <= LARGE_SHARE * count else SizeClass.REST


class RequestClassTable(t.Generic[_T]):
    """LRU table with one value for each request class.

    :param make: creates the value of a new request class.
    """

    def __init__(self, make: cabc.Callable[[], _T]) -> None:
        self.make = make
        self.classes: collections.OrderedDict[str, _T] = collections.OrderedDict()

    def of(self, name: str) -> _T:
        """Return the value of a request class."""
        if name not in self.classes:
            self.classes[name] = self.make()
        self.classes.move_to_end(name)
        if len(self.classes) > MAX_REQUEST_CLASSES:
            self.classes.popitem(last=False)
        return self.classes[name]


class RequestClassSizes(RequestClassTable[RecentSizes]):
    """Recent prompt sizes of each request class."""

    def __init__(self) -> None:
        super().__init__(RecentSizes)

    def observe(self, name: str, size: int) -> SizeClass:
        """Record a prompt of a request class and return its size class.

        :param name: request class.
        :param size: prompt tokens.
        """
        return self.of(name).observe(size)
