"""Tests of upstreams whose replies can't be forwarded unchanged."""

from __future__ import annotations

import asyncio

import pytest

from answer_support import CALLER
from answer_support import ROUTES
from bergamotmast.adapters import upstream_http
from bergamotmast.adapters.http_calls import single_call_session
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.model import Assignment
from bergamotmast.model import Role
from bergamotmast.platform.store import PlatformStore
from bergamotmast.protocol.plan import EnginePlan
from bergamotmast.protocol.plan import encode_record
from bergamotmast.protocol.plan import engine_key
from direct_support import config
from direct_support import engine
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import answer
from platform_standin import chunk
from platform_standin import event
from platform_standin import hang
from platform_standin import head


async def test_response_with_an_invalid_header_is_sent_without_it():
    """Guards against losing a response because of one invalid header.

    The HTTP library reads a control character in a header but refuses to write it. The
    response is sent without that header: without any response, the caller would not
    know that its order ran.
    """
    script = answer(200, b"fine", "X-Odd: a\x07b", "X-Even: ab")
    async with serving(Replica("i-1", script)) as entry:
        got = await asyncio.wait_for(entry.ask("/order/x"), 2)
    assert got.status == 200
    assert got.body == b"fine"
    assert got.headers["x-even"] == "ab"
    assert "x-odd" not in got.headers


@pytest.mark.parametrize("path", ["/order/x", "/talk/x"])
async def test_interim_status_is_not_forwarded(path):
    """Guards against forwarding an unrequested 101 (switching protocols).

    A caller would wait for another response after it.
    """

    async def script(replica: Replica, received: Received, writer) -> None:
        writer.write(head(101, received.request_id))
        await writer.drain()

    plain, llm = Replica("i-1", script), engine("i-2", script)
    async with serving(plain, llm) as entry:
        got = await asyncio.wait_for(entry.ask(path, X_Token_Count="400,9"), 1)
    assert got.status == 502


NO_RESPONSES = [
    *(f"HTTP/1.1 {status} Word" for status in ("000", "007", "099", "600", "999")),
    *(f"HTTP/{version} 200 Word" for version in ("0.9", "2.0", "3.0", "9.9")),
]


def status_line(line: str, *lines: str, body: bytes = b"fine") -> Script:
    """Return the script of a replica whose answer has another status line."""

    async def script(replica: Replica, received: Received, writer) -> None:
        length = f"Content-Length: {len(body)}"
        _, _, rest = head(200, received.request_id, length, *lines).partition(b"\r\n")
        writer.write(line.encode() + b"\r\n" + rest + body)
        await writer.drain()

    return script


@pytest.mark.parametrize("path", ["/read/x", "/order/x", "/talk/x"])
@pytest.mark.parametrize("line", NO_RESPONSES)
async def test_reply_without_a_status_of_http_1_is_not_forwarded(line, path):
    """Guards against an answer whose status or version no HTTP/1 response has."""
    plain, llm = Replica("i-1", status_line(line)), engine("i-2", status_line(line))
    async with serving(plain, llm) as entry:
        got = await asyncio.wait_for(entry.ask(path, X_Token_Count="400,9"), 3)
    assert got.status == 502


@pytest.mark.parametrize("line", ["HTTP/1.1 200 Word", *NO_RESPONSES])
async def test_prefill_without_a_status_of_http_1_is_not_used(line):
    """Guards against a handle from a reply that is no HTTP/1 response."""
    body = b'{"transfer-handle":"h1","tokens":4000,"version":1}'
    prefill = engine("i-1", status_line(line, body=body), "prefill")
    decode = engine("i-2", EngineScript(), "decode")
    async with serving(prefill, decode) as entry:
        got = await asyncio.wait_for(entry.ask("/talk/x", X_Token_Count="4000,9"), 3)
    assert got.status == 200
    sources = [r.headers.get("x-kv-source", "") for r in decode.received]
    assert sources[-1].endswith("/h1") is (line == "HTTP/1.1 200 Word")


@pytest.mark.parametrize("line", NO_RESPONSES)
async def test_answer_of_the_store_without_a_status_of_http_1_is_none(line):
    """Guards against keys from an answer that is no HTTP/1 response."""
    script = status_line(line, body=b'{"items":[],"store-revision":7}')
    async with Replica("store", script) as replica, single_call_session() as session:
        store = PlatformStore(session, replica.address, 3.0)
        with pytest.raises(KeyValueUnavailableError):
            await store.range("servers/")


async def test_group_removed_while_a_stream_waits():
    """Guards against an error when a group is removed while a stream waits for it.

    The stream waits for an engine to change its role; its route and its group are
    removed from the configuration, and then the engine goes.
    """
    one = engine("i-1", EngineScript(), "prefill")
    async with serving(one, document=config(routes=ROUTES)) as entry:
        plan = EnginePlan(1, 1, Assignment(Role.DECODE))
        entry.put(engine_key("i-1"), encode_record(plan))
        task = asyncio.create_task(entry.ask("/talk/x", **CALLER))
        await asyncio.sleep(0.2)
        entry.put("op/config", config(2, routes=[]) | {"services": []})
        await asyncio.sleep(0.1)
        entry.fleet.remove("servers/i-1", entry.revision + 1)
        got = await asyncio.wait_for(task, 1)
    assert got.status == 503


@pytest.mark.parametrize("path", ["/order/x", "/read/x", "/talk/x"])
async def test_reply_with_an_invalid_chunk_fails_at_once(path):
    """Guards against waiting until the deadline after an invalid chunk in a reply."""

    async def script(replica: Replica, received: Received, writer) -> None:
        lines = ("Transfer-Encoding: chunked", "Content-Type: text/event-stream")
        writer.write(head(200, received.request_id, *lines) + chunk(event(1)))
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\n")
        await asyncio.sleep(5)

    plain, llm = Replica("i-1", script), engine("i-2", script)
    async with serving(plain, llm) as entry:
        got = await asyncio.wait_for(entry.ask(path, X_Token_Count="400,9"), 1)
    assert got.status == (200 if path == "/talk/x" else 502)
    assert got.complete is (path != "/talk/x")


@pytest.mark.parametrize("path", ["/order/x", "/talk/x"])
async def test_endless_reply_is_limited_in_size(path, monkeypatch):
    """Guards against exhausting memory with a body, or an event, that never ends.

    The process would be killed with all its running requests. The reply is treated as
    broken once it exceeds the limit.
    """
    monkeypatch.setattr(upstream_http, "MAX_REPLY_BODY_BYTES", 1 << 20)
    sent = 0

    async def script(replica: Replica, received: Received, writer) -> None:
        nonlocal sent
        writer.write(head(200, received.request_id, "Transfer-Encoding: chunked"))
        while sent < 40 << 20:
            writer.write(chunk(b"x" * (1 << 16)))
            sent += 1 << 16
            await writer.drain()
        await hang()(replica, received, writer)

    plain, llm = Replica("i-1", script), engine("i-2", script)
    async with serving(plain, llm) as entry:
        got = await asyncio.wait_for(entry.ask(path, X_Token_Count="400,9"), 2)
    assert got.status == 502
    assert sent < 40 << 20
