"""Replay of requests to engines that stop responding, without a network.

All entries share one view of the store. An engine without a link to an entry, or one
that is down, never replies to it. A request is lost to an engine if the engine's probe
fails before the engine has replied: the request then starts again elsewhere.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import typing as t

from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.liveness import WATCHDOG_INTERVAL_SECONDS
from bergamotmast.direct.liveness import LivenessChecker
from bergamotmast.direct.liveness_exchange import LivenessExchange
from bergamotmast.direct.model import Upstream
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.placer import RequestPlacer
from bergamotmast.direct.presence import presence_key
from bergamotmast.direct.stream import COOL_DOWN_SECONDS
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.platform.orders import PROBE_TIMEOUT_SECONDS
from bergamotmast.ports import KeyValue
from bergamotmast.telemetry import NullTelemetry
from direct_support import config
from direct_support import engine
from direct_support import registration

REPLY_SECONDS = 0.05
DATAGRAM_SECONDS = 0.004


@dataclasses.dataclass(frozen=True)
class Lost:
    """A request that an engine did not reply to."""

    at: float
    entry: int
    engine: str


class AvoidedCount(NullTelemetry):
    """Telemetry that keeps the number of avoided engines."""

    avoided = 0

    def on_avoided_engines(self, engines):
        self.avoided = engines


class Entry:
    """One entry, which is the liveness probe of its checker, too."""

    def __init__(self, net: Net, number: int, on: bool) -> None:
        self.net = net
        self.number = number
        self.key = presence_key(f"e{number}")
        rng = random.Random(f"{net.seed}/{number}")
        self.placer = RequestPlacer(net.fleet, f"e{number}", "zone-a", rng)
        self.checker = LivenessChecker(self.placer, self)
        self.inbox = PeerInbox()
        self.telemetry = AvoidedCount()
        self.exchange = LivenessExchange(
            self.key, self.placer, net.sender(number), rng, self.telemetry
        )
        if on:
            self.exchange.attach(self.checker, self.inbox)

    def usable(self) -> list[Upstream]:
        """Return the engines that a new request may be placed at."""
        now = asyncio.get_running_loop().time()
        return self.placer._not_cooling_down(self.net.fleet.members("llm", now), now)

    async def probe(self, upstream: Upstream) -> bool:
        """Return whether an engine replies."""
        if self.net.replies(self.number, upstream):
            await asyncio.sleep(0.002)
            return True
        await asyncio.sleep(PROBE_TIMEOUT_SECONDS)
        return False

    async def ask(self, upstream: Upstream) -> None:
        """Send a request to an engine and wait until it replies or is given up."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        tracker = self.placer.engine_load(upstream)
        self.net.sent.append((sent_at, self.number, upstream.key))
        while True:
            if self.net.replies(self.number, upstream):
                await asyncio.sleep(REPLY_SECONDS)
                tracker.last_reply_at = loop.time()
                return
            await asyncio.sleep(WATCHDOG_INTERVAL_SECONDS)
            if loop.time() < tracker.unresponsive_at(sent_at, loop.time()):
                continue
            if not await self.checker.is_alive(upstream):
                tracker.cool_down_until = loop.time() + COOL_DOWN_SECONDS
                self.net.lost.append(Lost(loop.time(), self.number, upstream.name))
                return


class Net:
    """Entries and engines.

    :param down: names and boots of engines that don't reply to anyone.
    :param cut: returns whether an entry has no link to an engine.
    :param drops: returns whether a datagram from one entry to another is lost.
    :param sent: time, entry and incarnation of each request.
    :param lost: requests that engines did not reply to.
    :param datagrams: time, sender and size of each datagram.
    :param tasks: all requests.
    """

    def __init__(self, entries=27, engines=25, seed=1, on=True, delay=DATAGRAM_SECONDS):
        self.seed = seed
        self.rng = random.Random(seed)
        self.delay = delay
        self.began_at = asyncio.get_running_loop().time()
        self.loop = asyncio.get_running_loop()
        self.fleet = Fleet(PlatformDirectory(), self.loop.time)
        self.revision = 1
        self.put("op/config", json.dumps(config()).encode())
        self.down: set[tuple[str, str]] = set()
        self.cut: t.Callable[[int, str], bool] = lambda entry, name: False
        self.drops: t.Callable[[int, int], bool] = lambda sender, receiver: False
        self.sent: list[tuple[float, int, tuple[str, str]]] = []
        self.lost: list[Lost] = []
        self.datagrams: list[tuple[float, int, int]] = []
        self.tasks: list[asyncio.Task[None]] = []
        for number in range(engines):
            self.register(f"i-{number}")
        for number in range(entries):
            self.put(presence_key(f"e{number}"), f"10.0.0.1:{number + 1}".encode())
        self.entries = [Entry(self, number, on) for number in range(entries)]

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.fleet.put(KeyValue(key, value, self.revision))

    def register(self, name: str, born: int = 1, **changes: t.Any) -> None:
        value = registration(engine(name, None)) | {
            "born": born,
            "address": "10.0.0.1:1",
        }
        self.put(f"servers/{name}", json.dumps(value | changes).encode())

    def remove(self, name: str) -> None:
        self.revision += 1
        self.fleet.remove(f"servers/{name}", self.revision)

    def up(self, name: str) -> Upstream:
        """Return an engine as it is registered."""
        upstream = self.fleet.registered(name)
        assert upstream is not None
        return upstream

    def stop(self, *names: str) -> None:
        """Let engines stop responding to all entries."""
        self.down |= {self.up(name).key for name in names}

    def replies(self, entry: int, upstream: Upstream) -> bool:
        """Return whether an engine replies to an entry now."""
        registered = self.fleet.registered(upstream.name)
        return (
            registered is not None
            and registered.key == upstream.key
            and upstream.key not in self.down
            and not self.cut(entry, upstream.name)
        )

    def sender(self, number: int) -> t.Callable[[bytes, tuple[str, int]], None]:
        def send(data: bytes, address: tuple[str, int]) -> None:
            self.datagrams.append((self.loop.time(), number, len(data)))
            receiver = address[1] - 1
            if not self.drops(number, receiver):
                inbox = self.entries[receiver].inbox
                own = ("10.0.0.1", number + 1)
                self.loop.call_later(self.delay, inbox.receive, data, own)

        return send

    async def run(self, seconds: float, rate: float = 200.0) -> None:
        """Let callers send requests to random entries until the time is over.

        :param rate: requests a second of all callers.
        """
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            entry = self.rng.choice(self.entries)
            usable = entry.usable()
            self.tasks.append(asyncio.create_task(entry.ask(self.rng.choice(usable))))

    def avoiding(self, name: str) -> int:
        """Return how many entries avoid an engine after notices."""
        key = self.up(name).key
        return sum(key in entry.exchange.avoided for entry in self.entries)

    def loss_times(self) -> list[float]:
        """Return the seconds from the beginning to the loss of each request."""
        return [lost.at - self.began_at for lost in self.lost]

    def sent_to(self, name: str, since: float = 0.0, until: float = 1e9) -> int:
        """Return the number of requests that were placed at an engine."""
        return sum(since <= at < until and key[0] == name for at, _, key in self.sent)
