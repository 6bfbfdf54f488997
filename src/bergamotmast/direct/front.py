"""The caller interface of a direct entry over HTTP."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct

import yarl
from aiohttp import HttpVersion11
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from .caller import CallerRequest
from .core import DirectCore
from .ports import Headers

logger = logging.getLogger(__name__)

HEADER_BYTES = 32_768
"""Longest line and header read; the operators' limit is below it."""

IDLE_SECONDS = 75.0
"""How long an idle caller's connection is kept, above the operators' limits."""

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Linger for no time: what is not sent is dropped, and the other end is told."""

ROOT = yarl.URL("/")

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Tells a caller to send its body."""


class HttpCallerBody:
    """A :class:`~bergamotmast.direct.caller.CallerBody`."""

    def __init__(self, request: web.BaseRequest) -> None:
        self.request = request

    async def read(self, most: int) -> bytes | None:
        """Return the whole body; ``None`` once it is longer than the limit."""
        if (self.request.content_length or 0) > most:
            return None
        await self._ask_for_it()
        body = bytearray()
        while part := await self.request.content.readany():
            body += part
            if len(body) > most:
                return None
        return bytes(body)

    async def _ask_for_it(self) -> None:
        """Tell a caller to send its body if it waits to be told, as HTTP allows."""
        expected = self.request.headers.get("Expect", "").lower()
        if expected == "100-continue" and self.request.version >= HttpVersion11:
            writer = self.request.writer
            await writer.write(CONTINUE)
            # The library takes whatever was written for the beginning of the answer.
            writer.output_size = 0


class HttpCallerReply:
    """A :class:`~bergamotmast.direct.caller.CallerReply`."""

    def __init__(self, request: web.BaseRequest, core: DirectCore) -> None:
        self.request = request
        self.core = core
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether status and headers are on their way."""
        return self.response is not None

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        response = self._new(status, headers)
        response.content_length = len(body)
        await response.prepare(self.request)
        self.response = response
        await response.write_eof(body)

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of a stream."""
        self.response = self._new(status, headers)
        if self._has_chunks:
            self.response.enable_chunked_encoding()
        await self.response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End a stream as complete."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection so that a stream does not pass for complete.

        In chunks, it lacks the one that would end it. Without, the end of the
        connection ends it, and only a reset tells that something is missing.
        """
        transport = self.request.transport
        if transport is None:
            return
        if self._has_chunks:
            transport.close()
        else:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            transport.abort()

    @property
    def _has_chunks(self) -> bool:
        return bool(self.request.version == HttpVersion11)

    def _new(self, status: int, headers: Headers) -> web.StreamResponse:
        response = web.StreamResponse(status=status)
        for name, value in headers:
            response.headers.add(name, value)
        if self.core.stopping or not self.request.content.is_eof():
            # Where the rest of a body may still come, no next request can be told.
            response.force_close()
        return response


class DirectFront:
    """Translates between HTTP and a direct entry.

    :param busy: connections on which a request is at work.
    :param ending: whether each connection is closed after the answer under way, also
        one whose answer began before anyone knew of the end.
    """

    def __init__(self, core: DirectCore) -> None:
        self.core = core
        self.busy: set[asyncio.BaseProtocol] = set()
        self.ending = False

    def callers(self) -> web.Server:
        """Return the server that takes callers in."""
        return web.Server(
            self._handle,
            request_factory=_new_request,
            handler_cancellation=True,
            keepalive_timeout=IDLE_SECONDS,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
            auto_decompress=False,
            access_log=None,
        )

    def probes(self) -> web.Server:
        """Return the server that says whether this entry is ready."""
        return web.Server(self._ready, request_factory=_new_request, access_log=None)

    async def _ready(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self.core.context.dialect.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.core.is_ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        self.busy.add(connection)
        try:
            response = await self._answer(request)
            if self.ending and not _has_next(connection):
                response.force_close()
            return response
        finally:
            self.busy.discard(connection)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        reply = HttpCallerReply(request, self.core)
        received = CallerRequest(
            method=request.method,
            target=request.raw_path,
            host=request.headers.get("Host", ""),
            headers=request.headers,
            items=tuple(request.headers.items()),
            body=HttpCallerBody(request),
            arrived_at=asyncio.get_running_loop().time(),
        )
        await self.core.handle(received, reply)
        assert reply.response is not None
        return reply.response


def _has_next(connection: RequestHandler) -> bool:
    """Return whether a request has been read behind the one that is being answered.

    Closed without having said so, its caller would not know that it was not run; its
    own answer says that the connection closes.
    """
    return bool(connection._messages)


def _new_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    if message.url.absolute:
        # The library fails on a host that is none before any handler has the request,
        # which would then have no answer. The target is read as it was sent.
        message = message._replace(url=ROOT)
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
    )
