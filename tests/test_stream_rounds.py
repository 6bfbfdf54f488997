"""Property tests of where streams may go on.

In rounds, builds come and go, streams begin, entries are killed and started again, the
store loses writes or comes back from an older copy, and callers resume their streams at
all entries. All is in memory, in virtual time.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotmast.direct.only_build import KnownBy
from bergamotmast.direct.stream_builds import FoundBuild
from bergamotmast.direct.stream_builds import StreamBuild
from bergamotmast.direct.stream_builds import StreamBuilds
from memory_site import GROUP
from memory_site import Site
from memory_site import Stream
from memory_store import Contents

ENTRIES = 3
ALL = frozenset(range(ENTRIES))
NONE: frozenset[int] = frozenset()
MAX_STREAM_SECONDS = 25.0
"""How long a caller goes on with a stream."""

SETTINGS = hypothesis.settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    # To shrink rounds that fail takes longer than the time limit of a test.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


@dataclasses.dataclass(frozen=True)
class Change:
    """Builds that register, and ones whose engines leave."""

    coming: frozenset[str] = frozenset()
    going: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Round:
    """Streams that begin, are broken off and resumed.

    :param fault: what befalls the writes of the entries in ``concerned``.
    :param lost: whether datagrams get lost.
    :param waits: seconds before streams begin, before entries are killed, before and
        after the change meanwhile, and before callers resume.
    :param streams: number of streams that begin at each entry.
    :param killed: numbers of the entries that are killed, and started again later.
    :param copy_age: age in seconds of the copy that the store comes back from
        meanwhile; ``None`` if it doesn't.
    """

    change: Change = Change()
    fault: str = ""
    concerned: frozenset[int] = ALL
    lost: bool = False
    waits: tuple[float, ...] = (1.0, 1.0, 0.2, 0.2, 1.0)
    streams: int = 3
    killed: frozenset[int] = ALL
    meanwhile: Change = Change()
    copy_age: float | None = None


def rounds_of(*faults: str, restores: bool) -> st.SearchStrategy[list[Round]]:
    """Return the strategy of a few rounds."""
    builds = st.frozensets(st.sampled_from(["v1", "v2"]))
    changes = st.builds(Change, builds, builds)
    some = st.sampled_from([ALL, ALL, NONE, *map(frozenset, ({0}, {2}, {0, 1}))])
    waits = st.sampled_from([0.01, 0.2, 1.0, 3.0])
    ages = st.sampled_from([None, 0.5, 2.0, 5.0, 10.0]) if restores else st.none()
    one = st.builds(
        Round,
        changes,
        st.sampled_from(["", *faults]),
        some,
        st.booleans(),
        st.tuples(*[waits] * 5),
        st.integers(0, 3),
        some,
        changes,
        ages,
    )
    return st.lists(one, min_size=1, max_size=4)


class Play:
    """Plays rounds.

    :param streams: streams that callers still go on with.
    :param copies: times and contents of copies of the store.
    """

    def __init__(self, builds: cabc.Set[str]) -> None:
        self.site = Site(ENTRIES, *sorted(builds))
        self.streams: list[Stream] = []
        self.copies: list[tuple[float, Contents]] = []

    def run(self, rounds: cabc.Iterable[Round]) -> None:
        try:
            for each in rounds:
                self.play(each)
        finally:
            self.site.close()

    def play(self, each: Round) -> None:
        site, killed = self.site, [self.site.names[n] for n in sorted(each.killed)]
        for number, name in enumerate(site.names):
            site.store.faults[name] = each.fault if number in each.concerned else ""
        site.loses_datagrams = each.lost
        self.copy()
        self.change(each.change)
        self.wait(each.waits[0])
        begun = [site.begin(name) for name in site.names * each.streams]
        self.streams += [stream for stream in begun if stream is not None]
        self.wait(each.waits[1])
        site.kill(killed)
        self.wait(each.waits[2])
        self.change(each.meanwhile)
        if each.copy_age is not None:
            latest = site.loop.now - each.copy_age
            found = [copy for at, copy in self.copies if at <= latest]
            site.restore(found[-1] if found else self.copies[0][1])
        self.wait(each.waits[3])
        for name in killed:
            site.start(name)
        self.wait(each.waits[4])
        for name in site.names:
            self.resume(name)
        if self.streams:
            site.complete(self.streams.pop(0))

    def wait(self, seconds: float) -> None:
        self.copy()
        self.site.run(seconds)

    def copy(self) -> None:
        self.copies.append((self.site.loop.now, self.site.store.contents.copy()))

    def change(self, change: Change) -> None:
        for build in sorted(change.coming):
            self.site.add_build(build)
        for build in sorted(change.going):
            self.site.remove_build(build)

    def resume(self, name: str) -> None:
        oldest = self.site.loop.now - MAX_STREAM_SECONDS
        self.streams = [each for each in self.streams if each.began_at > oldest]
        for stream in self.streams:
            found = self.site.resume(stream, name)
            if found is not None and found.record is not None:
                where = (found.record.group, found.record.build)
                assert where == (GROUP, stream.build), found.known_by


BUILDS_AT_FIRST = st.sampled_from([{"v1"}, {"v1", "v2"}])
WRITE_FAULTS = ("late", "lost", "unanswered", "refused")
V2 = frozenset({"v2"})
V2_COMES, V2_GOES = Change(coming=V2), Change(going=V2)
SHORT = (0.2, 0.2, 0.2, 0.2, 0.2)


@hypothesis.given(builds=BUILDS_AT_FIRST, rounds=rounds_of(restores=False))
@hypothesis.example({"v1"}, [Round(V2_COMES, meanwhile=V2_GOES)])
@hypothesis.example({"v1"}, [Round(meanwhile=V2_COMES)])
@SETTINGS
def test_kills_and_releases_misplace_no_stream(builds, rounds):
    """Guards against streams of two builds after kills and releases."""
    Play(builds).run(rounds)


@hypothesis.given(
    builds=BUILDS_AT_FIRST, rounds=rounds_of(*WRITE_FAULTS, restores=False)
)
@hypothesis.example({"v1"}, [Round(V2_COMES, "refused", meanwhile=V2_GOES)])
@hypothesis.example({"v1"}, [Round(V2_COMES, "lost", meanwhile=V2_GOES)])
@hypothesis.example(
    {"v1"}, [Round(V2_COMES, "late", ALL, False, SHORT, 3, ALL, V2_GOES)]
)
@SETTINGS
def test_kills_and_faults_of_writes_misplace_no_stream(builds, rounds):
    """Guards against streams of two builds after writes that fail."""
    Play(builds).run(rounds)


@pytest.mark.parametrize("fault", WRITE_FAULTS)
def test_record_of_a_build_that_has_left_misplaces_no_stream(fault):
    """Guards against a record that names the only build without an engine: streams have
    begun at another one, which could not be written."""
    replaced = Change(coming=V2, going=frozenset({"v1"}))
    Play({"v1"}).run([Round(replaced, fault, ALL, True, SHORT)])


@hypothesis.given(builds=BUILDS_AT_FIRST, rounds=rounds_of(restores=True))
@hypothesis.example({"v1"}, [Round(V2_COMES, meanwhile=V2_GOES, copy_age=10.0)])
@hypothesis.example({"v1"}, [Round(V2_COMES, waits=SHORT, copy_age=10.0)])
@SETTINGS
def test_kills_and_restores_misplace_no_stream(builds, rounds):
    """Guards against streams of two builds after a restore of the store."""
    Play(builds).run(rounds)


class Guess(StreamBuilds):
    """A faulty search that takes any build for a stream that it doesn't know."""

    async def find(self, request_id: str, groups: cabc.Sequence[str]) -> FoundBuild:
        found = await super().find(request_id, groups)
        builds = sorted(self.fleet.registered_builds(GROUP))
        if found.record is not None or not builds:
            return found
        return FoundBuild(StreamBuild(0, GROUP, builds[0], 0.0), KnownBy.AGREEMENT)


def test_guess_is_found_out(monkeypatch):
    """Guards against rounds that bring no stream into question."""
    monkeypatch.setattr("memory_site.StreamBuilds", Guess)
    with pytest.raises(AssertionError, match="AGREEMENT"):
        test_kills_and_releases_misplace_no_stream()


def test_streams_go_on_after_the_end_of_all_entries():
    """Guards against entries in memory that only ever refuse."""
    play = Play({"v1", "v2"})
    play.run([Round(streams=4)])
    assert {stream.build for stream in play.streams} == {"v1", "v2"}
    assert set(play.site.outcomes) <= {"store", "memory"}
    assert play.site.outcomes.total() == ENTRIES * 4 * ENTRIES


@pytest.mark.parametrize("pause", [1.0, 1.05, 1.1, 1.15, 1.2])
def test_streams_that_have_just_begun_go_on_after_the_end_of_all_entries(pause):
    """Guards against losing the streams that began since an entry's last write."""
    play = Play({"v1", "v2"})
    play.run([Round(waits=(pause, 0.1, 0.2, 0.2, 1.0), streams=4)])
    assert set(play.site.outcomes) <= {"store", "memory"}
    assert play.site.outcomes.total() == ENTRIES * 4 * ENTRIES
