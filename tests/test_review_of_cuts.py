"""Findings of a review of streams at entries that are cut off (issue 59)."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.presence import presence_key
from bergamotmast.policy.entry_ranking import first_entries
from bergamotmast.policy.entry_ranking import stable_hash
from bergamotmast.policy.watch_pause import watch_pause
from memory_site import GROUP
from memory_site import Site
from memory_site import Stream
from test_builds_behind_a_cut import NOTICED_SECONDS
from test_builds_behind_a_cut import begin
from test_builds_behind_a_cut import others
from test_builds_behind_a_cut import release
from test_builds_behind_a_cut import resume
from test_builds_behind_a_cut import site


def recorder(found: Site) -> str:
    """Return the entry that records builds."""
    keys = {presence_key(name): name for name in found.names}
    return keys[first_entries(1, keys, stable_hash(BUILDS_KEY))[0]]


def standby(found: Site) -> str:
    """Return the entry that records builds if the first one is gone."""
    keys = {presence_key(name): name for name in found.names}
    return keys[first_entries(2, keys, stable_hash(BUILDS_KEY))[1]]


def held_by(
    found: Site, streams: list[Stream], asked: str, holders: list[str]
) -> list[Stream]:
    """Return the streams of which an entry would ask only some others."""
    keys = [presence_key(name) for name in found.names if name != asked]
    wanted = {presence_key(name) for name in holders}
    return [
        stream
        for stream in streams
        if set(first_entries(3, keys, stable_hash(stream.request_id))) <= wanted
    ]


def resume_behind_a_new_cut(found: Site, parted: list[str], build: str) -> int:
    """Cut entries off together as a build comes, and resume there before they notice.

    Return how many streams go on at a wrong build.
    """
    found.add_build("v1")
    found.run(0.01)
    found.cut_off(*parted)
    found.add_build(build)
    found.run(0.3)
    streams = begin(found, others(found, *parted), 100)
    held = held_by(found, streams, parted[0], parted[1:])
    assert len(held) >= 3
    return resume(found, held, parted[0])[1]


@pytest.mark.parametrize(("entries", "cut"), [(3, 2), (5, 3), (9, 6)])
@pytest.mark.parametrize("store", ["silent", "refused"])
def test_most_entries_cut_off_together_guess_no_build(entries, cut, store):
    """Guards against a build recorded before more than half of all entries know it."""
    with site(entries, "v1") as found:
        parted = found.names[-cut:]
        found.cut_off(*parted, store=store)
        found.add_build("v2")
        found.run(NOTICED_SECONDS)
        streams = begin(found, others(found, *parted))
        assert [resume(found, streams, name)[1] for name in parted] == [0] * cut


def test_entries_without_the_store_keep_a_build_that_they_were_told_of():
    """Guards against a majority that forgets a build 60 s after it was told of it."""
    with site(3, "v1") as found:
        found.cut_off("entry-1", "entry-2", peers=False)
        release(found, ["entry-0"])
        found.run(1.0)
        found.cut_off("entry-1", "entry-2")
        found.run(58.0)
        streams = [found.begin("entry-0") for _ in range(24)]
        found.run(4.0)
        assert resume(found, [s for s in streams if s], "entry-1")[1] == 0


def test_entry_of_which_the_others_lapsed_is_no_majority():
    """Guards against a fleet of one that was a larger one, and is again."""
    with site(3, "v1") as found:
        found.store.remove(presence_key("entry-0"))
        found.store.remove(presence_key("entry-1"))
        found.kill(["entry-0", "entry-1"])
        found.run(11.0)
        found.cut_off("entry-2")
        for number in (0, 1):
            key = presence_key(f"entry-{number}")
            found.store.put(key, f"10.1.0.{number}:9".encode())
            found.start(f"entry-{number}")
        found.run(1.0)
        streams = release(found, ["entry-0", "entry-1"])
        found.run(NOTICED_SECONDS)
        assert resume(found, streams, "entry-2")[1] == 0


def test_build_that_was_never_recorded_is_announced_as_it_comes_again():
    """Guards against an announcement of a build that has left since."""
    with site(9, "v1") as found:
        first = recorder(found)
        found.store.faults[first] = "refused"
        found.add_build("v2")
        found.run(0.2)
        found.remove_build("v2")
        found.run(0.5)
        found.store.faults.clear()
        found.run(70.0)
        parted = others(found, first)[-4:]
        assert resume_behind_a_new_cut(found, parted, "v2") == 0


def test_recorder_that_missed_a_restore_announces_builds():
    """Guards against a recorder that takes the record for incomplete for good."""
    with site(9, "v1") as found:
        found.run(1.0)
        first = recorder(found)
        backup = found.store.contents.copy()
        found.cut_off(first, peers=False)
        found.restore(backup)
        found.run(10.0)
        found.heal()
        found.run(5.0)
        history = found.entries[first].fleet.build_history
        assert history.is_trusted
        parted = others(found, first)[-4:]
        assert resume_behind_a_new_cut(found, parted, "v2") == 0


@pytest.mark.parametrize("count", [40, 80, 160, 320])
def test_all_streams_of_a_killed_entry_go_on_without_the_store(count):
    """Guards against streams of one build that are refused as many are resumed."""
    with site(3, "v1") as found:
        streams = begin(found, ["entry-0"], count)
        found.cut_off("entry-1", "entry-2", peers=False)
        found.kill(["entry-0"])
        found.run(NOTICED_SECONDS)
        assert resume(found, streams, "entry-1") == (len(streams), 0)


def rewrite_registrations(found: Site) -> asyncio.Task[None]:
    """Let engines rewrite their registrations all the time, as on a real site."""

    async def rewrite() -> None:
        for number in itertools.count():
            await asyncio.sleep(0.1)
            names = sorted(found.engines)
            found._register(names[number % len(names)])

    return found.loop.create_task(rewrite())


def test_streams_of_a_recorded_build_are_not_taken_for_unrecorded_ones():
    """Guards against copies that come before the record, where the watch pauses.

    For 60 s the entry that has them records any other build without an announcement.
    """
    with site(9, "v1") as found:
        for entry in found.entries.values():
            entry.client.watch_pause = lambda: watch_pause(len(found.names))
        rewriting = rewrite_registrations(found)
        found.run(2.0)
        release(found, [recorder(found)])
        found.run(5.0)
        rewriting.cancel()
        unrecorded = {
            name
            for name, entry in found.entries.items()
            if entry.fleet.build_history.has_unrecorded_streams
        }
        assert unrecorded == set()


def test_build_that_another_entry_recorded_is_announced_as_it_comes_again():
    """Guards against an announcement that a standby keeps of a build that has left."""
    with site(9, "v1") as found:
        first, second = recorder(found), standby(found)
        for entry in found.entries.values():
            entry.client.watch_pause = lambda: watch_pause(len(found.names))
        rewriting = rewrite_registrations(found)
        found.run(4.0)
        found.add_build("v2")
        found.run(5.0)
        found.remove_build("v2")
        found.run(80.0)
        found.kill([first])
        found.store.remove(presence_key(first))
        found.run(15.0)
        parted = others(found, first, second)[-4:]
        found.cut_off(*parted)
        found.add_build("v2")
        found.run(0.5)
        rewriting.cancel()
        history = found.entries[second].fleet.build_history
        assert history.recorded_builds(GROUP) == {"v1"}


def test_stream_at_an_unrecorded_build_of_an_entry_that_is_cut_off():
    """Guards against a record that lacks a build at which streams have begun.

    The engines of the recorded build rest at the entry that is cut off.
    """
    with site(5, "v1") as found:
        first = recorder(found)
        cut, asked = others(found, first)[:2]
        found.add_build("v2")
        while len(found.entries[cut].fleet.registered_builds(GROUP)) < 2:
            found.run(0.0005)
        found.cut_off(cut)
        fleet = found.entries[cut].fleet
        for upstream in fleet.present(GROUP, found.loop.now):
            if upstream.build == "v1":
                fleet.resting.on_asked(upstream, 3.0)
        streams = begin(found, [cut])
        assert {stream.build for stream in streams} == {"v2"}
        found.run(0.1)
        assert resume(found, streams, asked)[1] == 0


def test_entry_without_the_others_catches_up_between_two_calls_of_its_watch():
    """Guards against refusing what the store knows on a large site."""
    with site(70, "v1") as found:
        for entry in found.entries.values():
            entry.client.watch_pause = lambda: watch_pause(len(found.names))
        rewriting = rewrite_registrations(found)
        found.run(3.0)
        streams = begin(found, ["entry-0"], 20)
        found.cut_off("entry-69", store="")
        went_on = []
        for _ in range(5):
            found.run(0.15)
            went_on.append(resume(found, streams[:4], "entry-69")[0])
            del streams[:4]
        rewriting.cancel()
        assert went_on == [4] * 5


def test_stream_that_waits_for_its_turn_to_ask_all_is_not_refused(monkeypatch):
    """Guards against refusing streams while the store is slow and one entry is dead."""
    monkeypatch.setattr("memory_store.CALL_SECONDS", 0.15)
    with site(3, "v1") as found:
        for entry in found.entries.values():
            entry.client.watch_pause = lambda: watch_pause(len(found.names))
        found.add_build("v1", 4)
        rewriting = rewrite_registrations(found)
        found.run(4.0)
        streams = begin(found, ["entry-0"], 160)
        found.kill(["entry-0"])
        found.run(0.3)
        went_on, _ = resume(found, streams, "entry-1")
        rewriting.cancel()
        assert went_on == len(streams)


def test_streams_of_killed_entries_of_a_large_site_go_on():
    """Guards against refusing streams while the store and most entries are sound."""
    with site(70, "v1") as found:
        for entry in found.entries.values():
            entry.client.watch_pause = lambda: watch_pause(len(found.names))
        rewriting = rewrite_registrations(found)
        found.run(3.0)
        killed = found.names[:7]
        streams = begin(found, killed, 60)
        found.kill(killed)
        found.run(0.3)
        went_on, _ = resume(found, streams, "entry-69")
        rewriting.cancel()
        assert went_on == len(streams)
