"""Listens for callers and probes, and stops in steps that cut nothing off."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from aiohttp import web

BACKLOG = 1024
"""Connections waiting to be taken; an overflow costs a caller seconds."""

CLOSE_SECONDS = 0.3
"""Given to handlers that are still at work when all is closed."""


class Listening:
    """One server at one address.

    :param busy: connections whose request is being answered.
    """

    def __init__(
        self,
        server: web.Server,
        address: str,
        busy: cabc.Container[asyncio.BaseProtocol] = (),
    ) -> None:
        self.server = server
        self.busy = busy
        self.address = address
        self.runner = web.ServerRunner(server, shutdown_timeout=CLOSE_SECONDS)
        self.site: web.TCPSite | None = None

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address can't be bound.
        """
        host, _, port = self.address.rpartition(":")
        await self.runner.setup()
        self.site = web.TCPSite(
            self.runner, host.strip("[]"), int(port), backlog=BACKLOG
        )
        await self.site.start()

    async def stop_taking(self) -> None:
        """Take no connection and no request any more; requests at work go on.

        An idle connection that stayed open could bring a request just before the
        process ends, which would then be cut off after it was read. Closed now, while
        it is idle, its caller knows that a request under way was never read.
        """
        if self.site is not None:
            await self.site.stop()
            self.site = None
        self.server.pre_shutdown()
        # The library stops reading idle connections here but leaves them open until
        # the very end: their next request would be taken in and never looked at.
        for connection in self.server.connections:
            if connection not in self.busy and connection.transport is not None:
                connection.transport.close()

    async def close(self) -> None:
        """Close everything."""
        await self.runner.cleanup()
