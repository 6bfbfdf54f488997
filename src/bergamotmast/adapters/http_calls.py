"""What the HTTP adapters share: one session, and errors that say what was sent."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import typing as t

import aiohttp

from ..errors import NotReachedError
from ..errors import ReplyLostError

CONNECT_SECONDS = 1.0
"""Time to open a connection within a region."""

KEEP_ALIVE_SECONDS = 4.0
"""How long an idle connection is kept.

Servers commonly drop theirs after five seconds or more. A request written to a
connection that the server is just dropping is lost without a word, and a call that
was never seen would count as one of unknown outcome.
"""

MAX_CONNECTIONS = 1024
"""Most connections of one session."""

JSON_TYPE = {"Content-Type": "application/json"}


def client_session(
    connector: aiohttp.BaseConnector | None = None, *, decompress: bool = True
) -> aiohttp.ClientSession:
    """Return a session, by default the one that all adapters of a process share.

    It keeps no cookies: a jar would carry one caller's cookies to the next.

    :param decompress: whether encoded bodies are decoded.
    """
    return aiohttp.ClientSession(
        connector=connector
        or aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_SECONDS
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_prevent_library_retry,),
        auto_decompress=decompress,
    )


@contextlib.asynccontextmanager
async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    total: float | None = None,
    read_timeout: float | None = None,
    connect: float = CONNECT_SECONDS,
    **options: t.Any,
) -> cabc.AsyncIterator[aiohttp.ClientResponse]:
    """Send a request and give its response to the body of an ``async with``.

    :param total: seconds the whole exchange may take.
    :param read_timeout: seconds between two reads.
    :param connect: seconds to open a connection.
    :raises NotReachedError: if no connection was made, so that nothing was sent.
    :raises ReplyLostError: for every other failure, also while the body is read.
    """
    timeout = aiohttp.ClientTimeout(
        total=total, sock_connect=connect, sock_read=read_timeout
    )
    try:
        async with session.request(
            method, url, timeout=timeout, allow_redirects=False, **options
        ) as response:
            yield response
    except _NOT_SENT as error:
        raise NotReachedError(f"{url}: {error}") from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ReplyLostError(f"{url}: {error or 'timed out'}") from error


async def split_stream(
    response: aiohttp.ClientResponse, separator: bytes
) -> cabc.AsyncIterator[bytes]:
    """Yield what stands between separators, of any length, as it arrives.

    The library's own reader of lines refuses those over 128 KB.
    """
    rest = b""
    async for part in response.content.iter_any():
        *whole, rest = (rest + part).split(separator)
        for piece in whole:
            yield piece


_NOT_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)


async def _prevent_library_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the library from sending a request a second time by itself.

    It repeats GET, PUT and DELETE when a connection breaks after the request was
    written, and a call that must not be repeated would run twice. It does so only for
    its own errors, so that raising ours is enough.
    """
    try:
        return await handler(request)
    except _NOT_SENT:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ReplyLostError(f"{request.url}: {error}") from error
