"""At-most-once execution of calls, by claims on idempotency keys."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from bergamotmast.claims.store import ClaimStore
from bergamotmast.errors import Outcome
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.standins.key_value import KeyValueStandIn
from support import fleet

pytestmark = pytest.mark.looptime


@contextlib.asynccontextmanager
async def claiming_fleet(entries=2, services=2):
    """Run a fleet whose entries store their claims in one key-value service."""
    kv = KeyValueStandIn(delay=0.002)
    tasks = []

    def claims(name):
        store = ClaimStore(kv.client(name), name, random.Random(name))
        tasks.append(asyncio.create_task(store.run()))
        return store

    async with fleet(entries=entries, services=services, claims=claims) as f:
        f.kv = kv
        yield f
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def runs(f):
    return sum(len(upstream.runs) for upstream in f.upstreams.values())


async def outcome_of(f, entry, key, body=b"box 1"):
    """Call the orders service and return its answer or its error."""
    call = f.service_call("orders", key=key, body=body)
    try:
        return await f.entries[entry].submit_service(call)
    except RequestError as error:
        return error


async def test_the_same_key_through_two_entries_at_once_runs_once():
    # One order is sent through two entries at the same time. One claim is granted and
    # runs; the other call ends as "an earlier call may have run".
    async with claiming_fleet() as f:
        first, second = await asyncio.gather(
            outcome_of(f, "entry-1", "k"), outcome_of(f, "entry-2", "k")
        )
        answers = [o for o in (first, second) if not isinstance(o, RequestError)]
        errors = [o for o in (first, second) if isinstance(o, RequestError)]
        assert [answer.status for answer in answers] == [200]
        assert [e.code for e in errors] == [ResultCode.CLAIM_HELD]
        assert runs(f) == 1


async def test_a_replayed_key_gets_the_first_answer():
    async with claiming_fleet() as f:
        first = await outcome_of(f, "entry-1", "k")
        await asyncio.sleep(5.0)
        assert await outcome_of(f, "entry-2", "k") == first
        assert runs(f) == 1


async def test_a_key_used_for_another_request_is_refused():
    async with claiming_fleet() as f:
        await outcome_of(f, "entry-1", "k", b"box 1")
        await asyncio.sleep(5.0)
        error = await outcome_of(f, "entry-2", "k", b"box 2")
        assert error.code is ResultCode.KEY_MISMATCH
        assert runs(f) == 1


async def test_a_side_killed_between_dispatch_and_answer_leaves_the_key_unknown():
    # The side is killed while its service runs the order. The call ends as "unknown",
    # and so does every replay of the key: it never runs a second time.
    async with claiming_fleet(services=1) as f:
        f.upstreams["service-1"].pace = 5.0
        placer = asyncio.create_task(outcome_of(f, "entry-1", "k"))
        await asyncio.sleep(1.0)
        await f.kill("service-1")
        f.start_side("service-1")
        assert (await placer).info.outcome is Outcome.UNKNOWN
        await asyncio.sleep(5.0)
        again = await outcome_of(f, "entry-2", "k")
        assert again.info.outcome is Outcome.UNKNOWN
        assert runs(f) == 1


@pytest.mark.parametrize("after", [0.0, 0.001, 0.003, 0.005, 0.05, 0.2])
async def test_an_entry_killed_at_any_moment_leaves_at_most_one_run(after):
    # The entry is killed before, during or after the claim, the dispatch or the answer;
    # the caller sends the key to the other entry.
    async with claiming_fleet() as f:
        placer = asyncio.create_task(outcome_of(f, "entry-1", "k"))
        await asyncio.sleep(after)
        await f.kill("entry-1")
        placer.cancel()
        await asyncio.sleep(10.0)
        await outcome_of(f, "entry-2", "k")
        assert runs(f) <= 1


async def test_a_claim_whose_reply_was_lost_is_read_back_and_runs_once():
    async with claiming_fleet() as f:
        f.kv.lose_next_reply("entry-1")
        answer = await outcome_of(f, "entry-1", "k")
        assert not isinstance(answer, RequestError) or (
            answer.info.outcome is Outcome.NOT_RUN and runs(f) == 0
        )
        assert runs(f) <= 1


async def test_no_claim_means_no_run_while_the_service_is_down():
    # While the key-value service is down, the order is refused as "not run" with a
    # Retry-After. Repeatable calls are served.
    async with claiming_fleet() as f:
        f.kv.down = True
        refused = await outcome_of(f, "entry-1", "k")
        assert refused.code is ResultCode.CLAIM_UNAVAILABLE
        assert refused.retry_after is not None
        assert runs(f) == 0
        call = f.service_call("counter")
        assert (await f.entries["entry-1"].submit_service(call)).status == 200
        f.kv.down = False
        await asyncio.sleep(20.0)
        assert (await outcome_of(f, "entry-1", "k")).status == 200
        assert runs(f) == 2


async def test_a_key_replayed_after_every_instance_was_replaced_does_not_run_again():
    # Every entry and side is replaced, so no process remembers the call. The claim is
    # in the key-value service, and the replay gets the answer that is stored there.
    async with claiming_fleet() as f:
        first = await outcome_of(f, "entry-1", "k")
        await asyncio.sleep(5.0)
        for name in list(f.tasks):
            await f.kill(name)
        for name in ("service-1", "service-2"):
            f.start_side(name)
        f.add_entry("entry-3")
        await f.settle()
        assert await outcome_of(f, "entry-3", "k") == first
        assert runs(f) == 1


async def test_an_order_that_was_truly_not_run_may_be_placed_again():
    # No service can accept the order: it ends as "not run" and the claim is released,
    # so that the same key runs when it is sent again through another entry.
    async with claiming_fleet(services=1) as f:
        await f.kill("service-1")
        await asyncio.sleep(5.0)
        refused = await outcome_of(f, "entry-1", "k")
        assert refused.info.outcome is Outcome.NOT_RUN
        f.start_side("service-1")
        await asyncio.sleep(5.0)
        assert (await outcome_of(f, "entry-2", "k")).status == 200
        assert runs(f) == 1
