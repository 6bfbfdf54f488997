"""Tests of upstreams that answer a long upload at once and reset the connection."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from bergamotmast.adapters import service_http
from bergamotmast.adapters.http_calls import client_session
from bergamotmast.adapters.http_calls import single_call_session
from bergamotmast.adapters.key_value_http import HttpKeyValueService
from bergamotmast.adapters.service_http import HttpService
from bergamotmast.errors import ConnectionLostError
from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import ReplyLostError
from bergamotmast.model import ServiceCall
from bergamotmast.platform.store import PlatformStore
from bergamotmast.ports import Put
from direct_support import HOST
from direct_support import engine
from direct_support import read_answer
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import answer
from platform_standin import event
from platform_standin import head
from platform_standin import read_head
from platform_standin import read_request
from platform_standin import reset

UPLOAD = b"u" * (1 << 20)
SMALL = b"u" * 9


class EarlyReplica(Replica):
    """A replica that answers before it has read the body, and resets the connection.

    :param part: what it sends of the body of its answer.
    :param later: time from the answer to the reset, in seconds.
    :param lines: further header lines of its answer.
    :param whole_first: how many requests of a connection it answers as usual before.
    """

    def __init__(
        self,
        part: bytes,
        later: float,
        *lines: str,
        whole_first: int = 0,
        **entry: object,
    ) -> None:
        super().__init__("i-1", answer(), **entry)
        self.part = part
        self.later = later
        self.lines = lines
        self.whole_first = whole_first

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for _ in range(self.whole_first):
                received = await read_request(reader)
                if received is None:
                    return
                self.received.append(received)
                await self.script(self, received, writer)
            received = await read_head(reader)
            if received is None:
                return
            self.received.append(received)
            writer.write(head(200, received.request_id, *self.lines) + self.part)
            await asyncio.sleep(self.later)
            reset(writer)


PARTS = [b"", b"x", b"x" * 1_000, b"x" * 65_536, b"x" * 300_000]
LATER = [0.0, 0.001, 0.05]


@pytest.mark.parametrize("path", ["/order/x", "/read/x"])
@pytest.mark.parametrize("later", LATER)
@pytest.mark.parametrize("part", PARTS, ids=len)
async def test_early_reply_that_is_reset_is_not_forwarded_as_whole(part, later, path):
    """Guards against a part of an answer that looks complete, as the connection was
    reset while the upload was still being written."""
    async with serving(EarlyReplica(part, later)) as entry:
        for body in (UPLOAD, SMALL):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                got = await asyncio.wait_for(entry.ask(path, body=body), 4)
                assert got.status == 502 or not got.complete


@pytest.mark.parametrize("later", LATER)
@pytest.mark.parametrize("part", PARTS[:4], ids=len)
async def test_early_reply_on_a_used_connection_is_not_forwarded_as_whole(part, later):
    """Guards against the same on the second use of a kept connection."""
    replica = EarlyReplica(part, later, whole_first=1)
    async with serving(replica) as entry:
        assert (await entry.ask("/read/x", "GET", b"")).status == 200
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            got = await asyncio.wait_for(entry.ask("/read/x", body=UPLOAD), 4)
            assert got.status == 502 or not got.complete


@pytest.mark.parametrize("later", LATER)
@pytest.mark.parametrize("length", ["", f"Content-Length: {1 << 20}"])
async def test_early_reply_to_an_upload_in_chunks_is_not_forwarded_as_whole(
    length, later
):
    """Guards against the same for a caller that tells no length."""
    replica = EarlyReplica(b"x" * 1_000, later, *([length] if length else []))
    async with serving(replica) as entry:
        reader, writer = await entry.connect()
        lines = (
            "X-Request-Id: id-1\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked"
        )
        writer.write(
            f"POST /order/x HTTP/1.1\r\nHost: {HOST}\r\n{lines}\r\n\r\n".encode()
        )
        for _ in range(16):
            writer.write(b"10000\r\n" + b"u" * 65_536 + b"\r\n")
        writer.write(b"0\r\n\r\n")
        got = await asyncio.wait_for(read_answer(reader), 4)
        writer.close()
    assert got.status == 502 or not got.complete


@pytest.mark.parametrize("later", LATER)
async def test_early_stream_that_is_reset_is_not_forwarded_as_whole(later):
    """Guards against the same for events, which end with an event."""
    lines = ("Content-Type: text/event-stream", "X-Weight-Versions: 1")
    more = {"service": "llm", "slots": 64, "stage": "decode"}
    replica = EarlyReplica(event(1) + event(2), later, *lines, **more)
    async with serving(replica) as entry:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            asked = entry.ask("/talk/x", body=UPLOAD, X_Token_Count="40,9")
            got = await asyncio.wait_for(asked, 4)
            assert got.status in (502, 504) or not got.complete


@pytest.mark.parametrize("later", LATER)
async def test_early_prefill_that_is_reset_is_not_used(later):
    """Guards against a handle from a part of a reply."""
    body = b'{"transfer-handle":"h1","tokens":4000,"version":1}'
    more = {"service": "llm", "slots": 64, "stage": "prefill"}
    decode = engine("i-2", EngineScript(), "decode")
    async with serving(EarlyReplica(body, later, **more), decode) as entry:
        asked = entry.ask("/talk/x", body=UPLOAD, X_Token_Count="4000,9")
        got = await asyncio.wait_for(asked, 4)
    assert got.status == 200
    sources = [r.headers.get("x-kv-source", "") for r in decode.received]
    assert not any(source.endswith("/h1") for source in sources)


@pytest.mark.parametrize("later", LATER)
async def test_early_answer_of_the_store_that_is_reset_is_none(later):
    """Guards against a write that counts as carried out by a part of an answer."""
    replica = EarlyReplica(b'{"revision":7}', later)
    async with replica, single_call_session() as session:
        store = PlatformStore(session, replica.address, 3.0)
        with pytest.raises(KeyValueOutcomeUnknownError):
            await store.txn([], [Put("/bergamotmast/x", UPLOAD)])


@pytest.mark.parametrize("later", LATER)
async def test_early_answer_of_a_service_that_is_reset_is_none(later):
    """Guards against the same behind a side."""
    loop = asyncio.get_running_loop()
    replica = EarlyReplica(b"x" * 1_000, later)
    async with replica, client_session() as session:
        service = HttpService(session, f"http://{replica.address}")
        with pytest.raises(ConnectionLostError):
            await service.call(service_call(UPLOAD, loop.time() + 2.0))


@pytest.mark.parametrize("later", LATER)
async def test_early_answer_of_a_key_value_service_that_is_reset_is_none(later):
    """Guards against the same in the product's own store."""
    replica = EarlyReplica(b'{"succeeded":true}', later)
    async with replica, client_session() as session:
        kv = HttpKeyValueService(session, f"http://{replica.address}")
        with pytest.raises(KeyValueOutcomeUnknownError):
            await kv.txn([], [Put("/bergamotmast/x", UPLOAD)])


async def test_endless_answer_of_a_service_is_limited(monkeypatch):
    """Guards against a service that takes all memory of a side."""
    monkeypatch.setattr(service_http, "MAX_ANSWER_BYTES", 1 << 20)
    sent = 0

    async def endless(replica, received, writer):
        nonlocal sent
        writer.write(head(200, received.request_id))
        while True:
            writer.write(b"a" * 60_000)
            sent += 60_000
            await writer.drain()

    loop = asyncio.get_running_loop()
    async with Replica("s-1", endless) as replica, client_session() as session:
        service = HttpService(session, f"http://{replica.address}")
        with pytest.raises(ReplyLostError):
            await service.call(service_call(b"", loop.time() + 5.0))
    assert sent < 32 << 20


def service_call(body: bytes, deadline: float) -> ServiceCall:
    return ServiceCall(
        "id-1", "t", "c", 0, "r", "POST", "/x", body, "", False, "", deadline, 0.0
    )
