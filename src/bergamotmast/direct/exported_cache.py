"""A prompt's KV cache between the engine that read it and the one that takes it."""

from __future__ import annotations

import asyncio
import logging

from ..errors import NotReachedError
from ..errors import ReplyLostError
from .context import Context

logger = logging.getLogger(__name__)

RELEASE_SECONDS = 1.0
"""Time to free an exported KV cache that nobody takes; it lapses by itself later."""


class ExportedCache:
    """One request's exported KV cache, if there is one.

    :param source: its name for other engines; empty where no engine may take it.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.source = ""

    def __bool__(self) -> bool:
        """Return whether an engine may take it."""
        return bool(self.source)

    def taken(self) -> None:
        """Note that an engine has it, which frees it where it was."""
        self.source = ""

    def release(self) -> None:
        """Free it if no engine will take it any more."""
        source, self.source = self.source, ""
        if source:
            self.context.spawn(self._free(source))

    async def _free(self, source: str) -> None:
        address, _, handle = source.partition("/")
        method, target = self.context.dialect.release_target(handle)
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                async with self.context.client.send(
                    address, method, target, (), b"", fresh=False
                ) as reply:
                    await reply.read()
        except (NotReachedError, ReplyLostError, TimeoutError) as error:
            logger.info("a KV cache was not freed", extra={"error": str(error)})
