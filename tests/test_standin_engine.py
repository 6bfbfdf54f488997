from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from bergamotmast.errors import NotReachedError
from bergamotmast.errors import OrderRefusedError
from bergamotmast.errors import ReplyLostError
from bergamotmast.history import MemoryHistory
from bergamotmast.history import OrderEnded
from bergamotmast.model import NO_FENCING_TOKEN
from bergamotmast.model import Assignment
from bergamotmast.model import FencingToken
from bergamotmast.model import GenerateRequest
from bergamotmast.model import Order
from bergamotmast.model import Priority
from bergamotmast.model import Role
from bergamotmast.standins.engine import EngineStandIn
from bergamotmast.standins.engine_spec import EngineSpec
from bergamotmast.standins.engine_spec import RoleRates
from bergamotmast.standins.engine_text import expected_text
from bergamotmast.standins.kv_exchange import KvExchange
from bergamotmast.standins.weights import WeightStoreStandIn

pytestmark = pytest.mark.looptime

ROLE_RATES = RoleRates(1000.0, 0.5, 0.1, 0.1, 2.0, 4)
SPEC = EngineSpec(
    roles={role: ROLE_RATES for role in Role},
    kv_capacity=10_000,
    transfer_rate=1000.0,
    cache_event_gap=3,
)


def request(name, prompt="p [out=5]", tokens=1000, **fields):
    fields.setdefault("priority", Priority.STANDARD)
    return GenerateRequest(name, "model", prompt, tokens, 100, **fields)


def order(revision, role=Role.PREFILL, models=("model@1",)):
    return Order(FencingToken(1, revision), Assignment(role, models))


async def collect(engine, wanted):
    """Return each chunk of an answer with its time since the request, in seconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    chunks = engine.generate(wanted)
    return [(round(loop.time() - start, 3), chunk) async for chunk in chunks]


def text(chunks):
    return "".join(chunk.text for _, chunk in chunks)


async def test_stream_is_prefilled_and_then_decoded_step_by_step():
    chunks = await collect(EngineStandIn("e", SPEC), request("a"))
    assert [at for at, _ in chunks] == [1.0, 1.2, 1.4, 1.6, 1.8]
    assert [chunk.finish for _, chunk in chunks] == ["", "", "", "", "stop"]
    assert text(chunks) == expected_text("model", "p [out=5]", 100)


async def test_prefill_and_second_stream_lengthen_decode_steps():
    engine = EngineStandIn("e", SPEC)
    first = asyncio.create_task(collect(engine, request("a", "p [out=9]")))
    await asyncio.sleep(1.2)
    second = asyncio.create_task(collect(engine, request("b", "q [out=2]", 200)))
    # The prefill takes 0.4 s at half the rate, and decode steps take 0.4 s meanwhile;
    # then two streams decode in steps of 0.3 s until the second ends.
    times = [at for at, _ in await first]
    assert times == [1.0, 1.2, 1.6, 1.9, 2.1, 2.3, 2.5, 2.7, 2.9]
    assert [at for at, _ in await second] == [0.4, 0.7]


@pytest.mark.parametrize("tokens_per_chunk", [1, 4, 64])
async def test_chunk_size_does_not_change_when_streams_end(tokens_per_chunk):
    spec = dataclasses.replace(SPEC, tokens_per_chunk=tokens_per_chunk)
    engine = EngineStandIn("e", spec)
    prompts = ["a [out=30]", "b [out=3]", "c [out=17]", "d [out=21]", "e [out=8]"]
    runs = await asyncio.gather(*(collect(engine, request(p, p, 300)) for p in prompts))
    assert [text(run) for run in runs] == [
        expected_text("model", p, 99) for p in prompts
    ]
    assert [run[-1][0] for run in runs] == [12.0, 2.475, 9.5, 11.0, 6.7]
    assert engine.running == 0 and engine.batch.kv_used == 0


async def test_waiting_streams_are_admitted_by_priority():
    engine = EngineStandIn("e", SPEC)
    first_chunk_order = []

    async def run(name, priority):
        chunks = engine.generate(request(name, tokens=3000, priority=priority))
        await anext(chunks)
        first_chunk_order.append(name)
        async for _ in chunks:
            pass

    async with asyncio.TaskGroup() as group:
        for name in ("a", "b", "c"):
            group.create_task(run(name, Priority.BATCH))
        group.create_task(run("late batch", Priority.BATCH))
        group.create_task(run("interactive", Priority.INTERACTIVE))
        await asyncio.sleep(0.1)
        assert engine.batch.admitted == 3, "KV memory holds three"
    assert first_chunk_order.index("interactive") < first_chunk_order.index(
        "late batch"
    )


async def test_cached_prefix_skips_prefill_and_events_are_delayed_with_gaps():
    engine = EngineStandIn("e", SPEC)
    shared = "[prefix=900] [out=1]"
    assert (await collect(engine, request("a", shared, prefix_key="k")))[0][0] == 1.0
    assert await engine.cache_events(0) == ()
    at, chunk = (await collect(engine, request("b", shared, prefix_key="k")))[0]
    assert (at, chunk.cached_tokens) == (0.1, 900)
    for number in range(4):
        await collect(engine, request("c", "[out=1]", prefix_key=f"k{number}"))
    await asyncio.sleep(2)
    assert [e.sequence for e in await engine.cache_events(0)] == [1, 2, 4, 5]


async def test_resumed_answer_continues_at_the_next_token():
    # The caller has received two tokens when the engine crashes. Another engine
    # prefills the prompt and these tokens, and generates the rest.
    first = EngineStandIn("e1", SPEC)
    stream = first.generate(request("a"))
    had = [await anext(stream), await anext(stream)]
    first.crash()
    with pytest.raises(ReplyLostError):
        await anext(stream)
    resumed = request("a2", resume_text="".join(c.text for c in had), resume_tokens=2)
    rest = await collect(EngineStandIn("e2", SPEC), resumed)
    assert rest[0][0] == 1.002
    assert rest[0][1].index == 2
    whole = resumed.resume_text + text(rest)
    assert whole == expected_text("model", "p [out=5]", 100)
    over = request("a3", resume_text=whole, resume_tokens=5)
    assert [c.finish for _, c in await collect(restarted(first), over)] == ["stop"]


def restarted(engine):
    engine.restart()
    return engine


async def test_imported_kv_cache_replaces_the_prefill():
    exchange = KvExchange()
    prefill_engine = EngineStandIn("e1", SPEC, exchange=exchange)
    decode_engine = EngineStandIn("e2", SPEC, exchange=exchange)
    (_, head), *more = await collect(prefill_engine, request("a", prefill_only=True))
    assert (head.finish, more) == ("handoff", [])
    assert head.kv_handle.startswith("e1")
    assert prefill_engine.running == 0
    continued = request("b", resume_tokens=1, resume_text=head.text)
    imported = dataclasses.replace(continued, kv_handle=head.kv_handle)
    rest = await collect(decode_engine, imported)
    assert rest[0][0] == 1.201
    assert decode_engine.batch.prefilled == 0
    assert head.text + text(rest) == expected_text("model", "p [out=5]", 100)
    again = await collect(decode_engine, imported)
    assert decode_engine.batch.prefilled == pytest.approx(1001), (
        "a handle is good for one import"
    )
    assert text(again) == text(rest)


async def test_closed_or_cancelled_stream_frees_the_engine():
    engine = EngineStandIn("e", SPEC)
    closed, broken = engine.generate(request("a")), engine.generate(request("b"))
    await anext(closed)
    await closed.aclose()
    assert engine.running == 0
    await anext(broken)
    engine.break_connections()
    with pytest.raises(ReplyLostError):
        await anext(broken)
    assert engine.running == 1
    await engine.cancel("b")
    assert engine.running == 0


async def test_role_change_fails_streams_and_refuses_requests():
    engine = EngineStandIn("e", SPEC)
    stream = engine.generate(request("a"))
    await anext(stream)
    await engine.order(order(1))
    with pytest.raises(ReplyLostError):
        await anext(stream)
    with pytest.raises(NotReachedError):
        await collect(engine, request("b"))
    with pytest.raises(OrderRefusedError):
        await engine.order(order(2))
    state = await engine.state()
    assert (state.changing, state.assignment) == (True, None)
    await asyncio.sleep(SPEC.change_seconds + 0.01)
    assert (await engine.state()).assignment == order(1).assignment
    assert await collect(engine, request("b"))


async def test_engine_serves_while_it_loads_another_model():
    store = WeightStoreStandIn({"other@1": 40.0}, gigabytes_per_second=2.0)
    engine = EngineStandIn("e", SPEC, loader=store.load)
    both = order(1, Role.MIXED, ("model@1", "other@1"))
    await engine.order(both)
    assert await collect(engine, request("a"))
    with pytest.raises(NotReachedError):
        await collect(engine, dataclasses.replace(request("b"), model="other"))
    await asyncio.sleep(20)
    assert (await engine.state()).assignment == both.assignment
    await engine.order(order(2, Role.MIXED, ("missing@1",)))
    await asyncio.sleep(0.01)
    assert (await engine.state()).assignment is None


@pytest.mark.parametrize("honours_fencing", [True, False])
async def test_stale_fencing_token_is_refused_if_honoured(honours_fencing):
    spec = dataclasses.replace(SPEC, honours_fencing=honours_fencing)
    engine = EngineStandIn("e", spec)
    await engine.order(order(2))
    await asyncio.sleep(10)
    stale = engine.order(order(2, Role.DECODE))
    if honours_fencing:
        with pytest.raises(OrderRefusedError):
            await stale
    else:
        await stale
    expected = FencingToken(1, 2) if honours_fencing else NO_FENCING_TOKEN
    assert (await engine.state()).token == expected


@pytest.mark.parametrize(
    ("done", "incomplete", "role"),
    [(False, False, Role.MIXED), (True, False, Role.PREFILL), (False, True, None)],
)
async def test_crash_during_a_role_change(done, incomplete, role):
    # The engine crashes during a role change, after the reply to the order. It
    # restarts with another boot id, in its old role, its new role, or without a known
    # assignment.
    history = MemoryHistory()
    engine = EngineStandIn("e", SPEC, history=history)
    before = await engine.state()
    await engine.order(order(1))
    await asyncio.sleep(1)
    engine.crash(done, incomplete)
    with pytest.raises(NotReachedError):
        await engine.state()
    await asyncio.sleep(60)
    engine.restart()
    after = await engine.state()
    assert after.boot_id != before.boot_id
    assert (after.token, after.changing) == (NO_FENCING_TOKEN, False)
    assert (after.assignment.role if after.assignment else None) == role
    ended = [r.completed for r in history.records if isinstance(r, OrderEnded)]
    assert ended == [done]
    await engine.order(order(1))
    await asyncio.sleep(10)
    assert (await engine.state()).assignment == order(1).assignment


async def test_order_takes_effect_although_its_reply_is_lost():
    engine = EngineStandIn("e", SPEC)
    engine.lost_order_replies = 1
    with pytest.raises(ReplyLostError):
        await engine.order(order(1))
    await asyncio.sleep(10)
    assert (await engine.state()).assignment == order(1).assignment


async def test_load_reports_lag():
    engine = EngineStandIn("e", SPEC)
    task = asyncio.create_task(collect(engine, request("a", "[out=50]")))
    await asyncio.sleep(0.5)
    assert (await engine.load()).waiting == 0
    await asyncio.sleep(1)
    load = await engine.load()
    assert (load.measured_at, load.waiting, load.running) == (0.5, 1, 0)
    await asyncio.sleep(1)
    assert (await engine.load()).running == 1
    task.cancel()


async def test_speed_and_reachability():
    engine = EngineStandIn("e", SPEC)
    task = asyncio.create_task(collect(engine, request("a")))
    await asyncio.sleep(0.5)
    engine.set_speed(0.0)
    await asyncio.sleep(10)
    engine.set_speed(0.5)
    engine.reachable = False
    with pytest.raises(NotReachedError):
        await engine.load()
    chunks = await task
    assert (chunks[0][0], chunks[-1][0]) == (11.5, 13.1)


@pytest.mark.parametrize("seed", range(8))
async def test_random_load_gives_equal_results_for_every_chunk_size(seed):
    ends = []
    for tokens_per_chunk in (1, 7, 50):
        spec = dataclasses.replace(SPEC, tokens_per_chunk=tokens_per_chunk)
        ends.append(await random_load(EngineStandIn("e", spec), random.Random(seed)))
    assert ends[0] == ends[1] == ends[2]


async def random_load(engine, rng):
    """Run random streams, some closed early; return the end of each complete one."""
    start = asyncio.get_running_loop().time()
    ended = {}

    async def run(name, priority, closes_after):
        prompt = f"{name} [out={rng.randint(1, 60)}] [prefix=400]"
        key = rng.choice(["", "k1", "k2"])
        tokens = rng.randint(400, 3000)
        wanted = request(name, prompt, tokens, priority=priority, prefix_key=key)
        parts = []
        try:
            async with asyncio.timeout(closes_after):
                async for chunk in engine.generate(wanted):
                    parts.append(chunk.text)
        except TimeoutError:
            return
        assert "".join(parts) == expected_text("model", prompt, 100)
        ended[name] = round(asyncio.get_running_loop().time() - start, 3)

    async with asyncio.TaskGroup() as group:
        for number in range(40):
            closes_after = rng.choice([None, None, rng.uniform(0.1, 20)])
            priority = rng.choice(list(Priority))
            group.create_task(run(str(number), priority, closes_after))
            await asyncio.sleep(rng.uniform(0, 1.5))
            engine.set_speed(rng.choice([0.5, 1.0, 1.0, 2.0]))
    assert (engine.running, engine.batch.kv_used) == (0, 0)
    assert len(ended) > 10
    return ended
