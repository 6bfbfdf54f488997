"""Tests of streams that callers resume while new prompts fill the engines' queues."""

from __future__ import annotations

import asyncio
import typing as t

import pytest

from bergamotmast.direct.only_build import KnownBy
from bergamotmast.direct.prefill_notice import PrefillNotice
from bergamotmast.direct.stream_builds import RETENTION_SECONDS
from bergamotmast.direct.stream_builds import StreamBuild
from bergamotmast.direct.stream_builds import StreamBuilds
from bergamotmast.policy.entry_ranking import stable_hash
from direct_support import Answer
from direct_support import Entry
from direct_support import request
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import event
from test_builds import built

PROMPT = {"X_Token_Count": "6000,800", "X_Prompt_Prefix": "aa:2000,bb:4000"}
NEW_PROMPT = {"X_Token_Count": "6000,800", "X_Prompt_Prefix": "cc:2000,dd:4000"}
QUEUED_PROMPTS = 8
QUEUED_SECONDS = 0.3
QUEUED_PRIORITY = 5
"""First priority of the prompts' rank, so that they all wait for what is queued."""

BEGAN_AS = "id-began"


class StoredRecords:
    """Records of streams in the store."""

    def __init__(self, records: dict[int, tuple[str, str]]) -> None:
        self.records = records

    def find(self, stream: int) -> tuple[str, str] | None:
        return self.records.get(stream)


class RecordingPeers:
    """Other entries that know streams."""

    def __init__(
        self, builds: StreamBuilds, records: dict[int, tuple[str, str]]
    ) -> None:
        self.builds = builds
        self.records = records

    def copy(self, records: t.Sequence[StreamBuild]) -> None:
        pass

    async def find(self, stream: int, group: str) -> None:
        if stream in self.records:
            until = asyncio.get_running_loop().time() + RETENTION_SECONDS
            self.builds.on_copy(StreamBuild(stream, *self.records[stream], until))


class CollectedNotices:
    """Notices to other entries, which are kept instead of being sent."""

    def __init__(self) -> None:
        self.notices: list[PrefillNotice] = []

    def enqueue(self, notice: PrefillNotice) -> None:
        self.notices.append(notice)


def engines(*builds: str) -> list[Replica]:
    """Return a prefill engine and a decode engine of each build."""
    return [
        built(f"i-{stage}-{build}", build, EngineScript(last=5), stage)
        for build in builds
        for stage in ("prefill", "decode")
    ]


def queue_new_prompts(
    entry: Entry, count: int = QUEUED_PROMPTS, seconds: float = QUEUED_SECONDS
) -> None:
    """Let other entries have queued prompts of new streams at all engines."""
    now = asyncio.get_running_loop().time()
    for upstream in entry.fleet.members("llm", now):
        tracker = entry.core.context.placer.engine_load(upstream)
        for number in range(count):
            key = ("peer", number)
            tracker.begin(key, seconds, QUEUED_PRIORITY, now)


async def begin_and_leave(entry: Entry) -> None:
    """Begin a stream whose caller loses its connection within it."""
    reader, writer = await entry.connect()
    writer.write(request("/long/x", request_id=BEGAN_AS, **PROMPT))
    await reader.readuntil(b"id: 2")
    writer.close()
    await asyncio.sleep(0.05)


async def let_it_be_known(entry: Entry, known_by: str) -> None:
    """Let a stream have begun at build v1, as known from memory, store or peers."""
    builds = entry.core.context.stream_builds
    records = {stable_hash(BEGAN_AS): ("llm", "v1")}
    if known_by == "memory":
        await begin_and_leave(entry)
    elif known_by == "store":
        builds.stored = StoredRecords(records)
    elif known_by == "peers":
        builds.peers = RecordingPeers(builds, records)


async def resume(entry: Entry, request_id: str = "id-2", **headers: str) -> Answer:
    resumed = {"Resumes": BEGAN_AS, "Last_Event_Id": "2"} | headers
    return await entry.ask("/long/x", request_id=request_id, **resumed, **PROMPT)


def sent_priorities(replicas: t.Sequence[Replica], request_id: str) -> list[int]:
    """Return the priorities of a caller's request at all engines."""
    return [
        int(received.headers["x-request-priority"])
        for replica in replicas
        for received in replica.received
        if received.method == "POST" and received.request_id.startswith(request_id)
    ]


def urgent_seconds(entry: Entry) -> dict[str, float]:
    """Return the recent load of each engine that counts as urgent, in seconds."""
    placer = entry.core.context.placer
    members = entry.fleet.members("llm", asyncio.get_running_loop().time())
    return {m.name: sum(placer.engine_load(m).urgent.seconds.values()) for m in members}


@pytest.mark.parametrize("known_by", ["memory", "store", "peers"])
async def test_resumed_stream_is_not_refused_behind_new_prompts(known_by):
    """Guards against refusing resumed streams while engines prefill new prompts.

    The queues of all engines would take longer than the caller waits.
    """
    only_one = known_by == "memory"
    replicas = engines("v1") if only_one else engines("v1", "v2")
    async with serving(*replicas) as entry:
        for replica in replicas:
            replica.script.pause = 0.02
        await let_it_be_known(entry, known_by)
        queue_new_prompts(entry)
        fresh = await entry.ask("/long/x", request_id="id-new", **NEW_PROMPT)
        resumed = await resume(entry)
    assert fresh.status == 503
    assert resumed.status == 200
    assert resumed.complete
    assert resumed.body == b"".join(event(number) for number in (3, 4, 5))


async def test_resumed_stream_overtakes_new_ones_of_its_rank_at_engines():
    """Guards against resumed streams that wait behind new ones for a decode slot."""
    replicas = engines("v1", "v2")
    async with serving(*replicas) as entry:
        await let_it_be_known(entry, "store")
        assert (await resume(entry)).status == 200
        fresh = await entry.ask("/long/x", request_id="id-new", **NEW_PROMPT)
        assert fresh.status == 200
    resumed_priorities = sent_priorities(replicas, "id-2")
    assert len(resumed_priorities) == 2
    assert max(resumed_priorities) < min(sent_priorities(replicas, "id-new"))


async def test_streams_that_nobody_recorded_go_on_while_new_ones_begin():
    """Guards against refusing streams that began at an entry that was killed.

    In a group of one build no other entry and no record of the store knows of them.
    Their callers have less time left than those of new streams.
    """
    replicas = engines("v1")
    async with serving(*replicas) as entry:
        queue_new_prompts(entry, 2)
        fresh = await entry.ask("/long/x", request_id="id-new", **NEW_PROMPT)
        resumed = [
            await resume(
                entry, f"id-{n}", Resumes=f"id-began-{n}", X_Deadline_Ms="1000"
            )
            for n in range(3)
        ]
    assert fresh.status == 200
    assert [answer.status for answer in resumed] == [200] * 3
    assert all(answer.complete for answer in resumed)
    resumed_priorities = [sent_priorities(replicas, f"id-{n}") for n in range(3)]
    fresh_priorities = sent_priorities(replicas, "id-new")
    assert all(max(sent) < min(fresh_priorities) for sent in resumed_priorities)


@pytest.mark.parametrize("resumes", ["id-unheard-of", ""])
async def test_no_more_unrecorded_streams_overtake_than_were_in_progress(resumes):
    """Guards against callers that name events to overtake others for long.

    The only build is known, so that all requests could go on there. A name that is used
    again counts again.
    """
    prefill, decode = engines("v1")
    decode.entry["slots"] = 3
    async with serving(prefill, decode) as entry:
        named = {"Resumes": resumes, "Last_Event_Id": "2"}
        statuses = []
        for number in range(5):
            queue_new_prompts(entry)
            got = await entry.ask(
                "/long/x", request_id=f"id-{number}", **named, **PROMPT
            )
            statuses.append(got.status)
    assert statuses == [200] * 3 + [503] * 2
    received = prefill.received + decode.received
    assert not any(r.request_id.startswith(("id-3", "id-4")) for r in received)


async def test_recorded_streams_count_towards_no_limit():
    """Guards against streams known to have begun that wait for those that may have."""
    prefill, decode = engines("v1")
    decode.entry["slots"] = 1
    names = [f"id-began-{number}" for number in range(3)]
    async with serving(prefill, decode) as entry:
        records = {stable_hash(name): ("llm", "v1") for name in names}
        entry.core.context.stream_builds.stored = StoredRecords(records)
        for name in names:
            queue_new_prompts(entry)
            assert (await resume(entry, f"for-{name}", Resumes=name)).status == 200


async def test_recorded_stream_that_is_resumed_again_and_again_counts():
    """Guards against callers that overtake others for long by one stream of theirs."""
    prefill, decode = engines("v1")
    decode.entry["slots"] = 2
    async with serving(prefill, decode) as entry:
        await let_it_be_known(entry, "store")
        statuses = []
        for number in range(5):
            queue_new_prompts(entry)
            statuses.append((await resume(entry, f"id-{number}")).status)
    assert statuses == [200] * 3 + [503] * 2


@pytest.mark.parametrize(("entries", "taken"), [(1, 12), (2, 12), (3, 8), (24, 1)])
async def test_entries_share_the_streams_that_were_in_progress(entries, taken):
    """Guards against as many overtaking streams at each entry as at all together."""
    prefill, decode = engines("v1")
    decode.entry["slots"] = 12
    async with serving(prefill, decode) as entry:
        for number in range(entries):
            entry.fleet.entries[f"peer-{number}"] = ("127.0.0.1", 1)
        take = entry.core.context.resume_precedence.take
        ways = [KnownBy.ONLY_BUILD, KnownBy.RECORD, KnownBy.AGREEMENT]
        first = [take(f"id-{n}", "llm", ways[n % 3]) for n in range(20)]
    assert first == [True] * taken + [False] * (20 - taken)


async def test_resumed_streams_do_not_look_like_a_burst_to_new_ones():
    """Guards against refusing new streams for those that were resumed before them.

    Resumed streams are as many as were in progress. Counted as urgent load, they would
    raise the predicted waits of all others for a second.
    """
    replicas = engines("v1")
    async with serving(*replicas) as entry:
        await let_it_be_known(entry, "store")
        before = urgent_seconds(entry)
        assert (await resume(entry)).status == 200
        after = urgent_seconds(entry)
    assert all(after[name] <= before[name] for name in before)


async def test_resumed_stream_needs_no_margin():
    """Guards against refusing a resumed stream that is predicted just in time.

    A prompt that goes first for its size needs a margin, as it delays others in vain if
    its caller leaves. A caller that leaves a stream also loses what it has received.
    """
    replicas = engines("v1")
    async with serving(*replicas) as entry:
        await let_it_be_known(entry, "store")
        queue_new_prompts(entry, 1, seconds=1.5)
        assert (await resume(entry)).status == 200


async def test_other_entries_learn_that_a_resumed_prompt_goes_first():
    """Guards against other entries that take a resumed prompt for one of a burst."""
    replicas = engines("v1")
    notices = CollectedNotices()
    async with serving(*replicas) as entry:
        await let_it_be_known(entry, "store")
        entry.core.context.notices = notices
        assert (await resume(entry)).status == 200
    begun = [notice for notice in notices.notices if notice.tokens]
    assert [notice.goes_first for notice in begun] == [True]
    assert begun[0].priority < QUEUED_PRIORITY
