"""A small HTTP/1.1 server on asyncio streams, for stand-ins and callers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
import urllib.parse


@dataclasses.dataclass
class Request:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read a first line, headers and a body with a length or in chunks."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return lines[0], headers, body
            body += part[:-2]
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return a complete response; underscores in names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Word", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Serves requests until it is closed; subclasses write the answers."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Serve on a port; 0 for a free one."""
        self.server = await asyncio.start_server(
            self._connected, host, port, backlog=512, limit=1 << 20
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close the address and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        lost = (OSError, asyncio.IncompleteReadError, ValueError)
        try:
            with contextlib.suppress(*lost):
                while (message := await read_message(reader)) is not None:
                    line, headers, body = message
                    method, target, _ = line.split(" ")
                    await self.answer(Request(method, target, headers, body, writer))
                    await writer.drain()
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: Request) -> None:
        """Write the answer to one request."""
        raise NotImplementedError


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout: float = 5.0,
) -> tuple[int, dict[str, str], bytes] | None:
    """Send one request on a new connection; ``None`` without a whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return None
            return int(message[0].split(" ")[1]), message[1], message[2]
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
