"""Keeps a process's configuration as new as the key-value service's."""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec

from .config_holder import ConfigHolder
from .config_store import CURRENT_KEY
from .config_store import MARK_KEY
from .config_store import ConfigStore
from .config_store import mark
from .errors import BergamotmastError
from .ports import KeyValueService

logger = logging.getLogger(__name__)

SILENCE_SECONDS = 6.0
"""A watch without a sign of life for so long has stopped."""

REREAD_SECONDS = 12.0
"""The longest time between two cheap re-reads, which bounds what a watch can lose."""

CALL_SECONDS = 3.0
"""Time one read may take."""

FIRST_PAUSE_SECONDS = 1.0
"""Most time before the first re-watch; doubled with each failure in a row."""

HEALTHY_SECONDS = 30.0
"""A watch that lived so long was no failure."""

MOST_PAUSE_SECONDS = 4.0
"""Most time before any re-watch, so that an edit after an outage is seen in seconds."""


class ConfigWatcher:
    """Follows the key-value service and offers what it finds to a holder.

    While the service is down the process goes on with what its holder has, or learns
    from its peers; this task only tries again, at random times, so that all instances
    together do not overrun a service that has just come back.

    :param kv: the key-value service.
    :param holder: takes each newer document.
    :param rng: source of the random pauses.
    :param puts_back: whether to give the service the document in force where it
        holds an older one.
    :param alive_by: when the watch counts as stopped; a point on the loop's clock.
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
        self.alive_by = 0.0
        self._watch_scope: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_forever())
            group.create_task(self._reread_forever())

    async def _watch_forever(self) -> None:
        failures = 0
        while True:
            healthy_at = _now() + HEALTHY_SECONDS
            try:
                revision = await self._catch_up()
                await self._watch(revision + 1)
            except (BergamotmastError, TimeoutError) as error:
                logger.warning("configuration watch: %s", error or "no sign of life")
            failures = 0 if _now() >= healthy_at else failures + 1
            await asyncio.sleep(self.rng.uniform(0, _most_pause(failures)))

    async def _watch(self, from_revision: int) -> None:
        """Take changes until the watch ends, or is silent past its deadline.

        A watch may stop without an error, for instance behind a connection that was
        dropped half-way: edits would be accepted and never be in force here. The
        service's signs of life come several times within the deadline, so that
        silence past it means that the watch has stopped.
        """
        stream = self.kv.watch(CURRENT_KEY, from_revision)
        try:
            async with asyncio.timeout_at(self._next_alive_by()) as scope:
                self._watch_scope = scope
                async for event in stream:
                    scope.reschedule(self._next_alive_by())
                    if event is not None and event.value is not None:
                        self._take(event.value)
        finally:
            self._watch_scope = None
            await stream.aclose()

    async def _reread_forever(self) -> None:
        """Ask at random times whether the watch has missed anything.

        This is the last safeguard: a watch that shows signs of life may still have
        lost a change. One small key is read, within a time that bounds how long an
        edit may stay unseen.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * REREAD_SECONDS)
            before = self.holder.generation
            try:
                await self._catch_up()
            except (BergamotmastError, TimeoutError) as error:
                logger.info("configuration re-read: %s", error or "no answer")
                continue
            if self.holder.generation > before and self._watch_scope is not None:
                logger.warning("the configuration watch missed a change")
                self._watch_scope.reschedule(_now())

    async def _catch_up(self) -> int:
        """Take the service's document if newer; return the revision it was read at."""
        async with asyncio.timeout(CALL_SECONDS):
            found = await self.kv.range(MARK_KEY)
            if found.items and found.items[0].value == mark(self.holder.document):
                return found.revision
            stored = await self.store.read()
        self._take(stored.document)
        if stored.document != self.holder.document:
            await self._put_back()
        return found.revision

    async def _put_back(self) -> None:
        if not (self.puts_back and self.holder.document):
            return
        # Every process sees the older document at the same moment; the random pause
        # lets one of them write and the others find that it is done.
        await asyncio.sleep(self.rng.uniform(0, 1.0))
        nonce = f"{self.rng.getrandbits(64):016x}"
        try:
            async with asyncio.timeout(CALL_SECONDS):
                changed = await self.store.put_back(
                    self.holder.document, f"process {self.holder.process}", nonce
                )
        except (BergamotmastError, TimeoutError) as error:
            logger.warning("configuration not put back: %s", error or "no answer")
            return
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

    def _next_alive_by(self) -> float:
        self.alive_by = _now() + SILENCE_SECONDS
        return self.alive_by


def _most_pause(failures: int) -> float:
    doublings = min(failures, 8)
    return min(MOST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2.0**doublings)


def _now() -> float:
    return asyncio.get_running_loop().time()
