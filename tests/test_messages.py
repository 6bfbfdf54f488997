from __future__ import annotations

import math

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
        messages.ReportHeartbeat("s", 1, 7, REPORT),
        messages.Chunk("a", 0, 1, "x", "", 0, ""),
    ],
)
def test_entry_messages_round_trip(message):
    assert messages.decode_to_entry(messages.encode(message)) == message


def test_a_message_of_the_other_direction_is_refused():
    frame = messages.encode(messages.Started("a"))
    with pytest.raises(msgspec.ValidationError):
        messages.decode_to_side(frame)


WORK = messages.ModelWork("m", "p", 2, 3, 3, "", 5.0, "", 0, "", False)
OFFER = messages.Offer("s", "a", "r", "t", 1.0, "c", 1, 9.0, 4, WORK)
CHUNK = messages.Chunk("a", 0, 1, "x", "", 0, "")
replace = msgspec.structs.replace


@pytest.mark.parametrize(
    "message",
    [
        messages.Hello(1, "e", "i", 1, 1, math.nan),
        messages.Hello(1, "e", "i", 1, 1, math.inf),
        replace(OFFER, weight=math.nan),
        replace(OFFER, weight=0.0),
        replace(OFFER, budget=math.inf),
        replace(OFFER, credit=-1),
        replace(OFFER, work=replace(WORK, predicted_tokens=-1)),
        replace(OFFER, work=replace(WORK, first_token_budget=math.nan)),
        messages.Credit("s", "a", -1),
    ],
)
def test_invalid_numbers_in_messages_to_a_side_are_refused(message):
    with pytest.raises(msgspec.ValidationError):
        messages.decode_to_side(messages.encode(message))


@pytest.mark.parametrize(
    "message",
    [
        messages.Refused("a", 201, math.inf),
        replace(CHUNK, tokens=-1),
        replace(CHUNK, index=-1),
        messages.ReportHeartbeat("s", 1, 7, replace(REPORT, max_streams=0)),
        messages.ReportHeartbeat("s", 1, 7, replace(REPORT, decode_rate=math.nan)),
        messages.ReportHeartbeat("s", 1, 7, replace(REPORT, prefill_rate=-1.0)),
        messages.ReportHeartbeat("s", 1, 7, replace(REPORT, kv_free=math.nan)),
    ],
)
def test_invalid_numbers_in_messages_to_an_entry_are_refused(message):
    with pytest.raises(msgspec.ValidationError):
        messages.decode_to_entry(messages.encode(message))
