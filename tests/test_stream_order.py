"""Tests of the order of a stream's events, however its engines number or end them."""

from __future__ import annotations

import asyncio
import typing as t

import pytest

from bergamotmast.direct.decode_attempt import STALL_TIMEOUT_SECONDS
from direct_support import Answer
from direct_support import config
from direct_support import engine
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import chunk
from platform_standin import event
from platform_standin import head
from platform_standin import reset

SHORT = {"X_Token_Count": "400,80", "X_Prompt_Prefix": "cc:100,dd:300"}
RESUMABLE = config(
    routes=[
        route(
            "/long/",
            "streaming",
            "llm",
            resumable=True,
            **{"timeout-ms": 9000, "max-attempts": 3},
        )
    ]
)
LAST = 6
FRAMINGS = ["chunks", "length", "neither"]


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


def sends(
    numbers: t.Iterable[int],
    framing: str = "chunks",
    tail: bytes = b"",
    part_size: int = 0,
    delay: float = 0.0,
) -> Script:
    """Return the script of an engine that sends these events and ends its answer.

    :param framing: how the end of the body is told; ``neither`` by its connection.
    :param tail: bytes after the last event.
    :param part_size: size of the packets; 0 for one packet.
    :param delay: seconds before the answer.
    """

    async def script(replica: Replica, received: Received, writer: t.Any) -> None:
        await asyncio.sleep(delay)
        body = b"".join(map(event, numbers)) + tail
        line = {
            "chunks": "Transfer-Encoding: chunked",
            "length": f"Content-Length: {len(body)}",
            "neither": "Connection: close",
        }[framing]
        first = head(200, received.request_id, "X-Weight-Versions: 1", line)
        if framing == "chunks":
            body = (chunk(body) if body else b"") + b"0\r\n\r\n"
        whole = first + body
        size = part_size or len(whole)
        for start in range(0, len(whole), size):
            writer.write(whole[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)
        if framing == "neither":
            writer.close()

    return script


def resumes_at(shift: int) -> Script:
    """Return the script of an engine that goes on a shift too early or too late."""

    async def script(replica: Replica, received: Received, writer: t.Any) -> None:
        last_event = int(received.headers.get("last-event-id", "0"))
        first = max(1, last_event + 1 + shift) if last_event else 1
        await sends(range(first, LAST + 1))(replica, received, writer)

    return script


def is_in_order(got: Answer, first: int = 1) -> bool:
    """Return whether a caller got events in order, and all of them if it seems so."""
    whole = events(first, LAST)
    if got.status != 200:
        return True
    return got.body == whole if got.complete else whole.startswith(got.body)


async def ask_moved(first: Replica, *others: Replica) -> Answer:
    """Send a request that the first engine begins, and the others may go on with."""
    async with serving(first, *others, document=RESUMABLE) as entry:
        for other in others:
            entry.register(other, state="draining")
        asked = asyncio.create_task(entry.ask("/long/x", X_Deadline_Ms="8000", **SHORT))
        await until(lambda: bool(first.received))
        for other in others:
            entry.register(other)
        return await asked


@pytest.mark.parametrize("shift", [-9, -2, -1, 0, 1, 2])
async def test_stream_that_moves_has_each_event_once(shift):
    """Guards against an engine that goes on at a wrong event after another's crash."""
    first = engine("i-1", EngineScript(last=LAST, break_after=2, pause=0.05))
    got = await ask_moved(first, engine("i-2", resumes_at(shift)))
    assert is_in_order(got)
    assert got.complete is (shift <= 0)


async def test_event_that_an_engine_skips_is_had_from_another():
    """Guards against a stream that is cut though a sound engine is left."""
    first = engine("i-1", EngineScript(last=LAST, break_after=2, pause=0.05))
    skipping = engine("i-2", resumes_at(1))
    sound = engine("i-3", EngineScript(last=LAST))
    got = await ask_moved(first, skipping, sound)
    assert (got.status, got.complete, got.body) == (200, True, events(1, LAST))


@pytest.mark.parametrize("shift", [-9, -1, 0, 1])
async def test_stream_that_a_caller_resumes_goes_on_at_the_next_event(shift):
    """Guards against an engine that skips, or repeats, what the caller has received."""
    async with serving(engine("i-1", resumes_at(shift)), document=RESUMABLE) as entry:
        got = await entry.ask("/long/x", Resumes="id-0", Last_Event_Id="3", **SHORT)
    assert is_in_order(got, 4)
    assert (got.status == 200 and got.complete) is (shift <= 0)


@pytest.mark.parametrize(
    "numbers",
    [[1, 2, 2, 3, 4, 5, 6], [1, 2, 3, 1, 2, 3, 4, 5, 6], [1, 2, 3, 2, 4, 5, 5, 6, 6]],
    ids=["twice", "from the start", "back"],
)
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_event_that_comes_again_is_not_forwarded(numbers, framing):
    """Guards against a number that comes twice or goes back within one run."""
    async with serving(
        engine("i-1", sends(numbers, framing)), document=RESUMABLE
    ) as entry:
        got = await entry.ask("/long/x", **SHORT)
    assert (got.status, got.complete, got.body) == (200, True, events(1, LAST))


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("tail", [b"i", b"id: 3\n", event(3)[:-1], b"\n"])
async def test_stream_that_ends_cleanly_within_an_event_goes_on(framing, tail):
    """Guards against an end that a head or a last chunk confirms within an event."""
    first = engine("i-1", sends([1, 2], framing, tail, delay=0.1))
    got = await ask_moved(first, engine("i-2", EngineScript(last=LAST)))
    assert (got.status, got.complete, got.body) == (200, True, events(1, LAST))


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_stream_that_broke_within_an_event_has_that_event(framing):
    """Guards against the empty answer of an engine that has nothing to go on with."""
    first = engine("i-1", EngineScript(last=LAST, break_after=2, pause=0.05))
    got = await ask_moved(first, engine("i-2", sends([], framing)))
    assert is_in_order(got)


@pytest.mark.parametrize("part_size", [1, 2, 3, 7, 23])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_events_in_many_packets_are_forwarded_whole(part_size, framing):
    """Guards against events that are cut or doubled where packets end."""
    script = sends(range(1, LAST + 1), framing, part_size=part_size)
    async with serving(engine("i-1", script), document=RESUMABLE) as entry:
        got = await entry.ask("/long/x", **SHORT)
    assert (got.status, got.complete, got.body) == (200, True, events(1, LAST))


@pytest.mark.parametrize("at_once", ["1", "2", "all"])
@pytest.mark.parametrize("torn", [False, True])
async def test_engine_that_speaks_again_beside_its_replacement(at_once, torn):
    """Guards against events of both engines as they speak at the same moment."""
    spoken = asyncio.Event()
    count = {"1": 1, "2": 2, "all": LAST - 2}[at_once]

    async def silent(replica: Replica, received: Received, writer: t.Any) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines) + chunk(events(1, 2)))
        if torn:
            writer.write(chunk(event(3)[:9]))
        await spoken.wait()
        rest = events(3, LAST)[9 if torn else 0 :]
        writer.write(chunk(rest) + b"0\r\n\r\n")
        await writer.drain()

    async def replacement(replica: Replica, received: Received, writer: t.Any) -> None:
        first = int(received.headers["last-event-id"]) + 1
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines))
        writer.write(chunk(events(first, first + count - 1)))
        spoken.set()
        await asyncio.sleep(0.05)
        writer.write(
            chunk(events(first + count, LAST)) if first + count <= LAST else b""
        )
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    first, second = engine("i-1", silent), engine("i-2", replacement)
    asked = asyncio.create_task(ask_moved(first, second))
    await until(lambda: bool(second.received), STALL_TIMEOUT_SECONDS + 2.0)
    got = await asked
    assert (got.status, got.complete, got.body) == (200, True, events(1, LAST))


async def test_overtaken_engine_that_speaks_again_is_not_heard():
    """Guards against an engine that goes on after another one has overtaken it."""
    overtaken = asyncio.Event()

    async def silent(replica: Replica, received: Received, writer: t.Any) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines) + chunk(events(1, 2)))
        await overtaken.wait()
        writer.write(chunk(events(3, LAST)) + b"0\r\n\r\n")
        await writer.drain()

    async def replacement(replica: Replica, received: Received, writer: t.Any) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines) + chunk(event(3)))
        await writer.drain()
        overtaken.set()
        await asyncio.sleep(0.05)
        reset(writer)

    third = engine("i-3", EngineScript(last=LAST))
    got = await ask_moved(engine("i-1", silent), engine("i-2", replacement), third)
    assert is_in_order(got)
