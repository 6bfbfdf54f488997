"""A small HTTP/1.1 server and client for stand-ins, on the standard library alone."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response; names of headers are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def words(self) -> list[str]:
        return self.first.split(" ", 2)

    @property
    def status(self) -> int:
        return int(self.words[1])


class BrokenOff(Exception):
    """The channel ended before the message was complete."""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; ``None`` if the channel ended before."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenOff("in a head") from None
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {n.lower(): v.strip() for n, _, v in pairs})


async def read_chunks(reader: asyncio.StreamReader, message: Message):
    """Yield the parts of a body as they arrive."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                yield await reader.readexactly(size)
                await reader.readexactly(2)
            while (await reader.readline()).strip():
                pass
        elif length := int(message.headers.get("content-length", "0")):
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise BrokenOff(f"in a body: {error}") from None


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; ``None`` if the channel ended before it began."""
    message = await read_head(reader)
    if message is not None:
        message.body = b"".join([part async for part in read_chunks(reader, message)])
    return message


class Server:
    """Serves channels one request after the other by :meth:`answer`."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self):
        await self.listen(0)
        return self

    async def listen(self, port: int) -> None:
        self.server = await asyncio.start_server(
            self._connected, "127.0.0.1", port, backlog=512
        )
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def __aexit__(self, *error: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Close the address and all channels."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the answer's bytes, or ``None`` if the channel is to be closed."""
        raise NotImplementedError

    async def _connected(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            # The loop ends, and cancels channels, once a case has its result.
            with contextlib.suppress(
                ConnectionError, BrokenOff, asyncio.CancelledError
            ):
                while (message := await read_message(reader)) is not None:
                    answering = asyncio.ensure_future(self.answer(message, writer))
                    leaving = asyncio.ensure_future(_until_closed(reader))
                    await asyncio.wait(
                        {answering, leaving}, return_when=asyncio.FIRST_COMPLETED
                    )
                    leaving.cancel()
                    if not answering.done():
                        answering.cancel()
                        await asyncio.gather(answering, return_exceptions=True)
                        break
                    data = await answering
                    if data is None:
                        break
                    writer.write(data)
                    await writer.drain()
        finally:
            self.writers.discard(writer)
            writer.close()


async def _until_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.005)


def response(status: int, body: bytes = b"", *lines: str) -> bytes:
    """Return a whole response with a length."""
    head = [f"HTTP/1.1 {status} Word", *lines, f"Content-Length: {len(body)}"]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
