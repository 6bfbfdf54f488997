"""HTTP frontend of a direct entry, on aiohttp's low-level server."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import socket
import struct

import yarl
from aiohttp import ClientConnectionResetError
from aiohttp import HttpVersion11
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from ..callers.connection import check_room
from ..policy.caller_memory import SMALL_BODY_BYTES
from ..policy.connection_admission import ConnectionAdmission
from .caller import CallerRequest
from .core import DirectCore
from .ports import Headers

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 32_768
"""Maximum length of a line or header in bytes; above the configurable limits."""

KEEPALIVE_SECONDS = 75.0
"""Keep-alive timeout of idle connections; above the configurable limits."""

READ_BUFFER_BYTES = 32_768
"""Part of a body that is held before a handler reads it."""

LINGERING_SECONDS = 2.0
"""How long the rest of a refused request is read and dropped, so that its caller reads
the refusal."""

CLOSING_SECONDS = 5.0
"""How long a handler waits for the end of a caller's connection that is closing."""

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` of zero seconds: closing drops unsent data and sends a reset."""

ROOT = yarl.URL("/")

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim response that asks a caller to send the body."""


class HttpCallerBody:
    """A :class:`~bergamotmast.direct.caller.CallerBody` of an aiohttp request."""

    def __init__(self, request: web.BaseRequest) -> None:
        self.request = request

    @property
    def may_be_large(self) -> bool:
        """Whether the rest of the body may take more memory than a small request."""
        length = self.request.content_length
        is_small = length is not None and length <= SMALL_BODY_BYTES
        return not is_small and not self.request.content.is_eof()

    async def read(self, max_bytes: int) -> bytes | None:
        """Return the whole body, or ``None`` if it is longer than the limit.

        :raises RequestError: if there is no memory for it.
        """
        check_room(self.request)
        if (self.request.content_length or 0) > max_bytes:
            return None
        await self._send_continue()
        body = bytearray()
        while part := await self.request.content.readany():
            body += part
            if len(body) > max_bytes:
                return None
        return bytes(body)

    async def _send_continue(self) -> None:
        """Send ``100 Continue`` if the caller waits for it before sending the body."""
        expected = self.request.headers.get("Expect", "").lower()
        if expected == "100-continue" and self.request.version >= HttpVersion11:
            writer = self.request.writer
            await writer.write(CONTINUE)
            # The library would count these bytes as the start of the final response.
            writer.output_size = 0


@contextlib.asynccontextmanager
async def _until_caller_has_left() -> cabc.AsyncIterator[None]:
    """Wait to be cancelled if the caller's connection is closing.

    The library's error for a write to it is the one for a lost connection to an
    upstream. It cancels the handler once the connection is closed.

    :raises CancelledError: if it has not done so in :data:`CLOSING_SECONDS`.
    """
    try:
        yield
    except ClientConnectionResetError:
        await asyncio.sleep(CLOSING_SECONDS)
        raise asyncio.CancelledError from None


class HttpCallerReply:
    """A :class:`~bergamotmast.direct.caller.CallerReply` to an aiohttp request."""

    def __init__(self, request: web.BaseRequest, core: DirectCore) -> None:
        self.request = request
        self.core = core
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""
        return self.response is not None

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        response = self._new_response(status, headers)
        response.content_length = len(body)
        async with _until_caller_has_left():
            await response.prepare(self.request)
            self.response = response
            await response.write_eof(body)

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of a streamed response."""
        self.response = self._new_response(status, headers)
        if self._has_chunks:
            self.response.enable_chunked_encoding()
        async with _until_caller_has_left():
            await self.response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Send part of a streamed response."""
        assert self.response is not None
        async with _until_caller_has_left():
            await self.response.write(data)

    async def finish(self) -> None:
        """End a streamed response normally."""
        assert self.response is not None
        async with _until_caller_has_left():
            await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection so that the caller sees the response as truncated.

        With chunked encoding, the last chunk is missing. Without it, a normal close
        would mark the end of the body, so the connection is reset.
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

    def _new_response(self, status: int, headers: Headers) -> web.StreamResponse:
        response = web.StreamResponse(status=status)
        for name, value in headers:
            response.headers.add(name, value)
        if self.core.stopping or not self.request.content.is_eof():
            # The rest of an unread body could be mistaken for the next request.
            response.force_close()
        return response


class DirectHttpFrontend:
    """Translates between HTTP and the core of a direct entry.

    :param admission: which new connections are served.
    :param busy: connections with a running request.
    :param shutting_down: whether each connection is closed after its current response,
        also if that response started before the shutdown.
    """

    def __init__(self, core: DirectCore) -> None:
        self.core = core
        self.admission = ConnectionAdmission()
        self.busy: set[asyncio.BaseProtocol] = set()
        self.shutting_down = False

    def callers(self) -> web.Server:
        """Return the server for callers' requests."""
        return web.Server(
            self._handle,
            request_factory=_new_request,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGERING_SECONDS,
            auto_decompress=False,
            access_log=None,
        )

    def probes(self) -> web.Server:
        """Return the server for readiness probes."""
        return web.Server(
            self._ready,
            request_factory=_new_request,
            read_bufsize=READ_BUFFER_BYTES,
            access_log=None,
        )

    async def _ready(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self.core.context.dialect.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.core.is_ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        self.busy.add(connection)
        self.admission.under_way.add(connection)
        try:
            response = await self._respond(request)
            if self.shutting_down and not _has_pipelined_request(connection):
                response.force_close()
            return response
        finally:
            self.busy.discard(connection)
            self.admission.under_way.discard(connection)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        reply = HttpCallerReply(request, self.core)
        received = CallerRequest(
            method=request.method,
            target=request.raw_path,
            host=request.headers.get("Host", ""),
            headers=request.headers,
            items=tuple(request.headers.items()),
            body=HttpCallerBody(request),
            arrived_at=asyncio.get_running_loop().time(),
            caller=request.remote or "",
        )
        await self.core.handle(received, reply)
        assert reply.response is not None
        return reply.response


def _has_pipelined_request(connection: RequestHandler) -> bool:
    """Return whether another request has already been received on the connection.

    If the connection were closed without ``Connection: close`` in a response, the
    caller could not tell whether that request was run. It is answered first, and its
    response carries the header.
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
        # On an invalid host, the library fails before it calls a handler, and the
        # request would get no response. The target is read from the raw path instead.
        message = message._replace(url=ROOT)
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
    )
