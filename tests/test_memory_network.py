from __future__ import annotations

import pytest

from bergamotmast.adapters.memory import MemoryNetwork


@pytest.mark.looptime
async def test_frames_sent_at_one_instant_arrive_in_order():
    # Many frames are sent at one instant of virtual time, as in a socket's burst. They
    # are due at one instant too, and must be received in the order of sending.
    network = MemoryNetwork()
    listener = network.listen("side")
    link = network.dial("side")
    sent = [b"%d" % number for number in range(100)]
    for frame in sent:
        await link.send(frame)
    assert [(await listener.receive())[1] for _ in sent] == sent
