"""What entries tell each other: which engine reads what, and what it has cached.

Each entry sends each long prompt's start and end to the entries that place work on the
same engines, in datagrams. A notice that is lost costs a worse placement and nothing
else: what it would have told is guessed or forgotten within seconds.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging

import msgspec

from .placing import Placing
from .read_notice import ReadNotice

logger = logging.getLogger(__name__)

GATHER_SECONDS = 0.005
"""Notices that follow each other so closely share a datagram."""

LEAST_TOKENS = 1_000
"""Shorter prompts are not told of: they are read within 20 ms, when a notice of them
would be late."""

MOST_NOTICES = 64
"""In one datagram, which must fit into a packet."""


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """All notices of a moment."""

    sender: str
    notices: tuple[ReadNotice, ...]


class Notices:
    """Sends this entry's notices and takes those of others.

    :param peers: returns the addresses of the other entries.
    :param send: hands a datagram over, without waiting.
    """

    def __init__(
        self,
        name: str,
        placing: Placing,
        peers: cabc.Callable[[], cabc.Iterable[tuple[str, int]]],
        send: cabc.Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self.name = name
        self.placing = placing
        self.peers = peers
        self.send = send
        self.waiting: list[ReadNotice] = []
        self.decoder = msgspec.msgpack.Decoder(Datagram)

    def tell(self, notice: ReadNotice) -> None:
        """Send a notice soon."""
        if not self.waiting:
            asyncio.get_running_loop().call_later(GATHER_SECONDS, self._flush)
        self.waiting.append(notice)

    def receive(self, data: bytes) -> None:
        """Take another entry's datagram; what is none is dropped."""
        try:
            datagram = self.decoder.decode(data)
        except msgspec.DecodeError as error:
            logger.warning("datagram is not understood", extra={"error": str(error)})
            return
        if datagram.sender == self.name:
            return
        now = asyncio.get_running_loop().time()
        for notice in datagram.notices:
            self.placing.on_notice(datagram.sender, notice, now)

    def _flush(self) -> None:
        waiting, self.waiting = self.waiting, []
        addresses = list(self.peers())
        for start in range(0, len(waiting), MOST_NOTICES):
            part = tuple(waiting[start : start + MOST_NOTICES])
            data = msgspec.msgpack.encode(Datagram(self.name, part))
            for address in addresses:
                self.send(data, address)
