"""Tests of upstreams that say in their replies that they leave."""

from __future__ import annotations

import asyncio
import logging

import pytest

from bergamotmast.platform.headers import PlatformDialect
from direct_support import engine
from direct_support import registration
from direct_support import serving
from limit_support import HeaderScript
from limit_support import LimitedScript
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer
from platform_standin import chunk
from platform_standin import event
from platform_standin import head
from platform_standin import reset
from series_replica import STREAM_HEADERS

LEAVING = "Server-Leaving: 1"
LONG_PROMPT = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:2000,bb:10000"}


@pytest.mark.parametrize(
    ("text", "leaving"),
    [("1", True), (" 1 ", True), ("0", False), ("", False), ("true", False)],
)
def test_only_a_one_says_that_an_upstream_leaves(text, leaving):
    traits = PlatformDialect().read_reply(200, {"Server-Leaving": text})
    assert traits.leaving is leaving


async def test_leaving_is_logged_once(caplog):
    caplog.set_level(logging.INFO)
    script = HeaderScript(answer(), LEAVING)
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        await entry.ask("/read/1")
    lines = [line for line in caplog.records if "says that it leaves" in line.message]
    assert [line.upstream for line in lines] == ["i-1"]


def plain():
    script = HeaderScript(answer())
    return script, [Replica("i-1", script), Replica("i-2", answer())], "/read/x", {}


def decode_engine():
    script = HeaderScript(EngineScript())
    return script, [engine("i-1", script), engine("i-2", EngineScript())], "/long/x", {}


def prefill_engine():
    script = HeaderScript(EngineScript())
    replicas = [engine("i-1", script, "prefill"), engine("i-2", EngineScript())]
    return script, replicas, "/long/x", LONG_PROMPT


@pytest.mark.parametrize("fleet", [plain, decode_engine, prefill_engine])
@pytest.mark.parametrize("in_sync", [True, False])
async def test_upstream_that_says_it_leaves_gets_no_new_request(fleet, in_sync):
    """Guards against waiting for the store to tell that an upstream leaves."""
    script, replicas, target, headers = fleet()
    async with serving(*replicas) as entry:
        entry.fleet.in_sync = in_sync
        script.line = LEAVING
        while not replicas[0].received:
            await entry.ask(target, **headers)
        entry.put("servers/i-1", registration(replicas[0]) | {"sequence": 9})
        got = [await entry.ask(target, **headers) for _ in range(12)]
    assert len(replicas[0].received) == 1
    assert {one.status for one in got} == {200}


async def test_upstream_that_leaves_is_not_resumed_at():
    """Guards against a retry after a stall at an upstream that has said it leaves."""
    leaving = HeaderScript(EngineScript(), LEAVING)
    replicas = [engine("i-1", EngineScript(break_after=2)), engine("i-2", leaving)]
    async with serving(*replicas) as entry:
        while not replicas[1].received:
            await entry.ask("/long/x")
        got = await entry.ask("/long/x")
    assert len(replicas[1].received) == 1
    assert not got.complete


async def test_answer_that_runs_at_an_upstream_that_leaves_goes_on():
    script = HeaderScript(EngineScript(pause=0.05), LEAVING)
    async with serving(engine("i-1", script)) as entry:
        first = asyncio.create_task(entry.ask("/long/x"))
        await asyncio.sleep(0.1)
        refused = await entry.ask("/long/x")
        got = await first
    assert (got.status, got.complete) == (200, True)
    assert refused.status == 503


async def test_group_of_which_all_leave_refuses_at_once():
    script = HeaderScript(answer(), LEAVING)
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/order/0")
        got = await asyncio.wait_for(entry.ask("/order/1"), 0.2)
    assert got.status == 503
    assert "retry-after" in got.headers


async def test_prompt_that_has_been_read_is_not_sent_to_an_engine_that_leaves():
    """Guards against sending what was decided before an engine said that it leaves."""
    script = HeaderScript(EngineScript())
    one, two = engine("i-1", script), engine("i-2", EngineScript())
    reader = engine("i-3", EngineScript(prefill_seconds=0.3), "prefill")
    async with serving(one, two, reader) as entry:
        asked = [entry.ask("/long/x", **LONG_PROMPT) for _ in range(6)]
        running = asyncio.gather(*asked)
        await asyncio.sleep(0.1)
        for upstream in entry.fleet.members("llm", 0.0):
            if upstream.name == "i-1":
                entry.fleet.on_leaving(upstream)
        got = await running
    assert one.received == []
    assert {answer.status for answer in got} == {200}


async def test_request_that_waits_for_a_permit_does_not_go_to_an_upstream_that_leaves():
    script = LimitedScript(answer(), "12")
    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        got = [await entry.ask("/read/x") for _ in range(6)]
        assert {one.status for one in got} == {200}
        (upstream,) = entry.fleet.members("plain", 0.0)
        waiting = asyncio.create_task(entry.ask("/read/x"))
        await asyncio.sleep(0.01)
        arrived = len(replica.received)
        assert not waiting.done()
        entry.fleet.on_leaving(upstream)
        assert (await waiting).status == 503
    assert len(replica.received) == arrived


async def test_word_holds_through_updates_and_lapses_and_ends_with_the_incarnation():
    script = HeaderScript(answer(), LEAVING)
    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        await entry.ask("/read/x")
        script.line = ""
        entry.register(replica, sequence=9)
        assert (await entry.ask("/read/x")).status == 503
        entry.fleet.remove("servers/i-1", entry.revision + 1)
        entry.revision += 2
        entry.register(replica, sequence=10)
        assert (await entry.ask("/read/x")).status == 503
        entry.register(replica, born=77)
        assert (await entry.ask("/read/x")).status == 200


async def test_word_of_another_upstream_at_the_same_address_is_not_heard():
    """Guards against leaving an upstream alone for a reply that is not its own."""

    async def script(replica, received, writer):
        lines = "HTTP/1.1 421 Word\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
        writer.write(lines.encode())

    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/x")
        assert len(entry.fleet.members("plain", 0.0)) == 1


async def test_upstream_that_said_it_leaves_has_not_crashed(caplog):
    """Guards against taking the end of an upstream that left for a crash."""
    caplog.set_level(logging.INFO)

    async def script(replica, received, writer):
        writer.write(head(200, received.request_id, LEAVING, *STREAM_HEADERS))
        writer.write(chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(0.05)
        replica.server.close()
        reset(writer)

    async with serving(engine("i-1", script)) as entry:
        await entry.ask("/talk/x")
        await asyncio.sleep(0.5)
    assert "upstream has crashed" not in caplog.text
