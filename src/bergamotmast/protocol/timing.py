"""Time constants that an entry and a side share, in seconds."""

from __future__ import annotations

BEAT_INTERVAL = 0.5
"""Between two heartbeats of a session that carries work, in each direction."""

OBSERVER_BYTES_PER_SECOND = 1000.0
"""What a planner spends on beats of sides that it only observes."""

BEAT_BYTES = 80.0
"""About the length of a side's beat, for the interval of observers."""

OBSERVER_INTERVAL = 1.0
"""Least seconds between heartbeats of a session that only observes."""


def observer_interval(sides: int) -> float:
    """Return the seconds between beats of a planner that observes so many sides.

    Its share of the network does not grow with the fleet; its picture ages instead.
    """
    return max(OBSERVER_INTERVAL, sides * BEAT_BYTES / OBSERVER_BYTES_PER_SECOND)


MISSED_BY_ENTRY = 5
"""Beats an entry misses before it takes its session with a side for lost.

One or two are lost to a busy process; with three seconds allowed until a dead side's
upstream gets no new work, more is too late.
"""

MISSED_BY_SIDE = 10
"""Heartbeats a side misses before it gives up the streams of an entry.

More than the entry's own limit, so that the entry has moved its callers elsewhere
before their work is ended.
"""

SIDE_TIMEOUT = BEAT_INTERVAL * MISSED_BY_ENTRY

LAST_LOOK = 0.1
"""Seconds for a last look into the socket before a session is given up."""

RECONNECT_GRACE = 2.0
"""Seconds for which a request waits for a session that was lost just now.

A restarted side answers hellos within that; longer waits would hold callers back who
could come back elsewhere.
"""

HELLO_RETRY = 0.5
"""Between two hellos that got no welcome."""

VERSION_RETRY = 5.0
"""Between two hellos to a side whose version does not go with the entry's.

Only an upgrade of either process mends it; each try is a log line at both ends.
"""

RESOLVE_TIMEOUT = 0.5
"""How long an entry waits for a side's word on a cancelled attempt."""

CHUNK_CREDIT = 32
"""Chunks a side may send for a stream before it hears that they were taken."""
