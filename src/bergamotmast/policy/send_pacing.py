"""Pacing of the requests to an upstream that limits them, for all entries together.

Load pattern: an upstream in trouble takes a few requests a second, and each of many
entries gets an uneven part of several times as many.

Without it: each entry either sends as if the limit were its own alone, which overloads
the upstream, or keeps to an equal part of it, which leaves most of the limit unused.

One entry, the keeper, assigns the points in time at which all of them may send to an
upstream. An entry that doesn't reach it asks a deputy, or assigns its own sends, at a
small part of the rate. All that assign at the same time, as they are cut off from each
other, give out one and a half times the limit together.
"""

from __future__ import annotations

import dataclasses

BURST_SECONDS = 0.25
"""Time for which unused sends are kept."""

MIN_RATE = 0.25
"""Smallest rate that is assigned to all entries together, for a limit of zero too: only
a reply tells that it has ended."""

DEPUTY_SHARE = 0.4
"""Share of the limit that is assigned by a deputy, and by a keeper that may be cut off
from the others."""

ALONE_SHARE = 0.1
"""Share of the limit that all entries together assign which reach no keeper. With the
share of a deputy, it is the half of the limit by which upstreams let it be exceeded."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendSlot:
    """Answer to a request for a send.

    :param at: when the request may be sent; a point in time, ``None`` if not in time.
    :param next_at: when the next one may be, at the earliest; a point in time.
    """

    at: float | None
    next_at: float


class SendPacer:
    """Assigns the sends to one upstream.

    :param next_at: earliest time of the next send; a point in time.
    :param last_at: time from which it was worked out, not later than the last send.
    :param rate: rate that it was worked out for.
    """

    def __init__(self, first_at: float) -> None:
        self.next_at = first_at
        self.last_at = first_at
        self.rate = 0.0

    def reserve(self, rate: float, now: float, latest: float) -> SendSlot:
        """Assign the next send, unless it would be later than the request can wait.

        A send that may be now is assigned to a request that can't wait at all.

        :param rate: sends a second; more than zero.
        :param latest: a point in time, which may have passed.
        """
        if rate > self.rate > 0.0:
            # Otherwise, a higher limit would take effect only after the next send.
            self.next_at = self.last_at + 1.0 / rate
            self.rate = rate
        at = max(now, self.next_at)
        if at > max(now, latest):
            return SendSlot(None, at)
        self.last_at = max(self.next_at, now - BURST_SECONDS)
        self.next_at = self.last_at + 1.0 / rate
        self.rate = rate
        return SendSlot(at, max(now, self.next_at))
