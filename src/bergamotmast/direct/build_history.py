"""Builds of each group at which streams may have begun, and whether all are known.

A stream may only go on at the build that it began at. An entry that has just started
sees the builds that are registered now, but not those whose upstreams left while it was
down. All entries therefore share a record in the store of the builds of each group,
which names a build for as long as streams that began there may be resumed.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging
import math

import msgspec

from ..ports import KeyValue
from .unregistered_builds import is_unregistered

logger = logging.getLogger(__name__)

BUILDS_KEY = "/bergamotmast/builds"
"""Key of the record: a JSON object with a list of builds for each group."""

RETENTION_SECONDS = 60.0
"""How long after the departure of a build's last upstream streams of it may go on."""

Builds = dict[str, frozenset[str]]


class BuildHistory:
    """What this entry knows of the builds of each group.

    Implements :class:`~bergamotmast.direct.fleet.KeyListener` for the record.

    :param registered: returns the builds of a group that are registered.
    :param departed: until when streams may go on that began at a build that is not
        registered, by group and build; points in time.
    :param watched_since: since when all registrations have been seen without a gap; a
        point in time, infinity before that.
    :param recorded: the record in the store; ``None`` if it can't be decoded.
    :param revision: its revision; 0 if there is none.
    :param is_restored: whether the record may lack builds after a restore of the store.
    :param changed: set when the record may have to be written.
    """

    def __init__(
        self,
        clock: cabc.Callable[[], float],
        registered: cabc.Callable[[str], cabc.Collection[str]],
    ) -> None:
        self.clock = clock
        self.registered = registered
        self.departed: dict[tuple[str, str], float] = {}
        self.watched_since = math.inf
        self.recorded: Builds | None = {}
        self.revision = 0
        self.is_restored = False
        self.changed = asyncio.Event()

    def builds(self, group: str) -> set[str]:
        """Return the builds of a group that may still have streams."""
        return set(self.seconds(group))

    def seconds(self, group: str) -> dict[str, float]:
        """Return for how many seconds each build of a group may still have streams."""
        now = self.clock()
        departed = {
            build: until - now
            for (other, build), until in self.departed.items()
            if other == group and now < until
        }
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

    @property
    def has_watched(self) -> bool:
        """Whether this entry has watched for as long as streams may go on."""
        return self.clock() >= self.watched_since + RETENTION_SECONDS

    def is_complete(self, group: str) -> bool:
        """Return whether no other build of a group can have streams.

        This holds as of the last change in the store that was received.
        """
        return self.has_watched or group in (self.recorded or {})

    @property
    def is_readable(self) -> bool:
        """Whether the record could be decoded, or there is none."""
        return self.recorded is not None

    def on_read(self) -> None:
        """Record that all registrations were read, after a gap in the watch."""
        self.watched_since = self.clock()
        self.changed.set()

    def on_registered(self, group: str, build: str) -> None:
        """Record that an upstream of a build has registered."""
        if build not in (self.recorded or {}).get(group, ()):
            self.changed.set()

    def put(self, item: KeyValue) -> None:
        """Apply the record that an entry has written."""
        if item.mod_revision < self.revision:
            return
        self.revision = item.mod_revision
        before = self.recorded or {}
        self.recorded = _decode(item)
        self.changed.set()
        for group, builds in (self.recorded or {}).items():
            # A build that was known before keeps its time.
            unknown = builds - before.get(group, frozenset()) - self.builds(group)
            for build in unknown:
                self.note(group, build)

    def on_written(self, builds: Builds, revision: int) -> None:
        """Apply the record that this entry has written."""
        self.recorded, self.revision = builds, revision
        self.is_restored = False

    def remove(self, key: str) -> None:
        """Apply the removal of the record."""
        self.recorded = {}
        self.revision = 0
        self.changed.set()

    def replace_all(self, items: tuple[KeyValue, ...], *, restored: bool) -> None:
        """Apply the record as it was read from the store."""
        self.is_restored = self.is_restored or restored
        if not items:
            self.remove(BUILDS_KEY)
        for item in items:
            self.put(item)

    def wanted(self, groups: cabc.Iterable[str]) -> Builds | None:
        """Return what the record should be; ``None`` if it can't be told yet.

        A build is added once it is registered, and dropped once this entry has watched
        for as long as streams of it may go on.

        :param groups: groups whose streams can be resumed.
        """
        if self.recorded is None and not self.has_watched:
            return None
        recorded = self.recorded or {}
        wanted = {}
        for group in groups:
            known = self.builds(group)
            kept = recorded.get(group, frozenset())
            if self.has_watched:
                kept &= known
            if self.is_restored or self.recorded is None:
                kept |= known
            builds = kept | frozenset(self.registered(group))
            builds = frozenset(b for b in builds if not is_unregistered(b))
            if builds:
                wanted[group] = builds
        return wanted


def encode(builds: Builds) -> bytes:
    """Return the value of the record."""
    return msgspec.json.encode({g: sorted(b) for g, b in sorted(builds.items())})


def _decode(item: KeyValue) -> Builds | None:
    try:
        groups = msgspec.json.decode(item.value, type=dict[str, list[str]])
    except msgspec.DecodeError as error:
        logger.warning(
            "record of builds cannot be decoded", extra={"error": str(error)}
        )
        return None
    return {group: frozenset(builds) for group, builds in groups.items()}
