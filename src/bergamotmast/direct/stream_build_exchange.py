"""Copies of the builds at which streams began, at other entries, over UDP.

Each record is copied to the entries that rendezvous hashing chooses for the stream, so
that any entry knows whom to ask. The number of messages grows with the number of
streams, and no call to the store is needed. Only if the chosen entries don't know the
stream, as they were restarted or the lists of entries differ, are all others asked.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import functools

import msgspec

from ..policy.entry_ranking import first_entries
from ..policy.entry_ranking import stable_hash
from .build_history import RETENTION_SECONDS as BUILD_RETENTION_SECONDS
from .build_recorder import Answers
from .only_build import PeerAnswers
from .peer_messages import Address
from .peer_messages import GroupBuilds
from .peer_messages import PeerInbox
from .peer_messages import Send
from .peer_messages import StreamBuildCopies
from .peer_messages import StreamBuildQuery
from .shared_call import SharedCall
from .stream_builds import RETENTION_SECONDS
from .stream_builds import StreamBuild
from .stream_builds import StreamBuilds

COPIES = 2
"""Number of other entries that keep a copy: entries are restarted one after the other,
so that a single one might be gone as well."""

COPY_SECONDS = 0.25
"""Interval between two checks for streams that began before there were two builds."""

BATCH_WINDOW_SECONDS = 0.005
"""How long records are collected before they are sent in one datagram."""

MAX_COPIES_PER_DATAGRAM = 16
"""Maximum number of records in one datagram, which should fit into a packet."""

QUERY_SECONDS = 0.03
"""Time for an answer, after which the query is repeated once: datagrams get lost."""

MAX_WIDE_QUERIES = 10
"""Maximum number of streams that all entries are being asked for at a time."""

SURVEY_SECONDS = 0.3
"""Time in which more than half of all entries should answer, on busy machines too."""

SURVEY_PAUSE_SECONDS = 0.05
"""Minimum time between two surveys of a group."""

MAX_SURVEY_RATE = 2_000.0
"""Maximum number of entries that are asked a second, for each group."""


@dataclasses.dataclass(eq=False, slots=True)
class Question:
    """A question to other entries.

    :param asked: addresses that are asked.
    :param missing: addresses that have not answered yet.
    :param build: the build that is asked for; ``None`` for any of the group.
    :param informed: addresses that have answered and know such a build.
    :param found: whether the record has come.
    :param ends_early: whether answers of all that don't know the stream end it.
    :param ended: set once nothing is waited for.
    """

    asked: frozenset[Address]
    missing: set[Address]
    ends_early: bool
    build: str | None = None
    informed: set[Address] = dataclasses.field(default_factory=set)
    found: bool = False
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def answers(self, entries: int) -> PeerAnswers:
        """Return what was answered.

        :param entries: number of all entries, the one that asks included.
        """
        return PeerAnswers(entries, len(self.asked), len(self.informed), self.found)

    def on_found(self, address: Address) -> None:
        """Record that the record has come."""
        self.informed.add(address)
        self.found = True
        self.ended.set()

    def on_unknown(self, address: Address, builds: cabc.Collection[str]) -> None:
        """Record that an entry doesn't know the stream.

        :param builds: those of the group that it knows.
        """
        self.missing.discard(address)
        knows_build = self.build is None and bool(builds)
        if knows_build or self.build in builds:
            self.informed.add(address)
        if self.ends_early and not self.missing:
            self.ended.set()


class StreamBuildExchange:
    """Implements :class:`~bergamotmast.direct.stream_builds.StreamBuildPeers`.

    Also implements :class:`~bergamotmast.direct.build_recorder.BuildAnnouncer`.

    :param own_entry: key under which this entry registers.
    :param entries: returns the addresses of all entries, by their keys.
    :param send: sends a datagram without blocking.
    :param pending: records that have not been sent yet.
    :param questions: questions on their way, by stream.
    :param wide_queries: number of streams that all entries are being asked for.
    :param surveys: questions to all entries for the builds of a group, by group.
    """

    def __init__(
        self,
        own_entry: str,
        stream_builds: StreamBuilds,
        entries: cabc.Callable[[], cabc.Mapping[str, Address]],
        send: Send,
    ) -> None:
        self.own_entry = own_entry
        self.stream_builds = stream_builds
        self.entries = entries
        self.send = send
        self.pending: list[StreamBuild] = []
        self.questions: dict[int, set[Question]] = {}
        self.wide_queries = 0
        self.surveys: dict[str, SharedCall[PeerAnswers]] = {}

    def listen(self, inbox: PeerInbox) -> None:
        """Receive the messages of other entries."""
        inbox.receivers[StreamBuildCopies] = self._on_copies
        inbox.receivers[StreamBuildQuery] = self._on_query
        inbox.receivers[GroupBuilds] = self._on_builds

    async def run(self) -> None:
        """Copy records as soon as a group has several builds, until cancelled."""
        while True:
            await asyncio.sleep(COPY_SECONDS)
            self.stream_builds.copy_records()

    def copy(self, records: cabc.Sequence[StreamBuild]) -> None:
        """Send records to the entries that keep their copies, in the next batch."""
        if not self.pending:
            asyncio.get_running_loop().call_later(BATCH_WINDOW_SECONDS, self._flush)
        self.pending += records

    async def find(self, stream: int, group: str) -> PeerAnswers:
        """Ask other entries for the record of a stream, which is then kept here."""
        query = StreamBuildQuery(stream, group)
        entries = 1 + len(self._others())
        # One of the first may be the entry that began the stream and has ended.
        first = await self._ask(query, self._first(COPIES + 1, stream))
        if first.found or self.wide_queries >= MAX_WIDE_QUERIES:
            return first.answers(entries)
        self.wide_queries += 1
        try:
            every = await self._ask(query, list(self._others().values()))
        finally:
            self.wide_queries -= 1
        return every.answers(entries)

    async def find_at_holders(self, stream: int, group: str) -> PeerAnswers:
        """Ask only the entries that keep the copies, until all have answered."""
        query = StreamBuildQuery(stream, group)
        holders = self._first(COPIES + 1, stream)
        question = await self._ask(query, holders, ends_early=True)
        return question.answers(entries=1 + len(self._others()))

    async def survey(self, group: str) -> PeerAnswers:
        """Ask all entries for the builds of a group, for all streams that wait."""
        if group not in self.surveys:
            call = functools.partial(self._survey, group)
            self.surveys[group] = SharedCall(call, self._survey_pause)
        return await self.surveys[group].result()

    def _survey_pause(self) -> float:
        return max(SURVEY_PAUSE_SECONDS, len(self.entries()) / MAX_SURVEY_RATE)

    async def _survey(self, group: str) -> PeerAnswers:
        loop = asyncio.get_running_loop()
        known = self.stream_builds.fleet.known_entries(loop.time())
        known |= dict(self.entries())
        others = [known[key] for key in known if key != self.own_entry]
        # No two surveys have the same number, which the answers repeat.
        number = stable_hash(f"{self.own_entry} {group} {loop.time()}")
        query = StreamBuildQuery(number, group)
        until = loop.time() + SURVEY_SECONDS
        informed: set[Address] = set()
        while True:
            missing = set(others) - informed
            question = await self._ask(query, missing, ends_early=True)
            informed |= question.informed
            answers = PeerAnswers(1 + len(others), len(others), len(informed))
            if answers.is_majority or loop.time() >= until:
                return answers
            # Entries that have just started answer at once, and know no builds.
            await asyncio.sleep(QUERY_SECONDS)

    async def announce(
        self, group: str, build: str, answered: cabc.Set[str]
    ) -> Answers:
        """Tell the entries of a build that have not answered yet."""
        registered = self._others()
        others = {k: a for k, a in registered.items() if k not in answered}
        notice = GroupBuilds(group, {build: BUILD_RETENTION_SECONDS})
        data = msgspec.msgpack.encode(notice)
        for address in others.values():
            self.send(data, address)
        # The answers list the builds that they know by now.
        query = StreamBuildQuery(stable_hash(f"{group} {build}"), group)
        addresses = set(others.values())
        question = await self._ask(query, addresses, ends_early=True, build=build)
        missing = {k for k, a in others.items() if a not in question.informed}
        known = frozenset(registered.keys() - missing)
        return Answers(known, frozenset(missing))

    async def _ask(
        self,
        query: StreamBuildQuery,
        addresses: cabc.Collection[Address],
        *,
        ends_early: bool = False,
        build: str | None = None,
    ) -> Question:
        """Send a query, twice if need be; return it with what was answered.

        :param ends_early: whether to end once all have answered; otherwise they are
            asked again, as the record may be on its way to them.
        :param build: the build of which they should know; ``None`` for any.
        """
        question = Question(frozenset(addresses), set(addresses), ends_early, build)
        if not addresses:
            return question
        data = msgspec.msgpack.encode(query)
        questions = self.questions.setdefault(query.stream, set())
        questions.add(question)
        try:
            for _ in range(2):
                for address in sorted(question.missing):
                    self.send(data, address)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(QUERY_SECONDS):
                        await question.ended.wait()
                        break
            return question
        finally:
            questions.discard(question)
            if not questions:
                self.questions.pop(query.stream, None)

    def _others(self) -> dict[str, Address]:
        """Return the addresses of the other entries, by their keys."""
        entries = self.entries()
        return {key: entries[key] for key in entries if key != self.own_entry}

    def _first(self, count: int, stream: int) -> list[Address]:
        """Return the addresses of the other entries that rank first for a stream."""
        others = self._others()
        return [others[key] for key in first_entries(count, others, stream)]

    def _flush(self) -> None:
        pending, self.pending = self.pending, []
        by_address: dict[Address, dict[int, tuple[str, str]]] = {}
        for record in pending:
            for address in self._first(COPIES, record.stream):
                copies = by_address.setdefault(address, {})
                copies[record.stream] = (record.group, record.build)
        for address, copies in by_address.items():
            items = list(copies.items())
            for start in range(0, len(items), MAX_COPIES_PER_DATAGRAM):
                part = dict(items[start : start + MAX_COPIES_PER_DATAGRAM])
                self.send(msgspec.msgpack.encode(StreamBuildCopies(part)), address)

    def _on_copies(self, message: StreamBuildCopies, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        for stream, (group, build) in message.copies.items():
            self.stream_builds.on_copy(
                StreamBuild(stream, group, build, now + RETENTION_SECONDS)
            )
            for question in self.questions.get(stream, ()):
                question.on_found(address)

    def _on_query(self, message: StreamBuildQuery, address: Address) -> None:
        record = self.stream_builds.record(message.stream)
        if record is not None:
            copies = {record.stream: (record.group, record.build)}
            self.send(msgspec.msgpack.encode(StreamBuildCopies(copies)), address)
            return
        seconds = self.stream_builds.fleet.build_history.seconds(message.group)
        builds = GroupBuilds(message.group, seconds, message.stream)
        self.send(msgspec.msgpack.encode(builds), address)

    def _on_builds(self, message: GroupBuilds, address: Address) -> None:
        for build, seconds in message.seconds.items():
            self.stream_builds.fleet.build_history.on_told(
                message.group, build, seconds
            )
        for question in self.questions.get(message.stream, ()):
            question.on_unknown(address, message.seconds)
