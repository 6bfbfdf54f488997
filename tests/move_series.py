"""Plays series of restarts of entries and engines while callers read long streams.

Usage: ``PYTHONPATH=src:tests python tests/move_series.py --first 100 --count 50``.

All entries are stopped one after another, twice, and some are killed. Engines are
replaced, crash, and fall silent, for a while or for good. Callers go on with broken
streams at another entry. Checks that streams of sound engines are not cut, and hold
each event once, of one build.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import os
import pathlib
import random
import re
import signal
import sys
import time
import typing as t

from direct_support import config
from direct_support import route
from series_callers import Connection
from series_callers import SeriesCallers
from series_checks import FAILED_AT_REPLICA_STATUSES
from series_checks import NOT_RUN_STATUSES
from series_checks import SentRequest
from series_checks import SeriesReport
from series_fleet import SeriesFleet
from series_plan import Plan
from series_plan import Stop
from stop_series import Series
from stop_series import run_plan

SERIES_SECONDS = 12.0
DEADLINE_SECONDS = 10.0
WATCH_SECONDS = 0.5
"""How long entries may take to learn of a change in the store."""

DRAINING = {"state": "draining"}
MAX_ENGINE_PROCESSES = 100
LOSSES = (signal.SIGKILL, signal.SIGKILL, signal.SIGSTOP)
EVENT = re.compile(rb"id: (\d+)\ndata: ([^@\n]+)@(i-\d+)@([0-9.]+)-\d+\n\n")

TRANSIT_SECONDS = 0.1
"""Time in which an entry receives a request, which its deadline leaves out."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class MovePlan(Plan):
    """A series; its times count from its start.

    :param kinds: stage and build of each engine at the start.
    :param builds: builds of the engines that are started later.
    :param plays: when to call which method of the fleet, and its arguments.
    """

    kinds: tuple[tuple[str, str], ...]
    builds: tuple[str, ...]
    plays: tuple[tuple[float, str, tuple[t.Any, ...]], ...]


def draw_plan(seed: int, most_builds: int = 2, scale: int = 1) -> MovePlan:
    """Return the plan of a seed.

    :param scale: factor of the numbers of processes, callers and faults.
    """
    rng = random.Random(seed)
    entries, readers = scale * rng.randint(2, 5), scale * rng.randint(1, 2)
    decoders = scale * rng.randint(2, 4)
    builds = ("v1", "v1.1")[: min(most_builds, rng.choice((1, 2, 2)))]
    interval = rng.choice((0.1, 0.25, 0.6)) / scale

    def times(*counts: int) -> list[float]:
        return [rng.uniform(0.5, 11.0) for _ in range(scale * rng.choice(counts))]

    stages = ("prefill",) * readers + ("decode",) * decoders
    stops = [
        Stop(n, begin + n * interval, restart=0.0, idle_connections=0)
        for n in range(entries)
        for begin in (1.5, 7.0)
    ]
    stops += [
        Stop(rng.randrange(entries), at, killed=True, restart=0.0)
        for at in times(0, 1, 2)
    ]
    return MovePlan(
        entries=entries,
        plain=0,
        engines=len(stages),
        continuous_callers=scale * rng.choice((4, 8, 16)),
        stops=tuple(sorted(stops, key=lambda stop: stop.at)),
        reloads=tuple((at, rng.randrange(entries)) for at in times(0, 2, 6)),
        kinds=tuple((stage, rng.choice(builds)) for stage in stages),
        builds=builds,
        plays=(
            *((at, "change", ()) for at in times(0, 2, 5)),
            *((at, "replace", ()) for at in times(0, 1, 3)),
            *((at, "lose", (rng.choice(LOSSES),)) for at in times(0, 1, 3)),
            *((at, "pause", (rng.uniform(0.8, 1.9),)) for at in times(1, 3, 6)),
        ),
    )


class MoveFleet(SeriesFleet):
    """Entries and engines; each process of an engine has a number of its own.

    :param kinds: stage and build of each engine.
    :param serving: numbers of the engines that are neither lost nor being replaced.
    :param lost_at: when an engine was lost, by name.
    :param paused_at: when each engine was last paused, by number.
    :param disturbances: begin and end of all pauses, and of all times from the loss of
        an engine until entries learn of it.
    """

    plan: MovePlan
    version = 1
    replica_script = "move_replica.py"
    routes: t.ClassVar = [
        route("/long/", "streaming", "llm", resumable=True)
        | {"max-attempts": 3, "timeout-ms": 15_000}
    ]

    def __init__(
        self, plan: MovePlan, folder: pathlib.Path, rng: random.Random
    ) -> None:
        super().__init__(plan, folder, rng)
        base = self.replica_ports[0]
        self.replica_ports = [base + n for n in range(MAX_ENGINE_PROCESSES)]
        self.kinds = list(plan.kinds)
        self.entries: dict[int, dict[str, object]] = {}
        self.serving: set[int] = set()
        self.lost_at: dict[str, float] = {}
        self.paused_at: dict[int, float] = {}
        self.disturbances: list[tuple[float, float]] = []

    def registration(self, number: int) -> dict[str, object]:
        """Return an engine's service, stage and build."""
        stage, build = self.kinds[number]
        return {"service": "llm", "stage": stage, "version": build}

    def arguments(self, number: int) -> tuple[str, ...]:
        """Return the name, the build and the silent share of an engine's process."""
        # Processes that are paused have no silent streams: the times would add up.
        return (f"i-{number}", self.kinds[number][1], "0.0" if number % 2 else "0.04")

    def register(self, number: int, entry: dict[str, object]) -> None:
        """Register an engine that has just started."""
        super().register(number, entry)
        self.entries[number] = entry
        self.serving.add(number)

    async def change(self) -> None:
        """Change the time-outs of the routes and of idle connections."""
        self.version += 1
        routes = [self.routes[0] | {"timeout-ms": 15_000 - 100 * self.version}]
        limits = {"idle-timeout-ms": self.rng.choice((1_500, 15_000))}
        self.store.put("op/config", config(self.version, routes, **limits))

    async def replace(self) -> None:
        """Start another engine, then drain one and end it."""
        await self._retire(await self._take())

    async def _retire(self, number: int) -> None:
        await self._start_another(number)
        self.store.put(f"servers/i-{number}", self.entries[number] | DRAINING)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.replicas[number].terminate()
        self.store.remove(f"servers/i-{number}")

    async def lose(self, how: signal.Signals) -> None:
        """Crash an engine or stop it for good; another one starts a second later."""
        number = await self._take()
        began_at = self.lost_at[f"i-{number}"] = time.monotonic()
        os.kill(self.replicas[number].pid, how)
        await asyncio.sleep(1.0)
        await self._start_another(number)
        await asyncio.sleep(1.0)
        self.store.remove(f"servers/i-{number}")
        self.disturbances.append((began_at, time.monotonic() + WATCH_SECONDS))

    async def pause(self, seconds: float) -> None:
        """Pause the process of a decode engine that was not paused just before."""
        since = time.monotonic() - 2.0 - seconds
        for number in sorted(self.serving, key=lambda _: self.rng.random()):
            before = self.paused_at.get(number, 0.0)
            if number % 2 and self.kinds[number][0] == "decode" and before < since:
                began_at = self.paused_at[number] = time.monotonic()
                os.kill(self.replicas[number].pid, signal.SIGSTOP)
                await asyncio.sleep(seconds)
                self.disturbances.append((began_at, time.monotonic()))
                if f"i-{number}" not in self.lost_at:
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(self.replicas[number].pid, signal.SIGCONT)
                return

    async def _take(self) -> int:
        while not self.serving:
            await asyncio.sleep(0.05)
        number = self.rng.choice(sorted(self.serving))
        self.serving.remove(number)
        return number

    async def _start_another(self, number: int) -> None:
        self.kinds.append((self.kinds[number][0], self.rng.choice(self.plan.builds)))
        await self.start_replica(len(self.kinds) - 1)


@dataclasses.dataclass
class MoveTry(SentRequest):
    """A try of a stream, at one entry.

    :param after: number of the last event of earlier tries.
    :param hung: whether its caller left, as it did not end by its deadline.
    :param prefilled: whether an engine was asked to prefill its prompt.
    """

    after: int = 0
    hung: bool = False
    prefilled: bool = False

    @property
    def events(self) -> list[tuple[int, str, str, float]]:
        """Number, build, engine and time of each event that arrived whole."""
        found = EVENT.findall(self.body)
        return [(int(n), b.decode(), e.decode(), float(at)) for n, b, e, at in found]

    def find_fault(
        self, ran: list[tuple[float, str]], lost: set[str], steady: bool
    ) -> str:
        """Return what is wrong with the result, or an empty string.

        :param ran: when it was sent to the engines that decoded it, and their names.
        :param lost: names of engines that did not go on with it.
        :param steady: whether no engine was lost or paused around that time.
        """
        numbers = [number for number, *_ in self.events]
        last = self.after + len(numbers)
        if numbers != list(range(self.after + 1, last + 1)):
            return f"events {numbers} after {self.after}"
        if self.status in NOT_RUN_STATUSES:
            return "not run, it was told" if ran else ""
        if self.status in FAILED_AT_REPLICA_STATUSES:
            return "failed without a cause" if steady else ""
        if self.complete:
            whole = self.status == 200 and last == int(self.target.rpartition("=")[2])
            return "" if whole else f"whole after event {last}"
        sent_on = self.prefilled or ran
        if self._may_be_lost() or not (sent_on or self.hung or self.status):
            return ""
        if not self.status:
            return "hung" if self.hung else "neither an answer nor a refusal"
        late = self.ended_at - self.began_at > DEADLINE_SECONDS - 0.2
        engines = {engine for _, engine in ran}
        serving = engines
        if self.events:
            # Another engine that it was sent to before the last event was withdrawn.
            *_, engine, at = self.events[-1]
            serving = {e for sent_at, e in ran if sent_at > at - TRANSIT_SECONDS}
            serving.add(engine)
        excused = lost.intersection(engines) if late else lost.issuperset(serving)
        return "" if excused else f"cut after event {last}"


class MoveCallers(SeriesCallers):
    """Callers that go on with a broken stream at another entry.

    :param streams: tries of each stream.
    """

    def __init__(self, fleet: SeriesFleet, rng: random.Random) -> None:
        super().__init__(fleet, rng)
        self.streams: list[list[MoveTry]] = []

    def _target(self) -> str:
        events, pause = self.rng.choice(((5, 200), (10, 150), (12, 250)))
        return f"/long/{len(self.streams)}?ms={pause}&events={events}"

    async def _ask(self, connection: Connection, target: str) -> bool:
        """Read a stream to its end; return whether the first connection remains."""
        tries: list[MoveTry] = []
        self.streams.append(tries)
        until = time.monotonic() + DEADLINE_SECONDS
        remains = await self._try(connection, target, tries)
        while not tries[-1].complete or tries[-1].status != 200:
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))
            if time.monotonic() > until:
                break
            last = tries[-1].incarnation.entry
            others = [i for i in self.fleet.current.values() if i.entry != last]
            other = await self._connect(self.rng.choice(others))
            if other is not None:
                await self._try(other, target, tries)
                other.writer.close()
        return remains

    async def _try(
        self, connection: Connection, target: str, tries: list[MoveTry]
    ) -> bool:
        headers = {"X-Token-Count": "6000,80", "X-Prompt-Prefix": "aa:2000,bb:4000"}
        headers["X-Deadline-Ms"] = f"{DEADLINE_SECONDS * 1e3:.0f}"
        begun = [each for each in tries if each.events]
        one = MoveTry(f"q-{len(self.sent)}", target, connection.incarnation)
        if begun:
            one.after = begun[-1].events[-1][0]
            headers["Last-Event-Id"] = str(one.after)
            headers["Resumes"] = begun[0].request_id
        tries.append(one)
        try:
            return await self._send(connection, one, **headers)
        except TimeoutError:
            one.ended_at, one.hung = time.monotonic(), True
            return False


class MoveSeries(Series):
    """Plays one series."""

    fleet_class = MoveFleet
    callers_class = MoveCallers

    async def _play(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(super()._play())
            group.create_task(self._until(SERIES_SECONDS))
            for at, method, arguments in self.plan.plays:
                group.create_task(self._call_at(at, method, arguments))

    async def _call_at(self, at: float, method: str, arguments: t.Any) -> None:
        await self._until(at)
        await getattr(self.fleet, method)(*arguments)

    def find_faults(self) -> list[str]:
        """Return descriptions of everything that must not happen."""
        ran, lost = collections.defaultdict(list), collections.defaultdict(set)
        prefilled = set()
        for name, engine, mark in (r.split("@") for r in self.fleet.received()):
            if mark == "silent":
                lost[name].add(engine)
            elif mark == "prefill":
                prefilled.add(name)
            else:
                # A paused engine records a request later than it was sent.
                ran[name].append((DEADLINE_SECONDS - int(mark) / 1e3, engine))
        lost_at, disturbances = self.fleet.lost_at, self.fleet.disturbances
        faults = [each.fault() for each in self.fleet.incarnations]
        for one in self.callers.sent:
            begin, end, name = one.began_at, one.ended_at, one.request_id
            disturbed = any(b < end and begin < e for b, e in disturbances)
            steady = not lost[name] and not disturbed
            lost[name] |= {engine for engine, at in lost_at.items() if at <= end}
            runs = sorted((begin + after, engine) for after, engine in ran[name])
            one.prefilled = name in prefilled
            fault = one.find_fault(runs, lost[name], steady)
            faults.append(fault and one.describe(fault, len(runs)) + f" {runs}")
        for tries in self.callers.streams:
            if len({build for one in tries for _, build, *_ in one.events}) > 1:
                names = [(one.request_id, one.events) for one in tries if one.events]
                faults.append(f"two builds: {names}")
        resumed = sum(one.after > 0 for one in self.callers.sent)
        moved = sum(len({e for *_, e, _ in o.events}) > 1 for o in self.callers.sent)
        print(f"{resumed} tries went on with a stream, {moved} were moved")
        return [fault for fault in faults if fault]


async def run_series(plan: MovePlan, seed: int) -> SeriesReport:
    """Play a plan; the logs are kept if there are faults."""
    return await run_plan(plan, seed, MoveSeries)


def main() -> int:
    """Play the series of a range of seeds and print the result of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=100)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--builds", type=int, default=2, help="maximum of builds")
    parser.add_argument("--scale", type=int, default=1, help="factor of the processes")
    arguments = parser.parse_args()
    # Ends the processes of the series too: left behind, they would hold their ports.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    seeds = range(arguments.first, arguments.first + arguments.count)
    broken = 0
    for seed in seeds:
        plan = draw_plan(seed, arguments.builds, arguments.scale)
        report = asyncio.run(run_series(plan, seed))
        kinds = collections.Counter(fault.partition(":")[0] for fault in report.faults)
        print(f"seed {seed}: {report.statuses}, faults {len(report.faults)}")
        print(dict(kinds), *report.faults[:20], sep="\n  ", flush=True)
        broken += bool(report.faults)
    print(f"{broken} of {len(seeds)} broke")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
