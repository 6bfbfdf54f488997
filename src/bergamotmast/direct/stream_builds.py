"""Builds of the upstreams at which streams began, for callers that resume them.

A caller may resume a stream at any entry, also after the one that began it has ended.
The stream may only go on at the build that it began at, which upstreams do not check.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import contextlib
import dataclasses
import logging
import math
import typing as t

from ..policy.entry_ranking import stable_hash
from .fleet import Fleet
from .only_build import STORE_REPLY_SECONDS
from .only_build import BuildPeers
from .only_build import KnownBy
from .only_build import OnlyBuildProof
from .only_build import PeerAnswers
from .unregistered_builds import UNIDENTIFIED_BUILD
from .unregistered_builds import is_unregistered

logger = logging.getLogger(__name__)

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


RECORDED = frozenset({KnownBy.MEMORY, KnownBy.STORE, KnownBy.PEERS})
"""Ways by which a stream itself is known, and not only the builds of its group."""


@dataclasses.dataclass(frozen=True, slots=True)
class FoundBuild:
    """Where a stream can go on.

    :param record: ``None`` if it is not known.
    :param answers: those of the other entries; ``None`` if they were not asked.
    """

    record: StreamBuild | None
    known_by: KnownBy
    answers: PeerAnswers | None = None


class StreamBuildPeers(BuildPeers, t.Protocol):
    """Other entries that keep copies of the records."""

    def copy(self, records: cabc.Sequence[StreamBuild]) -> None:
        """Send records to the entries that keep their copies."""
        ...

    async def find(self, stream: int, group: str) -> PeerAnswers:
        """Ask other entries for the record of a stream, which is then kept here.

        Those that don't know it tell of the group's builds.
        """
        ...


class StoredStreamBuilds(t.Protocol):
    """Streams in progress of all entries, as recorded in the store."""

    def find(self, stream: int) -> tuple[str, str] | None:
        """Return the group and the build of a stream, or ``None``."""
        ...

    def builds(self, group: str) -> set[str]:
        """Return the builds of a group at which streams began."""
        ...


class OnlyBuildCheck(t.Protocol):
    """The store, asked for the builds at which streams may have begun."""

    async def only_build(self, group: str) -> str | None:
        """Return the build at which all unknown streams of a group have begun.

        ``None`` if there may be several.
        """
        ...


class StreamBuilds:
    """Records of the builds at which streams began.

    :param peers: other entries that keep copies; ``None`` for an entry on its own.
    :param stored: records that outlast the entries; ``None`` without a store.
    :param check: tells of a group with several registered builds whether streams may
        have begun at one only; ``None`` without a store.
    :param proof: tells whether a group with one known build has had no other.
    :param records: records by hash, oldest first.
    :param unfinished: records of this entry's streams that callers may yet resume, by
        hash, oldest first.
    :param broken: streams of these that have ended incomplete, with the point in time
        until when they may be resumed, oldest first.
    :param uncopied: records that no other entry has a copy of, oldest first.
    :param begun_at_several: set when a stream begins in a group of several builds.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.peers: StreamBuildPeers | None = None
        self.stored: StoredStreamBuilds | None = None
        self.check: OnlyBuildCheck | None = None
        self.proof = OnlyBuildProof(fleet)
        self.records: dict[int, StreamBuild] = {}
        self.unfinished: dict[int, StreamBuild] = {}
        self.broken: dict[int, float] = {}
        self.uncopied: collections.deque[StreamBuild] = collections.deque(
            maxlen=MAX_RECORDS
        )
        self.begun_at_several = asyncio.Event()

    def on_begun(self, request_id: str, group: str, build: str) -> None:
        """Record the build at which a stream began.

        :param request_id: id of the request that brought its first event.
        """
        expires_at = asyncio.get_running_loop().time() + RETENTION_SECONDS
        record = StreamBuild(stable_hash(request_id), group, build, expires_at)
        known = self.unfinished.get(record.stream)
        if known is not None and is_unregistered(known.build):
            # Its incarnation is known now.
            self.records.pop(record.stream, None)
        if not self._keep(record):
            return
        self.fleet.build_history.on_begun(group, build)
        self.broken.pop(record.stream, None)
        self.unfinished[record.stream] = record
        has_several = not self._has_one_build(group)
        if has_several:
            self.begun_at_several.set()
        if has_several and self.peers is not None:
            self.peers.copy([record])
        else:
            self.uncopied.append(record)

    def on_ended(self, request_id: str, *, complete: bool) -> None:
        """Record that a stream has ended at this entry.

        :param request_id: id of the request that brought its first event.
        :param complete: whether its caller has no reason to resume it.
        """
        stream = stable_hash(request_id)
        if stream not in self.unfinished:
            return
        if complete:
            del self.unfinished[stream]
            return
        now = asyncio.get_running_loop().time()
        self.broken[stream] = now + RETENTION_SECONDS
        record = self.unfinished[stream]
        self._keep(dataclasses.replace(record, expires_at=self.broken[stream]))
        for ended, until in list(self.broken.items()):
            if now < until:
                break
            del self.broken[ended]
            self.unfinished.pop(ended, None)

    def on_copy(self, record: StreamBuild) -> None:
        """Keep a record that another entry has made or kept.

        Its build may be registered without this entry's notice.
        """
        build = self._told(record)
        self.fleet.build_history.on_told(record.group, build)
        self.fleet.build_history.on_begun(record.group, build)
        self._keep(record)

    def _keep(self, record: StreamBuild) -> bool:
        """Keep a record; ``False`` if the stream is known to have begun elsewhere."""
        known = self.records.pop(record.stream, record)
        if self._is_less_certain(record, known):
            known = record
        if (known.group, self._told(known)) != (record.group, self._told(record)):
            self.records[record.stream] = known
            logger.warning(
                "stream has begun at two builds",
                extra={"first": known.build, "second": record.build},
            )
            return False
        self.records[record.stream] = record
        self._drop_expired()
        return True

    def _told(self, record: StreamBuild) -> str:
        """Return the build of a record, as an incarnation may have registered since."""
        return self.fleet.incarnations.build(record.build)

    def _is_less_certain(self, record: StreamBuild, known: StreamBuild) -> bool:
        """Return whether a record withdraws the build that another one names.

        It does if its incarnation turned out to be another one than was registered.
        """
        if record.group != known.group or not is_unregistered(record.build):
            return False
        return not is_unregistered(known.build) or known.build == UNIDENTIFIED_BUILD

    def copy_records(self) -> None:
        """Copy the records of groups with several builds to other entries.

        A group of one build needs no copies. Streams that began before another build
        was registered are copied once it is.
        """
        now = asyncio.get_running_loop().time()
        pending = [record for record in self.uncopied if now < record.expires_at]
        groups = {record.group for record in pending}
        history = self.fleet.build_history
        mixed = {group for group in groups if len(history.builds(group)) > 1}
        copied = [record for record in pending if record.group in mixed]
        self.uncopied.clear()
        self.uncopied.extend(r for r in pending if r.group not in mixed)
        if copied and self.peers is not None:
            self.peers.copy(copied)

    def record(self, stream: int) -> StreamBuild | None:
        """Return the record of a stream that this entry knows, or ``None``."""
        self._drop_expired()
        known = self.records.get(stream)
        if known is None:
            return self._stored_record(stream)
        return dataclasses.replace(known, build=self._told(known))

    def _stored_record(self, stream: int) -> StreamBuild | None:
        """Return the record of a stream in the store, which is then kept here."""
        found = None if self.stored is None else self.stored.find(stream)
        if found is None:
            return None
        expires_at = asyncio.get_running_loop().time() + RETENTION_SECONDS
        record = StreamBuild(stream, *found, expires_at)
        self.on_copy(record)
        return dataclasses.replace(record, build=self._told(record))

    async def find(self, request_id: str, groups: cabc.Sequence[str]) -> FoundBuild:
        """Find out where a stream began.

        :param request_id: id of the request that brought its first event.
        :param groups: groups in which it can go on; the first one is taken if it is
            not known and there is only one build.
        """
        stream, group = stable_hash(request_id), groups[0]
        known_by = KnownBy.MEMORY if stream in self.records else KnownBy.STORE
        record, only, answers = self.record(stream), None, None
        if record is not None and record.group in groups:
            return FoundBuild(record, known_by)
        if self._has_one_build(group):
            proof = await self.proof.find(stream, group, self.peers)
            only, answers = proof.known_by, proof.answers
        record = record or self.record(stream)
        has_several = not self._has_one_build(group)
        if record is None and has_several and self.peers is not None:
            answers = await self.peers.find(stream, group)
            record = self.record(stream)
        if record is not None and record.group in groups:
            return FoundBuild(record, KnownBy.PEERS, answers)
        is_elsewhere = record is not None or set(groups) != {group}
        if has_several and not is_elsewhere:
            return await self._find_by_record(stream, group, answers)
        if has_several or only is None:
            return FoundBuild(None, KnownBy.UNKNOWN, answers)
        (build,) = self.fleet.build_history.builds(group)
        return FoundBuild(StreamBuild(stream, group, build, math.inf), only, answers)

    async def confirm(
        self, request_id: str, group: str, build: str | None
    ) -> str | None:
        """Return where a stream goes on, as known by now.

        Another build may have become known since. What nobody knows by now began
        before there were several.

        :param request_id: id of the request that brought its first event.
        :param group: the group in which it goes on.
        :param build: the build at which it was to go on.
        """
        stream = stable_hash(request_id)
        record = self.record(stream)
        may_differ = not self._has_one_build(group)
        if record is None and may_differ and self.peers is not None:
            await self.peers.find(stream, group)
            record = self.record(stream)
        return build if record is None or record.group != group else record.build

    async def _find_by_record(
        self, stream: int, group: str, answers: PeerAnswers | None
    ) -> FoundBuild:
        """Find out where a stream began that no entry knows, by the store's record."""
        build = await self._recorded_build(group)
        record = self.record(stream)
        if record is not None and record.group == group:
            return FoundBuild(record, KnownBy.PEERS, answers)
        if build is None or self._stored_builds(group) - {build}:
            # Streams have begun at a build that the record does not name yet.
            return FoundBuild(None, KnownBy.UNKNOWN, answers)
        if self.peers is not None and self.fleet.build_history.awaits_record(group):
            # Where no engine of a recorded build takes a stream, it begins at another.
            answers = await self.peers.survey(group)
            if answers.asked and not answers.is_complete:
                return FoundBuild(None, KnownBy.UNKNOWN, answers)
        only = StreamBuild(stream, group, build, math.inf)
        return FoundBuild(only, KnownBy.RECORD, answers)

    async def _recorded_build(self, group: str) -> str | None:
        """Return the only build that the store names, if it answers in time."""
        if self.check is None:
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_REPLY_SECONDS):
                return await self.check.only_build(group)
        return None

    def _stored_builds(self, group: str) -> set[str]:
        if self.stored is None:
            return set()
        known = self.fleet.incarnations
        return {known.build(build) for build in self.stored.builds(group)}

    def _has_one_build(self, group: str) -> bool:
        return len(self.fleet.build_history.builds(group)) == 1

    def _drop_expired(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.records:
            oldest = next(iter(self.records.values()))
            if now < oldest.expires_at and len(self.records) <= MAX_RECORDS:
                return
            del self.records[oldest.stream]
