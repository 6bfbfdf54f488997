"""Servers whose connections are within the limits of a process."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import typing as t

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from .connection import Connection
from .guard import ListenerLimits
from .guard import Room


class Admission(t.Protocol):
    """Decides which new connections are served."""

    under_way: set[cabc.Hashable]
    """Connections whose request is awaited, or not answered yet."""

    def admit(self, now: float) -> bool:
        """Return whether a new connection is served.

        :param now: point in time, seconds on the event loop's clock.
        """


class RefusedConnection(asyncio.Protocol):
    """Connection that is closed before anything is read from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        assert isinstance(transport, asyncio.WriteTransport)
        transport.abort()


class ConnectionServer(web.Server):
    """Server whose connections are :class:`Connection`.

    :param server: server whose handler and options are taken over.
    :param admission: which new connections are served; all if ``None``.
    :param open: its open connections, the oldest first.
    """

    def __init__(
        self,
        server: web.Server,
        limits: ListenerLimits,
        admission: Admission | None = None,
    ) -> None:
        super().__init__(
            self._serve,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
        self.handler: cabc.Callable[
            [web.BaseRequest], cabc.Awaitable[web.StreamResponse]
        ] = server.request_handler
        self.limits = limits
        self.admission = admission
        self.open: dict[Connection, None] = {}

    def __call__(self) -> asyncio.Protocol:  # type: ignore[override]
        """Return the protocol instance for a new connection."""
        admission = self.admission
        if admission and not admission.admit(asyncio.get_running_loop().time()):
            return RefusedConnection()
        connection = Connection(self, self, loop=self._loop, **self._kwargs)
        if admission:
            admission.under_way.add(connection)
        return connection

    def room(self, accepted: int) -> Room:
        """Return whether there is room for a new connection.

        :param accepted: number of accepted connections that are not served yet.
        """
        guard = self.limits.guard
        most = self.limits.max_connections or guard.descriptors.callers
        if len(self.open) + accepted < most:
            return Room.FREE
        room = guard.room_in_place(self.open)
        # Those that were accepted a moment ago can't be replaced yet.
        return Room.LATER if room is Room.NONE and accepted else room

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Forget a connection that is closed."""
        super().connection_lost(handler, exc)
        if self.admission is not None:
            self.admission.under_way.discard(handler)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = t.cast(Connection, request.protocol)
        connection.begin(request.content)
        try:
            try:
                response = await self.handler(request)
            finally:
                _forget_body(request)
            if connection.refused:
                await connection.drain_refused(response)
            return response
        finally:
            connection.finish()


def _forget_body(request: web.BaseRequest) -> None:
    """Free a request's body, which would be kept after the request has ended.

    The library keeps the last request of a connection, with the body that it has
    cached. A body that was read in part stands in the frames of the error's traceback,
    which form a reference cycle with it.
    """
    request._read_bytes = None
    error = request.content.exception()
    if error is not None:
        error.__traceback__ = None


class ConnectionServerRunner(web.ServerRunner):
    """Runner of a low-level server with :class:`Connection`.

    :param admission: which new connections are served; all if ``None``.
    """

    def __init__(
        self,
        server: web.Server,
        limits: ListenerLimits,
        admission: Admission | None,
        **options: t.Any,
    ) -> None:
        super().__init__(server, **options)
        self.limits = limits
        self.admission = admission

    async def _make_server(self) -> ConnectionServer:
        server = await super()._make_server()
        return ConnectionServer(server, self.limits, self.admission)


class ConnectionAppRunner(web.AppRunner):
    """Runner of an application with :class:`Connection`."""

    def __init__(
        self, application: web.Application, limits: ListenerLimits, **options: t.Any
    ) -> None:
        super().__init__(application, **options)
        self.limits = limits

    async def _make_server(self) -> ConnectionServer:
        return ConnectionServer(await super()._make_server(), self.limits)
