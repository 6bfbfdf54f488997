"""Real sockets: the behaviour of ZeroMQ that the protocol relies on."""

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


async def handed_over(link, frame):
    """Send as soon as the connection is up."""
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
    await handed_over(link, b"question")
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
    await handed_over(link, b"hello")
    peer, _ = await listener.receive()
    return listener, link, peer


async def test_a_burst_arrives_in_order_and_lets_others_run(context):
    # A side sends more than one wake-up takes. The entry's other tasks run meanwhile,
    # or a busy side would keep it from writing to its callers.
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


async def test_a_frame_is_seen_although_a_send_took_its_news(context):
    # An entry waits for a side. A frame comes while the entry is busy, and then the
    # entry sends: ZeroMQ's descriptor is silent now, although a frame is there.
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


async def test_closing_a_link_ends_who_waits_for_it(context):
    listener, link, _ = await connected(context)
    waiting = asyncio.create_task(link.receive())
    await asyncio.sleep(0.05)
    link.close()
    await asyncio.wait({waiting}, timeout=5)
    assert waiting.cancelled()
    listener.close()


async def test_an_offer_to_nobody_is_known_not_to_be_handed_over(context):
    # Nothing listens: the send must fail at once, or the frame would be delivered to
    # whoever listens there minutes later.
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


async def test_a_second_side_for_one_slot_can_not_start(context):
    # A side is stopped and a replacement starts for the same slot. The stopped one
    # still holds the address, so the new one fails instead of giving orders.
    address = free_address()
    listener = ZmqListener(context, address, None)
    with pytest.raises(OSError, match="can't listen"):
        ZmqListener(context, address, None)
    listener.close()


def curve_pair():
    return zmq.curve_keypair()


async def test_a_peer_without_an_allowed_key_gets_in_nowhere(context):
    # Three entries dial a side: one with an allowed key, one with a key of its own,
    # one without any. Only frames of the first arrive.
    side_public, side_secret = curve_pair()
    entry_public, entry_secret = curve_pair()
    other_public, other_secret = curve_pair()
    address = free_address()
    side_keys = CurveKeys(side_public, side_secret, b"", frozenset({entry_public}))
    listener = ZmqListener(context, address, side_keys)
    strangers = [
        ZmqDialer(context, CurveKeys(other_public, other_secret, side_public)),
        ZmqDialer(context, None),
    ]
    links = [dialer.dial(address) for dialer in strangers]
    entry_keys = CurveKeys(entry_public, entry_secret, side_public)
    friend = ZmqDialer(context, entry_keys).dial(address)
    await handed_over(friend, b"friend")
    for link in links:
        with pytest.raises(NotReachedError):
            await link.send(b"stranger")
    assert (await listener.receive())[1] == b"friend"
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await listener.receive()
    for link in [*links, friend]:
        link.close()
    listener.close()


async def test_the_last_answers_of_a_side_go_out_before_its_process_ends():
    # A side hands over its last answers, closes its address and ends: closing the
    # context drops what open sockets hold, but waits for what a closed one has left.
    address = free_address()
    side, entry = zmq.asyncio.Context(), zmq.asyncio.Context()
    listener = ZmqListener(side, address, None)
    link = ZmqDialer(entry, None).dial(address)
    await handed_over(link, b"hello")
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
