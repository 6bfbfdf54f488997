"""Streams that callers resume at an entry that some part of the site does not reach.

All is in memory, in virtual time. The design page has a table of what an entry hears
and what it does; each of its cells has a test here.
"""

from __future__ import annotations

import collections.abc as cabc
import contextlib

import pytest

from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.presence import presence_key
from bergamotmast.policy.entry_ranking import first_entries
from bergamotmast.policy.entry_ranking import stable_hash
from memory_site import Site
from memory_site import Stream

UNNOTICED_SECONDS = 0.1
"""Time after a cut in which an entry still takes itself to be in sync."""

NOTICED_SECONDS = 4.0


@contextlib.contextmanager
def site(entries: int, *builds: str) -> cabc.Iterator[Site]:
    found = Site(entries, *builds)
    try:
        found.run(3.0)
        yield found
    finally:
        found.close()


def begin(found: Site, names: cabc.Iterable[str], count: int = 12) -> list[Stream]:
    """Begin streams at each of some entries."""
    begun = [found.begin(name) for name in names for _ in range(count)]
    return [stream for stream in begun if stream is not None]


def release(found: Site, names: cabc.Collection[str]) -> list[Stream]:
    """Let a second build come, and begin streams until each build has some."""
    found.add_build("v2")
    streams: list[Stream] = []
    for _ in range(50):
        found.run(0.1)
        streams += begin(found, names, 2)
        if sum(stream.build == "v2" for stream in streams) >= 6:
            return streams
    raise AssertionError("no streams begin at the second build")


def resume(found: Site, streams: list[Stream], name: str) -> tuple[int, int]:
    """Return how many streams go on at an entry, and how many at a wrong build."""
    outcome = found.resume_all(streams, name)
    builds = [each.record and each.record.build for each in outcome if each is not None]
    pairs = list(zip(builds, (stream.build for stream in streams), strict=True))
    wrong = sum(build not in (None, began) for build, began in pairs)
    return sum(build == began for build, began in pairs), wrong


def others(found: Site, *names: str) -> list[str]:
    return [name for name in found.names if name not in names]


@pytest.mark.parametrize("entries", [2, 3, 5, 9])
@pytest.mark.parametrize("store", ["silent", "refused"])
def test_entry_cut_off_from_all_guesses_no_build(entries, store):
    """Guards against the only build known for want of any answer."""
    with site(entries, "v1") as found:
        last = found.names[-1]
        found.cut_off(last, store=store)
        streams = release(found, others(found, last))
        found.run(NOTICED_SECONDS)
        assert resume(found, streams, last) == (0, 0)
        assert resume(found, streams, found.names[0]) == (len(streams), 0)


@pytest.mark.parametrize("entries", [3, 5])
def test_entry_that_has_not_noticed_its_cut_guesses_no_build(entries):
    """Guards against a watch that is not overdue yet, taken for an answer."""
    with site(entries, "v1") as found:
        last = found.names[-1]
        found.add_build("v1")
        found.run(0.01)
        found.cut_off(last)
        streams = release(found, others(found, last))
        assert found.entries[last].fleet.in_sync
        asked_at = found.loop.now
        assert resume(found, streams, last) == (0, 0)
        assert found.loop.now - asked_at <= 0.7


@pytest.mark.parametrize(("entries", "cut"), [(5, 2), (7, 3), (9, 4)])
@pytest.mark.parametrize("seconds", [UNNOTICED_SECONDS, NOTICED_SECONDS])
def test_entries_cut_off_together_guess_no_build(entries, cut, seconds):
    """Guards against answers of entries that hear as little as the one that asks."""
    with site(entries, "v1") as found:
        parted = found.names[-cut:]
        found.add_build("v1")
        found.run(0.01)
        found.cut_off(*parted)
        streams = release(found, others(found, *parted))
        found.run(seconds)
        for name in parted:
            assert resume(found, streams, name)[1] == 0


@pytest.mark.parametrize("seconds", [0.2, 0.4, 0.6, 0.8])
def test_build_is_recorded_once_all_entries_may_know_it(seconds):
    """Guards against holders that have not noticed a cut either, as a build is used."""
    with site(9, "v1") as found:
        keys = {presence_key(name) for name in found.names}
        (first,) = first_entries(1, keys, stable_hash(BUILDS_KEY))
        parted = [name for name in found.names if presence_key(name) != first][-4:]
        found.add_build("v1")
        found.run(0.01)
        found.cut_off(*parted)
        found.add_build("v2")
        found.run(seconds)
        streams = begin(found, others(found, *parted), 80)
        keys.remove(presence_key(parted[0]))
        holders = {presence_key(name) for name in parted[1:]}
        held = [
            stream
            for stream in streams
            if set(first_entries(3, keys, stable_hash(stream.request_id))) == holders
        ]
        assert len(held) >= 3
        assert resume(found, held, parted[0])[1] == 0


def test_build_is_recorded_at_once_where_all_entries_answer():
    """Guards against a new build that is used late while all is calm."""
    with site(9, "v1") as found:
        found.add_build("v2")
        found.run(0.2)
        builds = {stream.build for stream in begin(found, found.names)}
        assert builds == {"v1", "v2"}


@pytest.mark.parametrize("store", ["silent", "refused"])
@pytest.mark.parametrize("seconds", [UNNOTICED_SECONDS, NOTICED_SECONDS])
def test_entry_without_the_store_asks_the_others(store, seconds):
    """Guards against refusing what other entries know."""
    with site(3, "v1") as found:
        found.cut_off("entry-2", store=store, peers=False)
        streams = release(found, ["entry-0", "entry-1"])
        found.run(seconds)
        assert resume(found, streams, "entry-2") == (len(streams), 0)


@pytest.mark.parametrize("seconds", [UNNOTICED_SECONDS, NOTICED_SECONDS])
def test_entry_without_the_others_asks_the_store(seconds):
    """Guards against refusing what the store knows."""
    with site(3, "v1") as found:
        found.cut_off("entry-2", store="")
        streams = release(found, ["entry-0", "entry-1"])
        found.run(max(1.0, seconds))
        assert resume(found, streams, "entry-2") == (len(streams), 0)


@pytest.mark.parametrize("entries", [3, 5])
@pytest.mark.parametrize("reason", ["cut", "killed"])
def test_holder_that_does_not_answer_refuses_no_stream(entries, reason):
    """Guards against refusing streams of the only build while the store is there."""
    with site(entries, "v1") as found:
        streams = begin(found, found.names)
        if reason == "killed":
            found.kill(["entry-1"])
        else:
            found.cut_off("entry-1")
        found.run(0.2)
        for name in others(found, "entry-1"):
            assert resume(found, streams, name) == (len(streams), 0)


@pytest.mark.parametrize(("entries", "killed"), [(1, 0), (3, 0), (3, 1), (5, 2)])
@pytest.mark.parametrize("store", ["silent", "refused"])
@pytest.mark.parametrize("seconds", [UNNOTICED_SECONDS, NOTICED_SECONDS])
def test_streams_of_one_build_go_on_without_the_store(entries, killed, store, seconds):
    """Guards against refusing all streams in an outage of the store."""
    with site(entries, "v1") as found:
        found.cut_off(*found.names, store=store, peers=False)
        streams = begin(found, found.names)
        # Another process of a name has ended with what it knew.
        found.run(seconds)
        found.kill(found.names[:killed])
        for name in found.names[killed:]:
            assert resume(found, streams, name) == (len(streams), 0)


def test_entry_alone_goes_on_with_streams_of_the_process_before():
    """Guards against refusing streams where there is no other entry to ask."""
    with site(1, "v1") as found:
        streams = begin(found, found.names)
        found.kill(found.names)
        found.start("entry-0")
        found.run(1.0)
        assert resume(found, streams, "entry-0") == (len(streams), 0)
        found.cut_off("entry-0", peers=False)
        found.run(NOTICED_SECONDS)
        unknown = [Stream(f"unknown-{n}", "v1", 0.0, streams[0].entry) for n in (1, 2)]
        assert resume(found, unknown, "entry-0") == (2, 0)


@pytest.mark.parametrize("hears", ["the others", "the store", "nothing"])
def test_entry_that_finds_no_record_goes_by_the_others(hears):
    """Guards against a record that is missing, taken for no other build."""
    with site(3, "v1") as found:
        found.store.faults = dict.fromkeys(found.names, "refused")
        found.store.remove(BUILDS_KEY)
        found.kill(found.names)
        for name in found.names:
            found.start(name)
        found.run(1.0)
        streams = begin(found, ["entry-0"])
        found.kill(["entry-0"])
        if hears != "the others":
            found.cut_off("entry-2", store="" if hears == "the store" else "silent")
        found.run(0.2)
        goes_on = len(streams) if hears == "the others" else 0
        assert resume(found, streams, "entry-2") == (goes_on, 0)


def test_half_of_the_entries_without_the_store_guess_no_build():
    """Guards against two halves of a site that both go on with what they know."""
    with site(4, "v1") as found:
        parted = found.names[2:]
        found.cut_off(*parted)
        streams = release(found, found.names[:2])
        found.run(NOTICED_SECONDS)
        for name in parted:
            assert resume(found, streams, name) == (0, 0)


def test_streams_of_one_build_cost_no_call_to_the_store():
    """Guards against a call for each stream that is resumed while all is calm."""
    with site(4, "v1") as found:
        streams = begin(found, found.names)
        # Engines rewrite their registrations about once a second.
        found.add_build("v1")
        found.run(0.1)
        calls = {name: len(found.entries[name].client.calls) for name in found.names}
        for name in found.names:
            assert resume(found, streams, name) == (len(streams), 0)
        after = {name: len(found.entries[name].client.calls) for name in found.names}
        assert after == calls


def test_streams_that_wait_for_the_store_share_their_calls():
    """Guards against a call for each stream while an entry does not answer."""
    with site(3, "v1") as found:
        streams = begin(found, ["entry-0"], 40)
        found.kill(["entry-0"])
        found.run(0.2)
        calls = len(found.entries["entry-1"].client.calls)
        assert resume(found, streams, "entry-1") == (len(streams), 0)
        assert len(found.entries["entry-1"].client.calls) - calls <= 2


def test_entry_that_is_cut_off_refuses_at_once():
    """Guards against callers that wait while another entry could serve them."""
    with site(5, "v1") as found:
        found.cut_off("entry-4")
        streams = release(found, others(found, "entry-4"))
        found.run(NOTICED_SECONDS)
        asked_at = found.loop.now
        assert resume(found, streams, "entry-4") == (0, 0)
        assert found.loop.now - asked_at <= 0.5
