"""How far an entry has applied the changes of the store, and reads that tell how far
the store is.
"""

from __future__ import annotations

import asyncio
import logging

from ..errors import PortError
from ..ports import KeyValueService
from ..ports import RangeResult
from .shared_call import SharedCall

logger = logging.getLogger(__name__)

PAUSE_SECONDS = 0.05
"""Minimum time between two reads."""


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
    """Reads of a key, each shared by all that ask before it begins."""

    def __init__(self, kv: KeyValueService, key: str) -> None:
        self.kv = kv
        self.key = key
        self.reads = SharedCall(self._read, lambda: PAUSE_SECONDS)

    async def read(self) -> RangeResult | None:
        """Return what a read finds that began after this was called.

        ``None`` if the store can't be read.
        """
        return await self.reads.result()

    async def _read(self) -> RangeResult | None:
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
