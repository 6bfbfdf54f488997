"""Bounds a call by how long its engine may say nothing at all."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib

from ..errors import ReplyLostError
from ..policy.engine_book import EngineBook

CHECK_SECONDS = 0.1
"""Between two looks whether an engine is still to be heard."""


@contextlib.asynccontextmanager
async def silence_limit(book: EngineBook, since: float) -> cabc.AsyncIterator[None]:
    """Bound the body by how long an engine may say nothing at all.

    A machine that lost power, or a connection that went silent, gives no error; with
    the call's deadline as the only bound its caller would leave before the prompt is
    read anew.

    :param since: when the call was sent; a point in time.
    :raises ReplyLostError: if the engine has been silent for too long.
    """
    try:
        async with asyncio.timeout(None) as limit:
            watch = asyncio.create_task(_watch(book, since, limit))
            try:
                yield
            finally:
                watch.cancel()
    except TimeoutError:
        raise ReplyLostError("the engine is silent") from None


async def _watch(book: EngineBook, since: float, limit: asyncio.Timeout) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < book.silent_at(since, loop.time()):
        await asyncio.sleep(CHECK_SECONDS)
    limit.reschedule(loop.time())
