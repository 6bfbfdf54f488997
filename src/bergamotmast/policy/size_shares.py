"""Which prompts are read first so that no size of a class is left unserved.

Load pattern: for seconds, more prompts of a class come than can be read, and their
sizes differ a hundredfold. Engines read short prompts of a class first.

Without it: a large prompt stands behind every smaller one that still comes. Its caller
leaves, or is refused because that is foreseen, and nearly all of the largest tenth is
lost while half of the class is served.

Each class keeps account of what is served of its large prompts against the class as a
whole: with each prompt that is served, a band is owed a part of one, and each served
prompt of the band settles one. As many prompts as are owed, of those that would be
refused, are read before all others of their rank. Little is owed while all are served,
so the order by size stays as it is until it costs one band too much.
"""

from __future__ import annotations

from .size_classes import SIZE_CLASS_SHARES
from .size_classes import RecentSizes
from .size_classes import RequestClassTable
from .size_classes import SizeClass

MIN_SERVED_SHARE = 0.6
"""Least served share of a band against its class, counted by tries. Operators expect
half, of requests: a large one that comes back may be refused once more."""

MAX_DEFICIT_PROMPTS = 2.0
"""Prompts that a band can be owed. After an outage, when not even prompts that go first
were served, the debt would otherwise delay the other sizes long after it."""

MAX_SURPLUS_PROMPTS = 0.5
"""Prompts by which a band is ahead at most for those that were served without going
first, so that what is served while load is low hardly counts when it rises."""


class SizedPrompt:
    """A prompt at work, as its class accounts for it.

    :param goes_first: whether it is read before the others of its rank.
    """

    def __init__(self, shares: RequestClassShares, size_class: SizeClass) -> None:
        self.shares = shares
        self.size_class = size_class
        self.goes_first = False

    def claim(self) -> bool:
        """Let the prompt go first if its band is owed one; return whether it does."""
        if not self.goes_first:
            self.goes_first = self.shares.take(self.size_class)
        return self.goes_first

    def end(self, *, served: bool) -> None:
        """Take what became of the prompt."""
        self.shares.end(self, served=served)


class RequestClassShares:
    """What one class has been served lately.

    :param deficits: prompts that each band should have been served beyond those it was.
    """

    def __init__(self) -> None:
        self.sizes = RecentSizes()
        self.deficits = dict.fromkeys(SIZE_CLASS_SHARES, 0.0)

    def begin(self, size: int) -> SizedPrompt:
        """Take a prompt in.

        :param size: prompt tokens.
        """
        return SizedPrompt(self, self.sizes.observe(size))

    def take(self, size_class: SizeClass) -> bool:
        """Take a prompt off what a band is owed, if it is owed any.

        It is taken for served at once: until that is known, the next ones of its band
        would go first too.
        """
        if self.deficits.get(size_class, 0.0) <= 0.0:
            return False
        self.deficits[size_class] -= 1.0
        return True

    def end(self, prompt: SizedPrompt, *, served: bool) -> None:
        """Take what became of a prompt."""
        if served:
            for size_class, share in SIZE_CLASS_SHARES.items():
                self._owe(size_class, MIN_SERVED_SHARE * share)
        if prompt.goes_first and not served:
            self._owe(prompt.size_class, 1.0)
        elif served and not prompt.goes_first:
            self._settle(prompt.size_class)

    def _owe(self, size_class: SizeClass, prompts: float) -> None:
        self.deficits[size_class] = min(
            MAX_DEFICIT_PROMPTS, self.deficits[size_class] + prompts
        )

    def _settle(self, size_class: SizeClass) -> None:
        deficits = self.deficits.get(size_class)
        if deficits is not None and deficits > -MAX_SURPLUS_PROMPTS:
            self.deficits[size_class] = max(-MAX_SURPLUS_PROMPTS, deficits - 1.0)


class SizeShares(RequestClassTable[RequestClassShares]):
    """The shares of all classes at one entry or side."""

    def __init__(self) -> None:
        super().__init__(RequestClassShares)

    def begin(self, name: str, size: int) -> SizedPrompt:
        """Take a prompt of a class in; its end must be told.

        :param size: prompt tokens.
        """
        return self.of(name).begin(size)
