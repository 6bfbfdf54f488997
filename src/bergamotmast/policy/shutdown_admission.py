"""Admission control during the shutdown of an entry.

Load pattern: all entries are restarted one after another, faster than each stops and
starts; for moments the load balancer has only entries that are about to stop.

Without it: an entry that stops listening while it still answers leaves callers with
closed ports, and one that accepts everything cuts off requests that it can't finish.

Thresholds: until :attr:`ShutdownWindow.routed_until` all requests are admitted, since
the balancer can't know of the shutdown yet. After that a request is admitted if its
deadline comes before the process ends, so that it has its whole time. All others are
refused at once with the time to retry.
"""

from __future__ import annotations

import dataclasses

SHUTDOWN_RETRY_SECONDS = 0.5
"""Lower bound of the delay before a refused caller retries; a restarted entry takes
about a second to be ready."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownWindow:
    """Times of an entry's shutdown, on the event loop's clock.

    :param routed_until: until when the balancer may send new callers.
    :param end_by: when work on all requests ends.
    """

    routed_until: float
    end_by: float


def is_admitted(window: ShutdownWindow, deadline: float, now: float) -> bool:
    """Return whether a request with this deadline is still admitted."""
    return now <= window.routed_until or deadline <= window.end_by
