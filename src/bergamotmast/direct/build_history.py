"""Builds of each group at which streams may have begun, and whether all are known.

A stream may only go on at the build that it began at. An entry that has just started
sees the builds that are registered now, but not those whose upstreams left while it was
down. All entries therefore share a record in the store of the builds of each group,
which names a build for as long as streams that began there may be resumed.

A restored store has an older record, which may lack builds. The record therefore names
the era in which it is known to be complete, by the number of restores before it.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging
import math
import typing as t

import msgspec

from ..decoding import DecodingError
from ..decoding import decode_json
from ..ports import KeyValue
from .unregistered_builds import is_unregistered

logger = logging.getLogger(__name__)

BUILDS_KEY = "/bergamotmast/builds"
"""Key of the record: a JSON object with lists of builds by group, and its era."""

RETENTION_SECONDS = 60.0
"""How long after the departure of a build's last upstream streams of it may go on."""

MAX_GAP_SECONDS = RETENTION_SECONDS
"""Longest gap in the watch before a restore after which an entry still knows more than
the restored record. While the store is away, nothing registers; while this entry alone
does not reach it, others know what registers and add it."""

OUTAGE_SECONDS = 3.0
"""Time without a reply of the store after which an entry may not hear of changes."""

SETTLING_SECONDS = 2.0
"""How long the record waits after a restore for what other entries know, and for the
registrations of upstreams that came in the gap, before it counts as complete."""

HOLD_SECONDS = 5.0
"""How long an entry that has just started leaves a second build of a group unrecorded
which came while it did not run. Until then all streams are known to have begun at the
recorded one, and callers resume broken streams within seconds."""

Builds = dict[str, frozenset[str]]


class _Record(msgspec.Struct, frozen=True):
    """The record; without an era, it is the first one."""

    groups: dict[str, list[str]]
    era: t.Annotated[int, msgspec.Meta(ge=0)] = 0


class BuildHistory:
    """What this entry knows of the builds of each group.

    Implements :class:`~bergamotmast.direct.fleet.KeyListener` for the record.

    :param registered: returns the builds of a group that are registered.
    :param told: returns what a registration has told of a build since, or its name.
    :param departed: until when streams may go on that began at a build that is not
        registered, by group and build; points in time.
    :param watched_since: since when all registrations have been seen without a gap; a
        point in time, infinity before that.
    :param recorded: the record in the store; ``None`` if it can't be decoded.
    :param revision: its revision; 0 if there is none.
    :param recorded_era: era in which the record is complete.
    :param store_era: era of the store, as of the last read.
    :param is_sure: whether this entry knew all builds as of the last read, by the
        record or by its own watch.
    :param heard_at: when the store last replied; a point in time.
    :param is_restored: whether the record may lack builds after a restore of the store.
    :param held: builds that were registered and not recorded when this entry started,
        by group, where the record named one other; ``None`` before the first read.
    :param held_until: until when they are not recorded; a point in time.
    :param unrecorded: until when streams may go on that began at a build that the
        record does not name yet, by group and build; points in time.
    :param changed: set when the record may have to be written.
    """

    def __init__(
        self,
        clock: cabc.Callable[[], float],
        registered: cabc.Callable[[str], cabc.Collection[str]],
        told: cabc.Callable[[str], str] = str,
    ) -> None:
        self.clock = clock
        self.registered = registered
        self.told = told
        self.departed: dict[tuple[str, str], float] = {}
        self.watched_since = math.inf
        self.recorded: Builds | None = {}
        self.revision = 0
        self.recorded_era = 0
        self.store_era = 0
        self.is_sure = False
        self.heard_at = -math.inf
        self.is_restored = False
        self.held: dict[str, frozenset[str]] | None = None
        self.held_until = -math.inf
        self.unrecorded: dict[tuple[str, str], float] = {}
        self.changed = asyncio.Event()

    def builds(self, group: str) -> set[str]:
        """Return the builds of a group that may still have streams."""
        return set(self.seconds(group))

    def seconds(self, group: str) -> dict[str, float]:
        """Return for how many seconds each build of a group may still have streams."""
        now = self.clock()
        departed: dict[str, float] = {}
        for (other, name), until in self.departed.items():
            if other == group and now < until:
                build = self.told(name)
                seconds = min(until - now, RETENTION_SECONDS)
                departed[build] = max(seconds, departed.get(build, 0.0))
        return departed | dict.fromkeys(self.registered(group), RETENTION_SECONDS)

    def note(self, group: str, build: str, seconds: float = RETENTION_SECONDS) -> None:
        """Record that streams may have begun at a build that is not registered here.

        :param seconds: for how long such streams may go on.
        """
        now = self.clock()
        for key in [key for key, until in self.departed.items() if now >= until]:
            del self.departed[key]
        known_until = self.departed.get((group, build), now)
        self.departed[group, build] = max(known_until, now + seconds)

    def on_told(
        self, group: str, build: str, seconds: float = RETENTION_SECONDS
    ) -> None:
        """Record that another entry knows of a build.

        While the store isn't heard, one that is registered there is kept: that it has
        left would not be heard either.

        :param seconds: for how long its streams may go on, as the other entry knows it.
        """
        is_kept = self.clock() > self.heard_at + OUTAGE_SECONDS
        if is_kept and seconds >= RETENTION_SECONDS:
            seconds = math.inf
        self.note(group, build, seconds)

    @property
    def has_watched(self) -> bool:
        """Whether this entry has watched for as long as streams may go on."""
        return self.clock() >= self.watched_since + RETENTION_SECONDS

    def is_complete(self, group: str) -> bool:
        """Return whether no other build of a group can have streams.

        This holds as of the last change in the store that was received.
        """
        if self.has_watched:
            return True
        return self.is_trusted and bool(self.recorded_builds(group))

    def recorded_builds(self, group: str) -> frozenset[str]:
        """Return the builds of a group that the record in the store names."""
        return (self.recorded or {}).get(group, frozenset())

    @property
    def is_trusted(self) -> bool:
        """Whether the record, or its absence, is not that of a store before a restore.

        This does not hold if it can't be decoded.
        """
        return self.recorded is not None and self.recorded_era == self.store_era

    @property
    def settles_at(self) -> float:
        """When the record may be complete again after a restore; a point in time."""
        return self.watched_since + SETTLING_SECONDS

    @property
    def check_at(self) -> float:
        """When the record may have to be written without a change; a point in time."""
        now = self.clock()
        times = (self.settles_at, self.held_until)
        return min((at for at in times if now < at), default=math.inf)

    def on_read(self) -> None:
        """Record that all registrations were read, after a gap in the watch."""
        now = self.clock()
        latest = now + RETENTION_SECONDS
        self.departed = {b: min(until, latest) for b, until in self.departed.items()}
        has_gap = now > self.heard_at + MAX_GAP_SECONDS
        self.is_sure = (self.is_sure or self.has_watched) and not has_gap
        self.watched_since = now
        self.changed.set()

    def on_begun(self, group: str, build: str) -> None:
        """Record that a stream has begun at a build, here or at another entry.

        One that the record doesn't name has to be recorded at once.
        """
        recorded = self.recorded_builds(group)
        if not recorded or build in recorded:
            return
        self.unrecorded[group, build] = self.clock() + RETENTION_SECONDS
        if self.held and self.held.pop(group, None):
            self.changed.set()

    @property
    def has_unrecorded_streams(self) -> bool:
        """Whether streams may go on that began at a build that was not recorded."""
        now = self.clock()
        return any(now < until for until in self.unrecorded.values())

    def awaits_record(self, group: str) -> bool:
        """Return whether a build is registered that the record does not name yet.

        After a start, it is left out of the record on purpose.
        """
        if self.clock() < self.held_until and self.held and group in self.held:
            return False
        return not self.recorded_builds(group).issuperset(self.registered(group))

    def only_recorded(self, group: str) -> str | None:
        """Return the only build of a group that the record names.

        ``None`` if it names several, can't be trusted, no engine of it is left, so that
        streams begin at any build, or some have begun at a build that it didn't name.
        """
        recorded = self.recorded_builds(group)
        if not self.is_trusted or len(recorded) != 1:
            return None
        if not recorded.intersection(self.registered(group)):
            return None
        now = self.clock()
        if any(now < t for (other, _), t in self.unrecorded.items() if other == group):
            return None
        return next(iter(recorded))

    def on_store_reply(self, now: float) -> None:
        """Record that the store has replied, and all changes before are known."""
        self.heard_at = now

    @property
    def heard_ms(self) -> float | None:
        """Milliseconds since the store last replied; ``None`` before it has."""
        if self.heard_at == -math.inf:
            return None
        return round((self.clock() - self.heard_at) * 1e3, 1)

    def on_registered(self, group: str, build: str) -> None:
        """Record that an upstream of a build has registered."""
        if build not in self.recorded_builds(group):
            self.changed.set()

    def put(self, item: KeyValue) -> None:
        """Apply the record that an entry has written."""
        if item.mod_revision < self.revision:
            return
        self.revision = item.mod_revision
        before = self.recorded or {}
        self.recorded, self.recorded_era = decode(item)
        self._forget_recorded()
        self.is_sure = self.is_sure or self.is_trusted
        self.changed.set()
        for group, builds in (self.recorded or {}).items():
            # A build that was known before keeps its time.
            unknown = builds - before.get(group, frozenset()) - self.builds(group)
            for build in unknown:
                self.note(group, build)

    def on_written(self, builds: Builds, revision: int, era: int = 0) -> None:
        """Apply the record that this entry has written.

        The watch may have delivered a later one before the answer to the write.
        """
        if revision < self.revision:
            return
        self.recorded, self.revision, self.recorded_era = builds, revision, era
        self._forget_recorded()
        self.is_restored = False

    def _forget_recorded(self) -> None:
        """Forget that builds were unrecorded which the record names by now."""
        if self.is_trusted:
            self.unrecorded = {
                (group, build): until
                for (group, build), until in self.unrecorded.items()
                if build not in self.recorded_builds(group)
            }

    def remove(self, key: str) -> None:
        """Apply the removal of the record."""
        self.recorded = {}
        self.revision = 0
        self.recorded_era = 0
        self.is_sure = self.is_sure or self.is_trusted
        self.changed.set()

    def replace_all(self, items: tuple[KeyValue, ...], *, restored: bool) -> None:
        """Apply the record as it was read from the store."""
        self.is_restored = self.is_restored or restored
        if not items:
            self.remove(BUILDS_KEY)
        for item in items:
            self.put(item)
        if self.held is None:
            self.held = {
                group: frozenset(self.registered(group)) - {only}
                for group in self.recorded or {}
                if (only := self.only_recorded(group)) is not None
            }
            self.held_until = self.clock() + HOLD_SECONDS

    def _due(self, group: str) -> frozenset[str]:
        """Return the registered builds of a group that the record should name now.

        A group without an upstream of the recorded build needs the others.
        """
        registered = frozenset(self.registered(group))
        if self.clock() >= self.held_until or not self.held:
            return registered
        if self.only_recorded(group) not in registered:
            return registered
        return registered - self.held.get(group, frozenset())

    def wanted(self, groups: cabc.Iterable[str]) -> Builds | None:
        """Return what the record should be; ``None`` if it can't be told yet.

        A build is added once it is registered, or somewhat later if this entry has just
        started, and dropped once it has watched for as long as streams of it may go on:
        a group without a route may get one again, and entries may know different
        configurations.

        :param groups: groups whose streams can be resumed.
        """
        if self.recorded is None and not self.has_watched:
            return None
        recorded = self.recorded or {}
        routed = set(groups)
        wanted = {}
        for group in routed | recorded.keys():
            known = self.builds(group)
            kept = recorded.get(group, frozenset())
            if self.has_watched:
                kept &= known
            if self.is_restored or not self.is_trusted:
                kept |= known
            builds = kept | (self._due(group) if group in routed else frozenset())
            builds = frozenset(b for b in builds if not is_unregistered(b))
            if builds:
                wanted[group] = builds
        return wanted

    def additions(self, builds: Builds) -> frozenset[tuple[str, str]]:
        """Return the groups and builds that a new record names and the present one not.

        Without a record of a group, an upstream of a recorded build, or a record from
        after the last restore, streams begin at any build. Those of which that is known
        are left out.
        """
        if not self.is_trusted:
            return frozenset()
        now = self.clock()
        return frozenset(
            (group, build)
            for group, names in builds.items()
            if self.recorded_builds(group).intersection(self.registered(group))
            for build in names - self.recorded_builds(group)
            if now >= self.unrecorded.get((group, build), -math.inf)
        )

    @property
    def wanted_era(self) -> int:
        """The era in which the record is complete once it is what it should be."""
        settled = self.is_sure and self.clock() >= self.settles_at
        if settled or self.has_watched:
            return self.store_era
        return self.recorded_era

    def pending(self, groups: cabc.Iterable[str]) -> tuple[Builds, int] | None:
        """Return the record to write, with its era; ``None`` if there is none."""
        groups = frozenset(groups)
        wanted, era = self.wanted(groups), self.wanted_era
        if wanted is None or not groups:
            # Without a configuration, no group is known.
            return None
        if (wanted, era) == (self.recorded, self.recorded_era):
            return None
        return wanted, era


def encode(builds: Builds, era: int = 0) -> bytes:
    """Return the value of the record."""
    groups = {group: sorted(names) for group, names in sorted(builds.items())}
    return msgspec.json.encode(_Record(groups, era))


def decode(item: KeyValue) -> tuple[Builds | None, int]:
    """Return the builds and the era; ``None`` and 0 if they can't be decoded."""
    try:
        record = _decode_record(item.value)
    except DecodingError as error:
        logger.warning(
            "record of builds cannot be decoded", extra={"error": str(error)}
        )
        return None, 0
    builds = {group: frozenset(names) for group, names in record.groups.items()}
    return builds, record.era


def _decode_record(value: bytes) -> _Record:
    try:
        return decode_json(value, _Record)
    except DecodingError:
        # Entries of an earlier version write the groups alone.
        return _Record(decode_json(value, dict[str, list[str]]))
