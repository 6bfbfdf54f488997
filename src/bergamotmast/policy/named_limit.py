"""Limit on the requests a second that an upstream names in its replies.

Load pattern: an upstream in trouble asks for fewer requests and withdraws the limit
again, while replies to earlier requests are still on their way.

Without it: a reply that was written before the limit, and arrives after it, would count
as its withdrawal.
"""

from __future__ import annotations

import dataclasses
import math

NO_LIMIT = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """The limit in force at an upstream, as of the newest reply.

    :param rate: requests a second from all entries together; infinity for no limit.
    :param known_at: when a reply named the limit or, for no limit, when a request was
        sent whose reply named none; a point in time.
    """

    rate: float = NO_LIMIT
    known_at: float = -math.inf

    def after_reply(self, rate: float, sent_at: float, now: float) -> NamedLimit:
        """Return the limit in force after a reply.

        A reply is known to be newer than the limit only if its request was sent after
        the limit was known. Of two limits in unknown order, the lower one is kept.

        :param rate: limit that the reply names; infinity for none.
        :param sent_at: when the request was sent; a point in time.
        """
        is_newer = sent_at >= self.known_at
        if rate == NO_LIMIT:
            return NamedLimit(rate, sent_at) if is_newer else self
        if is_newer or rate <= self.rate:
            return NamedLimit(rate, now)
        return self

    def merged(self, other: NamedLimit) -> NamedLimit:
        """Return the newer one of this limit and one that another entry knows."""
        return other if other.known_at > self.known_at else self
