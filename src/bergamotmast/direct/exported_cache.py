"""Handle of a KV cache that a prefill engine exported for a decode engine."""

from __future__ import annotations

import asyncio
import logging

from ..errors import NotReachedError
from ..errors import ReplyLostError
from .context import Context
from .model import Upstream
from .ports import MAX_CONTROL_BODY_BYTES

logger = logging.getLogger(__name__)

RELEASE_SECONDS = 1.0
"""Timeout for releasing an exported KV cache; one that is not released expires."""


class ExportedCache:
    """Handle of one request's exported KV cache, if there is one.

    :param source: address that other engines import it from; empty if there is none.
    :param engine: the engine that has exported it.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.source = ""
        self.engine: Upstream | None = None

    def __bool__(self) -> bool:
        """Return whether there is a KV cache to import."""
        return bool(self.source)

    @property
    def is_available(self) -> bool:
        """Whether the engine that has exported it is not known to have started anew.

        One that has may have given the handle to another request.
        """
        if self.engine is None:
            return False
        registered = self.context.fleet.registered(self.engine.name)
        if registered is not None and registered.boot != self.engine.boot:
            return False
        return not self.context.incarnations.is_doubted(self.engine)

    @property
    def build(self) -> str:
        """Build of the engine that has exported it."""
        return self.engine.build if self.engine is not None else ""

    def on_imported(self) -> None:
        """Record that an engine has imported it, which releases it at its source."""
        self.source = ""

    def release(self) -> None:
        """Release it in the background if no engine has imported it.

        At an engine that has asked for rest, or started anew, it is left to expire.
        """
        source, self.source = self.source, ""
        resting = self.context.fleet.resting
        at_rest = self.engine is not None and resting.ends_at(self.engine) is not None
        if source and not at_rest and self.is_available:
            self.context.spawn(self._free(source))

    async def _free(self, source: str) -> None:
        address, _, handle = source.partition("/")
        method, target = self.context.dialect.release_target(handle)
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                async with self.context.client.send(
                    address, method, target, (), b"", fresh=False
                ) as reply:
                    await reply.read(MAX_CONTROL_BODY_BYTES)
        except (NotReachedError, ReplyLostError, TimeoutError) as error:
            logger.info("KV cache not released", extra={"error": str(error)})
