"""Tests of callers that disconnect or send invalid requests, and idle connections."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import socket
import time
import typing as t

import pytest

from bergamotmast.direct import http_frontend
from bergamotmast.errors import ResultCode
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import request
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import answer
from platform_standin import event
from platform_standin import head
from platform_standin import reset


async def test_body_that_does_not_come_by_the_deadline():
    """Guards against waiting for a request's body beyond the caller's deadline.

    Nothing was sent to an upstream, and the caller is told so in time.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/order/x", body=b"x" * 1000, X_Deadline_Ms="300")
        writer.write(whole[:-900])
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 503
    assert got.headers["connection"] == "close"
    assert replica.received == []


async def test_request_body_with_an_invalid_chunk_is_refused():
    """An invalid chunk in a request's body: the caller gets an error in time.

    Nothing was sent to an upstream.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        sent = {"Transfer_Encoding": "chunked", "X_Deadline_Ms": "500"}
        writer.write(request("/order/x", body=b"", **sent) + b"3\r\nabc\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\n")
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status in (400, 503)
    assert replica.received == []


async def test_caller_that_expects_100_continue():
    """Guards against a deadlock with a caller that waits for ``100 Continue``."""
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/order/x", body=b"x" * 1000, Expect="100-continue")
        writer.write(whole[:-1000])
        said = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
        assert said == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(whole[-1000:])
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 200
    assert replica.received[0].body == b"x" * 1000


async def test_stream_to_an_http_1_0_caller():
    """A stream to an HTTP/1.0 caller has no chunks and ends with the connection."""
    async with serving(engine("i-1", EngineScript(last=3))) as entry:
        reader, writer = await entry.connect()
        sent = request("/talk/x", X_Token_Count="400,9")
        writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        got = await asyncio.wait_for(reader.read(), 2)
        writer.close()
    head, _, body = got.partition(b"\r\n\r\n")
    assert b" 200 " in head.split(b"\r\n")[0]
    assert b"chunked" not in head.lower()
    assert body.count(b"id:") == 3


async def test_truncated_stream_to_an_http_1_0_caller_ends_with_a_reset():
    """Guards against a truncated stream that looks complete: it ends with a reset."""
    script = EngineScript(last=3, break_after=2)
    async with serving(engine("i-1", script)) as entry:
        reader, writer = await entry.connect()
        sent = request("/talk/x", X_Token_Count="400,9")
        writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 2)
        writer.close()


async def test_disconnect_within_the_body_is_not_logged_as_an_error(caplog):
    """A caller disconnects before its body is complete.

    Guards against logging that as an error, and against sending the request.
    """
    caplog.set_level(logging.INFO)
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        _, writer = await entry.connect()
        writer.write(request("/order/x", body=b"x" * 1000)[:-900])
        await until(lambda: bool(entry.frontend.busy))
        writer.close()
        await until(lambda: not entry.frontend.busy)
    ended = [r for r in caplog.records if r.getMessage() == "request ended"]
    assert [record.code for record in ended] == [ResultCode.CANCELLED_BY_CALLER]
    assert not [r for r in caplog.records if r.levelno >= logging.WARNING]
    assert replica.received == []


@pytest.mark.parametrize(
    "framing", ["Content-Length: 5000000", "Transfer-Encoding: chunked"]
)
async def test_body_too_large_is_refused_before_it_has_arrived(framing):
    """A body over the limit is refused before the caller has sent the rest of it."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=config(**{"max-body-bytes": 1000})) as entry:
        reader, writer = await entry.connect()
        sent = request("/order/x", body=b"").removesuffix(b"\r\n")
        writer.write(sent + framing.encode() + b"\r\n\r\n7d0\r\n" + b"x" * 2000)
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 413
    assert got.headers["connection"] == "close"
    assert got.headers["x-request-id"] == "id-1"
    assert replica.received == []


@pytest.mark.parametrize("name", ["X-Request-Id", "X-Other"])
async def test_header_with_a_control_character_is_refused(name):
    """A header with a control character is refused: it can't be forwarded unchanged."""
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        sent = request("/order/x").replace(
            b"\r\n", f"\r\n{name}: a\x07b\r\n".encode(), 1
        )
        writer.write(sent)
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 400
    assert replica.received == []


@pytest.mark.parametrize("turns", range(6))
async def test_request_that_comes_as_its_connection_has_been_idle_too_long(
    turns, monkeypatch
):
    """A request arrives on an idle connection just as its keep-alive timeout expires.

    Either the request is not read, or it gets a response.
    """
    monkeypatch.setattr(http_frontend, "KEEPALIVE_SECONDS", 0.2)
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        caller = socket.create_connection(("127.0.0.1", entry.port))
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        sent = asyncio.Event()

        def send_after(left: int) -> None:
            if left:
                loop.call_soon(send_after, left - 1)
                return
            with contextlib.suppress(ConnectionError):
                caller.send(request("/order/x"))
            sent.set()

        await until(lambda: bool(entry.listener.server.connections))
        (connection,) = entry.listener.server.connections
        loop.call_at(connection._keepalive_handle.when() - 1e-4, send_after, turns)
        await sent.wait()
        got = b""
        with contextlib.suppress(ConnectionError):
            got = await asyncio.wait_for(loop.sock_recv(caller, 1 << 16), 1)
        caller.close()
        await asyncio.sleep(0.05)
    assert got.startswith(b"HTTP/1.1 200") is bool(replica.received)


async def test_pipelined_request_on_a_closing_connection_never_runs():
    """Two pipelined requests arrive during the shutdown.

    The first response says "Connection: close", by which HTTP tells the caller that the
    second request was not run: it must not run.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        entry.core.stopping = True
        reader, writer = await entry.connect()
        first = request("/order/x", request_id="first")
        writer.write(first + request("/order/x", request_id="second"))
        got = await asyncio.wait_for(read_answer(reader), 1)
        assert got.headers["connection"] == "close"
        assert await asyncio.wait_for(reader.read(), 1) == b""
        writer.close()
    assert [received.request_id for received in replica.received] == ["first"]


async def test_reset_of_an_idle_connection_is_not_logged(caplog):
    """Guards against a warning when a replica resets an idle connection."""

    async def script(replica: Replica, received: Received, writer) -> None:
        writer.write(head(200, received.request_id, "Content-Length: 4"))
        await asyncio.sleep(0.02)
        writer.write(b"fine")
        asyncio.get_running_loop().call_later(0.05, reset, writer)

    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        for _ in range(2):
            assert (await entry.ask("/read/x")).status == 200
            await asyncio.sleep(0.15)
            gc.collect()
    assert replica.connections == 2
    assert not [r for r in caplog.records if r.levelno >= logging.WARNING]


async def test_request_received_while_the_event_loop_is_blocked_is_served(
    monkeypatch,
):
    """The event loop is blocked until after a connection's keep-alive timeout.

    A request that arrived meanwhile is found in the same iteration as the timer, and
    must get a response.
    """
    monkeypatch.setattr(http_frontend, "KEEPALIVE_SECONDS", 0.2)
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        with socket.create_connection(("127.0.0.1", entry.port)) as caller:
            caller.setblocking(False)
            await until(lambda: bool(entry.listener.server.connections))
            caller.send(request("/order/x"))
            time.sleep(0.3)
            loop = asyncio.get_running_loop()
            got = await asyncio.wait_for(loop.sock_recv(caller, 1 << 16), 1)
    assert got.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("target", ["http://xn--/read/x", "http://[::1/x", "//[::1/x"])
async def test_target_with_an_invalid_host_is_refused(target):
    """Guards against an open connection that is no longer read.

    On an absolute URL with an invalid host, the HTTP library fails after it has parsed
    the headers and before it calls the handler.
    """
    async with serving(Replica("i-1", answer())) as entry:
        reader, writer = await entry.connect()
        writer.write(request(target, body=b"", method="GET"))
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status in (400, 404)


@pytest.mark.parametrize("version", ["HTTP/0.9", "HTTP/2.0"])
async def test_stream_to_a_caller_of_another_http_version(version):
    """The request names a protocol version without chunked encoding."""
    async with serving(engine("i-1", EngineScript(last=3))) as entry:
        reader, writer = await entry.connect()
        sent = request("/talk/x", X_Token_Count="400,9", Connection="close")
        writer.write(sent.replace(b"HTTP/1.1", version.encode(), 1))
        got = await asyncio.wait_for(reader.read(), 2)
        writer.close()
    head, _, body = got.partition(b"\r\n\r\n")
    assert b" 200 " in head.split(b"\r\n")[0]
    assert body.count(b"id:") == 3


async def test_rest_of_a_refused_body_does_not_delay_a_shutdown():
    """Guards against a shutdown delayed by the rest of a refused request's body.

    After the response, the connection counts as idle, although the caller still sends.
    """
    replica = Replica("i-1", answer())
    async with serving(replica, document=config(**{"max-body-bytes": 10})) as entry:
        reader, writer = await entry.connect()
        whole = request("/order/x", body=b"x" * 1000)
        writer.write(whole[:-900])
        assert (await read_answer(reader)).status == 413
        writer.write(whole[-900:-100])
        await asyncio.sleep(0.05)
        (connection,) = entry.listener.server.connections
        assert entry.listener.is_idle(connection, asyncio.get_running_loop().time())
        writer.close()


async def test_connection_is_idle_after_headers_in_two_parts():
    """Headers that arrive in two parts: the connection is idle after the response."""
    loop = asyncio.get_running_loop()
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/read/x", body=b"x" * 100)
        for part in (whole[:60], whole[60:-50], whole[-50:]):
            writer.write(part)
            await asyncio.sleep(0.02)
            (connection,) = entry.listener.server.connections
            if part != whole[-50:]:
                assert not entry.listener.is_idle(connection, loop.time())
        assert (await read_answer(reader)).status == 200
        await asyncio.sleep(0.02)
        assert entry.listener.is_idle(connection, loop.time())
        writer.close()


async def test_write_to_a_caller_that_has_just_left_is_no_failure_of_the_engine(caplog):
    """Guards against callers that hang up together, which put the prompt of their
    streams into quarantine: the error of a write to them is that of a lost engine."""
    caplog.set_level(logging.INFO)
    script = EngineScript(last=50, pause=0.02)
    async with serving(engine("e-1", script)) as entry:
        reader, writer = await entry.connect()
        writer.write(request("/talk/1", X_Token_Count="400,80"))
        await reader.readuntil(event(2))
        (connection,) = entry.frontend.busy
        # As between the end of a connection and the event loop's word of it.
        t.cast(t.Any, connection).transport.is_closing = lambda: True
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await until(lambda: not entry.frontend.busy)
    assert "send failed" not in {record.getMessage() for record in caplog.records}
