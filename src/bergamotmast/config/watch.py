"""Keeps a process's configuration as new as the key-value service's."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random

import msgspec

from ..errors import BergamotmastError
from ..key_watch import follow
from ..ports import KeyValueService
from ..ports import WatchEvent
from .delta import apply_delta
from .holder import ConfigHolder
from .store import DIGEST_KEY_PREFIX
from .store import ConfigStore
from .store import digest_key

logger = logging.getLogger(__name__)

REREAD_INTERVAL_SECONDS = 12.0
"""The longest time between two cheap re-reads, which bounds what a watch can lose."""

CALL_SECONDS = 3.0
"""Time one read may take."""

MIN_FETCH_INTERVAL_SECONDS = 2.0
"""Time between two fetches of a process: edits that come faster are read together,
so that a thousand processes with two reads each stay below that rate too."""

FETCH_JITTER_SECONDS = 0.5
"""Time over which processes that see the same edit read it. The read rate that the
service has left, 2,000 a second, is enough for a thousand processes within it."""


class ConfigWatcher:
    """Follows the key-value service and offers what it finds to a holder.

    The mark of the current document is watched. Where it is not the document in
    force, the changes since then are read, and the whole document only where these
    don't lead to the mark: several edits in a row are read together, and neither an
    edit nor a watch opened again carries the whole document to every process.

    While the service is down the process goes on with what its holder has, or learns
    from its peers.

    :param kv: the key-value service.
    :param holder: takes each newer document.
    :param rng: source of the random pauses.
    :param republishes: whether to give the service the document in force where it
        holds an older one.
    :param mark: key of the service's mark as last heard; empty if there was none.
    :param next_fetch_at: earliest next fetch; a point on the loop's clock.
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
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_digest_keys())
            group.create_task(self._reread_forever())
            group.create_task(self._fetch_forever())

    async def _watch_digest_keys(self) -> None:
        async with contextlib.aclosing(
            follow(self.kv, DIGEST_KEY_PREFIX, self.rng)
        ) as digest_keys:
            async for found in digest_keys:
                is_gone = isinstance(found, WatchEvent) and found.value is None
                if not is_gone:
                    self._on_digest_key(found.key)

    async def _reread_forever(self) -> None:
        """Ask at random times whether the watch has missed anything.

        This is the last safeguard: a watch that shows signs of life may still have
        lost a change, or a read after it failed. One small key is read, within a
        time that bounds how long an edit may stay unseen.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * REREAD_INTERVAL_SECONDS)
            try:
                async with asyncio.timeout(CALL_SECONDS):
                    found = await self.kv.range(DIGEST_KEY_PREFIX)
            except (BergamotmastError, TimeoutError) as error:
                logger.info("configuration not read again: %r", error)
                continue
            self._on_digest_key(found.items[-1].key if found.items else "")

    def _on_digest_key(self, current_key: str) -> None:
        """Remember the service's mark, and have its document fetched if need be."""
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
        """Take the service's document if newer; put ours back if that is newer.

        :param mark: the document's mark as last heard; empty if there is none.
        """
        try:
            async with asyncio.timeout(CALL_SECONDS):
                document = await self._read_from_deltas(current_key)
                if document is None:
                    document = (await self.store.read()).document
            self._offer(document)
            if document != self.holder.document:
                await self._republish()
        except (BergamotmastError, TimeoutError) as error:
            logger.warning("configuration not read: %r", error)

    async def _read_from_deltas(self, current_key: str) -> bytes | None:
        """Return the document that the kept changes lead to, if its mark is right.

        The mark names the content, so that changes which belong to another document,
        for instance after a restore, can't be taken for what was accepted.
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
        later = [deltas[number] for number in sorted(deltas) if number > generation]
        return _apply_deltas(self.holder.document, later, current_key)

    async def _republish(self) -> None:
        if not (self.republishes and self.holder.document):
            return
        # Every process sees the older document at the same moment; the random pause
        # lets one of them write and the others find that it is done.
        await asyncio.sleep(self.rng.uniform(0, FETCH_JITTER_SECONDS))
        nonce = f"{self.rng.getrandbits(64):016x}"
        author = f"process {self.holder.process}"
        async with asyncio.timeout(CALL_SECONDS):
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
        except msgspec.DecodeError as error:
            logger.error("the service holds no configuration: %s", error)

    def _own_digest_key(self) -> str:
        return digest_key(self.holder.document)


def _apply_deltas(
    document: bytes, deltas: cabc.Iterable[bytes], current_key: str
) -> bytes | None:
    """Return the document with the mark on the way of changes; ``None`` if none has."""
    for delta in deltas:
        try:
            document = apply_delta(document, delta)
        except msgspec.DecodeError:
            return None
        if digest_key(document) == current_key:
            return document
    return None


def _now() -> float:
    return asyncio.get_running_loop().time()
