"""A drill of the store while all entries lose power: is a window reported twice?

Two entries, two replicas of a plain service, the store and the platform that takes
usage reports. Callers of two tenants send some 20 requests a second. Once the platform
has accepted the second window, the store is away for a second and comes back from a
copy that is three seconds old, and both entries are killed in the same moment. They
start again a second later.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from fleet import Entry
from fleet import base_fields
from http11 import Request
from http11 import Server
from http11 import call
from http11 import response
from replicas import Replica
from store import Store

COPY_AGE_SECONDS = 3.0
AWAY_SECONDS = 1.0
RESTART_SECONDS = 1.0
WATCHED_SECONDS = 30.0
MAX_SECONDS = 110.0

CONTRACTS = (
    "base,drain,config,cost,retry,recover,health,pool,split,stream,engine,tenants,"
    "leader,platform"
)


class Cloud(Server):
    """The platform that takes usage reports, without a check of fences.

    :param accepted: the counts of each accepted report, by window.
    """

    def __init__(self, record) -> None:
        super().__init__()
        self.record = record
        self.accepted: dict[int, list[dict[str, int]]] = {}

    async def answer(self, request: Request) -> None:
        body = json.loads(request.body)
        window, counts = body["window-id"], body["counts"]
        known = self.accepted.setdefault(window, [])
        repeat = counts in known
        if not repeat:
            known.append(counts)
        self.record(
            f"report of window {window} by {request.headers.get('x-lease-holder')} "
            f"under {request.headers.get('x-fencing-token')}: {counts} "
            f"-> 200{', an exact repeat' if repeat else ''}"
        )
        request.writer.write(response(200))


def config() -> dict:
    """Return the operator's configuration."""
    route = {
        "name": "r-hold",
        "host": "rail.example",
        "prefix": "/hold/",
        "kind": "unsafe",
        "timeout-ms": 1691,
        "target-latency-ms": 163,
        "priority": 0,
        "service": "booking",
        "max-attempts": 1,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": "booking", "health-path": "/health"}],
        "tenants": [
            {"name": "hule930", "api-keys": ["k-hule"]},
            {"name": "fida11", "api-keys": ["k-fida"]},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304},
    }


async def send(entries: list[Entry], answers: dict[object, int]) -> None:
    """Send requests of both tenants, without end."""
    rng, number = random.Random(1), 0
    running: set[asyncio.Task] = set()

    async def one(entry: Entry, request_id: str, key: str) -> None:
        headers = [
            ("Host", "rail.example"),
            ("X-Request-Id", request_id),
            ("X-Api-Key", key),
            ("X-Deadline-Ms", "1691"),
        ]
        got = await call(entry.front, "POST", "/hold/2f", headers, b"seat", 1.7)
        status = got[0] if got else "no answer"
        answers[status] = answers.get(status, 0) + 1

    while True:
        number += 1
        key = "k-hule" if rng.random() < 0.6 else "k-fida"
        task = asyncio.create_task(
            one(rng.choice(entries), f"{number:016x}", key)
        )
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.expovariate(20.0))


async def play(out) -> int:
    began = time.monotonic()

    def record(text: str) -> None:
        out.write(f"{time.monotonic() - began:7.2f} s  {text}\n")
        out.flush()

    trouble = os.environ.get("TROUBLE", "1") != "0"
    store, cloud = Store(), Cloud(record)
    replicas = [Replica(f"i-{n}", "booking", store) for n in range(2)]
    entries: list[Entry] = []
    answers: dict[object, int] = {}
    sender = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            await store.start()
            await cloud.listen()
            store.put("op/config", config())
            for replica in replicas:
                await replica.start()
            fields = base_fields(store.address, contracts=CONTRACTS) | {
                "contracts": CONTRACTS,
                "cloud.address": cloud.address,
                "bounds.report-window-s": "5",
                "bounds.usage-late-s": "10",
            }
            entries = [Entry(n, fields, pathlib.Path(folder)) for n in range(2)]
            for entry in entries:
                await entry.start()
            for entry in entries:
                if not await entry.until_ready():
                    record(f"{entry.name} isn't ready")
                    return 2
            sender = asyncio.create_task(send(entries, answers))
            while sum(bool(c) for known in cloud.accepted.values() for c in known) < 2:
                if time.monotonic() - began > 60.0:
                    record("no usage is reported")
                    return 2
                await asyncio.sleep(0.02)
            if trouble:
                record("the store is away, and both entries are killed")
                drill = asyncio.create_task(store.drill(COPY_AGE_SECONDS, AWAY_SECONDS))
                for entry in entries:
                    await entry.kill()
                await asyncio.sleep(RESTART_SECONDS)
                for entry in entries:
                    await entry.start()
                age = await drill
                record(f"the store is back from a copy {age:.1f} s old; entries start")
            end = time.monotonic() + WATCHED_SECONDS
            while time.monotonic() < min(end, began + MAX_SECONDS):
                await asyncio.sleep(0.1)
        finally:
            if sender is not None:
                sender.cancel()
            for entry in entries:
                await entry.kill()
            for replica in replicas:
                await replica.stop()
            await cloud.close()
            await store.stop()
    record(f"callers' answers: {answers}")
    record(f"requests that ran: {sum(len(r.runs) for r in replicas)}")
    doubled = {w: c for w, c in cloud.accepted.items() if len(c) > 1}
    for window, counts in doubled.items():
        record(f"window {window} was accepted with different counts: {counts}")
    record("ONE is broken" if doubled else "ONE holds")
    return 1 if doubled else 0


if __name__ == "__main__":
    with open(sys.argv[1], "w") as out:
        try:
            sys.exit(asyncio.run(play(out)))
        except (OSError, KeyError) as error:
            out.write(f"the case can't run: {error!r}\n")
            sys.exit(2)
