"""Connections within the limits of a process, in front of a replica stand-in."""

from __future__ import annotations

import asyncio
import contextlib

from bergamotmast.callers.guard import CallerGuard
from bergamotmast.policy.caller_memory import MemoryLimits
from direct_support import direct_entry
from direct_support import read_answer
from direct_support import request
from platform_standin import Replica
from platform_standin import answer


def guard_of(entry) -> CallerGuard:
    return entry.listener.server.limits.guard


def limit_memory(entry, total):
    guard_of(entry).limits = MemoryLimits(total)


@contextlib.asynccontextmanager
async def connected(entry, data):
    """Open a connection and send something on it."""
    reader, writer = await entry.connect()
    try:
        writer.write(data)
        await writer.drain()
        yield reader, writer
    finally:
        writer.close()


async def test_shortage_of_memory_ends_no_request_that_runs():
    """A crowd of connections cuts off a request that is already at an upstream."""
    async with (
        Replica("i-1", answer()) as replica,
        direct_entry(replica) as entry,
    ):
        started, go_on = asyncio.Event(), asyncio.Event()

        async def script(upstream, received, writer):
            started.set()
            await go_on.wait()
            await answer()(upstream, received, writer)

        replica.script = script
        async with connected(entry, request("/read/x")) as (running, _):
            await started.wait()
            async with contextlib.AsyncExitStack() as stack:
                limit_memory(entry, 1)
                for _ in range(4):
                    await stack.enter_async_context(connected(entry, b""))
                async with connected(entry, request("/read/y")) as (reader, _):
                    assert (await read_answer(reader)).status == 503
            go_on.set()
            assert (await read_answer(running)).status == 200
    assert len(replica.received) == 1
