"""Interfaces to a caller: its request, the request's body and the response."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

from .ports import Headers


class CallerBody(t.Protocol):
    """Reads a request's body, which may arrive after the headers or not at all."""

    @property
    def may_be_large(self) -> bool:
        """Whether the rest of the body may take more memory than a small request."""
        ...

    async def read(self, max_bytes: int) -> bytes | None:
        """Return the whole body, or ``None`` if it is longer than the limit.

        :param max_bytes: maximum length in bytes.
        :raises RequestError: if there is no memory for it.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as received from a caller.

    :param target: path and query, not decoded.
    :param headers: the first header of each name; lookups ignore case.
    :param items: all headers in order, including repeated names.
    :param body: reader of the body.
    :param arrived_at: arrival time on the event loop's clock.
    :param caller: address that the connection comes from; empty if unknown.
    """

    method: str
    target: str
    host: str
    headers: cabc.Mapping[str, str]
    items: Headers
    body: CallerBody
    arrived_at: float
    caller: str = ""


class CallerReply(t.Protocol):
    """Sends the response to one request."""

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""
        ...

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        ...

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of a streamed response."""
        ...

    async def write(self, data: bytes) -> None:
        """Send part of a streamed response."""
        ...

    async def finish(self) -> None:
        """End a streamed response normally."""
        ...

    def abort(self) -> None:
        """End a streamed response so that the caller sees it as truncated."""
        ...
