"""Streams that callers take up again after all entries were killed, as a release begins.

Two entries, four model replicas of software version v1, and the store. Callers read
streams of some seconds. Both entries are killed in one moment and start again half a
second later. As soon as both are ready, a replica of version v2 starts beside the others,
as at the begin of a release. The callers of the streams that broke take them up again, a
few times as long as their time lasts, and others begin new streams.

With ``TROUBLE=0`` nothing is killed and no replica starts; the callers then drop their
channels themselves in that moment and take the streams up in the same way. With
``TROUBLE=kill`` the entries are killed and no replica starts; the callers then wait until
the entries are in touch. With ``TROUBLE=release`` it is the other way round.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import random
import sys
import tempfile
import time

from fleet import Entry
from fleet import base_fields
from replicas import Engine
from store import Store

RESTART_SECONDS = 0.5
STABLE_SECONDS = 3.0
BUDGET_SECONDS = 8.0
EVENTS = 60
PAUSE_SECONDS = 0.1
BROKEN_STREAMS = 40
NEW_RATE = 8.0
GAP_SECONDS = 2.0
TRIES_AFTER_SECONDS = (0.8, 2.2, 4.9)
"""When a caller takes its stream up again, after it broke: a few times, as the pages say."""


def config() -> dict:
    """Return the operator's configuration."""
    route = {
        "name": "r-sheet",
        "host": "sheets.example",
        "prefix": "/sheet/",
        "kind": "streaming",
        "timeout-ms": 8000,
        "target-latency-ms": 800,
        "priority": 0,
        "service": "llm",
        "max-attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap-aim-ms": 200,
    }
    engine = {
        "slots": 64,
        "kv-capacity-tokens": 487226,
        "token-kv-bytes": 163840,
        "link-mbps": 1300000.0,
        "handle-ttl-s": 5.0,
        "switch-time-s": 3.0,
        "models": [{"name": "m"}],
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": "llm", "health-path": "/health", "engine": engine}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304},
    }


@dataclasses.dataclass
class Stream:
    """A stream as its caller sees it.

    :param began_as: id of the attempt that brought its first event.
    :param until: end of the caller's time budget.
    :param last: number of the last event.
    :param taken_up: whether a machine in touch has read an attempt to take it up.
    :param went_on: whether such an attempt brought an event, or the end.
    """

    began_as: str
    until: float
    last: int = 0
    complete: bool = False
    taken_up: bool = False
    went_on: bool = False
    answers: list[str] = dataclasses.field(default_factory=list)


class Callers:
    """Callers of streams.

    :param in_touch_at: from when on the entries are in touch.
    :param new: status of each new stream that was asked for in touch.
    """

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.streams: list[Stream] = []
        self.in_touch_at = float("inf")
        self.broken = asyncio.Event()
        self.new: list[str] = []
        self.number = 0
        self.patient = False
        self.rng = random.Random(5)

    def _headers(self, request_id: str, stream: Stream | None, until: float) -> bytes:
        lines = [
            "POST /sheet/2f HTTP/1.1",
            "Host: sheets.example",
            f"X-Request-Id: {request_id}",
            "X-Model: m",
            "X-Token-Count: 1228,80",
            "X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:200,e4402b7d:628",
            f"X-Deadline-Ms: {int((until - time.monotonic()) * 1e3)}",
            "Content-Length: 1",
        ]
        if stream is not None:
            lines += [f"Last-Event-Id: {stream.last}", f"Resumes: {stream.began_as}"]
        return ("\r\n".join(lines) + "\r\n\r\nx").encode()

    async def attempt(
        self, entry: Entry, stream: Stream, *, resumed: bool, cut: asyncio.Event | None
    ) -> str:
        """Make one attempt; return the status and how it ended."""
        self.number += 1
        request_id = f"{self.number:016x}"
        if not resumed:
            stream.began_as = request_id
        head = self._headers(request_id, stream if resumed else None, stream.until)
        host, _, port = entry.front.rpartition(":")
        writer = None
        status = "no answer"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head)
            async with asyncio.timeout(GAP_SECONDS):
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            status = lines[0].split(" ")[1]
            if status != "200":
                return status
            while True:
                if cut is not None and cut.is_set():
                    return f"{status}, dropped by its caller"
                async with asyncio.timeout(GAP_SECONDS):
                    size = int(await reader.readline(), 16)
                    data = await reader.readexactly(size + 2)
                if not size:
                    stream.complete = True
                    return f"{status}, complete"
                for line in data.split(b"\n"):
                    if line.startswith(b"id: "):
                        stream.last = int(line[4:])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return f"{status}, broken"
        finally:
            if writer is not None:
                writer.close()

    async def read(self, entry: Entry) -> None:
        """Read a stream, and take it up again if it breaks."""
        stream = Stream("", time.monotonic() + BUDGET_SECONDS)
        self.streams.append(stream)
        await self.attempt(entry, stream, resumed=False, cut=self.broken)
        broke_at = time.monotonic()
        for seconds in TRIES_AFTER_SECONDS:
            if stream.complete or not stream.last:
                return
            due = broke_at + seconds + self.rng.uniform(0.0, 0.3)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            while self.patient and time.monotonic() < self.in_touch_at:
                await asyncio.sleep(0.05)
            if time.monotonic() > stream.until - 0.5:
                return
            other = self.rng.choice(self.entries)
            in_touch = time.monotonic() >= self.in_touch_at
            before = stream.last
            status = await self.attempt(other, stream, resumed=True, cut=None)
            stream.answers.append(status)
            if in_touch and status[:3].isdigit():
                stream.taken_up = True
                if stream.last > before or stream.complete:
                    stream.went_on = True

    async def begin_new(self) -> None:
        """Begin new streams once the entries are in touch, and read their first event."""
        while time.monotonic() < self.in_touch_at:
            await asyncio.sleep(0.05)
        running = set()
        while True:
            task = asyncio.create_task(self._begin_one())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1.0 / NEW_RATE)

    async def _begin_one(self) -> None:
        stream = Stream("", time.monotonic() + BUDGET_SECONDS)
        index = len(self.new)
        self.new.append("")
        reading = self.attempt(
            self.rng.choice(self.entries), stream, resumed=False, cut=None
        )
        try:
            async with asyncio.timeout(1.5):
                self.new[index] = await reading
        except TimeoutError:
            pass
        self.new[index] = "begun" if stream.last else f"not begun: {self.new[index]}"


def count(values: list[str]) -> dict[str, int]:
    return {value: values.count(value) for value in sorted(set(values))}


async def play(out) -> int:
    began = time.monotonic()

    def record(text: str) -> None:
        out.write(f"{time.monotonic() - began:7.2f} s  {text}\n")
        out.flush()

    trouble = os.environ.get("TROUBLE", "1")
    store = Store()
    stages = ("prefill", "prefill", "decode", "decode")
    engines = [
        Engine(f"i-{n}", "llm", store, slots=64, stage=stage)
        for n, stage in enumerate(stages)
    ]
    entries: list[Entry] = []
    tasks: list[asyncio.Task] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            await store.start()
            store.put("op/config", config())
            for engine in engines:
                engine.events, engine.pause_seconds = EVENTS, PAUSE_SECONDS
                await engine.start()
            fields = base_fields(store.address)
            entries = [Entry(n, fields, pathlib.Path(folder)) for n in range(2)]
            for entry in entries:
                await entry.start()
            for entry in entries:
                if not await entry.until_ready():
                    record(f"{entry.name} isn't ready")
                    return 2
            await asyncio.sleep(8.0)
            callers = Callers(entries)
            for number in range(BROKEN_STREAMS):
                tasks.append(asyncio.create_task(callers.read(entries[number % 2])))
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.3)
            begun = sum(bool(s.last) for s in callers.streams)
            record(f"{begun} of {BROKEN_STREAMS} streams have begun")
            if trouble in ("0", "release"):
                record("their callers drop their channels")
                callers.broken.set()
                callers.in_touch_at = time.monotonic()
            else:
                record("both entries are killed")
                callers.patient = trouble == "kill"
                for entry in entries:
                    await entry.kill()
                await asyncio.sleep(RESTART_SECONDS)
                for entry in entries:
                    await entry.start()
                for entry in entries:
                    if not await entry.until_ready():
                        record(f"{entry.name} isn't ready again")
                        return 2
                callers.in_touch_at = time.monotonic() + STABLE_SECONDS
                record("both entries are ready")
            if trouble in ("1", "release"):
                newer = Engine("i-9", "llm", store, slots=64, stage="decode")
                newer.version = "v2"
                newer.events, newer.pause_seconds = EVENTS, PAUSE_SECONDS
                engines.append(newer)
                await newer.start()
                record("a replica of version v2 starts")
            tasks.append(asyncio.create_task(callers.begin_new()))
            await asyncio.sleep(BUDGET_SECONDS)
        finally:
            for task in tasks:
                task.cancel()
            for entry in entries:
                await entry.kill()
            for engine in engines:
                await engine.stop()
            await store.stop()
    taken_up = [s for s in callers.streams if s.taken_up]
    went_on = [s for s in taken_up if s.went_on]
    new = [status for status in callers.new if status]
    begun = [status for status in new if status == "begun"]
    answers = count([a for s in callers.streams for a in s.answers])
    record(f"answers to attempts to take a stream up: {answers}")
    record(f"new streams, in touch: {count(new)}")
    record(f"taken up in touch: {len(taken_up)}, went on: {len(went_on)}")
    if len(taken_up) < 12 or not new:
        record("fewer than 12 streams were taken up: nothing to judge")
        return 2
    share, new_share = len(went_on) / len(taken_up), len(begun) / len(new)
    broken = share < new_share / 2
    record(f"share that goes on {share:.2f}, share of new ones {new_share:.2f}")
    record("LOST is broken" if broken else "LOST holds")
    return 1 if broken else 0


if __name__ == "__main__":
    with open(sys.argv[1], "w") as out:
        try:
            sys.exit(asyncio.run(play(out)))
        except (OSError, KeyError) as error:
            out.write(f"the case can't run: {error!r}\n")
            sys.exit(2)
