"""Timing and flow-control constants of sessions between entries and sides."""

from __future__ import annotations

HEARTBEAT_INTERVAL_SECONDS = 0.5
"""Interval between heartbeats of a session that carries work, in each direction."""

OBSERVER_BYTES_PER_SECOND = 1000.0
"""Bandwidth that a planner spends on heartbeats of sides that it only observes."""

HEARTBEAT_BYTES = 80.0
"""Approximate length of a side's heartbeat, used for the interval of observers."""

MIN_OBSERVER_INTERVAL_SECONDS = 1.0
"""Minimum interval between heartbeats of a session that only observes."""


def observer_interval(sides: int) -> float:
    """Return the seconds between heartbeats of each side that a planner observes.

    The planner's network traffic does not grow with the fleet; its reports get older
    instead.

    :param sides: number of observed sides.
    """
    return max(
        MIN_OBSERVER_INTERVAL_SECONDS,
        sides * HEARTBEAT_BYTES / OBSERVER_BYTES_PER_SECOND,
    )


ENTRY_MAX_MISSED_HEARTBEATS = 5
"""Missed heartbeats after which an entry considers its session with a side lost.

A busy process may miss one or two. More than this would be too late, because the
upstream of a crashed side must get no new work after three seconds.
"""

SIDE_MAX_MISSED_HEARTBEATS = 10
"""Missed heartbeats after which a side ends the streams of an entry.

More than the entry's own limit, so that the entry has moved its callers to other
upstreams before their work is ended.
"""

SIDE_TIMEOUT_SECONDS = HEARTBEAT_INTERVAL_SECONDS * ENTRY_MAX_MISSED_HEARTBEATS
"""Time without a message of a side after which an entry considers its session lost."""

FINAL_RECEIVE_SECONDS = 0.1
"""Time for a final receive from the socket before a session is considered lost."""

RECONNECT_GRACE_SECONDS = 2.0
"""Time for which a request waits for a session that was just lost.

A restarted side answers a hello within this time. A longer wait would delay callers
that could retry elsewhere.
"""

HELLO_RETRY_SECONDS = 0.5
"""Interval between hellos while no welcome is received."""

VERSION_RETRY_SECONDS = 5.0
"""Interval between hellos to a side whose protocol version is incompatible.

Only an upgrade of one of the processes helps, and each attempt logs a line at both
ends.
"""

CANCEL_REPLY_TIMEOUT_SECONDS = 0.5
"""Time for which an entry waits for a side's reply about a cancelled attempt."""

CHUNK_CREDIT = 32
"""Chunks of a stream that a side may send before it receives more credit."""
