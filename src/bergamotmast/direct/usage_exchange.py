"""Counting of the requests that each tenant begins, at all entries together.

Every entry counts its own requests and sends copies of the counts to two other entries,
so that those of a killed entry survive. The entry that reports the usage asks all
others once a window is over. No call to the store is needed, and the number of messages
grows with the number of entries, not with its square.
"""

from __future__ import annotations

import asyncio
import bisect
import collections.abc as cabc
import dataclasses
import itertools
import math

import msgspec

from ..policy.usage_ledger import Counts
from ..policy.usage_ledger import Source
from ..policy.usage_ledger import UsageLedger
from .peer_messages import Address
from .peer_messages import PeerInbox
from .peer_messages import PeerMessage
from .peer_messages import Send
from .peer_messages import UsageCounts
from .peer_messages import UsageQuery
from .presence import presence_key
from .unix_clock import UnixClock

COPY_SECONDS = 1.0
"""Interval between two copies to other entries: a killed entry loses as much."""

COPIES = 2
"""Number of entries that keep a copy. One more than one, as entries are restarted one
after the other."""

SETTLING_SECONDS = 1.0
"""Time after the end of a window in which requests that began in it are still counted:
the start of a plain call is known when its reply arrives."""

QUERY_SECONDS = 0.4
"""Interval between two queries to an entry that has not answered."""

RETAINED_WINDOWS = 12
"""Number of windows that are kept, for a new holder after a long outage."""

MAX_TENANTS_PER_DATAGRAM = 60
"""Maximum number of tenants in one datagram, which should fit into a packet."""


@dataclasses.dataclass(frozen=True, slots=True)
class WindowUsage:
    """The usage of one window.

    :param missing: keys of the registered entries that have not answered.
    :param is_over: whether the window is over by the clocks of most entries.
    """

    counts: Counts
    missing: tuple[str, ...]
    is_over: bool = True


class UsageExchange:
    """Counts requests by tenant and exchanges the counts with other entries.

    :param source: this process as a source of counts.
    :param entries: returns the addresses of the other entries, by their keys.
    :param send: sends a datagram without blocking.
    :param answered: keys of the entries whose counts of a window are complete.
    :param unfinished: keys of the entries that last said that a window is not over.
    :param copied: requests in the last copy of each window.
    :param first_window: window in which this process started.
    """

    def __init__(
        self,
        source: Source,
        ledger: UsageLedger,
        clock: UnixClock,
        entries: cabc.Callable[[], cabc.Mapping[str, Address]],
        send: Send,
    ) -> None:
        self.source = source
        self.ledger = ledger
        self.clock = clock
        self.entries = entries
        self.send = send
        self.answered: dict[int, set[str]] = {}
        self.unfinished: dict[int, set[str]] = {}
        self.copied: dict[int, int] = {}
        self.first_window = ledger.window_at(clock.now())
        self._changed = asyncio.Event()

    def listen(self, inbox: PeerInbox) -> None:
        """Receive the messages of other entries."""
        inbox.receivers[UsageCounts] = self._on_counts
        inbox.receivers[UsageQuery] = self._on_query

    def on_begun(self, tenant: str, at: float) -> None:
        """Count a request.

        :param at: when an upstream began to run it; a point on the event loop's clock.
        """
        window = self.ledger.window_at(self.clock.unix_time(at))
        self.ledger.add(self.source, window, tenant)

    async def run(self) -> None:
        """Copy this entry's counts to other ones until cancelled."""
        while True:
            await asyncio.sleep(COPY_SECONDS)
            self.clock.sample()
            self._forget_old_windows()
            self._copy_changes()

    def _copy_changes(self) -> None:
        """Copy the counts that have changed since the last copy."""
        totals = {
            window: sum(self.ledger.counts(self.source, window).values())
            for window in self.ledger.windows
        }
        changed = [w for w, total in totals.items() if total != self.copied.get(w, 0)]
        self.copied = totals
        for address in self._successors():
            for window in changed:
                self._send_counts(self.source, window, address)

    def hand_over(self) -> None:
        """Send all that this entry knows to other ones before it ends."""
        for address in self._successors():
            for window in self.ledger.windows:
                for source in self.ledger.sources(window):
                    self._send_counts(source, window, address)

    def _forget_old_windows(self) -> None:
        oldest = self.oldest_window()
        self.ledger.forget_before(oldest)
        for states in (self.answered, self.unfinished):
            for window in [window for window in states if window < oldest]:
                del states[window]

    def oldest_window(self) -> int:
        """Return the oldest window whose counts are kept."""
        return self.ledger.window_at(self.clock.now()) - RETAINED_WINDOWS

    async def collect(self, window: int, deadline: float) -> WindowUsage:
        """Return the usage of a window that is over.

        :param deadline: when to stop waiting for entries that do not answer; a point on
            the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        answered = self.answered.setdefault(window, set())
        while missing := self._missing(answered):
            for key in missing:
                query = UsageQuery(self.source.entry, window)
                self._send(query, self.entries()[key])
            if loop.time() >= deadline:
                break
            await self._wait_for_answers(answered, loop.time() + QUERY_SECONDS)
        unfinished = self.unfinished.get(window, set()) - answered
        is_over = len(unfinished) <= len(answered)
        return WindowUsage(self.ledger.totals(window), tuple(missing), is_over)

    async def _wait_for_answers(self, answered: set[str], until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                while self._missing(answered):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return

    def _missing(self, answered: set[str]) -> list[str]:
        own = presence_key(self.source.entry)
        return [key for key in self.entries() if key not in answered and key != own]

    def _successors(self) -> list[Address]:
        """Return the addresses of the next entries in the order of all keys."""
        own = presence_key(self.source.entry)
        entries = self.entries()
        others = sorted(key for key in entries if key != own)
        next_index = bisect.bisect(others, own)
        ordered = others[next_index:] + others[:next_index]
        return [entries[key] for key in ordered[:COPIES]]

    def _on_query(self, query: UsageQuery, address: Address) -> None:
        sources = {self.source, *self.ledger.sources(query.window)}
        for source in sources:
            self._send_counts(source, query.window, address)

    def _on_counts(self, message: UsageCounts, address: Address) -> None:
        source = Source(message.entry, message.boot)
        if source == self.source or not self._is_retained(message.window):
            return
        self.ledger.merge(source, message.window, message.counts)
        if message.sender != message.entry:
            return
        key = presence_key(message.sender)
        known = sum(self.ledger.counts(source, message.window).values())
        if not message.final:
            self.unfinished.setdefault(message.window, set()).add(key)
        elif known >= message.total:
            self.answered.setdefault(message.window, set()).add(key)
            self._changed.set()

    def _is_retained(self, window: int) -> bool:
        """Return whether a window may be kept, so that no message fills the memory."""
        current = self.ledger.window_at(self.clock.now())
        return self.oldest_window() <= window <= current + 1

    def _send_counts(self, source: Source, window: int, address: Address) -> None:
        counts = self.ledger.counts(source, window)
        settled_at = self.ledger.end_of(window) + SETTLING_SECONDS
        final = source == self.source and self.clock.now() >= settled_at
        total = sum(counts.values())
        tenants = iter(counts.items())
        parts = max(1, math.ceil(len(counts) / MAX_TENANTS_PER_DATAGRAM))
        for _ in range(parts):
            part = dict(itertools.islice(tenants, MAX_TENANTS_PER_DATAGRAM))
            message = UsageCounts(
                self.source.entry,
                source.entry,
                source.boot,
                window,
                part,
                total,
                final,
            )
            self._send(message, address)

    def _send(self, message: PeerMessage, address: Address) -> None:
        self.send(msgspec.msgpack.encode(message), address)
