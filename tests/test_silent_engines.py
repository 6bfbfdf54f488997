"""Tests of unresponsive engines: busy ones, dead ones, and ones that skip a prompt."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from bergamotmast.direct.liveness import abort_when
from bergamotmast.errors import ReplyLostError
from bergamotmast.platform.orders import PlatformOrders
from bergamotmast.policy.engine_load import OVERDUE_FACTOR
from bergamotmast.policy.engine_load import PENDING_TTL_SECONDS
from bergamotmast.policy.engine_load import UNRESPONSIVE_SECONDS
from bergamotmast.policy.engine_load import EngineLoadTracker
from bergamotmast.policy.prefill_model import PREFILL_ENGINE_PRIOR
from bergamotmast.policy.retry_window import RetryLimits
from direct_support import config
from direct_support import engine
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import answer
from platform_standin import hang

LONG = {"X_Token_Count": "6000,80", "X_Prompt_Prefix": "aa:2000,bb:4000"}
PATIENT = route("/talk/", "streaming", "llm", **{"target-latency-ms": 700})


class FixedProbe:
    """A liveness probe with a fixed result."""

    def __init__(self, lives: bool) -> None:
        self.lives = lives
        self.asked: list[str] = []

    async def probe(self, engine):
        self.asked.append(engine.name)
        await asyncio.sleep(0.01)
        return self.lives


async def test_busy_engine_keeps_a_long_prompt():
    """Guards against restarting a long prefill at one engine after another.

    The engine prefills the long prompt while the load tracker assumes that it works on
    the short one, and it does not reply for longer than the short one takes. If it were
    considered dead, its progress would be lost, and the next engine would be late too.
    """
    busy = engine("i-1", EngineScript(prefill_seconds=1.2), "prefill")
    idle = engine("i-2", EngineScript(), "prefill")
    liveness_probe = FixedProbe(lives=True)
    async with serving(
        busy,
        idle,
        engine("i-3", EngineScript()),
        document=config(routes=[PATIENT]),
        liveness_probe=liveness_probe,
    ) as entry:
        entry.register(idle, state="draining")
        short = asyncio.create_task(entry.ask("/talk/x", **LONG))
        await asyncio.sleep(0.05)
        asked = asyncio.create_task(
            entry.ask("/talk/x", request_id="long", X_Token_Count="30000,80")
        )
        await asyncio.sleep(0.05)
        entry.register(idle)
        got = await asked
        await short
    assert got.complete
    assert set(liveness_probe.asked) == {"i-1"}
    assert "long" not in [received.request_id for received in idle.received]


async def test_prompt_that_a_live_engine_never_prefills_is_moved():
    """Guards against waiting for an engine that is alive but never runs a prompt."""
    hanging = engine("i-2", hang(), "prefill")
    healthy = engine("i-1", EngineScript(), "prefill")
    async with serving(
        hanging,
        healthy,
        engine("i-3", EngineScript()),
        document=config(routes=[PATIENT]),
        liveness_probe=FixedProbe(lives=True),
    ) as entry:
        entry.register(healthy, state="draining")
        began = time.monotonic()
        asked = asyncio.create_task(entry.ask("/talk/x", **LONG))
        await until(lambda: bool(hanging.received))
        entry.register(healthy)
        got = await asked
        seconds = time.monotonic() - began
    assert got.complete
    assert len(hanging.received) == 1
    assert seconds < 2.0


@contextlib.asynccontextmanager
async def stream_sent_to_engine(script, liveness_probe):
    """Yield a stream pending at an engine that runs the script, and another engine."""
    first = engine("i-2", script)
    other = engine("i-3", EngineScript())
    async with serving(
        engine("i-1", EngineScript(), "prefill"),
        first,
        other,
        document=config(routes=[route("/long/", "streaming", "llm", resumable=True)]),
        liveness_probe=liveness_probe,
    ) as entry:
        entry.register(other, state="draining")
        asked = asyncio.create_task(entry.ask("/long/x", **LONG))
        await until(lambda: bool(first.received))
        entry.register(other)
        yield asked, other


async def test_stream_moves_from_unresponsive_answering_engine():
    """Guards against waiting for a dead engine until the caller disconnects."""
    began = time.monotonic()
    async with stream_sent_to_engine(hang(), FixedProbe(lives=False)) as (asked, other):
        got = await asked
        seconds = time.monotonic() - began
    assert got.complete
    assert len(other.received) == 1
    assert seconds < 2.0


async def test_stream_stays_at_slow_answering_engine():
    """Guards against moving a stream away from a live engine that replies late."""
    stream = EngineScript()

    async def delayed_reply(replica, received, writer):
        await asyncio.sleep(1.5)
        await stream(replica, received, writer)

    liveness_probe = FixedProbe(lives=True)
    async with stream_sent_to_engine(delayed_reply, liveness_probe) as (asked, other):
        got = await asked
    assert got.complete
    assert liveness_probe.asked
    assert other.received == []


async def test_one_question_serves_all_that_wait():
    """Guards against one probe per waiting prompt: a dozen wait at a dead engine."""
    dead = engine("i-1", hang(), "prefill")
    healthy = engine("i-2", EngineScript(), "prefill")
    liveness_probe = FixedProbe(lives=False)
    async with serving(
        dead, healthy, engine("i-3", EngineScript()), liveness_probe=liveness_probe
    ) as entry:
        entry.frontend.core.context.retry_budget.limits = RetryLimits(1.0, 100.0)
        entry.register(healthy, state="draining")
        asked = [
            asyncio.create_task(entry.ask("/talk/x", request_id=f"id-{n}", **LONG))
            for n in range(12)
        ]
        await asyncio.sleep(0.2)
        entry.register(healthy)
        answers = await asyncio.gather(*asked)
    assert [got.status for got in answers] == [200] * 12
    assert len(liveness_probe.asked) < 6


@pytest.mark.parametrize(
    ("script", "lives"), [(answer(), True), (answer(503), False), (hang(), False)]
)
async def test_liveness_probe_asks_for_a_report(script, lives):
    one = engine("i-1", script)
    async with serving(one) as entry:
        context = entry.frontend.core.context
        (upstream,) = context.fleet.members("llm", asyncio.get_running_loop().time())
        assert await PlatformOrders(context.client).probe(upstream) is lives


@pytest.mark.parametrize("entries", [1, 4, 31])
async def test_prompts_that_fail_everywhere_stay_within_the_budget(entries):
    """Guards against prefill retries that the budget does not count.

    All prefill engines are dead, so that each request is retried until the budget is
    exhausted. If the first failed prefill were not counted, requests that fail twice
    would make one attempt more than the budget allows. The other callers are told that
    their requests were not run.
    """
    dead = [engine(f"i-{n}", hang(), "prefill") for n in range(3)]
    last = engine("i-9", EngineScript())
    async with serving(*dead, last, document=config(routes=[PATIENT])) as entry:
        context = entry.frontend.core.context
        context.retry_budget.limits = limits = RetryLimits(0.2, 8.0)
        for number in range(entries):
            context.fleet.entries[f"e{number}"] = ("127.0.0.1", 9)
        answers = await asyncio.gather(
            *(entry.ask("/talk/x", request_id=f"id-{n}", **LONG) for n in range(60))
        )
    arrivals = sum(len(replica.received) for replica in (*dead, last))
    assert arrivals - 60 <= limits.share * 60 + limits.free / entries
    assert {got.status for got in answers} <= {200, 503}
    assert all("retry-after" in got.headers for got in answers if got.status == 503)


def test_overdue_time_of_a_long_prompt_covers_the_queue():
    """Guards against restarting a long prefill that is making progress.

    A prompt of 44,000 tokens queues behind one of 17,000; its first half is prefilled
    at 1.2 s, and its caller disconnects after 2.4 s. Restarted elsewhere at 1.2 s, the
    prefill would complete at 2.3 s at best, and all prompts behind it would wait one
    second longer.
    """
    tracker = EngineLoadTracker(500_000)
    tracker.begin(("e", 1), PREFILL_ENGINE_PRIOR.occupied_seconds(17_000, 0), 5, 0.0)
    tracker.begin(("e", 2), PREFILL_ENGINE_PRIOR.occupied_seconds(44_000, 0), 8, 0.0)
    takes = PREFILL_ENGINE_PRIOR.occupied_seconds(
        17_000, 0
    ) + PREFILL_ENGINE_PRIOR.occupied_seconds(44_000, 0)
    assert tracker.overdue_at(("e", 2)) == pytest.approx(
        OVERDUE_FACTOR * takes + UNRESPONSIVE_SECONDS
    )
    assert tracker.overdue_at(("e", 1)) < tracker.overdue_at(("e", 2))


def test_overdue_time_covers_prompts_that_overtake():
    tracker = EngineLoadTracker(500_000)
    tracker.begin(("e", 1), 0.5, 8, 0.0)
    before = tracker.overdue_at(("e", 1))
    tracker.begin(("e", 2), 0.3, 2, 0.1)
    assert tracker.overdue_at(("e", 1)) == pytest.approx(before + OVERDUE_FACTOR * 0.3)


def test_overdue_time_covers_the_slowdown_of_an_engine():
    tracker = EngineLoadTracker(500_000)
    for number in range(12):
        tracker.observe_slowdown(0.1, 0.3, number * 0.05)
    tracker.begin(("e", 1), 0.5, 8, 0.6)
    assert (
        tracker.overdue_at(("e", 1))
        > 0.6 + OVERDUE_FACTOR * 0.5 * 2 + UNRESPONSIVE_SECONDS
    )


def test_a_prompt_no_longer_tracked_is_overdue():
    tracker = EngineLoadTracker(500_000)
    tracker.begin(("e", 1), 0.5, 8, 0.0)
    tracker.wait(9, PENDING_TTL_SECONDS + 0.1)
    assert tracker.overdue_at(("e", 1)) < 0.0


async def test_tcp_timeout_is_a_lost_reply():
    """Guards against reporting a TCP timeout as an internal error.

    The operating system times the connection out before the engine is considered
    unresponsive. The call must end like one whose reply was lost.
    """

    async def goes_on() -> str:
        return ""

    with pytest.raises(ReplyLostError):
        async with abort_when(goes_on):
            raise TimeoutError


async def test_overdue_prompts_without_a_retry_left_keep_their_engine():
    """Guards against cancelling several prefills for the only retry that is left."""
    late = engine("i-1", EngineScript(prefill_seconds=1.6), "prefill")
    idle = engine("i-2", EngineScript(), "prefill")
    async with serving(
        late,
        idle,
        engine("i-3", EngineScript()),
        document=config(routes=[PATIENT]),
        liveness_probe=FixedProbe(lives=True),
    ) as entry:
        entry.core.context.retry_budget.limits = RetryLimits(0.0, 12.0)
        entry.register(idle, state="draining")
        asked = [
            asyncio.create_task(entry.ask("/talk/x", request_id=f"id-{n}", **LONG))
            for n in range(4)
        ]
        await until(lambda: len(late.received) == 4)
        entry.register(idle)
        answers = await asyncio.gather(*asked)
    assert len(idle.received) == 1
    assert [got.status for got in answers] == [200] * 4
