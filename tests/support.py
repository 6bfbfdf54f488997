"""A small fleet in one process with scripted upstreams, for focused failure tests."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import os
import random
import socket

from bergamotmast.adapters.memory import MemoryNetwork
from bergamotmast.config.document import Configuration
from bergamotmast.config.document import Match
from bergamotmast.config.document import Route
from bergamotmast.config.document import Selector
from bergamotmast.config.document import encode_configuration
from bergamotmast.config.holder import ConfigHolder
from bergamotmast.entry.core import EntryCore
from bergamotmast.errors import NotReachedError
from bergamotmast.errors import ReplyLostError
from bergamotmast.errors import ResultCode
from bergamotmast.history import MemoryHistory
from bergamotmast.model import NO_FENCING_TOKEN
from bergamotmast.model import Assignment
from bergamotmast.model import Cost
from bergamotmast.model import EngineState
from bergamotmast.model import InstanceInfo
from bergamotmast.model import ModelCall
from bergamotmast.model import Priority
from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.model import ServiceAnswer
from bergamotmast.model import ServiceCall
from bergamotmast.model import TokenChunk
from bergamotmast.model import UpstreamKind
from bergamotmast.policy import Choice
from bergamotmast.policy import UpstreamSpeed
from bergamotmast.side.core import SideCore
from bergamotmast.side.runners import EngineRunner
from bergamotmast.side.runners import ServiceRunner

MODEL = "appraiser"

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))

PORTS = itertools.count(12_000 + WORKER % 20 * 1000 + os.getppid() % 7 * 100)
"""Ports of this process, below the system's ephemeral ports. Workers never share them:
two that look for a free port at the same time would both take the same one."""

STATE = EngineState(
    boot_id="boot-1",
    assignment=Assignment(Role.MIXED, (f"{MODEL}@1",)),
    changing=False,
    token=NO_FENCING_TOKEN,
    max_streams=4,
    kv_capacity=10_000,
    prefill_rate=1000.0,
    decode_rate=100.0,
)


def free_port() -> int:
    """Return a port that neither a connection nor datagrams use now."""
    for port in PORTS:
        with contextlib.suppress(OSError):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    if kind is socket.SOCK_STREAM:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no port is free")


def free_address() -> str:
    return f"127.0.0.1:{free_port()}"


def expected_text(tokens: int) -> str:
    return "".join(f"w{i} " for i in range(tokens))


class FewestRunning:
    """A predictable entry policy: fewest own attempts, then by name."""

    def predict(self, call):
        return Cost(call.prompt_tokens, call.max_tokens)

    def choose(self, call, candidates, now, resumed_tokens=0, excluded=frozenset()):
        free = [c for c in candidates if c.name not in excluded]
        best = min(free, key=lambda c: (c.own_running, c.name))
        return Choice(best.name)

    def may_retry(self, call, now):
        return True

    def on_admitted(self, call, now):
        pass

    def on_first_token(self, upstream, call, cached_tokens, now):
        pass

    def on_ended(self, upstream, call, code, output_tokens, now):
        pass


class FirstComeFirstServed:
    """A predictable side policy: first come, first served."""

    def __init__(self, limit: int = 4, queue_limit: int = 100) -> None:
        self.limit = limit
        self.queue_limit = queue_limit
        self.queue = collections.OrderedDict()
        self.started = set()

    def configure(self, max_streams, kv_capacity, prefill_rate, decode_rate, role):
        pass

    def offer(self, item, now):
        if len(self.queue) >= self.queue_limit:
            return ResultCode.QUEUE_FULL
        self.queue[item.attempt] = item
        return ResultCode.OK

    def next(self, now):
        if not self.queue or len(self.started) >= self.limit:
            return None
        name, item = self.queue.popitem(last=False)
        self.started.add(name)
        return item

    def on_progress(self, attempt, tokens, now):
        pass

    def on_ended(self, attempt, now):
        self.started.discard(attempt)

    def withdraw(self, attempt):
        return self.queue.pop(attempt, None) is not None

    def expire(self, now):
        late = [i for i in self.queue.values() if i.start_by <= now]
        for item in late:
            del self.queue[item.attempt]
        return [(i, ResultCode.EXPIRED_IN_QUEUE) for i in late]

    def waiting(self):
        return len(self.queue)

    def waiting_cost(self):
        return Cost(0, 0)

    def running_decode(self):
        return 0

    def kv_free(self):
        return 1.0

    def speed(self):
        return UpstreamSpeed(1.0)


class ScriptedEngine:
    """An engine that produces a token every ``pace`` seconds and fails on demand."""

    def __init__(self, pace: float = 0.1) -> None:
        self.pace = pace
        self.runs: list[str] = []
        self.run_times: list[float] = []
        self.break_at: int | None = None
        self.reachable = True
        self.closed: list[str] = []
        self.chunks = None

    async def state(self):
        if not self.reachable:
            raise NotReachedError("connection refused")
        return STATE

    async def generate(self, request):
        if not self.reachable:
            raise NotReachedError("connection refused")
        self.runs.append(request.stream_id)
        self.run_times.append(asyncio.get_running_loop().time())
        if self.chunks is not None:
            for chunk in self.chunks:
                yield chunk
            return
        try:
            for index in range(request.resume_tokens, request.max_tokens):
                await asyncio.sleep(self.pace)
                if index == self.break_at:
                    raise ReplyLostError("the engine died")
                last = index == request.max_tokens - 1
                yield TokenChunk(index, 1, f"w{index} ", "length" if last else "")
        except (GeneratorExit, asyncio.CancelledError):
            self.closed.append(request.stream_id)
            raise


class ScriptedService:
    """A service that answers after ``pace`` seconds and records its calls."""

    def __init__(self, pace: float = 0.1) -> None:
        self.pace = pace
        self.runs: list[str] = []
        self.paths: list[str] = []
        self.lose_replies = 0
        self.listening = True

    async def call(self, call):
        self.runs.append(call.idempotency_key or call.request_id)
        self.paths.append(call.path)
        await asyncio.sleep(self.pace)
        if self.lose_replies:
            self.lose_replies -= 1
            raise ReplyLostError("the connection broke")
        return ServiceAnswer(200, b"ok " + call.body, "text/plain")

    async def is_refused(self):
        return not self.listening


class NoClaims:
    """Claims that always succeed."""

    async def claim(self, key, digest):
        return None

    async def complete(self, key, answer):
        pass

    async def release(self, key):
        pass


@dataclasses.dataclass
class StaticList:
    """An instance list with fixed contents."""

    infos: list[InstanceInfo]

    async def instances(self):
        return tuple(self.infos)


def configuration(generation: int = 1, **changes) -> Configuration:
    labels = {f"engine-{i}": {"pool": "main"} for i in range(1, 9)}
    labels |= {f"service-{i}": {"pool": "orders"} for i in range(1, 9)}
    fields = {
        "generation": generation,
        "labels": labels,
        "selectors": (
            Selector(name="models", group="pool=main", models=(f"{MODEL}@1",)),
            Selector(
                name="orders",
                group="pool=orders",
                match=Match(routes=("orders", "counter")),
            ),
        ),
        "routes": {
            "orders": Route(prefix="/orders", repeatable=False),
            "counter": Route(prefix="/counter"),
        },
    }
    return Configuration(**(fields | changes))


class Fleet:
    """Entries and sides connected by a :class:`MemoryNetwork`."""

    def __init__(self, claims=None) -> None:
        self.network = MemoryNetwork()
        self.history = MemoryHistory()
        self.claims = claims or (lambda name: NoClaims())
        self.list = StaticList([])
        self.upstreams = {}
        self.sides: dict[str, SideCore] = {}
        self.entries: dict[str, EntryCore] = {}
        self.holders: dict[str, ConfigHolder] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.incarnations = itertools.count(1)
        self.requests = itertools.count(1)
        self.policies: dict[str, FirstComeFirstServed] = {}
        self.document = encode_configuration(configuration())

    def add_upstream(self, name, upstream, policy=None):
        kind = UpstreamKind.ENGINE
        if isinstance(upstream, ScriptedService):
            kind = UpstreamKind.SERVICE
        self.upstreams[name] = upstream
        self.policies[name] = policy or FirstComeFirstServed()
        self.list.infos.append(InstanceInfo(name, kind, "zone-a", name, ""))
        return self.start_side(name)

    def start_side(self, name):
        upstream = self.upstreams[name]
        service = isinstance(upstream, ScriptedService)
        runner = ServiceRunner(upstream) if service else EngineRunner(upstream)
        side = SideCore(
            name=name,
            listener=self.network.listen(name),
            runner=runner,
            policy=self.policies[name],
            holder=self._holder(name),
            history=self.history,
            incarnation=f"side-{next(self.incarnations)}",
        )
        side.on_engine_state(STATE, Readiness.READY)
        self.sides[name] = side
        self.tasks[name] = asyncio.create_task(side.run())
        return side

    def add_entry(self, name):
        entry = EntryCore(
            name=name,
            zone="zone-a",
            incarnation=f"{name}-{next(self.incarnations)}",
            dialer=self.network,
            instance_list=self.list,
            policy=FewestRunning(),
            holder=self._holder(name),
            claims=self.claims(name),
            rng=random.Random(1),
        )
        self.entries[name] = entry
        self.tasks[name] = asyncio.create_task(entry.run())
        return entry

    def _holder(self, name):
        holder = ConfigHolder(name, self.history)
        holder.offer(self.document)
        self.holders[name] = holder
        return holder

    async def kill(self, name):
        """End a process at once: its tasks and its address."""
        side = self.sides.pop(name, None)
        if side is not None:
            side.listener.close()
            for attempt in side.attempts.values():
                if attempt.task is not None:
                    attempt.task.cancel()
            self.policies[name] = FirstComeFirstServed()
        self.entries.pop(name, None)
        task = self.tasks.pop(name)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def settle(self):
        await asyncio.sleep(3.0)

    async def ready(self):
        """Wait until every entry has a report of every side; quick on a real clock."""
        for entry in self.entries.values():
            while len(entry.membership.peers) < len(self.list.infos):
                await asyncio.sleep(0.01)
            while not all(p.is_ready for p in entry.membership.peers.values()):
                await asyncio.sleep(0.01)

    async def close(self):
        for name in list(self.tasks):
            await self.kill(name)

    def model_call(self, tokens=5, total=60.0, first_token=30.0):
        now = asyncio.get_running_loop().time()
        return ModelCall(
            request_id=f"r{next(self.requests)}",
            tenant="t",
            request_class="c",
            priority=Priority.STANDARD,
            model=MODEL,
            prompt="a prompt",
            prompt_tokens=2,
            max_tokens=tokens,
            prefix_key="",
            first_token_deadline=now + first_token,
            deadline=now + total,
        )

    def service_call(self, route="counter", key="", total=20.0, body=b""):
        now = asyncio.get_running_loop().time()
        return ServiceCall(
            request_id=f"r{next(self.requests)}",
            tenant="t",
            request_class="c",
            priority=Priority.STANDARD,
            route=route,
            method="POST",
            path=f"/{route}",
            body=body,
            content_type="text/plain",
            repeatable=route != "orders",
            idempotency_key=key,
            deadline=now + total,
        )


@contextlib.asynccontextmanager
async def fleet(entries=1, engines=0, services=0, claims=None):
    """Run a small fleet until the end of the test."""
    built = Fleet(claims)
    for number in range(1, engines + 1):
        built.add_upstream(f"engine-{number}", ScriptedEngine())
    for number in range(1, services + 1):
        built.add_upstream(f"service-{number}", ScriptedService())
    for number in range(1, entries + 1):
        built.add_entry(f"entry-{number}")
    await built.ready()
    try:
        yield built
    finally:
        await built.close()


async def answer_of(entry, call):
    """Return the whole text of a model call."""
    return "".join([chunk.text async for chunk in entry.submit_model(call)])
