"""Deficit scheduling of large prompts, so that no size of a request class starves.

Load pattern: for seconds, more prompts of a request class arrive than can be prefilled,
and their sizes differ a hundredfold. Engines prefill short prompts of a class first.

Without it: a large prompt waits behind every smaller one that arrives. Its caller times
out, or is refused because that is predicted, and nearly all of the largest tenth is
lost while half of the class is served.

Each request class keeps a deficit for each of its upper size classes: every served
prompt adds a fraction of one to the deficits, and every served prompt of a size class
subtracts one from its own. Prompts that would be refused go first, before all others of
their rank, while their size class has a deficit. Deficits stay small while all prompts
are served, so shortest-first order holds until it costs one size class too much.
"""

from __future__ import annotations

from .size_classes import SIZE_CLASS_SHARES
from .size_classes import RecentSizes
from .size_classes import RequestClassTable
from .size_classes import SizeClass

MIN_SERVED_SHARE = 0.6
"""Minimum served share of a size class relative to its request class, counted by
attempts. Operators expect half, counted by requests: a large prompt that is retried may
be refused once more."""

MAX_DEFICIT_PROMPTS = 2.0
"""Upper bound of a deficit. In an outage, not even prompts that go first are served,
and the deficit would otherwise delay the other sizes long after it."""

MAX_SURPLUS_PROMPTS = 0.5
"""Upper bound of the surplus (negative deficit) from prompts served without going
first, so that those served at low load hardly count when the load rises."""


class SizedPrompt:
    """A running request's prompt in the accounts of its request class.

    :param goes_first: whether the prompt precedes the others of its rank.
    """

    def __init__(self, shares: RequestClassShares, size_class: SizeClass) -> None:
        self.shares = shares
        self.size_class = size_class
        self.goes_first = False

    def claim(self) -> bool:
        """Let the prompt go first if there is a deficit; return whether it does."""
        if not self.goes_first:
            self.goes_first = self.shares.take(self.size_class)
        return self.goes_first

    def end(self, *, served: bool) -> None:
        """Record whether the prompt was served."""
        self.shares.end(self, served=served)


class RequestClassShares:
    """Recent service of one request class, by size class.

    :param deficits: prompts of each size class that should have been served in
        addition.
    """

    def __init__(self) -> None:
        self.sizes = RecentSizes()
        self.deficits = dict.fromkeys(SIZE_CLASS_SHARES, 0.0)

    def begin(self, size: int) -> SizedPrompt:
        """Start to account for a prompt.

        :param size: prompt tokens.
        """
        return SizedPrompt(self, self.sizes.observe(size))

    def take(self, size_class: SizeClass) -> bool:
        """Subtract one prompt from a size class's deficit, if there is one.

        The prompt counts as served at once; otherwise, the next ones of its size class
        would go first too until its end is known.
        """
        if self.deficits.get(size_class, 0.0) <= 0.0:
            return False
        self.deficits[size_class] -= 1.0
        return True

    def end(self, prompt: SizedPrompt, *, served: bool) -> None:
        """Record whether a prompt was served."""
        if served:
            for size_class, share in SIZE_CLASS_SHARES.items():
                self._add_deficit(size_class, MIN_SERVED_SHARE * share)
        if prompt.goes_first and not served:
            self._add_deficit(prompt.size_class, 1.0)
        elif served and not prompt.goes_first:
            self._subtract_served(prompt.size_class)

    def _add_deficit(self, size_class: SizeClass, prompts: float) -> None:
        self.deficits[size_class] = min(
            MAX_DEFICIT_PROMPTS, self.deficits[size_class] + prompts
        )

    def _subtract_served(self, size_class: SizeClass) -> None:
        deficit = self.deficits.get(size_class)
        if deficit is not None and deficit > -MAX_SURPLUS_PROMPTS:
            self.deficits[size_class] = max(-MAX_SURPLUS_PROMPTS, deficit - 1.0)


class SizeShares(RequestClassTable[RequestClassShares]):
    """Deficits of all request classes at one entry or side."""

    def __init__(self) -> None:
        super().__init__(RequestClassShares)

    def begin(self, name: str, size: int) -> SizedPrompt:
        """Start to account for a prompt; the caller must report its end.

        :param name: request class.
        :param size: prompt tokens.
        """
        return self.of(name).begin(size)
