"""Client for a key-value service over HTTP, as etcd's v3 JSON gateway offers it."""

from __future__ import annotations

import collections.abc as cabc
import contextlib

import aiohttp
import msgspec

from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import LeaseLapsedError
from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import Put
from ..ports import RangeResult
from ..ports import TxnResult
from ..ports import WatchEvent
from .http_calls import JSON_TYPE
from .http_calls import exchange
from .http_calls import read_body
from .http_calls import split_stream
from .key_value_json import JsonObject
from .key_value_json import encode_text
from .key_value_json import prefix_range
from .key_value_json import read_key_value
from .key_value_json import read_revision
from .key_value_json import read_watch_events
from .key_value_json import write_compare
from .key_value_json import write_operation

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call; watches have no overall timeout."""

CLIENT_HEADER = "X-Client"
"""Identifies the client in the service's own accounting."""


class HttpKeyValueService:
    """Implements :class:`~bergamotmast.ports.KeyValueService`.

    :param url: base address, without a path.
    :param client: name by which the service may account for calls.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, client: str = ""
    ) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.headers = JSON_TYPE | {CLIENT_HEADER: client}

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        answer = await self._read("/v3/kv/range", {"key": encode_text(key)})
        items = answer.get("kvs", [])
        return read_key_value(items[0]) if items else None

    async def range(self, prefix: str) -> RangeResult:
        """Read every key below a prefix."""
        answer = await self._read("/v3/kv/range", prefix_range(prefix))
        items = tuple(read_key_value(item) for item in answer.get("kvs", []))
        return RangeResult(items, read_revision(answer))

    async def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold, else none."""
        body = {
            "compare": [write_compare(compare) for compare in compares],
            "success": [write_operation(write) for write in writes],
        }
        answer = await self._write("/v3/kv/txn", body)
        return TxnResult(bool(answer.get("succeeded")), read_revision(answer))

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        answer = await self._write("/v3/lease/grant", {"TTL": str(ttl_seconds)})
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; ``False`` if it has lapsed."""
        answer = await self._write("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        # A lease that has already lapsed needs no revocation.
        with contextlib.suppress(LeaseLapsedError):
            await self._write("/v3/kv/lease/revoke", {"ID": str(lease)})

    async def watch(
        self, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Yield changes below a prefix in order; ``None`` is a keep-alive."""
        create = {
            **prefix_range(prefix),
            "start_revision": str(from_revision),
            "progress_notify": True,
        }
        body = msgspec.json.encode({"create_request": create})
        try:
            async with self._post("/v3/watch", body, None) as response:
                _raise_for_error(response.status)
                async for line in split_stream(response, b"\n"):
                    for event in read_watch_events(decode_json(line, JsonObject)):
                        yield event
        except (NotReachedError, ReplyLostError, DecodingError) as error:
            raise KeyValueUnavailableError(str(error)) from error
        raise KeyValueUnavailableError("the watch ended")

    async def _read(self, path: str, body: JsonObject) -> JsonObject:
        """Send a read, any failure of which means that the service is unavailable."""
        try:
            return await self._call(path, body)
        except (NotReachedError, ReplyLostError, DecodingError) as error:
            raise KeyValueUnavailableError(str(error)) from error

    async def _write(self, path: str, body: JsonObject) -> JsonObject:
        """Send a write, whose outcome is unknown if its reply is lost or malformed."""
        try:
            return await self._call(path, body)
        except NotReachedError as error:
            raise KeyValueUnavailableError(error.message) from error
        except (ReplyLostError, DecodingError) as error:
            raise KeyValueOutcomeUnknownError(str(error)) from error

    async def _call(self, path: str, body: JsonObject) -> JsonObject:
        data = msgspec.json.encode(body)
        async with self._post(path, data, CALL_TIMEOUT_SECONDS) as response:
            _raise_for_error(response.status)
            return decode_json(await read_body(response), JsonObject)

    def _post(
        self, path: str, data: bytes, total: float | None
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        return exchange(
            self.session,
            "POST",
            self.url + path,
            total=total,
            data=data,
            headers=self.headers,
        )


def _raise_for_error(status: int) -> None:
    """Raise for an error status; only 503 and 4xx mean that nothing was done."""
    if status == 404:
        raise LeaseLapsedError("the lease has lapsed")
    if status == 503 or 400 <= status < 500:
        raise KeyValueUnavailableError(f"the key-value service answered {status}")
    if status != 200:
        raise ReplyLostError(f"the key-value service answered {status}")
