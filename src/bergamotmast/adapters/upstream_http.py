"""HTTP client for upstreams, which passes bodies through byte for byte."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import socket
import types
import typing as t

import aiohttp
import yarl
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from ..direct.ports import Headers
from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..policy.reply_memory import MAX_ALL_UNPARSED_BYTES
from ..policy.reply_memory import ReplyMemory
from .http_calls import Connector
from .http_calls import client_session
from .http_calls import exchange
from .response_end import ResponseEnd
from .response_protocol import ResponseProtocol

CONNECT_TIMEOUT_SECONDS = 0.4
"""Timeout for opening a connection. Zones are a few milliseconds apart; an instance
without power does not reply at all, and the request is then sent elsewhere."""

STALL_SECONDS = 0.03
"""Delay of that timeout from which the event loop counts as having stood still."""

KEEP_ALIVE_SECONDS = 4.0
"""How long an idle connection is kept; servers commonly close theirs after 5 s."""

TCP_USER_TIMEOUT_MS = 3_000
"""Time after which unacknowledged data closes a connection: otherwise an instance that
lost power or is partitioned would hold it, and its request, for many minutes."""

_SUPPRESSED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that the library would otherwise add by itself."""

MAX_REPLY_BODY_BYTES = 1 << 26
"""Maximum body of a reply that is read whole; upstreams send much shorter ones."""

MAX_BUFFERED_BYTES = 1 << 26
"""Maximum size of all bodies together that are being read whole, where no other one is
given."""

MIN_BLOCK_BYTES = 65_536
"""Size from which no further part of a body is added to a block."""

MAX_REPLY_HEADER_BYTES = 65_536
"""Maximum header line of a reply; upstreams send much shorter ones."""


class _UpstreamConnector(Connector):
    """Reuses only connections without unread data, and closes the others."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection without leftover data of an earlier request.

        An upstream may send more than one answer. The library keeps the connection and
        takes bytes that arrived while it was idle for the answer to the next request.
        The id in that answer would reveal this only after the request has run, and its
        caller would wait for it to run a second time.

        While the event loop stands still, as on a machine that is frozen, the timeout
        expires although the upstream has accepted the connection. It is then opened
        once more.
        """
        loop = asyncio.get_running_loop()
        retried = False
        while True:
            on_time_until = loop.time() + CONNECT_TIMEOUT_SECONDS + STALL_SECONDS
            try:
                connection = await super().connect(req, traces, timeout)
            except TimeoutError:
                if retried or loop.time() < on_time_until:
                    raise
                retried = True
                continue
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()


class BufferedBody:
    """A body that is being read whole.

    One block that grows would leave holes in the memory at each of its sizes.

    :param size: in bytes.
    """

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add a part that has been received."""
        if not self.blocks or len(self.blocks[-1]) >= MIN_BLOCK_BYTES:
            self.blocks.append(bytearray())
        self.blocks[-1] += part
        self.size += len(part)


class BodyBuffers:
    """Bodies of one client that are being read whole.

    :param limit: maximum size of all of them together, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.bodies: set[BufferedBody] = set()

    @contextlib.contextmanager
    def new_body(self) -> cabc.Iterator[BufferedBody]:
        """Return a context manager that yields the buffer of one more body."""
        body = BufferedBody()
        self.bodies.add(body)
        try:
            yield body
        finally:
            self.bodies.discard(body)
            # The frames of an error's traceback keep it until the error is forgotten.
            body.blocks.clear()

    def is_full_of(self, body: BufferedBody) -> bool:
        """Return whether there is too much, and a body is among the larger ones."""
        total = sum(other.size for other in self.bodies)
        return total > self.limit and body.size * len(self.bodies) >= total


class HttpReply:
    """Implements :class:`~bergamotmast.direct.ports.Reply`."""

    def __init__(self, response: aiohttp.ClientResponse, buffers: BodyBuffers) -> None:
        self.response = response
        self.buffers = buffers
        self.end = ResponseEnd(response)
        if self.end.closed is not None:
            self.end.closed.add_done_callback(self._on_closed)

    def stop_watching(self) -> None:
        """Stop watching the connection for its end, as it may be reused."""
        if self.end.closed is not None:
            self.end.closed.remove_done_callback(self._on_closed)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.response.status

    @property
    def headers(self) -> cabc.Mapping[str, str]:
        """Headers by name, case-insensitive."""
        return self.response.headers

    def header_items(self) -> Headers:
        """Return all headers in order, including repeated ones."""
        return tuple(self.response.headers.items())

    async def read(self, max_bytes: int | None = None) -> bytes:
        """Return the whole body.

        Endless bodies would exhaust memory, and the kernel would kill the process with
        all of its running requests.
        """
        limit = MAX_REPLY_BODY_BYTES if max_bytes is None else max_bytes
        with self.buffers.new_body() as body:
            async for part in self.chunks():
                body.add(part)
                if body.size > limit:
                    raise ReplyLostError(f"the reply's body exceeds {limit} bytes")
                if self.buffers.is_full_of(body):
                    raise ReplyLostError("the replies' bodies exceed the memory")
            return b"".join(body.blocks)

    def chunks(self) -> cabc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises ReplyLostError: if the body is not whole, or it can't be told.
        """
        return self.end.chunks()

    def _on_closed(self, closed: asyncio.Future[None]) -> None:
        """End a body whose connection was closed.

        On an invalid chunk the library closes the connection but does not end the body:
        its reader would wait until the deadline.
        """
        body = self.response.content
        if not body.is_eof() and body.exception() is None:
            body.set_exception(
                aiohttp.ClientPayloadError(
                    "the connection closed before the end of the body"
                )
            )


class HttpUpstreamClient:
    """Implements :class:`~bergamotmast.direct.ports.UpstreamClient`.

    :param max_buffered_bytes: maximum size of all replies together that are being read
        whole.
    :param max_unparsed_bytes: maximum size of all heads and trailers together that are
        not complete.
    """

    def __init__(
        self,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        max_unparsed_bytes: int = MAX_ALL_UNPARSED_BYTES,
    ) -> None:
        self.memory: ReplyMemory[ResponseProtocol] = ReplyMemory(max_unparsed_bytes)
        self.pooled = self._session(force_close=False)
        self.fresh = self._session(force_close=True)
        self.buffers = BodyBuffers(max_buffered_bytes)

    async def __aenter__(self) -> HttpUpstreamClient:
        """Return itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.fresh.close()

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        fresh: bool,
    ) -> cabc.AsyncIterator[HttpReply]:
        """Send a request once and yield its reply; leaving early cancels it."""
        session = self.fresh if fresh else self.pooled
        async with exchange(
            session,
            method,
            t.cast(str, _url(address, target)),
            connect=CONNECT_TIMEOUT_SECONDS,
            headers=headers,
            data=body or None,
            skip_auto_headers=_SUPPRESSED_HEADERS,
            max_line_size=MAX_REPLY_HEADER_BYTES,
            max_field_size=MAX_REPLY_HEADER_BYTES,
        ) as response:
            reply = HttpReply(response, self.buffers)
            try:
                yield reply
            finally:
                reply.stop_watching()
                if not response.content.is_eof():
                    response.close()

    def _session(self, *, force_close: bool) -> aiohttp.ClientSession:
        if force_close:
            connector = _UpstreamConnector(
                self.memory, limit=0, force_close=True, socket_factory=_new_socket
            )
        else:
            connector = _UpstreamConnector(
                self.memory,
                limit=0,
                keepalive_timeout=KEEP_ALIVE_SECONDS,
                socket_factory=_new_socket,
            )
        return client_session(connector, decompress=False)


def _url(address: str, target: str) -> yarl.URL:
    """Return the URL of a request.

    :raises NotReachedError: if the address is none; the library checks a URL that is
        taken as it is only in part, and its port as it is used.
    """
    try:
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        is_complete = bool(url.raw_host and url.port)
    except ValueError as error:
        raise NotReachedError(f"{address}: {error}") from error
    if not is_complete:
        raise NotReachedError(f"{address} is no address")
    return url


def _new_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    new_socket = socket.socket(family, kind, protocol)
    new_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return new_socket
