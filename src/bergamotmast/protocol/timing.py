"""Time constants that an entry and a side share, in seconds."""

from __future__ import annotations

HEARTBEAT_INTERVAL_SECONDS = 0.5
"""Between two heartbeats of a session that carries work, in each direction."""

OBSERVER_BYTES_PER_SECOND = 1000.0
"""What a planner spends on beats of sides that it only observes."""

HEARTBEAT_BYTES = 80.0
"""About the length of a side's beat, for the interval of observers."""

MIN_OBSERVER_INTERVAL_SECONDS = 1.0
"""Least seconds between heartbeats of a session that only observes."""


def observer_interval(sides: int) -> float:
    """Return the seconds between beats of a planner that observes so many sides.

    Its share of the network does not grow with the fleet; its picture ages instead.
    """
    return max(
        MIN_OBSERVER_INTERVAL_SECONDS,
        sides * HEARTBEAT_BYTES / OBSERVER_BYTES_PER_SECOND,
    )


ENTRY_MAX_MISSED_HEARTBEATS = 5
"""Beats an entry misses before it takes its session with a side for lost.

One or two are lost to a busy process; with three seconds allowed until a dead side's
upstream gets no new work, more is too late.
"""

SIDE_MAX_MISSED_HEARTBEATS = 10
"""Heartbeats a side misses before it gives up the streams of an entry.

More than the entry's own limit, so that the entry has moved its callers elsewhere
before their work is ended.
"""

SIDE_TIMEOUT_SECONDS = HEARTBEAT_INTERVAL_SECONDS * ENTRY_MAX_MISSED_HEARTBEATS

FINAL_RECEIVE_SECONDS = 0.1
"""Seconds for a last look into the socket before a session is given up."""

RECONNECT_GRACE_SECONDS = 2.0
"""Seconds for which a request waits for a session that was lost just now.

A restarted side answers hellos within that; longer waits would hold callers back who
could come back elsewhere.
"""

HELLO_RETRY_SECONDS = 0.5
"""Between two hellos that got no welcome."""

VERSION_RETRY_SECONDS = 5.0
"""Between two hellos to a side whose version does not go with the entry's.

Only an upgrade of either process mends it; each try is a log line at both ends.
"""

CANCEL_REPLY_TIMEOUT_SECONDS = 0.5
"""How long an entry waits for a side's word on a cancelled attempt."""

CHUNK_CREDIT = 32
"""Chunks a side may send for a stream before it hears that they were taken."""
