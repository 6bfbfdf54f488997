"""Listens for callers and probes, and stops in steps that cut nothing off."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from aiohttp import web

BACKLOG = 1024
"""Connections waiting to be taken; an overflow costs a caller seconds."""

TURNS_TO_HANDLER = 5
"""Turns of the event loop within which a request that was read is with its handler;
the library takes three."""

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
        """Take no connection and no request any more; requests at work go on."""
        if self.site is not None:
            await self.site.stop()
            self.site = None
        await self.close_idle()

    async def close_idle(self) -> None:
        """Close the connections on which no request is at work.

        An idle connection that stayed open could bring a request just before the
        process ends, which would then be cut off after it was read. Closed now, while
        it is idle, its caller knows that a request under way was never read.

        A connection without a handler is not yet idle: its request may have been read
        a moment ago. Closed then, the request would be sent to an upstream and cut off
        there. So nothing is read any more first, and what was read reaches its handler.
        """
        quiet = self._without_handler()
        for transport in quiet.values():
            transport.pause_reading()
        for _ in range(TURNS_TO_HANDLER):
            await asyncio.sleep(0)
        idle = self._without_handler()
        for connection, transport in quiet.items():
            if connection in idle:
                transport.close()
            elif not transport.is_closing():
                transport.resume_reading()

    def _without_handler(self) -> dict[asyncio.BaseProtocol, asyncio.Transport]:
        """Return the open connections whose request, if any, has no handler yet."""
        return {
            connection: connection.transport
            for connection in self.server.connections
            if connection not in self.busy
            and connection.transport is not None
            and not connection.transport.is_closing()
        }

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer has still to go out.

        The last bytes of an answer to a caller that reads slowly are with the event
        loop after its handler is done, and would be lost with the process.
        """
        return any(
            connection.transport is not None
            and connection.transport.get_write_buffer_size() > 0
            for connection in self.server.connections
        )

    async def close(self) -> None:
        """Close everything."""
        await self.runner.cleanup()
