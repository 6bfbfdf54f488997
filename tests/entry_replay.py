"""Replay of streams at direct entries in front of engines, without a network or waits.

The entries are those of the product, from admission to retries. Engines, datagrams and
the clock are simulated: time passes only while nothing is left to do.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import contextlib
import dataclasses
import json
import random
import selectors
import typing as t

from bergamotmast.crashes.quarantine import Quarantine
from bergamotmast.crashes.trials import Trials
from bergamotmast.direct.caller import CallerRequest
from bergamotmast.direct.context import Context
from bergamotmast.direct.core import DirectCore
from bergamotmast.direct.crash_detector import CrashDetector
from bergamotmast.direct.features import Features
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.learned_capacity import LearnedCapacity
from bergamotmast.direct.notices import NoticeExchange
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.presence import presence_key
from bergamotmast.direct.retry_budget import SharedRetryBudget
from bergamotmast.direct.shares.share_exchange import ShareExchange
from bergamotmast.direct.shares.tenant_shares import TenantShares
from bergamotmast.errors import ConnectionLostError
from bergamotmast.errors import NotReachedError
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.policy.decisions import ALL_DECISIONS
from bergamotmast.policy.retry_window import RetryLimits
from bergamotmast.ports import KeyValue
from bergamotmast.telemetry import NullTelemetry
from direct_support import HOST
from direct_support import config
from direct_support import rate_limits
from direct_support import route
from platform_standin import event

GROUP = "llm"
DATAGRAM_SECONDS = 0.002
PROBE_SECONDS = 0.3
TOKENS_PER_SECOND = 45_000
FIRST_ENTRY_SHARE = 0.2
EVENTS = 4
EVENT_SECONDS = 0.02
ROUTES = [
    route("/talk/", "streaming", GROUP, **{"max-attempts": 1, "timeout-ms": 6000}),
    route("/long/", "streaming", GROUP, resumable=True, **{"timeout-ms": 6000}),
]
DEFAULT_RETRIES = RetryLimits()
TENANTS = ["large", *(f"small-{number}" for number in range(20))]


class _NoIo(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Lets the clock of its loop pass instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[t.Any]:
        """Return no event, after the given time."""
        if timeout is None:
            raise AssertionError("nothing is left to happen")
        self.now += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while nothing is left to do."""

    def __init__(self) -> None:
        self.no_io = _NoIo()
        super().__init__(self.no_io)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.no_io.now


class Engine:
    """An engine that prefills one prompt after the other.

    :param failure: empty while it works; else ``silent`` without a response,
        ``refused`` if its address refuses connections, ``reset`` if it resets them.
    """

    def __init__(self, name: str, stage: str, max_queue: int) -> None:
        self.name = name
        self.stage = stage
        self.max_queue = max_queue
        self.failure = ""
        self.address = ""
        self.queued = 0
        self.busy = asyncio.Lock()
        self.busy_seconds = 0.0

    async def prefill(self, tokens: int) -> None:
        """Work on a prompt once those before it are done."""
        self.queued += 1
        try:
            async with self.busy:
                seconds = tokens / TOKENS_PER_SECOND
                await asyncio.sleep(seconds)
                self.busy_seconds += seconds
        finally:
            self.queued -= 1


@dataclasses.dataclass
class EngineReply:
    """An engine's reply."""

    engine: Engine
    status: int
    headers: dict[str, str]
    body: bytes = b""

    def header_items(self) -> tuple[tuple[str, str], ...]:
        return tuple(self.headers.items())

    async def read(self, max_bytes: int | None = None) -> bytes:
        return self.body

    async def chunks(self) -> cabc.AsyncIterator[bytes]:
        for number in range(1, EVENTS + 1):
            await _unless_lost(self.engine)
            yield event(number)
            await asyncio.sleep(EVENT_SECONDS)


async def _unless_lost(engine: Engine) -> None:
    """Return at once while an engine works, or fail as it does."""
    if engine.failure == "silent":
        await asyncio.sleep(1e6)
    if engine.failure:
        raise ConnectionLostError("connection reset")


class Engines:
    """Implements the upstream client and the liveness probe of all entries."""

    def __init__(self, engines: list[Engine]) -> None:
        self.by_address: dict[str, Engine] = {}
        for number, engine in enumerate(engines):
            engine.address = f"10.0.{number // 250}.{number % 250}:1"
            self.by_address[engine.address] = engine

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        *,
        fresh: bool,
    ) -> cabc.AsyncIterator[EngineReply]:
        engine = self.by_address[address]
        if engine.failure == "refused":
            raise NotReachedError("connection refused")
        await asyncio.sleep(DATAGRAM_SECONDS)
        await _unless_lost(engine)
        sent = {name.lower(): value for name, value in headers}
        if method == "DELETE":
            yield EngineReply(engine, 204, {})
            return
        own = {"X-Request-Id": sent["x-request-id"], "X-Response-Signature": "s"}
        if engine.queued >= engine.max_queue and "x-kv-source" not in sent:
            yield EngineReply(engine, 503, own | {"X-Not-Executed": "1"})
            return
        if "x-kv-source" not in sent:
            await engine.prefill(int(sent["x-token-count"].split(",")[0]))
            await _unless_lost(engine)
        if sent.get("x-stage") == "prefill":
            body = json.dumps({"transfer-handle": "h", "version": 1}).encode()
            yield EngineReply(engine, 200, own, body)
        else:
            yield EngineReply(engine, 200, own | {"X-Weight-Versions": "1"})

    async def probe(self, engine: t.Any) -> bool:
        if self.by_address[engine.address].failure:
            await asyncio.sleep(PROBE_SECONDS)
            return False
        await asyncio.sleep(DATAGRAM_SECONDS)
        return True


class RecordedReply:
    """What one caller received."""

    def __init__(self) -> None:
        self.started = False
        self.status = 0
        self.code = b""

    async def respond(self, status: int, headers: t.Any, body: bytes) -> None:
        self.started = True
        self.status, self.code = status, body[:3]

    async def start(self, status: int, headers: t.Any) -> None:
        self.started = True
        self.status = status

    async def write(self, data: bytes) -> None:
        pass

    async def finish(self) -> None:
        pass

    def abort(self) -> None:
        self.code = b"cut"


@dataclasses.dataclass(frozen=True)
class RequestBody:
    """A request's body, by which the entries tell requests apart."""

    data: bytes
    may_be_large: t.ClassVar[bool] = False

    async def read(self, max_bytes: int) -> bytes:
        return self.data


class EntryReplay:
    """Entries in front of engines.

    :param shortages: first time at which each entry admitted by shares.
    :param codes: number of requests by result code, ``b""`` for those answered.
    """

    def __init__(
        self,
        entries: int,
        stages: cabc.Sequence[str],
        max_queue: int = 20,
        seed: int = 1,
        retries: RetryLimits = DEFAULT_RETRIES,
    ) -> None:
        self.seed = seed
        self.retries = retries
        self.rng = random.Random(seed)
        self.engines = [
            Engine(f"e{number}", stage, max_queue)
            for number, stage in enumerate(stages)
        ]
        self.client = Engines(self.engines)
        self.names = [f"entry-{number}" for number in range(entries)]
        self.inboxes = [PeerInbox() for _ in self.names]
        self.cores = [self._entry(number) for number in range(entries)]
        self.codes: collections.Counter[bytes] = collections.Counter()
        self.shortages: dict[int, float] = {}

    def _entry(self, number: int) -> DirectCore:
        clock = asyncio.get_running_loop().time
        fleet, telemetry = Fleet(PlatformDirectory(), clock), NullTelemetry()
        rng = random.Random(f"{self.seed}/{number}")
        name = self.names[number]
        learned = LearnedCapacity(
            fleet, "auto", Features(scarcity=True), telemetry, rng
        )
        placer = RequestPlacer(fleet, name, "zone-a", rng, ALL_DECISIONS, learned)
        context = Context(
            fleet,
            t.cast("t.Any", self.client),
            PlatformDialect(),
            placer,
            rng,
            SharedRetryBudget(fleet, self.retries, telemetry),
            rate_limits(fleet, telemetry),
            Quarantine(name, telemetry, rng, Trials(name)),
            CrashDetector(fleet, telemetry),
            telemetry,
            liveness_probe=self.client,
        )
        send = self._sender(number)
        context.notices = NoticeExchange(name, placer, fleet.entries.values, send)
        context.notices.listen(self.inboxes[number])
        exchange = ShareExchange(
            presence_key(name),
            lambda: fleet.known_entries(clock()),
            send,
            clock,
            rng,
            telemetry,
        )
        exchange.listen(self.inboxes[number])
        context.shares = TenantShares(exchange, fleet, placer, rng)
        self._register(fleet, number)
        return DirectCore(context, telemetry)

    def _register(self, fleet: Fleet, own: int) -> None:
        tenants = [{"name": name, "api-keys": [name]} for name in TENANTS]
        items: dict[str, t.Any] = {
            "op/config": config(1, ROUTES) | {"tenants": tenants}
        }
        for engine in self.engines:
            items[f"servers/{engine.name}"] = {
                "service": GROUP,
                "address": engine.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "stage": engine.stage,
                "born": 1,
            }
        for revision, (key, value) in enumerate(items.items(), 1):
            fleet.put(KeyValue(key, json.dumps(value).encode(), revision))
        for number, name in enumerate(self.names):
            if number != own:
                key = presence_key(name)
                fleet.put(KeyValue(key, f"127.0.0.1:{number + 1}".encode(), 99))
        fleet.upstreams_loaded = fleet.in_sync = True

    def _sender(self, number: int) -> t.Any:
        loop = asyncio.get_running_loop()

        def send(data: bytes, address: tuple[str, int]) -> None:
            inbox = self.inboxes[address[1] - 1]
            own = ("127.0.0.1", number + 1)
            loop.call_later(DATAGRAM_SECONDS, inbox.receive, data, own)

        return send

    def lose(self, numbers: cabc.Iterable[int], failure: str) -> None:
        """Let engines fail in a way that :class:`Engine` names."""
        for number in numbers:
            self.engines[number].failure = failure

    async def ask(self, tokens: int, tenant: str) -> None:
        """Send one request to any entry and count its result."""
        is_first = self.rng.random() < FIRST_ENTRY_SHARE
        core = self.cores[0] if is_first else self.rng.choice(self.cores)
        now = asyncio.get_running_loop().time()
        request_id = f"id-{self.rng.getrandbits(60)}"
        items = (
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "2100"),
            ("X-Token-Count", f"{tokens},20"),
            ("X-Api-Key", tenant),
        )
        target = self.rng.choice(("/talk/x", "/long/x"))
        request = CallerRequest(
            "POST",
            target,
            HOST,
            dict(items),
            items,
            RequestBody(request_id.encode()),
            now,
        )
        reply = RecordedReply()
        await core.handle(request, reply)
        self.codes[reply.code] += 1

    async def run(
        self, rate: cabc.Callable[[float], float], seconds: float, tokens: int
    ) -> None:
        """Send requests for some time, half of them those of one tenant.

        :param rate: returns the requests a second at a time.
        """
        loop = asyncio.get_running_loop()
        exchanges = [core.context.shares.exchange for core in self.cores]  # type: ignore[union-attr]
        tasks = {asyncio.create_task(exchange.run()) for exchange in exchanges}
        asked: set[asyncio.Task[None]] = set()
        while loop.time() < seconds:
            await asyncio.sleep(self.rng.expovariate(rate(loop.time())))
            tenant = TENANTS[0] if self.rng.random() < 0.5 else self.rng.choice(TENANTS)
            size = int(self.rng.uniform(0.5, 1.5) * tokens)
            task = asyncio.create_task(self.ask(size, tenant))
            asked.add(task)
            task.add_done_callback(asked.discard)
            for number, exchange in enumerate(exchanges):
                if exchange.view(GROUP).is_short:
                    self.shortages.setdefault(number, loop.time())
        for task in [*tasks, *asked]:
            task.cancel()
        await asyncio.gather(*tasks, *asked, return_exceptions=True)


def simulate(main: cabc.Callable[[], cabc.Coroutine[t.Any, t.Any, t.Any]]) -> t.Any:
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main())
