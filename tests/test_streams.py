from __future__ import annotations

import asyncio

import pytest

from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode
from bergamotmast.model import TokenChunk
from support import answer_of
from support import expected_text
from support import fleet

pytestmark = pytest.mark.looptime


async def test_answer_is_complete():
    async with fleet(engines=2) as f:
        text = await answer_of(f.entries["entry-1"], f.model_call(7))
    assert text == expected_text(7)


async def test_an_engine_that_dies_in_mid_answer_is_replaced_by_another():
    # Engine 1 fails after three tokens, and the entry resumes on engine 2 from the
    # fourth. The caller gets one whole answer; nothing is repeated or missing.
    async with fleet(engines=2) as f:
        f.upstreams["engine-1"].break_at = 3
        text = await answer_of(f.entries["entry-1"], f.model_call(7))
        assert text == expected_text(7)
        assert len(f.upstreams["engine-2"].runs) == 1


async def test_a_side_that_dies_in_mid_answer_is_replaced_by_another():
    # The side of engine 1 is killed after some tokens. The entry misses its heartbeats,
    # ends the session and resumes on engine 2.
    async with fleet(engines=2) as f:
        task = asyncio.create_task(
            answer_of(f.entries["entry-1"], f.model_call(30, total=60))
        )
        await asyncio.sleep(1.0)
        assert len(f.upstreams["engine-1"].runs) == 1
        await f.kill("engine-1")
        assert await task == expected_text(30)
        assert len(f.upstreams["engine-2"].runs) == 1


@pytest.mark.parametrize(
    "chunks",
    [
        pytest.param([(0, "w0 "), (0, "w0 "), (1, "w1 ")], id="repeated"),
        pytest.param([(1, "w1 "), (0, "w0 ")], id="out of order"),
        pytest.param([(0, "w0 "), (2, "w2 ")], id="missing"),
    ],
)
async def test_faulty_chunks_never_reach_the_caller(chunks):
    # Engine 1 repeats, reorders or omits chunks. The caller still gets each token once
    # and in order: duplicates are dropped, and a gap fails the attempt, so that
    # engine 2 resumes.
    async with fleet(engines=2) as f:
        faulty = [TokenChunk(index, 1, text) for index, text in chunks]
        f.upstreams["engine-1"].chunks = faulty
        text = await answer_of(f.entries["entry-1"], f.model_call(4))
        assert text == expected_text(4)


async def test_chunks_of_a_superseded_attempt_are_ignored():
    # A partition isolates engine 1 in mid-answer and the answer goes on at engine 2.
    # When the partition ends, the delayed chunks arrive and are ignored.
    async with fleet(engines=2) as f:
        task = asyncio.create_task(
            answer_of(f.entries["entry-1"], f.model_call(60, total=60))
        )
        await asyncio.sleep(1.0)
        f.network.partition("engine-1")
        await asyncio.sleep(5.0)
        f.network.heal("engine-1")
        assert await task == expected_text(60)


async def test_a_slow_caller_delays_nobody_else():
    # One caller stops reading. Its stream runs out of credit and the side merges the
    # chunks that follow; another caller of the engine gets its answer at full speed.
    async with fleet(engines=1) as f:
        entry = f.entries["entry-1"]
        slow = entry.submit_model(f.model_call(200))
        parts = [(await anext(slow)).text]
        started = asyncio.get_running_loop().time()
        assert await answer_of(entry, f.model_call(20)) == expected_text(20)
        assert asyncio.get_running_loop().time() - started < 3.0
        await asyncio.sleep(25.0)
        chunks = [chunk.text async for chunk in slow]
        assert "".join(parts + chunks) == expected_text(200)
        assert len(chunks) < 80


async def test_disconnect_of_a_caller_cancels_its_request():
    async with fleet(engines=1) as f:
        chunks = f.entries["entry-1"].submit_model(f.model_call(1000, total=500))
        await anext(chunks)
        await chunks.aclose()
        await asyncio.sleep(1.0)
        assert f.upstreams["engine-1"].closed == f.upstreams["engine-1"].runs
        assert f.sides["engine-1"].running == set()


async def test_a_prompt_that_kills_engines_is_given_up():
    # Each engine fails at the first token of this request, which must not crash one
    # engine of the fleet after another.
    async with fleet(engines=4) as f:
        for number in range(1, 5):
            f.upstreams[f"engine-{number}"].break_at = 0
        with pytest.raises(RequestError) as caught:
            await answer_of(f.entries["entry-1"], f.model_call(5))
        assert caught.value.code is ResultCode.UPSTREAM_FAILED


async def test_a_stream_past_its_deadline_is_ended_at_once():
    async with fleet(engines=1) as f:
        started = asyncio.get_running_loop().time()
        with pytest.raises(RequestError) as caught:
            await answer_of(f.entries["entry-1"], f.model_call(100, total=2.0))
        assert caught.value.code is ResultCode.DEADLINE_EXCEEDED
        assert asyncio.get_running_loop().time() - started < 2.6
        await asyncio.sleep(0.5)
        assert f.sides["engine-1"].running == set()
