"""How many requests may be sent a second time, of those that came lately.

Load pattern: an upstream dies or fails part of its requests, and everything that met
it wants to go elsewhere at once.

Without it: second sends multiply the load just when capacity is missing.

Thresholds: over any window of :data:`WINDOW_SECONDS`, second sends stay below
:data:`SHARE` of the entry's own requests plus :data:`FREE`. Each entry keeps to its own
part, so the fleet as a whole keeps to the operators' 0.2 however the traffic is spread
and whichever entries come and go.
"""

from __future__ import annotations

import collections

WINDOW_SECONDS = 10.0
"""The operators' budget counts over windows of this length."""

SHARE = 0.17
"""Second sends for each request; under the operators' 0.2 for windows that differ."""

FREE = 1.0
"""Second sends in a window that no request has to have earned."""


class RetryWindow:
    """Counts one group's requests and second sends."""

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def on_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.append(now)
        _forget(self.requests, now)

    def spend(self, now: float) -> bool:
        """Count a second send; ``False`` if it may not be made."""
        _forget(self.requests, now)
        _forget(self.repeats, now)
        if len(self.repeats) + 1 > FREE + SHARE * len(self.requests):
            return False
        self.repeats.append(now)
        return True


def _forget(times: collections.deque[float], now: float) -> None:
    while times and times[0] < now - WINDOW_SECONDS:
        times.popleft()
