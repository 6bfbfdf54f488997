"""How many requests may be sent a second time, of those that came lately.

Load pattern: an upstream dies or fails part of its requests, and everything that met
it wants to go elsewhere at once.

Without it: second sends multiply the load just when capacity is missing.

Thresholds: the operators allow all entries together a share of the requests and a few
more, over any window of :data:`WINDOW_SECONDS`. Each entry keeps to :data:`KEPT_SHARE`
of that share of its own requests, and to its part of the few, so that the fleet as a
whole keeps to the budget however the traffic is spread. Only half of the few are given
out: an entry that starts again has a part that grows, beside what its last life spent.
"""

from __future__ import annotations

import collections
import dataclasses

WINDOW_SECONDS = 10.0
"""The operators' budget counts over windows of this length."""

KEPT_SHARE = 0.85
"""Part of the operators' share that is used: their windows are not ours."""

FREE_SHARE = 0.5
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
class RetryAccount:
    """What decides whether a second send may be made.

    :param requests: callers' requests of the last window.
    :param repeats: second sends of the last window.
    :param room: second sends that may be made now.
    """

    requests: int
    repeats: int
    room: float


class RetryWindow:
    """Counts one group's requests and second sends."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def on_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.append(now)
        _forget(self.requests, now)

    def spend(self, part: float, now: float) -> bool:
        """Count a second send; ``False`` if it may not be made.

        :param part: of the few that falls to this entry, from 0 to 1.
        """
        if not self.has_room(part, now):
            return False
        self.repeats.append(now)
        return True

    def has_room(self, part: float, now: float) -> bool:
        """Return whether a second send may be made."""
        return self.account(part, now).room >= 1.0

    def account(self, part: float, now: float) -> RetryAccount:
        """Return what is counted now."""
        _forget(self.requests, now)
        _forget(self.repeats, now)
        requests, repeats = len(self.requests), len(self.repeats)
        earned = self.limits.share * KEPT_SHARE * requests
        free = self.limits.free * FREE_SHARE * part
        return RetryAccount(requests, repeats, free + earned - repeats)


def _forget(times: collections.deque[float], now: float) -> None:
    while times and times[0] < now - WINDOW_SECONDS:
        times.popleft()
