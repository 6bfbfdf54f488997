"""Bounds a call by how long its engine may say nothing."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib

from ..errors import ReplyLostError

CHECK_SECONDS = 0.15
"""Between two looks whether an engine is still to be heard."""


@contextlib.asynccontextmanager
async def silence_limit(
    silent_at: cabc.Callable[[], float],
) -> cabc.AsyncIterator[None]:
    """Bound the body by how long an engine may say nothing.

    A machine that lost power, or a connection that went silent, gives no error; with
    the call's deadline as the only bound its caller would leave before another engine
    has taken over.

    :param silent_at: returns when the engine must be taken for gone, as things stand;
        a point on the monotonic clock, infinity for never.
    :raises ReplyLostError: if the engine has been silent for too long.
    """
    try:
        async with asyncio.timeout(None) as limit:
            watch = asyncio.create_task(_watch(silent_at, limit))
            try:
                yield
            finally:
                watch.cancel()
    except TimeoutError:
        raise ReplyLostError("the engine is silent") from None


async def _watch(silent_at: cabc.Callable[[], float], limit: asyncio.Timeout) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < silent_at():
        await asyncio.sleep(CHECK_SECONDS)
    limit.reschedule(loop.time())
