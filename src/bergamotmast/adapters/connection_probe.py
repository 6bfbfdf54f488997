"""Probe that tells whether a process still listens on an upstream's address."""

from __future__ import annotations

import asyncio

CONNECT_TIMEOUT_SECONDS = 0.4
"""Timeout for opening a connection. An instance without power does not reply."""


class TcpConnectionProbe:
    """Implements :class:`~bergamotmast.direct.ports.ConnectionProbe`."""

    async def is_refused(self, address: str) -> bool:
        """Return whether an address refuses connections."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The last two are of an address that can't be one.
            return False
        writer.transport.abort()
        return False
