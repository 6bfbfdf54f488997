"""Every request that an entry has read gets its one answer as the entry ends."""

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
"""By then a caller of such a process has its answer, or gets none."""


async def answer_at_the_end(entry: Process, reader):
    """Tell an entry to end and return the answer that a caller has by then.

    ``None`` where the connection is closed without one.
    """
    entry.process.send_signal(signal.SIGTERM)
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        return await asyncio.wait_for(read_answer(reader), ANSWER_SECONDS)
    return None


@pytest.mark.parametrize("path", ["/order/x", "/read/x", "/talk/x"])
async def test_request_at_work_at_the_end_is_told_that_its_outcome_is_unknown(path):
    """A replica has a request when the entry's time to end is over, and says nothing.

    It may run there: its caller is told so, where a closed connection would leave it
    to guess.
    """
    plain, llm = Replica("i-1", hang()), engine("i-2", hang())
    async with entry_before(plain, llm) as (entry, _):
        reader, writer = await send(entry, request(path, **CALLER))
        await until(lambda: bool(plain.received or llm.received))
        got = await answer_at_the_end(entry, reader)
        writer.close()
    assert got is not None, "the connection was closed without an answer"
    assert got.status in (502, 504)


async def test_prompt_that_is_read_at_the_end_is_refused_as_not_run():
    """A long prompt is at an engine that only reads it; nothing has been answered.

    The request did not run: its caller is told so, and when to come back.
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


async def test_stream_that_waits_at_the_end_is_refused_as_not_run():
    """A stream waits for the engine that is on its way to answering, and never ran.

    Its caller is told so, and when to come back, before the process ends.
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


async def test_request_whose_body_is_late_at_the_end_is_refused_as_not_run():
    """A request's head has been read; its body has not come when the process ends.

    Nothing was sent on: its caller is told so, and when to come back.
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


async def test_stream_at_work_at_the_end_looks_incomplete():
    """A stream is under way when the entry's time to end is over.

    What has been sent stays; the end that would make it whole is not sent.
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
    """Connect a socket that takes little before it is read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", port))
    return caller


async def bytes_in_the_system() -> int:
    """Return how much the system takes for a small caller that reads nothing."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        caller = await small_caller(listening.getsockname()[1])
        accepted, _ = listening.accept()
        with caller, accepted:
            accepted.setblocking(False)
            return accepted.send(b"x" * 16_000_000)


async def test_answer_that_its_caller_reads_late_is_sent_to_its_end():
    """An answer is a little larger than the sockets' buffers, and is read late.

    Its last bytes are with the event loop, not with the system, and no request is at
    work: the entry must not end before they have gone out, for which it has the time.
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
    """Read an answer to the end of its connection and return its body's length."""
    loop = asyncio.get_running_loop()
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while part := await asyncio.wait_for(loop.sock_recv(caller, 1 << 16), 8):
            data += part
    caller.close()
    return len(data) - data.index(b"\r\n\r\n") - 4


class HangingStore(Store):
    """A store that ends no lease and renews none once it hangs."""

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
    """The store takes calls and answers none; an order hangs at its replica.

    The platform kills the process when its seconds are over: by then the caller must
    have its answer, however long the store is waited for.
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
        told_at = loop.time()
        got = await answer_at_the_end(entry, reader)
        await entry.process.wait()
        seconds = loop.time() - told_at
        writer.close()
    assert got is not None, "the connection was closed without an answer"
    assert got.status in (502, 504)
    assert seconds < float(SOON)


@pytest.mark.parametrize("turns", range(8))
async def test_connection_that_comes_as_the_entry_stops_taking_does_not_stay(turns):
    """A caller connects in the moment at which the entry stops taking.

    Its connection is in the system's queue, on its way to a handler, or has just got
    one. Left open and idle, it could bring a request as the process ends; left without
    a handler, its request would be read by nobody, and its caller would wait.
    """
    async with serving(Replica("i-1", answer())) as entry:
        caller = socket.create_connection(("127.0.0.1", entry.port))
        caller.setblocking(False)
        for _ in range(turns):
            await asyncio.sleep(0)
        entry.front.ending = True
        await entry.listening.stop_taking()
        with caller, contextlib.suppress(ConnectionError):
            loop = asyncio.get_running_loop()
            assert await asyncio.wait_for(loop.sock_recv(caller, 1), 1) == b""


async def test_suspension_over_the_moment_at_which_an_entry_stops_taking():
    """A process is suspended from before that moment to after it, and wakes.

    Requests arrived meanwhile, on a kept connection and on a new one. All is over in
    one pass of the event loop: what is read in it is answered.
    """
    replica = Replica("i-1", answer())
    async with entry_before(replica, seconds="8") as (entry, _):
        kept, kept_writer = await send(entry, request("/read/x", **CALLER))
        assert (await read_answer(kept)).status == 200
        loop = asyncio.get_running_loop()
        entry.process.send_signal(signal.SIGTERM)
        wakes_at = loop.time() + direct_daemon.STILL_ROUTED_SECONDS + 0.1
        await asyncio.sleep(direct_daemon.STILL_ROUTED_SECONDS - 0.4)
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        # Both leave before the process ends, so that both are still taken.
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
async def test_second_signal_cuts_nothing_off(number):
    """An entry that was told to end gets another signal while an order is at work."""
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
    """The store does not answer as an entry starts; callers come, then SIGTERM.

    They are told that nothing ran and when to come back.
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


async def test_end_begins_while_a_deadline_passes():
    """A request's time is over, and it is still closing its connection to an upstream.

    In that moment the entry is told to end: the limits of all requests are brought
    forward, that of this one being past. The others end as they should.
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


async def test_head_that_comes_in_two_parts_around_the_close_of_idle_connections():
    """Half of a request's head has come as the entry closes what is idle.

    Its connection is no idle one: closed, its caller would not know whether the request
    was read.
    """
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        whole = request("/read/x")
        writer.write(whole[:60])
        await asyncio.sleep(0.05)
        entry.core.stopping = entry.front.ending = True
        await entry.listening.stop_taking()
        writer.write(whole[60:])
        got = await asyncio.wait_for(read_answer(reader), 1)
        assert got.headers["connection"] == "close"
        writer.close()
    assert got.status == 200


async def test_request_behind_a_stream_that_began_before_the_end():
    """A stream began before anyone knew of the end, and ends after it.

    It did not say that its connection closes, and the next request has been read on it:
    it is answered, and that answer says so.
    """
    async with serving(
        engine("i-1", EngineScript(last=5, pause=0.05)), Replica("i-2", answer())
    ) as entry:
        reader, writer = await entry.connect()
        writer.write(request("/talk/x", X_Token_Count="400,9", request_id="first"))
        await reader.readuntil(b"id: 1")
        entry.core.stopping = entry.front.ending = True
        writer.write(request("/read/x", request_id="second"))
        await reader.readuntil(b"0\r\n\r\n")
        got = await asyncio.wait_for(read_answer(reader), 1)
        writer.close()
    assert got.status == 200
    assert got.headers["connection"] == "close"
