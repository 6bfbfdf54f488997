"""Watching keys while watches fail."""

from __future__ import annotations

import asyncio
import random

import pytest

from bergamotmast.backoff import MAX_DELAY_SECONDS
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.key_watch import watch_keys
from bergamotmast.ports import RangeResult


class FailingWatches:
    """Key-value service whose reads succeed and whose watches fail at once."""

    def __init__(self) -> None:
        self.reads = 0

    async def range(self, prefix):
        self.reads += 1
        return RangeResult((), 1)

    async def watch(self, prefix, from_revision):
        raise KeyValueUnavailableError("no watch")
        yield None


@pytest.mark.looptime
async def test_failing_watches_are_retried_with_growing_delays():
    """Each range read succeeds, but the delays between reads must still grow."""
    kv = FailingWatches()
    seconds = 60.0
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(seconds):
            async for _ in watch_keys(kv, "p", random.Random(1)):
                pass
    # Delays are drawn from zero to a bound, which is lower for the first five.
    assert kv.reads <= 2 * (5 + 2 * seconds / MAX_DELAY_SECONDS)
