"""A replica crashes while a caller's prompts have many parts: do the entries go on?

Two entries, five model replicas, two replicas of a plain service and the store. Ordinary
callers send ten plain requests a second to each entry. One caller sends streams whose
prompts share 1,000 parts of 16 tokens, eight at a time, inside all limits. One of the
model replicas crashes, and is back two seconds later. With ``TROUBLE=0`` it doesn't.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile
import time

from fleet import Entry
from fleet import base_fields
from http11 import call
from replicas import Engine
from replicas import Replica
from store import Store

SHARED_PARTS = 1_000
STREAMS = 8
CRASH_SECONDS = 2.0
RATE = 10.0
TIMEOUT_SECONDS = 1.5
PROBE_SECONDS = 1.0
WATCHED_SECONDS = 45.0
MAX_HEADER_BYTES = 16_384

HUNG_SECONDS = 5.0
"""Time without any answer, with the processor in use, from which a process hangs. The
platform takes a machine out after two probes in a row, asked a second apart."""


def config() -> dict:
    """Return the operator's configuration."""
    note = {
        "name": "r-note",
        "host": "notes.example",
        "prefix": "/note/",
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
    push = {
        "name": "r-push",
        "host": "notes.example",
        "prefix": "/push/",
        "kind": "unsafe",
        "timeout-ms": int(TIMEOUT_SECONDS * 1e3),
        "target-latency-ms": 125,
        "priority": 0,
        "service": "crew",
        "max-attempts": 1,
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
        "routes": [note, push],
        "services": [
            {"name": "llm", "health-path": "/health", "engine": engine},
            {"name": "crew", "health-path": "/health"},
        ],
        "limits": {"max-header-bytes": MAX_HEADER_BYTES, "max-body-bytes": 4194304},
    }


class Watch:
    """What one entry answers.

    :param answered_at: when it last answered anything.
    :param longest: longest time without an answer, and the processor's use in it.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry
        self.answered_at = time.monotonic()
        self.cpu = entry.cpu_seconds()
        self.longest = (0.0, 0.0)
        self.misses = 0
        self.answers: dict[object, int] = {}
        self.late = self.never = 0

    def on_answer(self) -> None:
        self.look()
        self.answered_at, self.cpu = time.monotonic(), self.entry.cpu_seconds()

    def look(self) -> None:
        """Note for how long nothing was answered, and the share of a core used."""
        silent = time.monotonic() - self.answered_at
        if silent > self.longest[0]:
            used = self.entry.cpu_seconds() - self.cpu
            self.longest = silent, used / max(silent, 1e-3)

    async def probe(self) -> None:
        """Ask for readiness once a second, as the platform does."""
        while True:
            asked = call(
                self.entry.ready, "GET", "/readiness", [("Host", "x")], timeout=1.0
            )
            if await asked is None:
                self.misses += 1
            else:
                self.on_answer()
            await asyncio.sleep(PROBE_SECONDS)

    async def ordinary(self) -> None:
        """Send plain requests."""
        running, number = set(), 0
        while True:
            number += 1
            task = asyncio.create_task(self._one(number))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1.0 / RATE)

    async def _one(self, number: int) -> None:
        headers = [
            ("Host", "notes.example"),
            ("X-Request-Id", f"{self.entry.number:02x}{number:014x}"),
            ("X-Deadline-Ms", str(int(TIMEOUT_SECONDS * 1e3))),
        ]
        began = time.monotonic()
        seconds = TIMEOUT_SECONDS + 0.5
        got = await call(self.entry.front, "POST", "/push/2f", headers, b"pin", seconds)
        status = got[0] if got else "no answer"
        self.answers[status] = self.answers.get(status, 0) + 1
        if got is None:
            self.never += 1
            return
        self.on_answer()
        if time.monotonic() - began > TIMEOUT_SECONDS:
            self.late += 1


async def stream(entry: Entry, number: int) -> object:
    """Send a prompt with many shared parts and one of its own."""
    shared = ",".join(f"{0xA00000 + n:06x}:16" for n in range(SHARED_PARTS))
    headers = [
        ("Host", "notes.example"),
        ("X-Request-Id", f"ff{number:014x}"),
        ("X-Model", "m"),
        ("X-Token-Count", f"{SHARED_PARTS * 16 + 100},80"),
        ("X-Prompt-Prefix", f"{shared},{0xB00000 + number:06x}:100"),
        ("X-Deadline-Ms", "8000"),
    ]
    size = sum(len(name) + len(value) + 4 for name, value in headers) + 40
    assert size <= MAX_HEADER_BYTES
    body = f"question {number}".encode()
    got = await call(entry.front, "POST", "/note/2f", headers, body, 8.0)
    return got[0] if got else "no answer"


async def play(out) -> int:
    began = time.monotonic()

    def record(text: str) -> None:
        out.write(f"{time.monotonic() - began:7.2f} s  {text}\n")
        out.flush()

    trouble = os.environ.get("TROUBLE", "1") != "0"
    store = Store()
    stages = ("prefill", "prefill", "decode", "decode", "decode")
    engines = [
        Engine(f"i-{n}", "llm", store, slots=64, stage=stage)
        for n, stage in enumerate(stages)
    ]
    plain = [Replica(f"p-{n}", "crew", store) for n in range(2)]
    entries: list[Entry] = []
    tasks: list[asyncio.Task] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            await store.start()
            store.put("op/config", config())
            for engine in engines:
                engine.events, engine.pause_seconds = 20, 0.1
            for replica in (*engines, *plain):
                await replica.start()
            fields = base_fields(store.address)
            entries = [Entry(n, fields, pathlib.Path(folder)) for n in range(2)]
            for entry in entries:
                await entry.start()
            for entry in entries:
                if not await entry.until_ready():
                    record(f"{entry.name} isn't ready")
                    return 2
            watches = [Watch(entry) for entry in entries]
            for watch in watches:
                tasks.append(asyncio.create_task(watch.probe()))
                tasks.append(asyncio.create_task(watch.ordinary()))
            await asyncio.sleep(5.0)
            streams = []
            for number in range(STREAMS):
                work = stream(entries[number % 2], number)
                streams.append(asyncio.create_task(work))
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.6)
            runs = {e.name: len(e.runs) for e in engines}
            record(f"streams with {SHARED_PARTS} shared parts run: {runs}")
            if trouble:
                victim = max(engines, key=lambda engine: len(engine.runs))
                record(f"{victim.name} crashes; it is back in {CRASH_SECONDS:.0f} s")
                tasks.append(asyncio.create_task(victim.crash(CRASH_SECONDS)))
            end = time.monotonic() + WATCHED_SECONDS
            while time.monotonic() < end:
                await asyncio.sleep(0.1)
                for watch in watches:
                    watch.look()
            record(f"answers to the streams: {await asyncio.gather(*streams)}")
        finally:
            for task in tasks:
                task.cancel()
            alive = {entry.name: entry.runs for entry in entries}
            for entry in entries:
                await entry.kill()
            for replica in (*engines, *plain):
                await replica.stop()
            await store.stop()
    hung = 0
    for watch in watches:
        silent, used = watch.longest
        unanswered = watch.late + watch.never
        record(
            f"{watch.entry.name}: runs {alive[watch.entry.name]}; longest time without "
            f"any answer {silent:.1f} s, in which it used {used:.2f} of a core; "
            f"{watch.misses} probes not answered; plain requests {watch.answers}; of "
            f"{unanswered} without an answer at timeout-ms, {watch.never} had none half "
            f"a second later"
        )
        hung += silent >= HUNG_SECONDS and used >= 0.7 and watch.never * 2 > unanswered
    record(f"processes that hung: {hung}")
    record("Fault is broken" if hung else "Fault holds")
    return 1 if hung else 0


if __name__ == "__main__":
    with open(sys.argv[1], "w") as out:
        try:
            sys.exit(asyncio.run(play(out)))
        except (OSError, KeyError) as error:
            out.write(f"the case can't run: {error!r}\n")
            sys.exit(2)
