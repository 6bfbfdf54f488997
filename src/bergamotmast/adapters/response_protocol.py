"""Connections to upstreams that send bytes without end which are no answer."""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from ..direct.ports import MIN_FINAL_STATUS
from ..policy.reply_memory import ReplyMemory

MAX_INTERIM_RESPONSES = 100
"""Maximum number of interim responses to one request; upstreams send one or none."""


class ResponseProtocol(ResponseHandler):
    """Closes a connection that brings too much that is no part of a response's body.

    The library keeps heads, trailers and what an idle connection brings, without a
    limit on all of it. It drops interim responses and chunk extensions: at the speed of
    the network, they would take all of the event loop's time until the deadline.

    :param memory: account of all connections.
    :param awaits_response: whether a request waits for its head.
    :param responses: number of heads that requests have waited for.
    :param body: body of the last response, which may be incomplete.
    """

    def __init__(
        self, memory: ReplyMemory[ResponseProtocol], loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(loop)
        self.memory = memory
        self.awaits_response = False
        self.interim_responses = 0
        self.responses = 0
        self.body: StreamReader | None = None

    def set_response_params(self, **options: t.Any) -> None:
        """Begin to wait for the response to a request."""
        self.awaits_response = True
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Add a response to those that are waited for."""
        message, body = data
        if message.code < MIN_FINAL_STATUS:
            self.interim_responses += 1
        else:
            self.interim_responses = 0
            if self.awaits_response:
                self.awaits_response = False
                self.responses += 1
                self.body = body
        if self.interim_responses <= MAX_INTERIM_RESPONSES:
            super().feed_data(data, size)
        else:
            self._end("too many interim responses")

    def data_received(self, data: bytes) -> None:
        """Parse what has been received."""
        before = self._received()
        super().data_received(data)
        if self._received() != before:
            self.memory.release(self)
        elif data and self.transport is not None:
            # Without data, the library goes on with what it has read before.
            if self.memory.add(self, len(data)):
                self._end("too many bytes that are no part of an answer")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.memory.release(self)
        super().connection_lost(exc)

    def _received(self) -> tuple[int, int, bool]:
        """Return how much of the responses has been received."""
        if self.body is None:
            return self.responses, 0, False
        return self.responses, self.body.total_bytes, self.body.is_eof()

    def _end(self, message: str) -> None:
        self.memory.release(self)
        if self.exception() is None:
            self.set_exception(HttpProcessingError(message=message))
        if self.transport is not None:
            self.transport.abort()
