"""Assignment of the sends to limited upstreams, among all entries, over UDP.

For each upstream, one entry assigns the points in time at which all entries may send:
its keeper, chosen by rendezvous hashing among the entries that the store lists. A
request that goes to a limited upstream costs one query and one reply, unless its entry
is the keeper, and none if the next send is known to be too late for it. The keeper
holds nothing that outlasts it: the next one begins with the next send.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random

import msgspec

from ..policy.entry_ranking import first_entries
from ..policy.named_limit import NO_LIMIT
from ..policy.named_limit import NamedLimit
from ..policy.send_pacing import ALONE_SHARE
from ..policy.send_pacing import DEPUTY_SHARE
from ..policy.send_pacing import MIN_RATE
from ..policy.send_pacing import SendPacer
from ..policy.send_pacing import SendSlot
from .fleet import Fleet
from .named_limits import NamedLimits
from .peer_messages import Address
from .peer_messages import PeerInbox
from .peer_messages import Send
from .peer_messages import SlotQuery
from .peer_messages import SlotReply
from .presence import LEASE_SECONDS

logger = logging.getLogger(__name__)

KEEPERS = 2
"""Number of entries that are asked one after the other: the keeper and a deputy."""

REPLY_SECONDS = 0.05
"""Time for a reply; entries are a few milliseconds apart."""

SILENT_SECONDS = 1.0
"""Time for which an entry that has not replied is not asked again."""

UNUSED_SECONDS = 10.0
"""Time after its last assigned send at which a pacer is dropped."""


class SlotExchange:
    """Assigns the sends to limited upstreams together with the other entries.

    :param own_entry: key under which this entry registers.
    :param send: sends a datagram without blocking.
    :param pacers: pacers of the upstreams that this entry assigns sends to, by the hash
        of the upstream's incarnation.
    :param own_pacers: pacers of the sends of this entry alone, by the same hash.
    :param silent_until: until when entries that have not replied are not asked, by
        their keys; points in time.
    :param waiting: replies that are waited for, by the number of the query.
    :param last_number: number of this entry's last query.
    """

    def __init__(
        self,
        own_entry: str,
        fleet: Fleet,
        limits: NamedLimits,
        send: Send,
        rng: random.Random,
    ) -> None:
        self.own_entry = own_entry
        self.fleet = fleet
        self.limits = limits
        self.send = send
        self.rng = rng
        self.pacers: dict[int, SendPacer] = {}
        self.own_pacers: dict[int, SendPacer] = {}
        self.silent_until: dict[str, float] = {}
        self.waiting: dict[int, asyncio.Future[SlotReply]] = {}
        self.last_number = 0

    def listen(self, inbox: PeerInbox) -> None:
        """Receive the messages of other entries."""
        inbox.receivers[SlotQuery] = self._on_query
        inbox.receivers[SlotReply] = self._on_reply

    async def reserve(self, upstream: int, latest: float) -> SendSlot:
        """Reserve the next send to an upstream, unless it is too late for a request.

        :param upstream: hash of the upstream's incarnation.
        :param latest: latest time at which the request may be sent; a point in time.
        """
        now = asyncio.get_running_loop().time()
        entries = self.fleet.entries_with(self.own_entry, now)
        keepers = first_entries(KEEPERS, entries, upstream)
        for rank, keeper in enumerate(keepers):
            share = 1.0 if rank == 0 else DEPUTY_SHARE
            if keeper == self.own_entry:
                return self._assign(upstream, share, latest)
            if self._is_silent(keeper):
                continue
            slot = await self._ask(entries[keeper], upstream, share, latest)
            if slot is not None:
                return slot
            self._on_silent(keeper, upstream)
        return self._assign_alone(upstream, latest)

    def _on_silent(self, keeper: str, upstream: int) -> None:
        now = asyncio.get_running_loop().time()
        self.silent_until[keeper] = now + SILENT_SECONDS
        logger.info(
            "entry does not assign sends",
            extra={"entry": keeper, "upstream_hash": upstream},
        )

    def _is_silent(self, entry: str) -> bool:
        until = self.silent_until.get(entry, -math.inf)
        return asyncio.get_running_loop().time() < until

    def _assign(self, upstream: int, share: float, latest: float) -> SendSlot:
        """Assign the next send.

        :param share: share of the limit that this entry assigns.
        """
        now = asyncio.get_running_loop().time()
        rate = self._rate(upstream)
        if rate == NO_LIMIT:
            return SendSlot(now, now)
        if now >= self.fleet.entry_share.last_store_reply_at + LEASE_SECONDS:
            # Other entries may have ceased to count this one, and chosen another.
            share = min(share, DEPUTY_SHARE)
        pacer = self.pacers.get(upstream)
        if pacer is None:
            self._drop_unused(now)
            pacer = self.pacers[upstream] = SendPacer(now)
        return pacer.reserve(rate * share, now, latest)

    def _assign_alone(self, upstream: int, latest: float) -> SendSlot:
        """Assign the next send of this entry, which reaches no keeper."""
        now = asyncio.get_running_loop().time()
        count = self.fleet.entry_share.entries(self.fleet.entries, now)
        rate = self._rate(upstream) * ALONE_SHARE / count
        pacer = self.own_pacers.get(upstream)
        if pacer is None:
            self._drop_unused(now)
            # Many entries may be cut off from the keeper at the same moment.
            first = now + self.rng.uniform(0.0, 1.0 / rate)
            pacer = self.own_pacers[upstream] = SendPacer(first)
        return pacer.reserve(rate, now, latest)

    def _rate(self, upstream: int) -> float:
        """Return the sends a second that all entries together are assigned."""
        return max(self.limits.of(upstream).rate, MIN_RATE)

    def _drop_unused(self, now: float) -> None:
        for pacers in (self.pacers, self.own_pacers):
            for key, pacer in list(pacers.items()):
                if now >= pacer.next_at + UNUSED_SECONDS:
                    del pacers[key]

    async def _ask(
        self, address: Address, upstream: int, share: float, latest: float
    ) -> SendSlot | None:
        """Ask another entry; return ``None`` if it doesn't reply."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        limit = self.limits.of(upstream)
        self.last_number += 1
        number = self.last_number
        query = SlotQuery(
            number,
            upstream,
            share,
            max(0.0, latest - now),
            limit.rate,
            max(0.0, now - limit.known_at),
        )
        reply = self.waiting[number] = loop.create_future()
        self.send(msgspec.msgpack.encode(query), address)
        try:
            async with asyncio.timeout(REPLY_SECONDS):
                answer = await reply
        except TimeoutError:
            return None
        finally:
            del self.waiting[number]
        now = loop.time()
        at = None if answer.wait is None else now + answer.wait
        return SendSlot(at, now + answer.next_wait)

    def _on_query(self, query: SlotQuery, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        self.limits.learn(query.upstream, NamedLimit(query.rate, now - query.age))
        slot = self._assign(query.upstream, query.share, now + query.wait)
        limit = self.limits.of(query.upstream)
        reply = SlotReply(
            query.number,
            query.upstream,
            None if slot.at is None else slot.at - now,
            slot.next_at - now,
            limit.rate,
            now - limit.known_at,
        )
        self.send(msgspec.msgpack.encode(reply), address)

    def _on_reply(self, reply: SlotReply, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        self.limits.learn(reply.upstream, NamedLimit(reply.rate, now - reply.age))
        waiting = self.waiting.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
