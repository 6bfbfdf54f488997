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


class Cluster:
    """A key-value service and the claim stores of several entries."""

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
        items = self.service.store.items_with_prefix("/bergamotmast/claims/")
        return [decode_claim(item.value) for item in items]


@contextlib.asynccontextmanager
async def cluster(**options):
    made = Cluster(**options)
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
    # The caller's connection broke after its call ran. It sends the call again to the
    # same entry, to another, and to one that was started after all were replaced.
    async with cluster() as c:
        one, other = c.entry("one"), c.entry("other")
        assert await outcome(one) is CLAIMED
        assert await outcome(other) is HELD
        await one.complete("k", ANSWER)
        assert await outcome(one) == ANSWER
        await asyncio.sleep(LINGER_SECONDS + 1)
        assert await outcome(other) == ANSWER
        await c.kill(one)
        await c.kill(other)
        assert await outcome(c.entry("new")) == ANSWER


@pytest.mark.parametrize("size", [MAX_ANSWER_BYTES, MAX_ANSWER_BYTES + 1])
async def test_a_long_answer_is_not_kept(size):
    async with cluster() as c:
        one = c.entry("one")
        await one.claim("k", b"d")
        answer = ServiceAnswer(200, b"x" * size, "text/plain")
        await one.complete("k", answer)
        await asyncio.sleep(LINGER_SECONDS + 1)
        short = size <= MAX_ANSWER_BYTES
        assert await outcome(one) == (answer if short else ResultCode.ALREADY_RAN)


async def test_a_key_of_another_request_is_refused():
    async with cluster() as c:
        one, other = c.entry("one"), c.entry("other")
        await one.claim("k", b"d")
        assert await outcome(one, digest=b"e") is ResultCode.KEY_MISMATCH
        assert await outcome(other, digest=b"e") is ResultCode.KEY_MISMATCH


async def test_an_entry_that_dies_between_claim_and_answer_leaves_the_claim():
    async with cluster() as c:
        one = c.entry("one")
        await one.claim("k", b"d")
        await c.kill(one)
        assert await outcome(c.entry("new")) is HELD


async def test_a_released_key_can_be_claimed_again_at_once():
    # The call was refused and not run. When the caller retries at any entry, it must
    # not be refused because the call may have run.
    async with cluster() as c:
        one, other = c.entry("one"), c.entry("other")
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
    async with cluster() as c:
        stores = [c.entry(f"entry-{i}") for i in range(entries)]
        results = await asyncio.gather(*(outcome(s) for s in stores for _ in "ab"))
        assert results.count(CLAIMED) == 1
        assert set(results) == {CLAIMED, HELD}


async def test_concurrent_claims_of_many_shared_keys_all_get_an_outcome():
    # Every entry gets the same sixty keys in a different order, mixed with new ones.
    # Each batch conflicts with others; each key must still go to exactly one entry.
    async with cluster() as c:
        stores = [c.entry(f"entry-{i}") for i in range(5)]
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
    async with cluster() as c:
        one = c.entry("one")
        await one.claim("first", b"d")
        c.service.lose_next_reply()
        results = await asyncio.gather(*(outcome(one, f"k{i}") for i in range(20)))
        assert results == [CLAIMED] * 20
        assert await outcome(c.entry("other"), "k3") is HELD


async def test_a_lease_whose_grant_was_lost_is_requested_again():
    async with cluster() as c:
        c.service.lose_next_reply()
        assert await outcome(c.entry("one")) is CLAIMED


async def test_no_claim_while_the_service_is_down():
    # The call is refused at once and not run; after the outage the key is free.
    async with cluster() as c:
        one = c.entry("one")
        c.service.down = True
        assert await outcome(one) is UNAVAILABLE
        c.service.down = False
        assert c.records() == []
        assert await outcome(c.entry("other")) is CLAIMED


async def test_a_claim_of_unknown_outcome_is_not_run_and_is_released():
    # The write takes effect, its reply is lost and the service goes down, so that the
    # record can't be read back. The caller is told that the call was not run. After the
    # outage the claim must be released, so that the caller's next attempt can run.
    async with cluster(delay=1.0) as c:
        one = c.entry("one")
        await one.claim("first", b"d")
        attempt = asyncio.create_task(outcome(one))
        await asyncio.sleep(0.8)
        assert len(c.records()) == 2
        c.service.down = True
        assert await attempt is UNAVAILABLE
        await asyncio.sleep(30)
        assert len(c.records()) == 2
        c.service.down = False
        await asyncio.sleep(15)
        assert len(c.records()) == 1
        assert await outcome(c.entry("other")) is CLAIMED


@pytest.mark.parametrize("seconds", [0.0, 0.3, 0.8, 1.2])
async def test_a_caller_that_disconnects_leaves_no_claim(seconds):
    async with cluster(delay=1.0) as c:
        one = c.entry("one")
        await one.claim("first", b"d")
        await asyncio.sleep(1)
        attempt = asyncio.create_task(outcome(one))
        await asyncio.sleep(seconds)
        if not attempt.done():
            attempt.cancel()
            await asyncio.sleep(10)
            assert len(c.records()) == 1
            assert await outcome(one) is CLAIMED


async def test_a_claim_times_out_if_the_service_is_slow():
    async with cluster(delay=60.0) as c:
        one = c.entry("one")
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        assert await outcome(one) is UNAVAILABLE
        assert loop.time() - began_at <= CLAIM_TIMEOUT_SECONDS


async def test_a_claim_times_out_if_the_writer_hangs():
    store = ClaimStore(KeyValueStandIn().client("one"), "one", random.Random(1))
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    assert await outcome(store) is UNAVAILABLE
    assert loop.time() - began_at == pytest.approx(CLAIM_TIMEOUT_SECONDS, abs=0.1)


async def test_a_caller_cancelled_just_after_its_claim_is_written_leaves_none():
    # The caller's task is cancelled after the claim was written and before the task
    # resumes. Without special care nobody would ever run the call or release the claim.
    async with cluster() as c:
        one = c.entry("one")
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
        assert await outcome(c.entry("other")) is CLAIMED


async def test_no_transaction_writes_a_key_twice(monkeypatch):
    # The entry has evicted one of its claims from memory while its completion is still
    # deferred. A new claim of the key must not go into the same transaction.
    monkeypatch.setattr("bergamotmast.claims.store.MAX_REMEMBERED_CLAIMS", 1)
    async with cluster() as c:
        one = c.entry("one")
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
    async with cluster() as c:
        one = c.entry("one")
        await one.claim("k", b"d")
        c.service.down = True
        await one.complete("k", ANSWER)
        await asyncio.sleep(600)
        c.service.down = False
        await asyncio.sleep(10)
        assert await outcome(c.entry("other")) == ANSWER


async def test_flush_writes_deferred_steps():
    async with cluster() as c:
        one = c.entry("one")
        await one.claim("k", b"d")
        await one.complete("k", ANSWER)
        await c.kill(one)
        await one.flush()
        assert [record.done for record in c.records()] == [True]


async def test_claims_expire_after_their_retention():
    async with cluster() as c:
        one = c.entry("one")
        await one.claim("k", b"d")
        await asyncio.sleep(RETENTION_SECONDS - 60)
        assert await outcome(c.entry("other")) is HELD
        await asyncio.sleep(LEASE_REUSE_SECONDS + 120)
        assert c.records() == []
        assert await outcome(one) is CLAIMED


async def test_a_lease_that_the_service_lost_is_replaced():
    # The service is restored from a backup without the lease that claims are attached
    # to.
    async with cluster() as c:
        backup = c.service.snapshot()
        one = c.entry("one")
        await one.claim("k", b"d")
        c.service.restore(backup)
        await one.complete("k", ANSWER)
        await asyncio.sleep(LINGER_SECONDS + 1)
        assert await outcome(one, "k2") is CLAIMED


async def test_claims_are_batched():
    # A burst of 1,000 claims takes few writes, each within the service's limit.
    async with cluster() as c:
        one = c.entry("one")
        results = await asyncio.gather(*(outcome(one, f"k{i}") for i in range(1000)))
        assert set(results) == {CLAIMED}
        assert c.service.writes == 1000 // MAX_STEPS_PER_TXN + 1


async def test_a_steady_load_costs_fewer_writes_than_claims():
    # Three entries get 200 calls a second, each answered within half a second. Claims
    # and completions together take about one write for every two calls.
    async with cluster() as c:
        stores = [c.entry(f"entry-{i}") for i in range(3)]
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
        assert all(record.done for record in c.records())
        assert 400 <= c.service.writes <= 650


async def test_the_stored_key_does_not_reveal_the_caller_s_key():
    stored_key = claim_key("tenant/route/secret")
    assert "secret" not in stored_key
    assert stored_key != claim_key("tenant/route/secret2")
