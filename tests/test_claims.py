from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from bergamotmast.claims.batch import MAX_STEPS_PER_TXN
from bergamotmast.claims.retention import LEASE_REUSE_SECONDS
from bergamotmast.claims.retention import RETENTION_SECONDS
from bergamotmast.claims.store import CLAIM_TIMEOUT_SECONDS
from bergamotmast.claims.store import LINGER_SECONDS
from bergamotmast.claims.store import ClaimStore
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.model import ServiceAnswer
from bergamotmast.protocol.claim_record import MAX_ANSWER_BYTES
from bergamotmast.protocol.claim_record import claim_key
from bergamotmast.protocol.claim_record import decode_claim
from bergamotmast.standins.key_value import KeyValueStandIn

ANSWER = ServiceAnswer(201, b"box 7", "text/plain")
CLAIMED = None
HELD = ResultCode.CLAIM_HELD
UNAVAILABLE = ResultCode.CLAIM_UNAVAILABLE

pytestmark = pytest.mark.looptime


class Bench:
    def __init__(self, delay=0.005):
        self.service = KeyValueStandIn(delay=delay)
        self.tasks = {}

    def entry(self, name):
        rng = random.Random(name)
        store = ClaimStore(self.service.client(name), name, rng)
        self.tasks[store] = asyncio.create_task(store.run())
        return store

    async def kill(self, store):
        task = self.tasks.pop(store)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def records(self):
        items = self.service.store.below("/bergamotmast/claims/")
        return [decode_claim(item.value) for item in items]


@contextlib.asynccontextmanager
async def bench(**options):
    made = Bench(**options)
    yield made
    for store in list(made.tasks):
        assert not made.tasks[store].done()
        await made.kill(store)


async def outcome(store, key="k", digest=b"d"):
    """Return what a claim gives: ``None``, an answer or a result code."""
    try:
        return await store.claim(key, digest)
    except RequestError as error:
        return error.code


async def test_a_replay_gets_the_first_answer_wherever_it_arrives():
    # The caller's connection broke after its call ran. It sends the call again: to
    # the same entry, to another, and to one that is started after all were replaced.
    async with bench() as b:
        one, other = b.entry("one"), b.entry("other")
        assert await outcome(one) is CLAIMED
        assert await outcome(other) is HELD
        await one.complete("k", ANSWER)
        assert await outcome(one) == ANSWER
        await asyncio.sleep(LINGER_SECONDS + 1)
        assert await outcome(other) == ANSWER
        await b.kill(one)
        await b.kill(other)
        assert await outcome(b.entry("new")) == ANSWER


@pytest.mark.parametrize("size", [MAX_ANSWER_BYTES, MAX_ANSWER_BYTES + 1])
async def test_a_long_answer_is_not_kept(size):
    async with bench() as b:
        one = b.entry("one")
        await one.claim("k", b"d")
        answer = ServiceAnswer(200, b"x" * size, "text/plain")
        await one.complete("k", answer)
        await asyncio.sleep(LINGER_SECONDS + 1)
        short = size <= MAX_ANSWER_BYTES
        assert await outcome(one) == (answer if short else ResultCode.ALREADY_RAN)


async def test_a_key_of_another_request_is_refused():
    async with bench() as b:
        one, other = b.entry("one"), b.entry("other")
        await one.claim("k", b"d")
        assert await outcome(one, digest=b"e") is ResultCode.KEY_MISMATCH
        assert await outcome(other, digest=b"e") is ResultCode.KEY_MISMATCH


async def test_an_entry_that_dies_between_claim_and_answer_leaves_the_claim():
    async with bench() as b:
        one = b.entry("one")
        await one.claim("k", b"d")
        await b.kill(one)
        assert await outcome(b.entry("new")) is HELD


async def test_a_released_key_can_be_claimed_again_at_once():
    # The call was refused and truly not run. The caller comes back, at any entry, and
    # must not be told that it may have run.
    async with bench() as b:
        one, other = b.entry("one"), b.entry("other")
        await one.claim("k", b"d")
        await one.claim("answered", b"d")
        await one.complete("answered", ANSWER)
        await one.release("k")
        assert await outcome(one) is UNAVAILABLE
        await asyncio.sleep(0.1)
        assert await outcome(other) is CLAIMED
        await one.complete("k", ANSWER)
        await asyncio.sleep(LINGER_SECONDS + 1)
        assert await outcome(one) is HELD


@pytest.mark.parametrize("entries", [2, 8])
async def test_one_of_many_claims_of_a_key_at_the_same_time_wins(entries):
    async with bench() as b:
        stores = [b.entry(f"entry-{i}") for i in range(entries)]
        results = await asyncio.gather(*(outcome(s) for s in stores for _ in "ab"))
        assert results.count(CLAIMED) == 1
        assert set(results) == {CLAIMED, HELD}


async def test_a_storm_of_the_same_keys_settles():
    # Every entry is sent the same sixty keys, in its own order, with fresh ones among
    # them. Each batch is in dispute; each key still goes to exactly one entry.
    async with bench() as b:
        stores = [b.entry(f"entry-{i}") for i in range(5)]
        calls = []
        for number, store in enumerate(stores):
            keys = [f"shared-{i}" for i in range(60)]
            keys += [f"own-{number}-{i}" for i in range(20)]
            random.Random(number).shuffle(keys)
            calls += [(key, store) for key in keys]
        results = await asyncio.gather(*(outcome(s, key) for key, s in calls))
        won = [key for (key, _), r in zip(calls, results, strict=True) if r is CLAIMED]
        assert len(won) == len(set(won)) == 60 + 5 * 20
        assert set(results) == {CLAIMED, HELD}


async def test_a_claim_whose_reply_is_lost_is_read_back():
    async with bench() as b:
        one = b.entry("one")
        await one.claim("first", b"d")
        b.service.lose_next_reply()
        results = await asyncio.gather(*(outcome(one, f"k{i}") for i in range(20)))
        assert results == [CLAIMED] * 20
        assert await outcome(b.entry("other"), "k3") is HELD


async def test_a_lost_lease_is_asked_for_again():
    async with bench() as b:
        b.service.lose_next_reply()
        assert await outcome(b.entry("one")) is CLAIMED


async def test_no_claim_while_the_service_is_down():
    # Refused at once and truly not run; after the outage the key is free.
    async with bench() as b:
        one = b.entry("one")
        b.service.down = True
        assert await outcome(one) is UNAVAILABLE
        b.service.down = False
        assert b.records() == []
        assert await outcome(b.entry("other")) is CLAIMED


async def test_a_claim_of_unknown_end_is_not_run_and_given_back():
    # The write takes effect, its reply is lost and the service goes down, so that it
    # can't be read back. The caller is told "not run"; once the service is back, the
    # claim is given back and the caller's next attempt runs.
    async with bench(delay=1.0) as b:
        one = b.entry("one")
        await one.claim("first", b"d")
        attempt = asyncio.create_task(outcome(one))
        await asyncio.sleep(0.8)
        assert len(b.records()) == 2
        b.service.down = True
        assert await attempt is UNAVAILABLE
        await asyncio.sleep(30)
        assert len(b.records()) == 2
        b.service.down = False
        await asyncio.sleep(15)
        assert len(b.records()) == 1
        assert await outcome(b.entry("other")) is CLAIMED


@pytest.mark.parametrize("seconds", [0.0, 0.3, 0.8, 1.2])
async def test_a_caller_that_goes_away_leaves_no_claim(seconds):
    async with bench(delay=1.0) as b:
        one = b.entry("one")
        await one.claim("first", b"d")
        await asyncio.sleep(1)
        attempt = asyncio.create_task(outcome(one))
        await asyncio.sleep(seconds)
        if not attempt.done():
            attempt.cancel()
            await asyncio.sleep(10)
            assert len(b.records()) == 1
            assert await outcome(one) is CLAIMED


async def test_a_slow_service_is_given_up_in_time():
    async with bench(delay=60.0) as b:
        one = b.entry("one")
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        assert await outcome(one) is UNAVAILABLE
        assert loop.time() - began_at <= CLAIM_TIMEOUT_SECONDS


async def test_a_writer_that_hangs_is_given_up_in_time():
    store = ClaimStore(KeyValueStandIn().client("one"), "one", random.Random(1))
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    assert await outcome(store) is UNAVAILABLE
    assert loop.time() - began_at == pytest.approx(CLAIM_TIMEOUT_SECONDS, abs=0.1)


async def test_a_caller_that_goes_in_the_moment_of_its_claim_leaves_none():
    # The writer has ended the claim, and before the caller's task goes on with it the
    # task is cancelled. Nobody would ever run or release the claim.
    async with bench() as b:
        one = b.entry("one")
        commit = one.batch.commit

        async def commit_and_cancel(steps):
            await commit(steps)
            attempt.cancel()
            one.batch.commit = commit

        one.batch.commit = commit_and_cancel
        attempt = asyncio.create_task(outcome(one))
        with pytest.raises(asyncio.CancelledError):
            await attempt
        await asyncio.sleep(1)
        assert await outcome(b.entry("other")) is CLAIMED


async def test_no_write_names_a_key_twice(monkeypatch):
    # The entry has forgotten a claim of its own whose completion still waits.
    monkeypatch.setattr("bergamotmast.claims.store.MAX_REMEMBERED_CLAIMS", 1)
    async with bench() as b:
        one = b.entry("one")
        await one.claim("k", b"d")
        await one.complete("k", ANSWER)
        txn = one.batch.kv.txn
        written = []

        async def record(compares, writes):
            written.append([write.key for write in writes])
            return await txn(compares, writes)

        one.batch.kv.txn = record
        await asyncio.gather(outcome(one, "k2"), outcome(one, "k"))
        assert written
        assert all(len(keys) == len(set(keys)) for keys in written)


async def test_an_answer_is_kept_through_an_outage():
    async with bench() as b:
        one = b.entry("one")
        await one.claim("k", b"d")
        b.service.down = True
        await one.complete("k", ANSWER)
        await asyncio.sleep(600)
        b.service.down = False
        await asyncio.sleep(10)
        assert await outcome(b.entry("other")) == ANSWER


async def test_what_was_put_off_is_written_at_the_end():
    async with bench() as b:
        one = b.entry("one")
        await one.claim("k", b"d")
        await one.complete("k", ANSWER)
        await b.kill(one)
        await one.flush()
        assert [record.done for record in b.records()] == [True]


async def test_claims_are_kept_for_the_retention_and_not_for_ever():
    async with bench() as b:
        one = b.entry("one")
        await one.claim("k", b"d")
        await asyncio.sleep(RETENTION_SECONDS - 60)
        assert await outcome(b.entry("other")) is HELD
        await asyncio.sleep(LEASE_REUSE_SECONDS + 120)
        assert b.records() == []
        assert await outcome(one) is CLAIMED


async def test_a_lease_that_the_service_lost_is_replaced():
    # The service comes back from a backup without the lease that claims are put on.
    async with bench() as b:
        backup = b.service.snapshot()
        one = b.entry("one")
        await one.claim("k", b"d")
        b.service.restore(backup)
        await one.complete("k", ANSWER)
        await asyncio.sleep(LINGER_SECONDS + 1)
        assert await outcome(one, "k2") is CLAIMED


async def test_claims_go_together():
    # A burst of a thousand claims is a few writes, each within the service's limit.
    async with bench() as b:
        one = b.entry("one")
        results = await asyncio.gather(*(outcome(one, f"k{i}") for i in range(1000)))
        assert set(results) == {CLAIMED}
        assert b.service.writes == 1000 // MAX_STEPS_PER_TXN + 1


async def test_a_steady_load_costs_fewer_writes_than_claims():
    # Three entries with 200 calls a second, each answered within half a second: claim
    # and completion together cost about a write for every two calls.
    async with bench() as b:
        stores = [b.entry(f"entry-{i}") for i in range(3)]
        rng = random.Random(1)

        async def call(number):
            store = rng.choice(stores)
            await store.claim(f"k{number}", b"d")
            await asyncio.sleep(rng.uniform(0.05, 0.5))
            await store.complete(f"k{number}", ANSWER)

        async with asyncio.TaskGroup() as group:
            for number in range(1000):
                await asyncio.sleep(rng.expovariate(200))
                group.create_task(call(number))
        await asyncio.sleep(LINGER_SECONDS + 1)
        assert all(record.done for record in b.records())
        assert 400 <= b.service.writes <= 650


async def test_a_key_s_place_says_nothing_of_the_key():
    place = claim_key("tenant/route/secret")
    assert "secret" not in place
    assert place != claim_key("tenant/route/secret2")
