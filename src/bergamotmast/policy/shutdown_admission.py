"""Which requests an entry that was told to end still takes.

Load pattern: all entries are restarted in turn, faster than each ends and starts; for
moments the balancer has none left but those that are about to end.

Without it: an entry that stops listening while it still answers what it has taken
leaves callers to closed ports, and one that takes everything cuts off what it can't
finish.

Thresholds: until :attr:`ShutdownWindow.routed_until` everything is taken, since the
balancer can't know yet. After that a request is taken if its caller would leave before
the process ends, so that it has its whole time; any other is told at once when to come
back.
"""

from __future__ import annotations

import dataclasses

SHUTDOWN_RETRY_SECONDS = 0.5
"""Refused callers come back no sooner: a restarted entry takes about a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownWindow:
    """How an entry ends; points on the event loop's clock.

    :param routed_until: so long the balancer may send new callers.
    :param end_by: no request is worked on any more.
    """

    routed_until: float
    end_by: float


def is_admitted(end: ShutdownWindow, deadline: float, now: float) -> bool:
    """Return whether a request with a deadline is still let in."""
    return now <= end.routed_until or deadline <= end.end_by
