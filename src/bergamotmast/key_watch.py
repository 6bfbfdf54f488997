"""Watches all keys with a prefix; recovers from lost, stalled or compacted watches."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random

from .backoff import Backoff
from .errors import PortError
from .ports import KeyValue
from .ports import KeyValueService
from .ports import WatchEvent

WATCH_TIMEOUT_SECONDS = 6.0
"""A watch without an event or a keep-alive for so long is considered lost."""

CALL_TIMEOUT_SECONDS = 3.0
"""Timeout of the range read that precedes a watch."""

logger = logging.getLogger(__name__)


async def watch_keys(
    kv: KeyValueService, prefix: str, rng: random.Random
) -> cabc.AsyncGenerator[KeyValue | WatchEvent, None]:
    """Yield every key with a prefix, then its changes, indefinitely.

    After each loss of the watch all keys are read and yielded again. The consumer
    therefore sees some of them twice and must compare their revisions. Nothing is
    yielded while the service is down.

    A watch may stall without an error, for instance on a half-open connection, and the
    consumer would use a stale value indefinitely. The service sends keep-alives, so a
    stalled watch is detected by a timeout, and the range read that follows yields all
    missed changes.

    :param rng: source of the jitter between attempts.
    """
    backoff = Backoff(rng)
    while True:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                found = await kv.range(prefix)
            for item in found.items:
                yield item
            async with contextlib.aclosing(
                kv.watch(prefix, found.revision + 1)
            ) as stream:
                while True:
                    async with asyncio.timeout(WATCH_TIMEOUT_SECONDS):
                        event = await anext(stream)
                    backoff.reset()
                    if event is not None:
                        yield event
        except (PortError, TimeoutError, StopAsyncIteration) as error:
            logger.info("watch of %s lost: %r", prefix, error)
        await asyncio.sleep(backoff.next_delay())
