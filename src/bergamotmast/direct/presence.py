"""Registration of this entry in the key-value store, under a lease."""

from __future__ import annotations

import asyncio
import logging
import random

from ..backoff import Backoff
from ..errors import PortError
from ..ports import KeyValueService
from ..ports import Put

logger = logging.getLogger(__name__)

PRESENCE_PREFIX = "/bergamotmast/entries/"

LEASE_SECONDS = 12
"""Time to live of the registration. Other entries keep sending datagrams to a dead
entry until it expires."""

RENEWAL_SECONDS = 4.0
"""Interval between renewals of the lease; two may fail before it expires."""

MAX_RETRY_DELAY_SECONDS = 3.0
"""Maximum delay between two attempts while the store is unavailable."""


def presence_key(name: str) -> str:
    """Return the key under which an entry registers."""
    return PRESENCE_PREFIX + name


class Presence:
    """Keeps a key with this entry's address registered under a lease.

    :param address: datagram address of this entry, ``host:port``.
    """

    def __init__(
        self, kv: KeyValueService, name: str, address: str, rng: random.Random
    ) -> None:
        self.kv = kv
        self.key = presence_key(name)
        self.value = address.encode()
        self.backoff = Backoff(rng, initial=0.3, maximum=MAX_RETRY_DELAY_SECONDS)

    async def run(self) -> None:
        """Register and stay registered until cancelled."""
        while True:
            try:
                await self._hold()
            except PortError as error:
                logger.info("entry is not registered", extra={"error": error.message})
            await asyncio.sleep(self.backoff.next_delay())

    async def _hold(self) -> None:
        lease = await self.kv.grant_lease(LEASE_SECONDS)
        await self.kv.txn([], [Put(self.key, self.value, lease)])
        self.backoff.reset()
        while True:
            await asyncio.sleep(RENEWAL_SECONDS)
            if not await self.kv.keep_alive(lease):
                return
