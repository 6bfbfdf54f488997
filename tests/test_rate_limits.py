"""Tests of the limits on their requests that upstreams name in their replies."""

from __future__ import annotations

import asyncio
import logging
import math
import time

import pytest

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.policy.named_limit import NO_LIMIT
from bergamotmast.policy.named_limit import NamedLimit
from direct_support import config
from direct_support import engine
from direct_support import registration
from direct_support import route
from direct_support import serving
from limit_support import LimitedScript
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer
from platform_standin import not_run


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
    limits = iter([("Server-Limit: 510.5",), ("Server-Limit: 400",), ()])

    async def script(replica, received, writer):
        await answer(200, b"fine", *next(limits))(replica, received, writer)

    async with serving(Replica("i-1", script)) as entry:
        entry.core.context.rate_limits.limits.telemetry = metrics
        seen = []
        for number in range(3):
            assert (await entry.ask(f"/read/{number}")).status == 200
            exposed = metrics.exposition().decode()
            seen.append("upstreams_limited 1.0" in exposed)
    lines = [line for line in caplog.records if "limits its requests" in line.message]
    assert [(getattr(e, "before", 0), getattr(e, "limit", 0)) for e in lines] == [
        (0, 510.5),
        (510.5, 400.0),
        (400.0, 0),
    ]
    assert lines[1].known_ms >= 0.0
    assert seen == [True, True, False]


def limited(limit="4", body=b"fine"):
    return LimitedScript(answer(200, body), limit)


async def test_request_that_no_upstream_takes_in_time_is_refused_at_once(caplog):
    caplog.set_level(logging.INFO)
    async with serving(Replica("i-1", limited("1"))) as entry:
        got = [await entry.ask(f"/read/{n}") for n in range(2)]
        assert [one.status for one in got] == [200, 200]
        began = time.monotonic()
        refused = await entry.ask("/read/3", request_id="id-3")
        assert time.monotonic() - began < 0.1
        assert refused.status == 503
        assert refused.body.startswith(b"206 ")
        await asyncio.sleep(float(refused.headers["retry-after"]))
        assert (await entry.ask("/read/4")).status == 200
    (line,) = [e for e in caplog.records if "exceeds the limits" in e.message]
    assert line.limits == {"i-1": 1.0}
    assert 500 < line.free_ms <= 1000


async def test_request_waits_for_a_permit_within_its_objective():
    async with serving(Replica("i-1", limited("60"))) as entry:
        first = await entry.ask("/read/0")
        rest = await asyncio.gather(*(entry.ask(f"/read/{n}") for n in range(5)))
    assert [one.status for one in (first, *rest)] == [200] * 6


async def test_requests_go_to_the_upstreams_that_take_them():
    scripts = [limited("1"), LimitedScript(answer())]
    replicas = [Replica(f"i-{n}", script) for n, script in enumerate(scripts)]
    async with serving(*replicas) as entry:
        got = [await entry.ask(f"/read/{n}") for n in range(20)]
    assert {one.status for one in got} == {200}
    assert len(scripts[0].record.arrivals) <= 3


async def test_withdrawn_limit_is_kept_to_no_more():
    script = limited("2")
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        script.limit = ""
        await asyncio.sleep(0.6)
        await entry.ask("/read/1")
        got = [await entry.ask(f"/read/{n}") for n in range(20)]
    assert {one.status for one in got} == {200}


async def test_limit_in_a_refusal_counts():
    script = LimitedScript(not_run(), "0.5")
    async with serving(Replica("i-1", script)) as entry:
        for number in range(10):
            await entry.ask(f"/read/{number}", request_id=f"e/{number}")
    assert len(script.record.arrivals) <= 2


async def test_limit_ends_with_the_incarnation_that_named_it():
    script = limited("1")
    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        await entry.ask("/read/0")
        script.limit = ""
        entry.register(replica, born=77)
        got = [await entry.ask(f"/read/{n}") for n in range(10)]
    assert {one.status for one in got} == {200}


@pytest.mark.parametrize(
    "line",
    [
        "HTTP/1.1 421 Word\r\nServer-Limit: 1",
        "HTTP/1.1 503 Word\r\nX-Request-Id: other\r\nServer-Limit: 1",
    ],
)
async def test_limit_of_another_upstream_at_the_same_address_is_not_heard(line):
    """Guards against limiting an upstream by a reply that is not its own."""

    async def script(replica, received, writer):
        writer.write(f"{line}\r\nContent-Length: 0\r\n\r\n".encode())

    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        assert entry.core.context.rate_limits.limits.limits == {}


async def test_prompt_is_not_read_without_a_permit_to_answer_it():
    """Guards against prefilling prompts that no decode engine takes in time."""
    reader, decoder = EngineScript(), LimitedScript(EngineScript(), "1")
    prompt = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:2000,bb:10000"}
    engines = [engine("i-1", reader, "prefill"), engine("i-2", decoder)]
    async with serving(*engines) as entry:
        got = [await entry.ask(f"/long/{n}", **prompt) for n in range(12)]
    served = sum(one.status == 200 for one in got)
    assert {one.status for one in got} == {200, 503}
    assert len(reader.handles) <= served


async def test_long_prompts_get_their_part_of_a_limit():
    """Guards against short requests that take each send as it falls due."""
    routes = [
        route("/talk/", "streaming", "llm", **{"target-latency-ms": 250}),
        route("/long/", "streaming", "llm", **{"target-latency-ms": 800}),
    ]
    script = LimitedScript(EngineScript(), "10")
    long_prompt = {"X_Token_Count": "6000,9", "X_Prompt_Prefix": "aa:2000,bb:4000"}
    short_prompt = {"X_Token_Count": "60,9", "X_Prompt_Prefix": "cc:20,dd:40"}
    one = engine("i-1", script)
    async with serving(one, document=config(routes=routes)) as entry:
        await entry.ask("/talk/x", **short_prompt)

        async def ask(number):
            await asyncio.sleep(number / 40)
            is_long = number % 8 == 0
            target, prompt = (
                ("/long/x", long_prompt) if is_long else ("/talk/x", short_prompt)
            )
            return is_long, (await entry.ask(target, **prompt)).status

        got = await asyncio.gather(*(ask(number) for number in range(160)))
    served = [is_long for is_long, status in got if status == 200]
    assert sum(served) >= 0.25 * 20
    assert len(served) >= 0.8 * 40


async def test_retry_after_its_patience_is_sent_if_an_upstream_has_room():
    """Guards against a reservation that is late as soon as the clock has moved on.

    The choice of an upstream was repeated at once, and the process stood still.
    """

    async def slow_refusal(replica, received, writer):
        await asyncio.sleep(0.2)
        await not_run()(replica, received, writer)

    script = limited("5")
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        async with Replica("i-2", slow_refusal) as other:
            entry.register(other)
            got = [await entry.ask(f"/read/{n}") for n in range(6)]
    assert {one.status for one in got} <= {200, 503}
    assert sum(one.status == 200 for one in got) >= 3


async def test_registration_is_kept_while_an_upstream_limits_its_requests():
    """Guards against forgetting a limit when a registration is only updated."""
    script = limited("1")
    replica = Replica("i-1", script)
    async with serving(replica) as entry:
        await entry.ask("/read/0")
        entry.put("servers/i-1", registration(replica) | {"sequence": 9})
        got = [await entry.ask(f"/read/{n}") for n in range(6)]
    assert sum(one.status == 200 for one in got) <= 2
