"""Fixtures: a direct entry as a process, and requests of its callers."""

from __future__ import annotations

import asyncio
import contextlib

from direct_support import config
from direct_support import registration
from direct_support import route
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from test_direct_process import Process
from test_direct_process import process

TIME = {"timeout-ms": 20_000, "target-latency-ms": 4_000}

ROUTES = [
    route("/order/", "unsafe", **TIME | {"max-attempts": 1}),
    route("/read/", "safe", **TIME),
    route("/talk/", "streaming", "llm", resumable=False, **TIME),
]

CALLER = {"X_Deadline_Ms": "20000", "X_Token_Count": "400,80"}

SOON = "1.5"
"""Seconds from SIGTERM to the end of a process; requests are served for 0.5 of them."""


@contextlib.asynccontextmanager
async def entry_before(*replicas: Replica, seconds: str = SOON, store=None):
    """Start replicas, and a direct entry as a process in front of them."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(store or Store())
        store.put("op/config", config(routes=ROUTES))
        for replica in replicas:
            await stack.enter_async_context(replica)
            store.put(f"servers/{replica.name}", registration(replica))
        entry = await stack.enter_async_context(process(store, seconds=seconds))
        await entry.until_ready()
        yield entry, store


async def send(entry: Process, data: bytes):
    """Send a request to an entry on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    writer.write(data)
    return reader, writer


async def connect_soon(port: int, seconds: float = 2):
    """Connect to a port, retrying until a process listens on it."""
    async with asyncio.timeout(seconds):
        while True:
            with contextlib.suppress(ConnectionError):
                return await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(0.02)


async def slow_answer(replica: Replica, received: Received, writer) -> None:
    """Respond after one second."""
    await asyncio.sleep(1.0)
    await answer()(replica, received, writer)
