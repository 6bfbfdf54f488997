"""Tests of what an entry keeps of an upstream that has started anew under its name.

Its registration comes later than its first replies, which the entry takes for those of
the incarnation before.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

import pytest

from direct_support import Entry
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import answer
from platform_standin import chunk
from platform_standin import event
from platform_standin import head
from test_builds import LONG
from test_builds import SHORT
from test_builds import built
from test_builds import streams
from test_outdated_registrations import telling

FORMS = ("turned away", "late")


@contextlib.asynccontextmanager
async def in_doubt(
    form: str, replica: Replica, target: str, **headers: str
) -> t.AsyncIterator[Entry]:
    """Run an entry that may take another incarnation for the registered one.

    :param form: ``turned away`` by the store, or ``late``: the entry has seen that a
        connection was reset, and the registration has not come.
    """
    script = replica.script
    replica.script = answer()
    async with serving(replica, asks_engines=True) as entry:
        if form == "turned away":
            entry.fleet.in_sync = False
        else:
            await lose(entry, replica, target, **headers)
        replica.script = script
        replica.received.clear()
        yield entry


async def lose(entry: Entry, replica: Replica, target: str, **headers: str) -> None:
    """Let the entry see that a connection ends without a reply."""

    async def close(replica: Replica, received: Received, writer: t.Any) -> None:
        writer.close()

    replica.script = close
    await entry.ask(target, request_id="id-lost", **headers)


def resting(seconds: str) -> Script:
    """Return the script of a replica that turns requests away and asks for rest."""

    async def run(replica: Replica, received: Received, writer: t.Any) -> None:
        writer.write(
            b"HTTP/1.1 503 Word\r\nX-Not-Executed: 1\r\n"
            + f"Retry-After: {seconds}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        await writer.drain()

    return run


def arrivals(replica: Replica) -> int:
    """Return how many requests of callers have reached a replica."""
    return sum(received.target != "/report" for received in replica.received)


PLACES = {"plain": "/read/x", "engine": "/long/x"}


def started_anew(place: str, script: Script) -> Replica:
    """Return a replica that is registered as the incarnation before."""
    if place == "plain":
        return Replica("i-1", script, born=1)
    return built("i-1", "v1", telling(2, script))


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("place", PLACES)
async def test_rest_holds_once_the_upstream_that_asked_has_registered(place, form):
    """Guards against forgetting a wish for rest with the registration of its sender."""
    replica = started_anew(place, resting("30"))
    target = PLACES[place]
    async with in_doubt(form, replica, target, **SHORT) as entry:
        await entry.ask(target, **SHORT)
        before = arrivals(replica)
        entry.fleet.in_sync = True
        entry.register(replica, born=2)
        for number in range(4):
            await entry.ask(target, request_id=f"id-{number}", **SHORT)
    assert before
    assert arrivals(replica) == before


@pytest.mark.parametrize("form", FORMS)
async def test_limit_holds_once_the_upstream_that_named_it_has_registered(form):
    """Guards against a burst at an upstream in need as its registration comes."""
    named = answer(200, b"fine", "Server-Limit: 1")
    replica = started_anew("plain", named)
    async with in_doubt(form, replica, "/read/x") as entry:
        await entry.ask("/read/x")
        entry.fleet.in_sync = True
        entry.register(replica, born=2)
        asked = (entry.ask(f"/read/{n}", request_id=f"id-{n}") for n in range(10))
        await asyncio.gather(*asked)
    assert 1 <= arrivals(replica) <= 3


@pytest.mark.parametrize("form", FORMS)
async def test_engine_that_leaves_is_known_to_leave_once_it_has_registered(form):
    """Guards against sending to an engine that said that it leaves before its
    registration, which tells nothing of it yet, was known."""
    replica = started_anew("engine", streaming(2, "Server-Leaving: 1"))
    async with in_doubt(form, replica, "/long/x", **SHORT) as entry:
        await entry.ask("/long/x", **SHORT)
        before = arrivals(replica)
        await asyncio.sleep(0.1)
        entry.fleet.in_sync = True
        entry.register(replica, born=2)
        got = await entry.ask("/long/x", request_id="id-2", **SHORT)
    assert before
    assert arrivals(replica) == before
    assert got.status == 503


@pytest.mark.parametrize("place", PLACES)
async def test_words_of_an_upstream_that_registers_again_are_its_own(place):
    """Guards against ascribing what an incarnation has said to the one after it, where
    its own registration has shown since that it still ran."""
    replica = started_anew(place, resting("30"))
    if place == "engine":
        replica.script = telling(1, resting("30"))
    target = PLACES[place]
    async with in_doubt("late", replica, target, **SHORT) as entry:
        await entry.ask(target, **SHORT)
        entry.register(replica)
        before = arrivals(replica)
        entry.register(replica, born=2)
        await entry.ask(target, request_id="id-2", **SHORT)
    assert arrivals(replica) > before


def streaming(last: int, *more: str) -> Script:
    """Return the script of an engine that streams the answer to any request.

    :param more: further headers.
    """

    async def run(replica: Replica, received: Received, writer: t.Any) -> None:
        lines = ("X-Weight-Versions: 1", "Transfer-Encoding: chunked")
        writer.write(head(200, received.request_id, *lines, *more))
        for number in range(1, last + 1):
            writer.write(chunk(event(number)))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return run


async def test_kv_cache_of_the_incarnation_before_is_neither_imported_nor_freed():
    """Guards against a handle that the new incarnation has given to another request."""
    reads = EngineScript(prefill_seconds=0.2)
    reader = built("i-1", "v1", telling(1, reads), "prefill")
    decoder = built("i-2", "v1", telling(1, streaming(4)))
    async with serving(reader, decoder, asks_engines=True) as entry:
        asked = asyncio.create_task(entry.ask("/long/x", **LONG))
        await asyncio.sleep(0.1)
        entry.register(reader, born=2)
        reader.script = telling(2, reads)
        got = await asked
        await asyncio.sleep(0.1)
    assert got.complete
    (received,) = streams(decoder)
    assert not received.headers.get("x-kv-source", "").endswith("/h0")
    assert "h0" not in reads.freed


async def test_prefix_is_not_fetched_from_an_engine_that_may_have_started_anew():
    """Guards against fetching what the incarnation before had in its cache."""
    one = built("i-1", "v1", telling(1, EngineScript(prefill_seconds=0.3)), "prefill")
    two = built("i-2", "v1", telling(1, EngineScript(prefill_seconds=0.3)), "prefill")
    decoder = built("i-3", "v1", telling(1, EngineScript()))
    fetched = {}
    for doubted in (False, True):
        async with serving(one, two, decoder, asks_engines=True) as entry:
            one.received.clear()
            two.received.clear()
            entry.register(two, state="draining")
            first = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:3000,b1:9000"}
            second = {"X_Token_Count": "12000,9", "X_Prompt_Prefix": "aa:3000,b2:9000"}
            await entry.ask("/talk/x", **first)
            entry.register(two)
            (member,) = [
                m for m in entry.fleet.present("llm", 0.0) if m.name == one.name
            ]
            if doubted:
                entry.core.context.incarnations.on_sign(member, "reset")
            placer = entry.core.context.placer
            now = asyncio.get_running_loop().time()
            placer.engine_load(member).begin(("peer", 1), 5.0, 0, now)
            await entry.ask("/talk/x", request_id="id-2", **second)
            prefills = [r for r in two.received if r.target != "/report"]
            sources = [r.headers.get("kv-fetch") for r in prefills]
            fetched[doubted] = [source == one.address for source in sources]
    assert fetched == {False: [True], True: [False]}
