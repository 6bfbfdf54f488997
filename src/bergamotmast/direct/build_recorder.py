"""Writes the record of the builds of each group to the store.

The record is compared with what it should be whenever either changes, so that a write
that was lost, refused, carried out late or undone by a restore is made up for.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random

from ..backoff import Backoff
from ..errors import PortError
from ..policy.entry_ranking import first_entries
from ..policy.entry_ranking import stable_hash
from ..ports import Compare
from ..ports import KeyValueService
from ..ports import Put
from .build_history import BUILDS_KEY
from .build_history import BuildHistory
from .build_history import Builds
from .build_history import encode

logger = logging.getLogger(__name__)

CHECK_SECONDS = 5.0
"""Interval between two checks for builds that no longer have streams."""

STANDBY_SECONDS = 1.0
"""How long the other entries leave the write to the first one."""

MAX_RETRY_DELAY_SECONDS = 2.0
"""Maximum delay between two attempts while the store is unavailable."""


class BuildRecorder:
    """Keeps the record up to date.

    :param groups: returns the groups whose streams can be resumed.
    :param entries: returns the keys of all entries, this one's included.
    """

    def __init__(
        self,
        kv: KeyValueService,
        history: BuildHistory,
        own_entry: str,
        groups: cabc.Callable[[], cabc.Iterable[str]],
        entries: cabc.Callable[[], cabc.Iterable[str]],
        rng: random.Random,
    ) -> None:
        self.kv = kv
        self.history = history
        self.own_entry = own_entry
        self.groups = groups
        self.entries = entries
        self.backoff = Backoff(rng, initial=0.1, maximum=MAX_RETRY_DELAY_SECONDS)

    async def run(self) -> None:
        """Write the record whenever it has to change, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._seconds_to_check()):
                    await self.history.changed.wait()
            self.history.changed.clear()
            record = self.history.pending(self.groups())
            if record is not None and not self._writes_at_once():
                await asyncio.sleep(STANDBY_SECONDS)
                record = self.history.pending(self.groups())
            while record is not None:
                await self._write(*record)
                record = self.history.pending(self.groups())

    def _seconds_to_check(self) -> float:
        """Return after how long the record is compared without a change."""
        return min(CHECK_SECONDS, self.history.check_at - self.history.clock())

    def _writes_at_once(self) -> bool:
        """Return whether this entry doesn't leave the write to another one.

        Streams at a build that the record doesn't name must not wait for it.
        """
        return self.history.has_unrecorded_streams or self._is_first()

    def _is_first(self) -> bool:
        """Return whether this entry writes before the others."""
        return first_entries(1, self.entries(), stable_hash(BUILDS_KEY)) == [
            self.own_entry
        ]

    async def _write(self, builds: Builds, era: int) -> None:
        compares = [Compare(BUILDS_KEY, self.history.revision)]
        put = Put(BUILDS_KEY, encode(builds, era))
        try:
            result = await self.kv.txn(compares, [put])
        except PortError as error:
            logger.info("builds are not recorded", extra={"error": error.message})
            await asyncio.sleep(self.backoff.next_delay())
            return
        if not result.succeeded:
            # Another entry has written: its record is about to be received.
            await asyncio.sleep(self.backoff.next_delay())
            return
        self.backoff.reset()
        self.history.on_written(builds, result.revision, era)
        logger.info(
            "builds are recorded",
            extra={
                "groups": {group: sorted(names) for group, names in builds.items()},
                "era": era,
                "revision": result.revision,
            },
        )
