"""Exchange of the response times of upstreams among all entries, over UDP.

Each entry sends its new samples of an upstream to one entry, the upstream's keeper,
chosen by rendezvous hashing among the entries that the store lists. The reply holds the
samples of all entries. Lost datagrams cost samples, which decay within seconds anyway;
an entry that gets no reply returns to its own.
"""

from __future__ import annotations

import asyncio
import random

import msgspec

from ..policy.entry_ranking import first_entries
from ..policy.response_samples import MAX_LOG_RATIO
from ..policy.response_samples import ResponseSums
from .fleet import Fleet
from .incarnation_index import IncarnationIndex
from .learned_capacity import LearnedCapacity
from .model import Upstream
from .model import UpstreamKey
from .peer_messages import Address
from .peer_messages import CapacitySamples
from .peer_messages import CombinedCapacity
from .peer_messages import PeerInbox
from .peer_messages import Send
from .peer_messages import StepSums

MIN_INTERVAL_SECONDS = 1.0
"""Shortest time between two messages of an entry about one upstream."""

MESSAGES_PER_SECOND = 50.0
"""Messages a second about one upstream that its keeper handles at most."""

INTERVAL_SPREAD = 0.1
"""Random part of an interval, so that entries do not send at the same moment."""


class CapacityExchange:
    """Sends this entry's samples, and combines those of others as their keeper.

    :param own_entry: key under which this entry registers.
    :param send: sends a datagram without blocking.
    :param index: registered upstreams.
    :param keepers: keepers of upstreams among the entries of ``keepers_among``, by the
        same hash.
    """

    def __init__(
        self,
        own_entry: str,
        fleet: Fleet,
        learned: LearnedCapacity,
        send: Send,
        rng: random.Random,
    ) -> None:
        self.own_entry = own_entry
        self.fleet = fleet
        self.learned = learned
        self.send = send
        self.rng = rng
        self.index = IncarnationIndex(fleet)
        self.keepers: dict[int, str] = {}
        self.keepers_among: frozenset[str] = frozenset()

    def listen(self, inbox: PeerInbox) -> None:
        """Receive the messages of other entries."""
        inbox.receivers[CapacitySamples] = self._on_samples
        inbox.receivers[CombinedCapacity] = self._on_combined

    async def run(self) -> None:
        """Send new samples forever, from the first group with learned times on.

        Where the feature is off, there is none. The first delay is random within an
        interval, as all entries may learn of the first group at the same moment.
        """
        await self.learned.has_groups.wait()
        await asyncio.sleep(self.rng.uniform(0.0, self.interval()))
        while True:
            self.exchange()
            spread = self.rng.uniform(1.0, 1.0 + INTERVAL_SPREAD)
            await asyncio.sleep(self.interval() * spread)

    def interval(self) -> float:
        """Return the shortest time between two messages, by the number of entries."""
        now = asyncio.get_running_loop().time()
        count = len(self.fleet.entries_with(self.own_entry, now))
        return max(MIN_INTERVAL_SECONDS, count / MESSAGES_PER_SECOND)

    def exchange(self) -> None:
        """Send the samples that are new to the keepers of their upstreams."""
        now = asyncio.get_running_loop().time()
        self.learned.forget_departed()
        unsent = self.learned.take_unsent(now)
        if unsent:
            self._send(unsent, now)
        self.learned.apply_combined(now)

    def _send(self, unsent: dict[UpstreamKey, ResponseSums], now: float) -> None:
        entries = self.fleet.entries_with(self.own_entry, now)
        for hashed, upstream in self._upstreams(now).items():
            sums = unsent.get(upstream.key)
            if sums is None:
                continue
            keeper = self._keeper(hashed, entries)
            if keeper == self.own_entry:
                self.learned.combine(upstream, sums, now)
            else:
                message = CapacitySamples(hashed, sums.steps())
                self.send(msgspec.msgpack.encode(message), entries[keeper])

    def _keeper(self, hashed: int, entries: dict[str, Address]) -> str:
        """Return the entry that collects the samples of an upstream.

        It is remembered while the entries are the same: ranking 300 entries for each of
        27 upstreams hashes 8,100 texts.
        """
        if self.keepers_among != entries.keys():
            self.keepers_among = frozenset(entries)
            self.keepers = {}
        keeper = self.keepers.get(hashed)
        if keeper is None:
            keeper = self.keepers[hashed] = first_entries(1, entries, hashed)[0]
        return keeper

    def _upstreams(self, now: float) -> dict[int, Upstream]:
        """Return the registered upstreams, by the hash of their incarnation."""
        if self.index.refresh(now):
            for hashed in self.keepers.keys() - self.index.upstreams.keys():
                del self.keepers[hashed]
        return self.index.upstreams

    def _on_samples(self, message: CapacitySamples, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        upstream = self._upstreams(now).get(message.upstream)
        if upstream is None:
            return
        combined = self.learned.combine(upstream, _decode(message.sums, now), now)
        if combined is None:
            return
        reply = CombinedCapacity(message.upstream, combined.steps())
        self.send(msgspec.msgpack.encode(reply), address)

    def _on_combined(self, message: CombinedCapacity, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        upstream = self._upstreams(now).get(message.upstream)
        if upstream is not None:
            self.learned.on_shared(upstream, _decode(message.sums, now), now)


def _decode(sums: StepSums, now: float) -> ResponseSums:
    """Return sums from a message; totals that no samples have are limited."""
    decoded = ResponseSums(now)
    for step, (weight, total) in sums.items():
        limit = weight * MAX_LOG_RATIO
        limited = max(-limit, min(limit, total))
        decoded.merge({step: (weight, limited)}, now)
    return decoded
