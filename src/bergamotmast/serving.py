"""Listens for callers and probes, and stops in steps that cut nothing off.

A process that is to end goes through these, in order:

1. Its readiness fails, and each answer says that its connection closes, so that nobody
   sends a second request on it. Callers still come until the balancer has noticed.
2. :meth:`Listening.stop_accepting`: the address is closed, and who had connected is
   served. An entry may close connections that have been idle for long before that.
3. :meth:`Listening.stop_taking`: idle connections are closed. What has been sent on
   them by then is read and answered first.
4. :meth:`Listening.wait_until_closed`: the last answers go out.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import select
import socket
import ssl

from aiohttp import web

from .connections import Connection
from .connections import ConnectionAppRunner
from .connections import ConnectionServer
from .connections import ConnectionServerRunner

BACKLOG = 1024
"""Connections waiting to be taken; an overflow costs a caller seconds."""

ITERATIONS_TO_HANDLER = 5
"""Iterations of the event loop within which a request that was read is with its
handler; the HTTP library takes three, on Python 3.11."""

MOST_PASSES = 20
"""Passes over the idle connections; one that still brings bytes after so many brings
whole requests, which are answered."""

FIRST_REQUEST_SECONDS = 0.2
"""Within which a caller that has connected sends its first request, also over a long
way."""

HANDSHAKE_SECONDS = 1.0
"""Given to a TLS handshake that begins as the address is closed."""

CONSENT_SECONDS = 0.3
"""Given to the caller of an idle connection to answer "close notify" over TLS."""

CLOSE_SECONDS = 0.3
"""Given to handlers that are still at work when all is closed."""

EMPTY_CHECK_SECONDS = 0.05
"""Between two checks whether the last connection is closed."""


class Listening:
    """One server, or one application, at one address.

    :param busy: connections whose request is being answered.
    :param tls: certificate and key; plain HTTP if ``None``.
    """

    def __init__(
        self,
        server: web.Server | web.Application,
        address: str,
        busy: cabc.Container[asyncio.BaseProtocol] = (),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.busy = busy
        self.address = address
        self.tls = tls
        self.runner = _runner(server)
        self.sockets: list[socket.socket] = []
        self.duplicates: list[socket.socket] = []

    @property
    def server(self) -> ConnectionServer:
        """The server that has the connections, once it is started."""
        assert isinstance(self.runner.server, ConnectionServer)
        return self.runner.server

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address can't be bound.
        """
        await self.runner.setup()
        self.sockets = await _bound(self.address)
        # Duplicated now: as the address closes, no descriptor may be free.
        self.duplicates = [listening.dup() for listening in self.sockets]
        for listening in self.sockets:
            site = web.SockSite(
                self.runner, listening, backlog=BACKLOG, ssl_context=self.tls
            )
            await site.start()

    async def stop_taking(self) -> None:
        """Take no connection and no request any more; requests at work go on.

        An idle connection that stayed open could bring a request just before the
        process ends, which would then be cut off after it was read. Closed now, while
        it is idle, its caller knows that a request under way was never read.
        """
        await self.stop_accepting()
        await self._close_idle_repeatedly()
        loop = asyncio.get_running_loop()
        for connection, transport in self._without_handler().items():
            until = connection.head_until
            if until is not None:
                loop.call_at(until, self._close_within_head, connection, transport)

    async def close_long_idle(self) -> None:
        """Close the connections on which no request is at work, but for new ones.

        Who has just connected sends next, and is answered as long as this listens.
        """
        known = frozenset(self.server.connections)
        await asyncio.sleep(FIRST_REQUEST_SECONDS)
        await self._close_idle_repeatedly(known)

    async def _close_idle_repeatedly(
        self, among: cabc.Container[asyncio.BaseProtocol] | None = None
    ) -> None:
        """Close idle connections until no bytes come on those that are left."""
        for _ in range(MOST_PASSES):
            if not await self._close_idle_once(among):
                return

    async def stop_accepting(self) -> None:
        """Close the address; who connected before is served.

        Closing a listening socket resets the connections in its backlog, on which a
        request may have been sent. So the last of them are accepted here, through a
        second descriptor, which leaves microseconds between the last and the close.
        """
        loop = asyncio.get_running_loop()
        duplicates, self.duplicates = self.duplicates, []
        for listening in self.sockets:
            loop.remove_reader(listening)
        self.sockets = []
        # A connection that was accepted a moment ago would be lost with its server.
        await _iterations(ITERATIONS_TO_HANDLER)
        for site in self.runner.sites:
            await site.stop()
        accepted = [c for listening in duplicates for c in _accept_and_close(listening)]
        await asyncio.gather(*map(self._serve, accepted))

    async def _serve(self, connection: socket.socket) -> None:
        """Serve a connection that was accepted here."""
        loop = asyncio.get_running_loop()
        limit = HANDSHAKE_SECONDS if self.tls else None
        with contextlib.suppress(OSError):
            await loop.connect_accepted_socket(
                self.server, connection, ssl=self.tls, ssl_handshake_timeout=limit
            )

    async def _close_idle_once(
        self, among: cabc.Container[asyncio.BaseProtocol] | None = None
    ) -> bool:
        """Close the idle connections; return whether one of the rest brings bytes.

        A connection without a handler is not yet idle: its request may have been read
        a moment ago. Closed then, the request would be sent to an upstream and cut off
        there. So it is closed once nothing has come for long enough that what was read
        before has reached its handler. Reading goes on meanwhile: with TLS the library
        would take bytes in though it was told to pause, and they would be lost unseen.

        :param among: the connections that may be closed; all if ``None``.
        """
        await _iterations(ITERATIONS_TO_HANDLER)
        candidates = self._without_handler(among)
        received = [connection.received for connection in candidates]
        await _iterations(ITERATIONS_TO_HANDLER)
        now = asyncio.get_running_loop().time()
        bytes_come = False
        for connection, before in zip(candidates, received, strict=True):
            transport = connection.transport
            if transport is None or transport.is_closing():
                # With TLS, its socket may be closed already.
                continue
            if not self.is_idle(connection, now):
                continue
            if connection.received == before and not _has_unread(transport):
                self._close(transport)
            else:
                bytes_come = True
        return bytes_come

    def is_idle(self, connection: Connection, now: float) -> bool:
        """Return whether neither a request nor a part of a head is at work."""
        return connection not in self.busy and not connection.is_within_head(now)

    def _close_within_head(
        self, connection: Connection, transport: asyncio.Transport
    ) -> None:
        """Close a connection unless its head has become whole."""
        if connection.head_until is not None and not transport.is_closing():
            self._close(transport)

    def _close(self, transport: asyncio.Transport) -> None:
        """Close an idle connection.

        With TLS the library waits half a minute for the caller's consent, and a caller
        that does not look at its idle connections gives none: the end would wait, too.
        """
        transport.close()
        if self.tls is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(CONSENT_SECONDS, transport.abort)

    def _without_handler(
        self, among: cabc.Container[asyncio.BaseProtocol] | None = None
    ) -> dict[Connection, asyncio.Transport]:
        """Return the open connections whose request, if any, has no handler yet."""
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
        """Serve on until callers are sent elsewhere and the last answer is out.

        Readiness fails already, and answers say that their connection closes.

        :param routed_until: how long new requests are taken.
        :param end_by: when the wait for the last answer ends; both are points on the
            event loop's clock.
        :returns: whether every answer is out.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(min(routed_until, end_by) - loop.time())
        await self.stop_accepting()
        # Who connected a moment ago sends next: closed now, it would not know whether
        # its request was read.
        await asyncio.sleep(FIRST_REQUEST_SECONDS)
        await self.stop_taking()
        return await self.wait_until_closed(end_by)

    async def wait_until_closed(self, end_by: float) -> bool:
        """Wait until the last answer is out, also at a caller who reads slowly.

        A connection whose answer left it open is closed as it becomes idle.

        :param end_by: when the wait ends on the event loop's clock.
        :returns: whether all connections are closed.
        """
        loop = asyncio.get_running_loop()
        while self.server.connections and loop.time() < end_by:
            await self._close_idle_once()
            await asyncio.sleep(EMPTY_CHECK_SECONDS)
        return not self.server.connections

    async def close(self) -> None:
        """Close everything."""
        for listening in self.duplicates:
            listening.close()
        await self.runner.cleanup()


def _runner(server: web.Server | web.Application) -> web.BaseRunner:
    if isinstance(server, web.Application):
        return ConnectionAppRunner(
            server, shutdown_timeout=CLOSE_SECONDS, access_log=None
        )
    return ConnectionServerRunner(server, shutdown_timeout=CLOSE_SECONDS)


async def _iterations(count: int) -> None:
    """Let the event loop run so many iterations."""
    for _ in range(count):
        await asyncio.sleep(0)


async def _bound(address: str) -> list[socket.socket]:
    """Return listening sockets, one for each address of the host."""
    host, _, port = address.rpartition(":")
    infos = await asyncio.get_running_loop().getaddrinfo(
        host.strip("[]"), int(port), type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    found: list[socket.socket] = []
    try:
        for family, _, _, _, name in dict.fromkeys(infos):
            new = socket.create_server(name[:2], family=family, backlog=BACKLOG)
            new.setblocking(False)
            found.append(new)
    except OSError:
        for earlier in found:
            earlier.close()
        raise
    return found


def _accept_and_close(listening: socket.socket) -> list[socket.socket]:
    """Accept the connections that wait and close the listening socket."""
    accepted: list[socket.socket] = []
    with listening, contextlib.suppress(OSError):
        while True:
            connection, _ = listening.accept()
            connection.setblocking(False)
            accepted.append(connection)
    return accepted


def _has_unread(transport: asyncio.Transport) -> bool:
    """Return whether bytes, or the end, wait in a connection's receive buffer."""
    connection = transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))
