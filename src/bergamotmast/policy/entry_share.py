"""Which part of what all entries may do together falls to one of them.

Load pattern: entries start again, are cut off from the store or lose their
registrations while upstreams fail, and all of them want to send again at once.

Without it: each takes the entries that it happens to see for all there are. Where all
see few, they give out many times what they may.
"""

from __future__ import annotations

import collections.abc as cabc

REMEMBERED_SECONDS = 60.0
"""How long an entry counts on whose registration has lapsed: one that is cut off from
the store serves on, and one that the store has lost registers anew."""

LEAST_ENTRIES = 4
"""Entries that are reckoned with at least, also before the others are known."""


class EntryShare:
    """Counts the entries that share something, this one included.

    :param counts_until: entries no longer registered, and until when they count.
    """

    def __init__(self) -> None:
        self.counts_until: dict[str, float] = {}

    def on_lapsed(self, name: str, now: float) -> None:
        """Note that an entry is no longer registered."""
        self.counts_until[name] = now + REMEMBERED_SECONDS

    def entries(self, registered: cabc.Collection[str], now: float) -> int:
        """Return how many entries there may be.

        :param registered: names of those that the store lists.
        """
        for name, until in list(self.counts_until.items()):
            if now >= until or name in registered:
                del self.counts_until[name]
        return max(LEAST_ENTRIES, len(registered) + len(self.counts_until))
