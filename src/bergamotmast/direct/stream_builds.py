"""Builds of the upstreams at which streams began, for callers that resume them.

A caller may resume a stream at any entry, also after the one that began it has ended.
The stream may only go on at the build that it began at, which upstreams do not check.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import hashlib
import typing as t

from .fleet import Fleet

RETENTION_SECONDS = 30.0
"""How long a record is kept; longer than callers go on with one stream."""

MAX_RECORDS = 50_000
"""Maximum number of records; the oldest ones are dropped first."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBuild:
    """The build at which a stream began.

    :param stream: hash of the id of the request that brought its first event.
    :param expires_at: when the record is dropped; a point in time.
    """

    stream: int
    group: str
    build: str
    expires_at: float


class StreamBuildPeers(t.Protocol):
    """Other entries that keep copies of the records."""

    def copy(self, records: cabc.Sequence[StreamBuild]) -> None:
        """Send records to the entries that keep their copies."""
        ...

    async def find(self, stream: int) -> str | None:
        """Return the build of a stream that another entry knows, or ``None``."""
        ...


class StreamBuilds:
    """Records of the builds at which streams began.

    :param peers: other entries that keep copies; ``None`` for an entry on its own.
    :param complete_at: when this entry knows all builds that streams may have begun at;
        a point in time.
    :param records: records by hash, oldest first.
    :param uncopied: records that no other entry has a copy of, oldest first.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.peers: StreamBuildPeers | None = None
        self.complete_at = fleet.clock() + RETENTION_SECONDS
        self.records: dict[int, StreamBuild] = {}
        self.uncopied: collections.deque[StreamBuild] = collections.deque(
            maxlen=MAX_RECORDS
        )

    def on_begun(self, request_id: str, group: str, build: str) -> None:
        """Record the build at which a stream began.

        :param request_id: id of the request that brought its first event.
        """
        expires_at = asyncio.get_running_loop().time() + RETENTION_SECONDS
        record = StreamBuild(stream_hash(request_id), group, build, expires_at)
        self.keep(record)
        self.uncopied.append(record)
        if len(self.fleet.builds(group)) > 1:
            self.copy_records()

    def keep(self, record: StreamBuild) -> None:
        """Keep a record, which replaces an older one of the same stream."""
        self.records.pop(record.stream, None)
        self.records[record.stream] = record
        self._drop_expired()

    def copy_records(self) -> None:
        """Copy the records of groups with several builds to other entries.

        A group of one build needs no copies. Streams that began before another build
        was registered are copied once it is.
        """
        now = asyncio.get_running_loop().time()
        pending = [record for record in self.uncopied if now < record.expires_at]
        groups = {record.group for record in pending}
        mixed = {group for group in groups if len(self.fleet.builds(group)) > 1}
        copied = [record for record in pending if record.group in mixed]
        self.uncopied.clear()
        self.uncopied.extend(r for r in pending if r.group not in mixed)
        if copied and self.peers is not None:
            self.peers.copy(copied)

    def record(self, stream: int) -> StreamBuild | None:
        """Return the record of a stream that this entry knows, or ``None``."""
        self._drop_expired()
        return self.records.get(stream)

    async def find(self, request_id: str, group: str) -> str | None:
        """Return the build at which a stream began; ``None`` if it is not known.

        :param request_id: id of the request that brought its first event.
        """
        stream = stream_hash(request_id)
        record = self.record(stream)
        if record is not None:
            return record.build
        builds = self.fleet.builds(group)
        only_build = next(iter(builds)) if len(builds) == 1 else None
        # An entry that has just started doesn't know which builds have departed.
        is_new = asyncio.get_running_loop().time() < self.complete_at
        if self.peers is None or (only_build is not None and not is_new):
            return only_build
        build = await self.peers.find(stream)
        return only_build if build is None else build

    def _drop_expired(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.records:
            oldest = next(iter(self.records.values()))
            if now < oldest.expires_at and len(self.records) <= MAX_RECORDS:
                return
            del self.records[oldest.stream]


def stream_hash(request_id: str) -> int:
    """Return the hash that identifies a stream among the entries."""
    encoded = request_id.encode(errors="surrogatepass")
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=8).digest())
