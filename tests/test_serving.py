"""Graceful shutdown of an HTTP listener: every request that arrived is answered."""

from __future__ import annotations

import asyncio
import select
import socket

import pytest
from aiohttp import web

from bergamotmast.serving import HttpListener

REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Frontend:
    """Handler that responds after ``pace`` seconds with ``size`` bytes."""

    def __init__(self, pace: float = 0.0, size: int = 2) -> None:
        self.pace = pace
        self.size = size
        self.busy = set()
        self.answered = 0

    async def handle(self, request):
        self.busy.add(request.protocol)
        try:
            await asyncio.sleep(self.pace)
            self.answered += 1
            return web.Response(body=b"x" * self.size)
        finally:
            self.busy.discard(request.protocol)

    async def listen(self) -> HttpListener:
        server = web.Server(self.handle, access_log=None)
        listening = HttpListener(server, "127.0.0.1:0", self.busy)
        await listening.start()
        return listening


def connect(listening):
    caller = socket.create_connection(listening.runner.addresses[0])
    caller.setblocking(False)
    return caller


async def read(caller, seconds=2.0):
    """Return all data received until the connection is closed."""
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        return await asyncio.wait_for(reader.read(), seconds)
    finally:
        writer.close()


@pytest.mark.parametrize("iterations", range(9))
async def test_a_request_in_the_receive_buffer_is_answered(iterations):
    # The next request on a keep-alive connection has arrived, but the process hasn't
    # read it when the shutdown begins. Closing the connection would reset it.
    frontend = Frontend()
    listening = await frontend.listen()
    caller = connect(listening)
    caller.send(REQUEST)
    while not frontend.answered:
        await asyncio.sleep(0.01)
    caller.send(REQUEST)
    for _ in range(iterations):
        await asyncio.sleep(0)
    await listening.stop_accepting_requests()
    assert await listening.wait_until_closed(asyncio.get_running_loop().time() + 2)
    assert (await read(caller)).count(b"200 OK") == frontend.answered == 2
    await listening.close()


@pytest.mark.parametrize("iterations", range(9))
async def test_a_connection_in_the_backlog_is_served(iterations):
    # Callers have connected and sent a request, but the process hasn't accepted the
    # connections when it closes its address. An immediate close would reset them.
    frontend = Frontend()
    listening = await frontend.listen()
    callers = []
    for number in range(20):
        callers.append(connect(listening))
        callers[-1].send(REQUEST)
        if number < iterations:
            await asyncio.sleep(0)
    await listening.stop_accepting_requests()
    answers = await asyncio.gather(*map(read, callers))
    assert [answer.count(b"200 OK") for answer in answers] == [1] * 20
    with pytest.raises(OSError):
        connect_again = socket.create_connection(callers[0].getpeername())
        connect_again.close()
    await listening.close()


async def test_a_caller_that_has_just_connected_may_send_its_request():
    # A caller connects right before the address is closed and sends a moment later. If
    # its connection were closed while it is idle in between, the caller wouldn't know
    # whether its request was read.
    frontend = Frontend()
    listening = await frontend.listen()
    caller = connect(listening)
    now = asyncio.get_running_loop().time()
    draining = asyncio.create_task(listening.drain(now, now + 5))
    await asyncio.sleep(0.1)
    caller.send(REQUEST)
    assert (await read(caller)).count(b"200 OK") == 1
    assert await draining
    await listening.close()


async def test_a_running_request_is_answered_and_its_connection_closed():
    # The shutdown begins while a request runs. The request is answered, and no
    # connection is left open.
    frontend = Frontend(pace=0.2)
    listening = await frontend.listen()
    caller = connect(listening)
    caller.send(REQUEST)
    await asyncio.sleep(0.05)
    await listening.stop_accepting_requests()
    assert await listening.wait_until_closed(asyncio.get_running_loop().time() + 2)
    assert (await read(caller)).count(b"200 OK") == 1
    await listening.close()


async def test_a_caller_that_reads_slowly_gets_its_whole_answer():
    # The handler is done, but most of the response is unread by its caller. The process
    # must not end before it is sent; the wait is bounded.
    size = 20_000_000
    frontend = Frontend(size=size)
    listening = await frontend.listen()
    caller = connect(listening)
    caller.send(REQUEST)
    while not frontend.answered:
        await asyncio.sleep(0.01)
    await listening.stop_accepting_requests()
    loop = asyncio.get_running_loop()
    assert not await listening.wait_until_closed(loop.time() + 0.2)
    wait_until_closed = asyncio.create_task(
        listening.wait_until_closed(loop.time() + 10)
    )
    answer = await read(caller, 10.0)
    assert answer.count(b"x") == size
    assert await wait_until_closed
    await listening.close()


async def test_a_caller_that_sends_byte_by_byte_does_not_delay_the_shutdown():
    # A caller sends its request headers byte by byte, so that there is always unread
    # data. Its connection is closed after a bounded number of passes.
    frontend = Frontend()
    listening = await frontend.listen()
    caller = connect(listening)
    caller.send(REQUEST[:4])

    async def drip():
        while True:
            await asyncio.sleep(0)
            caller.send(b"x")

    dripping = asyncio.create_task(drip())
    await asyncio.sleep(0.05)
    async with asyncio.timeout(2):
        await listening.stop_accepting_requests()
    await asyncio.wait({dripping}, timeout=2)
    assert isinstance(dripping.exception(), OSError)
    caller.close()
    await listening.close()


class LateCallers:
    """Callers that connect right after the last accept of an address that is closed.

    :param connected: whether each caller's connection was opened.
    """

    def __init__(self, address) -> None:
        self.address = address
        self.callers: list[socket.socket] = []
        self.connected: list[bool] = []

    def connect(self) -> None:
        """Connect without waiting, and send a request if the connection is opened."""
        caller = socket.socket()
        caller.setblocking(False)
        caller.connect_ex(self.address)
        opened = bool(select.select([], [caller], [], 0.01)[1])
        if opened:
            caller.send(REQUEST)
        self.callers.append(caller)
        self.connected.append(opened)


async def test_connection_opened_right_after_the_last_accept_is_not_reset(monkeypatch):
    """Guards against a request that is lost as the address is closed."""
    frontend = Frontend()
    listening = await frontend.listen()
    late = LateCallers(listening.runner.addresses[0])
    accept = socket.socket.accept

    def accept_and_connect(self):
        try:
            return accept(self)
        except BlockingIOError:
            late.connect()
            raise

    monkeypatch.setattr(socket.socket, "accept", accept_and_connect)
    await listening.stop_accepting_requests()
    opened = [
        c for c, is_open in zip(late.callers, late.connected, strict=True) if is_open
    ]
    answers = await asyncio.gather(*map(read, opened))
    assert late.callers
    assert [answer.count(b"200 OK") for answer in answers] == [1] * len(opened)
    for caller in late.callers:
        caller.close()
    await listening.close()
