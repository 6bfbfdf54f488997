"""HTTP connections of callers.

The HTTP library calls a handler only after the complete headers have arrived. If a
connection is closed before that, the caller doesn't consider it idle, and can't know
whether its request was read: connections track whether headers are partly received.

Each connection tells the process's :class:`~bergamotmast.callers.guard.CallerGuard`
whether it waits for its caller.
"""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import web
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from .guard import ListenerLimits

HEADER_TIMEOUT_SECONDS = 0.5
"""Time for the rest of partly received headers during a shutdown. A caller that sends
byte by byte must not delay the end of the process for longer."""


class Listener(t.Protocol):
    """The listener of a connection.

    :param open: its open connections, the oldest first.
    """

    limits: ListenerLimits
    open: dict[Connection, None]


class Connection(RequestHandler):
    """Connection of one caller.

    :param receive_count: number of times that data was received.
    :param header_deadline: deadline for the rest of partly received headers, seconds on
        the event loop's clock; ``None`` if no headers are being received.
    :param current: body of the request that is handled; ``None`` between requests.
    :param ended: whether the guard has closed the connection.
    """

    __slots__ = (
        "current",
        "ended",
        "guard",
        "header_deadline",
        "listener",
        "receive_count",
    )

    def __init__(
        self, manager: web.Server, listener: Listener, **options: t.Any
    ) -> None:
        super().__init__(manager, **options)
        self.listener = listener
        self.guard = listener.limits.guard
        self.receive_count = 0
        self.header_deadline: float | None = None
        self.current: StreamReader | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        super().connection_made(transport)
        self.listener.open[self] = None
        self.guard.charges.charge(self, 0)
        self.guard.charges.on_caller_active(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Return what the connection has cost."""
        self.listener.open.pop(self, None)
        self.guard.remove(self)
        super().connection_lost(exc)

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
        self.guard.charges.on_caller_active(self)

    def resume_writing(self) -> None:
        """Go on writing, as the caller has read most of what was written."""
        super().resume_writing()
        if not self._awaits_caller:
            self.guard.charges.on_caller_done(self)

    # Requests

    def begin(self, body: StreamReader) -> None:
        """Record that a handler begins to handle a request.

        :param body: the request's body.
        """
        self.current = body
        # Called at once for a body that is complete.
        body.on_eof(self._on_body_complete)

    def finish(self) -> None:
        """Record that a handler has ended."""
        self.current = None
        if self.ended or self.transport is None:
            return
        self.guard.charges.on_caller_active(self)

    def abort(self) -> None:
        """Close the connection at once."""
        self.ended = True
        if self.transport is not None:
            self.transport.abort()

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
        """Account for received data."""
        if not self._awaits_caller:
            self.guard.charges.on_caller_done(self)
        elif size:
            self.guard.charges.on_caller_active(self)

    def _on_body_complete(self) -> None:
        if not self.ended:
            self.guard.charges.on_caller_done(self)
