"""Callers' connections that know whether a request is on its way to its handler.

The HTTP library tells of a request once its head is whole. A connection that is closed
within a head is no idle one to its caller, who can't know whether it was read.
"""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

HEAD_SECONDS = 0.5
"""Within which a caller sends the rest of a head that it has begun. A caller that sends
byte by byte must not keep its connection, and the process, for longer."""


class Connection(RequestHandler):
    """One caller's connection.

    :param received: how often bytes have come.
    :param head_until: by when the head must be whole of which a part has come; a point
        in time, ``None`` outside a head.
    """

    __slots__ = ("head_until", "received")

    def __init__(self, manager: web.Server, **options: t.Any) -> None:
        super().__init__(manager, **options)
        self.received = 0
        self.head_until: float | None = None

    def data_received(self, data: bytes) -> None:
        """Take bytes, and note whether they begin a head without ending it."""
        super().data_received(data)
        self.received += 1
        waits_for_head = self._waiter is not None and not self._waiter.done()
        if not waits_for_head:
            self.head_until = None
        elif self.head_until is None:
            self.head_until = asyncio.get_running_loop().time() + HEAD_SECONDS

    def is_within_head(self, now: float) -> bool:
        """Return whether the rest of a head may still come in time."""
        return self.head_until is not None and now < self.head_until


class ConnectionServer(web.Server):
    """A server whose connections are :class:`Connection`.

    :param server: tells how requests are handled.
    """

    def __init__(self, server: web.Server) -> None:
        super().__init__(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )

    def __call__(self) -> Connection:
        """Return the protocol of a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)


class ConnectionServerRunner(web.ServerRunner):
    """Runs a server with :class:`Connection`."""

    async def _make_server(self) -> ConnectionServer:
        return ConnectionServer(await super()._make_server())


class ConnectionAppRunner(web.AppRunner):
    """Runs an application with :class:`Connection`."""

    async def _make_server(self) -> ConnectionServer:
        return ConnectionServer(await super()._make_server())
