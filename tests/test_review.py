"""Ways in which a request can still lose its answer as a process ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import socket
import ssl
import time

import aiohttp
import pytest
import trustme
from aiohttp import web

from bergamotmast.load import LoadDriver
from bergamotmast.serving import Listening
from process_fleet import process_fleet
from test_daemon_stopping import ended
from test_daemon_stopping import stream
from test_serving import REQUEST
from test_serving import Front
from test_serving import connect

SOON_SECONDS = 1.0
"""An idle connection is closed within so long, whatever its caller does."""


async def test_a_process_without_a_free_descriptor_stops_taking():
    """Every caller at work is cut off as an entry with all descriptors in use ends.

    To take the last connections of the queue, the listening socket is duplicated. With
    no descriptor free that raises, and the error ends the process before its answers.
    """
    front = Front(pace=0.3)
    listening = await front.listen()
    raw = connect(listening)
    raw.send(REQUEST)
    await asyncio.sleep(0.1)
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(map(int, os.listdir("/proc/self/fd")))
    with contextlib.ExitStack() as stack:
        stack.callback(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, limits[1]))
        with contextlib.suppress(OSError):
            while True:
                stack.enter_context(socket.socket())
        await listening.stop_taking()
        assert await listening.wait_until_closed(asyncio.get_running_loop().time() + 2)
    loop = asyncio.get_running_loop()
    got = await asyncio.wait_for(loop.sock_recv(raw, 1000), 1)
    assert got.count(b"200 OK") == 1
    raw.close()
    await listening.close()


@pytest.mark.parametrize("turns", range(16))
async def test_a_request_within_the_steps_in_which_taking_stops_is_answered(turns):
    """A kept connection brings a request while idle ones are looked for.

    They are not read meanwhile: the request waits in the system's receive buffer, and
    closing its connection would reset it.
    """
    front = Front()
    listening = await front.listen()
    raw = connect(listening)
    raw.send(REQUEST)
    loop = asyncio.get_running_loop()
    assert b"200 OK" in await asyncio.wait_for(loop.sock_recv(raw, 1000), 2)
    stopping = asyncio.create_task(listening.stop_taking())
    for _ in range(turns):
        await asyncio.sleep(0)
    too_late = stopping.done()
    got = b""
    with contextlib.suppress(ConnectionError):
        raw.send(REQUEST)
        got = await asyncio.wait_for(loop.sock_recv(raw, 1000), 2)
    await stopping
    raw.close()
    await listening.close()
    assert too_late or got.count(b"200 OK") == 1


@pytest.fixture(scope="module")
def tls():
    """Return the contexts of a server and of its callers."""
    election = trustme.CA()
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    election.issue_cert("127.0.0.1").configure_cert(server)
    caller = ssl.create_default_context()
    election.configure_trust(caller)
    return server, caller


@contextlib.asynccontextmanager
async def tls_listening(front, context):
    server = web.Server(front.handle, access_log=None)
    listening = Listening(server, "127.0.0.1:0", front.busy, context)
    await listening.start()
    try:
        yield listening
    finally:
        await listening.close()


async def test_an_idle_caller_over_tls_that_reads_nothing_does_not_hold_the_end_up(tls):
    """An entry with TLS that has nothing to do ends half a minute late.

    A caller keeps a connection without looking at it, as pools of blocking clients do.
    Closing it sends "close notify" and waits for the caller's own, for 30 s; so long
    the entry takes the connection for one whose answer is still going out.
    """
    server, caller = tls
    front = Front()
    async with tls_listening(front, server) as listening:

        def ask():
            raw = socket.create_connection(listening.runner.addresses[0])
            kept = caller.wrap_socket(raw, server_hostname="127.0.0.1")
            kept.sendall(REQUEST)
            assert b"200 OK" in kept.recv(1000)
            return kept

        loop = asyncio.get_running_loop()
        kept = await loop.run_in_executor(None, ask)
        await listening.stop_taking()
        wait_until_closed = await listening.wait_until_closed(
            loop.time() + SOON_SECONDS
        )
        kept.close()
    assert wait_until_closed


@pytest.mark.parametrize("turns", range(16))
async def test_a_request_over_tls_as_taking_stops_is_answered(tls, turns):
    """A caller over TLS finds its connection closed though its request had arrived.

    While an idle connection is not read, the look for unread bytes asks the system's
    receive buffer. With TLS the library reads on and keeps what came to itself: the
    look finds nothing, and the request is thrown away with the connection.
    """
    server, caller = tls
    front = Front()
    async with tls_listening(front, server) as listening:
        reader, writer = await asyncio.open_connection(
            *listening.runner.addresses[0], ssl=caller, server_hostname="127.0.0.1"
        )
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(2)
        stopping = asyncio.create_task(listening.stop_taking())
        for _ in range(turns):
            await asyncio.sleep(0)
        too_late = stopping.done()
        writer.write(REQUEST)
        got = b""
        with contextlib.suppress(ConnectionError):
            got = await asyncio.wait_for(reader.read(1000), 2)
        await stopping
        writer.close()
    assert too_late or got.count(b"200 OK") == 1


async def test_callers_over_tls_that_leave_as_taking_stops_end_nothing(tls):
    """An entry with TLS fails as it stops, and cuts off what it still answers.

    Idle callers leave in the very moment in which idle connections are looked for. The
    system's socket is closed one turn of the event loop before the library tells of it:
    asked for unread bytes in between, it raises, and the error ends the process.
    """
    server, caller = tls
    front = Front()
    async with tls_listening(front, server) as listening:
        kept = [
            await asyncio.open_connection(
                *listening.runner.addresses[0], ssl=caller, server_hostname="127.0.0.1"
            )
            for _ in range(30)
        ]
        for _, writer in kept:
            writer.write(REQUEST)
        for reader, _ in kept:
            await reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.create_task(listening.stop_taking())
        for number, (_, writer) in enumerate(kept):
            if number % 2:
                writer.transport.abort()
            else:
                writer.close()
            await asyncio.sleep(0)
        await stopping
        for connection in listening.server.connections:
            assert connection.transport is None or connection.transport.is_closing()


@pytest.mark.parametrize("part", [4, len(REQUEST) - 2])
async def test_a_request_whose_head_has_come_in_part_is_answered(part):
    """A caller finds its connection closed in the midst of sending its request.

    A long head comes in two packets, a moment apart, and taking stops between them.
    What was read has no handler and nothing waits unread, so the connection passes for
    idle. It is not: a caller that sent all within 50 ms has not been slow.
    """
    front = Front()
    listening = await front.listen()
    raw = connect(listening)
    raw.send(REQUEST[:part])
    await asyncio.sleep(0.03)
    stopping = asyncio.create_task(listening.stop_taking())
    await asyncio.sleep(0.02)
    got = b""
    with contextlib.suppress(ConnectionError):
        raw.send(REQUEST[part:])
        loop = asyncio.get_running_loop()
        got = await asyncio.wait_for(loop.sock_recv(raw, 1000), 2)
    await stopping
    raw.close()
    await listening.close()
    assert got.count(b"200 OK") == 1


async def order(url: str, key: str) -> tuple[int, bytes]:
    async with aiohttp.ClientSession() as session:
        headers = {"Idempotency-Key": key}
        path = url + "/services/orders"
        async with session.post(path, data=b"box", headers=headers) as response:
            return response.status, await response.read()


async def test_a_claim_is_completed_though_another_request_is_left_at_the_end(tmp_path):
    """An order was answered, and its replay is told that it may have run.

    Its entry puts the record of the answer off, for two seconds at most, and writes
    what it has put off as it ends. But only once its last answer is out: here a stream
    is under way when the time is over, and the process ends without that write.
    """
    flags = ("--shutdown-seconds", "6")
    async with process_fleet(
        tmp_path, 1, 1, 2, entry_flags=flags, service_seconds=0.2
    ) as f:
        async with aiohttp.ClientSession() as session:
            driver = LoadDriver(session, f.urls["entry-1"], f.history)
            long = asyncio.create_task(driver.send(stream(0.0, 1, 4_000)))
            await asyncio.sleep(0.3)
            f.signal("entry-1", signal.SIGTERM)
            await asyncio.sleep(4.6)
            first = await order(f.urls["entry-1"], "key-1")
            assert await ended(f, "entry-1") == 0
            await long
        again = await order(f.urls["entry-2"], "key-1")
    assert first[0] == 200
    assert again == first


async def test_an_entry_with_a_silent_store_ends_in_its_time(tmp_path):
    """An entry that is to end in six seconds is killed by its platform.

    An order was answered a moment before; the write of its claim has been put off. The
    store takes calls and answers none. The bound of that write, two seconds, is over in
    the same pass as the call's own two seconds, and the HTTP library swallows it: where
    its timeout and another one cancel a call at once, it takes both back.
    """
    flags = ("--shutdown-seconds", "6")
    async with process_fleet(tmp_path, 0, 1, 1, entry_flags=flags) as f:
        told_at = time.monotonic()
        f.signal("entry-1", signal.SIGTERM)
        await asyncio.sleep(4.6)
        assert (await order(f.urls["entry-1"], "key-1"))[0] == 200
        f.signal("key-value", signal.SIGSTOP)
        assert await ended(f, "entry-1") == 0
        seconds = time.monotonic() - told_at
        f.signal("key-value", signal.SIGCONT)
    assert seconds < 8.0
