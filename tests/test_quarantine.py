"""Tests of the quarantine of requests that crash upstreams, shared by all entries."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import logging
import random
import time

import pytest

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.crashes.model import Incarnation
from bergamotmast.crashes.model import LostRun
from bergamotmast.crashes.part_quarantine import MAX_LOGGED_PARTS
from bergamotmast.crashes.part_quarantine import SURVIVAL_SECONDS
from bergamotmast.crashes.part_records import PARTS_PREFIX
from bergamotmast.crashes.part_records import part_answer_key
from bergamotmast.crashes.quarantine import Quarantine
from bergamotmast.crashes.records import CRASHES_PREFIX
from bergamotmast.crashes.records import MAX_WRITES_PER_TXN
from bergamotmast.crashes.records import CrashRecordWriter
from bergamotmast.crashes.shared_records import REFRESH_SECONDS
from bergamotmast.crashes.trials import Trials
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.store_watcher import StoreWatcher
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.policy import part_ledger
from bergamotmast.policy.crash_ledger import HARMFUL_RETENTION_SECONDS
from bergamotmast.policy.crash_ledger import MAX_CRASHES
from bergamotmast.policy.crash_ledger import SUSPECT_RETENTION_SECONDS
from bergamotmast.policy.part_ledger import MAX_PROBED_CRASHES
from bergamotmast.policy.part_ledger import PartLedger
from bergamotmast.policy.part_ledger import judge_parts
from bergamotmast.policy.retry_window import RetryLimits
from bergamotmast.ports import Delete
from bergamotmast.ports import KeyValue
from bergamotmast.ports import Put
from bergamotmast.standins.key_value import KeyValueStandIn
from bergamotmast.telemetry import NullTelemetry
from crash_checks import GRACE_SECONDS
from crash_checks import MAX_LATE_TRIES
from crash_support import CRASHES
from crash_support import CrashingReplica
from direct_support import read_answer
from direct_support import request
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer
from platform_standin import reset


def upstream(number: int) -> Incarnation:
    return Incarnation(f"i-{number}", "1")


def run_of(name: str) -> LostRun:
    return LostRun(name, f"id-{name}")


class Member:
    """An entry's quarantine and its view of the store, without callers."""

    def __init__(self, kv: KeyValueStandIn, name: str) -> None:
        rng = random.Random(name)
        clock = asyncio.get_running_loop().time
        self.fleet = Fleet(PlatformDirectory(), clock)
        client = kv.client(name)
        self.writer = CrashRecordWriter(client, rng)
        self.quarantine = Quarantine(
            name,
            NullTelemetry(),
            rng,
            Trials(name, client),
            self.writer,
        )
        self.fleet.listeners[CRASHES_PREFIX] = self.quarantine.records
        self.fleet.listeners[PARTS_PREFIX] = self.quarantine.parts.records
        self.watcher = StoreWatcher(client, self.fleet, rng)
        coroutines = (self.watcher.run(), self.writer.run(), self.quarantine.run())
        self.tasks = [asyncio.create_task(each) for each in coroutines]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def crash(self, number: int, *names: str) -> None:
        self.quarantine.on_crash(upstream(number), [run_of(name) for name in names])

    def refuses(self, name: str) -> bool:
        try:
            self.quarantine.check(name)
        except RequestError as error:
            assert error.code is ResultCode.QUARANTINED
            return True
        return False


@contextlib.asynccontextmanager
async def members(count: int, delay: float = 0.004):
    """Yield the store and the members that share it."""
    kv = KeyValueStandIn(delay)
    joined = [Member(kv, f"e{number}") for number in range(count)]
    await asyncio.sleep(0.5)
    try:
        yield kv, joined
    finally:
        await asyncio.gather(*(member.stop() for member in joined))


def stored(kv: KeyValueStandIn) -> list[str]:
    return [item.key for item in kv.store.items_with_prefix(CRASHES_PREFIX)]


@pytest.mark.looptime
async def test_crashes_seen_at_the_same_moment_are_all_counted():
    """Guards against two entries that overwrite each other's count."""
    async with members(3) as (_, joined):
        for number, member in enumerate(joined):
            member.crash(number, "culprit")
        await asyncio.sleep(0.5)
        assert all(member.refuses("culprit") for member in joined)


@pytest.mark.looptime
async def test_crash_that_two_entries_see_counts_once():
    async with members(2) as (_, joined):
        for number in (0, 1):
            for member in joined:
                member.crash(number, "culprit")
        await asyncio.sleep(0.5)
        assert not any(member.refuses("culprit") for member in joined)


@pytest.mark.looptime
async def test_entry_that_has_just_started_knows_the_quarantine():
    """Guards against a harmful request that comes again at a restarted entry."""
    async with members(1) as (kv, [member]):
        for number in range(3):
            member.crash(number, "culprit")
        await asyncio.sleep(0.5)
        await member.stop()
        fresh = Member(kv, "fresh")
        await asyncio.sleep(0.5)
        assert fresh.refuses("culprit")
        await fresh.stop()


@pytest.mark.looptime
async def test_entry_without_the_store_goes_by_what_it_knows():
    """Guards against losing crashes that are seen during an outage of the store."""
    async with members(2) as (kv, [first, second]):
        first.crash(0, "culprit")
        await asyncio.sleep(0.5)
        kv.down = True
        first.crash(1, "culprit")
        first.crash(2, "culprit")
        await asyncio.sleep(3.0)
        assert first.refuses("culprit")
        assert not second.refuses("culprit")
        kv.down = False
        await asyncio.sleep(3.0)
        assert second.refuses("culprit")


@pytest.mark.looptime
async def test_write_whose_reply_is_lost_is_repeated():
    async with members(2) as (kv, [first, second]):
        kv.lose_next_reply("e0", 3)
        for number in range(3):
            first.crash(number, "culprit")
        await asyncio.sleep(3.0)
        assert second.refuses("culprit")
        assert not first.writer.pending


@pytest.mark.looptime
@pytest.mark.parametrize("remembering", [0, 1])
async def test_restore_of_the_store_frees_no_harmful_request(remembering):
    """Guards against a backup from before the crashes.

    One of the entries may start again before the restore and remember nothing.
    """
    async with members(2) as (kv, joined):
        backup = kv.snapshot()
        for number in range(3):
            joined[0].crash(number, "culprit")
        await asyncio.sleep(0.5)
        other = 1 - remembering
        await joined[other].stop()
        kv.restore(backup)
        joined[remembering].watcher.on_restored()
        await asyncio.sleep(1.0)
        joined[other] = Member(kv, "fresh")
        await asyncio.sleep(1.0)
        assert all(member.refuses("culprit") for member in joined)


@pytest.mark.looptime
async def test_restore_of_the_store_undoes_no_removal():
    """Guards against a backup from before a request was cleared."""
    async with members(2) as (kv, [first, second]):
        first.crash(0, "harmless")
        await asyncio.sleep(0.5)
        backup = kv.snapshot()
        second.quarantine.on_answered("harmless")
        await asyncio.sleep(0.5)
        kv.restore(backup)
        for member in (first, second):
            member.watcher.on_restored()
        await asyncio.sleep(2.0)
        assert stored(kv) == []
        assert not first.quarantine.ledger


@pytest.mark.looptime
async def test_answer_clears_a_request_at_all_entries():
    """Guards against adding up the crashes that a harmless request has survived."""
    async with members(3) as (kv, joined):
        joined[0].crash(0, "harmless")
        joined[1].crash(1, "harmless")
        await asyncio.sleep(0.5)
        joined[2].quarantine.on_answered("harmless")
        await asyncio.sleep(0.5)
        joined[0].crash(2, "harmless")
        await asyncio.sleep(0.5)
        assert not any(member.refuses("harmless") for member in joined)
        assert len(stored(kv)) == 1


@pytest.mark.looptime
async def test_survival_of_an_upstream_withdraws_its_crash():
    async with members(2) as (kv, [first, second]):
        for number in range(3):
            first.crash(number, "harmless")
        await asyncio.sleep(0.5)
        first.quarantine.on_survival(upstream(1), [run_of("harmless")])
        await asyncio.sleep(0.5)
        assert not first.refuses("harmless")
        assert not second.refuses("harmless")


@pytest.mark.looptime
async def test_operator_lifts_a_quarantine_by_deleting_its_keys():
    async with members(2) as (kv, joined):
        for number in range(3):
            joined[0].crash(number, "culprit")
        await asyncio.sleep(0.5)
        await kv.client("operator").txn([], [Delete(key) for key in stored(kv)])
        await asyncio.sleep(0.5)
        assert not any(member.refuses("culprit") for member in joined)
        assert stored(kv) == []


@pytest.mark.looptime
async def test_crash_of_a_large_share_stays_within_the_store_limits():
    """Guards against a write for each lost run when many upstreams crash at once.

    28 entries lose 45 runs each with five upstreams. The store takes 1,200 writes a
    second of all entries together.
    """
    async with members(28) as (kv, joined):
        kv.writes = 0
        for index, member in enumerate(joined):
            for number in range(5):
                names = [f"r-{index}-{number}-{run}" for run in range(9)]
                member.crash(number, *names)
        await asyncio.sleep(1.0)
        assert len(stored(kv)) == 28 * 45
        assert kv.writes <= 28 * (45 // MAX_WRITES_PER_TXN + 1)
        assert not any(m.refuses("r-0-0-0") for m in joined)


@pytest.mark.looptime
async def test_harmful_request_is_not_forgotten_while_it_keeps_coming():
    """Guards against records that expire at entries where the request does not come."""
    async with members(2) as (kv, [first, second]):
        for number in range(3):
            first.crash(number, "culprit")
        for _ in range(int(1.5 * HARMFUL_RETENTION_SECONDS / REFRESH_SECONDS)):
            assert first.refuses("culprit")
            await asyncio.sleep(REFRESH_SECONDS)
        assert second.refuses("culprit")


@pytest.mark.looptime
async def test_records_are_removed_once_a_request_no_longer_comes():
    async with members(2) as (kv, [first, second]):
        first.crash(0, "gone", "gone too")
        await asyncio.sleep(SUSPECT_RETENTION_SECONDS + 60.0)
        assert stored(kv) == []
        for member in (first, second):
            assert not member.quarantine.ledger
            assert not member.quarantine.records.values
        await asyncio.sleep(120.0)
        assert not first.quarantine.records.removed


@pytest.mark.looptime
@pytest.mark.parametrize("key", ["x", "a/b/c", "/", ""])
async def test_key_that_is_no_crash_is_ignored(key, caplog):
    async with members(1) as (kv, [member]):
        await kv.client("other").txn([], [Put(CRASHES_PREFIX + key, b"\xff")])
        await asyncio.sleep(0.5)
        assert not member.quarantine.ledger
        assert "crash cannot be decoded" in caplog.text
        member.fleet.put(KeyValue("/unknown", b"", 99))


@pytest.mark.looptime
async def test_suspects_run_on_different_upstreams():
    """Guards against taking a harmless suspect for the harmful one beside it."""
    async with members(2) as (_, [first, second]):
        for number in (0, 1):
            first.crash(number, "culprit", "harmless")
        await asyncio.sleep(0.5)
        async with first.quarantine.run_apart("culprit", upstream(5)) as granted:
            assert granted
            for member in (first, second):
                async with member.quarantine.run_apart(
                    "harmless", upstream(5)
                ) as granted:
                    assert not granted
                async with member.quarantine.run_apart(
                    "harmless", upstream(6)
                ) as granted:
                    assert granted
                await asyncio.sleep(0.1)
                async with member.quarantine.run_apart(
                    "culprit", upstream(7)
                ) as granted:
                    assert not granted
                async with member.quarantine.run_apart("other", upstream(5)) as granted:
                    assert granted
        await asyncio.sleep(0.1)
        async with second.quarantine.run_apart("harmless", upstream(5)) as granted:
            assert granted


@pytest.mark.looptime
@pytest.mark.parametrize("fault", ["down", "slow"])
async def test_trial_does_not_wait_for_a_store_that_fails(fault):
    """Guards against refusing suspects for as long as the store is away."""
    async with members(1) as (kv, [member]):
        for number in (0, 1):
            member.crash(number, "suspect")
        await asyncio.sleep(0.5)
        kv.down = fault == "down"
        kv.delay = 30.0 if fault == "slow" else 0.0
        began = asyncio.get_running_loop().time()
        async with member.quarantine.run_apart("suspect", upstream(5)) as granted:
            assert granted
            assert asyncio.get_running_loop().time() - began < 1.0
            async with member.quarantine.run_apart("suspect", upstream(6)) as granted:
                assert not granted
        kv.delay = 0.0


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(30))
async def test_harmful_requests_stop_reaching_upstreams(seed):
    """Whatever the order: after the third crash, at most three late tries are sent.

    Harmful requests come at any entry beside harmless ones, while entries start again
    and the store is slow or loses replies.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    async with members(rng.randint(2, 6), rng.choice((0.004, 0.1))) as (kv, joined):
        crashes: dict[str, list[float]] = {}
        sends: dict[str, list[float]] = {}
        numbers = iter(range(100_000))

        async def send(name: str, harmful: bool) -> None:
            member = rng.choice(joined)
            quarantine = member.quarantine
            if member.refuses(name):
                assert harmful
                return
            number = next(numbers)
            async with quarantine.run_apart(name, upstream(number)) as granted:
                if not granted:
                    return
                sends.setdefault(name, []).append(loop.time())
                await asyncio.sleep(rng.uniform(0.0, 0.3))
                if not harmful and rng.random() < 0.7:
                    quarantine.on_answered(name)
                    return
                if harmful:
                    crashes.setdefault(name, []).append(loop.time())
                await asyncio.sleep(0.03)
                if harmful or not quarantine.ledger.crashes(name):
                    member.crash(number, name)

        async def caller(name: str, harmful: bool) -> None:
            while loop.time() < ends_at:
                await send(name, harmful)
                await asyncio.sleep(rng.uniform(0.0, 0.8))

        async def restart() -> None:
            for _ in range(rng.choice((0, 2))):
                await asyncio.sleep(rng.uniform(1.0, 6.0))
                index = rng.randrange(len(joined))
                await joined[index].stop()
                # A try whose entry is killed at once is lost with it.
                await asyncio.sleep(0.2)
                joined[index] = Member(kv, f"again-{next(numbers)}")
                kv.lose_next_reply(count=rng.choice((0, 3)))
                await asyncio.sleep(0.5)

        ends_at = loop.time() + 15.0
        async with asyncio.TaskGroup() as group:
            group.create_task(restart())
            for number in range(rng.randint(1, 4)):
                group.create_task(caller(f"harmful-{number}", True))
            for number in range(4):
                group.create_task(caller(f"harmless-{number}", False))
        for name, times in crashes.items():
            assert len(times) >= MAX_CRASHES
            limit = times[MAX_CRASHES - 1] + GRACE_SECONDS
            assert sum(at > limit for at in sends[name]) <= MAX_LATE_TRIES


def crashing(name: str, stage: str = "decode", **more) -> CrashingReplica:
    return CrashingReplica(
        name, EngineScript(), service="llm", slots=64, stage=stage, **more
    )


async def test_harmful_request_is_refused_at_once_with_its_own_code(caplog):
    """Guards against crashing a fourth engine, and an outcome that is not true."""
    caplog.set_level(logging.INFO)
    metrics = OpenTelemetryMetrics("p")
    replicas = [crashing(f"i-{number}") for number in range(5)]
    async with serving(*replicas) as entry:
        quarantine = entry.core.context.quarantine
        quarantine.telemetry = metrics
        statuses = []
        for number in range(3):
            got = await entry.ask("/talk/1", body=CRASHES, request_id=f"id-{number}")
            statuses.append(got.status)
            await asyncio.sleep(0.1)
        began = time.monotonic()
        refused = await entry.ask("/talk/1", body=CRASHES, request_id="id-9")
        seconds = time.monotonic() - began
        other = await entry.ask("/talk/1", body=b"harmless")
    assert statuses == [502, 502, 502]
    assert (refused.status, refused.body[:4]) == (503, b"205 ")
    assert float(refused.headers["retry-after"]) == HARMFUL_RETENTION_SECONDS
    assert seconds < 0.2
    assert other.complete
    assert sum(replica.crashed_at is not None for replica in replicas) == 3
    events = [record.message for record in caplog.records]
    assert events.count("request is put on trial") == 1
    assert events.count("request is put into quarantine") == 1
    assert "requests_quarantined 1.0" in metrics.exposition().decode()


@pytest.mark.parametrize(
    ("path", "answers"), [("/long/1", [502, 502]), ("/read/1", [502, 502])]
)
async def test_resumed_and_retried_requests_crash_three_upstreams_at_most(
    path, answers
):
    """Guards against a retry that is sent before the crash of the last run is known."""
    if path == "/long/1":
        replicas = [crashing(f"i-{number}") for number in range(6)]
    else:
        replicas = [CrashingReplica(f"r-{n}", answer(), slots=6) for n in range(6)]
    async with serving(*replicas) as entry:
        got = []
        for number in range(5):
            reply = await entry.ask(path, body=CRASHES, request_id=f"id-{number}")
            got.append((reply.status, reply.body[:3]))
            await asyncio.sleep(0.1)
    assert [status for status, _ in got[:2]] == answers
    assert got[2:] == [(503, b"205")] * 3
    assert sum(replica.crashed_at is not None for replica in replicas) == 3


class PrefillCrash(CrashingReplica):
    """A prefill engine that crashes while it reads the prompt."""

    async def _run(self, replica, received, writer):
        if received.body == CRASHES:
            self.crash()
            return
        await self.inner(self, received, writer)


async def test_prompts_that_crash_prefill_engines_are_found():
    """Guards against prefills that are in no count, as nothing has run."""
    replicas = [
        PrefillCrash(
            f"p-{number}", EngineScript(), service="llm", slots=64, stage="prefill"
        )
        for number in range(6)
    ]
    prompt = {"X_Token_Count": "12000,80", "X_Prompt_Prefix": "aa:2000,bb:10000"}
    decode = crashing("d-1")
    decode.harmful = ()
    async with serving(decode, *replicas) as entry:
        # The decode engine crashes with the prompt as well, if it comes to that.
        decode.harmful = {CRASHES}
        for number in range(6):
            await entry.ask(
                "/talk/1", body=CRASHES, request_id=f"id-{number}", **prompt
            )
            await asyncio.sleep(0.1)
        last = await entry.ask("/talk/1", body=CRASHES, request_id="last", **prompt)
    crashed = sum(r.crashed_at is not None for r in (decode, *replicas))
    assert (last.status, last.body[:3]) == (503, b"205")
    assert crashed == 3


async def lose_connection(replica, received, writer):
    reset(writer)


async def test_resets_by_live_upstreams_put_nothing_into_quarantine():
    """Guards against refusing requests whose connections are merely reset."""
    replicas = [Replica(f"r-{number}", lose_connection) for number in range(3)]
    async with serving(*replicas) as entry:
        for _ in range(6):
            await entry.ask("/order/1")
            await asyncio.sleep(0.1)
        quarantine = entry.core.context.quarantine
        assert not quarantine.ledger


async def test_crashes_without_a_culprit_cost_nobody_a_refusal():
    """Guards against refusing what merely ran on upstreams that crash by themselves."""
    script = EngineScript(last=8, pause=0.05)
    replicas = [
        CrashingReplica(f"i-{n}", script, service="llm", slots=64, stage="decode")
        for n in range(6)
    ]
    async with serving(*replicas) as entry:
        entry.core.context.retry_budget.limits = RetryLimits(1.0, 100.0)

        async def ask(number: int) -> int:
            got = await entry.ask(f"/long/{number}", request_id=f"id-{number}")
            return got.status if got.complete else 0

        for replica in replicas[:4]:
            asked = [asyncio.create_task(ask(number)) for number in range(12)]
            await asyncio.sleep(0.15)
            replica.crash()
            assert await asyncio.gather(*asked) == [200] * 12
            await asyncio.sleep(0.1)
        assert not entry.core.context.quarantine.ledger


async def test_connection_goes_on_after_a_refusal():
    """Guards against harmless requests that are lost behind a refused one."""
    replicas = [crashing(f"i-{number}") for number in range(4)]
    async with serving(*replicas) as entry:
        for number in range(3):
            await entry.ask("/talk/1", body=CRASHES, request_id=f"id-{number}")
            await asyncio.sleep(0.1)
        reader, writer = await entry.connect()
        try:
            for target, body, status in (
                ("/talk/1", CRASHES, 503),
                ("/talk/2", b"harmless", 200),
            ):
                writer.write(request(target, body=body))
                got = await read_answer(reader)
                assert (got.status, got.complete) == (status, True)
        finally:
            writer.close()


async def test_store_keeps_crashes_readable_for_operators():
    async with members(1) as (kv, [member]):
        member.crash(0, "culprit")
        await until(lambda: bool(stored(kv)))
        [item] = kv.store.items_with_prefix(CRASHES_PREFIX)
    assert json.loads(item.value) == {
        "upstream": "i-0",
        "boot": "1",
        "entry": "e0",
        "request_id": "id-culprit",
    }


async def test_cancelled_claim_keeps_no_upstream_from_other_trials():
    """Guards against a claim that outlives the attempt that was cancelled for another.

    Without its release, no suspect request could run at that upstream for ten seconds.
    """
    kv = KeyValueStandIn(0.2)
    trials = Trials("entry-1", kv.client("entry-1"))

    async def claim() -> None:
        async with trials.claim("f", upstream(1)):
            await asyncio.sleep(10)

    task = asyncio.create_task(claim())
    # The claim is written, but its reply is still on the way.
    await asyncio.sleep(0.35)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.gather(*trials.releasing)
    async with Trials("entry-2", kv.client("entry-2")).claim(
        "g", upstream(1)
    ) as granted:
        assert granted
    assert not trials.claimed


def run_with(request_id: str, *parts: str, **more) -> LostRun:
    return LostRun(f"f-{request_id}", request_id, parts, **more)


def crash_parts(member: Member, number: int, *parts: str) -> None:
    """Let an entry lose a request of its own with some parts."""
    sent_at = asyncio.get_running_loop().time()
    run = run_with(f"{member.quarantine.name}-{number}", *parts, sent_at=sent_at)
    member.quarantine.on_crash(upstream(number), [run])


def refuses_part(member: Member, *parts: str) -> bool:
    try:
        member.quarantine.check("new request", parts)
    except RequestError as error:
        assert error.code is ResultCode.QUARANTINED
        return True
    return False


def stored_parts(kv: KeyValueStandIn) -> list[str]:
    return [item.key for item in kv.store.items_with_prefix(PARTS_PREFIX)]


async def put_into_quarantine(joined: list[Member], part: str) -> None:
    for number in range(3):
        crash_parts(joined[number % len(joined)], number, part)
        await asyncio.sleep(0.3)


@pytest.mark.looptime
async def test_part_that_crashes_upstreams_is_refused_at_every_entry():
    """Guards against a fault in what requests share, which are all different."""
    async with members(3) as (_, joined):
        await put_into_quarantine(joined, "bad")
        assert all(refuses_part(member, "first", "bad") for member in joined)
        assert not any(refuses_part(member, "first") for member in joined)


@pytest.mark.looptime
async def test_entry_that_has_just_started_knows_the_parts_in_quarantine():
    """Guards against a harmful part that comes at a restarted entry."""
    async with members(2) as (kv, joined):
        await put_into_quarantine(joined, "bad")
        fresh = Member(kv, "fresh")
        await asyncio.sleep(0.5)
        assert refuses_part(fresh, "bad")
        await fresh.stop()


@pytest.mark.looptime
async def test_crash_under_many_parts_is_one_record():
    """Guards against writes that multiply with the length of prompts."""
    async with members(2) as (kv, joined):
        parts = [f"p{number}" for number in range(200)]
        for member in joined:
            crash_parts(member, 0, *parts)
        await asyncio.sleep(0.5)
        assert len(stored_parts(kv)) == 2


@pytest.mark.looptime
@pytest.mark.parametrize("parts", [100, 1_000])
@pytest.mark.parametrize("crashes", [1, 3])
async def test_work_for_an_answer_does_not_grow_with_its_parts(
    parts, crashes, monkeypatch
):
    """Guards against an entry that judges all parts anew for each part of a prompt, and
    answers nobody meanwhile."""
    names = [f"p{number}" for number in range(parts)]
    async with members(2) as (_, joined):
        for number in range(crashes):
            crash_parts(joined[0], number, *names)
            await asyncio.sleep(0.3)
        counts = count_judgements(monkeypatch)
        for number in range(4):
            run = run_with(f"a{number}", *names)
            joined[number % 2].quarantine.parts.on_answered(upstream(9), run)
        await asyncio.sleep(60.0)
        assert not refuses_part(joined[1], *names)
    turns = 4 + 2 * (crashes * parts / MAX_WRITES_PER_TXN if crashes > 1 else 0)
    assert counts["judgements"] <= 2 * turns + 4
    assert counts["rebuilds"] <= crashes * (2 * turns + 4)


def count_judgements(monkeypatch) -> collections.Counter[str]:
    """Count the judgements of all parts, and the crashes that these go through."""
    counts: collections.Counter[str] = collections.Counter()
    replace = PartLedger.replace

    def counted_replace(*arguments) -> None:
        counts["rebuilds"] += 1
        replace(*arguments)

    def counted_judgement(records):
        counts["judgements"] += 1
        return judge_parts(records)

    monkeypatch.setattr(PartLedger, "replace", counted_replace)
    monkeypatch.setattr(part_ledger, "judge_parts", counted_judgement)
    return counts


@pytest.mark.looptime
async def test_many_parts_on_trial_are_logged_in_few_lines(caplog):
    """Guards against a line for each part of a prompt of a thousand."""
    names = [f"p{number}" for number in range(1_000)]
    async with members(1) as (_, [member]):
        with caplog.at_level(logging.INFO, "bergamotmast.crashes.part_quarantine"):
            for number in range(3):
                crash_parts(member, number, *names)
                await asyncio.sleep(0.3)
            member.quarantine.parts.on_answered(upstream(9), run_with("a", *names))
            await asyncio.sleep(2.0)
    assert member.quarantine.parts.parts_on_trial(names) == []
    assert 0 < len(caplog.records) <= 3 * (MAX_LOGGED_PARTS + 1)


@pytest.mark.looptime
async def test_answer_acquits_a_part_at_all_entries():
    """Guards against adding up the crashes that a sound part has survived."""
    async with members(3) as (kv, joined):
        for number in range(2):
            crash_parts(joined[0], number, "sound")
            await asyncio.sleep(0.3)
        joined[1].quarantine.parts.on_answered(upstream(9), run_with("a", "sound"))
        await asyncio.sleep(2.0)
        crash_parts(joined[0], 2, "sound")
        await asyncio.sleep(0.5)
        assert not any(refuses_part(member, "sound") for member in joined)
        for member in joined:
            assert len(member.quarantine.parts.ledger.crashes("sound")) == 1


@pytest.mark.looptime
async def test_part_of_an_answer_right_before_the_crash_is_suspected():
    """Guards against a short answer that is complete before the crash it causes."""
    async with members(1) as (_, [member]):
        for number in range(3):
            sent_at = asyncio.get_running_loop().time()
            run = run_with(f"r{number}", "bad", sent_at=sent_at)
            member.quarantine.parts.on_answered(upstream(number), run)
            crash_parts(member, number, f"beside {number}")
            await asyncio.sleep(1.0)
        assert refuses_part(member, "bad")


@pytest.mark.looptime
async def test_answer_of_another_build_acquits_nothing():
    """Guards against a part that crashes engines of one build only."""
    async with members(1) as (_, [member]):
        for number in range(3):
            sent_at = asyncio.get_running_loop().time()
            run = run_with(f"r{number}", "bad", sent_at=sent_at, build="v2")
            member.quarantine.on_crash(upstream(number), [run])
            answered = run_with("a", "bad", build="v1")
            member.quarantine.parts.on_answered(upstream(9), answered)
            await asyncio.sleep(1.0)
        assert refuses_part(member, "bad")


@pytest.mark.looptime
@pytest.mark.parametrize("remembering", [0, 1])
async def test_restore_of_the_store_frees_no_harmful_part(remembering):
    """Guards against a backup from before the crashes."""
    async with members(2) as (kv, joined):
        backup = kv.snapshot()
        await put_into_quarantine(joined, "bad")
        await joined[1 - remembering].stop()
        kv.restore(backup)
        joined[remembering].watcher.on_restored()
        await asyncio.sleep(1.0)
        joined[1 - remembering] = Member(kv, "fresh")
        await asyncio.sleep(1.0)
        assert all(refuses_part(member, "bad") for member in joined)


@pytest.mark.looptime
async def test_part_without_the_store_is_judged_by_what_the_entry_lost():
    """Guards against losing crashes that are seen during an outage of the store."""
    async with members(2) as (kv, [first, second]):
        kv.down = True
        for number in range(3):
            crash_parts(first, number, "bad")
            await asyncio.sleep(0.3)
        assert refuses_part(first, "bad")
        kv.down = False
        await asyncio.sleep(3.0)
        assert refuses_part(second, "bad")


@pytest.mark.looptime
async def test_records_of_parts_are_removed_once_these_no_longer_come():
    async with members(2) as (kv, joined):
        for number in range(2):
            crash_parts(joined[0], number, "gone", "answered")
            await asyncio.sleep(0.3)
        joined[0].quarantine.parts.on_answered(upstream(9), run_with("a", "answered"))
        await asyncio.sleep(2.0)
        assert len(stored_parts(kv)) == 4
        await asyncio.sleep(SUSPECT_RETENTION_SECONDS + 60.0)
        assert stored_parts(kv) == []
        for member in joined:
            parts = member.quarantine.parts
            assert not parts.ledger
            kept = (parts.reports, parts.keys, parts.suspected, parts.answered)
            assert not any(kept)
            assert not parts.shared_answers
            assert not parts.answered_runs
            assert not parts.records.values


@pytest.mark.looptime
async def test_answer_whose_crash_is_forgotten_is_removed():
    """Guards against records that nobody removes any more."""
    async with members(1) as (kv, [member]):
        await kv.client("other").txn([], [Put(part_answer_key("p", "c"), b"other")])
        await asyncio.sleep(60.0)
        assert stored_parts(kv) == []
        assert not member.quarantine.parts.shared_answers


@pytest.mark.looptime
async def test_harmful_part_is_not_forgotten_while_it_keeps_coming():
    """Guards against records that expire at entries where the part does not come."""
    async with members(2) as (_, [first, second]):
        await put_into_quarantine([first], "bad")
        # Trials of the part crash upstreams until there are no more of them.
        for number in range(3, MAX_PROBED_CRASHES + 1):
            crash_parts(first, number, "bad")
        for _ in range(int(1.5 * HARMFUL_RETENTION_SECONDS / REFRESH_SECONDS)):
            assert refuses_part(first, "bad")
            await asyncio.sleep(REFRESH_SECONDS)
        assert refuses_part(second, "bad")


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("crashes/a/b", b"\xff"),
        ("crashes/a", b"{}"),
        ("answers/a", b""),
        ("answers//b", b""),
        ("other", b""),
    ],
)
async def test_record_of_parts_that_can_not_be_read_is_ignored(key, value, caplog):
    """Guards against an entry that ends because of a record, or of its removal."""
    async with members(1) as (kv, [member]):
        await kv.client("other").txn([], [Put(PARTS_PREFIX + key, value)])
        await asyncio.sleep(0.5)
        assert "crash cannot be decoded" in caplog.text
        await kv.client("other").txn([], [Delete(PARTS_PREFIX + key)])
        await asyncio.sleep(0.5)
        assert not member.quarantine.parts.ledger
        assert not any(task.done() for task in member.tasks)


@pytest.mark.looptime
async def test_requests_with_a_part_on_trial_run_one_at_a_time():
    """Guards against several engines that crash while one trial is running."""
    async with members(2) as (_, [first, second]):
        for number in range(2):
            crash_parts(first, number, "suspect")
            await asyncio.sleep(0.3)
        parts = second.quarantine.parts.parts_on_trial(("first", "suspect"))
        assert parts == ["suspect"]
        async with first.quarantine.run_apart("r1", upstream(5), parts) as granted:
            assert granted
            async with second.quarantine.run_apart("r2", upstream(6), parts) as other:
                assert not other


async def test_prompt_with_a_harmful_part_is_refused_before_it_is_read(caplog):
    """Guards against prefills of prompts that will not be answered."""
    replicas = [crashing(f"i-{number}") for number in range(5)]
    harmful = [f"crash {number}".encode() for number in range(9)]
    for replica in replicas:
        replica.harmful = set(harmful)
    async with serving(*replicas) as entry:
        await entry.ask("/talk/sound", X_Prompt_Prefix="a1:9,d:9,ff:9")
        await asyncio.sleep(2 * SURVIVAL_SECONDS)
        for number in range(3):
            own = f"{number + 256:x}"
            parts = {"X_Prompt_Prefix": f"a1:9,0BAD:9,{own}:9"}
            await entry.ask(f"/talk/{number}", body=harmful[number], **parts)
            await asyncio.sleep(0.1)
        received = sum(len(replica.received) for replica in replicas)
        refused = await entry.ask("/talk/x", X_Prompt_Prefix="a1:9,bad:9,fe:9")
        last = await entry.ask("/talk/y", X_Prompt_Prefix="a1:9,c:9,bad:9")
        others = [await entry.ask("/talk/z", X_Prompt_Prefix="a1:9,fe:9")]
        others.append(await entry.ask("/talk/z"))
        later = sum(len(replica.received) for replica in replicas)
    assert (refused.status, refused.body[:4]) == (503, b"205 ")
    assert float(refused.headers["retry-after"]) == HARMFUL_RETENTION_SECONDS
    assert last.complete
    assert [other.complete for other in others] == [True, True]
    assert later == received + 3
