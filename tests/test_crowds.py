"""Crowds of callers that don't behave must not end or block a process.

Each crowd holds its connections open and reads nothing. The tests check nothing that
depends on the speed of the machine: the process lives, its memory and its sockets stay
under their limits, and ordinary requests are answered meanwhile and afterwards.
"""

from __future__ import annotations

import asyncio

import pytest

from crowd_support import ANSWER_SECONDS
from crowd_support import BODY_BYTES
from crowd_support import FEW_DESCRIPTORS
from crowd_support import FILE_DESCRIPTORS
from crowd_support import MEMORY_MB
from crowd_support import Crowd
from crowd_support import CrowdRun
from crowd_support import Usage
from crowd_support import ask
from crowd_support import chunked_body
from crowd_support import crowded_entry
from crowd_support import endless
from crowd_support import head_of
from crowd_support import nothing
from crowd_support import sent_ahead
from crowd_support import sized_body
from direct_support import request
from process_fleet import process_fleet

pytestmark = pytest.mark.crowd

ERROR_LINES = 100
"""Log lines that tell of errors or limits, whatever the number of callers."""

CHUNKED_HEAD = head_of(1, "/read/x", "Transfer-Encoding: chunked")
SMALL = head_of(1, "/read/x", "Content-Length: 5") + b"hello"
LONG_HEAD = head_of(1, "/read/x", "X-Filler: " + "a" * 15_400, "Content-Length: 0")
LONG_BODY = head_of(1, "/read/x", "Content-Length: 60000") + bytes(60_000)

CROWDS = {
    "bodies short of their end": Crowd(40, sized_body(BODY_BYTES)),
    "bodies of streams short of their end": Crowd(
        40, sized_body(BODY_BYTES, missing=100, path="/talk/x")
    ),
    "bodies in pieces": Crowd(40, sized_body(BODY_BYTES, pieces=64)),
    "bodies of half the size": Crowd(80, sized_body(BODY_BYTES // 2)),
    "whole bodies": Crowd(40, sized_body(BODY_BYTES, missing=0)),
    "bodies again and again": Crowd(40, sized_body(BODY_BYTES), comes_back=True),
    "small bodies": Crowd(800, sized_body(65_536)),
    "chunks without end": Crowd(40, chunked_body(BODY_BYTES - 65_536, 16_384)),
    "whole chunked bodies": Crowd(
        40, chunked_body(BODY_BYTES - 65_536, 16_384, end=b"0\r\n\r\n")
    ),
    "chunks of 7 bytes": Crowd(60, chunked_body(BODY_BYTES - 65_536, 7)),
    "chunks of 1 byte": Crowd(24, chunked_body(BODY_BYTES, 1), comes_back=True),
    "trailers without end": Crowd(
        60, endless(CHUNKED_HEAD + b"5\r\nhello\r\n0\r\n", b"X-A: abcdefgh\r\n" * 4_096)
    ),
    "chunk extensions without end": Crowd(
        60, endless(CHUNKED_HEAD + b"5;", b"a" * 65_536)
    ),
    "heads short of their end": Crowd(800, sent_ahead(LONG_HEAD[:-4], 1)),
    "heads without end": Crowd(
        60, endless(LONG_HEAD[:-4], b"\r\nX-A: abcdefgh" * 4_096), comes_back=True
    ),
    "requests sent ahead": Crowd(24, sent_ahead(SMALL * 100, 50), comes_back=True),
    "requests with bodies sent ahead": Crowd(60, sent_ahead(LONG_BODY, 64)),
    "requests with long heads sent ahead": Crowd(100, sent_ahead(LONG_HEAD, 64)),
}

CROWDS_OF_CONNECTIONS = {
    "idle": Crowd(500, nothing),
    "bodies short of their end": Crowd(500, sized_body(100)),
    "again and again": Crowd(500, sized_body(100), comes_back=True),
}

CROWDS_AT_OTHER_DOORS = {
    "bodies short of their end": Crowd(40, sized_body(BODY_BYTES)),
    "whole bodies": Crowd(40, sized_body(BODY_BYTES, missing=0)),
    "chunks of 7 bytes": Crowd(60, chunked_body(BODY_BYTES - 65_536, 7)),
    "heads short of their end": Crowd(800, sent_ahead(LONG_HEAD[:-4], 1)),
    "requests with bodies sent ahead": Crowd(60, sent_ahead(LONG_BODY, 64)),
}


async def play(crowd, folder, door="callers", waves=1, **limits):
    """Play a crowd and check what it has cost the process."""
    async with crowded_entry(folder, **limits) as entry:
        assert await entry.ask() == 200
        answers = []
        async with entry.usage() as usage:
            for _ in range(waves):
                async with CrowdRun(crowd, entry.ports[door]) as run:
                    await run.until_settled()
                    answers.append(await entry.ask())
                    answers.append(await entry.ask_ready())
                    answers.append(await entry.ask_metrics())
                answers.append(await entry.ask())
        lives = entry.process.returncode is None
        lines = entry.error_lines()
    print(f"{usage.memory >> 20} MB, {usage.sockets} sockets, {lines} lines, {answers}")
    assert lives
    assert usage.memory <= MEMORY_MB << 20
    assert lines <= ERROR_LINES
    assert set(answers) == {200}
    return usage


@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_of_callers_costs_no_more_than_the_memory(name, tmp_path):
    """Memory fills with what callers send, or parsing it blocks the event loop."""
    await play(CROWDS[name], tmp_path)


async def test_crowd_that_returns_finds_the_memory_free(tmp_path):
    """What the first crowd has sent is still held as the next one comes."""
    await play(CROWDS["bodies of half the size"], tmp_path, waves=3)


@pytest.mark.parametrize("name", CROWDS_OF_CONNECTIONS)
async def test_crowd_of_connections_leaves_sockets_for_other_work(name, tmp_path):
    """Callers take all descriptors, and neither callers nor upstreams get one."""
    crowd = CROWDS_OF_CONNECTIONS[name]
    usage = await play(crowd, tmp_path, descriptors=FEW_DESCRIPTORS)
    assert usage.sockets <= FEW_DESCRIPTORS - FILE_DESCRIPTORS


@pytest.mark.parametrize("name", CROWDS_AT_OTHER_DOORS)
@pytest.mark.parametrize("door", ["ready", "metrics"])
async def test_crowd_at_another_door_costs_no_more_than_the_memory(
    door, name, tmp_path
):
    """Probes and metrics are served by listeners that know no limits."""
    await play(CROWDS_AT_OTHER_DOORS[name], tmp_path, door=door)


@pytest.mark.parametrize("door", ["ready", "metrics"])
async def test_idle_connections_at_another_door_leave_sockets(door, tmp_path):
    """Callers of another door take all descriptors."""
    crowd = CROWDS_OF_CONNECTIONS["idle"]
    usage = await play(crowd, tmp_path, door=door, descriptors=FEW_DESCRIPTORS)
    assert usage.sockets <= FEW_DESCRIPTORS - FILE_DESCRIPTORS


LARGEST = {
    "with its length": sized_body(BODY_BYTES, missing=0),
    "in large chunks": chunked_body(BODY_BYTES - 65_536, 65_530, end=b"0\r\n\r\n"),
    "in chunks of 7 bytes": chunked_body(BODY_BYTES - 65_536, 7, end=b"0\r\n\r\n"),
    "in chunks of 1 byte": chunked_body(BODY_BYTES // 8, 1, end=b"0\r\n\r\n"),
    "with a long head": sent_ahead(LONG_HEAD, 1),
}


@pytest.mark.parametrize("name", LARGEST)
async def test_single_request_inside_the_limits_is_served(name, tmp_path):
    """A limit that is meant for crowds refuses a single large request."""
    async with crowded_entry(tmp_path) as entry:
        asked = b"".join(LARGEST[name](1))
        assert await ask(entry.ports["callers"], asked) == 200


@pytest.mark.parametrize("name", ["bodies again and again", "requests sent ahead"])
async def test_crowd_does_not_keep_a_process_from_ending(name, tmp_path):
    """A process that is told to end waits for a crowd until it is killed."""
    async with crowded_entry(tmp_path) as entry:
        async with CrowdRun(CROWDS[name], entry.ports["callers"]) as run:
            await run.until_settled()
            entry.process.terminate()
            async with asyncio.timeout(ANSWER_SECONDS):
                assert await entry.process.wait() == 0


ENTRY_BODY_BYTES = 8 << 20
ENTRY_MEMORY_MB = 192

CROWDS_OF_ENTRY = {
    "bodies short of their end": Crowd(
        30, sized_body(ENTRY_BODY_BYTES, path="/v1/completions")
    ),
    "whole bodies": Crowd(
        30, sized_body(ENTRY_BODY_BYTES, missing=0, path="/services/counter")
    ),
    "chunks of 7 bytes": Crowd(60, chunked_body(ENTRY_BODY_BYTES - 65_536, 7)),
    "requests with bodies sent ahead": Crowd(60, sent_ahead(LONG_BODY, 64)),
}


@pytest.mark.parametrize("name", CROWDS_OF_ENTRY)
async def test_crowd_costs_an_entry_with_sides_no_more_than_its_memory(
    name, tmp_path, monkeypatch
):
    """The memory of an entry before sides fills with what callers send."""
    monkeypatch.setenv("BERGAMOTMAST_MEMORY_MB", str(ENTRY_MEMORY_MB))
    async with process_fleet(tmp_path, 0, 1, 1) as fleet:
        port = int(fleet.urls["entry-1"].rpartition(":")[2])
        process = fleet.processes["entry-1"]
        asked = request("/services/counter")
        assert await ask(port, asked) == 200
        async with Usage(process.pid, [port]) as usage:
            async with CrowdRun(CROWDS_OF_ENTRY[name], port) as run:
                await run.until_settled()
                answers = [await ask(port, asked)]
            answers.append(await ask(port, asked))
        print(f"{usage.memory >> 20} MB, {usage.sockets} sockets, {answers}")
        assert process.returncode is None
        assert usage.memory <= ENTRY_MEMORY_MB << 20
        assert answers == [200, 200]


async def test_largest_body_is_served_beside_a_crowd_of_stalled_ones(tmp_path):
    """A caller within the limits waits behind a crowd until its deadline."""
    crowd = CROWDS["bodies short of their end"]
    async with crowded_entry(tmp_path) as entry:
        async with CrowdRun(crowd, entry.ports["callers"]) as run:
            await run.until_settled()
            assert await entry.ask(bytes(BODY_BYTES)) == 200
