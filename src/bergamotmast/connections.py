"""HTTP connections that track whether request headers are partly received.

The HTTP library calls a handler only after the complete headers have arrived. If a
connection is closed before that, the caller doesn't consider it idle, and can't know
whether its request was read.
"""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

HEADER_TIMEOUT_SECONDS = 0.5
"""Time for the rest of partly received headers during a shutdown. A caller that sends
byte by byte must not delay the end of the process for longer."""


class Connection(RequestHandler):
    """Connection of one caller.

    :param receive_count: number of times that data was received.
    :param header_deadline: deadline for the rest of partly received headers, seconds on
        the event loop's clock; ``None`` if no headers are being received.
    """

    __slots__ = ("header_deadline", "receive_count")

    def __init__(self, manager: web.Server, **options: t.Any) -> None:
        super().__init__(manager, **options)
        self.receive_count = 0
        self.header_deadline: float | None = None

    def data_received(self, data: bytes) -> None:
        """Process received data; start the deadline of headers that are incomplete."""
        super().data_received(data)
        self.receive_count += 1
        # The request handler's waiter is pending until complete headers are parsed.
        awaits_headers = self._waiter is not None and not self._waiter.done()
        if not awaits_headers:
            self.header_deadline = None
        elif self.header_deadline is None:
            self.header_deadline = (
                asyncio.get_running_loop().time() + HEADER_TIMEOUT_SECONDS
            )

    def is_receiving_headers(self, now: float) -> bool:
        """Return whether partly received headers may still be completed in time."""
        return self.header_deadline is not None and now < self.header_deadline


class ConnectionServer(web.Server):
    """Server whose connections are :class:`Connection`.

    :param server: server whose handler and options are taken over.
    """

    def __init__(self, server: web.Server) -> None:
        super().__init__(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )

    def __call__(self) -> Connection:
        """Return the protocol instance for a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)


class ConnectionServerRunner(web.ServerRunner):
    """Runner of a low-level server with :class:`Connection`."""

    async def _make_server(self) -> ConnectionServer:
        return ConnectionServer(await super()._make_server())


class ConnectionAppRunner(web.AppRunner):
    """Runner of an application with :class:`Connection`."""

    async def _make_server(self) -> ConnectionServer:
        return ConnectionServer(await super()._make_server())
