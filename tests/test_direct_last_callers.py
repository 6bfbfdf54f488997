"""Tests of connections that are accepted just as an entry stops accepting requests.

Guards against a connection that is accepted but has no protocol object yet when idle
connections are closed, two iterations of the event loop later. It would stay open and
not be waited for, and a request that arrives on it would be forwarded to a replica and
cut off when the process exits. Such a connection must be closed or its request served.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from direct_support import read_answer
from direct_support import request
from direct_support import serving
from platform_standin import Replica
from platform_standin import answer


async def stop_accepting_after(entry, turns):
    """Connect a caller, and stop accepting after so many event loop iterations."""
    raw = socket.create_connection(("127.0.0.1", entry.port))
    raw.setblocking(False)
    for _ in range(turns):
        await asyncio.sleep(0)
    entry.frontend.shutting_down = True
    await entry.listener.stop_accepting_requests()
    return raw


@pytest.mark.parametrize("turns", range(9))
async def test_connection_accepted_as_the_entry_stops_accepting_is_closed(turns):
    """Without a request, the connection is closed soon or was never accepted."""
    async with serving(Replica("i-1", answer())) as entry:
        raw = await stop_accepting_after(entry, turns)
        with raw, contextlib.suppress(ConnectionError):
            loop = asyncio.get_running_loop()
            assert await asyncio.wait_for(loop.sock_recv(raw, 1), 0.5) == b""


@pytest.mark.parametrize("turns", range(9))
async def test_request_on_a_connection_accepted_as_the_entry_stops_accepting(turns):
    """A request arrives half a second later, just before the entry exits.

    The entry exits as soon as no request is running. A request that has reached a
    replica gets its response; one without a response has reached no replica.
    """

    async def slow(replica, received, writer):
        await asyncio.sleep(0.6)
        await answer()(replica, received, writer)

    replica = Replica("i-1", slow)
    async with serving(replica) as entry, contextlib.AsyncExitStack() as stack:
        raw = await stop_accepting_after(entry, turns)
        stack.callback(raw.close)
        status = 0
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            reader, writer = await asyncio.open_connection(sock=raw)
            stack.callback(writer.close)
            await asyncio.sleep(0.5)
            writer.write(request("/read/x", request_id="late"))
            while entry.frontend.busy:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.02)
            await entry.listener.close()
            status = (await asyncio.wait_for(read_answer(reader), 2)).status
        ids = [received.request_id for received in replica.received]
    assert (status, ids) in [(0, []), (200, ["late"])]
