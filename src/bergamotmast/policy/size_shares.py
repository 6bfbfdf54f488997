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

from .size_bands import BAND_SHARES
from .size_bands import LatestClasses
from .size_bands import RecentSizes
from .size_bands import SizeBand

LEAST_SHARE = 0.6
"""Least served share of a band against its class, counted by tries. Operators expect
half, of requests: a large one that comes back may be refused once more."""

MOST_OWED = 2.0
"""Prompts that a band can be owed. After an outage, when not even prompts that go first
were served, the debt would otherwise delay the other sizes long after it."""

MOST_AHEAD = 0.5
"""Prompts by which a band is ahead at most for those that were served without going
first, so that what is served while load is low hardly counts when it rises."""


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

    :param owed: prompts that each band should have been served beyond those it was.
    """

    def __init__(self) -> None:
        self.sizes = RecentSizes()
        self.owed = dict.fromkeys(BAND_SHARES, 0.0)

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
        self.owed[band] -= 1.0
        return True

    def end(self, prompt: SizedPrompt, *, served: bool) -> None:
        """Take what became of a prompt."""
        if served:
            for band, share in BAND_SHARES.items():
                self._owe(band, LEAST_SHARE * share)
        if prompt.goes_first and not served:
            self._owe(prompt.band, 1.0)
        elif served and not prompt.goes_first:
            self._settle(prompt.band)

    def _owe(self, band: SizeBand, prompts: float) -> None:
        self.owed[band] = min(MOST_OWED, self.owed[band] + prompts)

    def _settle(self, band: SizeBand) -> None:
        owed = self.owed.get(band)
        if owed is not None and owed > -MOST_AHEAD:
            self.owed[band] = max(-MOST_AHEAD, owed - 1.0)


class SizeShares(LatestClasses[ClassShares]):
    """The shares of all classes at one entry or side."""

    def __init__(self) -> None:
        super().__init__(ClassShares)

    def begin(self, name: str, size: int) -> SizedPrompt:
        """Take a prompt of a class in; its end must be told.

        :param size: prompt tokens.
        """
        return self.of(name).begin(size)
