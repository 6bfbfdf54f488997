"""Builds of the streams in progress, in the store, as they outlast all entries there.

While a group has several builds, each entry keeps the streams that it has begun and not
completed under a key of its own. The key's lease outlasts the entry for as long as
callers may resume its streams. An entry that restarts takes another key. All entries
receive the values by their watch and decode them only when they look for a stream.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import logging
import math

import msgspec

from ..decoding import DecodingError
from ..decoding import decode_msgpack
from ..errors import LeaseLapsedError
from ..errors import PortError
from ..ports import Delete
from ..ports import KeyValue
from ..ports import KeyValueService
from ..ports import Put
from .stream_builds import StreamBuilds

logger = logging.getLogger(__name__)

STREAMS_PREFIX = "/bergamotmast/streams/"

WRITE_SECONDS = 0.05
"""Minimum time between two writes of an entry. A stream that began later before the
end of all entries can't be resumed."""

CHECK_SECONDS = 0.25
"""Interval between two checks for changes other than streams that begin."""

STORE_SHARE = 0.2
"""Maximum share of the writes that the store accepts, of all entries together."""

LEASE_SECONDS = 60
"""Time to live of the values, which must outlast an entry while callers retry."""

RENEWAL_SECONDS = 15.0
"""Interval between renewals of the lease."""

HASH_BYTES = 8

MAX_STREAMS = 20_000
"""Maximum number of streams in one value, which then takes less than 300 KB."""

_VALUE_TYPE = dict[str, dict[str, bytes]]


class StreamBuildLog:
    """Writes this entry's streams in progress, and finds those of all entries.

    Implements :class:`~bergamotmast.direct.fleet.KeyListener` for the values, and
    :class:`~bergamotmast.direct.stream_builds.StoredStreamBuilds`.

    :param key: key of this entry's value, unique to this process.
    :param writes_per_second: writes that the store accepts from all entries.
    :param entries: returns the keys of all entries.
    :param values: values as received, by key.
    :param decoded: values that were decoded, by key.
    :param written: this entry's value in the store; ``None`` if it is not known.
    :param renew_at: when the lease is renewed; a point in time.
    """

    def __init__(
        self,
        kv: KeyValueService,
        stream_builds: StreamBuilds,
        key: str,
        writes_per_second: float,
        entries: cabc.Callable[[], cabc.Sized],
    ) -> None:
        self.kv = kv
        self.stream_builds = stream_builds
        self.key = key
        self.writes_per_second = writes_per_second
        self.entries = entries
        self.values: dict[str, bytes] = {}
        self.decoded: dict[str, dict[int, tuple[str, str]]] = {}
        self.written: bytes | None = b""
        self.revision = 0
        self.lease: int | None = None
        self.renew_at = math.inf

    def find(self, stream: int) -> tuple[str, str] | None:
        """Return the group and the build of a stream of any entry, or ``None``."""
        for streams in self._all_decoded():
            if stream in streams:
                return streams[stream]
        return None

    def builds(self, group: str) -> set[str]:
        """Return the builds of a group at which streams of any entry began."""
        return {
            build
            for streams in self._all_decoded()
            for other, build in streams.values()
            if other == group
        }

    def _all_decoded(self) -> cabc.Iterator[dict[int, tuple[str, str]]]:
        for key, value in self.values.items():
            if key not in self.decoded:
                self.decoded[key] = _decode(key, value)
            yield self.decoded[key]

    def put(self, item: KeyValue) -> None:
        """Apply the value that an entry has written."""
        self.values[item.key] = item.value
        self.decoded.pop(item.key, None)
        if item.key == self.key and item.mod_revision > self.revision:
            # An earlier write may have been carried out late.
            self.written, self.revision = item.value, item.mod_revision

    def remove(self, key: str) -> None:
        """Apply the removal of a value."""
        self.values.pop(key, None)
        self.decoded.pop(key, None)
        if key == self.key:
            self.written = b""

    def replace_all(self, items: tuple[KeyValue, ...], *, restored: bool) -> None:
        """Apply the values as they were read from the store."""
        kept = {item.key for item in items}
        for key in [key for key in self.values if key not in kept]:
            if not restored:
                self.remove(key)
        if self.key not in kept:
            self.written = b""
        for item in items:
            self.put(item)

    @property
    def interval(self) -> float:
        """Seconds between two writes of an entry, by the number of entries."""
        rate = STORE_SHARE * self.writes_per_second
        return max(WRITE_SECONDS, len(self.entries()) / rate)

    async def run(self) -> None:
        """Write the streams in progress whenever they have changed, until cancelled.

        A stream that begins is written at once. That streams have ended, or have to be
        told apart since another build came, may wait.
        """
        loop = asyncio.get_running_loop()
        begun = self.stream_builds.begun_at_several
        while True:
            written_at = loop.time()
            await asyncio.sleep(self.interval)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(written_at + CHECK_SECONDS):
                    await begun.wait()
            begun.clear()
            value = self._value()
            try:
                if self.lease is not None and loop.time() >= self.renew_at:
                    await self._renew()
                if value != self.written:
                    await self._write(value)
            except LeaseLapsedError:
                self.lease = None
            except PortError as error:
                # The outcome may be unknown.
                self.written = None
                logger.info(
                    "streams in progress are not recorded",
                    extra={"error": error.message},
                )

    def _value(self) -> bytes:
        """Return the value to write; empty if there is nothing to tell apart."""
        history = self.stream_builds.fleet.build_history
        mixed: dict[str, bool] = {}
        streams: dict[str, dict[str, bytearray]] = {}
        unfinished = self.stream_builds.unfinished.values()
        first = max(0, len(unfinished) - MAX_STREAMS)
        for record in itertools.islice(unfinished, first, None):
            if record.group not in mixed:
                mixed[record.group] = len(history.builds(record.group)) > 1
            if mixed[record.group]:
                builds = streams.setdefault(record.group, {})
                hashes = builds.setdefault(record.build, bytearray())
                hashes += record.stream.to_bytes(HASH_BYTES)
        return msgspec.msgpack.encode(streams) if streams else b""

    async def _write(self, value: bytes) -> None:
        now = asyncio.get_running_loop().time()
        if not value:
            await self.kv.txn([], [Delete(self.key)])
            self.written = value
            return
        if self.lease is None:
            self.lease = await self.kv.grant_lease(LEASE_SECONDS)
            self.renew_at = now + RENEWAL_SECONDS
        result = await self.kv.txn([], [Put(self.key, value, self.lease)])
        self.written, self.revision = value, result.revision

    async def _renew(self) -> None:
        assert self.lease is not None
        if not self.written:
            # The lease ends by itself.
            self.lease = None
            return
        self.renew_at = asyncio.get_running_loop().time() + RENEWAL_SECONDS
        if not await self.kv.keep_alive(self.lease):
            self.lease = None
            self.written = b""


def _decode(key: str, value: bytes) -> dict[int, tuple[str, str]]:
    """Return the group and the build of each stream of a value."""
    try:
        groups = decode_msgpack(value, _VALUE_TYPE)
    except DecodingError as error:
        logger.warning(
            "streams in progress cannot be decoded",
            extra={"key": key, "error": str(error)},
        )
        return {}
    return {
        int.from_bytes(hashes[start : start + HASH_BYTES]): (group, build)
        for group, builds in groups.items()
        for build, hashes in builds.items()
        for start in range(0, len(hashes), HASH_BYTES)
    }
