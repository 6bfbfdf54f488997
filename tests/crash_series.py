"""Plays requests that crash each replica that runs them, beside harmless ones.

    PYTHONPATH=src:tests python tests/crash_series.py --first 100 --count 50

Real processes: entries are killed, stopped and started again, replicas crash by
themselves, and the store is slow, down, restored from a copy or loses replies, while
callers send harmful requests again and again at any entry, or requests with a harmful
part that are all different. Checks that each of these stops reaching replicas, and that
harmless requests are not refused in its place.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import time

from crash_checks import CULPRIT_PREFIX
from crash_checks import PART_PREFIX
from crash_checks import Outage
from crash_checks import find_crash_faults
from crash_checks import judge_culprits
from crash_checks import read_record
from crash_replica import HARMFUL_PART
from direct_support import read_answer
from direct_support import request
from series_checks import SentRequest
from series_fleet import SeriesFleet
from series_fleet import send_signal
from series_seeds import UNFINISHED
from series_seeds import play_seeds
from series_seeds import run_in_folder
from series_seeds import seed_parser

SERIES_TIMEOUT_SECONDS = 120.0
ANSWER_TIMEOUT_SECONDS = 8.0
REQUEST_DEADLINE_MS = "6000"
CALM_SECONDS = 2.5
"""How long harmless callers go on when all faults are over."""

DISCOVERY_SECONDS = 4.0
"""Time after the last fault in which the last harmful request is found."""


SHARED_PARTS = {"/talk/": "a1:200", "/long/": "a2:200"}
"""First part of all prompts of a route."""

DOCUMENTS = 8
"""Number of parts that some of the prompts of a route share."""


@dataclasses.dataclass(frozen=True)
class Culprit:
    """A harmful request that comes again and again.

    :param path: first part of its path, which selects the route.
    :param begins_at: seconds from the start of the series.
    :param pause: mean seconds between two tries.
    :param runs_ms: how long it runs before the crash.
    :param part: id of a harmful part; the requests with it are all different. Empty for
        a request that stays the same.
    """

    path: str
    begins_at: float
    pause: float
    runs_ms: int
    part: str = ""


@dataclasses.dataclass(frozen=True)
class StoreFault:
    """A fault of the store: ``down``, ``slow``, ``restored`` or ``lossy``."""

    kind: str
    at: float
    seconds: float


@dataclasses.dataclass(frozen=True)
class CrashPlan:
    """A series, drawn from a seed; times are in seconds from its start.

    :param callers: number of callers that send harmless requests.
    :param kills: time of each stop of an entry, the entry, and its signal; it is
        started again at once.
    :param replica_kills: time of each crash of a replica without a cause, and its
        number.
    :param restart_seconds: how long a crashed replica is away.
    :param lapse_seconds: when a crashed replica's registration lapses.
    """

    entries: int
    plain: int
    engines: int
    callers: int
    culprits: tuple[Culprit, ...]
    kills: tuple[tuple[float, int, signal.Signals], ...] = ()
    replica_kills: tuple[tuple[float, int], ...] = ()
    store_fault: StoreFault | None = None
    restart_seconds: float = 1.0
    lapse_seconds: float = 2.0
    seconds: float = 9.0
    replica_idle: float = 30.0

    @property
    def has_parts(self) -> bool:
        """Whether prompts have parts that they share."""
        return any(culprit.part for culprit in self.culprits)

    @property
    def replicas(self) -> int:
        """Number of replicas; the plain ones have the lower numbers."""
        return self.plain + self.engines


def draw_plan(seed: int, most: int = 4) -> CrashPlan:
    """Return the plan of a seed.

    :param most: maximum number of entries.
    """
    rng = random.Random(seed)
    entries = rng.randint(2, most)
    plain, engines = rng.randint(2, 4), rng.randint(3, 5)
    culprits = tuple(
        Culprit(
            rng.choice(("/talk/", "/talk/", "/long/", "/read/", "/order/")),
            rng.uniform(0.3, 3.0),
            rng.choice((0.1, 0.4, 1.0)),
            rng.choice((1, 20, 100)),
        )
        for _ in range(rng.choice((0, 1, 1, 2, 4)))
    )
    kind = rng.choice(("", "", "", "down", "slow", "restored", "lossy"))
    stops = (signal.SIGKILL, signal.SIGTERM)
    return CrashPlan(
        entries=entries,
        plain=plain,
        engines=engines,
        callers=rng.choice((4, 8, 16)),
        culprits=culprits,
        kills=tuple(
            (rng.uniform(1.0, 7.0), rng.randrange(entries), rng.choice(stops))
            for _ in range(rng.choice((0, 0, 1, 3)))
        ),
        replica_kills=tuple(
            (rng.uniform(0.5, 6.0), rng.randrange(plain + engines))
            for _ in range(rng.choice((0, 0, 1, 4)))
        ),
        store_fault=StoreFault(kind, rng.uniform(0.5, 4.0), rng.uniform(0.5, 3.0))
        if kind
        else None,
        restart_seconds=rng.choice((0.5, 1.0, 2.0)),
        lapse_seconds=rng.choice((1.0, 2.0, 3.0)),
    )


def draw_part_plan(seed: int, most: int = 4) -> CrashPlan:
    """Return the plan of a seed, with harmful parts in place of harmful requests.

    :param most: maximum number of entries.
    """
    plan = draw_plan(seed, most)
    rng = random.Random(f"parts-{seed}")
    culprits = tuple(
        Culprit(
            rng.choice(("/talk/", "/long/")),
            rng.uniform(2.0, 5.0),
            rng.choice((0.1, 0.2, 0.5)),
            rng.choice((1, 20, 100)),
            f"{HARMFUL_PART}{number}",
        )
        for number in range(rng.choice((1, 1, 1, 2)))
    )
    return dataclasses.replace(plan, culprits=culprits, seconds=14.0)


class CrashFleet(SeriesFleet):
    """Entries and replicas; a crashed replica starts again under another name.

    :param names: current name of each replica.
    :param stopping: set when no replica is to be started again.
    """

    replica_script = "crash_replica.py"

    def __init__(
        self, plan: CrashPlan, folder: pathlib.Path, rng: random.Random
    ) -> None:
        super().__init__(plan, folder, rng)  # type: ignore[arg-type]
        self.names: dict[int, str] = {}
        self.starts = 0
        self.stopping = False
        self.guards: list[asyncio.Task[None]] = []

    async def __aexit__(self, *error: object) -> None:
        self.stopping = True
        for guard in self.guards:
            guard.cancel()
        await asyncio.gather(*self.guards, return_exceptions=True)
        await super().__aexit__(*error)

    async def start_replica(self, number: int) -> None:
        """Start a replica and register it under a new name."""
        await super().start_replica(number)
        self.guards.append(asyncio.create_task(self._start_again(number)))

    def register(self, number: int, entry: dict[str, object]) -> None:
        """Register a replica that has just started."""
        self.starts += 1
        name = self.names[number] = f"i-{number}-{self.starts}"
        self.store.put(f"servers/{name}", entry | {"born": int(time.time() * 1e3)})

    async def _start_again(self, number: int) -> None:
        process, name = self.replicas[number], self.names[number]
        await process.wait()
        if self.stopping:
            return
        lapse = asyncio.create_task(self._lapse(name))
        self.guards.append(lapse)
        await asyncio.sleep(self.plan.restart_seconds)  # type: ignore[attr-defined]
        await self.start_replica(number)

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(self.plan.lapse_seconds)  # type: ignore[attr-defined]
        self.store.remove(f"servers/{name}")


class CrashSeries:
    """Plays one series of crashes.

    :param sent: all requests so far.
    :param outages: times in which the store did not work as usual.
    """

    def __init__(self, plan: CrashPlan, folder: pathlib.Path, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(f"callers-{seed}")
        self.fleet = CrashFleet(plan, folder, self.rng)
        self.sent: list[SentRequest] = []
        self.outages: list[Outage] = []
        self.started_at = 0.0
        self.stopping = asyncio.Event()

    async def run(self) -> CrashReport:
        """Play the plan and check the results of callers and replicas."""
        async with asyncio.timeout(SERIES_TIMEOUT_SECONDS), self.fleet:
            self.started_at = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for number in range(self.plan.callers):
                    group.create_task(self._send_harmless(number))
                for number, culprit in enumerate(self.plan.culprits):
                    group.create_task(self._send_culprit(number, culprit))
                await self._play()
                calm_from = time.monotonic() + DISCOVERY_SECONDS
                await asyncio.sleep(DISCOVERY_SECONDS + CALM_SECONDS)
                self.stopping.set()
        record = read_record(self.fleet.folder / "received")
        return CrashReport(
            find_crash_faults(
                self.sent, record, self.outages, self.fleet.incarnations, calm_from
            ),
            dict(collections.Counter(each.status for each in self.sent)),
            {
                culprit: (len(result.crashes), len(result.late_tries))
                for culprit, result in judge_culprits(record, self.outages).items()
            },
        )

    async def _play(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._until(self.plan.seconds))
            group.create_task(self._fault_store())
            for at, number in self.plan.replica_kills:
                group.create_task(self._kill_replica(at, number))
            for at, entry, how in self.plan.kills:
                group.create_task(self._restart_entry(at, entry, how))

    async def _until(self, at: float) -> None:
        await asyncio.sleep(self.started_at + at - time.monotonic())

    async def _fault_store(self) -> None:
        fault = self.plan.store_fault
        if fault is None:
            return
        store = self.fleet.store
        backup = store.backup()
        await self._until(fault.at)
        begin = time.monotonic()
        if fault.kind == "lossy":
            store.lose_replies = 6
        store.outage = 503 if fault.kind in ("down", "restored") else 0
        store.delay = 0.4 if fault.kind == "slow" else 0.0
        await asyncio.sleep(fault.seconds)
        if fault.kind == "restored":
            store.restore_live(backup)
        store.outage, store.delay, store.lose_replies = 0, 0.0, 0
        self.outages.append(Outage(begin, time.monotonic()))

    async def _kill_replica(self, at: float, number: int) -> None:
        await self._until(at)
        process = self.fleet.replicas[number]
        with contextlib.suppress(ProcessLookupError):
            process.kill()

    async def _restart_entry(self, at: float, entry: int, how: signal.Signals) -> None:
        await self._until(at)
        incarnation = self.fleet.current.get(entry)
        if incarnation is None or incarnation.sigterm_at or incarnation.killed_at:
            return
        if how is signal.SIGKILL:
            await self.fleet.restart_entry(entry)
            return
        incarnation.sigterm_at = time.monotonic()
        await send_signal(incarnation, how, 0.0)
        await incarnation.process.wait()
        await self.fleet.start_entry(entry)

    async def _send_culprit(self, number: int, culprit: Culprit) -> None:
        await self._until(culprit.begins_at)
        if culprit.part:
            await self._send_parts(number, culprit)
            return
        target = f"{culprit.path}{number}?ms={culprit.runs_ms}"
        if culprit.path in ("/talk/", "/long/"):
            target += "&events=3"
        tries = 0
        while not self.stopping.is_set():
            name = f"{CULPRIT_PREFIX}{number}-{tries}"
            tries += 1
            await self._send_once(name, target, f"crash {number}".encode())
            await asyncio.sleep(self.rng.uniform(0.0, 2 * culprit.pause))

    async def _send_parts(self, number: int, culprit: Culprit) -> None:
        """Send requests with a harmful part, each of them once."""
        tries = 0
        async with asyncio.TaskGroup() as group:
            while not self.stopping.is_set():
                name = f"{PART_PREFIX}{number}-{tries}"
                target = f"{culprit.path}{name}?ms={culprit.runs_ms}&events=3"
                parts = self._parts(culprit.path, name, f"{culprit.part}:300")
                group.create_task(self._send_once(name, target, b"hello", parts))
                tries += 1
                await asyncio.sleep(self.rng.uniform(0.0, 2 * culprit.pause))

    def _parts(self, path: str, name: str, *further: str) -> str:
        """Return the parts of a prompt: some are shared, the last is its own."""
        document = f"d0{self.rng.randrange(DOCUMENTS)}:100"
        shared = [document, *further]
        self.rng.shuffle(shared)
        own = f"{name.encode().hex()}:50"
        return ",".join((SHARED_PARTS[path], *shared, own))

    async def _send_harmless(self, number: int) -> None:
        pause = self.rng.choice((0.02, 0.05, 0.2))
        sent = 0
        while not self.stopping.is_set():
            kind = self.rng.choice(("/order/", "/read/", "/talk/", "/long/"))
            # Some callers ask for the same thing again and again.
            path = f"{kind}{number}" if number % 2 else f"{kind}{number}-{sent}"
            query = f"?ms={self.rng.choice((1, 20, 100))}"
            name, parts = f"q-{number}-{sent}", ""
            if kind in SHARED_PARTS:
                query += f"&events={self.rng.choice((2, 5))}"
                parts = self._parts(kind, name) if self.plan.has_parts else ""
            await self._send_once(name, path + query, b"hello", parts)
            sent += 1
            await asyncio.sleep(self.rng.uniform(0.0, 2 * pause))

    async def _send_once(
        self, name: str, target: str, body: bytes, parts: str = ""
    ) -> None:
        """Send a request on a new connection to any entry and record its result.

        :param parts: parts of its prompt; empty for none.
        """
        live = [i for i in self.fleet.current.values() if not i.killed_at]
        incarnation = self.rng.choice(live) if live else None
        if incarnation is None:
            return
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.fleet.entry_ports[incarnation.entry]
            )
        except ConnectionError:
            return
        incarnation = self.fleet.current.get(incarnation.entry, incarnation)
        sent = SentRequest(name, target, incarnation)
        self.sent.append(sent)
        headers = {"X_Deadline_Ms": REQUEST_DEADLINE_MS}
        if parts:
            headers["X_Prompt_Prefix"] = parts
        try:
            writer.write(request(target, "POST", body, name, **headers))
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                got = await read_answer(reader)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            return
        finally:
            sent.ended_at = time.monotonic()
            writer.close()
        sent.status, sent.complete, sent.body = got.status, got.complete, got.body


@dataclasses.dataclass
class CrashReport:
    """Result of a series.

    :param faults: descriptions of everything that must not happen.
    :param statuses: number of requests by status.
    :param culprits: crashes, and late tries that reached replicas, by harmful request.
    """

    faults: list[str]
    statuses: dict[int, int]
    culprits: dict[str, tuple[int, int]]


async def run_plan(plan: CrashPlan, seed: int) -> CrashReport:
    """Play a plan; the logs are kept if there are faults."""
    return await run_in_folder(
        f"crashes-{seed}-",
        lambda folder: CrashSeries(plan, folder, seed).run(),
        CrashReport([UNFINISHED], {}, {}),
    )


def main() -> int:
    """Play the series of a range of seeds and print the result of each."""
    parser = seed_parser(__doc__, first=1000, count=50, parallel=2)
    parser.add_argument("--most", type=int, default=4, help="maximum of entries")
    parser.add_argument("--parts", action="store_true", help="harmful parts of prompts")
    parser.add_argument(
        "--engines", type=int, default=0, help="engines, with as many entries as --most"
    )
    arguments = parser.parse_args()
    draw = draw_part_plan if arguments.parts else draw_plan

    async def run(seed: int) -> CrashReport:
        plan = draw(seed, arguments.most)
        if arguments.engines:
            plan = dataclasses.replace(
                plan, entries=arguments.most, engines=arguments.engines
            )
        return await run_plan(plan, seed)

    def describe(report: CrashReport) -> str:
        return f"{report.statuses}, crashes and late tries {report.culprits}"

    return play_seeds(arguments, run, describe)


if __name__ == "__main__":
    sys.exit(main())
