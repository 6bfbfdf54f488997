"""Delay between a watch answer with changes and the next watch call of an entry.

Load pattern: every entry receives every change, and changes arrive one at a time while
a fleet starts, restarts or loses instances.

Without it: the number of watch calls grows with the number of entries times the number
of changes, which itself grows with the number of entries.

With the delay, all entries together make at most :data:`MAX_WATCH_CALLS_PER_SECOND`
while changes continue or, in larger fleets, one call per entry every
:data:`MAX_PAUSE_SECONDS`. Small fleets receive each change with little delay; large
fleets receive several changes per call.
"""

from __future__ import annotations

MAX_WATCH_CALLS_PER_SECOND = 70.0
"""Limit on the watch calls of all entries together."""

MAX_PAUSE_SECONDS = 1.0
"""Upper bound on the pause. Entries must stop using a leaving upstream within a limit
that is never shorter than two seconds."""

REPLY_SECONDS = 0.5
"""How long a watch call may wait for changes before it may have been cut off."""


def watch_pause(entries: int) -> float:
    """Return the delay, in seconds, before the next watch call.

    :param entries: number of entries that watch the store.
    """
    return min(MAX_PAUSE_SECONDS, entries / MAX_WATCH_CALLS_PER_SECOND)


def max_reply_age(entries: int) -> float:
    """Return for how many seconds a watch is current after the store's last reply.

    Upstreams rewrite their registrations about once a second, so that a watch receives
    changes all the time.

    :param entries: number of entries that watch the store.
    """
    return REPLY_SECONDS + watch_pause(entries)
