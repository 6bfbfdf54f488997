"""Tests of requests that reach an entry late in the grace of a planned stop."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import signal
import time

import pytest

from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import head
from test_direct_process import Process
from test_direct_process import process

GRACE_SECONDS = 8.0

EXCUSED_SECONDS = 3.0
"""A request that was sent within this time after SIGTERM may be cut off if its upstream
is still at work in the last sixth of the grace."""

SENT_UNTIL = 8.5
INTERVAL_SECONDS = 0.25
BODY_SECONDS = 1.5


@dataclasses.dataclass
class Late:
    """A request and what became of it; points in time after SIGTERM.

    :param ended: how it ended: a status, ``cut`` or ``closed``.
    :param refused: whether its connection was refused.
    """

    request_id: str
    sent_at: float
    ended: str = ""
    ended_at: float = 0.0
    refused: bool = False

    @property
    def is_excused(self) -> bool:
        """Whether it may be cut off, as its upstream is still at work at the end."""
        last_sixth = GRACE_SECONDS * 5 / 6
        return self.sent_at <= EXCUSED_SECONDS and self.ended_at > last_sixth


async def work(replica: Replica, received, writer) -> None:
    """Work for as long as the target says, in milliseconds."""
    seconds = float(received.target.rpartition("/")[2]) / 1e3
    await asyncio.sleep(seconds)
    body = b"fine"
    writer.write(head(200, received.request_id, f"Content-Length: {len(body)}") + body)
    await writer.drain()


class Callers:
    """Callers that send one request after the other around SIGTERM.

    :param told_at: when SIGTERM was sent; a point in time.
    """

    def __init__(self, entry: Process) -> None:
        self.entry = entry
        self.told_at = time.monotonic()
        self.sent: list[Late] = []

    def now(self) -> float:
        return time.monotonic() - self.told_at

    async def send(self, kind: str, number: int, connection=None) -> None:
        """Send a request of a kind, on a new connection if none is given."""
        late = Late(f"{kind}-{number}", self.now())
        self.sent.append(late)
        try:
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", self.entry.port)
        except OSError:
            late.ended, late.refused = "closed", True
            return
        reader, writer = connection
        late.sent_at = self.now()
        try:
            for part in PARTS[kind](late.request_id):
                writer.write(part)
                await writer.drain()
                if kind == "upload":
                    await asyncio.sleep(BODY_SECONDS / 2)
            got = await asyncio.wait_for(read_answer(reader), GRACE_SECONDS + 4)
            late.ended = str(got.status) if got.complete else "cut"
        except (OSError, asyncio.IncompleteReadError):
            late.ended = "closed"
        late.ended_at = self.now()
        writer.close()

    async def send_all(self) -> None:
        """Send requests of all kinds until the grace is over."""
        async with asyncio.TaskGroup() as group:
            held = {}
            for kind in PARTS:
                held[kind] = [
                    await asyncio.open_connection("127.0.0.1", self.entry.port)
                    for _ in range(6)
                ]
            self.told_at = time.monotonic()
            self.entry.process.send_signal(signal.SIGTERM)
            for number in itertools.count():
                if self.now() > SENT_UNTIL:
                    break
                for kind in PARTS:
                    kept = held[kind].pop() if number % 4 == 1 and held[kind] else None
                    group.create_task(self.send(kind, number, kept))
                await asyncio.sleep(INTERVAL_SECONDS)


def _single(target: str, budget_ms: int, **headers: str):
    def parts(request_id: str):
        deadline = {"X_Deadline_Ms": str(budget_ms)}
        yield request(target, request_id=request_id, **headers, **deadline)

    return parts


def _upload(request_id: str):
    whole = request("/order/100", "POST", b"u" * 300_000, request_id)
    for start in range(0, len(whole), len(whole) // 2 + 1):
        yield whole[start : start + len(whole) // 2 + 1]


PARTS = {
    "short": _single("/order/300", 2_000),
    "short, patient": _single("/order/300", 9_000),
    "long": _single("/order/2500", 9_000),
    "upload": _upload,
    "stream": _single("/talk/x", 2_500, X_Token_Count="40,9"),
    "long stream": _single("/long/x", 9_000, X_Token_Count="40,9"),
    "prefilled": _single("/talk/x", 4_000, X_Token_Count="6000,9"),
}


async def reload(store: Store, entry: Process) -> None:
    """Change the configuration and send further signals in the grace."""
    await asyncio.sleep(1.5)
    store.put("op/config", config(2, routes=ROUTES))
    entry.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(1.5)
    with contextlib.suppress(ProcessLookupError):
        entry.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    with contextlib.suppress(ProcessLookupError):
        entry.process.send_signal(signal.SIGHUP)


ROUTES = [
    route("/order/", "unsafe", **{"max-attempts": 1, "timeout-ms": 9_000}),
    route("/talk/", "streaming", "llm", **{"timeout-ms": 9_000}),
    route("/long/", "streaming", "llm", resumable=True, **{"timeout-ms": 9_000}),
]


@pytest.mark.parametrize("is_changed", [False, True], ids=["calm", "reload, signals"])
async def test_requests_late_in_the_grace_are_answered_or_not_run(is_changed):
    """Guards against requests that are taken late in a planned stop, passed on, and cut
    off at its end."""
    script = EngineScript(last=20, pause=0.1)
    replicas = [
        Replica("i-1", work, slots=400),
        engine("p-1", EngineScript(), "prefill"),
        engine("d-1", script),
        engine("d-2", script),
    ]
    async with Store() as store, contextlib.AsyncExitStack() as stack:
        store.put("op/config", config(routes=ROUTES))
        for replica in replicas:
            await stack.enter_async_context(replica)
            store.put(f"servers/{replica.name}", registration(replica))
        entry = await stack.enter_async_context(process(store))
        await entry.until_ready()
        callers = Callers(entry)
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.send_all())
            if is_changed:
                group.create_task(reload(store, entry))
            await asyncio.sleep(0)
            ending = group.create_task(entry.process.wait())
            ending.add_done_callback(lambda _: ends.append(callers.now()))
            ends: list[float] = []
            drained = group.create_task(entry.process.stdout.read())
        lines = [json.loads(line) for line in drained.result().splitlines()]
    ran = {each.request_id for replica in replicas for each in replica.received}
    lost = [
        late
        for late in callers.sent
        if late.request_id in ran
        and late.ended in ("cut", "closed")
        and not late.is_excused
    ]
    untrue = [
        late for late in callers.sent if late.ended == "503" and late.request_id in ran
    ]
    answered = [late for late in callers.sent if late.ended == "200"]
    assert ends and ends[0] < GRACE_SECONDS
    assert lines[-1]["event"]
    assert (lost, untrue) == ([], [])
    assert any(late.sent_at > EXCUSED_SECONDS for late in answered)
