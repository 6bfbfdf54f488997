"""Tests of shutdown: requests that were read are answered, and no others are read."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest

from direct_support import read_answer
from direct_support import request
from direct_support import serving
from platform_standin import Received
from platform_standin import Replica
from platform_standin import answer


async def idle_connection(entry):
    """Return a keep-alive connection on which a request has been answered."""
    raw = socket.create_connection(("127.0.0.1", entry.port))
    raw.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=raw)
    writer.write(request("/read/x", request_id="before"))
    assert (await read_answer(reader)).status == 200
    return raw, reader, writer


@pytest.mark.parametrize("turns", range(9))
async def test_request_that_arrives_as_the_entry_stops_accepting(turns):
    """Guards against cutting off a request that arrives as idle connections are closed.

    Either the request is never read, and its caller may send it elsewhere, or it is
    read and gets a complete response. Otherwise its outcome would be unknown.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        raw, reader, writer = await idle_connection(entry)
        raw.send(request("/read/x", request_id="late"))
        for _ in range(turns):
            await asyncio.sleep(0)
        entry.frontend.shutting_down = True
        await entry.listener.stop_accepting_requests()
        status = 0
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            status = (await asyncio.wait_for(read_answer(reader), 2)).status
        await asyncio.sleep(0.05)
        ids = [received.request_id for received in replica.received]
        writer.close()
    assert (status, ids) in [(0, ["before"]), (200, ["before", "late"])]


async def outcome(reader):
    """Return the status of a response; 0 for a connection closed without one."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        return (await asyncio.wait_for(read_answer(reader), 2)).status
    return 0


async def test_requests_that_arrive_while_the_event_loop_is_blocked_are_served():
    """Guards against closing a connection whose request has no handler yet.

    The event loop is blocked for 80 ms, as by garbage collection, until the entry stops
    accepting requests 2.6 s after SIGTERM. In one iteration it then reads two requests
    and closes idle connections. Both requests would run at their upstreams, and their
    callers would see closed connections.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        kept = [await idle_connection(entry) for _ in range(2)]

        async def end_taking():
            await asyncio.sleep(0.05)
            entry.frontend.shutting_down = True
            await entry.listener.stop_accepting_requests()

        ending = asyncio.create_task(end_taking())
        await asyncio.sleep(0.01)
        for number, (raw, _, _) in enumerate(kept):
            raw.send(request("/read/x", request_id=f"late-{number}"))
        time.sleep(0.08)
        await ending
        statuses = [await outcome(reader) for _, reader, _ in kept]
        await asyncio.sleep(0.05)
        ids = {received.request_id for received in replica.received}
        for _, _, writer in kept:
            writer.close()
    assert statuses == [200, 200]
    assert ids == {"before", "late-0", "late-1"}


async def test_body_that_is_still_arriving_is_read_to_its_end():
    """Guards against dropping a request whose body arrives during the shutdown.

    Its headers were read before the entry stopped accepting requests: it gets its
    response, and then the connection is closed.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        raw, reader, writer = await idle_connection(entry)
        whole = request("/read/x", body=b"x" * 1000, request_id="slow")
        writer.write(whole[:-900])
        await asyncio.sleep(0.05)
        entry.frontend.shutting_down = True
        await entry.listener.stop_accepting_requests()
        assert entry.frontend.busy
        writer.write(whole[-900:])
        got = await asyncio.wait_for(read_answer(reader), 2)
        assert got.status == 200
        assert await asyncio.wait_for(reader.read(), 2) == b""
        assert not entry.frontend.busy
        writer.close()


async def test_response_started_before_the_shutdown_closes_its_connection():
    """Guards against a connection that stays open after a response without "close".

    The response started before the entry stopped accepting requests; another request on
    the connection would be cut off.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        await asyncio.sleep(0.1 if received.request_id == "slow" else 0)
        await answer()(replica, received, writer)

    async with serving(Replica("i-1", script)) as entry:
        raw, reader, writer = await idle_connection(entry)
        writer.write(request("/read/x", request_id="slow"))
        await asyncio.sleep(0.03)
        entry.frontend.shutting_down = True
        await entry.listener.stop_accepting_requests()
        assert (await read_answer(reader)).status == 200
        assert await asyncio.wait_for(reader.read(), 2) == b""
        writer.close()
