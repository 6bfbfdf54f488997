"""Streams that callers take up again after all entries were killed and started again.

The entries' memory is gone then, while the engines' group has, or just had, several
builds. Engines do not check that a stream goes on at the build that began it.
"""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from build_outage_support import STREAMS
from build_outage_support import ask_whole
from build_outage_support import assert_new_streams_begin
from build_outage_support import begin_at_both
from build_outage_support import site
from platform_standin import EngineScript

RETURN_SECONDS = 1.8
"""When live engines are registered again after a restore; two seconds are allowed."""


@pytest.mark.parametrize("down_seconds", [0.2, 1.0])
async def test_streams_of_two_builds_outlast_all_entries(down_seconds):
    """Guards against refusing for ever, or misplacing, the streams of two builds."""
    async with site("v1", "v2") as found:
        await begin_at_both(found)
        await found.kill()
        await asyncio.sleep(down_seconds)
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == []
        shares = [found.share(outcome, build) for build in ("v1", "v2")]
        assert min(shares) >= 0.5, found.summary(outcome)


async def test_streams_that_have_just_begun_outlast_all_entries():
    """Guards against losing the streams that began since an entry's last write."""
    async with site("v1", "v2") as found:
        await begin_at_both(found)
        young = await found.begin("young", 3 * STREAMS)
        await asyncio.sleep(0.1)
        await found.kill()
        await asyncio.sleep(0.2)
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == []
        ends = [outcome[stream][-1] for stream in young]
        assert ends.count(200) >= 0.5 * len(young), found.summary(outcome)


@pytest.mark.parametrize("when", ["before the kill", "while all are down"])
async def test_stream_of_a_build_that_left_is_refused(when):
    """Guards against the only build left, which did not begin the stream."""
    async with site("v1", "v2") as found:
        await begin_at_both(found)
        if when == "before the kill":
            found.leave("v1")
            await asyncio.sleep(0.5)
        await found.kill()
        if when == "while all are down":
            found.leave("v1")
        await asyncio.sleep(0.3)
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        old = [o for s, o in outcome.items() if found.begun[s] == "v1"]
        assert set(itertools.chain(*old)) == {503}
        assert found.share(outcome, "v2") >= 0.5, found.summary(outcome)
        await assert_new_streams_begin(found)


@pytest.mark.parametrize("when", ["in the outage", "just after it"])
async def test_streams_of_the_only_build_go_on_as_another_comes(when):
    """Guards against misplacing or refusing streams that began before there were two
    builds, where the second one came while no entry ran, or just after the start."""
    async with site("v1") as found:
        await found.begin("a")
        await asyncio.sleep(1.0)
        await found.kill()
        if when == "in the outage":
            found.register("v2")
        await asyncio.sleep(0.3)
        await found.start()
        if when == "just after it":
            found.register("v2")
            await asyncio.sleep(0.3)
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        assert found.share(outcome, "v1") >= 0.5, found.summary(outcome)
        await assert_new_streams_begin(found)


async def test_streams_outlast_two_kills_in_series():
    """Guards against entries that overwrite what they kept before they were killed."""
    async with site("v1", "v2") as found:
        await begin_at_both(found)
        for _ in range(2):
            await found.kill()
            killed_at = time.monotonic()
            await asyncio.sleep(0.2)
            await found.start()
            await asyncio.sleep(max(0.0, killed_at + 1.0 - time.monotonic()))
        outcome = await found.resume()
        assert found.misplaced() == []
        shares = [found.share(outcome, build) for build in ("v1", "v2")]
        assert min(shares) >= 0.5, found.summary(outcome)


@pytest.mark.parametrize("since", ["the streams begin", "it starts", "it is ready"])
async def test_entry_that_the_store_turns_away_makes_no_guess(since):
    """Guards against an entry that takes the only build that it reads, or that its
    peers know, for the build of a stream which it knows nothing of."""
    async with site("v1", "v2") as found:
        port = {found.ports[0]}
        if since == "the streams begin":
            found.store.turned_away = port
        await begin_at_both(found)
        await found.kill()
        found.leave("v1")
        await asyncio.sleep(0.3)
        found.store.turned_away = port if since == "it starts" else set()
        await found.start(unready={0} if since == "it starts" else ())
        if since == "it is ready":
            found.store.turned_away = port
        outcome = await found.resume(only=0)
        assert found.misplaced() == [], found.summary(outcome)
        old = [o for s, o in outcome.items() if found.begun[s] == "v1"]
        assert 200 not in set(itertools.chain(*old))
        await assert_new_streams_begin(found, first=1)


@pytest.mark.parametrize(
    ("leaves", "fault"),
    [("v1", "refused"), ("v1", "lost"), ("v1", "late"), ("v2", "lost")],
)
async def test_faults_of_writes_before_the_kill_misplace_no_stream(leaves, fault):
    """Guards against a guess by what the store was told before its writes failed.

    The first build leaves while no entry runs; or the second one does, which came as
    writes failed already. No stream begins at one that the store cannot name, see
    test_no_stream_begins_at_a_build_while_it_cannot_be_recorded.
    """
    early = ("v1", "v2") if leaves == "v1" else ("v1",)
    async with site(*early, entries=2) as found:
        found.store.write_fault = fault
        found.register("v2")
        await asyncio.sleep(0.5)
        await begin_at_both(found)
        await found.kill()
        found.leave(leaves)
        await asyncio.sleep(0.3)
        found.store.write_fault = ""
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        await assert_new_streams_begin(found)


@pytest.mark.parametrize("when", ["before", "while down", "after"])
async def test_restore_around_the_kill_misplaces_no_stream(when):
    """Guards against a guess by a copy of the store that is older than a build.

    The second build's engines live on, and are registered again two seconds later.
    """
    async with site("v1", entries=2) as found:
        copy = found.store.backup()
        found.register("v2")
        await asyncio.sleep(0.5)
        await begin_at_both(found)

        def restore() -> None:
            found.store.restore(copy)
            loop = asyncio.get_running_loop()
            loop.call_later(RETURN_SECONDS, found.register, "v1", "v2")

        if when == "before":
            restore()
            await asyncio.sleep(0.3)
        await found.kill()
        if when == "while down":
            restore()
        await asyncio.sleep(0.2)
        await found.start()
        if when == "after":
            await asyncio.sleep(0.3)
            restore()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        await assert_new_streams_begin(found)


async def test_streams_of_one_build_outlast_all_entries():
    """Guards against refusing streams where there has been one build throughout."""
    async with site("v1") as found:
        await found.begin("a")
        assert len(found.begun) == STREAMS
        await asyncio.sleep(1.0)
        await found.kill()
        await asyncio.sleep(0.3)
        await found.start()
        outcome = await found.resume()
        assert found.share(outcome, "v1") == 1.0, found.summary(outcome)


async def test_streams_of_one_build_cost_no_writes():
    """Guards against writes to the store for each stream of a group of one build."""
    async with site("v1", entries=2) as found:
        for engine in found.engines["v1"]:
            engine.script = EngineScript(last=6, pause=0.05)
        await asyncio.sleep(2.0)
        counts = []
        for streams_at_once in (0, 50):
            before = found.store.writes()
            until = asyncio.create_task(asyncio.sleep(2.0))
            answers = await asyncio.gather(
                *(
                    ask_whole(found.entries[n % 2].port, f"w-{n}")
                    for n in range(streams_at_once)
                )
            )
            await until
            assert answers == [200] * streams_at_once
            counts.append(found.store.writes() - before)
        idle, busy = counts
        assert busy <= idle + len(found.entries), counts
