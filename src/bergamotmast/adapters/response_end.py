"""Ends of responses: whether a body that has ended is whole."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

import aiohttp

from ..errors import ConnectionLostError
from ..errors import ReplyLostError


class ResponseEnd:
    """The end of one response and of its connection.

    To be created as soon as the head is there: the library lets go of the connection
    with the end of the body.

    :param closed: done when the connection ends; ``None`` if the body ended before.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.closed = _end_of_connection(response)
        if self.closed is not None:
            _mark_exception_retrieved(self.closed)

    async def chunks(self) -> cabc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises ReplyLostError: if the head does not say where the body ends.
        :raises ConnectionLostError: if the body has no length and was reset.
        """
        if not _is_framing_clear(self.response):
            self.response.close()
            raise ReplyLostError("the reply's head does not say where its body ends")
        async for part in self.response.content.iter_any():
            yield part
        self._raise_if_reset()

    def _raise_if_reset(self) -> None:
        """Raise for a body without a length whose connection was reset.

        The library takes a reset for the end of such a body, and a part of an answer
        would count as a complete one.
        """
        closed = self.closed
        if closed is None or not closed.done() or not _is_unframed(self.response):
            return
        error = closed.exception()
        if error is not None:
            raise ConnectionLostError(f"a reply without a length was reset: {error}")


def _end_of_connection(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Return the future that is done when the connection of a body ends."""
    connection = response.connection
    if connection is None or connection.protocol is None:
        return None
    return connection.protocol.closed


def _mark_exception_retrieved(closed: asyncio.Future[None]) -> None:
    """Keep the event loop from logging a reset that affects no request.

    A connection has one such callback, however many replies it carries.
    """
    closed.remove_done_callback(asyncio.Future.exception)
    closed.add_done_callback(asyncio.Future.exception)


def _is_unframed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a body ends only with its connection."""
    if "Content-Length" in response.headers:
        return False
    return _transfer_codings(response) != ["chunked"]


def _transfer_codings(response: aiohttp.ClientResponse) -> list[str]:
    """Return the codings of all ``Transfer-Encoding`` lines, in lower case."""
    lines = response.headers.getall("Transfer-Encoding", [])
    return [coding.strip().lower() for line in lines for coding in line.split(",")]


def _is_framing_clear(response: aiohttp.ClientResponse) -> bool:
    """Return whether a head says where its body ends, or that its connection ends it.

    The library decodes no other coding than a single ``chunked``. It takes the body of
    an unknown one for whole, and the first of several lengths for the right one.
    """
    if len(response.headers.getall("Content-Length", [])) > 1:
        return False
    return _transfer_codings(response) in ([], ["chunked"], ["identity"])
