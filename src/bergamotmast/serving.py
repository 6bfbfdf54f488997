"""HTTP server for callers and probes, with a graceful shutdown.

The steps of a shutdown, in which no request is cut off:

1. The readiness probe fails, and each response has ``Connection: close``, so that no
   further request is sent on its connection. New callers connect until the load
   balancer has noticed.
2. :meth:`HttpListener.stop_accepting_connections`: the address is closed, and existing
   connections are served. An entry may close connections that have been idle for long
   before that.
3. :meth:`HttpListener.stop_accepting_requests`: idle connections are closed. Requests
   that were sent on them before are read and answered first.
4. :meth:`HttpListener.wait_until_closed`: the last responses are sent.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import select
import socket
import ssl

from aiohttp import web

from .callers.acceptor import AcceptorSite
from .callers.acceptor import ConnectionAcceptor
from .callers.connection import Connection
from .callers.guard import RECEIVE_BUFFER_BYTES
from .callers.guard import CallerGuard
from .callers.guard import ListenerLimits
from .callers.server import Admission
from .callers.server import ConnectionAppRunner
from .callers.server import ConnectionServer
from .callers.server import ConnectionServerRunner
from .callers.socket_filter import ignore_handshakes
from .telemetry import NullTelemetry

logger = logging.getLogger(__name__)

BACKLOG = 1024
"""Length of the queue of unaccepted connections. If it overflows, a caller retries its
connect after seconds."""

LOOP_ITERATIONS_TO_HANDLER = 5
"""Iterations of the event loop after which a request that was read has reached its
handler; the HTTP library needs three on Python 3.11."""

MAX_CLOSE_PASSES = 20
"""Maximum number of passes that close idle connections. A connection that still
receives data after so many passes receives complete requests, which are answered."""

FIRST_REQUEST_GRACE_SECONDS = 0.2
"""Time in which a caller sends its first request after connecting, including network
latency over long distances."""

HANDSHAKE_SECONDS = 0.05
"""Time in which a TCP handshake that has begun is completed."""

TLS_HANDSHAKE_TIMEOUT_SECONDS = 1.0
"""Timeout of a TLS handshake that begins while the address is being closed."""

CLOSE_NOTIFY_TIMEOUT_SECONDS = 0.3
"""Time for the caller of an idle TLS connection to answer ``close_notify``."""

HANDLER_SHUTDOWN_SECONDS = 0.3
"""Time for handlers that still run when everything is closed."""

CONNECTION_POLL_SECONDS = 0.05
"""Interval between checks whether the last connection is closed."""


class HttpListener:
    """HTTP server or application that listens at one address.

    :param busy: connections whose request is being handled.
    :param tls: TLS context with certificate and key; plain HTTP if ``None``.
    :param admission: which new connections to a server are served; all if ``None``.
    :param limits: limits of its connections; those of a process alone if ``None``.
    """

    def __init__(
        self,
        server: web.Server | web.Application,
        address: str,
        busy: cabc.Container[asyncio.BaseProtocol] = (),
        tls: ssl.SSLContext | None = None,
        admission: Admission | None = None,
        limits: ListenerLimits | None = None,
    ) -> None:
        self.busy = busy
        self.address = address
        self.tls = tls
        limits = limits or ListenerLimits(CallerGuard(NullTelemetry()))
        self.runner = _runner(server, limits, admission)
        self.sockets: list[socket.socket] = []
        self.acceptor: ConnectionAcceptor | None = None

    @property
    def server(self) -> ConnectionServer:
        """The server that owns the connections; available after :meth:`start`."""
        assert isinstance(self.runner.server, ConnectionServer)
        return self.runner.server

    async def start(self) -> None:
        """Bind the address and start to accept connections.

        :raises OSError: if the address can't be bound.
        """
        await self.runner.setup()
        self.sockets = await _create_sockets(self.address)
        self.acceptor = ConnectionAcceptor(self.server, self.tls)
        for listening in self.sockets:
            self.acceptor.start(listening)
        await AcceptorSite(self.runner, self.acceptor).start()

    async def stop_accepting_requests(self) -> None:
        """Stop accepting connections and requests; running requests continue.

        On an idle connection that stays open, a request could arrive just before the
        process ends, and be cut off after it was read. If the connection is closed
        while it is idle, its caller knows that a request in transit was never read.
        """
        await self.stop_accepting_connections()
        await self._close_idle_repeatedly()
        loop = asyncio.get_running_loop()
        for connection, transport in self._without_handler().items():
            until = connection.header_deadline
            if until is not None:
                loop.call_at(until, self._close_incomplete, connection, transport)

    async def close_idle_connections(self) -> None:
        """Close all idle connections except those that were opened a moment ago.

        A caller that has just connected is about to send a request, which is answered
        as long as the server listens.
        """
        known = frozenset(self.server.connections)
        await asyncio.sleep(FIRST_REQUEST_GRACE_SECONDS)
        await self._close_idle_repeatedly(known)

    async def _close_idle_repeatedly(
        self, among: cabc.Container[asyncio.BaseProtocol] | None = None
    ) -> None:
        """Close idle connections until the remaining ones receive no data."""
        for _ in range(MAX_CLOSE_PASSES):
            if not await self._close_idle_once(among):
                return

    async def stop_accepting_connections(self) -> None:
        """Close the address; existing connections are served.

        Closing a listening socket resets the connections in its backlog, on which a
        request may have been sent. The backlog is therefore accepted here, after the
        last handshake is complete: new ones are ignored, and their callers connect once
        more after a second, when the address is closed.
        """
        if self.acceptor is None or not self.sockets:
            return
        listening, self.sockets = self.sockets, []
        for each in listening:
            ignore_handshakes(each)
        await asyncio.sleep(HANDSHAKE_SECONDS)
        for site in self.runner.sites:
            await site.stop()
        await self.acceptor.wait_closed()
        accepted = [c for each in listening for c in _accept_and_close(each)]
        timeout = TLS_HANDSHAKE_TIMEOUT_SECONDS
        await asyncio.gather(*(self.acceptor.serve(c, timeout) for c in accepted))

    async def _close_idle_once(
        self, among: cabc.Container[asyncio.BaseProtocol] | None = None
    ) -> bool:
        """Close idle connections; return whether one of the rest receives data.

        A connection without a handler isn't necessarily idle: its request may have
        been read a moment ago. If it were closed, the request would still be sent to
        an upstream and be cut off there. A connection is therefore closed only after
        it has received nothing for so long that any earlier request has reached its
        handler. Reading isn't paused meanwhile: with TLS, the library would read data
        even so, and the data would be lost unnoticed.

        :param among: connections that may be closed; all if ``None``.
        """
        await _run_iterations(LOOP_ITERATIONS_TO_HANDLER)
        candidates = self._without_handler(among)
        counts = [connection.receive_count for connection in candidates]
        await _run_iterations(LOOP_ITERATIONS_TO_HANDLER)
        now = asyncio.get_running_loop().time()
        receives_data = False
        unused = 0
        for connection, before in zip(candidates, counts, strict=True):
            transport = connection.transport
            if transport is None or transport.is_closing():
                # With TLS, the socket may already be closed.
                continue
            if not self.is_idle(connection, now):
                continue
            if connection.receive_count == before and not _has_unread(transport):
                unused += not connection.receive_count
                self._close(transport)
            else:
                receives_data = True
        if unused:
            logger.info("unused connections are closed", extra={"closed": unused})
        return receives_data

    def is_idle(self, connection: Connection, now: float) -> bool:
        """Return whether no request is running and no headers are partly received."""
        return connection not in self.busy and not connection.is_receiving_headers(now)

    def _close_incomplete(
        self, connection: Connection, transport: asyncio.Transport
    ) -> None:
        """Close a connection unless its partly received headers are now complete."""
        if connection.header_deadline is not None and not transport.is_closing():
            self._close(transport)

    def _close(self, transport: asyncio.Transport) -> None:
        """Close an idle connection.

        With TLS, the library waits half a minute for the caller's ``close_notify``. A
        caller that doesn't read from its idle connections never sends it and would
        delay the shutdown, so the connection is aborted earlier.
        """
        transport.close()
        if self.tls is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_NOTIFY_TIMEOUT_SECONDS, transport.abort)

    def _without_handler(
        self, among: cabc.Container[asyncio.BaseProtocol] | None = None
    ) -> dict[Connection, asyncio.Transport]:
        """Return the open connections on which no handler is running (yet)."""
        return {
            connection: connection.transport
            for connection in self.server.connections
            if isinstance(connection, Connection)
            and connection not in self.busy
            and (among is None or connection in among)
            and connection.transport is not None
            and not connection.transport.is_closing()
        }

    async def drain(self, routed_until: float, end_by: float) -> bool:
        """Serve until callers are routed elsewhere and the last response is sent.

        The readiness probe already fails, and responses have ``Connection: close``.

        :param routed_until: time until which new requests are accepted, seconds on the
            event loop's clock.
        :param end_by: deadline of the last response, seconds on the same clock.
        :returns: whether all responses were sent.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(min(routed_until, end_by) - loop.time())
        await self.stop_accepting_connections()
        # A caller that has just connected is about to send a request. If its
        # connection were closed now, it wouldn't know whether the request was read.
        await asyncio.sleep(FIRST_REQUEST_GRACE_SECONDS)
        await self.stop_accepting_requests()
        return await self.wait_until_closed(end_by)

    async def wait_until_closed(self, end_by: float) -> bool:
        """Wait until the last response is sent, even to a caller that reads slowly.

        Connections that stay open after their response are closed once they are idle.

        :param end_by: deadline of the wait, seconds on the event loop's clock.
        :returns: whether all connections are closed.
        """
        loop = asyncio.get_running_loop()
        while self.server.connections and loop.time() < end_by:
            await self._close_idle_once()
            await asyncio.sleep(CONNECTION_POLL_SECONDS)
        return not self.server.connections

    async def close(self) -> None:
        """Close all sockets and connections."""
        if self.acceptor is not None:
            self.acceptor.close()
        for listening in self.sockets:
            listening.close()
        await self.runner.cleanup()


def _runner(
    server: web.Server | web.Application,
    limits: ListenerLimits,
    admission: Admission | None,
) -> web.BaseRunner:
    if isinstance(server, web.Application):
        return ConnectionAppRunner(
            server, limits, shutdown_timeout=HANDLER_SHUTDOWN_SECONDS, access_log=None
        )
    return ConnectionServerRunner(
        server, limits, admission, shutdown_timeout=HANDLER_SHUTDOWN_SECONDS
    )


async def _run_iterations(count: int) -> None:
    """Let the event loop run ``count`` iterations."""
    for _ in range(count):
        await asyncio.sleep(0)


async def _create_sockets(address: str) -> list[socket.socket]:
    """Return listening sockets, one for each address that the host resolves to."""
    host, _, port = address.rpartition(":")
    infos = await asyncio.get_running_loop().getaddrinfo(
        host.strip("[]"), int(port), type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    found: list[socket.socket] = []
    try:
        for family, _, _, _, name in dict.fromkeys(infos):
            new = socket.create_server(name[:2], family=family, backlog=BACKLOG)
            # Accepted connections take it over.
            new.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            new.setblocking(False)
            found.append(new)
    except OSError:
        for earlier in found:
            earlier.close()
        raise
    return found


def _accept_and_close(listening: socket.socket) -> list[socket.socket]:
    """Accept all connections in the backlog, then close the listening socket."""
    accepted: list[socket.socket] = []
    with listening, contextlib.suppress(OSError):
        while True:
            connection, _ = listening.accept()
            connection.setblocking(False)
            accepted.append(connection)
    return accepted


def _has_unread(transport: asyncio.Transport) -> bool:
    """Return whether a connection's receive buffer holds unread data or its end."""
    connection = transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))
