"""Client for the platform's store, used as the system's key-value service."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import functools
import urllib.parse

import aiohttp
import msgspec

from ..adapters.http_calls import JSON_TYPE
from ..adapters.http_calls import exchange
from ..adapters.http_calls import no_pause
from ..adapters.http_calls import read_body
from ..adapters.json_bodies import KebabStruct
from ..adapters.json_bodies import decode_answer
from ..adapters.json_bodies import decode_value
from ..adapters.json_bodies import decode_written
from ..adapters.json_bodies import encode_value
from ..adapters.restores import RestoreTracker
from ..adapters.restores import era_of
from ..adapters.restores import qualify
from ..adapters.restores import read_era
from ..adapters.restores import unqualify
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

ERA_HEADER = "Store-Era"
"""Number of restores of the store from a backup."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call; the store answers within milliseconds, or 0.3 s when slow."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for opening a connection to the store."""

WATCH_SLACK_SECONDS = 0.7
"""Time beyond the wait of a watch call in which its answer may still arrive."""

RANGE_READ_SECONDS = 0.3
"""Time reserved for reading all keys again after a watch has failed."""


class _Item(KebabStruct, frozen=True):
    """A key and its value; in an event, ``tombstone`` marks a deleted key."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    tombstone: bool = False


class _Range(KebabStruct, frozen=True):
    items: tuple[_Item, ...] = ()
    has_more: bool = False
    store_revision: int = 0


class _Events(KebabStruct, frozen=True):
    events: tuple[_Item, ...] = ()
    store_revision: int = 0


class _Written(KebabStruct, frozen=True):
    revision: int = 0


class _Lease(KebabStruct, frozen=True):
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The store's answer to one call.

    :param era: number of restores of the store at the time of the answer.
    """

    status: int
    body: bytes
    era: int


class PlatformStore:
    """Implements :class:`~bergamotmast.ports.KeyValueService`.

    Revisions and leases are qualified with their era, see
    :mod:`~bergamotmast.adapters.restores`. After a restore, revisions of a former era
    are older and fail comparisons, and leases of a former era have lapsed.

    :param session: a session that opens a new connection for each call.
    :param address: where the store listens, ``host:port``.
    :param recovery_seconds: maximum time to detect a stalled connection and read all
        keys again.
    :param watch_pause: returns the delay, in seconds, between a watch answer with
        changes and the next watch call, so that one call can return several changes.
    :param restores: the store's restores, as its answers report them.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        recovery_seconds: float,
        watch_pause: cabc.Callable[[], float] = no_pause,
    ) -> None:
        self.session = session
        self.url = f"http://{address}"
        self.watch_pause = watch_pause
        self.watch_seconds = recovery_seconds - WATCH_SLACK_SECONDS - RANGE_READ_SECONDS
        self.restores = RestoreTracker()

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        query = urllib.parse.urlencode({"key": key})
        answer = await self._read(f"/kv-key?{query}")
        if answer.status == 404:
            return None
        return _key_value(decode_answer(answer.body, _Item), answer.era)

    async def range(self, prefix: str) -> RangeResult:
        """Read every key below a prefix, page by page.

        Pages are not one snapshot: the revision is the first page's, so that a watch
        from there repeats all changes made between pages.
        """
        items: list[KeyValue] = []
        first_revision: int | None = None
        after = ""
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            answer = await self._read(f"/kv-range?{urllib.parse.urlencode(query)}")
            page = decode_answer(answer.body, _Range)
            if first_revision is None:
                first_revision = qualify(answer.era, page.store_revision)
            if answer.era != era_of(first_revision):
                raise KeyValueUnavailableError("the store was restored between pages")
            items += (_key_value(item, answer.era) for item in page.items)
            if not page.has_more or not page.items:
                return RangeResult(tuple(items), first_revision, answer.era)
            after = page.items[-1].key

    async def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> TxnResult:
        """Apply all writes if all conditions hold, else none."""
        puts = [write for write in writes if isinstance(write, Put)]
        restores = self.restores
        era = restores.known_era
        if any(restores.is_of_other_era(put.lease) for put in puts):
            raise LeaseLapsedError("the lease is from before a restore of the store")
        if any(restores.is_of_other_era(c.mod_revision) for c in compares):
            return TxnResult(False, 0)
        body = {
            "precondition": [
                {"key": c.key, "revision": unqualify(c.mod_revision)} for c in compares
            ],
            "puts": [_put(put) for put in puts],
            "remove": [write.key for write in writes if isinstance(write, Delete)],
        }
        answer = await self._write("POST", "/kv-txn", body)
        era_dependent = any(put.lease for put in puts) or any(
            c.mod_revision for c in compares
        )
        if era_dependent and answer.era != era:
            # The store may have reissued the revisions and leases of this call.
            raise KeyValueOutcomeUnknownError("the store was restored during the call")
        if answer.status == 412:
            return TxnResult(False, 0)
        if answer.status == 404:
            raise LeaseLapsedError("the lease has lapsed")
        written = decode_written(answer.body, _Written)
        return TxnResult(True, qualify(answer.era, written.revision))

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        answer = await self._write("POST", "/kv-lease", {"ttl-ms": ttl_seconds * 1000})
        return qualify(answer.era, decode_written(answer.body, _Lease).lease)

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; ``False`` if it has lapsed."""
        if self.restores.is_of_other_era(lease):
            return False
        answer = await self._write("POST", f"/kv-keep/{unqualify(lease)}", {})
        return answer.status != 404 and answer.era == era_of(lease)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        if self.restores.is_of_other_era(lease):
            # The store may have reissued the number to another entry.
            return
        await self._write("DELETE", f"/kv-lease-end/{unqualify(lease)}", None)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> cabc.AsyncGenerator[WatchEvent | None, None]:
        """Yield changes below a prefix in order; ``None`` is a keep-alive."""
        era, after = era_of(from_revision - 1), unqualify(from_revision - 1)
        while True:
            query = urllib.parse.urlencode(
                {
                    "prefix": prefix,
                    "after": after,
                    "wait-ms": int(self.watch_seconds * 1000),
                }
            )
            seconds = self.watch_seconds + WATCH_SLACK_SECONDS
            read = functools.partial(self._read, f"/kv-watch?{query}", seconds)
            answer = await self.restores.read_within(era, read)
            changes = decode_answer(answer.body, _Events)
            if not changes.events:
                yield None
            for event in changes.events:
                yield _watch_event(event, era)
            after = max(after, changes.store_revision)
            if changes.events:
                await asyncio.sleep(self.watch_pause())

    async def _read(self, path: str, seconds: float = CALL_TIMEOUT_SECONDS) -> _Answer:
        try:
            answer = await self._call("GET", path, None, seconds)
        except (NotReachedError, ReplyLostError) as error:
            raise KeyValueUnavailableError(error.message) from error
        if answer.status not in (200, 404):
            raise KeyValueUnavailableError(f"the store answered {answer.status}")
        return answer

    async def _write(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> _Answer:
        try:
            answer = await self._call(method, path, body, CALL_TIMEOUT_SECONDS)
        except NotReachedError as error:
            raise KeyValueUnavailableError(error.message) from error
        except ReplyLostError as error:
            raise KeyValueOutcomeUnknownError(error.message) from error
        status = answer.status
        if status in (200, 404, 412):
            return answer
        if status == 503 or 400 <= status < 500:
            raise KeyValueUnavailableError(f"the store answered {status}")
        raise KeyValueOutcomeUnknownError(f"the store answered {status}")

    async def _call(
        self, method: str, path: str, body: object, seconds: float
    ) -> _Answer:
        async with exchange(
            self.session,
            method,
            self.url + path,
            total=seconds,
            connect=CONNECT_TIMEOUT_SECONDS,
            data=None if body is None else msgspec.json.encode(body),
            headers=JSON_TYPE,
        ) as response:
            # Recorded before the body is read, since reading the body may fail.
            era = self.restores.record(read_era(response.headers.get(ERA_HEADER, "")))
            return _Answer(response.status, await read_body(response), era)


def _key_value(item: _Item, era: int) -> KeyValue:
    revision, lease = qualify(era, item.revision), qualify(era, item.lease)
    return KeyValue(item.key, decode_value(item.value), revision, lease)


def _watch_event(item: _Item, era: int) -> WatchEvent:
    value = None if item.tombstone else decode_value(item.value)
    return WatchEvent(item.key, value, qualify(era, item.revision))


def _put(put: Put) -> dict[str, object]:
    value, lease = encode_value(put.value), unqualify(put.lease)
    return {"key": put.key, "value": value, "lease": lease}
