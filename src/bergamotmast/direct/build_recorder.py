"""Writes the record of the builds of each group to the store.

Streams begin at a build once the record names it, and entries that don't hear of it go
on with streams as if there were no such build, until they notice that they hear nothing
of the store. All entries are therefore told of a build before it is recorded.

The record is compared with what it should be whenever either changes, so that a write
that was lost, refused, carried out late or undone by a restore is made up for.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import itertools
import logging
import random
import typing as t

from ..backoff import Backoff
from ..errors import PortError
from ..policy.entry_ranking import first_entries
from ..policy.entry_ranking import stable_hash
from ..policy.watch_pause import max_reply_age
from ..ports import Compare
from ..ports import KeyValueService
from ..ports import Put
from .build_history import BUILDS_KEY
from .build_history import BuildHistory
from .build_history import Builds
from .build_history import encode

logger = logging.getLogger(__name__)

CHECK_SECONDS = 5.0
"""Interval between two checks for builds that no longer have streams."""

STANDBY_SECONDS = 1.0
"""How long the other entries leave the write to the first one."""

MAX_RETRY_DELAY_SECONDS = 2.0
"""Maximum delay between two attempts while the store is unavailable."""

NOTICE_SECONDS = 0.1
"""Time added to that after which an entry that hears nothing knows that it doesn't."""

ANNOUNCEMENT_SECONDS = 0.1
"""Interval between two announcements of a build to entries that have not answered."""

MAX_LOGGED_ENTRIES = 10
"""Maximum number of entries named in a log line."""


class BuildAnnouncer(t.Protocol):
    """The other entries, which are told of builds."""

    async def announce(
        self, group: str, build: str, answered: cabc.Set[str]
    ) -> Answers:
        """Tell the entries of a build that have not answered yet.

        :param answered: keys of the entries that have.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """The entries that have answered to the announcement of a build.

    :param answered: their keys.
    :param missing: keys of the others that are registered.
    """

    answered: frozenset[str] = frozenset()
    missing: frozenset[str] = frozenset()

    @property
    def is_half(self) -> bool:
        """Whether they and this one are half of all, or more.

        Any more than half of all entries then know the build by one of them at least.
        """
        return len(self.answered) + 1 >= len(self.missing)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A build of which the other entries are told before it is recorded.

    :param until: from when on half of the entries are enough; a point in time.
    :param answers: ``None`` before the first announcement.
    """

    until: float
    answers: Answers | None = None

    def is_done(self, now: float) -> bool:
        """Return whether enough entries know the build for it to be recorded."""
        if self.answers is None:
            return False
        has_waited = now >= self.until and self.answers.is_half
        return has_waited or not self.answers.missing


class BuildRecorder:
    """Keeps the record up to date.

    :param groups: returns the groups whose streams can be resumed.
    :param entries: returns the keys of all entries, this one's included.
    :param announcer: ``None`` for an entry on its own.
    :param announcements: of builds that are to be recorded, by group and build.
    """

    def __init__(
        self,
        kv: KeyValueService,
        history: BuildHistory,
        own_entry: str,
        groups: cabc.Callable[[], cabc.Iterable[str]],
        entries: cabc.Callable[[], cabc.Iterable[str]],
        rng: random.Random,
        announcer: BuildAnnouncer | None = None,
    ) -> None:
        self.kv = kv
        self.history = history
        self.announcer = announcer
        self.announcements: dict[tuple[str, str], Announcement] = {}
        self.own_entry = own_entry
        self.groups = groups
        self.entries = entries
        self.backoff = Backoff(rng, initial=0.1, maximum=MAX_RETRY_DELAY_SECONDS)

    async def run(self) -> None:
        """Write the record whenever it has to change, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._seconds_to_check()):
                    await self.history.changed.wait()
            self.history.changed.clear()
            record = self.history.pending(self.groups())
            if record is not None:
                self._plan_announcements(record[0])
                if not self._writes_at_once():
                    await asyncio.sleep(STANDBY_SECONDS)
            while (record := self.history.pending(self.groups())) is not None:
                self._plan_announcements(record[0])
                if unknown := self._unknown_to_others():
                    await self._announce(unknown)
                else:
                    await self._write(*record)
            self.announcements.clear()

    def _plan_announcements(self, builds: Builds) -> None:
        """Keep an announcement for each build that a new record adds.

        Streams that have begun at a build don't wait for entries that don't answer.
        """
        if self.announcer is None:
            return
        seconds = NOTICE_SECONDS + max_reply_age(len(list(self.entries())))
        if not self._is_first():
            seconds += STANDBY_SECONDS
        planned = Announcement(self.history.clock() + seconds)
        self.announcements = {
            build: self.announcements.get(build, planned)
            for build in self.history.additions(builds)
        }

    def _unknown_to_others(self) -> set[tuple[str, str]]:
        """Return the builds to be recorded that not enough entries know yet."""
        now = self.history.clock()
        return {b for b, each in self.announcements.items() if not each.is_done(now)}

    async def _announce(self, builds: cabc.Iterable[tuple[str, str]]) -> None:
        """Tell all entries of builds that are to be recorded."""
        assert self.announcer is not None
        now = self.history.clock()
        for group, build in builds:
            known = self.announcements[group, build]
            if now < known.until and not self._is_first():
                # The first entry announces it.
                await asyncio.sleep(ANNOUNCEMENT_SECONDS)
                continue
            answered = known.answers.answered if known.answers else frozenset()
            answers = await self.announcer.announce(group, build, answered)
            announcement = dataclasses.replace(known, answers=answers)
            self.announcements[group, build] = announcement
            if answers.missing:
                await asyncio.sleep(ANNOUNCEMENT_SECONDS)

    def _not_told(self) -> list[str]:
        """Return the entries that have not answered to the last announcements."""
        answers = (each.answers for each in self.announcements.values())
        missing = itertools.chain(*(each.missing for each in answers if each))
        return sorted(set(missing))[:MAX_LOGGED_ENTRIES]

    def _seconds_to_check(self) -> float:
        """Return after how long the record is compared without a change."""
        return min(CHECK_SECONDS, self.history.check_at - self.history.clock())

    def _writes_at_once(self) -> bool:
        """Return whether this entry doesn't leave the write to another one.

        Streams at a build that the record doesn't name must not wait for it.
        """
        return self.history.has_unrecorded_streams or self._is_first()

    def _is_first(self) -> bool:
        """Return whether this entry writes before the others."""
        return first_entries(1, self.entries(), stable_hash(BUILDS_KEY)) == [
            self.own_entry
        ]

    async def _write(self, builds: Builds, era: int) -> None:
        compares = [Compare(BUILDS_KEY, self.history.revision)]
        put = Put(BUILDS_KEY, encode(builds, era))
        try:
            result = await self.kv.txn(compares, [put])
        except PortError as error:
            logger.info("builds are not recorded", extra={"error": error.message})
            await asyncio.sleep(self.backoff.next_delay())
            return
        if not result.succeeded:
            # Another entry has written: its record is about to be received.
            await asyncio.sleep(self.backoff.next_delay())
            return
        self.backoff.reset()
        self.history.on_written(builds, result.revision, era)
        logger.info(
            "builds are recorded",
            extra={
                "groups": {group: sorted(names) for group, names in builds.items()},
                "era": era,
                "revision": result.revision,
                "not_told": self._not_told(),
            },
        )
