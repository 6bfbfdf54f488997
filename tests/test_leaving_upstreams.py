"""Tests of upstreams that say in their replies that they leave."""

from __future__ import annotations

import logging

import pytest

from bergamotmast.platform.headers import PlatformDialect
from direct_support import engine
from direct_support import registration
from direct_support import serving
from limit_support import HeaderScript
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer

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
