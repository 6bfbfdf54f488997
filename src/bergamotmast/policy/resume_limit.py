"""Limit on resumed streams that go first though they may never have begun.

Load pattern: entries are killed, and the callers of all their streams resume these at
once at other entries, among more new prompts than the engines can prefill. In a group
of one build nobody else has recorded which streams had begun.

Without precedence: most of these callers are refused, while new streams begin: they
have less time left, and what was generated for them is lost. Without a limit: a caller
that names a stream that never began, or one stream again and again, overtakes all
others for as long as it likes.

Threshold: no more streams can be resumed than were in progress, which are at most as
many as the engines have slots. Each entry lets its equal share of them go first in the
time for which records of streams are kept, times :data:`UNEVENNESS`, as callers don't
spread evenly. Later ones wait like new streams. A stream that is recorded goes first
once without being counted; each further request for it counts, as the first one has
made a record.
"""

from __future__ import annotations

import collections
import math

UNEVENNESS = 2.0
"""Largest share of the resumed streams that comes to one entry, as a multiple of an
equal one."""


def resumable_streams(slots: int, entries: int) -> int:
    """Return how many streams may be resumed at one entry.

    :param slots: slots of the group's engines.
    :param entries: number of entries that serve the group.
    """
    return min(slots, math.ceil(UNEVENNESS * slots / max(1, entries)))


class ResumeLimit:
    """Streams of one group that went first; points in time are the caller's.

    :param seconds: how long each counts.
    :param counts_until: until when each request counts, oldest first; points in time.
    :param went_first: until when it is known that a stream went first, by its hash,
        oldest first; points in time.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.counts_until: collections.deque[float] = collections.deque()
        self.went_first: dict[int, float] = {}

    def take(self, stream: int, limit: int, now: float, *, recorded: bool) -> bool:
        """Return whether a resumed stream goes first, and count it if so.

        :param stream: hash of the stream's id.
        :param limit: how many requests may count at a time.
        :param recorded: whether the stream is known to have begun.
        """
        self._drop_expired(now)
        if not recorded or stream in self.went_first:
            if len(self.counts_until) >= limit:
                return False
            self.counts_until.append(now + self.seconds)
        self.went_first.pop(stream, None)
        self.went_first[stream] = now + self.seconds
        return True

    def _drop_expired(self, now: float) -> None:
        while self.counts_until and now >= self.counts_until[0]:
            self.counts_until.popleft()
        while self.went_first:
            oldest = next(iter(self.went_first))
            if now < self.went_first[oldest]:
                return
            del self.went_first[oldest]
