"""Streams that no entry knows, while the store names one of several builds."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import math

import msgspec
import pytest

from bergamotmast.direct.build_history import BUILDS_KEY
from bergamotmast.direct.build_history import HOLD_SECONDS
from bergamotmast.direct.build_history import encode
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.fleet import ReadReason
from bergamotmast.direct.only_build import KnownBy
from bergamotmast.direct.record_check import RecordCheck
from bergamotmast.direct.store_progress import SharedRead
from bergamotmast.direct.stream_build_log import STREAMS_PREFIX
from bergamotmast.direct.stream_build_log import StreamBuildLog
from bergamotmast.direct.stream_builds import StreamBuild
from bergamotmast.direct.stream_builds import StreamBuilds
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.policy.entry_ranking import stable_hash
from bergamotmast.ports import KeyValue
from bergamotmast.ports import RangeResult
from build_outage_support import begin_at_both
from build_outage_support import site
from test_stream_builds import registration_of

BOTH = frozenset({"v1", "v2"})


class Record:
    """A store that holds the record alone.

    :param during_read: called while a read is under way.
    """

    def __init__(self, *builds: str, era: int = 0) -> None:
        self.builds = frozenset(builds)
        self.era = era
        self.store_era = era
        self.is_away = False
        self.reads = 0
        self.during_read: cabc.Callable[[], None] = lambda: None

    def item(self) -> KeyValue:
        value = encode({"llm": self.builds}, self.era)
        return KeyValue(BUILDS_KEY, value, 5)

    async def range(self, prefix: str) -> RangeResult:
        self.reads += 1
        result = RangeResult((self.item(),), 9, self.store_era)
        await asyncio.sleep(0.01)
        self.during_read()
        if self.is_away:
            raise KeyValueUnavailableError("away")
        return result


class Clock:
    """The loop's clock, which can be advanced."""

    def __init__(self) -> None:
        self.ahead = 0.0

    def __call__(self) -> float:
        return asyncio.get_running_loop().time() + self.ahead


def started(record: Record, *builds: str, clock: Clock | None = None) -> StreamBuilds:
    """Return what an entry that has just started knows, beside engines of builds."""
    fleet = Fleet(PlatformDirectory(), clock or Clock())
    fleet.in_sync = True
    engines = tuple(
        KeyValue(f"servers/i-{number}", registration_of(build), 3)
        for number, build in enumerate(builds or ("v1", "v2"))
    )
    items = (*engines, record.item())
    fleet.replace_all(items, fleet.clock(), ReadReason.RESYNC, record.store_era)
    streams = StreamBuilds(fleet)
    streams.check = RecordCheck(SharedRead(record, BUILDS_KEY), fleet.build_history)
    return streams


async def find(streams: StreamBuilds, name: str = "s", groups=("llm",)):
    """Return the build that is found for a stream, and how it is known."""
    found = await streams.find(name, groups)
    return found.record and found.record.build, found.known_by


UNKNOWN = (None, KnownBy.UNKNOWN)


@pytest.mark.parametrize("era", [0, 2])
async def test_unknown_stream_goes_on_at_the_only_recorded_build(era):
    """Guards against refusing the streams of before the second build came."""
    streams = started(Record("v1", era=era))
    assert await find(streams) == ("v1", KnownBy.RECORD)


async def test_record_that_has_grown_unnoticed_proves_nothing():
    """Guards against an entry that learns late of a build at which streams began."""
    record = Record("v1")
    streams = started(record)
    record.builds = BOTH
    assert streams.fleet.build_history.recorded_builds("llm") == {"v1"}
    assert await find(streams) == UNKNOWN


@pytest.mark.parametrize("restored", ["before the start", "unnoticed"])
async def test_restored_record_proves_nothing(restored):
    """Guards against a copy of the store from before the second build was recorded."""
    record = Record("v1")
    if restored == "before the start":
        record.store_era = 1
    streams = started(record)
    record.store_era = 1
    assert await find(streams) == UNKNOWN


async def test_record_that_cannot_be_read_proves_nothing():
    """Guards against a guess while the store is away."""
    record = Record("v1")
    record.is_away = True
    assert await find(started(record)) == UNKNOWN


async def test_stored_streams_of_an_unrecorded_build_end_the_proof():
    """Guards against a record that lacks a build at which an ended entry began."""
    streams = started(Record("v1"))
    log = StreamBuildLog(None, streams, "own", 400.0, list)
    streams.stored = log
    value = msgspec.msgpack.encode({"llm": {"v2": stable_hash("a").to_bytes(8)}})
    log.put(KeyValue(f"{STREAMS_PREFIX}entry-9/1", value, 4))
    assert await find(streams) == UNKNOWN


@pytest.mark.parametrize("where", ["here", "at another entry", "during the read"])
async def test_stream_at_an_unrecorded_build_ends_the_proof(where):
    """Guards against a stream that began beside the record, for want of an engine."""
    record = Record("v1")
    streams = started(record)
    other = StreamBuild(7, "llm", "v2", math.inf)
    if where == "here":
        streams.on_begun("other", "llm", "v2")
    elif where == "at another entry":
        streams.on_copy(other)
    else:
        record.during_read = lambda: streams.on_copy(other)
    assert await find(streams) == UNKNOWN
    # The build is recorded at once.
    pending = streams.fleet.build_history.pending(["llm"])
    assert pending == ({"llm": BOTH}, 0)


async def test_copy_that_comes_late_outweighs_the_record():
    """Guards against the record where an entry knows the stream after all."""
    record = Record("v1")
    streams = started(record)
    known = StreamBuild(stable_hash("s"), "llm", "v2", math.inf)
    record.during_read = lambda: streams.on_copy(known)
    assert await find(streams) == ("v2", KnownBy.PEERS)


async def test_stream_that_may_have_begun_in_another_group_is_refused():
    """Guards against the only build of a group that the stream is not of."""
    streams = started(Record("v1"))
    assert await find(streams, groups=("llm", "other")) == UNKNOWN
    streams.on_copy(StreamBuild(stable_hash("s"), "other", "v1", math.inf))
    assert await find(streams) == UNKNOWN


async def test_streams_that_are_asked_for_at_once_share_reads():
    """Guards against a read of the store for each name that a caller makes up."""
    record = Record("v1")
    streams = started(record)
    found = await asyncio.gather(*(find(streams, f"s-{n}") for n in range(200)))
    assert set(found) == {("v1", KnownBy.RECORD)}
    assert record.reads == 1


async def test_read_from_before_a_stream_was_asked_for_is_not_used():
    """Guards against a read that another stream has begun, from before this one."""
    record = Record("v1")
    streams = started(record)
    first = asyncio.ensure_future(find(streams, "s-1"))
    await asyncio.sleep(0.005)
    assert record.reads == 1
    record.builds = BOTH
    assert await find(streams, "s-2") == UNKNOWN
    assert await first == ("v1", KnownBy.RECORD)


async def test_group_of_one_build_costs_no_read():
    """Guards against calls to the store for streams of a group with one build."""
    record = Record("v1")
    streams = started(record, "v1")
    assert await find(streams) == ("v1", KnownBy.ONLY_BUILD)
    assert record.reads == 0


async def test_second_build_waits_for_callers_after_a_start():
    """Guards against refusing streams for a build that is recorded too early, and
    against one that is never recorded."""
    clock = Clock()
    history = started(Record("v1"), clock=clock).fleet.build_history
    assert history.pending(["llm"]) is None
    assert history.check_at <= clock() + HOLD_SECONDS
    clock.ahead += HOLD_SECONDS
    assert history.pending(["llm"]) == ({"llm": BOTH}, 0)


async def test_second_build_does_not_wait_without_an_engine_of_the_first():
    """Guards against a group whose engines are all of a build that is not recorded."""
    history = started(Record("v1"), "v2").fleet.build_history
    assert history.pending(["llm"]) == ({"llm": BOTH}, 0)


async def test_builds_do_not_wait_at_the_first_start():
    """Guards against a delay where there is no record yet."""
    history = started(Record(), "v1", "v2").fleet.build_history
    assert history.pending(["llm"]) == ({"llm": BOTH}, 0)


async def test_streams_of_a_build_that_came_in_an_outage_outlast_a_second_kill():
    """Guards against the record of before the second build, once it has streams."""
    async with site("v1") as found:
        await found.begin("early")
        await found.kill()
        found.register("v2")
        await asyncio.sleep(0.3)
        await found.start()
        await found.begin("held")
        assert set(found.begun.values()) == {"v1"}
        await asyncio.sleep(HOLD_SECONDS + 1.0)
        found.begun.clear()
        await begin_at_both(found)
        await found.kill()
        await asyncio.sleep(0.3)
        await found.start()
        outcome = await found.resume()
        assert found.misplaced() == [], found.summary(outcome)
        shares = [found.share(outcome, build) for build in ("v1", "v2")]
        assert min(shares) >= 0.5, found.summary(outcome)
