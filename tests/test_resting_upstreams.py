"""Tests of upstreams that turn requests away and ask for rest."""

from __future__ import annotations

import asyncio
import logging
import time

import pytest

from bergamotmast.direct.exported_cache import ExportedCache
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.policy.upstream_rest import TRIAL_SECONDS
from direct_support import engine
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer

LONG_PROMPT = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:2000,bb:10000"}

SETTLING_SECONDS = 0.5
"""Time after a reply from which the rest that it asks for must be kept to."""

ALLOWED = 2
"""Requests that may arrive in a rest after that."""


class RestingScript:
    """Script of a replica that turns requests away for a while.

    :param status: status of these replies.
    :param rest: their header; empty for none.
    :param until: until when it turns requests away; a point in time.
    :param arrivals: when requests arrived; points in time.
    """

    def __init__(self, script, rest, status=503):
        self.script = script
        self.rest = rest
        self.status = status
        self.until = float("inf")
        self.arrivals = []

    async def __call__(self, replica, received, writer):
        self.arrivals.append(time.monotonic())
        if time.monotonic() >= self.until:
            await self.script(replica, received, writer)
            return
        lines = [f"HTTP/1.1 {self.status} Word", "X-Not-Executed: 1"]
        lines += [f"Retry-After: {self.rest}"] if self.rest else []
        lines += ["Content-Length: 0", "", ""]
        writer.write("\r\n".join(lines).encode())

    def in_rest(self, seconds):
        """Return how many requests arrived in the first rest."""
        began = self.arrivals[0]
        span = began + SETTLING_SECONDS, began + seconds
        return sum(span[0] < at < span[1] for at in self.arrivals)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("-3", 0.0),
        ("nan", 0.0),
        ("1e9", 0.0),
        ("9" * 5_000, 0.0),
        ("Fri, 04 Dec 2026 10:00:00 GMT", 0.0),
    ],
)
def test_rest_is_a_decimal_number(text, seconds):
    traits = PlatformDialect().read_reply(503, {"Retry-After": text})
    assert traits.rest_seconds == seconds


@pytest.mark.parametrize(
    ("status", "rests"), [(503, True), (429, True), (500, False), (200, False)]
)
async def test_only_a_refusal_asks_for_rest(status, rests):
    """Guards against leaving an upstream alone for an answer of its application."""
    script = answer(status, b"fine", "Retry-After: 3", "X-Not-Executed: 1")
    if not rests:
        script = answer(status, b"fine", "Retry-After: 3")
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/order/0")
        assert (entry.fleet.members("plain", 0.0) == []) is rests


async def test_rest_is_logged(caplog):
    caplog.set_level(logging.INFO)
    script = RestingScript(answer(), "1.5")
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
    (line,) = [line for line in caplog.records if "asks for rest" in line.message]
    assert (line.upstream, line.seconds) == ("i-1", 1.5)


def plain(rest):
    script = RestingScript(answer(), rest)
    return script, [Replica("i-1", script), Replica("i-2", answer())], "/read/x", {}


def decode_engine(rest):
    script = RestingScript(EngineScript(), rest)
    other = engine("i-2", EngineScript(pause=0.05))
    return script, [engine("i-1", script), other], "/long/x", {}


def only_decode_engine(rest):
    script = RestingScript(EngineScript(), rest)
    return script, [engine("i-1", script)], "/long/x", {}


def prefill_engine(rest):
    script = RestingScript(EngineScript(), rest)
    other = engine("i-2", EngineScript(pause=0.2))
    return script, [engine("i-1", script, "prefill"), other], "/long/x", LONG_PROMPT


@pytest.mark.parametrize(
    "fleet", [plain, decode_engine, only_decode_engine, prefill_engine]
)
async def test_upstream_that_asks_for_rest_gets_none_of_the_requests(fleet):
    """Guards against sending an upstream requests that it has asked to be spared."""
    script, replicas, target, headers = fleet("4.5")
    async with serving(*replicas) as entry, asyncio.TaskGroup() as group:
        for number in range(250):
            asked = entry.ask(target, request_id=f"id-{number}", **headers)
            group.create_task(asked)
            await asyncio.sleep(0.02)
    assert script.in_rest(4.5) <= ALLOWED


async def test_group_of_which_all_rest_tells_callers_the_earliest_end():
    scripts = [RestingScript(answer(), rest) for rest in ("3", "1.25")]
    replicas = [Replica(f"i-{n}", script) for n, script in enumerate(scripts)]
    async with serving(*replicas) as entry:
        began = time.monotonic()
        first = await entry.ask("/read/0")
        got = await entry.ask("/read/1")
        took = time.monotonic() - began
    for answered in (first, got):
        assert answered.status == 503
        assert answered.body.startswith(b"206 ")
        assert 1.25 - took <= float(answered.headers["retry-after"]) <= 2.5
    assert took < 0.2
    assert sum(len(script.arrivals) for script in scripts) == 2


async def test_one_request_is_sent_as_a_trial_after_a_rest():
    """Guards against a burst at the end of a rest, which asks for the next one."""
    script = RestingScript(answer(), "0.3")
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        for _ in range(3):
            await asyncio.sleep(0.32)
            arrived = len(script.arrivals)
            await asyncio.gather(*(entry.ask(f"/read/{n}") for n in range(20)))
            assert len(script.arrivals) == arrived + 1
        script.until = 0.0
        await asyncio.sleep(0.32)
        await entry.ask("/read/1")
        got = await asyncio.gather(*(entry.ask(f"/read/{n}") for n in range(20)))
    assert {one.status for one in got} == {200}


async def test_trial_without_a_reply_is_not_waited_for_long():
    async def silent(replica, received, writer):
        await asyncio.sleep(60)

    script = RestingScript(silent, "0.2")
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        script.until = 0.0
        await asyncio.sleep(0.25)
        trial = asyncio.create_task(entry.ask("/read/1"))
        await asyncio.sleep(0.1)
        assert (await entry.ask("/read/2")).status == 503
        script.script = answer()
        await asyncio.sleep(TRIAL_SECONDS)
        assert (await entry.ask("/read/3")).status == 200
        trial.cancel()


@pytest.mark.parametrize("rest", ["", "0", "soon", "-1"])
async def test_refusal_without_a_rest_is_tried_again(rest):
    script = RestingScript(answer(), rest)
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        script.until = 0.0
        assert (await entry.ask("/read/1")).status == 200


async def test_rest_ends_with_the_incarnation_that_asked_for_it():
    script = RestingScript(answer(), "30")
    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        await entry.ask("/read/0")
        script.until = 0.0
        assert (await entry.ask("/read/1")).status == 503
        entry.register(replica, born=77)
        assert (await entry.ask("/read/2")).status == 200


async def test_answer_that_runs_at_an_upstream_at_rest_goes_on():
    script = RestingScript(EngineScript(pause=0.05), "1")
    script.until = 0.0
    async with serving(engine("i-1", script)) as entry:
        running = asyncio.create_task(entry.ask("/long/x"))
        await asyncio.sleep(0.1)
        script.until = float("inf")
        assert (await entry.ask("/long/x")).status == 503
        got = await running
    assert (got.status, got.complete) == (200, True)


async def test_prompt_that_has_been_read_is_not_sent_to_an_engine_at_rest():
    """Guards against sending what was decided before an engine asked for rest."""
    one, two = engine("i-1", EngineScript()), engine("i-2", EngineScript())
    reader = engine("i-3", EngineScript(prefill_seconds=0.3), "prefill")
    async with serving(one, two, reader) as entry:
        asked = [entry.ask("/long/x", **LONG_PROMPT) for _ in range(6)]
        running = asyncio.gather(*asked)
        await asyncio.sleep(0.1)
        for upstream in entry.fleet.members("llm", 0.0):
            if upstream.name == "i-1":
                entry.fleet.resting.on_asked(upstream, 5.0)
        got = await running
    assert one.received == []
    assert {answer.status for answer in got} == {200}


class CountingProbe:
    """Liveness probe that finds all engines alive, and counts."""

    def __init__(self):
        self.count = 0

    async def probe(self, engine):
        self.count += 1
        return True


async def test_engine_at_rest_is_asked_once_whether_it_lives():
    """Guards against reports to an engine that wants nothing."""
    probe = CountingProbe()
    async with serving(engine("i-1", EngineScript()), liveness_probe=probe) as entry:
        (upstream,) = entry.fleet.members("llm", 0.0)
        checker = entry.core.context.liveness_checker
        assert [await checker.is_alive(upstream) for _ in range(3)] == [True] * 3
        assert probe.count == 3
        entry.fleet.resting.on_asked(upstream, 0.2)
        assert [await checker.is_alive(upstream) for _ in range(5)] == [True] * 5
        assert probe.count == 4
        await asyncio.sleep(0.25)
        assert await checker.is_alive(upstream)
        assert probe.count == 5


@pytest.mark.parametrize("at_rest", [True, False])
async def test_kv_cache_at_an_engine_at_rest_is_left_to_expire(at_rest):
    script = EngineScript()
    replicas = [engine("i-1", script, "prefill"), engine("i-2", EngineScript())]
    async with serving(*replicas) as entry:
        upstream = entry.fleet.registered("i-1")
        cache = ExportedCache(entry.core.context)
        cache.engine, cache.source = upstream, f"{upstream.address}/h1"
        if at_rest:
            entry.fleet.resting.on_asked(upstream, 1.0)
        cache.release()
        await asyncio.sleep(0.1)
    assert script.freed == ([] if at_rest else ["h1"])
