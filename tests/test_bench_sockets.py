"""Report and load generator of the measurement on real sockets, without timing."""

from __future__ import annotations

import aiohttp
import msgspec
import pytest
from aiohttp import web

from bergamotmast.bench.passthrough import PassThrough
from bergamotmast.bench.sockets_client import UnexpectedAnswerError
from bergamotmast.bench.sockets_client import answer_text
from bergamotmast.bench.sockets_client import call_sample
from bergamotmast.bench.sockets_fleet import TICKS_PER_SECOND
from bergamotmast.bench.sockets_fleet import cpu_seconds
from bergamotmast.bench.sockets_report import Cost
from bergamotmast.bench.sockets_report import Latency
from bergamotmast.bench.sockets_report import Measurement
from bergamotmast.bench.sockets_report import build_report
from bergamotmast.bench.sockets_report import compute_cost
from bergamotmast.bench.sockets_report import compute_latency
from bergamotmast.bench.sockets_report import format_report
from bergamotmast.standins.http_common import serving

ENTRY_CPU = {
    "side-engine-1": 0.5,
    "side-engine-2": 0.5,
    "entry": 2.0,
    "passthrough": 0.0,
}
PASSTHROUGH_CPU = {
    "side-engine-1": 0.0,
    "side-engine-2": 0.0,
    "entry": 0.0,
    "passthrough": 0.5,
}


def measurement():
    return Measurement(
        latency={
            "engine": Latency(0.005, 0.010, 0.010, 0.012),
            "passthrough": Latency(0.006, 0.012, 0.010, 0.013),
            "entry": Latency(0.010, 0.020, 0.010, 0.015),
        },
        streams={
            "passthrough": Cost(10, 1000, 2.0, PASSTHROUGH_CPU),
            "entry": Cost(10, 1000, 4.0, ENTRY_CPU),
        },
        checks={
            "passthrough": Cost(100, 100, 1.0, PASSTHROUGH_CPU),
            "entry": Cost(100, 100, 1.0, ENTRY_CPU),
        },
    )


def test_throughput_per_core_follows_processor_time():
    report = build_report(measurement())
    assert report.per_core["passthrough"].tokens == 2000
    assert report.per_core["entry"].tokens_share == 0.25
    assert report.per_core["side"].requests == 100
    assert report.per_core["side"].requests_share == 0.5


def test_added_latency_is_a_difference_of_percentiles():
    report = build_report(measurement())
    assert report.added_to_engine["entry"].first_p95 == pytest.approx(0.010)
    assert report.added_to_floor.first_p50 == pytest.approx(0.004)


def test_text_report_lists_every_path_and_kind():
    lines = format_report(build_report(measurement())).splitlines()
    assert "entry                     500      0.25        50      0.25" in lines
    assert "added to floor          4.00      8.00         0.00      2.00" in lines
    assert "streams by entry: 2 requests/s, 250 tokens/s" in lines


def test_json_report_holds_the_same_figures():
    decoded = msgspec.json.decode(msgspec.json.encode(build_report(measurement())))
    assert decoded["per_core"]["entry"]["tokens"] == 500
    assert decoded["measured"]["checks"]["entry"]["cpu"] == ENTRY_CPU


def test_cost_excludes_earlier_processor_time():
    samples = [
        call_sample(2, [0.0, 0.1, 0.3, 0.3]),
        call_sample(3, [0.0, 0.2, 0.2, 0.4, 0.4]),
    ]
    cost = compute_cost(samples, 1.0, {"entry": 1.0}, {"entry": 1.5})
    assert (cost.requests, cost.tokens, cost.cpu) == (2, 5, {"entry": 0.5})


def test_costs_of_rounds_add_up():
    total = Cost(1, 2, 3.0, {"entry": 0.5}).plus(Cost(10, 20, 30.0, {"entry": 0.25}))
    assert total == Cost(11, 22, 33.0, {"entry": 0.75})


def test_end_of_stream_event_is_no_token():
    latencies = call_sample(3, [1.0, 1.5, 1.5, 1.75, 9.0])
    assert latencies.first == 0.5
    assert latencies.gaps == (0.0, 0.25)
    assert compute_latency([latencies]).between_p95 == 0.25


def test_processor_time_is_parsed_after_any_command_name():
    fields = " ".join(str(number) for number in range(20))
    assert cpu_seconds(f"7 (a) b) S {fields}") == (10 + 11) / TICKS_PER_SECOND


EVENT = b'data: {"choices":[{"text":"one "}]}\n\n'


def test_text_of_a_complete_stream():
    assert answer_text(EVENT * 2 + b"data: [DONE]\n\n") == "one one "


@pytest.mark.parametrize("stream", [EVENT, EVENT + b"data: [DONE]", EVENT[:-1]])
def test_incomplete_stream_is_an_error(stream):
    with pytest.raises(UnexpectedAnswerError):
        answer_text(stream)


async def test_pass_through_forwards_requests_and_responses_unchanged():
    async def echo(request):
        body = await request.read()
        return web.Response(status=418, body=body[::-1], content_type="text/x")

    engine = web.Application()
    engine.router.add_post("/some/path", echo)
    async with aiohttp.ClientSession() as session, serving(engine) as url:
        proxy = PassThrough(session, url).application()
        async with serving(proxy) as passthrough_url:
            async with session.post(
                passthrough_url + "/some/path", data=b"abc"
            ) as response:
                received = (
                    response.status,
                    response.content_type,
                    await response.read(),
                )
    assert received == (418, "text/x", b"cba")
