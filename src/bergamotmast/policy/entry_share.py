"""Share of a fleet-wide budget that falls to one entry.

Load pattern: entries restart, lose contact with the store or lose their registrations
while upstreams fail, and all of them want to retry at once.

Without it: each entry takes the entries that it sees for all there are, and starts with
a whole share at each restart. If all see few others, or restart again and again, they
spend many times the budget.

Thresholds: an entry's share grows to its full size over :data:`RAMP_UP_SECONDS`, so
that the successive processes of one entry together get no more than one. It grows only
while the store replies, as the store lists all earlier registrations: an entry that
starts without contact to the store doesn't know how many others share the budget.
"""

from __future__ import annotations

import collections.abc as cabc
import math

from .retry_window import WINDOW_SECONDS

RAMP_UP_SECONDS = WINDOW_SECONDS
"""Time of contact with the store after which an entry has its full share."""

LAPSED_ENTRY_SECONDS = 60.0
"""Time for which an entry with a lapsed registration still counts: an entry cut off
from the store continues to serve, and one whose registration was lost registers again.
"""

MIN_ENTRIES = 4
"""Lower bound of the number of entries, which also holds before the others are known.
"""


class EntryShare:
    """Counts the entries that share a budget, this one included.

    :param own: name under which this entry registers.
    :param registered_at: when the store first listed this entry; a point in time.
    :param last_store_reply_at: when the store last replied; a point in time.
    :param counts_until: names of entries no longer registered, and until when each
        counts.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.registered_at = math.inf
        self.last_store_reply_at = -math.inf
        self.counts_until: dict[str, float] = {}

    def on_store_reply(self, now: float) -> None:
        """Record a reply of the store."""
        self.last_store_reply_at = now

    def on_registered(self, name: str, now: float) -> None:
        """Record that the store lists an entry."""
        if name == self.own:
            self.registered_at = min(self.registered_at, now)

    def on_lapsed(self, name: str, now: float) -> None:
        """Record that an entry is no longer registered."""
        self.counts_until[name] = now + LAPSED_ENTRY_SECONDS

    def entries(self, registered: cabc.Collection[str], now: float) -> int:
        """Return the largest number of entries there may be.

        :param registered: names of the entries that the store lists.
        """
        for name, until in list(self.counts_until.items()):
            if now >= until or name in registered:
                del self.counts_until[name]
        return max(MIN_ENTRIES, len(registered) + len(self.counts_until))

    def share(self, registered: cabc.Collection[str], now: float) -> float:
        """Return this entry's share of the budget, from 0 to 1."""
        contact_seconds = self.last_store_reply_at - self.registered_at
        ramp_up = min(1.0, max(0.0, contact_seconds / RAMP_UP_SECONDS))
        return ramp_up / self.entries(registered, now)
