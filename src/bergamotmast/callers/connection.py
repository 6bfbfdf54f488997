"""HTTP connections of callers.

The HTTP library calls a handler only after the complete headers have arrived. If a
connection is closed before that, the caller doesn't consider it idle, and can't know
whether its request was read: connections track whether headers are partly received.

Each connection tells the process's :class:`~bergamotmast.callers.guard.CallerGuard`
what it costs, and is not read while a :class:`Hold` is in force.
"""

from __future__ import annotations

import asyncio
import enum
import functools
import logging
import typing as t

from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from ..errors import RequestError
from ..policy.caller_memory import SMALL_BODY_BYTES
from .guard import RECEIVE_BUFFER_BYTES
from .guard import ListenerLimits

logger = logging.getLogger(__name__)

HEADER_TIMEOUT_SECONDS = 0.5
"""Time for the rest of partly received headers during a shutdown. A caller that sends
byte by byte must not delay the end of the process for longer."""

CONNECTION_BYTES = 16_384
"""Cost of a connection that receives a request, beside what it receives."""

REQUEST_BYTES = 24_576
"""Additional cost of a request that runs."""

COPIES = 2
"""Copies of what has been received of a small request, or waits to be sent."""

MAX_LOGGED_ERROR = 200
"""Maximum length of an error in the log, which may quote what was received."""

MAX_HEAD_BYTES = 98_304
"""Maximum length of a head or trailer; far above the configurable limit."""

MAX_AHEAD_BYTES = 16_384
"""Size of the requests sent ahead of a response from which no more are read."""

MAX_AHEAD_REQUESTS = 8
"""Number of requests sent ahead of a response from which no more are read."""

MAX_FRAMING_BYTES = 4_096
"""Framing in one read, such as heads and chunk sizes, from which a connection waits for
its next turn. Framing takes a hundred times the time of the bytes of a body."""

LINGER_SECONDS = 1.0
"""Time for a caller to read a refusal while its body is received and dropped. A close
with unread input would reset the connection, and the refusal would be lost."""


class Hold(enum.Enum):
    """Reason not to read from a connection."""

    AHEAD = enum.auto()
    """Requests that were sent ahead wait for their turn."""

    GRANT = enum.auto()
    """A large body waits for memory."""

    TURN = enum.auto()
    """Large input waits for its turn at the event loop."""


def check_room(request: web.BaseRequest) -> None:
    """Check whether there is memory for a request; only a listener has a limit.

    :raises RequestError: if the memory is used up by requests that run.
    """
    if isinstance(request.protocol, Connection):
        request.protocol.guard.check_room()


class Listener(t.Protocol):
    """The listener of a connection.

    :param open: its open connections, the oldest first.
    """

    limits: ListenerLimits
    open: dict[Connection, None]


class Connection(RequestHandler, asyncio.BufferedProtocol):
    """Connection of one caller.

    :param receive_count: number of times that data was received.
    :param header_deadline: deadline for the rest of partly received headers, seconds on
        the event loop's clock; ``None`` if no headers are being received.
    :param holds: reasons for which nothing is read.
    :param received: bytes received since the connection was idle.
    :param ahead: bytes of requests received while another one is handled.
    :param framing: bytes received since a part of a body or a head was complete.
    :param current: body of the request that is handled; ``None`` between requests.
    :param newest: body of the request whose head was received last.
    :param newest_size: its declared size; ``None`` for a body in chunks.
    :param body_received: how much of it has been received.
    :param asked: whether a grant was asked for.
    :param ended: whether the guard has closed the connection or refused its request.
    :param refused: whether it has refused the request.
    """

    __slots__ = (
        "ahead",
        "asked",
        "body_received",
        "current",
        "ended",
        "framing",
        "guard",
        "header_deadline",
        "holds",
        "listener",
        "newest",
        "newest_size",
        "receive_count",
        "received",
        "refused",
        "requests_seen",
    )

    def __init__(
        self, manager: web.Server, listener: Listener, **options: t.Any
    ) -> None:
        super().__init__(manager, **options)
        self.listener = listener
        self.guard = listener.limits.guard
        self.receive_count = 0
        self.header_deadline: float | None = None
        self.holds: set[Hold] = set()
        self.received = 0
        self.ahead = 0
        self.framing = 0
        self.current: StreamReader | None = None
        self.newest: StreamReader | None = None
        self.newest_size: int | None = None
        self.body_received = 0
        self.requests_seen = 0
        self.asked = False
        self.ended = False
        self.refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        super().connection_made(transport)
        self.listener.open[self] = None
        self._charge()
        self.guard.on_caller_active(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Return what the connection has cost."""
        self.listener.open.pop(self, None)
        self.guard.remove(self)
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for a read, which all connections share."""
        return self.guard.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process what a read has brought."""
        self.data_received(bytes(self.guard.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received data; start the deadline of headers that are incomplete."""
        if self.ended:
            return
        super().data_received(data)
        self.receive_count += 1
        # The request handler's waiter is pending until complete headers are parsed.
        awaits_headers = self._waiter is not None and not self._waiter.done()
        if not awaits_headers:
            self.header_deadline = None
        elif self.header_deadline is None:
            self.header_deadline = (
                asyncio.get_running_loop().time() + HEADER_TIMEOUT_SECONDS
            )
        if self.transport is not None:
            self._on_input(len(data))

    def is_receiving_headers(self, now: float) -> bool:
        """Return whether partly received headers may still be completed in time."""
        return self.header_deadline is not None and now < self.header_deadline

    def pause_writing(self) -> None:
        """Wait for the caller to read its response."""
        super().pause_writing()
        self._charge()
        self.guard.on_caller_active(self)

    def resume_writing(self) -> None:
        """Go on writing, as the caller has read most of what was written."""
        super().resume_writing()
        self._charge()
        if not self._awaits_caller:
            self.guard.charges.on_caller_done(self)

    def log_exception(self, *args: t.Any, **kw: t.Any) -> None:
        """Log malformed requests without a traceback each."""
        error = kw.get("exc_info")
        if isinstance(error, HttpProcessingError):
            text = str(error.message)[:MAX_LOGGED_ERROR]
            logger.info("request is malformed", extra={"error": text})
        else:
            super().log_exception(*args, **kw)

    # Requests

    def begin(self, body: StreamReader) -> None:
        """Record that a handler begins to handle a request.

        :param body: the request's body.
        """
        self.current = body
        # Called at once for a body that is complete.
        body.on_eof(functools.partial(self._on_body_complete, body))
        self._charge()
        if not self._messages:
            self.ahead = 0
            self._release(Hold.AHEAD)

    def finish(self) -> None:
        """Record that a handler has ended."""
        self.current = None
        self.asked = False
        if self.ended or self.transport is None:
            return
        self.guard.release(self)
        self._release(Hold.GRANT)
        self.received = self.ahead
        self._charge()
        self.guard.on_caller_active(self)

    def on_granted(self) -> None:
        """Read on, as the present body has been granted."""
        self._release(Hold.GRANT)

    def end(self, error: RequestError) -> None:
        """Refuse the present request if it is not complete, or close the connection."""
        if self.current is None or self.current.is_eof():
            self.abort()
            return
        self.ended = self.refused = True
        self.current.set_exception(error)

    def abort(self) -> None:
        """Close the connection at once."""
        self.ended = True
        if self.transport is not None:
            self.transport.abort()

    async def drain_refused(self, response: web.StreamResponse) -> None:
        """Let the caller of a refused request read its response."""
        response.force_close()
        if response.prepared and self.transport is not None:
            self.holds.clear()
            self._resume_transport_reading()
            if self.transport.can_write_eof():
                self.transport.write_eof()
            self.guard.linger(self)
            await asyncio.sleep(LINGER_SECONDS)
        if self.current is not None and not self.current.is_eof():
            # The library would read the rest of the body.
            self.current.feed_eof()

    # Input

    @property
    def _awaits_caller(self) -> bool:
        """Whether the caller has to send or read something."""
        if self.writing_paused:
            return True
        body = self.current
        if body is None and self._messages:
            body = self._messages[0][1]
        return body is None or not body.is_eof()

    def _on_input(self, size: int) -> None:
        """Account for received data, and decide whether more is read."""
        is_new = self._request_count != self.requests_seen
        if is_new and self._messages:
            self._on_head(*self._messages[-1])
        grown = 0
        if self.newest is not None:
            grown = self.newest.total_bytes - self.body_received
            self.body_received += grown
        self.received += size
        self.framing = 0 if is_new or grown else self.framing + size
        if self._messages and (self.current is not None or len(self._messages) > 1):
            self.ahead += size
        if not self._awaits_caller:
            self.guard.charges.on_caller_done(self)
        elif size:
            self.guard.on_caller_active(self)
        self._charge()
        if self.framing > MAX_HEAD_BYTES:
            self.guard.on_endless_head(self)
        if not self.ended:
            self._hold_if_needed(size - grown)

    def _on_head(self, message: t.Any, body: StreamReader) -> None:
        self.requests_seen = self._request_count
        self.newest = body
        self.body_received = 0
        self.newest_size = None
        if isinstance(message, RawRequestMessage):
            declared = message.headers.get("Content-Length", "")
            self.newest_size = int(declared) if declared.isdecimal() else None

    def _hold_if_needed(self, framing: int) -> None:
        if self.ahead > MAX_AHEAD_BYTES or len(self._messages) > MAX_AHEAD_REQUESTS:
            self._hold(Hold.AHEAD)
        else:
            self._ask_if_needed()
        is_large = framing > MAX_FRAMING_BYTES or self.body_received > SMALL_BODY_BYTES
        if is_large and Hold.TURN not in self.holds:
            self._hold(Hold.TURN)
            self.guard.turns.wait(self._take_turn)

    def _ask_if_needed(self) -> None:
        """Ask for a grant for the present body if it is large and will be kept."""
        if self.asked or self.newest is None or self.newest.is_eof():
            return
        limit = self.listener.limits.body_limit
        if limit is None or (self.current is None and not self._messages):
            return
        size = limit() if self.newest_size is None else self.newest_size
        received = self.body_received if self.newest_size is None else size
        if SMALL_BODY_BYTES < received <= limit():
            self.asked = True
            self._hold(Hold.GRANT)
            self.guard.ask(self, size)

    def _on_body_complete(self, body: StreamReader) -> None:
        if not self.ended:
            self.guard.complete(self, body.total_bytes)

    def _take_turn(self) -> None:
        self._release(Hold.TURN)

    def _charge(self) -> None:
        if self.ended or self.transport is None:
            return
        most = SMALL_BODY_BYTES + MAX_HEAD_BYTES
        buffered = min(self.received, most) + self.transport.get_write_buffer_size()
        cost = RECEIVE_BUFFER_BYTES + CONNECTION_BYTES + COPIES * buffered
        if self.current is not None:
            cost += REQUEST_BYTES
        self.guard.charge(self, cost)

    def _hold(self, hold: Hold) -> None:
        self.holds.add(hold)
        self._pause_transport_reading()

    def _release(self, hold: Hold) -> None:
        if hold in self.holds:
            self.holds.discard(hold)
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read again unless there is another reason not to."""
        if not self.holds:
            super()._resume_transport_reading()
