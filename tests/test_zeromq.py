"""Behaviour of ZeroMQ on real sockets that the protocol relies on."""

from __future__ import annotations

import asyncio
import time

import pytest
import zmq
import zmq.asyncio

from bergamotmast.adapters.zeromq import MAX_FRAMES_PER_TURN
from bergamotmast.adapters.zeromq import CurveKeys
from bergamotmast.adapters.zeromq import ZmqDialer
from bergamotmast.adapters.zeromq import ZmqListener
from bergamotmast.errors import NotReachedError
from support import free_address


@pytest.fixture
async def context():
    created = zmq.asyncio.Context()
    yield created
    created.destroy(linger=0)


async def send_when_connected(link, frame):
    """Send a frame as soon as the connection is established."""
    async with asyncio.timeout(20):
        while True:
            try:
                return await link.send(frame)
            except NotReachedError:
                await asyncio.sleep(0.01)


async def test_frames_go_both_ways(context):
    address = free_address()
    listener = ZmqListener(context, address, None)
    link = ZmqDialer(context, None).dial(address)
    await send_when_connected(link, b"question")
    peer, frame = await listener.receive()
    assert frame == b"question"
    await listener.send(peer, b"answer")
    assert await link.receive() == b"answer"
    link.close()
    listener.close()


async def connected(context):
    address = free_address()
    listener = ZmqListener(context, address, None)
    link = ZmqDialer(context, None).dial(address)
    await send_when_connected(link, b"hello")
    peer, _ = await listener.receive()
    return listener, link, peer


async def test_burst_arrives_in_order_and_lets_other_tasks_run(context):
    # A side sends more frames than one wake-up receives. The entry's other tasks must
    # run meanwhile, or a busy side would keep it from writing to its callers.
    listener, link, peer = await connected(context)
    expected = [b"%d" % i for i in range(3 * MAX_FRAMES_PER_TURN)]
    await listener.send(peer, *expected[:MAX_FRAMES_PER_TURN])
    for frame in expected[MAX_FRAMES_PER_TURN:]:
        await listener.send(peer, frame)
    turns = 0

    async def count():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    other = asyncio.create_task(count())
    received = []
    async with asyncio.timeout(20):
        while len(received) < len(expected):
            frames = await link.receive_many()
            assert 1 <= len(frames) <= MAX_FRAMES_PER_TURN
            received += frames
    other.cancel()
    assert received == expected
    assert turns >= 2
    link.close()
    listener.close()


async def test_frame_whose_event_a_send_consumed_is_received(context):
    # An entry waits for a side. A frame arrives while the entry is busy, which then
    # sends one itself: ZeroMQ's descriptor is not readable although a frame is there.
    listener, link, peer = await connected(context)
    answer = asyncio.create_task(link.receive())
    await asyncio.sleep(0.05)
    await listener.send(peer, b"answer")
    time.sleep(0.2)
    await link.send(b"heartbeat")
    async with asyncio.timeout(5):
        assert await answer == b"answer"
    link.close()
    listener.close()


async def test_closing_a_link_cancels_the_waiting_task(context):
    listener, link, _ = await connected(context)
    waiting = asyncio.create_task(link.receive())
    await asyncio.sleep(0.05)
    link.close()
    await asyncio.wait({waiting}, timeout=5)
    assert waiting.cancelled()
    listener.close()


async def test_send_without_a_listener_fails(context):
    # Nothing listens at the address: the send must fail at once, or the frame would be
    # delivered to a listener that binds it minutes later.
    link = ZmqDialer(context, None).dial(free_address())
    with pytest.raises(NotReachedError):
        await link.send(b"offer")
    link.close()


async def test_an_answer_to_a_peer_that_is_gone_fails(context):
    address = free_address()
    listener = ZmqListener(context, address, None)
    with pytest.raises(NotReachedError):
        await listener.send(b"nobody", b"answer")
    listener.close()


async def test_second_listener_on_an_address_fails(context):
    # A side is suspended, and a replacement starts for the same slot. The first one
    # still holds the address, so the second fails to start and sends no orders.
    address = free_address()
    listener = ZmqListener(context, address, None)
    with pytest.raises(OSError, match="can't listen"):
        ZmqListener(context, address, None)
    listener.close()


def new_key_pair():
    return zmq.curve_keypair()


async def test_peer_without_an_allowed_key_can_not_connect(context):
    # Three entries dial a side: one with an allowed key, one with an unknown key, one
    # without a key. Only frames of the first arrive.
    side_public, side_secret = new_key_pair()
    entry_public, entry_secret = new_key_pair()
    other_public, other_secret = new_key_pair()
    address = free_address()
    side_keys = CurveKeys(side_public, side_secret, b"", frozenset({entry_public}))
    listener = ZmqListener(context, address, side_keys)
    rejected_dialers = [
        ZmqDialer(context, CurveKeys(other_public, other_secret, side_public)),
        ZmqDialer(context, None),
    ]
    links = [dialer.dial(address) for dialer in rejected_dialers]
    entry_keys = CurveKeys(entry_public, entry_secret, side_public)
    allowed_link = ZmqDialer(context, entry_keys).dial(address)
    await send_when_connected(allowed_link, b"friend")
    for link in links:
        with pytest.raises(NotReachedError):
            await link.send(b"stranger")
    assert (await listener.receive())[1] == b"friend"
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await listener.receive()
    for link in [*links, allowed_link]:
        link.close()
    listener.close()


async def test_last_answers_are_sent_before_the_process_ends():
    # A side queues its last answers, closes its listener and ends: closing the context
    # drops the queues of open sockets, but waits for those of closed ones.
    address = free_address()
    side, entry = zmq.asyncio.Context(), zmq.asyncio.Context()
    listener = ZmqListener(side, address, None)
    link = ZmqDialer(entry, None).dial(address)
    await send_when_connected(link, b"hello")
    peer, _ = await listener.receive()
    answers = [b"%d" % i + bytes(20_000) for i in range(20)]
    for frame in answers:
        await listener.send(peer, frame)
    listener.close()
    side.destroy(linger=0)
    received = []
    async with asyncio.timeout(10):
        while len(received) < len(answers):
            received += await link.receive_many()
    assert received == answers
    link.close()
    entry.destroy(linger=0)
