"""Datagrams between entries, over UDP."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

Address = tuple[str, int]


class DatagramPort(asyncio.DatagramProtocol):
    """A bound UDP port; datagrams that can't be sent at once are dropped.

    :param on_datagram: called with each datagram that arrives and its sender's
        address.
    """

    def __init__(self) -> None:
        self.on_datagram: cabc.Callable[[bytes, Address], None] | None = None
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's transport class does not derive from the documented one.
        self.transport = t.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram to the callback."""
        if self.on_datagram is not None:
            self.on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer, which is gone or has not started yet."""

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)


@contextlib.asynccontextmanager
async def datagram_port(host: str, port: int) -> cabc.AsyncIterator[DatagramPort]:
    """Return a context manager that binds a port."""
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        DatagramPort, local_addr=(host, port)
    )
    try:
        yield protocol
    finally:
        transport.close()
