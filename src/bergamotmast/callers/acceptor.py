"""Accepts connections while there is room for them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import ssl
import typing as t

from aiohttp import web

from .guard import Room
from .server import ConnectionServer

logger = logging.getLogger(__name__)

ACCEPTS_PER_ITERATION = 64
"""Connections accepted in one iteration of the event loop."""

ROOM_SECONDS = 0.02
"""Pause after which there may be room for a connection that waits in the backlog."""

RETRY_SECONDS = 0.1
"""Pause after the operating system has failed to accept a connection."""

TLS_HANDSHAKE_TIMEOUT_SECONDS = 10.0
"""Timeout of a TLS handshake."""


class ConnectionAcceptor:
    """Accepts the connections to a server's listening sockets.

    asyncio's own servers accept a whole backlog at once, and go on to try as long as no
    descriptor is free, with a traceback in the log for each attempt.

    :param sockets: listening sockets on which connections are accepted.
    :param tasks: accepted connections that are not served yet.
    """

    def __init__(self, server: ConnectionServer, tls: ssl.SSLContext | None) -> None:
        self.server = server
        self.tls = tls
        self.sockets: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, listening: socket.socket) -> None:
        """Start to accept connections."""
        self.sockets.append(listening)
        asyncio.get_running_loop().add_reader(listening, self._accept, listening)

    def close(self) -> None:
        """Stop accepting connections; the listening sockets stay open."""
        for listening in self.sockets:
            asyncio.get_running_loop().remove_reader(listening)
        self.sockets = []

    async def wait_closed(self) -> None:
        """Wait until all accepted connections are served."""
        await asyncio.gather(*self.tasks)

    async def serve(
        self,
        connection: socket.socket,
        handshake_timeout: float = TLS_HANDSHAKE_TIMEOUT_SECONDS,
    ) -> None:
        """Serve an accepted connection."""
        limit = handshake_timeout if self.tls else None
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(
                self.server, connection, ssl=self.tls, ssl_handshake_timeout=limit
            )

    def _accept(self, listening: socket.socket) -> None:
        for _ in range(ACCEPTS_PER_ITERATION):
            room = self.server.room(len(self.tasks))
            if room is Room.LATER:
                self._pause(listening, ROOM_SECONDS)
                return
            try:
                connection, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                text = str(error)
                logger.warning("no connection can be accepted", extra={"error": text})
                self._pause(listening, RETRY_SECONDS)
                return
            guard = self.server.limits.guard
            if room is Room.NONE:
                guard.on_surplus()
                connection.close()
                continue
            if room is Room.IN_PLACE:
                guard.replace_one(self.server.open)
            connection.setblocking(False)
            task = asyncio.create_task(self.serve(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _pause(self, listening: socket.socket, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        loop.call_later(seconds, self._resume, listening)

    def _resume(self, listening: socket.socket) -> None:
        if listening in self.sockets:
            asyncio.get_running_loop().add_reader(listening, self._accept, listening)


class AcceptorSite(web.BaseSite):
    """Registers an acceptor at the runner of its server."""

    def __init__(self, runner: web.BaseRunner, acceptor: ConnectionAcceptor) -> None:
        super().__init__(runner)
        self.acceptor = acceptor

    @property
    def name(self) -> str:
        """Address for log lines."""
        return str([each.getsockname() for each in self.acceptor.sockets])

    async def start(self) -> None:
        """Register the acceptor."""
        await super().start()
        self._server = t.cast(asyncio.AbstractServer, self.acceptor)
