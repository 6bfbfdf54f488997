"""A caller that connects as the entry stops taking is closed at once, or answered.

The caller's connection is taken off the queue, and the entry stops taking two turns of
the event loop later, when the connection has no protocol yet: it is not among those
that are closed as idle. It stays open, is nobody's to wait for, and a request that
comes on it later is passed on to a replica and cut off when the process ends.
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


async def stopping(entry, turns):
    """Connect a caller, and stop taking so many turns of the event loop later."""
    raw = socket.create_connection(("127.0.0.1", entry.port))
    raw.setblocking(False)
    for _ in range(turns):
        await asyncio.sleep(0)
    entry.front.ending = True
    await entry.listening.stop_taking()
    return raw


@pytest.mark.parametrize("turns", range(9))
async def test_connection_taken_as_the_entry_stops_taking_does_not_stay_open(turns):
    """It brings no request: within a moment it is closed, or was never taken."""
    async with serving(Replica("i-1", answer())) as entry:
        raw = await stopping(entry, turns)
        with raw, contextlib.suppress(ConnectionError):
            loop = asyncio.get_running_loop()
            assert await asyncio.wait_for(loop.sock_recv(raw, 1), 0.5) == b""


@pytest.mark.parametrize("turns", range(9))
async def test_request_on_a_connection_taken_as_the_entry_stops_taking(turns):
    """It brings a request half a second later, just before the entry ends.

    The entry ends as soon as no request is at work. What has reached a replica is
    answered; what the entry doesn't answer has reached none.
    """

    async def slow(replica, received, writer):
        await asyncio.sleep(0.6)
        await answer()(replica, received, writer)

    replica = Replica("i-1", slow)
    async with serving(replica) as entry:
        raw = await stopping(entry, turns)
        status = 0
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            reader, writer = await asyncio.open_connection(sock=raw)
            await asyncio.sleep(0.5)
            writer.write(request("/read/x", request_id="late"))
            while entry.front.busy:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.02)
            await entry.listening.close()
            status = (await asyncio.wait_for(read_answer(reader), 2)).status
            writer.close()
        raw.close()
        ids = [received.request_id for received in replica.received]
    assert (status, ids) in [(0, []), (200, ["late"])]
