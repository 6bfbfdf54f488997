"""All entries are killed at once while replicas of two software versions serve."""

from __future__ import annotations

import asyncio
import pathlib
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from standins import Replica
from standins import ask
from standins import chunk
from standins import configuration
from standins import head
from standins import main
from standins import now
from standins import route
from standins import system

EVENTS = 80
EVENT_SECONDS = 0.1
STREAMS = 42
TIME_BUDGET_MS = 12_000
STABLE_WINDOW_SECONDS = 3.0
RETRY_AFTER_SECONDS = (0.5, 1.5, 3.6, 5.0)
"""When a consumer takes its stream up again, counted from the break of its channel."""

STREAM_HEADERS = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
PROMPT = {"X-Model": "m", "X-Token-Count": "100,80"}


async def run(replica, received, writer) -> None:
    """Answer as a model replica does."""
    if received.headers.get("x-stage") == "prefill":
        body = b'{"transfer-handle":"h%d","tokens":9,"version":1}' % replica.beat
        length = f"Content-Length: {len(body)}"
        writer.write(head(200, received.id, length) + body)
        return
    first = int(received.headers.get("last-event-id", "0")) + 1
    replica.record(f"{replica.id} ({replica.version}) runs {received.id} from {first}")
    writer.write(head(200, received.id, "X-Weight-Versions: 1", *STREAM_HEADERS))
    for number in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        text = f"id: {number}\ndata: {replica.id} {replica.version} {number}\n\n"
        writer.write(chunk(text.encode()))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


class Consumer:
    """A consumer of one stream, which takes it up again when its channel breaks."""

    def __init__(self, number, entries, record) -> None:
        self.number, self.entries, self.record = number, entries, record
        self.began = now()
        self.text = b""
        self.broken_at = 0.0
        self.task: asyncio.Task | None = None
        self.tries: list[tuple[float, int, bool]] = []

    @property
    def left_ms(self) -> int:
        return TIME_BUDGET_MS - int((now() - self.began) * 1e3)

    @property
    def last_event(self) -> int:
        numbers = re.findall(rb"id: (\d+)\n[^\n]*\n\n", self.text)
        return int(numbers[-1]) if numbers else 0

    @property
    def versions(self) -> set[bytes]:
        return set(re.findall(rb"data: \S+ (\S+)", self.text))

    async def begin(self) -> None:
        port = self.entries[self.number % len(self.entries)].port
        self.task = asyncio.create_task(
            ask(
                port,
                "POST",
                "/talk/x",
                f"s-{self.number}",
                b"prompt %d" % self.number,
                self.left_ms,
                PROMPT,
                self._on_data,
            )
        )

    def _on_data(self, data: bytes) -> None:
        self.text += data

    async def take_up(self, broken_at: float) -> None:
        """Take the stream up again until it goes on."""
        for attempt, delay in enumerate(RETRY_AFTER_SECONDS):
            await asyncio.sleep(max(0.0, broken_at + delay - now()))
            if self.left_ms <= 200:
                return
            before, at = self.last_event, now()
            entry = self.entries[(self.number + 1 + attempt) % len(self.entries)]
            answer = await ask(
                entry.port,
                "POST",
                "/talk/x",
                f"s-{self.number}-{attempt}",
                b"prompt %d" % self.number,
                self.left_ms,
                PROMPT
                | {"Resumes": f"s-{self.number}", "Last-Event-Id": str(before)},
                self._on_data,
            )
            goes_on = self.last_event > before
            self.tries.append((at, answer.status, goes_on))
            self.record(
                f"s-{self.number} from event {before} at {entry.name}: "
                f"status {answer.status}, {answer.how}, "
                f"{'goes on' if goes_on else answer.body[:80]!r}"
            )
            if goes_on:
                return


async def new_stream(entries, number, record) -> bool:
    """Begin a new stream, and tell whether its first event came."""
    entry = entries[number % len(entries)]
    got = asyncio.Event()
    task = asyncio.create_task(
        ask(
            entry.port,
            "POST",
            "/talk/x",
            f"new-{number}",
            b"new %d" % number,
            4000,
            PROMPT,
            lambda data: got.set(),
        )
    )
    waiting = asyncio.create_task(got.wait())
    await asyncio.wait({task, waiting}, timeout=4, return_when="FIRST_COMPLETED")
    record(f"new-{number} at {entry.name}: {'begins' if got.is_set() else 'does not'}")
    for each in (task, waiting):
        each.cancel()
    await asyncio.gather(task, waiting, return_exceptions=True)
    return got.is_set()


async def case(record, temporary, trouble) -> int:
    more = {"timeout-ms": 15_000, "gap-aim-ms": 200}
    routes = [route("/talk/", "streaming", "llm", resumable=True, **more)]
    async with system(record, temporary, 3, configuration(routes)) as (store, entries):
        replicas = [
            Replica(
                store,
                record,
                f"i-{n}",
                "llm",
                run,
                stage="prefill" if n > 8 else "decode",
                version="v1" if n % 2 else "v2",
            )
            for n in range(1, 13)
        ]
        for replica in replicas:
            await replica.start()
        await asyncio.gather(*(entry.start() for entry in entries))
        await asyncio.sleep(8.0)

        consumers = [Consumer(n, entries, record) for n in range(STREAMS)]
        for consumer in consumers:
            await consumer.begin()
        await asyncio.sleep(2.0)
        begun = [c for c in consumers if c.last_event]
        record(f"{len(begun)} streams have begun")
        broken_at = now()
        if trouble:
            record("all entries are killed")
            await asyncio.gather(*(entry.kill() for entry in entries))
            await asyncio.sleep(0.2)
            started_at = now()
            record("all entries are started again")
            await asyncio.gather(*(entry.start() for entry in entries))
            record("all entries are ready")
        else:
            started_at = broken_at - STABLE_WINDOW_SECONDS
            record("all consumers' channels break on the way")
            for consumer in consumers:
                consumer.task.cancel()
        await asyncio.gather(*(c.task for c in consumers), return_exceptions=True)
        taken = [asyncio.create_task(c.take_up(broken_at)) for c in begun]
        await asyncio.sleep(max(0.0, broken_at + RETRY_AFTER_SECONDS[2] - now()))
        serving = {v: 0 for v in ("v1", "v2")}
        for replica in replicas:
            serving[replica.version] += replica.entry["stage"] == "decode"
        new = await asyncio.gather(
            *(new_stream(entries, n, record) for n in range(STREAMS))
        )
        await asyncio.gather(*taken)

    in_touch_from = started_at + STABLE_WINDOW_SECONDS
    counted = [
        [goes_on for at, _, goes_on in c.tries if at >= in_touch_from] for c in begun
    ]
    counted = [tries for tries in counted if tries]
    share = sum(any(tries) for tries in counted) / max(1, len(counted))
    new_share = sum(new) / len(new)
    record(f"replicas that decode, by version: {serving}")
    record(f"streams of two versions: {sum(len(c.versions) > 1 for c in consumers)}")
    record(
        f"taken up at entries in touch: {len(counted)} streams, {share:.2f} go on; "
        f"{new_share:.2f} of the new streams begin"
    )
    if not trouble:
        share = sum(any(t[2] for t in c.tries) for c in begun) / max(1, len(begun))
        record(f"all streams that were taken up: {share:.2f} go on")
    elif len(counted) < 12 or min(serving.values()) < 2:
        return 2
    return 1 if share < new_share / 2 else 0


main(case)
