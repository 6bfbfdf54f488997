"""Requests that could lose their answer while a process shuts down."""

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
from bergamotmast.serving import HttpListener
from process_fleet import process_fleet
from test_daemon_stopping import exit_status
from test_daemon_stopping import stream
from test_serving import REQUEST
from test_serving import Frontend
from test_serving import connect

MAX_IDLE_CLOSE_SECONDS = 1.0
"""Seconds within which an idle connection is closed, whatever its caller does."""


async def test_process_without_a_free_descriptor_stops_accepting():
    """Shutdown with no free descriptor must not abort the requests in flight.

    To accept the last connections of the backlog, the listening socket is duplicated.
    Without a free descriptor that raises, and the error ended the process before its
    responses were sent.
    """
    front = Frontend(pace=0.3)
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
        await listening.stop_accepting_requests()
        assert await listening.wait_until_closed(asyncio.get_running_loop().time() + 2)
    loop = asyncio.get_running_loop()
    got = await asyncio.wait_for(loop.sock_recv(raw, 1000), 1)
    assert got.count(b"200 OK") == 1
    raw.close()
    await listening.close()


@pytest.mark.parametrize("turns", range(16))
async def test_request_that_arrives_while_accepting_stops_is_answered(turns):
    """A request arrives on a keep-alive connection while idle ones are searched for.

    Connections are not read during the search: the request waits in the system's
    receive buffer, and closing its connection would reset it.
    """
    front = Frontend()
    listening = await front.listen()
    raw = connect(listening)
    raw.send(REQUEST)
    loop = asyncio.get_running_loop()
    assert b"200 OK" in await asyncio.wait_for(loop.sock_recv(raw, 1000), 2)
    stopping = asyncio.create_task(listening.stop_accepting_requests())
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
    listening = HttpListener(server, "127.0.0.1:0", front.busy, context)
    await listening.start()
    try:
        yield listening
    finally:
        await listening.close()


async def test_idle_tls_connection_that_reads_nothing_does_not_delay_shutdown(tls):
    """An idle entry with TLS must not shut down half a minute late.

    A caller keeps a connection without reading from it, as pools of blocking clients
    do. Closing it sends "close notify" and waits up to 30 s for the caller's own; for
    that time the entry counted the connection as one with a response in flight.
    """
    server, caller = tls
    front = Frontend()
    async with tls_listening(front, server) as listening:

        def ask():
            raw = socket.create_connection(listening.runner.addresses[0])
            kept = caller.wrap_socket(raw, server_hostname="127.0.0.1")
            kept.sendall(REQUEST)
            assert b"200 OK" in kept.recv(1000)
            return kept

        loop = asyncio.get_running_loop()
        kept = await loop.run_in_executor(None, ask)
        await listening.stop_accepting_requests()
        wait_until_closed = await listening.wait_until_closed(
            loop.time() + MAX_IDLE_CLOSE_SECONDS
        )
        kept.close()
    assert wait_until_closed


@pytest.mark.parametrize("turns", range(16))
async def test_tls_request_that_arrives_while_accepting_stops_is_answered(tls, turns):
    """A TLS connection must not be closed as idle after its request has arrived.

    The check for unread bytes of an idle connection looks at the system's receive
    buffer. With TLS the library goes on reading and buffers the data itself: the check
    finds nothing, and the request is discarded with the connection.
    """
    server, caller = tls
    front = Frontend()
    async with tls_listening(front, server) as listening:
        reader, writer = await asyncio.open_connection(
            *listening.runner.addresses[0], ssl=caller, server_hostname="127.0.0.1"
        )
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(2)
        stopping = asyncio.create_task(listening.stop_accepting_requests())
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


async def test_tls_disconnects_while_accepting_stops_raise_no_error(tls):
    """Shutdown with TLS must not fail, and abort requests, when idle callers leave.

    Idle callers disconnect while idle connections are searched for. The system's socket
    is closed one iteration of the event loop before the library reports it: a check for
    unread bytes in between raises, and the error ended the process.
    """
    server, caller = tls
    front = Frontend()
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
        stopping = asyncio.create_task(listening.stop_accepting_requests())
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
async def test_request_whose_head_has_partly_arrived_is_answered(part):
    """A connection must not be closed as idle while its request is being sent.

    A long head arrives in two packets, and accepting stops between them. The part that
    was read has no handler yet and nothing is left unread, so the connection looks
    idle. A caller that sends all within 50 ms is not slow and must be answered.
    """
    front = Frontend()
    listening = await front.listen()
    raw = connect(listening)
    raw.send(REQUEST[:part])
    await asyncio.sleep(0.03)
    stopping = asyncio.create_task(listening.stop_accepting_requests())
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


async def test_claim_is_completed_though_another_request_is_aborted_at_shutdown(
    tmp_path,
):
    """The replay of an answered order must not end as "may have run".

    The entry defers the record of the answer for two seconds at most, and writes what
    is deferred at shutdown, but did so only after the last answer was sent: with a
    stream still running when the time was over, the process ended without that write.
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
            assert await exit_status(f, "entry-1") == 0
            await long
        again = await order(f.urls["entry-2"], "key-1")
    assert first[0] == 200
    assert again == first


async def test_shutdown_with_an_unresponsive_store_ends_in_time(tmp_path):
    """An entry must end within its shutdown time though the store does not reply.

    An order was answered shortly before, and the write of its claim is deferred. The
    store accepts calls and answers none. The timeout of that write, two seconds,
    expires in the same loop iteration as the call's own two seconds. The HTTP library
    swallows it: if its timeout and another one cancel a call at once, it uncancels
    both, and the platform would kill the process.
    """
    flags = ("--shutdown-seconds", "6")
    async with process_fleet(tmp_path, 0, 1, 1, entry_flags=flags) as f:
        signaled_at = time.monotonic()
        f.signal("entry-1", signal.SIGTERM)
        await asyncio.sleep(4.6)
        assert (await order(f.urls["entry-1"], "key-1"))[0] == 200
        f.signal("key-value", signal.SIGSTOP)
        assert await exit_status(f, "entry-1") == 0
        seconds = time.monotonic() - signaled_at
        f.signal("key-value", signal.SIGCONT)
    assert seconds < 8.0
