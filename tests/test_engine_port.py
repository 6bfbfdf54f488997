"""The engine port in process and over HTTP, in real time."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from bergamotmast.adapters.engine_http import HttpEngine
from bergamotmast.adapters.http_calls import client_session
from bergamotmast.errors import NotReachedError
from bergamotmast.errors import OrderRefusedError
from bergamotmast.errors import ReplyLostError
from bergamotmast.model import Assignment
from bergamotmast.model import FencingToken
from bergamotmast.model import GenerateRequest
from bergamotmast.model import Order
from bergamotmast.model import Priority
from bergamotmast.model import Role
from bergamotmast.standins.engine import EngineStandIn
from bergamotmast.standins.engine_frontend import EngineFrontend
from bergamotmast.standins.engine_spec import EngineSpec
from bergamotmast.standins.engine_text import expected_text
from bergamotmast.standins.http_common import serving

SPEC = EngineSpec(change_seconds=0.05, load_lag=0.2, cache_event_lag=0.0)


@pytest.fixture
def standin():
    return EngineStandIn("e", SPEC)


@pytest.fixture(params=["in process", "over HTTP"])
async def engine(request, standin):
    if request.param == "in process":
        yield standin
        return
    async with serving(EngineFrontend(standin).application()) as url:
        async with client_session() as session:
            yield HttpEngine(session, url)


def request(name, prompt="é [out=5]", **fields):
    return GenerateRequest(name, "model", prompt, 50, 999, Priority.STANDARD, **fields)


def order(revision, role=Role.PREFILL):
    return Order(FencingToken(1, revision), Assignment(role, ("model@1",)))


async def test_an_answer_and_its_resumption(engine):
    whole = [chunk async for chunk in engine.generate(request("a"))]
    expected = expected_text("model", "é [out=5]", 999)
    assert "".join(chunk.text for chunk in whole) == expected
    assert [chunk.index for chunk in whole] == list(range(5))
    assert whole[-1].finish == "stop"
    resumed = request("b", resume_text=whole[0].text, resume_tokens=1)
    assert [chunk async for chunk in engine.generate(resumed)] == whole[1:]


async def test_a_handoff_and_cache_events(engine, standin):
    first = request("a", prefix_key="k", prefill_only=True)
    (head,) = [chunk async for chunk in engine.generate(first)]
    assert head.finish == "handoff"
    assert [e.prefix_key for e in await engine.cache_events(0)] == ["k"]
    assert await engine.cache_events(1) == ()
    prefilled = standin.batch.prefilled
    rest = request("b", resume_tokens=1, kv_handle=head.kv_handle)
    text = head.text + "".join([c.text async for c in engine.generate(rest)])
    assert text == expected_text("model", "é [out=5]", 999)
    assert standin.batch.prefilled == prefilled


async def test_refusals_raise_not_reached_errors(engine):
    for wanted in (
        dataclasses.replace(request("a"), model="other"),
        dataclasses.replace(request("a"), prompt_tokens=10**9),
    ):
        with pytest.raises(NotReachedError):
            await anext(engine.generate(wanted))


async def test_orders_and_state(engine):
    before = await engine.state()
    assert (before.assignment.role, before.changing) == (Role.MIXED, False)
    await engine.order(order(2))
    assert (await engine.state()).assignment is None
    with pytest.raises(OrderRefusedError):
        await engine.order(order(3))
    with pytest.raises(NotReachedError):
        await anext(engine.generate(request("a")))
    while (after := await engine.state()).changing:
        await asyncio.sleep(0.01)
    assert (after.assignment, after.token) == (order(2).assignment, order(2).token)
    with pytest.raises(OrderRefusedError):
        await engine.order(order(1))


async def test_an_order_whose_reply_is_lost(engine, standin):
    standin.lost_order_replies = 1
    with pytest.raises(ReplyLostError):
        await engine.order(order(1))
    assert (await engine.state()).changing


@pytest.mark.parametrize("fault", ["crash", "break_connections"])
async def test_a_stream_that_breaks(engine, standin, fault):
    stream = engine.generate(request("a", "[out=500]"))
    await anext(stream)
    getattr(standin, fault)()
    with pytest.raises(ReplyLostError):
        while True:
            await anext(stream)
    if fault == "crash":
        with pytest.raises(NotReachedError):
            await engine.state()
    else:
        assert standin.running == 1
        await engine.cancel("a")
    assert standin.running == 0


async def test_a_closed_stream_ends_at_the_engine(engine, standin):
    stream = engine.generate(request("a", "[out=500]"))
    await anext(stream)
    await stream.aclose()
    async with asyncio.timeout(5):
        while standin.running:
            await asyncio.sleep(0.01)
    assert standin.batch.decoded < 500


async def test_a_load_report_tells_when_it_was_measured(engine):
    load = await engine.load()
    age = asyncio.get_running_loop().time() - load.measured_at
    assert age >= 0.2
    assert (load.running, load.waiting, load.kv_used) == (0, 0, 0)


async def test_unreachable_engine():
    async with client_session() as session:
        async with serving(EngineFrontend(EngineStandIn("e")).application()) as url:
            engine = HttpEngine(session, url)
        with pytest.raises(NotReachedError):
            await anext(engine.generate(request("a")))
        with pytest.raises(NotReachedError):
            await engine.order(order(1))
