"""Following keys through watches that fail."""

from __future__ import annotations

import asyncio
import random

import pytest

from bergamotmast.backoff import LONGEST_DELAY_SECONDS
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.key_watch import follow
from bergamotmast.ports import RangeResult


class NeverWatches:
    """A key-value service that reads and whose watches end at once."""

    def __init__(self) -> None:
        self.readings = 0

    async def range(self, prefix):
        self.readings += 1
        return RangeResult((), 1)

    async def watch(self, prefix, from_revision):
        raise KeyValueUnavailableError("no watch")
        yield None


@pytest.mark.looptime
async def test_service_that_does_not_watch_is_not_read_without_a_pause():
    """Each reading succeeds: the pauses between them must still grow."""
    kv = NeverWatches()
    seconds = 60.0
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(seconds):
            async for _ in follow(kv, "p", random.Random(1)):
                pass
    # A pause is drawn from zero to its longest, and the first five are shorter.
    assert kv.readings <= 2 * (5 + 2 * seconds / LONGEST_DELAY_SECONDS)
