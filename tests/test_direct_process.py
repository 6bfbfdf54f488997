"""Tests of the direct entry as a process: readiness, signals, notices, metrics."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys

import aiohttp
import msgspec
import pytest

from bergamotmast.direct.peer_messages import NoticeBatch
from bergamotmast.direct.prefill_notice import PrefillNotice
from bergamotmast.direct.presence import PRESENCE_PREFIX
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
from platform_standin import not_run
from support import free_port

ROOT = pathlib.Path(__file__).resolve().parent.parent


@dataclasses.dataclass
class Process:
    """A running direct entry and its ports."""

    process: asyncio.subprocess.Process
    port: int
    ready_port: int
    peer_port: int
    metrics_port: int

    async def get(self, port: int, path: str) -> tuple[int, str]:
        async with aiohttp.ClientSession() as session:
            url = f"http://127.0.0.1:{port}{path}"
            async with session.get(url) as response:
                return response.status, await response.text()

    async def readiness(self) -> int:
        try:
            return (await self.get(self.ready_port, "/readiness"))[0]
        except aiohttp.ClientError:
            return 0

    async def until_ready(self) -> None:
        async with asyncio.timeout(20):
            while await self.readiness() != 200:
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def process(store: Store, name: str = "entry-1", seconds: str = "8"):
    """Run a direct entry as the platform does."""
    ports = [free_port() for _ in range(4)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    settings = {
        "BERGAMOTMAST_NAME": name,
        "BERGAMOTMAST_ZONE": "zone-a",
        "BERGAMOTMAST_STORE_ADDRESS": store.address,
        "BERGAMOTMAST_LISTEN_ADDRESS": addresses[0],
        "BERGAMOTMAST_READY_ADDRESS": addresses[1],
        "BERGAMOTMAST_PEER_ADDRESS": addresses[2],
        "BERGAMOTMAST_METRICS_ADDRESS": addresses[3],
        "BERGAMOTMAST_SHUTDOWN_SECONDS": seconds,
    }
    started = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "serve.py"),
        "direct",
        env=os.environ | settings,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 20,
    )
    try:
        yield Process(started, *ports)
    finally:
        if started.returncode is None:
            started.kill()
        await started.communicate()


async def logged(entry: Process) -> list[dict]:
    """Wait for the process to exit and return its log lines."""
    output, _ = await entry.process.communicate()
    return [json.loads(line) for line in output.splitlines()]


async def test_sigterm_cuts_off_no_request():
    """SIGTERM arrives while a stream is running and another connection is idle.

    The readiness probe fails at once; new requests are still served for a moment, with
    "Connection: close"; the idle connection is closed; the stream completes; and the
    process exits before the platform would kill it.
    """
    script = EngineScript(last=30, pause=0.12)
    async with Store() as store, engine("i-1", script) as replica:
        talk = route("/talk/", "streaming", "llm", **{"timeout-ms": 8000})
        store.put("op/config", config(routes=[talk]))
        store.put("servers/i-1", registration(replica))
        async with process(store) as entry:
            await entry.until_ready()
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
            idle, idle_writer = await asyncio.open_connection("127.0.0.1", entry.port)
            writer.write(
                request("/talk/x", X_Token_Count="400,80", X_Deadline_Ms="8000")
            )
            await asyncio.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await entry.readiness() == 503
            late, late_writer = await asyncio.open_connection("127.0.0.1", entry.port)
            late_writer.write(request("/nowhere/x", request_id="id-2"))
            refused = await read_answer(late)
            assert refused.status == 404
            assert refused.headers["connection"] == "close"
            assert await asyncio.wait_for(idle.read(), 4) == b""
            got = await asyncio.wait_for(read_answer(reader), 8)
            assert got.complete
            assert got.body.count(b"id:") == 30
            await asyncio.wait_for(entry.process.wait(), 4)
            for each in (writer, idle_writer, late_writer):
                each.close()
            lines = await logged(entry)
    assert entry.process.returncode == 0
    events = [line["event"] for line in lines]
    for expected in ("starts", "store is reached", "stops soon", "stops"):
        assert expected in events
    ended = [line for line in lines if line["event"] == "request ended"]
    assert {line["request_id"] for line in ended} == {"id-1", "id-2"}


async def test_part_of_the_retry_budget_grows_from_the_start_of_a_process():
    """Guards against an entry without any retries until it has seen enough requests."""
    replicas = [Replica(f"i-{number}", not_run()) for number in range(2)]
    async with Store() as store, replicas[0], replicas[1]:
        store.put("op/config", config())
        for replica in replicas:
            store.put(f"servers/{replica.name}", registration(replica))
        async with process(store) as entry:
            await entry.until_ready()
            for _ in range(2):
                await asyncio.sleep(1.0)
                reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
                writer.write(request("/read/x"))
                assert (await read_answer(reader)).status == 503
                writer.close()
            entry.process.send_signal(signal.SIGTERM)
            lines = await logged(entry)
    asked = [line for line in lines if line["event"].startswith("second send")]
    assert [line["entries"] for line in asked] == [1, 1]
    assert 0.0 < asked[0]["part"] < asked[1]["part"] < 1.0


async def test_sighup_has_no_effect_on_requests_and_metrics_are_served():
    async with Store() as store, Replica("i-1", answer()) as replica:
        store.put("op/config", config())
        store.put("servers/i-1", registration(replica))
        async with process(store) as entry:
            await entry.until_ready()
            entry.process.send_signal(signal.SIGHUP)
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
            writer.write(request("/order/x"))
            assert (await read_answer(reader)).status == 200
            writer.close()
            status, text = await entry.get(entry.metrics_port, "/metrics")
            assert status == 200
            assert 'requests_ended_total{class="r-order-",code="ok"} 1.0' in text
            assert "class_total_seconds_bucket" in text
            assert await entry.readiness() == 200
            entry.process.send_signal(signal.SIGTERM)
            lines = await logged(entry)
    assert "reload" in [line["event"] for line in lines]


async def test_entries_announce_prefills_to_each_other():
    """Two entries register; the prefill of a long prompt is announced to the other."""

    class Peer(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.found: list[bytes] = []

        def datagram_received(self, data: bytes, addr: object) -> None:
            self.found.append(data)

    loop = asyncio.get_running_loop()
    transport, peer = await loop.create_datagram_endpoint(
        Peer, local_addr=("127.0.0.1", 0)
    )
    port = transport.get_extra_info("sockname")[1]
    async with (
        Store() as store,
        engine("i-1", EngineScript(), "prefill") as one,
        engine("i-2", EngineScript()) as two,
    ):
        store.put("op/config", config())
        store.put("servers/i-1", registration(one))
        store.put("servers/i-2", registration(two))
        store.put(PRESENCE_PREFIX + "other", f"127.0.0.1:{port}".encode())
        async with process(store) as entry:
            await entry.until_ready()
            # Invalid datagrams must have no effect.
            for noise in (b"", b"\xff" * 40, msgspec.msgpack.encode([1, 2])):
                transport.sendto(noise, ("127.0.0.1", entry.peer_port))
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
            headers = {"X_Token_Count": "6000,9", "X_Prompt_Prefix": "aa:2000,b1:4000"}
            writer.write(request("/talk/x", **headers))
            got = await read_answer(reader)
            writer.close()
            assert got.complete
            await asyncio.sleep(0.1)
            assert entry.process.returncode is None
    transport.close()
    notices = [
        notice
        for data in peer.found
        for notice in msgspec.msgpack.decode(data, type=NoticeBatch).notices
    ]
    assert [notice.tokens for notice in notices] == [6000, 0]
    assert notices[0].parts[0][1] == 2000
    assert isinstance(notices[0], PrefillNotice)


async def test_blocked_log_pipe_delays_no_request():
    """Guards against blocking requests on the log.

    The log collector hangs, and the pipe is full after some hundred requests. Requests
    are still served; once the collector reads again, a line has the number of dropped
    lines.
    """
    async with Store() as store, Replica("i-1", answer()) as replica:
        store.put("op/config", config())
        store.put("servers/i-1", registration(replica))
        async with process(store) as entry:
            await entry.until_ready()
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
            for number in range(2_500):
                path = "/nowhere/" + "x" * 100
                writer.write(request(path, request_id=f"{number}-" + "i" * 200))
                got = await asyncio.wait_for(read_answer(reader), 1.0)
                assert got.status == 404
            writer.close()
            entry.process.send_signal(signal.SIGTERM)
            lines = await logged(entry)
    ended = [line for line in lines if line["event"] == "request ended"]
    assert len(ended) < 2_500
    assert sum(line.get("dropped_before", 0) for line in lines) > 0
    assert lines[-1]["event"] == "stops"


@pytest.mark.parametrize(
    ("name", "value", "said"),
    [
        ("BERGAMOTMAST_STORE_ADDRESS", "nowhere", "--store-address"),
        ("BERGAMOTMAST_SHUTDOWN_SECONDS", "-1", "BERGAMOTMAST_SHUTDOWN_SECONDS"),
        ("BERGAMOTMAST_RETRY_SHARE", "much", "BERGAMOTMAST_RETRY_SHARE"),
    ],
)
async def test_invalid_setting_is_named(name, value, said):
    settings = {
        "BERGAMOTMAST_NAME": "entry-1",
        "BERGAMOTMAST_ZONE": "zone-a",
        "BERGAMOTMAST_LISTEN_ADDRESS": "127.0.0.1:1",
        "BERGAMOTMAST_READY_ADDRESS": "127.0.0.1:1",
        "BERGAMOTMAST_PEER_ADDRESS": "127.0.0.1:1",
        "BERGAMOTMAST_STORE_ADDRESS": "127.0.0.1:1",
    }
    started = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "serve.py"),
        "direct",
        env=os.environ | settings | {name: value},
        stderr=asyncio.subprocess.PIPE,
    )
    _, error = await asyncio.wait_for(started.communicate(), 20)
    assert started.returncode == 2
    assert value in error.decode()
    assert said.removeprefix("--").replace("-", "_").lower() in (
        error.decode().lower().replace("-", "_")
    )
