"""Fixtures: a direct entry in this process in front of platform stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import math
import random
import typing as t

from bergamotmast.adapters.connection_probe import TcpConnectionProbe
from bergamotmast.adapters.upstream_http import HttpUpstreamClient
from bergamotmast.crashes.quarantine import Quarantine
from bergamotmast.crashes.trials import Trials
from bergamotmast.direct.context import Context
from bergamotmast.direct.core import DirectCore
from bergamotmast.direct.crash_detector import CrashDetector
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.http_frontend import DirectHttpFrontend
from bergamotmast.direct.named_limits import NamedLimits
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.ports import LivenessProbe
from bergamotmast.direct.rate_limits import RateLimits
from bergamotmast.direct.retry_budget import SharedRetryBudget
from bergamotmast.direct.slot_exchange import SlotExchange
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.platform.orders import PlatformOrders
from bergamotmast.policy.retry_window import RetryLimits
from bergamotmast.ports import KeyValue
from bergamotmast.serving import HttpListener
from bergamotmast.telemetry import NullTelemetry
from bergamotmast.telemetry import Telemetry
from platform_standin import Replica

HOST = "host.example"


def route(prefix: str, kind: str, service: str = "plain", **more: t.Any) -> dict:
    """Return a route of the configuration document."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 200,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
    } | more


ROUTES = [
    route("/order/", "unsafe", **{"max-attempts": 1}),
    route("/read/", "safe"),
    route("/talk/", "streaming", "llm", **{"max-attempts": 1, "resumable": False}),
    route("/long/", "streaming", "llm", resumable=True, priority=2),
]


def config(version: int = 1, routes: list[dict] | None = None, **limits: int) -> dict:
    """Return a configuration document."""
    engine = {"slots": 64, "kv-capacity-tokens": 470_000, "handle-ttl-s": 5.0}
    return {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": [{"name": "plain"}, {"name": "llm", "engine": engine}],
        "limits": limits,
    }


MISSING = object()
"""Stands for a field that a registration lacks."""


def registration(replica: Replica) -> dict:
    """Return a replica's registration in the store."""
    fields = {
        "service": "plain",
        "address": replica.address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 4,
    } | replica.entry
    return {name: value for name, value in fields.items() if value is not MISSING}


@dataclasses.dataclass
class Answer:
    """A response as received by a caller.

    :param complete: whether it ended as HTTP requires.
    :param closed: whether the entry closed the connection afterwards.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    closed: bool = False


class Entry:
    """A running direct entry and its parts."""

    def __init__(
        self, frontend: DirectHttpFrontend, listener: HttpListener, port: int
    ) -> None:
        self.frontend = frontend
        self.core = frontend.core
        self.listener = listener
        self.port = port
        self.revision = 100

    @property
    def fleet(self) -> Fleet:
        return self.core.context.fleet

    def put(self, key: str, value: object) -> None:
        """Apply a key to the entry's fleet as if a watch had delivered it."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.fleet.put(KeyValue(key, data, self.revision))

    def register(self, replica: Replica, **changes: t.Any) -> None:
        self.put(f"servers/{replica.name}", registration(replica) | changes)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(
        self,
        target: str,
        method: str = "POST",
        body: bytes = b"hello",
        request_id: str = "id-1",
        **headers: str,
    ) -> Answer:
        """Send a request on a new connection and read the whole response."""
        reader, writer = await self.connect()
        try:
            writer.write(request(target, method, body, request_id, **headers))
            return await read_answer(reader)
        finally:
            writer.close()


def request(
    target: str,
    method: str = "POST",
    body: bytes = b"hello",
    request_id: str = "id-1",
    **headers: str,
) -> bytes:
    """Return the bytes of a request; header names are given with ``_`` for ``-``."""
    sent = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body:
        sent["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in sent.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response, which may be truncated."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return Answer(status, headers, body, True, reader.at_eof())
    body, complete = bytearray(), False
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                complete = True
                break
    return Answer(status, headers, bytes(body), complete)


def rate_limits(fleet: Fleet, telemetry: Telemetry) -> RateLimits:
    """Return the rate limits of an entry that knows no other one."""
    limits = NamedLimits(fleet, telemetry)
    rng = random.Random(7)
    exchange = SlotExchange("", fleet, limits, lambda data, address: None, rng)
    return RateLimits(fleet, limits, exchange)


@contextlib.asynccontextmanager
async def direct_entry(
    *replicas: Replica,
    document: dict | None = None,
    liveness_probe: LivenessProbe | None = None,
    asks_engines: bool = False,
) -> t.AsyncIterator[Entry]:
    """Run a direct entry in front of replicas that are already running.

    :param asks_engines: whether the engines are asked for their reports.
    """
    fleet = Fleet(PlatformDirectory(), asyncio.get_running_loop().time)
    rng = random.Random(7)
    placer = RequestPlacer(fleet, "entry-1", "zone-a", rng)
    async with HttpUpstreamClient() as client:
        telemetry = NullTelemetry()
        orders = PlatformOrders(client) if asks_engines else None
        context = Context(
            fleet,
            client,
            PlatformDialect(),
            placer,
            rng,
            SharedRetryBudget(fleet, RetryLimits(), telemetry),
            rate_limits(fleet, telemetry),
            Quarantine("entry-1", telemetry, rng, Trials("entry-1")),
            CrashDetector(fleet, telemetry, TcpConnectionProbe()),
            telemetry,
            liveness_probe=liveness_probe or orders,
            incarnation_probe=orders,
        )
        core = DirectCore(context, telemetry)
        frontend = DirectHttpFrontend(core)
        listener = HttpListener(frontend.callers(), "127.0.0.1:0", frontend.busy)
        await listener.start()
        port = listener.runner.addresses[0][1]
        entry = Entry(frontend, listener, port)
        fleet.upstreams_loaded = True
        fleet.in_sync = True
        # As after a long uptime: its share of the retry budget is fully grown.
        fleet.entry_share.on_registered("", -math.inf)
        fleet.entry_share.on_store_reply(asyncio.get_running_loop().time())
        if document != {}:
            entry.put("op/config", document or config())
        for replica in replicas:
            entry.register(replica)
        try:
            yield entry
        finally:
            await listener.close()


@contextlib.asynccontextmanager
async def serving(
    *replicas: Replica,
    document: dict | None = None,
    liveness_probe: LivenessProbe | None = None,
    asks_engines: bool = False,
) -> t.AsyncIterator[Entry]:
    """Start replicas and a direct entry in front of them."""
    async with contextlib.AsyncExitStack() as stack:
        for replica in replicas:
            await stack.enter_async_context(replica)
        yield await stack.enter_async_context(
            direct_entry(
                *replicas,
                document=document,
                liveness_probe=liveness_probe,
                asks_engines=asks_engines,
            )
        )


def engine(name: str, script: t.Any, stage: str = "decode") -> Replica:
    """Return an engine that is not started yet."""
    return Replica(name, script, service="llm", slots=64, stage=stage)


async def until(condition: t.Callable[[], bool], seconds: float = 2.0) -> None:
    """Wait until a condition is true."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
