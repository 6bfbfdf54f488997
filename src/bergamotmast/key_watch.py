"""Follows the keys below a prefix through lost, silent and compacted watches."""

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

SILENCE_SECONDS = 6.0
"""Without an event or a sign of life for so long, a watch is taken for lost."""

CALL_SECONDS = 3.0
"""Longest wait for the read that precedes a watch."""

logger = logging.getLogger(__name__)


async def follow(
    kv: KeyValueService, prefix: str, rng: random.Random
) -> cabc.AsyncGenerator[KeyValue | WatchEvent, None]:
    """Yield every key below a prefix, then its changes, for ever.

    After each loss of the watch all keys are read and yielded again, so a consumer
    sees some of them twice and must take each by its own number. Nothing is yielded
    while the service is down.

    A watch may stop without an error, behind a connection that died half-way: the
    consumer would act on an old value for ever. The service sends signs of life, so
    their absence tells, and reading again makes good whatever was missed.

    :param rng: source of the jitter between attempts.
    """
    backoff = Backoff(rng)
    while True:
        try:
            async with asyncio.timeout(CALL_SECONDS):
                found = await kv.range(prefix)
            for item in found.items:
                yield item
            async with contextlib.aclosing(
                kv.watch(prefix, found.revision + 1)
            ) as stream:
                while True:
                    async with asyncio.timeout(SILENCE_SECONDS):
                        event = await anext(stream)
                    backoff.reset()
                    if event is not None:
                        yield event
        except (PortError, TimeoutError, StopAsyncIteration) as error:
            logger.info("watch of %s lost: %r", prefix, error)
        await asyncio.sleep(backoff.next_delay())
