"""Account of what upstreams have sent that is no part of an answer yet.

Load pattern: an upstream in trouble sends heads, trailers, chunk extensions or events
without end, on many connections at once.

Without it: each connection keeps what it has received until its request's deadline, and
the kernel ends the process with the requests of all others.

A connection or stream ends as it exceeds its own limit. Where all together exceed
theirs, those end that hold the average or more, as ordinary heads and events are a
small part of that.
"""

from __future__ import annotations

import typing as t

_K = t.TypeVar("_K")
"""What is charged: a connection to an upstream, or a stream."""

MAX_UNPARSED_BYTES = 131_072
"""Maximum size of a head, or of the trailers and chunk extensions between two parts of
a body. Upstreams' heads have some hundred bytes."""

MAX_EVENT_BYTES = 1 << 20
"""Maximum size of one event, which usually carries a few words."""

MAX_ALL_UNPARSED_BYTES = 8 << 20
"""Maximum of all together where no other limit is given."""


class ReplyMemory(t.Generic[_K]):
    """Bytes by connection, or by stream.

    :param limit: maximum of all together, in bytes.
    :param most: maximum of each one, in bytes.
    :param held: the sum of all.
    """

    def __init__(
        self, limit: int = MAX_ALL_UNPARSED_BYTES, most: int = MAX_UNPARSED_BYTES
    ) -> None:
        self.limit = limit
        self.most = most
        self.held = 0
        self.charges: dict[_K, int] = {}

    def add(self, key: _K, size: int) -> bool:
        """Add received bytes; return whether the connection or stream has to end."""
        return self.set(key, self.charges.get(key, 0) + size)

    def set(self, key: _K, size: int) -> bool:
        """Set what is held; return whether the connection or stream has to end."""
        self.held += size - self.charges.get(key, 0)
        self.charges[key] = size
        is_large = size * len(self.charges) >= self.held
        return size > self.most or (self.held > self.limit and is_large)

    def release(self, key: _K) -> None:
        """Forget what was held, as it became a part of an answer."""
        self.held -= self.charges.pop(key, 0)
