"""The platform's store as the product's key-value service."""

from __future__ import annotations

import asyncio
import base64
import collections.abc as cabc
import typing as t
import urllib.parse

import aiohttp
import msgspec

from ..adapters.http_calls import JSON_TYPE
from ..adapters.http_calls import client_session
from ..adapters.http_calls import exchange
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import LeaseLapsedError
from ..errors import NotReachedError
from ..errors import PortError
from ..errors import ReplyLostError
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import Put
from ..ports import RangeResult
from ..ports import TxnResult
from ..ports import WatchEvent

CALL_SECONDS = 1.0
"""Time one call may take; it is answered within milliseconds, while slow in 0.3 s."""

CONNECT_SECONDS = 0.5
"""Time to open a connection to the store."""

WATCH_SLACK_SECONDS = 0.7
"""How much later than its wait a watch's answer is still on its way."""

RANGE_READ_SECONDS = 0.3
"""Time reserved for reading all keys again after a watch has failed."""

WATCH_PAUSE_SECONDS = 0.4
"""Delay between a watch answer with changes and the next watch call. Every entry
receives every change; the delay lets one call return several changes made in quick
succession, as when a fleet starts."""


def store_session() -> aiohttp.ClientSession:
    """Return a session that opens a new connection for each call to the store.

    If all connections go silent at once, a reused one would delay the read that follows
    a failed watch.
    """
    return client_session(aiohttp.TCPConnector(force_close=True))


class _Wire(msgspec.Struct, frozen=True, rename="kebab"):
    pass


class _Item(_Wire, frozen=True):
    """A key; as an event, ``tombstone`` says that it was removed."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    tombstone: bool = False


class _Range(_Wire, frozen=True):
    items: tuple[_Item, ...] = ()
    has_more: bool = False
    store_revision: int = 0


class _Events(_Wire, frozen=True):
    events: tuple[_Item, ...] = ()
    store_revision: int = 0


class _Written(_Wire, frozen=True):
    revision: int = 0


class _Lease(_Wire, frozen=True):
    lease: int


class PlatformStore:
    """A :class:`~bergamotmast.ports.KeyValueService`.

    :param session: a session from :func:`store_session`.
    :param address: where the store listens, ``host:port``.
    :param recovery_seconds: maximum time to detect a silent connection and read all
        keys again.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, recovery_seconds: float
    ) -> None:
        self.session = session
        self.url = f"http://{address}"
        self.watch_seconds = recovery_seconds - WATCH_SLACK_SECONDS - RANGE_READ_SECONDS

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        query = urllib.parse.urlencode({"key": key})
        status, body = await self._read(f"/kv-key?{query}")
        if status == 404:
            return None
        return _key_value(_decode(body, _Item))

    async def range(self, prefix: str) -> RangeResult:
        """Read every key below a prefix, page by page.

        Pages are not of one moment; the revision is the first one's, so that a watch
        from there brings again whatever changed between them.
        """
        items: list[KeyValue] = []
        first_revision: int | None = None
        after = ""
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            _, body = await self._read(f"/kv-range?{urllib.parse.urlencode(query)}")
            page = _decode(body, _Range)
            if first_revision is None:
                first_revision = page.store_revision
            items += map(_key_value, page.items)
            if not page.has_more or not page.items:
                return RangeResult(tuple(items), first_revision)
            after = page.items[-1].key

    async def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold, else none."""
        body = {
            "precondition": [
                {"key": c.key, "revision": c.mod_revision} for c in compares
            ],
            "puts": [_put(write) for write in writes if isinstance(write, Put)],
            "remove": [write.key for write in writes if isinstance(write, Delete)],
        }
        status, answer = await self._write("POST", "/kv-txn", body)
        if status == 412:
            return TxnResult(False, 0)
        if status == 404:
            raise LeaseLapsedError("the lease has lapsed")
        return TxnResult(True, _decode_written(answer, _Written).revision)

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        _, answer = await self._write(
            "POST", "/kv-lease", {"ttl-ms": ttl_seconds * 1000}
        )
        return _decode_written(answer, _Lease).lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; ``False`` if it has lapsed."""
        status, _ = await self._write("POST", f"/kv-keep/{lease}", {})
        return status != 404

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._write("DELETE", f"/kv-lease-end/{lease}", None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Yield changes below a prefix in order; ``None`` is a sign of life."""
        after = from_revision - 1
        while True:
            query = urllib.parse.urlencode(
                {
                    "prefix": prefix,
                    "after": after,
                    "wait-ms": int(self.watch_seconds * 1000),
                }
            )
            seconds = self.watch_seconds + WATCH_SLACK_SECONDS
            _, body = await self._read(f"/kv-watch?{query}", seconds)
            answer = _decode(body, _Events)
            if not answer.events:
                yield None
            for event in answer.events:
                yield _watch_event(event)
            after = max(after, answer.store_revision)
            if answer.events:
                await asyncio.sleep(WATCH_PAUSE_SECONDS)

    async def _read(
        self, path: str, seconds: float = CALL_SECONDS
    ) -> tuple[int, bytes]:
        try:
            status, body = await self._call("GET", path, None, seconds)
        except (NotReachedError, ReplyLostError) as error:
            raise KeyValueUnavailableError(error.message) from error
        if status not in (200, 404):
            raise KeyValueUnavailableError(f"the store answered {status}")
        return status, body

    async def _write(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> tuple[int, bytes]:
        try:
            status, answer = await self._call(method, path, body, CALL_SECONDS)
        except NotReachedError as error:
            raise KeyValueUnavailableError(error.message) from error
        except ReplyLostError as error:
            raise KeyValueOutcomeUnknownError(error.message) from error
        if status in (200, 404, 412):
            return status, answer
        if status == 503 or 400 <= status < 500:
            raise KeyValueUnavailableError(f"the store answered {status}")
        raise KeyValueOutcomeUnknownError(f"the store answered {status}")

    async def _call(
        self, method: str, path: str, body: object, seconds: float
    ) -> tuple[int, bytes]:
        async with exchange(
            self.session,
            method,
            self.url + path,
            total=seconds,
            connect=CONNECT_SECONDS,
            data=None if body is None else msgspec.json.encode(body),
            headers=JSON_TYPE,
        ) as response:
            return response.status, await response.read()


_S = t.TypeVar("_S", bound=msgspec.Struct)


def _decode(
    body: bytes, kind: type[_S], failure: type[PortError] = KeyValueUnavailableError
) -> _S:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise failure(f"the store's answer is not understood: {error}") from error


def _decode_written(body: bytes, kind: type[_S]) -> _S:
    """Decode the answer to a write, which has been done also if it is not read."""
    return _decode(body, kind, KeyValueOutcomeUnknownError)


def _bytes(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        # What can't be read is no value; the reader of the key says so with its name.
        return b""


def _key_value(item: _Item) -> KeyValue:
    return KeyValue(item.key, _bytes(item), item.revision, item.lease)


def _watch_event(item: _Item) -> WatchEvent:
    value = None if item.tombstone else _bytes(item)
    return WatchEvent(item.key, value, item.revision)


def _put(put: Put) -> dict[str, object]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease}
