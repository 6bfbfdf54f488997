"""Tests of the retry budget that all entries share."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import logging
import random

import pytest

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.presence import presence_key
from bergamotmast.direct.retry_budget import SharedRetryBudget
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.policy.retry_window import WINDOW_SECONDS
from bergamotmast.policy.retry_window import RetryLimits
from bergamotmast.policy.retry_window import RetryWindow
from bergamotmast.ports import KeyValue
from bergamotmast.telemetry import NullTelemetry
from direct_support import config
from direct_support import engine
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import not_run
from platform_standin import reset

SHORT = {
    "X_Token_Count": "400,80",
    "X_Prompt_Prefix": "cc:100,dd:300",
    "X_Deadline_Ms": "20000",
}
LONG = {"X_Token_Count": "12000,80", "X_Prompt_Prefix": "aa:2000,bb:10000"}


async def test_each_retry_logs_the_state_of_the_budget(caplog):
    caplog.set_level(logging.INFO)
    metrics = OpenTelemetryMetrics("p")
    replicas = [Replica(f"r-{number}", not_run()) for number in range(2)]
    async with serving(*replicas) as entry:
        retry_budget = entry.core.context.retry_budget
        retry_budget.limits = RetryLimits(0.0, 8.0)
        retry_budget.telemetry = metrics
        await entry.ask("/read/1")
        await entry.ask("/read/2")
    lines = [line for line in caplog.records if "second send" in line.message]
    assert [line.message for line in lines] == ["second send", "second send is refused"]
    logged = [(line.group, line.requests, line.repeats, line.room) for line in lines]
    assert logged == [("plain", 1, 0, 1.0), ("plain", 2, 1, 0.0)]
    exposed = metrics.exposition().decode()
    for allowed in ("true", "false"):
        series = f'second_sends_total{{allowed="{allowed}",group="plain"}} 1.0'
        assert series in exposed


class Member:
    """One entry's view of the others, and its share of the budget."""

    def __init__(self, number: int, limits: RetryLimits) -> None:
        clock = asyncio.get_running_loop().time
        self.key = presence_key(f"e{number}")
        self.fleet = Fleet(PlatformDirectory(), clock, self.key)
        self.retry_budget = SharedRetryBudget(self.fleet, limits, NullTelemetry())

    def learn(self, keys: cabc.Iterable[str]) -> None:
        for key in keys:
            self.fleet.put(KeyValue(key, b"127.0.0.1:9", 1))

    def forget(self, keys: cabc.Iterable[str]) -> None:
        for key in keys:
            self.fleet.remove(key, 2)

    async def serve(self, seconds: float) -> None:
        """Let time pass until the store's next reply."""
        await asyncio.sleep(seconds)
        self.fleet.entry_share.on_store_reply(asyncio.get_running_loop().time())

    def send_all(self) -> int:
        """Return how many retries the budget allows now, taking all of them."""
        return sum(iter(lambda: self.retry_budget.spend("llm"), False))


async def serve(members: list[Member], seconds: float) -> None:
    """Let time pass until the store's next reply to all members."""
    await asyncio.gather(*(member.serve(seconds) for member in members))


def full_members(count: int, limits: RetryLimits) -> list[Member]:
    """Return entries of which each knows all others."""
    members = [Member(number, limits) for number in range(count)]
    keys = [member.key for member in members]
    for member in members:
        member.learn(keys)
    return members


def over_budget(
    requests: list[float], repeats: list[float], limits: RetryLimits
) -> float:
    """Return by how many retries the worst window exceeds the budget.

    A window's budget is a share of the requests in it, in the window before it or in
    the one that began half a window earlier, whichever has most, plus the free retries.
    """

    def count(times: list[float], since: float) -> int:
        return sum(since <= at <= since + WINDOW_SECONDS for at in times)

    return max(
        count(repeats, since)
        - limits.free
        - limits.share
        * max(
            count(requests, since - shift)
            for shift in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )
        for since in repeats
    )


@pytest.mark.looptime
@pytest.mark.parametrize("entries", [5, 28, 330])
async def test_entries_that_know_few_others_stay_within_the_budget(entries):
    """Guards against shares that are too large if entries don't know all others.

    All entries start at the same time and then lose the store, so that each knows only
    those that registered before it.
    """
    limits = RetryLimits(0.2, 40.0 * entries)
    members = [Member(number, limits) for number in range(entries)]
    keys = [member.key for member in members]
    for number, member in enumerate(members):
        member.learn(keys[: number + 1])
    await serve(members, 0.0)
    await asyncio.sleep(WINDOW_SECONDS)
    assert sum(member.send_all() for member in members) <= limits.free


@pytest.mark.looptime
@pytest.mark.parametrize("entries", [5, 28, 330])
async def test_entries_whose_registrations_lapse_stay_within_the_budget(entries):
    """Guards against shares that grow as registrations lapse.

    The store is unavailable for longer than the leases last, and no entry is registered
    when it returns.
    """
    limits = RetryLimits(0.2, 40.0 * entries)
    members = full_members(entries, limits)
    await serve(members, WINDOW_SECONDS)
    keys = [member.key for member in members]
    for member in members:
        member.forget(keys)
    assert 0 < sum(member.send_all() for member in members) <= limits.free


@pytest.mark.looptime
@pytest.mark.parametrize("entries", [5, 28])
async def test_entries_that_restart_repeatedly_stay_within_the_budget(entries):
    """Guards against a full share at each restart, three times in one window."""
    limits = RetryLimits(0.2, 40.0 * entries)
    members = full_members(entries, limits)
    await serve(members, WINDOW_SECONDS)
    sent = sum(member.send_all() for member in members)
    for _ in range(3):
        members = full_members(entries, limits)
        await serve(members, WINDOW_SECONDS / 4)
        sent += sum(member.send_all() for member in members)
    assert limits.free / 2 < sent <= limits.free


BURSTS = {
    "at both edges of a window": ((10.0, 12.5, 4.0), (17.5, 20.0, 4.0)),
    "higher ones": ((10.0, 12.4, 8.0), (17.6, 20.0, 8.0)),
    "with little between them": (
        (0.0, 10.0, 0.1),
        (10.0, 12.5, 4.0),
        (12.5, 17.5, 0.1),
        (17.5, 20.0, 4.0),
        (20.0, 40.0, 0.1),
    ),
    "none": (),
}


def drawn_times(
    rng: random.Random, bursts: tuple[tuple[float, float, float], ...]
) -> cabc.Iterator[float]:
    """Yield the arrival times of requests: 75 a second, more or fewer in bursts."""
    now = 0.0
    while now < 40.0:
        factors = [factor for since, end, factor in bursts if since <= now < end]
        now += rng.expovariate(75.0 * (factors[0] if factors else 1.0))
        yield now


@pytest.mark.parametrize("bursts", BURSTS.values(), ids=BURSTS)
@pytest.mark.parametrize("entries", [1, 5, 28])
def test_failures_between_two_bursts_stay_within_the_budget(entries, bursts):
    """Guards against counting the requests of the first burst in two windows.

    Engines fail as the second burst arrives.
    """
    limits = RetryLimits(0.2, 58.0)
    rng = random.Random(entries)
    windows = [RetryWindow(limits) for _ in range(entries)]
    requests, repeats = [], []
    for now in drawn_times(rng, bursts):
        window = rng.choice(windows)
        window.on_request(now)
        requests.append(now)
        while 17.3 <= now < 22.0 and window.spend(1 / entries, now):
            repeats.append(now)
    assert repeats
    assert over_budget(requests, repeats, limits) <= 0.0


def closes_unanswered() -> Script:
    """Return the script of a dead engine: it resets each connection."""

    async def script(
        replica: Replica, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        reset(writer)

    return script


@pytest.mark.parametrize("entries", [1, 28])
async def test_prompts_dropped_by_dead_engines_stay_within_the_budget(entries):
    """Guards against retries over the budget while dead engines are still registered.

    Each of them drops the prompts that it gets, and each prompt is sent to another.
    """
    gone = [engine(f"i-{n}", closes_unanswered(), "prefill") for n in range(40)]
    last = engine("i-last", EngineScript())
    route_with_timeout = route(
        "/talk/", "streaming", "llm", **{"target-latency-ms": 700}
    )
    async with serving(
        *gone, last, document=config(routes=[route_with_timeout])
    ) as entry:
        context = entry.core.context
        context.retry_budget.limits = limits = RetryLimits(0.2, 8.0)
        for number in range(entries):
            context.fleet.entries[f"e{number}"] = ("127.0.0.1", 9)
        answers = [
            await entry.ask("/talk/x", request_id=f"id-{n}", **LONG) for n in range(40)
        ]
    arrivals = sum(len(replica.received) for replica in (*gone, last))
    assert arrivals - 40 <= limits.share * 40 + limits.free / entries
    assert {got.status for got in answers} <= {200, 503}


async def test_engine_that_drops_a_stream_does_not_attract_the_next_ones():
    """Guards against a dead engine that attracts requests because it looks idle."""
    gone = engine("i-1", closes_unanswered())
    busy = engine("i-2", EngineScript(pause=0.2))
    route_with_timeout = route("/long/", "streaming", "llm", **{"timeout-ms": 20_000})
    document = config(routes=[route_with_timeout | {"resumable": True}])
    async with serving(gone, busy, document=document) as entry:
        entry.register(gone, state="draining")
        asked = []
        for number in range(9):
            asked.append(
                asyncio.create_task(
                    entry.ask("/long/x", request_id=f"id-{number}", **SHORT)
                )
            )
            if number == 2:
                await until(lambda: len(busy.received) == 3)
                entry.register(gone)
            await asyncio.sleep(0.05)
        answers = await asyncio.gather(*asked)
    assert [got.status for got in answers] == [200] * 9
    assert len(gone.received) == 1
