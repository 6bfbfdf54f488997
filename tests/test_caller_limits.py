"""Connections within the limits of a process, in front of a replica stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource

import pytest

from bergamotmast.callers.connection import MAX_AHEAD_REQUESTS
from bergamotmast.callers.guard import CallerGuard
from bergamotmast.callers.guard import DescriptorLimits
from bergamotmast.callers.guard import ListenerLimits
from bergamotmast.direct.http_frontend import HttpCallerBody
from bergamotmast.errors import ResultCode
from bergamotmast.policy.caller_memory import SMALL_BODY_BYTES
from bergamotmast.policy.caller_memory import MemoryLimits
from direct_support import HOST
from direct_support import direct_entry
from direct_support import read_answer
from direct_support import request
from platform_standin import Replica
from platform_standin import answer

LARGE = 2 * SMALL_BODY_BYTES


def guard_of(entry) -> CallerGuard:
    return entry.listener.server.limits.guard


def limit_memory(entry, total=20_000_000, large_bodies=10_000_000):
    guard = guard_of(entry)
    entry.listener.server.limits = ListenerLimits(guard, lambda: LARGE)
    guard.limits = MemoryLimits(total, large_bodies, 1, 1, 1, 1)
    guard.grants.limits = guard.limits


def large_request(sent, request_id="id-1", target="/read/x", size=LARGE):
    """Return a request with a large body of which only the first bytes are sent."""
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 60000",
        f"Content-Length: {size}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + bytes(sent)


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


def bodies_in_memory():
    return sum(type(each) is HttpCallerBody for each in gc.get_objects())


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("descriptors", "callers"), [(4_100, 1_906), (1_638, 675), (400, 56), (256, 16)]
)
def test_callers_get_half_of_the_descriptors_that_are_left(
    descriptors, callers, monkeypatch
):
    """Callers take the descriptors of upstreams, or get none where there are few."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (100_000, 100_000))
    assert DescriptorLimits.of_process(descriptors).callers == callers


async def test_stalled_body_is_refused_as_not_run_once_another_waits():
    """Callers that stop short of their end keep others' bodies from being read."""
    async with (
        Replica("i-1", answer()) as replica,
        direct_entry(replica) as entry,
    ):
        limit_memory(entry, large_bodies=2 * LARGE)
        async with connected(entry, large_request(LARGE - 1)) as (stalled, writer):
            await until(lambda: guard_of(entry).grants.granted)
            waits = large_request(LARGE, "id-2")
            async with connected(entry, waits) as (reader, _):
                assert (await read_answer(reader)).status == 200
            refusal = await read_answer(stalled)
            # The rest of the body comes after the refusal, and resets nothing.
            writer.write(b"x")
            assert await stalled.read() == b""
    assert refusal.status == 503
    assert refusal.body.startswith(str(int(ResultCode.CALLERS_LIMITED)).encode())
    assert float(refusal.headers["retry-after"]) > 0
    assert refusal.headers["connection"] == "close"
    assert [received.request_id for received in replica.received] == ["id-2"]


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
                limit_memory(entry, 1, 1)
                for _ in range(4):
                    await stack.enter_async_context(connected(entry, b""))
                async with connected(entry, request("/read/y")) as (reader, _):
                    assert (await read_answer(reader)).status == 503
            go_on.set()
            assert (await read_answer(running)).status == 200
    assert len(replica.received) == 1


async def test_requests_sent_ahead_are_answered_in_order():
    """Nothing is read any more once requests that were sent ahead are handled."""
    count = 10 * MAX_AHEAD_REQUESTS
    async with Replica("i-1", answer()) as replica, direct_entry(replica) as entry:
        ahead = b"".join(
            request(f"/read/{number}", request_id=f"id-{number}", body=bytes(3_000))
            for number in range(count)
        )
        async with connected(entry, ahead) as (reader, _):
            answers = [await read_answer(reader) for _ in range(count)]
    assert [got.headers["x-request-id"] for got in answers] == [
        f"id-{number}" for number in range(count)
    ]


async def test_refused_body_is_freed_at_once():
    """The error's traceback keeps what was read until the next garbage collection."""
    async with Replica("i-1", answer()) as replica, direct_entry(replica) as entry:
        limit_memory(entry, large_bodies=2 * LARGE)
        gc.collect()
        gc.disable()
        try:
            async with connected(entry, large_request(LARGE - 1)) as (stalled, _):
                await until(bodies_in_memory)
                async with connected(entry, large_request(LARGE)) as (reader, _):
                    assert (await read_answer(reader)).status == 200
                assert (await read_answer(stalled)).status == 503
            await until(lambda: not entry.listener.server.connections)
            assert not bodies_in_memory()
        finally:
            gc.enable()
        assert guard_of(entry).grants.granted == 0
        assert guard_of(entry).charges.held == 0


@pytest.mark.parametrize("target", ["/nowhere/x", "/read/x"])
async def test_request_whose_head_is_refused_holds_no_memory_for_its_body(target):
    """A caller without a route or an id holds a large body's memory meanwhile."""
    async with Replica("i-1", answer()) as replica, direct_entry(replica) as entry:
        limit_memory(entry)
        request_id = "id-1" if target == "/nowhere/x" else ""
        asked = large_request(100, request_id, target)
        async with connected(entry, asked) as (reader, _):
            refusal = await read_answer(reader)
            await until(lambda: not guard_of(entry).grants.granted)
    assert refusal.status == (404 if request_id else 400)
    assert replica.received == []
