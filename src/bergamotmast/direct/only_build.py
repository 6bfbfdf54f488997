"""Proof that a stream which nobody has recorded began at the only build known here.

An entry that hears nothing knows of no second build either. What it knows therefore
counts only if others confirm it after the stream was asked for: the store, the entries
that would hold a record of the stream, or more than half of all entries.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import typing as t

from ..policy.watch_pause import max_reply_age
from ..policy.watch_pause import watch_pause
from .fleet import Fleet

STORE_REPLY_SECONDS = 0.5
"""How long an entry waits for the store before it refuses a stream, which the caller
then resumes at another entry."""

USUAL_REPLY_SECONDS = 0.1
"""Time in which a store that is not slow answers."""


class KnownBy(enum.Enum):
    """How the build at which a stream began is known."""

    MEMORY = "memory"
    STORE = "store"
    PEERS = "peers"
    ONLY_BUILD = "only build"
    RECORD = "record"
    AGREEMENT = "agreement"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswers:
    """What other entries have answered to a question for a stream.

    :param entries: number of all entries, this one included.
    :param asked: number of those asked.
    :param informed: number of those that have answered and know builds of the group.
    :param found: whether one of them knows the stream.
    """

    entries: int = 1
    asked: int = 0
    informed: int = 0
    found: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether all that were asked have answered."""
        return 0 < self.asked == self.informed

    @property
    def is_majority(self) -> bool:
        """Whether more than half of all entries have answered, or are this one."""
        return 2 * (self.informed + 1) > self.entries


class BuildPeers(t.Protocol):
    """Other entries, which tell of a group's builds if they don't know a stream."""

    async def find_at_holders(self, stream: int, group: str) -> PeerAnswers:
        """Ask only the entries that would keep copies, until all have answered."""
        ...

    async def survey(self, group: str) -> PeerAnswers:
        """Ask all entries for the builds of a group.

        One that knows a stream knows its build.
        """
        ...


class StoreCatchUp(t.Protocol):
    """The store, whose changes this entry applies."""

    async def catch_up(self) -> bool:
        """Wait until all that the store has accepted by now is applied.

        ``False`` if the store can't be reached.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Whether a stream began at the only build that is known.

    :param known_by: how that is known; ``None`` if it is not.
    """

    known_by: KnownBy | None
    answers: PeerAnswers


class OnlyBuildProof:
    """Finds out whether a group has had one build only.

    :param store: ``None`` without one.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.store: StoreCatchUp | None = None

    async def find(self, stream: int, group: str, peers: BuildPeers | None) -> Proof:
        """Return how it is known that a stream began at the only build of a group.

        What others tell is recorded meanwhile, so that the group may have several
        builds by the end.

        :param peers: ``None`` for an entry on its own.
        """
        if not self._knows_all(group):
            everyone = peers and await peers.survey(group)
            return self._agreement(group, everyone or PeerAnswers())
        if peers is None:
            return self._certainty(group, PeerAnswers())
        answers = await peers.find_at_holders(stream, group)
        if answers.found or (answers.is_complete and self._is_current()):
            return self._certainty(group, answers)
        reading = asyncio.create_task(self._catches_up())
        try:
            await asyncio.wait({reading}, timeout=USUAL_REPLY_SECONDS)
            if reading.done() and reading.result():
                return self._certainty(group, answers)
            # The store may have fallen silent.
            agreement = self._agreement(group, await peers.survey(group))
            if agreement.known_by is None and await reading:
                return self._certainty(group, agreement.answers)
            return agreement
        finally:
            reading.cancel()

    def _certainty(self, group: str, answers: PeerAnswers) -> Proof:
        """Return what follows where this entry is known to hear all changes."""
        is_known = self._knows_all(group) and not answers.found
        return Proof(KnownBy.ONLY_BUILD if is_known else None, answers)

    def _agreement(self, group: str, answers: PeerAnswers) -> Proof:
        """Return what follows from the answers of all entries that can be reached."""
        is_known = (
            answers.is_majority
            and not answers.found
            and self._has_one_build(group)
            and self.fleet.build_history.is_trusted
        )
        return Proof(KnownBy.AGREEMENT if is_known else None, answers)

    async def _catches_up(self) -> bool:
        """Return whether all that the store has accepted by now is applied in time."""
        if self.store is None:
            return False
        # A change may wait for the next call of the watch.
        seconds = STORE_REPLY_SECONDS + watch_pause(len(self.fleet.entries))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                return await self.store.catch_up()
        return False

    def _is_current(self) -> bool:
        """Return whether the store has replied so lately that the watch is alive."""
        age = self.fleet.clock() - self.fleet.build_history.heard_at
        return age <= max_reply_age(len(self.fleet.entries))

    def _knows_all(self, group: str) -> bool:
        """Return whether this entry knows of one build, and is certain by itself."""
        return self._has_one_build(group) and self.fleet.knows_all_builds(group)

    def _has_one_build(self, group: str) -> bool:
        return len(self.fleet.build_history.builds(group)) == 1
