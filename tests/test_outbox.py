from __future__ import annotations

import asyncio

import pytest

from bergamotmast.errors import NotReachedError
from bergamotmast.side.outbox import Outbox

pytestmark = pytest.mark.looptime


class RecordingListener:
    def __init__(self):
        self.sent = []
        self.unreachable = set()

    async def send(self, peer, *frames):
        if peer in self.unreachable:
            raise NotReachedError("gone")
        self.sent.append((peer, frames))


@pytest.fixture
async def listener():
    return RecordingListener()


async def test_frames_of_one_loop_iteration_are_batched_in_order(listener):
    outbox = Outbox(listener, pytest.fail)
    running = asyncio.create_task(outbox.run())
    for frame in (b"1", b"2"):
        outbox.put(b"a", frame)
        outbox.put(b"b", frame)
    assert listener.sent == []
    await asyncio.sleep(0.001)
    outbox.put(b"a", b"3")
    await asyncio.sleep(0.001)
    running.cancel()
    both = (b"1", b"2")
    assert listener.sent == [(b"a", both), (b"b", both), (b"a", (b"3",))]


async def test_failed_send_is_reported_and_does_not_affect_other_peers(listener):
    # An entry is suspended and its buffers are full: its frames are dropped, which ends
    # its session. Frames to the next entry in the same batch are still sent.
    lost = []
    outbox = Outbox(listener, lost.append)
    listener.unreachable.add(b"a")
    outbox.put(b"a", b"1")
    outbox.put(b"b", b"1")
    await outbox.flush()
    assert lost == [b"a"]
    assert listener.sent == [(b"b", (b"1",))]
