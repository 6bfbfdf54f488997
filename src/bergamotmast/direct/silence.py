"""Bounds a call by how long its engine may say nothing."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging

from ..errors import ReplyLostError
from .model import Upstream
from .placing import BookKey
from .placing import Placing
from .ports import EngineCheck

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.15
"""Between two looks whether a call still has something to wait for."""

Verdict = cabc.Callable[[], cabc.Awaitable[str]]
"""Returns why a call is to end; empty while it may go on."""


@contextlib.asynccontextmanager
async def silence_limit(verdict: Verdict) -> cabc.AsyncIterator[None]:
    """End the body once a verdict says so.

    A machine that lost power, or a connection that went silent, gives no error; with
    the call's deadline as the only bound its caller would leave before another engine
    has taken over.

    :raises ReplyLostError: with the verdict's reason.
    """
    reasons: list[str] = []
    try:
        async with asyncio.timeout(None) as limit:
            watch = asyncio.create_task(_watch(verdict, limit, reasons))
            try:
                yield
            finally:
                watch.cancel()
    except TimeoutError:
        # Without a verdict it is the system that has given the connection up.
        reason = reasons[0] if reasons else "the connection timed out"
        raise ReplyLostError(reason) from None


async def _watch(verdict: Verdict, limit: asyncio.Timeout, reasons: list[str]) -> None:
    while not (reason := await verdict()):
        await asyncio.sleep(CHECK_SECONDS)
    reasons.append(reason)
    limit.reschedule(asyncio.get_running_loop().time())


class EngineChecks:
    """Asks silent engines whether they live, each at most once at a time.

    Without it every prompt that waits behind a long one is taken from an engine that
    is only busy and begun anew at the next, which is late in turn.

    :param check: how to ask; where there is none, a silent engine is taken for gone.
    """

    def __init__(self, placing: Placing, check: EngineCheck | None = None) -> None:
        self.placing = placing
        self.check = check
        self.asking: dict[BookKey, asyncio.Task[bool]] = {}

    async def lives(self, engine: Upstream) -> bool:
        """Return whether an engine answers when it is asked."""
        if self.check is None:
            return False
        key = (engine.name, engine.boot)
        task = self.asking.get(key)
        if task is None:
            task = asyncio.create_task(self._ask(self.check, engine))
            self.asking[key] = task
            task.add_done_callback(lambda _: self.asking.pop(key, None))
        # Others wait for the same answer: a caller that leaves must not end it.
        return await asyncio.shield(task)

    async def _ask(self, check: EngineCheck, engine: Upstream) -> bool:
        loop = asyncio.get_running_loop()
        began = loop.time()
        lives = await check.answers(engine)
        if lives:
            self.placing.engine_load(engine).last_reply_at = loop.time()
        ms = round((loop.time() - began) * 1e3, 1)
        logger.info(
            "silent engine is asked",
            extra={"upstream": engine.name, "lives": lives, "ms": ms},
        )
        return lives
