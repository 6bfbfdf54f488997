"""Which prompts are read first so that no size of a class is left unserved.

Load pattern: for seconds, more prompts of a class come than can be read, and their
sizes differ a hundredfold. Engines read short prompts of a class first.

Without it: a large prompt stands behind every smaller one that still comes. Its caller
leaves, or is refused because that is foreseen, and nearly all of the largest tenth is
lost while half of the class is served.

Each class keeps account of what is served of its large prompts against the class as a
whole. A band that falls behind is owed prompts; as many of the next ones that would be
refused are then read before all others of their rank. Nothing is owed while all are
served, so the order by size stays as it is until it costs one band too much.
"""

from __future__ import annotations

import collections

from .size_bands import RecentSizes
from .size_bands import SizeBand

LEAST_SHARE = 0.5
"""Least served share of a band against its class, counted by tries. Refused callers
come back, which brings the shares of their requests closer to each other."""

ENDS_AVERAGED = 32.0
"""Ends of requests over which the served share of a class is averaged."""

MOST_OWED = 2.0
"""Prompts that a band can be owed. After an outage, when not even prompts that go first
were served, the debt would otherwise delay the other sizes long after it."""

MOST_AHEAD = 1.0
"""Prompts by which a band can be ahead, so that what is served while load is low does
not count against a band when it rises."""

MOST_CLASSES = 100
"""Classes that are followed; the one used least lately is forgotten."""


class SizedPrompt:
    """A prompt at work, as its class accounts for it.

    :param goes_first: whether it is read before the others of its rank.
    """

    def __init__(self, shares: ClassShares, band: SizeBand) -> None:
        self.shares = shares
        self.band = band
        self.goes_first = False

    def claim(self) -> bool:
        """Let the prompt go first if its band is owed one; return whether it does."""
        if not self.goes_first:
            self.goes_first = self.shares.take(self.band)
        return self.goes_first

    def end(self, *, served: bool) -> None:
        """Take what became of the prompt."""
        self.shares.end(self, served=served)


class ClassShares:
    """What one class has been served lately.

    :param share: of its requests that were served.
    :param owed: prompts that each band should have been served beyond those it was.
    """

    def __init__(self) -> None:
        self.sizes = RecentSizes()
        self.share = 1.0
        self.owed = {SizeBand.LARGEST: 0.0, SizeBand.LARGE: 0.0}

    @property
    def wanted(self) -> float:
        """Share of a band's prompts that is to be served."""
        return LEAST_SHARE * self.share

    def begin(self, size: int) -> SizedPrompt:
        """Take a prompt in.

        :param size: prompt tokens.
        """
        return SizedPrompt(self, self.sizes.observe(size))

    def take(self, band: SizeBand) -> bool:
        """Take a prompt off what a band is owed, if it is owed any.

        It is taken for served at once: until that is known, the next ones of its band
        would go first too.
        """
        if self.owed.get(band, 0.0) <= 0.0:
            return False
        self._owe(band, self.wanted - 1.0)
        return True

    def end(self, prompt: SizedPrompt, *, served: bool) -> None:
        """Take what became of a prompt."""
        if prompt.goes_first:
            self._owe(prompt.band, 0.0 if served else 1.0)
        else:
            self._owe(prompt.band, self.wanted - served)
        self.share += (served - self.share) / ENDS_AVERAGED

    def _owe(self, band: SizeBand, prompts: float) -> None:
        if band in self.owed:
            owed = self.owed[band] + prompts
            self.owed[band] = max(-MOST_AHEAD, min(MOST_OWED, owed))


class SizeShares:
    """The shares of all classes at one entry."""

    def __init__(self) -> None:
        self.classes: collections.OrderedDict[str, ClassShares] = (
            collections.OrderedDict()
        )

    def begin(self, name: str, size: int) -> SizedPrompt:
        """Take a prompt of a class in; its end must be told.

        :param size: prompt tokens.
        """
        shares = self.classes.setdefault(name, ClassShares())
        self.classes.move_to_end(name)
        if len(self.classes) > MOST_CLASSES:
            self.classes.popitem(last=False)
        return shares.begin(size)
