"""Shared HTTP client code: the session, and errors that tell if a request was sent."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import functools
import typing as t

import aiohttp
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from ..direct.ports import MIN_FINAL_STATUS
from ..errors import ConnectionLostError
from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..policy.reply_memory import ReplyMemory
from .response_end import ResponseEnd
from .response_protocol import ResponseProtocol

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for opening a connection within a region."""

KEEP_ALIVE_SECONDS = 4.0
"""How long an idle connection is kept.

Servers commonly close idle connections after five seconds or more. A request written
to a connection that the server is closing is lost without an error status, and a call
that the server never received would count as one of unknown outcome.
"""

MAX_CONNECTIONS = 1024
"""Maximum number of connections of one session."""

MAX_BODY_BYTES = 1 << 24
"""Maximum body of a response, where the caller names no other; a page of the store has
1 MB."""

FINAL_STATUSES = range(MIN_FINAL_STATUS, 600)
"""Statuses with which a response may end a request (RFC 9110, section 15)."""

HTTP_MAJOR_VERSION = 1

JSON_TYPE = {"Content-Type": "application/json"}


class Connector(aiohttp.TCPConnector):
    """Opens connections; any other error than a timeout tells that there is none.

    :param memory: account of what is received and no part of an answer; ``None`` for
        one of its own.
    :param options: those of the library's connector.
    """

    def __init__(
        self,
        memory: ReplyMemory[ResponseProtocol] | None = None,
        **options: t.Any,
    ) -> None:
        super().__init__(**options)
        factory: t.Any = functools.partial(
            ResponseProtocol,
            ReplyMemory() if memory is None else memory,
            asyncio.get_running_loop(),
        )
        self._factory = factory

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection for a request, of which nothing has been sent.

        :raises NotReachedError: for an error of a class that the library doesn't name,
            such as that of a host name that can't be encoded.
        """
        try:
            return await super().connect(req, traces, timeout)
        except (aiohttp.ClientConnectorError, TimeoutError):
            raise
        except Exception as error:
            raise NotReachedError(f"{req.url}: {error}") from error


def client_session(
    connector: aiohttp.BaseConnector | None = None, *, decompress: bool = True
) -> aiohttp.ClientSession:
    """Return a client session; the adapters of a process share the default one.

    It keeps no cookies: a cookie jar would send one caller's cookies with the next
    caller's requests.

    :param connector: connector to use instead of the default one.
    :param decompress: whether compressed bodies are decoded.
    """
    return aiohttp.ClientSession(
        connector=connector
        or Connector(limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_prevent_library_retry,),
        auto_decompress=decompress,
    )


def single_call_session() -> aiohttp.ClientSession:
    """Return a session that opens a new connection for each call.

    If all connections to a store stall at once, a reused one would delay the read that
    follows a failed watch.
    """
    return client_session(Connector(force_close=True))


def no_pause() -> float:
    """Return 0, so that the next watch call follows each answer immediately."""
    return 0.0


@contextlib.asynccontextmanager
async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    total: float | None = None,
    read_timeout: float | None = None,
    connect: float = CONNECT_TIMEOUT_SECONDS,
    **options: t.Any,
) -> cabc.AsyncIterator[aiohttp.ClientResponse]:
    """Send a request; yield its response to the body of an ``async with``.

    :param total: timeout of the whole exchange, in seconds.
    :param read_timeout: maximum time between two reads, in seconds.
    :param connect: timeout for opening a connection, in seconds.
    :raises NotReachedError: if no connection was made, so that nothing was sent.
    :raises ConnectionLostError: if the connection ended before the response did.
    :raises ReplyLostError: for every other failure, including one while the body is
        read, and for a head that is none of a final HTTP/1 response.
    """
    timeout = aiohttp.ClientTimeout(
        total=total, sock_connect=connect, sock_read=read_timeout
    )
    try:
        async with session.request(
            method, url, timeout=timeout, allow_redirects=False, **options
        ) as response:
            _check_head(response)
            yield response
    except _NOT_SENT as error:
        raise NotReachedError(f"{url}: {error}") from error
    except _DISCONNECTED as error:
        raise ConnectionLostError(f"{url}: {error}") from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ReplyLostError(f"{url}: {error or 'timed out'}") from error


def _check_head(response: aiohttp.ClientResponse) -> None:
    """Check that a response is one of HTTP/1 and final; the library takes any number.

    :raises ReplyLostError: if it isn't; its connection is closed.
    """
    version = response.version
    is_http1 = version is not None and version.major == HTTP_MAJOR_VERSION
    if is_http1 and response.status in FINAL_STATUSES:
        return
    response.close()
    raise ReplyLostError(
        f"{response.url}: HTTP version {version} with status {response.status} is no "
        "response"
    )


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body of a response.

    :raises ReplyLostError: if it is not whole, or longer than a limit, as an endless
        one would be.
    """
    body = bytearray()
    async for part in ResponseEnd(response).chunks():
        body += part
        if len(body) > max_bytes:
            raise ReplyLostError(f"the response's body exceeds {max_bytes} bytes")
    return bytes(body)


async def split_stream(
    response: aiohttp.ClientResponse, separator: bytes
) -> cabc.AsyncIterator[bytes]:
    """Yield the parts between separators, of any length, as they arrive.

    The library's line reader rejects lines over 128 KB.
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
"""Errors that are raised before any part of a request is sent."""

_DISCONNECTED = (
    aiohttp.ClientOSError,
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientPayloadError,
)
"""Errors that end a connection on which a request was sent."""


async def _prevent_library_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent the library from retrying a request by itself.

    It retries GET, PUT and DELETE if a connection breaks after the request was written,
    and a call that must not be repeated would run twice. It retries only after its own
    errors, so raising another error is enough.
    """
    try:
        return await handler(request)
    except _NOT_SENT:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(f"{request.url}: {error}") from error
