"""The caller interface over real HTTP, with an entry and scripted upstreams."""

from __future__ import annotations

import asyncio
import contextlib
import json

import aiohttp
import pytest
import yarl
from aiohttp.test_utils import TestServer

from bergamotmast.entry.http import EntryHttp
from bergamotmast.errors import ResultCode
from bergamotmast.logs import ContextFilter
from bergamotmast.settings import DEFAULT_CONTEXT_TOKENS
from support import MODEL
from support import FirstComeFirstServed
from support import ScriptedService
from support import expected_text
from support import fleet


@contextlib.asynccontextmanager
async def served(**counts):
    async with fleet(**counts) as f:
        for upstream in f.upstreams.values():
            upstream.pace = 0.005
        server = TestServer(EntryHttp(f.entries["entry-1"]).application())
        await server.start_server()
        async with aiohttp.ClientSession(server.make_url("/")) as session:
            yield f, session
        await server.close()


async def events_of(response):
    events = []
    async for line in response.content:
        if line.startswith(b"data: ") and line != b"data: [DONE]\n":
            events.append(json.loads(line[6:]))
    return events


async def test_completion_is_complete():
    async with served(engines=1) as (_, session):
        body = {"model": MODEL, "prompt": "a b", "max_tokens": 4}
        async with session.post("/v1/completions", json=body) as response:
            answer = await response.json()
    assert answer["choices"][0]["text"] == expected_text(4)
    assert answer["usage"]["completion_tokens"] == 4


async def test_streamed_chat_is_complete():
    async with served(engines=1) as (_, session):
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "a b"}],
            "max_tokens": 4,
            "stream": True,
        }
        async with session.post("/v1/chat/completions", json=body) as response:
            assert response.content_type == "text/event-stream"
            events = await events_of(response)
    text = "".join(e["choices"][0]["delta"]["content"] for e in events)
    assert text == expected_text(4)
    assert events[-1]["choices"][0]["finish_reason"] == "length"


async def test_failed_stream_ends_with_an_error_event():
    # Every engine fails at the third token. The caller already has two tokens and
    # status 200, so the result code is the last event of the stream.
    async with served(engines=4) as (f, session):
        for upstream in f.upstreams.values():
            upstream.break_at = 2
        body = {"model": MODEL, "prompt": "a", "max_tokens": 4, "stream": True}
        async with session.post("/v1/completions", json=body) as response:
            events = await events_of(response)
    assert events[-1]["error"]["code"] == ResultCode.UPSTREAM_FAILED
    assert events[-1]["error"]["outcome"] == "ran"


async def test_a_service_call_passes_through():
    async with served(services=1) as (_, session):
        async with session.post("/services/counter/7", data=b"box") as response:
            assert await response.read() == b"ok box"


async def test_a_service_sees_the_path_and_query_as_they_were_sent():
    # Unescaping would change the meaning: a service that was asked for
    # "a%2Fb?x=1%262" must not be called with "a/b?x=1&2".
    async with served(services=1) as (f, session):
        url = yarl.URL("/services/counter/a%2Fb?x=1%262", encoded=True)
        async with session.post(url, data=b"box") as response:
            assert response.status == 200
        assert f.upstreams["service-1"].paths == ["/counter/a%2Fb?x=1%262"]


async def test_queue_full_is_reported_when_all_upstreams_refuse_for_load():
    # The only service has a full queue. The caller must get code 201 for that, not the
    # code for a missing upstream, which operators would then search for.
    async with served() as (f, session):
        policy = FirstComeFirstServed(queue_limit=0)
        f.add_upstream("service-1", ScriptedService(), policy)
        await f.ready()
        async with session.post("/services/counter", data=b"") as response:
            error = (await response.json())["error"]
        assert error["code"] == ResultCode.QUEUE_FULL


GOOD = {"model": MODEL, "prompt": "a", "max_tokens": 1}


@pytest.mark.parametrize(
    ("path", "body", "headers", "code"),
    [
        ("/v1/completions", b"{", {}, ResultCode.MALFORMED_BODY),
        ("/v1/completions", b"\xff\xfe", {}, ResultCode.MALFORMED_BODY),
        ("/v1/completions", {"model": MODEL}, {}, ResultCode.MALFORMED_BODY),
        ("/v1/completions", GOOD | {"max_tokens": 0}, {}, ResultCode.MALFORMED_BODY),
        (
            "/v1/chat/completions",
            {"model": MODEL, "messages": []},
            {},
            ResultCode.MALFORMED_BODY,
        ),
        ("/v1/completions", GOOD | {"model": "no"}, {}, ResultCode.UNKNOWN_MODEL),
        (
            "/v1/completions",
            GOOD | {"max_tokens": DEFAULT_CONTEXT_TOKENS},
            {},
            ResultCode.PROMPT_TOO_LONG,
        ),
        ("/v1/completions", b"x" * 9_000_000, {}, ResultCode.BODY_TOO_LARGE),
        ("/v1/completions", GOOD, {"X-Tenant": "a b"}, ResultCode.BAD_HEADER),
        ("/v1/completions", GOOD, {"X-Request-Class": "é"}, ResultCode.BAD_HEADER),
        ("/v1/completions", GOOD, {"X-Request-Id": "x" * 99}, ResultCode.BAD_HEADER),
        (
            "/v1/completions",
            GOOD,
            {"Authorization": "Bearer nobody's"},
            ResultCode.UNAUTHENTICATED,
        ),
        ("/services/nothing", b"", {}, ResultCode.UNKNOWN_ROUTE),
        ("/nowhere", b"", {}, ResultCode.UNKNOWN_ROUTE),
        ("/v1/models", b"", {}, ResultCode.UNKNOWN_ROUTE),
    ],
)
async def test_bad_input_gets_a_code_and_nothing_runs(path, body, headers, code):
    async with served(engines=1, services=1) as (f, session):
        data = body if isinstance(body, bytes) else json.dumps(body)
        async with session.post(path, data=data, headers=headers) as response:
            error = (await response.json())["error"]
        assert error["code"] == code
        assert error["outcome"] == "not_run"
        assert error["message"]
        assert not any(upstream.runs for upstream in f.upstreams.values())


async def test_refusal_has_a_retry_after_header():
    async with served(engines=1) as (f, session):
        await f.kill("engine-1")
        f.list.infos.clear()
        f.entries["entry-1"].membership.peers["engine-1"].report = None
        async with session.post("/v1/completions", json=GOOD) as response:
            assert response.status == 503
            assert int(response.headers["Retry-After"]) >= 1
            assert (await response.json())["error"]["outcome"] == "not_run"


@pytest.mark.parametrize("stream", [True, False])
async def test_disconnect_before_the_first_token_cancels_the_request(stream):
    async with served(engines=1) as (f, session):
        engine = f.upstreams["engine-1"]
        engine.pace = 30.0
        body = GOOD | {"stream": stream}
        with pytest.raises(TimeoutError):
            timeout = aiohttp.ClientTimeout(total=0.2)
            await session.post("/v1/completions", json=body, timeout=timeout)
        async with asyncio.timeout(10):
            while not engine.closed:
                await asyncio.sleep(0.05)


async def test_internal_error_has_a_code_and_logs_the_request_id(caplog):
    # The policy raises an unexpected exception. The caller gets code 900 with the
    # outcome "unknown", and the log record carries the request id.
    async with served(engines=1) as (f, session):
        caplog.handler.addFilter(ContextFilter("entry-1"))
        f.entries["entry-1"].policy.choose = None
        headers = {"X-Request-Id": "find-me"}
        path = "/v1/completions"
        async with session.post(path, json=GOOD, headers=headers) as response:
            assert response.status == 500
            error = (await response.json())["error"]
        assert (error["code"], error["outcome"]) == (ResultCode.INTERNAL, "unknown")
        failed = [r for r in caplog.records if r.getMessage() == "request failed"]
        assert [r.request_id for r in failed] == ["find-me"]


async def test_entry_that_shuts_down_is_not_ready():
    async with served(engines=1) as (f, session):
        async with session.get("/health/ready") as response:
            assert response.status == 200
        f.entries["entry-1"].closing = True
        async with session.get("/health/ready") as response:
            assert response.status == 503
