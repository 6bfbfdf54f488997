"""Tests that each request read by an entry gets one response during a shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket

import pytest
from aiohttp import web

from answer_support import CALLER
from answer_support import SOON
from answer_support import connect_soon
from answer_support import entry_before
from answer_support import send
from answer_support import slow_answer
from bergamotmast import direct_daemon
from bergamotmast.direct.time_limits import TimeLimits
from bergamotmast.model import Assignment
from bergamotmast.model import Role
from bergamotmast.policy.shutdown_admission import ShutdownWindow
from bergamotmast.protocol.plan import EnginePlan
from bergamotmast.protocol.plan import encode_record
from bergamotmast.protocol.plan import engine_key
from direct_support import engine
from direct_support import read_answer
from direct_support import request
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from platform_standin import hang
from test_direct_process import Process
from test_direct_process import process

ANSWER_SECONDS = 3.0
"""Time after which a caller can't get a response any more."""


async def answer_at_the_end(entry: Process, reader):
    """Send SIGTERM to an entry and return the response that a caller gets.

    ``None`` if the connection is closed without one.
    """
    entry.process.send_signal(signal.SIGTERM)
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        return await asyncio.wait_for(read_answer(reader), ANSWER_SECONDS)
    return None


@pytest.mark.parametrize("path", ["/order/x", "/read/x", "/talk/x"])
async def test_request_running_at_the_end_of_a_shutdown_is_of_unknown_outcome(path):
    """Guards against a closed connection for a request that runs when a shutdown ends.

    The replica has not replied: the caller is told that the outcome is unknown.
    """
    plain, llm = Replica("i-1", hang()), engine("i-2", hang())
    async with entry_before(plain, llm) as (entry, _):
        reader, writer = await send(entry, request(path, **CALLER))
        await until(lambda: bool(plain.received or llm.received))
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert got is not None, "the connection was closed without an answer"
    assert got.status in (502, 504)


async def test_prefill_at_the_end_of_a_shutdown_is_refused_as_not_run():
    """A request in its prefill when a shutdown ends is refused as not run.

    Nothing of the response was generated, so that its caller may retry.
    """
    reading = engine("i-1", EngineScript(prefill_seconds=30), "prefill")
    answering = engine("i-2", EngineScript())
    async with entry_before(reading, answering) as (entry, _):
        headers = CALLER | {"X_Token_Count": "9000,9"}
        reader, writer = await send(entry, request("/talk/x", **headers))
        await until(lambda: bool(reading.received))
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert answering.received == []
    assert got is not None, "the connection was closed without an answer"
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_stream_waiting_at_the_end_of_a_shutdown_is_refused_as_not_run():
    """A stream that waits for a role change when a shutdown ends is refused as not run.

    Its caller gets a Retry-After before the process exits.
    """
    changing = engine("i-1", EngineScript(), "prefill")
    async with entry_before(changing) as (entry, store):
        plan = EnginePlan(1, 1, Assignment(Role.DECODE))
        store.put(engine_key("i-1"), encode_record(plan))
        await asyncio.sleep(0.3)
        reader, writer = await send(entry, request("/talk/x", **CALLER))
        await asyncio.sleep(0.1)
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert not [r for r in changing.received if r.target.startswith("/talk")]
    assert got is not None, "the connection was closed without an answer"
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_request_without_body_at_the_end_of_a_shutdown_is_refused_as_not_run():
    """A request whose body has not arrived when a shutdown ends is refused as not run.

    Its caller gets a Retry-After.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica) as (entry, _):
        whole = request("/order/x", body=b"x" * 1000, **CALLER)
        reader, writer = await send(entry, whole[:-900])
        await asyncio.sleep(0.2)
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert replica.received == []
    assert got is not None, "the connection was closed without an answer"
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_stream_running_at_the_end_of_a_shutdown_is_visibly_truncated():
    """Guards against a stream that looks complete although a shutdown has cut it off.

    The events received so far are sent, the end of the stream is not.
    """
    talking = engine("i-1", EngineScript(last=1000, pause=0.02))
    async with entry_before(talking) as (entry, _):
        reader, writer = await send(entry, request("/talk/x", **CALLER))
        await until(lambda: bool(talking.received))
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert got is not None
    assert got.status == 200
    assert got.body.startswith(b"id: 1\n")
    assert not got.complete


async def small_caller(port: int) -> socket.socket:
    """Connect a socket with a small receive buffer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", port))
    return caller


async def bytes_in_the_system() -> int:
    """Return how many bytes the kernel buffers for such a caller that reads nothing."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        caller = await small_caller(listening.getsockname()[1])
        accepted, _ = listening.accept()
        with caller, accepted:
            accepted.setblocking(False)
            return accepted.send(b"x" * 16_000_000)


async def test_response_that_is_read_late_is_sent_completely():
    """Guards against exiting while the end of a response is in the event loop's buffer.

    The response is a little larger than the sockets' buffers, and the caller reads it
    late. No request is running, and there is time left to send the rest.
    """
    size = await bytes_in_the_system() + 30_000
    replica = Replica("i-1", answer(200, b"x" * size))
    async with entry_before(replica, seconds="8") as (entry, _):
        caller = await small_caller(entry.port)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, request("/order/x", **CALLER))
        await until(lambda: bool(replica.received))
        await asyncio.sleep(0.3)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(4.0)
        got = await body_length(caller)
    assert got == size


async def body_length(caller: socket.socket) -> int:
    """Read a response until the connection ends and return the length of its body."""
    loop = asyncio.get_running_loop()
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while part := await asyncio.wait_for(loop.sock_recv(caller, 1 << 16), 8):
            data += part
    caller.close()
    return len(data) - data.index(b"\r\n\r\n") - 4


class HangingStore(Store):
    """A store that no longer replies to calls about leases once it hangs."""

    hangs = False

    async def _keep(self, request: web.Request) -> web.Response:
        return await self._unless_hung(super()._keep(request))

    async def _end(self, request: web.Request) -> web.Response:
        return await self._unless_hung(super()._end(request))

    async def _unless_hung(self, reply) -> web.Response:
        if self.hangs:
            await asyncio.sleep(30)
        return await reply


async def test_end_is_kept_to_with_a_store_that_is_silent():
    """Guards against a shutdown delayed by a store that does not reply.

    An order hangs at its replica. Its caller must get a response before the platform
    kills the process.
    """
    replica = Replica("i-1", hang())
    store = HangingStore()
    async with entry_before(replica, store=store) as (entry, _):
        await until(lambda: any("kv-txn" in call for call in store.calls))
        await asyncio.sleep(1.0)
        store.hangs = True
        reader, writer = await send(entry, request("/order/x", **CALLER))
        await until(lambda: bool(replica.received))
        loop = asyncio.get_running_loop()
        signalled_at = loop.time()
        got = await answer_at_the_end(entry, reader)
        await entry.process.wait()
        seconds = loop.time() - signalled_at
        writer.close()
    assert got is not None, "the connection was closed without an answer"
    assert got.status in (502, 504)
    assert seconds < float(SOON)


@pytest.mark.parametrize("turns", range(8))
async def test_connection_made_as_the_entry_stops_accepting_is_closed(turns):
    """Guards against a connection that stays open after an entry stops accepting.

    The connection is in the kernel's queue, has been accepted, or has just got its
    handler. A request that arrives on it later would be cut off, or never be read.
    """
    async with serving(Replica("i-1", answer())) as entry:
        caller = socket.create_connection(("127.0.0.1", entry.port))
        caller.setblocking(False)
        for _ in range(turns):
            await asyncio.sleep(0)
        entry.frontend.shutting_down = True
        await entry.listener.stop_accepting_requests()
        with caller, contextlib.suppress(ConnectionError):
            loop = asyncio.get_running_loop()
            assert await asyncio.wait_for(loop.sock_recv(caller, 1), 1) == b""


async def test_suspension_while_the_entry_stops_accepting():
    """Guards against lost requests if a process is suspended as it stops accepting.

    Requests have arrived on a kept connection and on a new one when it resumes, in the
    same iteration of the event loop. Those that are read get their responses.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica, seconds="8") as (entry, _):
        kept, kept_writer = await send(entry, request("/read/x", **CALLER))
        assert (await read_answer(kept)).status == 200
        loop = asyncio.get_running_loop()
        entry.process.send_signal(signal.SIGTERM)
        wakes_at = loop.time() + direct_daemon.DEREGISTRATION_SECONDS + 0.1
        await asyncio.sleep(direct_daemon.DEREGISTRATION_SECONDS - 0.4)
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        # Both have deadlines before the process exits, so that both are admitted.
        brief = CALLER | {"X_Deadline_Ms": "2000"}
        kept_writer.write(request("/read/x", request_id="kept", **brief))
        new, new_writer = await send(entry, request("/order/x", **brief))
        await asyncio.sleep(wakes_at - loop.time())
        entry.process.send_signal(signal.SIGCONT)
        for reader in (kept, new):
            assert (await asyncio.wait_for(read_answer(reader), 2)).status == 200
        kept_writer.close()
        new_writer.close()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
async def test_second_signal_cuts_off_no_request(number):
    """A second signal during the shutdown does not cut off a running order."""
    replica = Replica("i-1", slow_answer)
    async with entry_before(replica, seconds="8") as (entry, _):
        reader, writer = await send(entry, request("/order/x", **CALLER))
        await until(lambda: bool(replica.received))
        for each in (signal.SIGTERM, number, number):
            entry.process.send_signal(each)
            await asyncio.sleep(0.1)
        got = await asyncio.wait_for(read_answer(reader), 2)
        writer.close()
    assert got.status == 200


async def test_signal_before_the_first_reading_of_the_store():
    """SIGTERM before the initial load: the store is unavailable as an entry starts.

    Callers are refused as not run, with a Retry-After.
    """
    async with Store() as store:
        store.outage = 503
        async with process(store, seconds="4") as entry:
            reader, writer = await connect_soon(entry.port, 10)
            writer.write(request("/order/x", **CALLER))
            entry.process.send_signal(signal.SIGTERM)
            got = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            assert await asyncio.wait_for(entry.process.wait(), 4) == 0
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


async def test_shutdown_starts_while_a_deadline_expires():
    """Guards against an error when a shutdown reschedules an expired timeout.

    A request's deadline has passed, and it is still closing its connection to an
    upstream when the shutdown brings all deadlines forward.
    """
    loop = asyncio.get_running_loop()
    limits = TimeLimits(random.Random(1))

    async def work(seconds: float) -> None:
        async with limits.limit(loop.time() + seconds):
            try:
                await asyncio.sleep(5)
            finally:
                await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(work(seconds)) for seconds in (0.02, 3.0)]
    await asyncio.sleep(0.05)
    now = loop.time()
    limits.begin(ShutdownWindow(now + 0.1, now + 0.2))
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    assert [type(outcome) for outcome in outcomes] == [TimeoutError, TimeoutError]
    assert loop.time() - now < 1.0


async def test_headers_in_two_parts_around_the_close_of_idle_connections():
    """Guards against closing a connection as idle after half of a request's headers.

    Its caller would not know whether the request was read.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/read/x")
        writer.write(whole[:60])
        await asyncio.sleep(0.05)
        entry.core.stopping = entry.frontend.shutting_down = True
        await entry.listener.stop_accepting_requests()
        writer.write(whole[60:])
        got = await asyncio.wait_for(read_answer(reader), 1)
        assert got.headers["connection"] == "close"
        writer.close()
    assert got.status == 200


async def test_pipelined_request_behind_a_stream_is_answered_in_a_shutdown():
    """Guards against dropping a pipelined request behind a stream.

    The stream started before the shutdown and did not say "Connection: close". The
    request behind it has been read: it gets a response, which does say so.
    """
    async with serving(
        engine("i-1", EngineScript(last=5, pause=0.05)), Replica("i-2", answer())
    ) as entry:
        reader, writer = await entry.connect()
        writer.write(request("/talk/x", X_Token_Count="400,9", request_id="first"))
        await reader.readuntil(b"id: 1")
        entry.core.stopping = entry.frontend.shutting_down = True
        writer.write(request("/read/x", request_id="second"))
        await reader.readuntil(b"0\r\n\r\n")
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 200
    assert got.headers["connection"] == "close"
