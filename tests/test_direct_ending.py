"""Tests of the shutdown of a direct entry: open port and correct responses."""

from __future__ import annotations

import asyncio
import dataclasses
import signal

from bergamotmast.direct import fleet as fleet_module
from bergamotmast.policy.shutdown_admission import ShutdownWindow
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import registration
from direct_support import request
from direct_support import route
from direct_support import serving
from direct_support import until
from platform_standin import EngineScript
from platform_standin import Replica
from platform_standin import Store
from platform_standin import answer
from test_direct_process import process
from test_direct_streams import LONG
from test_direct_streams import plan


@dataclasses.dataclass
class Outcome:
    """The response on a new connection; status 0: closed, -1: connection refused."""

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
    """Run a request and never reply."""
    await asyncio.sleep(60)


async def test_an_entry_accepts_connections_until_it_exits():
    """Guards against closed ports while all entries are restarted in turn.

    An entry stopped listening 2.6 s after SIGTERM and ran until its last stream ended,
    while the load balancer had no other entry to route to. Requests that can complete
    in time are served; others are refused with a Retry-After.
    """
    script = EngineScript(last=40, pause=0.14)
    async with (
        Store() as store,
        Replica("i-1", answer()) as plain,
        engine("i-2", script) as streaming,
    ):
        talk = route("/talk/", "streaming", "llm", **{"timeout-ms": 9000})
        store.put("op/config", config(routes=[talk, route("/read/", "safe")]))
        store.put("servers/i-1", registration(plain))
        store.put("servers/i-2", registration(streaming))
        async with process(store) as entry:
            await entry.until_ready()
            sent = {"X_Token_Count": "400,80", "X_Deadline_Ms": "9000"}
            stream = asyncio.create_task(call(entry.port, "s", "/talk/x", **sent))
            await until(lambda: bool(streaming.received))
            entry.process.send_signal(signal.SIGTERM)
            outcomes = await outcomes_until(stream, entry.port)
            assert (await stream).status == 200
            await asyncio.wait_for(entry.process.wait(), 4)
        ran = {received.request_id for received in plain.received}
    statuses = [outcome.status for outcome in outcomes]
    assert set(statuses) == {200, 503}, statuses
    refused = [outcome for outcome in outcomes if outcome.status == 503]
    assert all(float(outcome.headers["retry-after"]) > 0 for outcome in refused)
    assert not ran & {outcome.request_id for outcome in refused}
    patient = {outcome.request_id for outcome in outcomes[::2]}
    assert patient.issuperset(outcome.request_id for outcome in refused)


async def outcomes_until(stream: asyncio.Task, port: int) -> list[Outcome]:
    """Send requests until a stream ends, alternately with a long and short deadline.

    The last one is left out, as the entry may have received it after its last response.
    """
    outcomes = []
    while True:
        ms = "1000" if len(outcomes) % 2 else "2500"
        outcome = await call(port, f"r-{len(outcomes)}", X_Deadline_Ms=ms)
        await asyncio.sleep(0.1)
        if stream.done():
            return outcomes
        outcomes.append(outcome)


async def test_what_still_runs_at_the_very_end_is_answered():
    """Guards against closed connections for orders that run at the end of a shutdown.

    Their callers are told that the outcome is unknown, or that the deadline has passed,
    and the process exits before it would be killed.
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


async def test_request_waiting_at_the_end_of_a_shutdown_is_refused_as_not_run(
    monkeypatch,
):
    """A request that waits for a role change is refused when the shutdown ends.

    It was not sent anywhere, so that its caller may retry.
    """
    monkeypatch.setattr(fleet_module, "TYPICAL_ROLE_CHANGE_SECONDS", 0.6)
    one = engine("i-1", EngineScript(), "prefill")
    async with serving(one) as entry:
        plan(entry, "i-1", "decode")
        waiting = asyncio.create_task(entry.ask("/talk/x", **LONG))
        await asyncio.sleep(0.2)
        assert not waiting.done()
        now = asyncio.get_running_loop().time()
        entry.core.context.time_limits.begin(ShutdownWindow(now, now + 0.1))
        got = await asyncio.wait_for(waiting, 1)
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0
    assert one.received == []


async def test_a_stream_that_a_shutdown_ends_is_visibly_truncated():
    """Guards against a stream that looks complete when a shutdown ends it.

    The events received so far were forwarded, and the end of the stream is missing.
    """
    async with serving(engine("i-1", EngineScript(last=50, pause=0.05))) as entry:
        streaming = asyncio.create_task(entry.ask("/talk/x"))
        await asyncio.sleep(0.3)
        now = asyncio.get_running_loop().time()
        entry.core.context.time_limits.begin(ShutdownWindow(now, now + 0.1))
        got = await asyncio.wait_for(streaming, 1)
    assert got.status == 200
    assert got.body.count(b"id:") >= 3
    assert not got.complete
