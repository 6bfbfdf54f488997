"""Tests of several entries, as processes, before upstreams that name a limit."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import pytest

from direct_support import config
from direct_support import engine
from direct_support import registration
from limit_support import LimitedScript
from limit_support import allowed
from limit_support import send_steadily
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from test_direct_process import process

PROMPT = {"X_Token_Count": "400,9", "X_Prompt_Prefix": "aa:100,bb:300"}
LONG_PROMPT = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:2000,bb:10000"}


@contextlib.asynccontextmanager
async def running(*replicas, entries=4):
    """Run entries before replicas; yield the entries by name."""
    names = [f"entry-{number}" for number in range(entries)]
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(Store())
        store.put("op/config", config())
        for replica in replicas:
            await stack.enter_async_context(replica)
            store.put(f"servers/{replica.name}", registration(replica))
        started = [await stack.enter_async_context(process(store, n)) for n in names]
        for one in started:
            await one.until_ready()
        yield dict(zip(names, started, strict=True))


def limited_plain():
    script = LimitedScript(answer(), "5")
    return script, [Replica("i-1", script)], "/read/x", {}


def limited_decode_engine():
    script = LimitedScript(EngineScript(), "5")
    return script, [engine("i-1", script)], "/long/x", PROMPT


def limited_prefill_engine():
    script = LimitedScript(EngineScript(), "5")
    others = [engine("i-2", EngineScript())]
    return script, [engine("i-1", script, "prefill"), *others], "/long/x", LONG_PROMPT


@pytest.mark.parametrize(
    "fleet", [limited_plain, limited_decode_engine, limited_prefill_engine]
)
async def test_entries_together_keep_to_the_limit_of_an_upstream(fleet):
    """Guards against sending an upstream more requests than its replies ask for."""
    script, replicas, target, headers = fleet()
    async with running(*replicas) as entries:
        ports = {name: entry.port for name, entry in entries.items()}
        statuses = await send_steadily(ports, target, 8.0, 9.0, **headers)
    assert set(script.record.told) == set(ports)
    assert script.record.most_in_a_span() <= allowed(5.0)
    assert set(statuses) <= {200, 503}


@pytest.mark.parametrize("stop", [signal.SIGKILL, signal.SIGSTOP])
async def test_limit_is_kept_to_and_used_while_entries_are_lost(stop):
    """Guards against a limit that depends on a single entry."""
    script, replicas, target, headers = limited_plain()
    async with running(*replicas) as entries:
        lost = ["entry-0", "entry-1"]
        ports = {n: entry.port for n, entry in entries.items() if n not in lost}
        sending = asyncio.create_task(
            send_steadily(ports, target, 12.0, 10.0, **headers)
        )
        await asyncio.sleep(4.0)
        for name in lost:
            entries[name].process.send_signal(stop)
        statuses = await sending
    assert script.record.most_in_a_span() <= allowed(5.0)
    assert statuses[200] >= 20
