"""Tests of answers that are cut on a connection that has been used before.

The answers before are whole, so that the library's parser has a state of its own. The
cut ones come as one packet that holds the head and a part of the body, or as two.
"""

from __future__ import annotations

import asyncio
import weakref

import pytest

from direct_support import engine
from direct_support import serving
from direct_support import until
from platform_standin import Replica
from platform_standin import Script
from platform_standin import head
from platform_standin import reset
from test_cut_heads import BODY
from test_cut_heads import EVENT_STREAM
from test_cut_heads import EVENTS
from test_cut_heads import PATHS
from test_cut_heads import forget_failures
from test_cut_heads import parser

__all__ = ["parser"]

CALLS = {
    "plain": ("/read/x", {"method": "GET", "body": b""}, [BODY]),
    "stream": ("/long/x", {"X_Token_Count": "40,9"}, EVENTS),
    "resumed stream": (
        "/long/x",
        {"X_Token_Count": "40,9", "Last_Event_Id": "1", "Resumes": "id-0"},
        EVENTS[1:],
    ),
}
KEPT = "Connection: keep-alive"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
KINDS = ["1.1", "1.1 interim", "1.1 chunks", "1.0", "1.0 without a length"]


def whole_answer(kind: str, parts: list[bytes]) -> tuple[bytes, bytes]:
    """Return a head and a body; ``ID`` stands for the request's id."""
    body = b"".join(parts)
    lines = [EVENT_STREAM] if len(parts) > 1 else []
    if kind == "1.1 chunks":
        first = head(200, "ID", "Transfer-Encoding: chunked", *lines)
        chunks = [f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts]
        return first, b"".join(chunks) + b"0\r\n\r\n"
    if kind == "1.0 without a length":
        return head(200, "ID", *lines).replace(b"1.1", b"1.0", 1), body
    first = head(200, "ID", f"Content-Length: {len(body)}", KEPT, *lines)
    if kind == "1.0":
        first = first.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    return (INTERIM if kind == "1.1 interim" else b"") + first, body


class ReusedScript:
    """Sends whole answers, and one that is cut when told so.

    :param cut_at: bytes after which the next answer ends; ``None`` for a whole one.
    :param packet: size of the first packet of that answer; 0 for a single packet.
    :param served: how many answers each connection has brought.
    :param cut_on: number of answers that the cut answer's connection had brought.
    """

    def __init__(self, first: bytes, body: bytes, ending: str, kept: bool) -> None:
        self.whole = first + body
        self.ending = ending
        self.kept = kept
        self.cut_at: int | None = None
        self.packet = 0
        self.served: weakref.WeakKeyDictionary[asyncio.StreamWriter, int] = (
            weakref.WeakKeyDictionary()
        )
        self.cut_on = -1

    async def __call__(self, replica, received, writer) -> None:
        whole = self.whole.replace(b"ID", received.request_id.encode())
        growth = len(whole) - len(self.whole)
        before = self.served.get(writer, 0)
        self.served[writer] = before + 1
        cut_at, self.cut_at = self.cut_at, None
        if cut_at is None:
            writer.write(whole)
            if not self.kept:
                writer.close()
            return
        self.cut_on = before
        sent = (
            whole[: cut_at + growth]
            if cut_at > self.whole.index(b"ID")
            else (whole[:cut_at])
        )
        for part in (sent[: self.packet], sent[self.packet :]):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.001)
        if self.ending == "reset":
            reset(writer)
        else:
            writer.close()


def new_replica(path: str, script: Script) -> Replica:
    return engine("i-1", script) if PATHS[path] == "llm" else Replica("i-1", script)


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("call", CALLS)
async def test_answer_that_is_cut_on_its_connections_second_use(call, kind, ending):
    """Guards against half of an answer, and a second run that the library adds."""
    path, headers, parts = CALLS[call]
    first, body = whole_answer(kind, parts)
    kept = kind != "1.0 without a length"
    script = ReusedScript(first, body, ending, kept)
    replica = new_replica(path, script)
    expected = b"".join(parts)
    unclear = set()
    if not kept and ending == "close":
        # The end of the connection ends such a body wherever it looks whole.
        boundaries = [len(first)]
        for part in parts:
            boundaries.append(boundaries[-1] + len(part))
        unclear = (
            set(boundaries)
            if len(parts) > 1
            else set(range(len(first), len(first + body)))
        )
    places = sorted({*range(0, len(first), 11), len(first) - 1, len(first)})
    places += [len(first) + 3, len(first + body) - 1]
    async with serving(replica) as entry:
        for at in places:
            if at in unclear:
                continue
            for packet in (0, min(at, len(first) // 2)):
                forget_failures(entry)
                got = await entry.ask(path, request_id=f"sound-{at}", **headers)
                assert (got.status, got.complete, got.body) == (200, True, expected)
                script.cut_at, script.packet = at, packet
                replica.received.clear()
                got = await entry.ask(path, request_id=f"cut-{at}", **headers)
                assert script.cut_on == (1 if kept else 0), at
                assert len(replica.received) == 1, at
                assert not (got.status == 200 and got.complete), at
                assert got.status in (200, 502), at
                if got.status == 200:
                    assert expected.startswith(got.body), at
                    assert not got.body or got.body.endswith(b"\n\n"), at


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [100, 101, 102, 199])
async def test_interim_head_without_a_final_one_is_no_answer(status, call):
    """Guards against an interim head that is taken for the answer, cut or whole."""
    path, headers, parts = CALLS[call]
    first = head(status, "ID", *([EVENT_STREAM] if len(parts) > 1 else []))
    script = ReusedScript(first, b"".join(parts), "close", kept=True)
    for at in [*range(1, len(first), 13), len(first), len(script.whole)]:
        replica = new_replica(path, script)
        async with serving(replica) as entry:
            script.cut_at = at
            got = await entry.ask(path, **headers)
            assert got.status == 502, at
            assert len(replica.received) == 1, at


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("kind", ["1.1", "1.1 chunks"])
async def test_rest_of_a_cut_answer_is_no_answer_to_the_next_request(call, kind):
    """Guards against the rest of an answer whose request has been given up."""
    path, headers, parts = CALLS[call]
    first, body = whole_answer(kind, parts)
    waiting = asyncio.Event()

    async def halting(replica, received, writer) -> None:
        whole = (first + body).replace(b"ID", received.request_id.encode())
        if received.request_id != "id-halted":
            writer.write(whole)
            return
        writer.write(whole[: len(first) - 9])
        await waiting.wait()
        writer.write(whole[len(first) - 9 :] * 2)

    replica = new_replica(path, halting)
    async with serving(replica) as entry:
        before = await entry.ask(path, request_id="id-1", **headers)
        halted = asyncio.create_task(
            entry.ask(
                path, request_id="id-halted", **headers | {"X_Deadline_Ms": "200"}
            )
        )
        await until(lambda: len(replica.received) == 2)
        got = await halted
        assert got.status in (502, 504)
        waiting.set()
        after = await entry.ask(path, request_id="id-2", **headers)
    assert before.body == after.body == b"".join(parts)
    assert after.headers["x-request-id"] == "id-2"
