"""Retry budget of one entry over a sliding window, by group.

Load pattern: an upstream fails entirely or in part, and every affected request is to be
retried elsewhere at once.

Without it: retries multiply the load just when capacity is missing.

Thresholds: operators allow all entries together a share of the requests plus a fixed
number of free retries, over any window of :data:`WINDOW_SECONDS`. The requests that
count are those of that window, of the one before it, or of the one that began half a
window earlier, whichever is most. Each entry keeps to :data:`USED_LIMIT_SHARE` of that
share of its own requests, in its last window and in each that began since, and to its
share of the free retries, so that the fleet as a whole keeps to the budget however the
traffic is spread. Only half of the free retries are used: the share of a restarted
entry grows again, in addition to what its last process spent.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools

WINDOW_SECONDS = 10.0
"""Length of the windows over which the operators' budget counts."""

SLOT_SECONDS = 0.25
"""Length of the time slots in which requests and retries are counted."""

WINDOW_SLOTS = int(WINDOW_SECONDS / SLOT_SECONDS)
"""Time slots in a window."""

HALF_SLOTS = WINDOW_SLOTS // 2
"""Time slots in half a window."""

USED_LIMIT_SHARE = 0.9
"""Share of the operators' limit that is used: they count a request when it is sent, an
entry when it arrives."""

USED_FREE_SHARE = 0.5
"""Share of the operators' free retries that is used."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits that operators set for all entries together in one window.

    :param share: retries for each request.
    :param free: retries allowed regardless of requests.
    """

    share: float = 0.2
    free: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryWindowState:
    """Counts that decide whether a retry is allowed.

    :param requests: callers' requests of the last window.
    :param retries: retries of the last window.
    :param available: retries that are allowed now.
    """

    requests: int
    retries: int
    available: float


class SlotCounts:
    """Counts of events in each of the most recent time slots.

    :param slots: number of slots, the present one included.
    """

    def __init__(self, slots: int) -> None:
        self.counts = collections.deque([0] * slots, maxlen=slots)
        self.last = 0

    def add(self, now: float, count: int = 1) -> None:
        """Count events."""
        self.advance(now)
        self.counts[-1] += count

    def advance(self, now: float) -> None:
        """Shift the slots to the present time."""
        present = int(now // SLOT_SECONDS)
        passed = min(max(0, present - self.last), len(self.counts))
        self.counts.extend([0] * passed)
        self.last = max(self.last, present)

    def totals(self, now: float) -> list[int]:
        """Return the numbers of events in the last 0, 1, 2, ... slots."""
        self.advance(now)
        return [0, *itertools.accumulate(reversed(self.counts))]


class RetryWindow:
    """Counts one group's requests and retries."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.requests = SlotCounts(2 * WINDOW_SLOTS + 1)
        self.retries = SlotCounts(WINDOW_SLOTS + 1)

    def on_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.add(now)

    def spend(self, free_share: float, now: float, count: int = 1) -> bool:
        """Count retries; ``False``, and none counted, if not all are allowed.

        :param free_share: this entry's share of the free retries, from 0 to 1.
        """
        if self.account(free_share, now).available < count:
            return False
        self.retries.add(now, count)
        return True

    def has_room(self, free_share: float, now: float) -> bool:
        """Return whether a retry is allowed."""
        return self.account(free_share, now).available >= 1.0

    def account(self, free_share: float, now: float) -> RetryWindowState:
        """Return the present counts."""
        requests = self.requests.totals(now)
        retries = self.retries.totals(now)
        earned = self.limits.share * USED_LIMIT_SHARE
        own = earned * requests[WINDOW_SLOTS] - retries[-1]
        others = (
            earned * _counted_requests(requests, slots) - retries[slots]
            for slots in range(1, len(retries))
        )
        free = self.limits.free * USED_FREE_SHARE * free_share
        available = free + min(own, *others)
        return RetryWindowState(requests[WINDOW_SLOTS], retries[-1], available)


def _counted_requests(totals: list[int], slots: int) -> int:
    """Return the requests that count for a window that began so many slots ago.

    :param totals: requests of the last 0, 1, 2, ... slots.
    """
    present = totals[slots]
    before = totals[slots + WINDOW_SLOTS] - present
    between = totals[slots + HALF_SLOTS] - totals[max(0, slots - HALF_SLOTS)]
    return max(present, before, between)
