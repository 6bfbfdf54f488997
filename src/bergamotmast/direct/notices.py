"""Exchange of prefill notices between entries, over UDP.

Each entry announces the start and the end of long prefills to the entries that use the
same engines, so that their load trackers and prefix-cache models include them. A lost
datagram costs at most a worse placement: its content is estimated or expires within
seconds.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc

import msgspec

from .peer_messages import Address
from .peer_messages import NoticeBatch
from .peer_messages import PeerInbox
from .peer_messages import Send
from .peer_messages import SentNoticeBatch
from .placer import RequestPlacer
from .prefill_notice import PrefillNotice

BATCH_WINDOW_SECONDS = 0.005
"""How long notices are collected before they are sent in one datagram."""

MIN_NOTICE_TOKENS = 1_000
"""Shortest prefill that is announced. Shorter ones take less than 20 ms, so a notice
would arrive too late."""

MAX_NOTICES_PER_DATAGRAM = 64
"""Maximum number of notices in one datagram, which must fit into a packet."""


class NoticeExchange:
    """Sends this entry's notices and applies those of others.

    :param name: name of this entry.
    :param peers: returns the addresses of the other entries.
    :param send: sends a datagram without blocking.
    :param pending: notices that have not been sent yet.
    """

    def __init__(
        self,
        name: str,
        placer: RequestPlacer,
        peers: cabc.Callable[[], cabc.Iterable[Address]],
        send: Send,
    ) -> None:
        self.name = name
        self.placer = placer
        self.peers = peers
        self.send = send
        self.pending: list[PrefillNotice] = []

    def enqueue(self, notice: PrefillNotice) -> None:
        """Add a notice to the next batch, which is sent shortly."""
        if not self.pending:
            asyncio.get_running_loop().call_later(BATCH_WINDOW_SECONDS, self._flush)
        self.pending.append(notice)

    def listen(self, inbox: PeerInbox) -> None:
        """Receive the notices of other entries."""
        inbox.receivers[NoticeBatch] = self._on_batch

    def _on_batch(self, batch: NoticeBatch, address: Address) -> None:
        if batch.sender == self.name:
            return
        now = asyncio.get_running_loop().time()
        for notice in batch.notices:
            self.placer.on_notice(batch.sender, notice, now)

    def _flush(self) -> None:
        pending, self.pending = self.pending, []
        addresses = list(self.peers())
        for start in range(0, len(pending), MAX_NOTICES_PER_DATAGRAM):
            batch = tuple(pending[start : start + MAX_NOTICES_PER_DATAGRAM])
            data = msgspec.msgpack.encode(SentNoticeBatch(self.name, batch))
            for address in addresses:
                self.send(data, address)
