"""Which part of what all entries may do together falls to one of them.

Load pattern: entries start again, are cut off from the store or lose their
registrations while upstreams fail, and all of them want to send again at once.

Without it: each takes the entries that it happens to see for all there are, and begins
with a whole part each time it starts. Where all see few, or start again and again, they
give out many times what they may.

Thresholds: an entry's part grows to its whole over :data:`RAMP_UP_SECONDS`, so that the
successive lives of one entry have together no more than one life. It grows only while
the store is heard, which lists all that registered before: an entry that is cut off as
it starts does not know how many share with it.
"""

from __future__ import annotations

import collections.abc as cabc
import math

from .retry_window import WINDOW_SECONDS

RAMP_UP_SECONDS = WINDOW_SECONDS
"""How long the store must have been heard for an entry to have its whole part."""

LAPSED_ENTRY_SECONDS = 60.0
"""How long an entry counts on whose registration has lapsed: one that is cut off from
the store serves on, and one that the store has lost registers anew."""

MIN_ENTRIES = 4
"""Entries that are reckoned with at least, also before the others are known."""


class EntryShare:
    """Counts the entries that share something, this one included.

    :param own: name under which this entry registers.
    :param registered_at: when the store first listed this entry; a point in time.
    :param last_store_reply_at: when the store was last heard; a point in time.
    :param counts_until: entries no longer registered, and until when they count.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.registered_at = math.inf
        self.last_store_reply_at = -math.inf
        self.counts_until: dict[str, float] = {}

    def on_store_reply(self, now: float) -> None:
        """Note that the store was heard."""
        self.last_store_reply_at = now

    def on_registered(self, name: str, now: float) -> None:
        """Note that the store lists an entry."""
        if name == self.own:
            self.registered_at = min(self.registered_at, now)

    def on_lapsed(self, name: str, now: float) -> None:
        """Note that an entry is no longer registered."""
        self.counts_until[name] = now + LAPSED_ENTRY_SECONDS

    def entries(self, registered: cabc.Collection[str], now: float) -> int:
        """Return how many entries there may be.

        :param registered: names of those that the store lists.
        """
        for name, until in list(self.counts_until.items()):
            if now >= until or name in registered:
                del self.counts_until[name]
        return max(MIN_ENTRIES, len(registered) + len(self.counts_until))

    def share(self, registered: cabc.Collection[str], now: float) -> float:
        """Return which part of what all share falls to this entry, from 0 to 1."""
        heard = self.last_store_reply_at - self.registered_at
        grown = min(1.0, max(0.0, heard / RAMP_UP_SECONDS))
        return grown / self.entries(registered, now)
