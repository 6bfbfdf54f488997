"""Property tests of where streams may go on while entries are cut off.

As in ``test_stream_rounds``, with cuts between any two entries, also one way, and from
the store. Callers resume their streams at all entries soon after a cut begins, during
it and after its end.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotmast.direct.only_build import KnownBy
from bergamotmast.direct.stream_builds import FoundBuild
from memory_site import GROUP
from memory_site import Site
from memory_site import Stream
from test_stream_rounds import BUILDS_AT_FIRST
from test_stream_rounds import MAX_STREAM_SECONDS
from test_stream_rounds import NONE
from test_stream_rounds import SETTINGS
from test_stream_rounds import V2_COMES
from test_stream_rounds import V2_GOES
from test_stream_rounds import Change
from test_stream_rounds import Guess

IN_TOUCH_SECONDS = 4.0
"""Time in which an entry notices that the store is silent, and reads it again."""

MAX_ENTRIES = 5
OTHER = {"v1": "v2", "v2": "v1"}
REGISTER_SECONDS = 0.5
"""Time from the start of an engine to its registration."""


@dataclasses.dataclass(frozen=True)
class Cut:
    """What gets lost between entries, and between them and the store.

    :param parted: numbers of the entries that are cut off together.
    :param store: how their calls to the store fail; ``""`` if they don't.
    :param peers: whether they are also cut off from the other entries.
    :param links: numbers of senders and receivers whose datagrams get lost as well.
    """

    parted: frozenset[int] = NONE
    store: str = "silent"
    peers: bool = True
    links: frozenset[tuple[int, int]] = frozenset()


@dataclasses.dataclass(frozen=True)
class CutRound:
    """Streams that begin, and are resumed during a cut and after it.

    :param before: builds that come and go just before the cut.
    :param change: builds that come and go during it.
    :param waits: seconds before the change, before streams begin, before they are
        resumed, between the kill and the start of entries, before streams are resumed
        again, and from the end of the cut until they are resumed once more.
    :param streams: number of streams that begin at each entry.
    :param killed: numbers of the entries that are killed and started again in the cut.
    :param stays: whether the cut lasts on into the next round.
    :param exchanged: build whose engines crash and come back under their names with the
        other one, as the change during the cut; ``""`` if none do.
    """

    cut: Cut
    before: Change = Change()
    change: Change = Change()
    waits: tuple[float, ...] = (0.2, 0.2, 0.2, 0.2, 1.0, 0.2)
    streams: int = 2
    killed: frozenset[int] = NONE
    meanwhile: Change = Change()
    stays: bool = False
    exchanged: str = ""


numbers = st.integers(0, MAX_ENTRIES - 1)
parts = st.sampled_from([NONE, *map(frozenset, ({0}, {2}, {0, 1}, {1, 2}, {0, 1, 2}))])
cuts = st.builds(
    Cut,
    parts,
    st.sampled_from(["silent", "silent", "refused", ""]),
    st.sampled_from([True, True, True, False]),
    st.frozensets(st.tuples(numbers, numbers), max_size=4),
)
waits_of_cuts = st.tuples(*[st.sampled_from([0.01, 0.2, 1.0, 3.0])] * 6)


def cut_rounds(*builds: str, max_size: int = 3) -> st.SearchStrategy[list[CutRound]]:
    """Return the strategy of a few rounds in which these builds come and go."""
    some = st.frozensets(st.sampled_from(builds)) if builds else st.just(frozenset())
    changes = st.builds(Change, some, some)
    one = st.builds(
        CutRound,
        cuts,
        changes,
        changes,
        waits_of_cuts,
        st.sampled_from([0, 1, 3, 3]),
        st.one_of(st.just(NONE), parts),
        changes,
        st.booleans(),
        st.sampled_from(["", "", *builds]),
    )
    return st.lists(one, min_size=1, max_size=max_size)


class CutPlay:
    """Plays rounds with cuts.

    :param streams: streams that callers still go on with.
    :param reached_since: when the store came into reach of each entry that reaches it;
        points in time.
    """

    def __init__(self, entries: int, builds: cabc.Iterable[str]) -> None:
        self.site = Site(entries, *sorted(builds))
        self.streams: list[Stream] = []
        self.reached_since = dict.fromkeys(self.site.names, 0.0)

    def run(self, rounds: cabc.Iterable[CutRound]) -> None:
        try:
            self.site.run(3.0)
            for each in rounds:
                self.play(each)
        finally:
            self.site.close()

    def play(self, each: CutRound) -> None:
        site, waits, killed = self.site, each.waits, self.names(each.killed)
        self.change(each.before)
        self.cut(each.cut)
        site.run(waits[0])
        self.change(each.change)
        if each.exchanged:
            site.exchange_build(each.exchanged, OTHER[each.exchanged], REGISTER_SECONDS)
        site.run(waits[1])
        begun = [site.begin(name) for name in site.names * each.streams]
        self.streams += [stream for stream in begun if stream is not None]
        site.run(waits[2])
        self.resume_everywhere()
        site.kill(killed)
        site.run(waits[3])
        self.change(each.meanwhile)
        self.start(killed)
        site.run(waits[4])
        self.resume_everywhere()
        if not each.stays:
            self.heal()
            site.run(waits[5])
            self.resume_everywhere()

    def names(self, numbers: cabc.Iterable[int]) -> list[str]:
        return [self.site.names[n] for n in numbers if n < len(self.site.names)]

    def change(self, change: Change) -> None:
        for build in sorted(change.coming):
            self.site.add_build(build)
        for build in sorted(change.going):
            self.site.remove_build(build)

    def cut(self, cut: Cut) -> None:
        names, site = self.names(cut.parted), self.site
        site.cut_off(*names, store=cut.store, peers=cut.peers)
        if cut.store:
            self.reached_since = {
                name: at for name, at in self.reached_since.items() if name not in names
            }
        ends = [self.names(link) for link in cut.links]
        site.cut_links |= {(link[0], link[1]) for link in ends if len(link) == 2}

    def heal(self) -> None:
        self.site.heal()
        for name in self.site.names:
            self.reached_since.setdefault(name, self.site.loop.now)

    def start(self, names: cabc.Iterable[str]) -> None:
        for name in names:
            self.site.start(name)
            if name in self.reached_since:
                self.reached_since[name] = self.site.loop.now

    def resume_everywhere(self) -> None:
        oldest = self.site.loop.now - MAX_STREAM_SECONDS
        self.streams = [each for each in self.streams if each.began_at > oldest]
        for name in self.site.names:
            found = self.site.resume_all(self.streams, name)
            for stream, one in zip(self.streams, found, strict=True):
                self.judge(stream, name, one)

    def judge(self, stream: Stream, name: str, found: FoundBuild | None) -> None:
        if found is not None and found.record is not None:
            build = self.site.true_build(found.record.build)
            assert (found.record.group, build) == (GROUP, stream.build), (name, found)


class OneBuildPlay(CutPlay):
    """Plays rounds with a single build, whose streams must go on.

    :param judged: number of resumptions that had to go on.
    """

    judged = 0

    def judge(self, stream: Stream, name: str, found: FoundBuild | None) -> None:
        super().judge(stream, name, found)
        if self.must_serve(name):
            self.judged += 1
            assert found is not None, name
            assert found.record is not None, (name, found)

    def must_serve(self, name: str) -> bool:
        """Return whether an entry reaches the store, or most of the entries."""
        now = self.site.loop.now
        if now - self.reached_since.get(name, now) >= IN_TOUCH_SECONDS:
            return True
        if not self.is_ready(name):
            return False
        reached = [other for other in self.site.names if self.is_reached(name, other)]
        return len(reached) > len(self.site.names) / 2

    def is_reached(self, name: str, other: str) -> bool:
        links = {(name, other), (other, name)} & self.site.cut_links
        return name == other or (not links and self.is_ready(other))

    def is_ready(self, name: str) -> bool:
        entry = self.site.entries[name]
        return entry is not None and entry.fleet.ready


CUT_3 = Cut(frozenset({2}))
BUILD_REPLACED = Change(frozenset({"v2"}), frozenset({"v1"}))
AT_ONCE = (0.01,) * 6
LATER = (0.2, 2.0, 0.2, 0.2, 1.0, 0.2)


@hypothesis.given(
    entries=st.integers(1, MAX_ENTRIES),
    builds=BUILDS_AT_FIRST,
    rounds=cut_rounds("v1", "v2"),
)
@hypothesis.example(3, {"v1"}, [CutRound(CUT_3, change=V2_COMES)])
@hypothesis.example(3, {"v1"}, [CutRound(CUT_3, V2_COMES)])
@hypothesis.example(3, {"v1", "v2"}, [CutRound(CUT_3, change=V2_GOES)])
@hypothesis.example(3, {"v1"}, [CutRound(CUT_3, change=V2_COMES, waits=LATER)])
@hypothesis.example(3, {"v1"}, [CutRound(CUT_3, exchanged="v1", waits=LATER)])
@hypothesis.example(3, {"v1"}, [CutRound(CUT_3, exchanged="v1", waits=AT_ONCE)])
@SETTINGS
def test_cuts_kills_and_releases_misplace_no_stream(entries, builds, rounds):
    """Guards against streams of two builds at entries that are cut off."""
    CutPlay(entries, builds).run(rounds)


most_entries = pytest.mark.parametrize(("entries", "cut"), [(3, 2), (5, 3), (9, 8)])
outages = pytest.mark.parametrize("store", ["silent", "refused"])


@most_entries
@outages
@pytest.mark.parametrize("waits", [AT_ONCE, LATER])
def test_most_entries_cut_off_agree_on_no_build_as_another_comes(
    entries, cut, waits, store
):
    """Guards against an agreement of entries that are all cut off, beside one that is
    not and lets streams begin at a new build."""
    parted = Cut(frozenset(range(cut)), store)
    rounds = [CutRound(parted, change=V2_COMES, waits=waits, streams=6)]
    CutPlay(entries, {"v1"}).run(rounds)


@most_entries
@outages
@pytest.mark.parametrize("waits", [AT_ONCE, LATER])
def test_most_entries_cut_off_agree_on_no_build_as_it_is_replaced(
    entries, cut, waits, store
):
    """Guards against the same where no engine of the known build is left."""
    parted = Cut(frozenset(range(cut)), store)
    rounds = [CutRound(parted, change=BUILD_REPLACED, waits=waits, streams=6)]
    CutPlay(entries, {"v1"}).run(rounds)


@pytest.mark.parametrize("entries", [1, 3])
def test_stream_at_an_engine_that_never_registers_is_misplaced_nowhere(entries):
    """Guards against streams of an engine that came back with another build and left
    before it registered, as all entries are killed."""
    left = Change(frozenset({"v1"}), frozenset({"v2"}))
    killed = frozenset(range(entries))
    one = CutRound(Cut(), exchanged="v1", waits=AT_ONCE, killed=killed, meanwhile=left)
    CutPlay(entries, {"v1"}).run([one])


@hypothesis.given(entries=st.integers(1, MAX_ENTRIES), rounds=cut_rounds())
@hypothesis.example(3, [CutRound(Cut(frozenset({0, 1, 2}), peers=False))])
@SETTINGS
def test_streams_of_one_build_go_on_behind_cuts(entries, rounds):
    """Guards against refusing streams that can be shown to be of the only build."""
    OneBuildPlay(entries, ["v1"]).run(rounds)


def test_streams_are_judged_in_an_outage_of_the_store():
    """Guards against rounds in which no stream has to go on."""
    play = OneBuildPlay(3, ["v1"])
    play.run([CutRound(Cut(frozenset({0, 1, 2}), peers=False))])
    assert play.judged >= 18


def test_guess_behind_a_cut_is_found_out(monkeypatch):
    """Guards against cuts that bring no stream into question."""
    monkeypatch.setattr("memory_site.StreamBuilds", Guess)
    with pytest.raises(AssertionError, match=KnownBy.AGREEMENT.name):
        CutPlay(3, {"v1"}).run([CutRound(CUT_3, change=V2_COMES, waits=LATER)])
