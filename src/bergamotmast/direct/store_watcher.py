"""Watch of the key-value store that keeps a :class:`~.fleet.Fleet` up to date."""

from __future__ import annotations

import asyncio
import logging
import random

from ..backoff import Backoff
from ..errors import PortError
from ..ports import KeyValue
from ..ports import KeyValueService
from .fleet import Fleet
from .fleet import ReadReason

logger = logging.getLogger(__name__)

MAX_RETRY_DELAY_SECONDS = 0.5
"""Maximum delay between two attempts while the store is unavailable. A new
configuration must be in force within two seconds, also after an outage."""

OUTAGE_THRESHOLD_SECONDS = 0.6
"""Time without a reply of the store after which registrations may have lapsed because
of the store and not because their upstreams are gone."""


class StoreWatcher:
    """Keeps a fleet in sync with the store by reading all keys and watching them.

    A watch may be interrupted, fail because its history is compacted, or receive
    nothing on a dead connection. The store's adapter bounds each wait, and all keys are
    read again after any end of a watch. The backoff is reset only by a watch that
    delivers: otherwise all entries would read a store whose watches fail without any
    delay.

    :param last_reply_at: when the store last replied; a point in time.
    :param restored: whether the store was restored from a backup since the last read.
    """

    def __init__(self, kv: KeyValueService, fleet: Fleet, rng: random.Random) -> None:
        self.kv = kv
        self.fleet = fleet
        self.backoff = Backoff(rng, initial=0.1, maximum=MAX_RETRY_DELAY_SECONDS)
        self.last_reply_at: float | None = None
        self.restored = False

    async def run(self) -> None:
        """Read and watch the store until cancelled."""
        while True:
            try:
                revision = await self._read()
                await self._watch(revision)
            except PortError as error:
                self._on_disconnected(error)
            await asyncio.sleep(self.backoff.next_delay())

    async def _read(self) -> int:
        # A single range over all keys: each store call is charged for, and all entries
        # of a fleet read at the same time on startup or after a connection loss.
        result = await self.kv.range("")
        now = asyncio.get_running_loop().time()
        reason = self._read_reason(now)
        self.restored = False
        self.fleet.replace_all(result.items, now, reason, result.era)
        self.fleet.applied.advance(result.revision)
        self._on_reply(now)
        return result.revision

    async def _watch(self, revision: int) -> None:
        loop = asyncio.get_running_loop()
        async for event in self.kv.watch("", revision + 1):
            self._on_reply(loop.time())
            self.backoff.reset()
            if event is None:
                continue
            if event.value is None:
                self.fleet.remove(event.key, event.mod_revision)
            else:
                self.fleet.put(KeyValue(event.key, event.value, event.mod_revision))
            self.fleet.applied.advance(event.mod_revision)

    def on_restored(self) -> None:
        """Treat the next read as the first after a restore of the store."""
        self.restored = True

    def _read_reason(self, now: float) -> ReadReason:
        if self.restored:
            return ReadReason.RESTORE
        if (
            self.last_reply_at is not None
            and now - self.last_reply_at > OUTAGE_THRESHOLD_SECONDS
        ):
            return ReadReason.OUTAGE
        return ReadReason.RESYNC

    def _on_reply(self, now: float) -> None:
        self.last_reply_at = now
        self.fleet.entry_share.on_store_reply(now)
        self.fleet.build_history.on_store_reply(now)
        if not self.fleet.in_sync:
            self.fleet.in_sync = True
            logger.info("store is reached", extra={"dependency": "store"})

    def _on_disconnected(self, error: PortError) -> None:
        if self.fleet.in_sync:
            self.fleet.in_sync = False
            logger.warning(
                "store is lost", extra={"dependency": "store", "error": error.message}
            )
