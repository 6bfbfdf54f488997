from __future__ import annotations

import msgspec
import pytest

from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.model import SideReport
from bergamotmast.protocol import messages

REPORT = SideReport(Readiness.READY, Role.MIXED, queued=3)


@pytest.mark.parametrize(
    "message",
    [
        messages.Welcome(1, "engine-1", "s", "i", 1, 7),
        messages.ReportBeat("s", 1, 7, REPORT),
        messages.Chunk("a", 0, 1, "x", "", 0, ""),
    ],
)
def test_entry_messages_round_trip(message):
    assert messages.decode_to_entry(messages.encode(message)) == message


def test_a_message_of_the_other_direction_is_refused():
    frame = messages.encode(messages.Started("a"))
    with pytest.raises(msgspec.ValidationError):
        messages.decode_to_side(frame)
