"""Load simulation: direct entries and simulated engines with prompts of all sizes.

Only the engines and the callers are simulated; the entries run the production code.
With a simulated event loop clock, seconds of load take tenths of a second.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import heapq
import itertools
import json
import math
import random

from bergamotmast.crashes.quarantine import Quarantine
from bergamotmast.crashes.trials import Trials
from bergamotmast.direct.caller import CallerRequest
from bergamotmast.direct.context import Context
from bergamotmast.direct.core import DirectCore
from bergamotmast.direct.crash_detector import CrashDetector
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.notices import NoticeExchange
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.retry_budget import SharedRetryBudget
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.platform.headers import PlatformDialect
from bergamotmast.policy.decisions import ALL_DECISIONS
from bergamotmast.policy.decisions import Decisions
from bergamotmast.policy.retry_window import RetryLimits
from bergamotmast.ports import KeyValue
from bergamotmast.served_shares import ServedShares
from bergamotmast.served_shares import served_shares
from bergamotmast.telemetry import NullTelemetry
from direct_support import HOST
from direct_support import config
from direct_support import engine
from direct_support import rate_limits
from direct_support import registration
from direct_support import route
from platform_standin import SIGNATURE
from platform_standin import event

ROUTES = [
    route("/check/", "streaming", "llm", **{"target-latency-ms": 300}),
    route("/report/", "streaming", "llm", priority=2, **{"target-latency-ms": 800}),
]

TOKENS_PER_SECOND = 45_000
PAIR_SECONDS = 0.4e-9
"""Attention cost of each pair of a token and an earlier one."""

CALL_SECONDS = 0.015
TRANSFER_SECONDS = 0.03
NOTICE_SECONDS = 0.003


class SimulatedEngine:
    """Prefills one prompt at a time, the most urgent first, and decodes instantly."""

    def __init__(self, name: str, stage: str, number: int) -> None:
        self.entry = engine(name, None, stage)
        self.entry.address = f"10.0.0.{number}:9000"
        self.speed = 1.0 if stage == "prefill" else 0.5
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.numbers = itertools.count()
        self.busy = False

    async def read(self, tokens: int, priority: int) -> None:
        """Return when a prompt is prefilled.

        :param tokens: length of the prompt.
        """
        seconds = tokens / TOKENS_PER_SECOND + tokens**2 / 2 * PAIR_SECONDS
        if self.busy:
            await self._turn(priority)
        self.busy = True
        try:
            await asyncio.sleep(seconds / self.speed)
        finally:
            self._next()

    async def _turn(self, priority: int) -> None:
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (priority, next(self.numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._next()
            raise

    def _next(self) -> None:
        while self.waiting:
            *_, turn = heapq.heappop(self.waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.busy = False


@dataclasses.dataclass(frozen=True)
class SimulatedReply:
    """A complete reply."""

    headers: dict[str, str]
    body: bytes
    status: int = 200

    def header_items(self) -> tuple[tuple[str, str], ...]:
        return tuple(self.headers.items())

    async def read(self, max_bytes: int | None = None) -> bytes:
        return self.body

    async def chunks(self) -> cabc.AsyncIterator[bytes]:
        yield self.body


class SimulatedClient:
    """Sends requests to simulated engines."""

    def __init__(self, engines: cabc.Iterable[SimulatedEngine]) -> None:
        self.engines = {each.entry.address: each for each in engines}

    @contextlib.asynccontextmanager
    async def send(self, address, method, target, headers, body, *, fresh):
        sent = {name.lower(): value for name, value in headers}
        reply = {
            "X-Request-Id": sent.get("x-request-id", ""),
            "X-Response-Signature": SIGNATURE,
        }
        if method == "DELETE":
            yield SimulatedReply(reply, b"")
            return
        await asyncio.sleep(CALL_SECONDS)
        if "x-kv-source" in sent:
            await asyncio.sleep(TRANSFER_SECONDS)
        else:
            tokens = int(sent["x-token-count"].partition(",")[0])
            priority = int(sent["x-request-priority"])
            await self.engines[address].read(tokens, priority)
        if sent.get("x-stage") == "prefill":
            handle = {"transfer-handle": sent["x-request-id"], "version": 1}
            yield SimulatedReply(reply, json.dumps(handle).encode())
        else:
            yield SimulatedReply(reply, event(1))


class LiveEngines:
    """A liveness probe that succeeds for every engine."""

    async def probe(self, engine) -> bool:
        return True


class SimulatedBody:
    """A body that arrived with the headers."""

    may_be_large = False

    async def read(self, max_bytes: int) -> bytes:
        return b"hello"


class SimulatedCaller:
    """Receives the response to one attempt.

    :param status: HTTP status; 0 before the response starts.
    :param response_started: set when the response starts.
    """

    def __init__(self) -> None:
        self.status = 0
        self.response_started = asyncio.Event()
        self.retry_after = 0.0

    @property
    def started(self) -> bool:
        return self.status != 0

    async def respond(self, status, headers, body) -> None:
        self.retry_after = float(dict(headers).get("Retry-After", "0"))
        await self.start(status, headers)

    async def start(self, status, headers) -> None:
        self.status = status
        self.response_started.set()

    async def write(self, data) -> None:
        pass

    async def finish(self) -> None:
        pass

    def abort(self) -> None:
        pass


@dataclasses.dataclass(frozen=True)
class Prompt:
    """One request of a load.

    :param at: when its caller first sends it; seconds from the start of the load.
    :param size: prompt tokens.
    """

    name: str
    target: str
    at: float
    size: int


@dataclasses.dataclass(frozen=True)
class Load:
    """Rates and sizes of a load's prompts.

    :param seconds: duration of the load.
    :param reports: long prompts a second.
    :param checks: short prompts a second.
    :param peak: start and end of the peak in seconds.
    :param factor: multiple of the rates during the peak.
    :param median: median length of long prompts in tokens.
    :param spread: standard deviation of the logarithm of a prompt's length.
    """

    seconds: float = 16.0
    reports: float = 8.0
    checks: float = 10.0
    peak: tuple[float, float] = (3.0, 13.0)
    factor: float = 4.0
    median: int = 6_000
    spread: float = 0.8

    def draw(self, rng: random.Random) -> list[Prompt]:
        """Return the requests of one simulation, in no particular order."""
        reports = list(self._prompts("/report/x", self.reports, rng))
        return reports + list(self._prompts("/check/x", self.checks, rng))

    def _prompts(
        self, target: str, rate: float, rng: random.Random
    ) -> cabc.Iterator[Prompt]:
        median = self.median if target == "/report/x" else 500
        at = 0.0
        for number in itertools.count():
            begin, end = self.peak
            more = self.factor if begin <= at < end else 1.0
            at += rng.expovariate(rate * more)
            if at > self.seconds:
                return
            size = rng.lognormvariate(math.log(median), self.spread)
            yield Prompt(f"{target[1:-2]}-{number}", target, at, max(20, int(size)))


class LoadedFleet:
    """Entries and simulated engines in one event loop.

    :param served: names of the prompts whose callers got a response.
    """

    def __init__(
        self,
        entries: int,
        readers: int,
        answering: int,
        rng: random.Random,
        decisions: Decisions = ALL_DECISIONS,
    ) -> None:
        self.rng = rng
        stages = ["prefill"] * readers + ["decode"] * answering
        self.engines = [
            SimulatedEngine(f"i-{number}", stage, number)
            for number, stage in enumerate(stages, start=1)
        ]
        self.client = SimulatedClient(self.engines)
        self.notices: dict[tuple[str, int], PeerInbox] = {}
        self.cores = [self._entry(number, decisions) for number in range(entries)]
        self.served: set[str] = set()

    async def play(self, prompts: cabc.Iterable[Prompt]) -> None:
        """Send all prompts at their times and wait until all have ended."""
        async with asyncio.TaskGroup() as group:
            for prompt in prompts:
                group.create_task(self._call(prompt))

    def _entry(self, number: int, decisions: Decisions) -> DirectCore:
        loop = asyncio.get_running_loop()
        name = f"entry-{number}"
        fleet = Fleet(PlatformDirectory(), loop.time)
        rng = random.Random(self.rng.random())
        placer = RequestPlacer(fleet, name, "zone-a", rng, decisions)
        telemetry = NullTelemetry()
        retry_budget = SharedRetryBudget(fleet, RetryLimits(), telemetry)
        context = Context(
            fleet,
            self.client,
            PlatformDialect(),
            placer,
            rng,
            retry_budget,
            rate_limits(fleet, telemetry),
            Quarantine(name, telemetry, rng, Trials(name)),
            CrashDetector(fleet, telemetry),
            telemetry,
            liveness_probe=LiveEngines(),
        )
        address = (name, 1)
        context.notices = NoticeExchange(
            name, placer, lambda: self.notices.keys() - {address}, self._deliver
        )
        self.notices[address] = inbox = PeerInbox()
        context.notices.listen(inbox)
        fleet.upstreams_loaded = True
        values = {
            f"servers/{e.entry.name}": registration(e.entry) for e in self.engines
        }
        for key, value in {"op/config": config(routes=ROUTES), **values}.items():
            fleet.put(KeyValue(key, json.dumps(value).encode(), 1))
        return DirectCore(context, telemetry)

    def _deliver(self, data: bytes, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(NOTICE_SECONDS, self.notices[address].receive, data, address)

    async def _call(self, prompt: Prompt) -> None:
        await asyncio.sleep(prompt.at)
        for number in range(2):
            caller = await self._attempt(prompt, f"{prompt.name}-{number}")
            if caller.status == 200:
                self.served.add(prompt.name)
            if caller.status != 503:
                return
            await asyncio.sleep(caller.retry_after)

    async def _attempt(self, prompt: Prompt, request_id: str) -> SimulatedCaller:
        loop = asyncio.get_running_loop()
        core = self.rng.choice(self.cores)
        caller = SimulatedCaller()
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "8000",
            "X-Token-Count": f"{prompt.size},30",
            "X-Prompt-Prefix": f"{prompt.name}:{prompt.size}",
        }
        request = CallerRequest(
            "POST",
            prompt.target,
            HOST,
            headers,
            tuple(headers.items()),
            SimulatedBody(),
            loop.time(),
        )
        found = core.context.fleet.table.find(HOST, prompt.target)
        handling = asyncio.create_task(core.handle(request, caller))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(found.patience):
                await caller.response_started.wait()
        if not caller.started:
            handling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await handling
        return caller


def shares_of(
    prompts: cabc.Iterable[Prompt], served: cabc.Container[str]
) -> ServedShares:
    """Return the served shares of some prompts of one class.

    :param served: names of the prompts that were served.
    """
    shares = served_shares((prompt.size, prompt.name in served) for prompt in prompts)
    assert shares is not None
    return shares
