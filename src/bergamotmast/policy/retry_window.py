"""How many requests may be sent a second time, of those that came lately.

Load pattern: an upstream dies or fails part of its requests, and everything that met it
wants to go elsewhere at once.

Without it: second sends multiply the load just when capacity is missing.

Thresholds: the operators allow all entries together a share of the requests and a few
more, over any window of :data:`WINDOW_SECONDS`. Counted are the requests of that
window, of the one before it or of the one that began half a window earlier, whichever
has most. Each entry keeps to :data:`USED_LIMIT_SHARE` of that share of its own
requests, in its last window and in each that began since, and to its part of the few,
so that the fleet as a whole keeps to the budget however the traffic is spread. Only
half of the few are given out: an entry that starts again has a part that grows, beside
what its last life spent.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools

WINDOW_SECONDS = 10.0
"""The operators' budget counts over windows of this length."""

SLOT_SECONDS = 0.25
"""Requests and second sends are counted by spans of this length."""

WINDOW_SLOTS = int(WINDOW_SECONDS / SLOT_SECONDS)

HALF_SLOTS = WINDOW_SLOTS // 2

USED_LIMIT_SHARE = 0.9
"""Part of the operators' share that is used: they count a request as it is sent, an
entry as it arrives."""

USED_FREE_SHARE = 0.5
"""Part of the operators' few that is given out."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """What the operators allow all entries together in one window.

    :param share: second sends for each request.
    :param free: second sends that no request has to have earned.
    """

    share: float = 0.2
    free: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryWindowState:
    """What decides whether a second send may be made.

    :param requests: callers' requests of the last window.
    :param retries: second sends of the last window.
    :param available: second sends that may be made now.
    """

    requests: int
    retries: int
    available: float


class SlotCounts:
    """Counts what happens in each of the last slots, the present one included.

    :param slots: how many are kept.
    """

    def __init__(self, slots: int) -> None:
        self.counts = collections.deque([0] * slots, maxlen=slots)
        self.last = 0

    def add(self, now: float) -> None:
        """Count one."""
        self.advance(now)
        self.counts[-1] += 1

    def advance(self, now: float) -> None:
        """Let the slots go by that have passed since the last call."""
        present = int(now // SLOT_SECONDS)
        passed = min(max(0, present - self.last), len(self.counts))
        self.counts.extend([0] * passed)
        self.last = max(self.last, present)

    def totals(self, now: float) -> list[int]:
        """Return how many were counted in the last 0, 1, 2, ... slots."""
        self.advance(now)
        return [0, *itertools.accumulate(reversed(self.counts))]


class RetryWindow:
    """Counts one group's requests and second sends."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.requests = SlotCounts(2 * WINDOW_SLOTS + 1)
        self.retries = SlotCounts(WINDOW_SLOTS + 1)

    def on_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.add(now)

    def spend(self, part: float, now: float) -> bool:
        """Count a second send; ``False`` if it may not be made.

        :param part: of the few that falls to this entry, from 0 to 1.
        """
        if not self.has_room(part, now):
            return False
        self.retries.add(now)
        return True

    def has_room(self, part: float, now: float) -> bool:
        """Return whether a second send may be made."""
        return self.account(part, now).available >= 1.0

    def account(self, part: float, now: float) -> RetryWindowState:
        """Return what is counted now."""
        requests = self.requests.totals(now)
        retries = self.retries.totals(now)
        earned = self.limits.share * USED_LIMIT_SHARE
        own = earned * requests[WINDOW_SLOTS] - retries[-1]
        others = (
            earned * _counted_requests(requests, slots) - retries[slots]
            for slots in range(1, len(retries))
        )
        free = self.limits.free * USED_FREE_SHARE * part
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
