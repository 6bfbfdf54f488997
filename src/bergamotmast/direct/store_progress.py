"""How far an entry has applied the changes of the store, and reads that tell how far
the store is.
"""

from __future__ import annotations

import asyncio
import logging
import math

from ..errors import PortError
from ..ports import KeyValueService
from ..ports import RangeResult

logger = logging.getLogger(__name__)

PAUSE_SECONDS = 0.05
"""Minimum time between two reads, which all that wait for one share: callers may ask
for any number of streams that never were."""


class AppliedRevision:
    """The revision of the store up to which an entry has applied all changes.

    :param revision: 0 before the first read.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.advanced = asyncio.Event()

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision are applied."""
        if revision > self.revision:
            self.revision = revision
            self.advanced.set()
            self.advanced.clear()

    async def reached(self, revision: int) -> None:
        """Wait until all changes up to a revision are applied."""
        while self.revision < revision:
            await self.advanced.wait()


class SharedRead:
    """Reads of a key, each shared by all that ask before it begins.

    :param pending: a read that has not begun yet; ``None`` if there is none.
    :param next_read_at: when the next read may begin; a point in time.
    """

    def __init__(self, kv: KeyValueService, key: str) -> None:
        self.kv = kv
        self.key = key
        self.pending: asyncio.Task[RangeResult | None] | None = None
        self.next_read_at = -math.inf

    async def read(self) -> RangeResult | None:
        """Return what a read finds that began after this was called.

        ``None`` if the store can't be read.
        """
        if self.pending is None:
            self.pending = asyncio.ensure_future(self._read())
        return await asyncio.shield(self.pending)

    async def _read(self) -> RangeResult | None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.next_read_at - loop.time())
        self.next_read_at = loop.time() + PAUSE_SECONDS
        # Whoever asks from here on needs a later read.
        self.pending = None
        try:
            return await self.kv.range(self.key)
        except PortError as error:
            logger.info("builds cannot be read", extra={"error": error.message})
            return None


class CatchUp:
    """Implements :class:`~bergamotmast.direct.only_build.StoreCatchUp`."""

    def __init__(self, reads: SharedRead, applied: AppliedRevision) -> None:
        self.reads = reads
        self.applied = applied

    async def catch_up(self) -> bool:
        """Wait until all that the store has accepted by now is applied."""
        result = await self.reads.read()
        if result is None:
            return False
        await self.applied.reached(result.revision)
        return True
