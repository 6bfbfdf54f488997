"""Time since 1970 that is not affected by steps of the system's clock."""

from __future__ import annotations

import collections
import collections.abc as cabc
import statistics

MAX_SAMPLES = 121
"""Number of latest samples of the clocks' difference. A clock that was set wrong for
less than half of them has no effect."""


class UnixClock:
    """Converts points on the event loop's clock to seconds since 1970.

    The system's clock may be stepped by seconds and back again, while the event loop's
    clock runs evenly. Their difference is therefore sampled regularly, and the median
    counts.

    :param loop_time: returns the time of the event loop's clock.
    :param system_time: returns the time of the system's clock, in seconds since 1970.
    """

    def __init__(
        self, loop_time: cabc.Callable[[], float], system_time: cabc.Callable[[], float]
    ) -> None:
        self.loop_time = loop_time
        self.system_time = system_time
        self.samples: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self.offset = 0.0
        self.sample()

    def sample(self) -> None:
        """Compare the two clocks."""
        self.samples.append(self.system_time() - self.loop_time())
        self.offset = statistics.median(self.samples)

    def now(self) -> float:
        """Return the current time in seconds since 1970."""
        return self.loop_time() + self.offset

    def unix_time(self, at: float) -> float:
        """Return a point on the event loop's clock in seconds since 1970."""
        return at + self.offset

    def loop_time_of(self, unix_time: float) -> float:
        """Return the point on the event loop's clock of a time since 1970."""
        return unix_time - self.offset
