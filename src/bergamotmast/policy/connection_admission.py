"""Limit on the connections that an entry serves while its processor is overloaded.

Load pattern: the load balancer hands most new connections of a zone, or of all zones,
to one entry.

Without it: the entry reads more requests than it has processor time for. All of them
wait for the event loop at each of their steps, and few are answered in time.

With it: while the event loop is late, the number of connections with a request under
way is limited, and further connections are closed unread. Their callers know that the
request has not run, and connect to another entry at once. As the event loop is late
roughly in proportion to the requests under way, the first limit is the number for which
it would be on time. It then falls while the loop is late, and grows while it is not.

The limit follows the measured lateness alone, so that it suits any processor. An event
loop that is late once, as after a pause of the machine, limits nothing.
"""

from __future__ import annotations

import collections.abc as cabc

LATE_SECONDS = 0.1
"""Lateness of the event loop from which it counts as overloaded. A request waits for
the loop some ten times."""

TARGET_SECONDS = 0.05
"""Lateness that the limit aims at."""

LATE_SAMPLES = 2
"""Number of late samples in a row from which connections are limited."""

MIN_FIRST_FACTOR = 0.3
"""Smallest factor from the requests under way to the first limit."""

MIN_FACTOR = 0.5
"""Smallest factor by which a limit falls."""

MAX_FACTOR = 0.9
"""Largest factor by which a limit falls."""

DECREASE_PAUSE_SECONDS = 0.2
"""Time between two decreases: requests that are under way have to end first."""

INCREASE = 1.03
"""Factor by which the limit grows with each sample that is not late."""

MIN_LIMIT = 8.0
"""Smallest limit. An entry that is slow for another reason serves some callers."""

RELEASE_SECONDS = 2.0
"""Time after the last connection was closed at which the limit is lifted."""


class ConnectionAdmission:
    """Decides which new connections are served; points in time are the caller's.

    :param under_way: connections whose request is awaited, or not answered yet.
    :param limit: maximum number of these connections; ``None`` while there is none.
    :param refused: number of connections that were closed unread.
    """

    def __init__(self) -> None:
        self.under_way: set[cabc.Hashable] = set()
        self.limit: float | None = None
        self.refused = 0
        self._late_samples = 0
        self._decrease_at = 0.0
        self._release_at = 0.0

    @property
    def is_watching(self) -> bool:
        """Whether the event loop has to be observed closely."""
        return self.limit is not None or self._late_samples > 0

    def admit(self, now: float) -> bool:
        """Return whether a new connection is served."""
        if self.limit is None or len(self.under_way) < self.limit:
            return True
        self.refused += 1
        self._release_at = now + RELEASE_SECONDS
        return False

    def observe(self, lateness: float, now: float) -> None:
        """Adjust the limit to the lateness of the event loop, in seconds."""
        if lateness >= LATE_SECONDS:
            self._late_samples += 1
            if self._late_samples >= LATE_SAMPLES and now >= self._decrease_at:
                self._decrease(lateness, now)
            return
        self._late_samples = 0
        if self.limit is None:
            return
        if now >= self._release_at:
            self.limit = None
        elif len(self.under_way) >= self.limit - 1.0:
            self.limit *= INCREASE

    def _decrease(self, lateness: float, now: float) -> None:
        under_way = float(len(self.under_way))
        factor = min(MAX_FACTOR, TARGET_SECONDS / lateness)
        if self.limit is not None:
            # Connections above the present limit are ending.
            limit = max(MIN_FACTOR, factor) * min(under_way, self.limit)
        elif under_way > MIN_LIMIT:
            limit = max(MIN_FIRST_FACTOR, factor) * under_way
        else:
            # So few requests are not what makes the event loop late.
            return
        self.limit = max(MIN_LIMIT, limit)
        self._decrease_at = now + DECREASE_PAUSE_SECONDS + lateness
        self._release_at = now + RELEASE_SECONDS
