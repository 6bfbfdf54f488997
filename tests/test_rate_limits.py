"""Tests of the limits on their requests that upstreams name in their replies."""

from __future__ import annotations

import logging
import math

import pytest

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.policy.named_limit import NO_LIMIT
from bergamotmast.policy.named_limit import NamedLimit
from direct_support import serving
from platform_standin import Replica
from platform_standin import answer


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("5", 5.0),
        (" 4.1 ", 4.1),
        (".5", 0.5),
        ("0", 0.0),
        ("0.000001", 1e-6),
        ("", None),
        ("-3", None),
        ("nan", None),
        ("inf", None),
        ("1e300", None),
        ("5, 5", None),
        ("0x5", None),
        ("٥", None),
        ("9" * 5_000, None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
    ],
)
def test_limit_that_is_no_decimal_number_is_neither_named_nor_withdrawn(text, rate):
    traits = PlatformDialect().read_reply(200, {"Server-Limit": text})
    assert traits.rate_limit == rate


def test_reply_without_a_limit_names_none():
    assert PlatformDialect().read_reply(503, {}).rate_limit == NO_LIMIT


def test_reply_from_before_the_limit_does_not_withdraw_it():
    """Guards against taking a late reply for the end of a limit."""
    limit = NamedLimit().after_reply(5.0, sent_at=1.0, now=2.0)
    assert limit.after_reply(NO_LIMIT, sent_at=1.9, now=2.1) == limit
    assert limit.after_reply(NO_LIMIT, sent_at=2.0, now=2.1).rate == NO_LIMIT


def test_lower_one_of_two_limits_in_unknown_order_is_kept():
    limit = NamedLimit().after_reply(5.0, sent_at=1.0, now=2.0)
    assert limit.after_reply(9.0, sent_at=1.9, now=2.1).rate == 5.0
    assert limit.after_reply(3.0, sent_at=1.9, now=2.1).rate == 3.0
    assert limit.after_reply(9.0, sent_at=2.0, now=2.1).rate == 9.0


def test_newer_limit_of_another_entry_is_taken_over():
    limit = NamedLimit(5.0, known_at=2.0)
    assert limit.merged(NamedLimit(4.0, known_at=1.0)) == limit
    assert limit.merged(NamedLimit(math.inf, known_at=3.0)).rate == NO_LIMIT


async def test_limit_is_logged_when_it_begins_changes_and_ends(caplog):
    caplog.set_level(logging.INFO)
    metrics = OpenTelemetryMetrics("p")
    limits = iter([("Server-Limit: 5.1",), ("Server-Limit: 4",), ()])

    async def script(replica, received, writer):
        await answer(200, b"fine", *next(limits))(replica, received, writer)

    async with serving(Replica("i-1", script)) as entry:
        entry.core.context.rate_limits.telemetry = metrics
        seen = []
        for number in range(3):
            assert (await entry.ask(f"/read/{number}")).status == 200
            exposed = metrics.exposition().decode()
            seen.append("upstreams_limited 1.0" in exposed)
    lines = [line for line in caplog.records if "limits its requests" in line.message]
    assert [(getattr(e, "before", 0), getattr(e, "limit", 0)) for e in lines] == [
        (0, 5.1),
        (5.1, 4.0),
        (4.0, 0),
    ]
    assert lines[1].known_ms >= 0.0
    assert seen == [True, True, False]
