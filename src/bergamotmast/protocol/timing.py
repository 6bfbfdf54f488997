"""Time constants that an entry and a side share, in seconds."""

from __future__ import annotations

BEAT_INTERVAL = 0.5
"""Between two heartbeats, in each direction."""

SIDE_TIMEOUT = 2.5
"""Without a beat for so long, an entry takes its session with a side for lost.

Five missed beats: one or two are lost to a busy process, and with three seconds
allowed until a dead side's upstream gets no new work, more is too late.
"""

ENTRY_TIMEOUT = 5.0
"""Without a heartbeat for so long, a side gives up the streams of an entry.

Longer than the entry's own limit, so that the entry has moved its callers elsewhere
before their work is ended.
"""

HELLO_RETRY = 0.5
"""Between two hellos that got no welcome."""

RESOLVE_TIMEOUT = 0.5
"""How long an entry waits for a side's word on a cancelled attempt."""

CHUNK_CREDIT = 32
"""Chunks a side may send for a stream before it hears that they were taken."""
