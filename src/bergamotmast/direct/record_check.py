"""Check of the builds that the store names, for a stream that no entry knows."""

from __future__ import annotations

import asyncio
import logging
import math

from ..errors import PortError
from ..ports import KeyValueService
from ..ports import RangeResult
from .build_history import BUILDS_KEY
from .build_history import BuildHistory
from .build_history import decode

logger = logging.getLogger(__name__)

PAUSE_SECONDS = 0.05
"""Minimum time between two reads, which all that wait for one share: callers may ask
for any number of streams that never were."""


class RecordCheck:
    """Implements :class:`~bergamotmast.direct.stream_builds.OnlyBuildCheck`.

    Streams begin only at builds that the record names. An entry may learn of a change
    later than a stream begins elsewhere, so the record is read from the store after
    the stream was asked for.

    :param pending: a read that has not begun yet; ``None`` if there is none.
    :param next_read_at: when the next read may begin; a point in time.
    """

    def __init__(self, kv: KeyValueService, history: BuildHistory) -> None:
        self.kv = kv
        self.history = history
        self.pending: asyncio.Task[RangeResult | None] | None = None
        self.next_read_at = -math.inf

    async def only_build(self, group: str) -> str | None:
        """Return the build at which all unknown streams of a group have begun.

        ``None`` if there may be several, or the store can't be read.
        """
        expected = self.history.only_recorded(group)
        if expected is None:
            return None
        if self.pending is None:
            self.pending = asyncio.ensure_future(self._read())
        result = await asyncio.shield(self.pending)
        if result is None or result.era != self.history.store_era:
            return None
        records = [decode(item) for item in result.items if item.key == BUILDS_KEY]
        for builds, era in records:
            if (
                builds
                and era == result.era
                and builds.get(group) == frozenset({expected})
            ):
                # A stream may have been heard of meanwhile.
                return self.history.only_recorded(group)
        return None

    async def _read(self) -> RangeResult | None:
        """Read the record for all that wait; ``None`` if the store can't be read."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.next_read_at - loop.time())
        self.next_read_at = loop.time() + PAUSE_SECONDS
        # Whoever asks from here on needs a later read.
        self.pending = None
        try:
            return await self.kv.range(BUILDS_KEY)
        except PortError as error:
            logger.info("builds cannot be read", extra={"error": error.message})
            return None
