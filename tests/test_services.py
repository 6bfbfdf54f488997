from __future__ import annotations

import asyncio

import pytest

from bergamotmast.errors import Outcome
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from support import fleet

pytestmark = pytest.mark.looptime


def runs(f):
    return sum(len(upstream.runs) for upstream in f.upstreams.values())


async def test_a_call_is_answered():
    async with fleet(services=2) as f:
        call = f.service_call(body=b"box 12")
        answer = await f.entries["entry-1"].submit_service(call)
    assert answer.body == b"ok box 12"


async def test_a_repeatable_call_is_repeated_where_its_reply_was_lost():
    async with fleet(services=2) as f:
        f.upstreams["service-1"].lose_replies = 1
        answer = await f.entries["entry-1"].submit_service(f.service_call())
        assert answer.status == 200
        assert runs(f) == 2


async def test_a_call_that_must_not_repeat_ends_unknown_where_its_reply_was_lost():
    # The service ran the order and the connection broke. A retry at another replica
    # could place the order twice, so the outcome is "unknown".
    async with fleet(services=2) as f:
        f.upstreams["service-1"].lose_replies = 1
        with pytest.raises(RequestError) as caught:
            await f.entries["entry-1"].submit_service(f.service_call("orders"))
        assert caught.value.code is ResultCode.OUTCOME_UNKNOWN
        await asyncio.sleep(30.0)
        assert runs(f) == 1


async def test_a_side_killed_between_start_and_answer_leaves_the_outcome_unknown():
    # The side is killed after it passed the order to its service, and a new one
    # replaces it. Whether the order ran can't be known: the outcome is "unknown", and
    # the order never runs again.
    async with fleet(services=2) as f:
        f.upstreams["service-1"].pace = 5.0
        call = f.service_call("orders")
        task = asyncio.create_task(f.entries["entry-1"].submit_service(call))
        await asyncio.sleep(1.0)
        await f.kill("service-1")
        f.start_side("service-1")
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.info.outcome is Outcome.UNKNOWN
        assert runs(f) == 1


async def test_an_answer_that_a_partition_held_back_is_still_delivered():
    # A partition isolates the side while the order runs. The entry keeps the call, asks
    # for its state in a new session, and gets the answer that the side has kept.
    async with fleet(services=1) as f:
        f.upstreams["service-1"].pace = 2.0
        call = f.service_call("orders", total=30.0)
        task = asyncio.create_task(f.entries["entry-1"].submit_service(call))
        await asyncio.sleep(1.0)
        f.network.partition("service-1")
        await asyncio.sleep(4.0)
        f.network.heal("service-1")
        assert (await task).status == 200
        assert runs(f) == 1


async def test_an_order_held_back_by_a_partition_ends_not_run_or_once():
    # A partition delays the offer. After it, the entry opens a new session and learns
    # that the order never started there. In the end it runs once.
    async with fleet(services=2) as f:
        f.network.partition("service-1")
        call = f.service_call("orders", total=30.0)
        task = asyncio.create_task(f.entries["entry-1"].submit_service(call))
        await asyncio.sleep(6.0)
        f.network.heal("service-1")
        assert (await task).status == 200
        assert runs(f) == 1


async def test_call_of_an_unreachable_service_is_not_run():
    async with fleet(services=1) as f:
        await f.kill("service-1")
        await asyncio.sleep(3.0)
        with pytest.raises(RequestError) as caught:
            await f.entries["entry-1"].submit_service(f.service_call("orders"))
        assert caught.value.info.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after is not None


async def test_failure_lost_with_its_session_is_not_reported_as_never_started():
    # An order runs at its service, whose reply is lost, and the side's report of that
    # failure is lost with the session. The entry opens a new session and asks for the
    # state of the order. With "never started" the order would run a second time.
    async with fleet(services=2) as f:
        for upstream in f.upstreams.values():
            upstream.pace = 5.0
            upstream.lose_replies = 1
        call = f.service_call("orders", total=30.0)
        answer = asyncio.create_task(f.entries["entry-1"].submit_service(call))
        await asyncio.sleep(1.0)
        (busy,) = (name for name, u in f.upstreams.items() if u.runs)
        f.network.partition(busy)
        await asyncio.sleep(9.0)
        f.network.heal(busy)
        with pytest.raises(RequestError) as caught:
            await answer
        assert caught.value.code is ResultCode.OUTCOME_UNKNOWN
        assert runs(f) == 1


async def test_call_at_a_lost_side_ends_long_before_its_deadline():
    # The side is killed with an order in flight and is not replaced. The deadline is
    # ten minutes away; the call ends as "unknown" after the grace for a new session.
    async with fleet(services=2) as f:
        f.upstreams["service-1"].pace = 5.0
        call = f.service_call("orders", total=600.0)
        task = asyncio.create_task(f.entries["entry-1"].submit_service(call))
        await asyncio.sleep(1.0)
        await f.kill("service-1")
        started = asyncio.get_running_loop().time()
        with pytest.raises(RequestError) as caught:
            await task
        assert caught.value.code is ResultCode.OUTCOME_UNKNOWN
        assert asyncio.get_running_loop().time() - started < 15.0
