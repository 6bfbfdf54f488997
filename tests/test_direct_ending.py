"""An entry told to end, as a process: no closed port, and true answers to the last."""

from __future__ import annotations

import asyncio
import dataclasses
import signal

from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from test_direct_process import process


@dataclasses.dataclass
class Outcome:
    """What a caller of its own connection got; status 0: closed, -1: no listener."""

    request_id: str
    status: int
    headers: dict[str, str]


async def call(port: int, request_id: str, target: str = "/read/x", **headers: str):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return Outcome(request_id, -1, {})
    try:
        writer.write(request(target, request_id=request_id, **headers))
        got = await read_answer(reader)
        return Outcome(request_id, got.status, got.headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Outcome(request_id, 0, {})
    finally:
        writer.close()


async def hang(replica, received, writer):
    """Run a request and never answer it."""
    await asyncio.sleep(60)


async def test_an_entry_told_to_end_takes_callers_while_it_lives():
    """All entries are restarted in turn, and callers find closed ports for seconds.

    An entry that was told to end stopped listening after 2.6 s, and lived on until its
    last stream was over. Its balancer had no other entry to send callers to. What can
    be answered in time is answered; anything else is told when to come back.
    """
    script = EngineScript(last=40, pause=0.12)
    async with (
        Store() as store,
        Replica("i-1", answer()) as plain,
        engine("i-2", script) as streaming,
    ):
        talk = route("/talk/", "streaming", "llm", **{"timeout-ms": 9000})
        store.put("op/config", config(routes=[talk, route("/read/", "safe")]))
        store.put("servers/i-1", registration(plain))
        store.put("servers/i-2", registration(streaming))
        async with process(store, seconds="6") as entry:
            await entry.until_ready()
            sent = {"X_Token_Count": "400,80", "X_Deadline_Ms": "9000"}
            stream = asyncio.create_task(call(entry.port, "s", "/talk/x", **sent))
            await asyncio.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            outcomes = []
            while not stream.done():
                name = f"r-{len(outcomes)}"
                outcomes.append(await call(entry.port, name, X_Deadline_Ms="1000"))
                await asyncio.sleep(0.1)
            assert (await stream).status == 200
            await asyncio.wait_for(entry.process.wait(), 4)
        ran = {received.request_id for received in plain.received}
    assert {outcome.status for outcome in outcomes} <= {200, 503}
    refused = [outcome for outcome in outcomes if outcome.status == 503]
    assert all("retry-after" in outcome.headers for outcome in refused)
    assert not ran & {outcome.request_id for outcome in refused}
    served = [outcome for outcome in outcomes if outcome.status == 200]
    assert len(served) > len(outcomes) / 2


async def test_what_still_runs_at_the_very_end_is_answered():
    """An entry's time to end is over while orders are at work.

    A closed connection would tell their callers nothing. They are told that their
    outcome is unknown, or that their own time is over, and the process still ends
    before it would be killed.
    """
    async with Store() as store, Replica("i-1", hang) as plain:
        slow = {"timeout-ms": 20_000, "target-latency-ms": 9000}
        store.put("op/config", config(routes=[route("/order/", "unsafe", **slow)]))
        store.put("servers/i-1", registration(plain))
        async with process(store, seconds="4") as entry:
            await entry.until_ready()
            calls = [
                asyncio.create_task(
                    call(entry.port, f"o-{ms}", "/order/x", X_Deadline_Ms=ms)
                )
                for ms in ("20000", "2000")
            ]
            await asyncio.sleep(0.2)
            entry.process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(entry.process.wait(), 4)
            outcomes = [await asyncio.wait_for(task, 1) for task in calls]
    assert entry.process.returncode == 0
    assert [outcome.status for outcome in outcomes] == [502, 504]
