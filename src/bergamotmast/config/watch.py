"""Watcher that keeps a process's configuration as new as the key-value service's."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random

from ..decoding import DecodingError
from ..errors import BergamotmastError
from ..key_watch import watch_keys
from ..ports import KeyValueService
from ..ports import WatchEvent
from .delta import apply_delta
from .holder import ConfigHolder
from .store import DIGEST_KEY_PREFIX
from .store import ConfigStore
from .store import digest_key

logger = logging.getLogger(__name__)

REREAD_INTERVAL_SECONDS = 12.0
"""Maximum time between two cheap re-reads, which bounds how long a lost event of the
watch goes unnoticed."""

CALL_TIMEOUT_SECONDS = 3.0
"""Timeout of one read."""

MIN_FETCH_INTERVAL_SECONDS = 2.0
"""Minimum time between two fetches of a process: edits that come faster are read
together, so that a thousand processes with two reads each stay within the service's
read rate too."""

FETCH_JITTER_SECONDS = 0.5
"""Random delay that spreads the reads of processes that see the same edit. The service
has 2,000 reads a second to spare, enough for a thousand processes in this time."""


class ConfigWatcher:
    """Watches the key-value service and offers each newer document to a holder.

    The digest key of the current document is watched. If it is not that of the document
    in force, the deltas since then are read, and the whole document only if these don't
    lead to the digest key: several edits in a row are read together, and neither an
    edit nor a reopened watch sends the whole document to every process.

    While the service is down, the process continues with its holder's document, or
    newer ones from its peers.

    :param kv: the key-value service.
    :param holder: accepts each newer document.
    :param rng: source of the random delays.
    :param republishes: whether to write the document in force to the service if that
        holds an older one.
    :param current_key: the service's digest key as last read; empty if none was found.
    :param next_fetch_at: earliest next fetch, in seconds of the loop's clock.
    """

    def __init__(
        self,
        kv: KeyValueService,
        holder: ConfigHolder,
        rng: random.Random,
        republishes: bool = True,
    ) -> None:
        self.kv = kv
        self.store = ConfigStore(kv, holder.history)
        self.holder = holder
        self.rng = rng
        self.republishes = republishes
        self.current_key = ""
        self.next_fetch_at = 0.0
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_digest_keys())
            group.create_task(self._reread_forever())
            group.create_task(self._fetch_forever())

    async def _watch_digest_keys(self) -> None:
        async with contextlib.aclosing(
            watch_keys(self.kv, DIGEST_KEY_PREFIX, self.rng)
        ) as digest_keys:
            async for change in digest_keys:
                is_gone = isinstance(change, WatchEvent) and change.value is None
                if not is_gone:
                    self._on_digest_key(change.key)

    async def _reread_forever(self) -> None:
        """Check at random times whether the watch has missed an edit.

        This is the last safeguard: a watch that is alive may still have lost an event,
        or the read after an event may have failed. One small key is read, at intervals
        that bound how long an edit may stay unnoticed.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * REREAD_INTERVAL_SECONDS)
            try:
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    result = await self.kv.range(DIGEST_KEY_PREFIX)
            except (BergamotmastError, TimeoutError) as error:
                logger.info("configuration not read again: %r", error)
                continue
            self._on_digest_key(result.items[-1].key if result.items else "")

    def _on_digest_key(self, current_key: str) -> None:
        """Record the service's digest key; request a fetch if its document differs."""
        self.current_key = current_key
        if current_key != self._own_digest_key():
            self._changed.set()

    async def _fetch_forever(self) -> None:
        while True:
            await self._changed.wait()
            await asyncio.sleep(self.rng.uniform(0, FETCH_JITTER_SECONDS))
            await asyncio.sleep(self.next_fetch_at - _now())
            self._changed.clear()
            self.next_fetch_at = _now() + MIN_FETCH_INTERVAL_SECONDS
            if self.current_key != self._own_digest_key():
                await self._fetch(self.current_key)

    async def _fetch(self, current_key: str) -> None:
        """Offer the service's document to the holder; republish ours if that is newer.

        :param current_key: the service's digest key as last read; empty if none exists.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                document = await self._read_from_deltas(current_key)
                if document is None:
                    document = (await self.store.read()).document
            self._offer(document)
            if document != self.holder.document:
                await self._republish()
        except (BergamotmastError, TimeoutError) as error:
            logger.warning("configuration not read: %r", error)

    async def _read_from_deltas(self, current_key: str) -> bytes | None:
        """Return the document that the kept deltas lead to; ``None`` if they don't.

        Its digest key must match, which is derived from the content: deltas of another
        document, for instance after a restore, never yield an accepted document.
        """
        if not (self.holder.document and current_key):
            return None
        generation = self.holder.generation
        first = await self.store.read_delta(generation + 1)
        if first is None:
            return None
        document = _apply_deltas(self.holder.document, [first], current_key)
        if document is not None:
            return document
        deltas = await self.store.read_deltas()
        later_deltas = [
            deltas[number] for number in sorted(deltas) if number > generation
        ]
        return _apply_deltas(self.holder.document, later_deltas, current_key)

    async def _republish(self) -> None:
        if not (self.republishes and self.holder.document):
            return
        # All processes see the older document at the same time; the random delay lets
        # one of them write first, and the others find that it is done.
        await asyncio.sleep(self.rng.uniform(0, FETCH_JITTER_SECONDS))
        nonce = f"{self.rng.getrandbits(64):016x}"
        author = f"process {self.holder.process}"
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            changed = await self.store.republish(self.holder.document, author, nonce)
        if changed:
            logger.warning(
                "the service held an older configuration than generation %d,"
                " which is in force: put back",
                self.holder.generation,
            )

    def _offer(self, document: bytes) -> None:
        if not document:
            return
        try:
            self.holder.offer(document)
        except DecodingError as error:
            logger.error("the service holds no configuration: %s", error)

    def _own_digest_key(self) -> str:
        return digest_key(self.holder.document)


def _apply_deltas(
    document: bytes, deltas: cabc.Iterable[bytes], current_key: str
) -> bytes | None:
    """Apply deltas until the digest key matches; ``None`` if it never does."""
    for delta in deltas:
        try:
            document = apply_delta(document, delta)
        except DecodingError:
            return None
        if digest_key(document) == current_key:
            return document
    return None


def _now() -> float:
    return asyncio.get_running_loop().time()
