"""Keeps a process's configuration as new as the key-value service's."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random

import msgspec

from .config_holder import ConfigHolder
from .config_store import MARK_PREFIX
from .config_store import ConfigStore
from .config_store import mark_key
from .errors import BergamotmastError
from .key_watch import follow
from .ports import KeyValueService
from .ports import WatchEvent

logger = logging.getLogger(__name__)

REREAD_SECONDS = 12.0
"""The longest time between two cheap re-reads, which bounds what a watch can lose."""

CALL_SECONDS = 3.0
"""Time one read may take."""

SPREAD_SECONDS = 0.5
"""Time over which processes that see the same edit read it. The read rate that the
service has left, 2,000 a second, is enough for a thousand processes within it."""


class ConfigWatcher:
    """Follows the key-value service and offers what it finds to a holder.

    The mark of the current document is watched, and the document read where it is
    not the one in force: several edits in a row are read once, and a watch opened
    again after an outage does not carry the whole document to every process.

    While the service is down the process goes on with what its holder has, or learns
    from its peers.

    :param kv: the key-value service.
    :param holder: takes each newer document.
    :param rng: source of the random pauses.
    :param puts_back: whether to give the service the document in force where it
        holds an older one.
    """

    def __init__(
        self,
        kv: KeyValueService,
        holder: ConfigHolder,
        rng: random.Random,
        puts_back: bool = True,
    ) -> None:
        self.kv = kv
        self.store = ConfigStore(kv, holder.history)
        self.holder = holder
        self.rng = rng
        self.puts_back = puts_back

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._reread_forever())

    async def _follow(self) -> None:
        async with contextlib.aclosing(follow(self.kv, MARK_PREFIX, self.rng)) as marks:
            async for found in marks:
                is_gone = isinstance(found, WatchEvent) and found.value is None
                if is_gone or found.key == self._own_mark():
                    continue
                await asyncio.sleep(self.rng.uniform(0, SPREAD_SECONDS))
                if found.key != self._own_mark():
                    await self._fetch()

    async def _reread_forever(self) -> None:
        """Ask at random times whether the watch has missed anything.

        This is the last safeguard: a watch that shows signs of life may still have
        lost a change, or a read after it failed. One small key is read, within a
        time that bounds how long an edit may stay unseen.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * REREAD_SECONDS)
            before = self.holder.generation
            try:
                async with asyncio.timeout(CALL_SECONDS):
                    found = await self.kv.range(MARK_PREFIX)
            except (BergamotmastError, TimeoutError) as error:
                logger.info("configuration not read again: %r", error)
                continue
            if [item.key for item in found.items] != [self._own_mark()]:
                await self._fetch()
            if self.holder.generation > before:
                logger.warning("the configuration watch missed a change")

    async def _fetch(self) -> None:
        """Take the service's document if newer; put ours back if that is newer."""
        try:
            async with asyncio.timeout(CALL_SECONDS):
                stored = await self.store.read()
            self._take(stored.document)
            if stored.document != self.holder.document:
                await self._put_back()
        except (BergamotmastError, TimeoutError) as error:
            logger.warning("configuration not read: %r", error)

    async def _put_back(self) -> None:
        if not (self.puts_back and self.holder.document):
            return
        # Every process sees the older document at the same moment; the random pause
        # lets one of them write and the others find that it is done.
        await asyncio.sleep(self.rng.uniform(0, SPREAD_SECONDS))
        nonce = f"{self.rng.getrandbits(64):016x}"
        author = f"process {self.holder.process}"
        async with asyncio.timeout(CALL_SECONDS):
            changed = await self.store.put_back(self.holder.document, author, nonce)
        if changed:
            logger.warning(
                "the service held an older configuration than generation %d,"
                " which is in force: put back",
                self.holder.generation,
            )

    def _take(self, document: bytes) -> None:
        if not document:
            return
        try:
            self.holder.offer(document)
        except msgspec.DecodeError as error:
            logger.error("the service holds no configuration: %s", error)

    def _own_mark(self) -> str:
        return mark_key(self.holder.document)
