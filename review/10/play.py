"""One answer of the store is lost: do the entries still keep to a replica's limit?

Four entries, twelve replicas of a plain service and the store. As the entries start,
the answer to one write of one of them is lost, and the write is carried out five
seconds later. Twenty seconds on, callers send 180 requests a second, two in five of
them to that entry, and the replicas name in their answers how many they take from all
machines together.
"""

from __future__ import annotations

import asyncio
import base64
import os
import pathlib
import random
import sys
import tempfile
import time

from fleet import Entry
from fleet import base_fields
from http11 import call
from replicas import Replica
from store import Store

ENTRIES = 4
REPLICAS = 12
LIMIT = 4.0
RATE = 180.0
LATE_SECONDS = 5.0
SETTLED_SECONDS = 22.0
LIMITED_SECONDS = 25.0

STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
MOST = 1.5 * LIMIT * WINDOW_SECONDS + 5.0
KNOWN_SECONDS = 0.5


def config() -> dict:
    """Return the operator's configuration."""
    route = {
        "name": "r-map",
        "host": "rail.example",
        "prefix": "/map/",
        "kind": "safe",
        "timeout-ms": 1676,
        "target-latency-ms": 162,
        "priority": 0,
        "service": "booking",
        "max-attempts": 2,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": "booking", "health-path": "/health"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304},
    }


class Callers:
    """Callers of all entries.

    :param passed_on: when an entry first passed on an answer of a replica that names
        its limit, by entry and replica.
    """

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.answers: dict[str, dict[object, int]] = {e.name: {} for e in entries}
        self.passed_on: dict[tuple[int, str], float] = {}
        self.number = 0

    async def _one(self, entry: Entry, request_id: str) -> None:
        headers = [
            ("Host", "rail.example"),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "1676"),
        ]
        got = await call(entry.front, "GET", "/map/2f", headers, timeout=1.7)
        counts = self.answers[entry.name]
        status = got[0] if got else "no answer"
        counts[status] = counts.get(status, 0) + 1
        if got and "server-limit" in got[1]:
            key = entry.number, got[1].get("x-served-by", "")
            self.passed_on.setdefault(key, time.monotonic())

    async def send(self) -> None:
        rng = random.Random(3)
        running: set[asyncio.Task] = set()
        while True:
            self.number += 1
            entry = rng.choices(self.entries, (0.4, 0.2, 0.2, 0.2))[0]
            request_id = f"{entry.number:02x}{self.number:014x}"
            task = asyncio.create_task(self._one(entry, request_id))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(rng.expovariate(RATE))


def highest(replica: Replica, named_at: float, callers: Callers) -> tuple[int, dict]:
    """Return the most arrivals in a window that count, and from which entries."""
    arrivals = []
    for run in replica.runs:
        entry = int(run.headers["x-request-id"][:2], 16)
        known_at = callers.passed_on.get((entry, replica.name))
        if known_at is not None and run.at >= known_at + KNOWN_SECONDS:
            if run.at >= named_at + STABLE_SECONDS:
                arrivals.append((run.at, entry))
    most, by_entry, first = 0, {}, 0
    for last, (at, _) in enumerate(arrivals):
        while arrivals[first][0] < at - WINDOW_SECONDS:
            first += 1
        if last - first + 1 > most:
            most = last - first + 1
            by_entry = {}
            for _, entry in arrivals[first : last + 1]:
                by_entry[f"front-{entry}"] = by_entry.get(f"front-{entry}", 0) + 1
    return most, by_entry


async def play(out) -> int:
    began = time.monotonic()

    def record(text: str) -> None:
        out.write(f"{time.monotonic() - began:7.2f} s  {text}\n")
        out.flush()

    trouble = os.environ.get("TROUBLE", "1") != "0"
    store = Store()
    lost: list[float] = []

    def late(body: dict) -> float | None:
        keys = [put["key"] for put in body.get("puts", [])]
        if not trouble or lost or not any(k.endswith("/entries/front-0") for k in keys):
            return None
        lost.append(time.monotonic())
        record(f"the answer to a write of {keys} is lost; it is carried out later")
        return LATE_SECONDS

    store.late = late
    replicas = [Replica(f"i-{n}", "booking", store, slots=64) for n in range(REPLICAS)]
    entries: list[Entry] = []
    tasks: list[asyncio.Task] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            await store.start()
            store.put("op/config", config())
            for replica in replicas:
                replica.extra = {"X_Served_By": replica.name}
                await replica.start()
            fields = base_fields(store.address)
            entries = [Entry(n, fields, pathlib.Path(folder)) for n in range(ENTRIES)]
            for entry in entries:
                await entry.start()
            for entry in entries:
                if not await entry.until_ready():
                    record(f"{entry.name} isn't ready")
                    return 2
            record("all entries are ready")
            await asyncio.sleep(SETTLED_SECONDS)
            listed = {k: base64.b64decode(i["value"]).decode() for k, i in store.items.items() if "/entries/" in k}
            record(f"entries that the store lists: {sorted(listed)}")
            callers = Callers(entries)
            tasks.append(asyncio.create_task(callers.send()))
            await asyncio.sleep(2.0)
            named_at = time.monotonic()
            for replica in replicas:
                replica.extra["Server_Limit"] = f"{LIMIT:.0f}"
            record(f"each replica names a limit of {LIMIT:.0f} a second")
            await asyncio.sleep(LIMITED_SECONDS)
        finally:
            for task in tasks:
                task.cancel()
            for entry in entries:
                await entry.kill()
            for replica in replicas:
                await replica.stop()
            await store.stop()
    if trouble and not lost:
        record("no write was lost")
        return 2
    record(f"answers: {callers.answers}")
    broken = False
    for replica in replicas:
        most, by_entry = highest(replica, named_at, callers)
        over = most > MOST
        broken = broken or over
        record(
            f"{replica.name}: {most} requests in 4 s, {MOST:.0f} allowed"
            f"{', OVER' if over else ''}; from {by_entry}"
        )
    record("LIMIT is broken" if broken else "LIMIT holds")
    return 1 if broken else 0


if __name__ == "__main__":
    with open(sys.argv[1], "w") as out:
        try:
            sys.exit(asyncio.run(play(out)))
        except (OSError, KeyError) as error:
            out.write(f"the case can't run: {error!r}\n")
            sys.exit(2)
