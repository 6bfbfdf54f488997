"""Bytes of responses that an entry holds for callers that read slowly.

Load pattern: callers read slowly or stop reading, some of them many responses at once,
while upstreams go on sending.

Without it: upstreams cut off the responses that stay unread for seconds, or one entry's
memory fills with responses, and the kernel ends it with all of its requests.

One response may hold :attr:`BufferBudget.response_limit` bytes, all together
:attr:`BufferBudget.total_limit`. Each may hold one part beyond that, as its size is
known only once it has been read.
"""

from __future__ import annotations

RESPONSE_LIMIT_BYTES = 1 << 20
"""Bytes held for one response. Usual streams have some kilobytes."""

TOTAL_LIMIT_BYTES = 16 << 20
"""Bytes held for all responses where no other limit is given."""

SHORT_UNTIL = 0.5
"""Share of the total limit below which it no longer counts as reached. Without the
distance, each byte that is read would change the verdict and write a log line."""


class BufferBudget:
    """Account of the bytes that are held.

    :param held: bytes held for all responses.
    :param short: whether the total limit was reached and not much was freed since.
    """

    def __init__(
        self,
        response_limit: int = RESPONSE_LIMIT_BYTES,
        total_limit: int = TOTAL_LIMIT_BYTES,
    ) -> None:
        self.response_limit = response_limit
        self.total_limit = total_limit
        self.held = 0
        self.short = False

    def has_room(self, response_held: int) -> bool:
        """Return whether more may be read of a response.

        :param response_held: bytes held for that response.
        """
        if not response_held:
            # Its caller may be reading while others hold all that is allowed.
            return True
        return response_held < self.response_limit and self.held < self.total_limit

    def hold(self, count: int) -> None:
        """Add bytes that have been read."""
        self.held += count
        self.short = self.short or self.held >= self.total_limit

    def release(self, count: int) -> None:
        """Remove bytes that are no longer held."""
        self.held -= count
        self.short = self.short and self.held > SHORT_UNTIL * self.total_limit
