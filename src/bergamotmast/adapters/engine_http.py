"""Client for a model engine over HTTP: completions as server-sent events, orders."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import typing as t

import aiohttp
import msgspec

from ..decoding import DecodingError
from ..decoding import JsonDecoder
from ..decoding import decode_json
from ..errors import NotReachedError
from ..errors import OrderRefusedError
from ..errors import PortError
from ..errors import ReplyLostError
from ..model import CacheEvent
from ..model import EngineLoad
from ..model import EngineState
from ..model import GenerateRequest
from ..model import Order
from ..model import TokenChunk
from .http_calls import JSON_TYPE
from .http_calls import exchange
from .http_calls import read_body
from .http_calls import split_stream

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call; streams have no overall timeout."""

CHUNK_TIMEOUT_SECONDS = 60.0
"""Time without a chunk after which a stream counts as broken."""

DONE = b"[DONE]"
"""Data of the event that ends a stream."""

_T = t.TypeVar("_T")


class Choice(msgspec.Struct, frozen=True):
    """The text of one event."""

    text: str
    finish_reason: str | None = None
    index: int = 0


class CompletionEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a stream: the usual fields and those that resumption needs."""

    choices: tuple[Choice, ...]
    token_index: int
    tokens: int
    cached_tokens: int = 0
    kv_handle: str = ""


class EngineLoadBody(msgspec.Struct, frozen=True):
    """A load report; it has an age in seconds, because instances' clocks differ."""

    age: float
    running: int
    waiting: int
    kv_used: int


_EVENT = JsonDecoder[CompletionEvent](CompletionEvent)


class HttpEngine:
    """Implements :class:`~bergamotmast.ports.Engine`.

    :param url: base address, without a path.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def state(self) -> EngineState:
        """Read the engine's state."""
        return await self._get("/admin/state", EngineState)

    async def load(self) -> EngineLoad:
        """Read the latest load report."""
        body = await self._get("/admin/load", EngineLoadBody)
        measured_at = asyncio.get_running_loop().time() - body.age
        return EngineLoad(measured_at, body.running, body.waiting, body.kv_used)

    async def order(self, order: Order) -> None:
        """Send an order and return when the engine has accepted it.

        :raises OrderRefusedError: for an old fencing token or while an order runs.
        """
        await self._call("POST", "/admin/order", msgspec.json.encode(order))

    async def generate(
        self, request: GenerateRequest
    ) -> cabc.AsyncGenerator[TokenChunk, None]:
        """Yield the answer's chunks; closing the generator closes the connection."""
        body = msgspec.to_builtins(request) | {"stream": True}
        async with exchange(
            self.session,
            "POST",
            self.url + "/v1/completions",
            read_timeout=CHUNK_TIMEOUT_SECONDS,
            data=msgspec.json.encode(body),
            headers=JSON_TYPE,
        ) as response:
            _raise_for_error(response)
            async for event in split_stream(response, b"\n\n"):
                data = event.removeprefix(b"data: ")
                if data == DONE:
                    return
                yield _decode_chunk(data)
        raise ReplyLostError("the stream ended without its last event")

    async def cancel(self, stream_id: str) -> None:
        """Cancel a stream that may still run."""
        await self._call("DELETE", f"/v1/streams/{stream_id}")

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Read the cache events after a sequence number that the engine still keeps."""
        path = f"/admin/cache_events?after={after}"
        return await self._get(path, tuple[CacheEvent, ...])

    async def _get(self, path: str, kind: type[_T]) -> _T:
        data = await self._call("GET", path)
        try:
            return decode_json(data, kind)
        except DecodingError as error:
            raise ReplyLostError(f"{path}: {error}") from error

    async def _call(self, method: str, path: str, data: bytes | None = None) -> bytes:
        async with exchange(
            self.session,
            method,
            self.url + path,
            total=CALL_TIMEOUT_SECONDS,
            data=data,
            headers=JSON_TYPE,
        ) as response:
            _raise_for_error(response)
            return await read_body(response)


def _raise_for_error(response: aiohttp.ClientResponse) -> None:
    """Raise for an error status; only 503 and 4xx mean that nothing was started."""
    status = response.status
    if status < 300:
        return
    message = f"{response.url} answered {status}"
    if status == 409:
        raise OrderRefusedError(message)
    if status == 503 or 400 <= status < 500:
        raise NotReachedError(message)
    raise ReplyLostError(message)


def _decode_chunk(data: bytes) -> TokenChunk:
    try:
        event = _EVENT.decode(data)
        choice = event.choices[0]
    except (DecodingError, IndexError) as error:
        raise PortError(f"an event is malformed: {error}") from error
    return TokenChunk(
        event.token_index,
        event.tokens,
        choice.text,
        choice.finish_reason or "",
        event.cached_tokens,
        event.kv_handle,
    )
