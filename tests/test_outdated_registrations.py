"""Tests of engines that have started anew while their old registration is known.

A crashed engine may come back under its name and address with another build. An entry
that the store turns away, or that has not received the new registration yet, knows the
build of the incarnation before.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing as t

import pytest

from direct_support import Answer
from direct_support import Entry
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from test_builds import SHORT
from test_builds import begin
from test_builds import breaks_when
from test_builds import built
from test_builds import events
from test_builds import resume
from test_builds import streams


def telling(born: object, script: Script) -> Script:
    """Return the script of an engine that tells its start time in its report."""

    async def run(replica: Replica, received: Received, writer: t.Any) -> None:
        if received.target != "/report":
            await script(replica, received, writer)
            return
        body = json.dumps({"born": born, "busy": False, "sequence": 0}).encode()
        length = f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + length.encode() + body)
        await writer.drain()

    return run


def only(entry: Entry, chosen: Replica, *others: Replica) -> None:
    """Let new streams begin at one engine only."""
    for other in others:
        entry.register(other, state="draining")
    entry.register(chosen)


async def lose_connection(entry: Entry, engine: Replica) -> None:
    """Let the entry see that an engine resets a connection."""
    script = engine.script
    engine.script = EngineScript(break_after=1)
    await entry.ask("/long/x", request_id="id-lost", **SHORT)
    engine.script = script


@contextlib.asynccontextmanager
async def restarted(
    form: str, script: Script, born: object = 2
) -> t.AsyncIterator[tuple[Entry, Replica, Replica]]:
    """Run an entry that goes by an old registration of the first of two engines.

    :param form: ``turned away`` by the store, or ``late``: the store is in sync, the
        entry has seen the crash, and the engine has not registered again.
    :param script: of the first engine since its restart.
    """
    one = built("i-1", "v1", telling(1, EngineScript()))
    two = built("i-2", "v1", telling(1, EngineScript(last=4)))
    async with serving(one, two, asks_engines=True) as entry:
        only(entry, one, two)
        if form == "turned away":
            entry.fleet.in_sync = False
        else:
            await lose_connection(entry, one)
        one.script = telling(born, script)
        yield entry, one, two


async def ask_and_break(
    entry: Entry, one: Replica, two: Replica, released: asyncio.Event
) -> Answer:
    """Send a request that the first engine begins and breaks off once released."""
    before = len(streams(one))
    asked = asyncio.create_task(entry.ask("/long/x", request_id="id-2", **SHORT))
    await until(lambda: len(streams(one)) > before)
    await asyncio.sleep(0.2)
    entry.register(two)
    released.set()
    return await asked


FORMS = ("turned away", "late")


@pytest.mark.parametrize("form", FORMS)
async def test_stream_of_a_restarted_engine_does_not_go_on_at_the_old_build(form):
    """Guards against booking a stream at the build of the incarnation before."""
    released = asyncio.Event()
    async with restarted(form, breaks_when(released)) as (entry, one, two):
        got = await ask_and_break(entry, one, two, released)
    assert streams(two) == []
    assert not got.complete
    assert got.body == events(1, 2)


@pytest.mark.parametrize("form", FORMS)
async def test_stream_of_a_restarted_engine_is_not_resumed_at_the_old_build(form):
    """Guards against a record of the wrong build, for callers that resume."""
    script = EngineScript(last=400, pause=0.02)
    async with restarted(form, script) as (entry, one, two):
        await begin(entry, "id-1", last=20)
        only(entry, two, one)
        got = await resume(entry, "id-2", "id-1")
    assert streams(two) == []
    assert got.status == 503


@pytest.mark.parametrize("form", FORMS)
async def test_stream_does_not_go_on_at_a_restarted_engine(form):
    """Guards against moving a stream of the old build to the new one."""
    released = asyncio.Event()
    async with restarted(form, EngineScript()) as (entry, one, two):
        two.script = telling(1, breaks_when(released))
        only(entry, two, one)
        asked = asyncio.create_task(entry.ask("/long/x", request_id="id-2", **SHORT))
        await until(lambda: bool(streams(two)))
        await asyncio.sleep(0.2)
        entry.register(one)
        released.set()
        got = await asked
    assert not got.complete
    assert got.body == events(1, 2)
