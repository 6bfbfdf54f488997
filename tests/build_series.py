"""Plays series of kills and releases while callers read streams of several builds.

Usage: ``PYTHONPATH=src:tests python tests/build_series.py --first 100 --count 50``.

Entries are killed, all at once or single ones, stopped and paused; engines crash and
come back, perhaps with another build, leave, fall silent, or are released anew one
after another; the store turns entries away, loses replies, carries writes out late,
and comes back from an older copy. With ``--cuts`` entries are also cut off from the
store and from one another, and stand still, beside a release, as callers break off.
Callers go on with broken streams at other entries. Checks that streams hold events of
one build, each once, and that streams resumed in calm go on about as often as new ones
begin.
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
import typing as t

from build_fleet import BuildFleet
from build_fleet import BuildPlan
from direct_support import request
from move_series import MoveSeries
from move_series import MoveTry
from series_callers import Connection
from series_callers import SeriesCallers
from series_checks import FAILED_AT_REPLICA_STATUSES
from series_checks import NOT_RUN_STATUSES
from series_fleet import SeriesFleet
from series_seeds import UNFINISHED
from series_seeds import play_seeds
from series_seeds import run_in_folder
from series_seeds import seed_parser

FAULT_SECONDS = 7.0
"""Time from the start of a series in which faults begin."""

IN_TOUCH_SECONDS = 3.0
"""Time without a fault after which streams must go on again."""

FINAL_SECONDS = 4.5
"""How long streams are resumed and begun once entries are in touch."""

GO_ON_SECONDS = 2.5
"""Time in the series that a resumed or new stream has at least."""

STREAM_SECONDS = 22.0
"""How long a caller goes on with a stream."""

NEW_STREAMS = 16
MAX_MIXED_STREAMS = 2
MIN_RESUMED_STREAMS = 12
MIN_ENGINES = 2
"""Engines of a build without which its streams need not go on."""


def draw_plan(seed: int) -> BuildPlan:
    """Return the plan of a seed."""
    rng = random.Random(seed)
    entries, readers = rng.randint(3, 6), rng.randint(1, 3)
    stages = ("prefill",) * readers + ("decode",) * rng.randint(5, 11)
    builds = ("v1", "v2", "v3")[: rng.choice((1, 2, 2, 3))]
    plays: list[tuple[float, str, tuple[t.Any, ...]]] = []

    def add(method: str, counts: tuple[int, ...], *draw: t.Callable[[], t.Any]) -> None:
        for _ in range(rng.choice(counts)):
            at = rng.uniform(1.5, FAULT_SECONDS)
            plays.append((at, method, tuple(each() for each in draw)))

    def entry() -> int:
        return rng.randrange(entries)

    def some() -> tuple[int, ...]:
        return tuple(rng.sample(range(entries), rng.randint(1, entries - 1)))

    def away() -> float:
        return rng.uniform(0.2, 2.0)

    add("kill_all", (0, 0, 1, 1, 2), away)
    add("kill", (0, 1, 3), entry, away)
    add("stop", (0, 0, 1, 2), entry)
    add("freeze", (0, 1, 3), entry, lambda: rng.uniform(0.5, 1.5))
    add("lose", (0, 1, 2), lambda: rng.choice((signal.SIGKILL, signal.SIGSTOP)))
    add("come_back", (0, 1, 1, 3), away, lambda: rng.choice((*builds, "v2")))
    add("replace", (0, 1, 2))
    add("pause", (0, 1, 3), lambda: rng.uniform(0.8, 1.9))
    add("release", (0, 0, 1), lambda: "v9", lambda: rng.uniform(0.2, 0.6))
    add("turn_away", (0, 0, 1), some, lambda: rng.uniform(1.0, 5.0))
    add("lose_replies", (0, 0, 1), lambda: rng.randint(2, 8))
    add("delay_writes", (0, 0, 1), lambda: rng.randint(2, 8), away)
    add("restore", (0, 0, 0, 1), lambda: rng.uniform(0.5, 3.0), away)
    return BuildPlan(
        entries=entries,
        plain=0,
        engines=len(stages),
        continuous_callers=rng.choice((24, 32, 40)),
        stops=(),
        kinds=tuple((stage, rng.choice(builds)) for stage in stages),
        builds=builds,
        plays=tuple(sorted(plays, key=lambda play: play[0])),
    )


def draw_cut_plan(seed: int) -> BuildPlan:
    """Return the plan of a seed with a release beside which entries are out of step."""
    plan, rng = draw_plan(seed), random.Random(f"cuts {seed}")
    plays = list(plan.plays)
    if not any(method == "release" for _, method, _ in plays):
        release = ("v9", rng.uniform(0.2, 0.6))
        plays.append((rng.uniform(2.0, 5.0), "release", release))
    released_at, interval = next((at, d[1]) for at, m, d in plays if m == "release")
    span = interval * plan.engines

    def cut() -> tuple[t.Any, ...]:
        some = rng.sample(range(plan.entries), rng.randint(1, plan.entries // 2))
        store = rng.choice(("silent", "silent", "refused", "reset", "slow", ""))
        way = rng.choice(("both", "both", "in", "out", "") if store else ("both", "in"))
        return (tuple(some), store, way)

    # One lasts from before the release until streams begin at the new build.
    from_the_release_on = (*cut(), span + rng.uniform(1.0, 4.0))
    plays.append((released_at - rng.uniform(0.0, 0.5), "part", from_the_release_on))
    for _ in range(rng.randint(0, 2)):
        at = released_at + rng.uniform(0.0, span)
        plays.append((at, "part", (*cut(), rng.uniform(0.5, 6.0))))
    for _ in range(rng.randint(0, 2)):
        at = released_at + rng.uniform(0.0, span)
        freeze = (rng.randrange(plan.entries), rng.uniform(1.5, 6.0))
        plays.append((at, "freeze", freeze))
    for part in (0.4, 0.7, 1.0):
        at = released_at + 1.0 + span * part
        plays.append((at, "begin_streams", (rng.randint(8, 16),)))
        plays.append((at + rng.uniform(0.5, 1.0), "break_off", ()))
    plays.sort(key=lambda play: play[0])
    return dataclasses.replace(plan, plays=tuple(plays), has_cuts=True)


def draw_calm_plan(seed: int) -> BuildPlan:
    """Return the plan of a seed without its faults."""
    return dataclasses.replace(draw_plan(seed), plays=(), silent_share=0.0)


@dataclasses.dataclass
class BuildTry(MoveTry):
    """A try of a stream, at one entry.

    :param retry_after: seconds after which a refusal lets the caller come again.
    :param given_up_at: when its caller closed the connection; 0.0 if it did not.
    """

    retry_after: float = 0.0
    given_up_at: float = 0.0

    @property
    def is_cut_short(self) -> bool:
        """Whether its caller left before an answer was due."""
        seconds = self.given_up_at - self.began_at
        return not self.status and bool(self.given_up_at) and seconds < GO_ON_SECONDS

    def find_wrong_result(self, runs: int) -> str:
        """Return what is wrong with the result, or an empty string.

        :param runs: how often engines began to decode it.
        """
        numbers = [number for number, *_ in self.events]
        last = self.after + len(numbers)
        if numbers != list(range(self.after + 1, last + 1)):
            return f"events {numbers} after {self.after}"
        if self.status in NOT_RUN_STATUSES:
            return "not run, it was told" if runs else ""
        if not self.complete or self.status in FAILED_AT_REPLICA_STATUSES:
            return ""
        if self.status != 200:
            return "no answer to this request"
        whole = last == int(self.target.rpartition("=")[2])
        return "" if whole else f"whole after event {last}"


@dataclasses.dataclass
class Stream:
    """A stream and its tries."""

    number: int
    tries: list[BuildTry] = dataclasses.field(default_factory=list)

    @property
    def begun(self) -> list[BuildTry]:
        """The tries that brought events."""
        return [one for one in self.tries if one.events]

    @property
    def builds(self) -> list[str]:
        """The builds of its events, in the order in which they came first."""
        found = (build for one in self.tries for _, build, *_ in one.events)
        return list(dict.fromkeys(found))

    def describe(self) -> str:
        """Return where each part of it came from."""
        parts = []
        for one in self.begun:
            engines = dict.fromkeys(f"{engine} ({b})" for _, b, engine, _ in one.events)
            place = f"{one.request_id} at entry-{one.incarnation.entry}"
            parts.append(f"{place} after {one.after}: {' '.join(engines)}")
        return "; ".join(parts)

    def tries_between(self, begin: float, end: float) -> list[BuildTry]:
        """Return the tries in a time; none if the first one of them came too late."""
        tries = [one for one in self.tries if begin <= one.began_at <= end]
        late = not tries or tries[0].began_at > end - GO_ON_SECONDS
        return [] if late else tries


class BuildCallers(SeriesCallers):
    """Callers that go on with a broken stream at another entry, again and again.

    :param open: tries that are under way, with their connections.
    """

    def __init__(self, fleet: SeriesFleet, rng: random.Random) -> None:
        super().__init__(fleet, rng)
        self.streams: list[Stream] = []
        self.open: list[tuple[Connection, BuildTry]] = []

    async def begin_stream(self) -> None:
        """Read one more stream, on a connection of its own."""
        connection = await self._connect_anywhere()
        if connection is not None:
            await self._ask(connection, self._target())
            connection.writer.close()

    async def break_off(self) -> None:
        """Give up the tries that are under way, one after another."""
        for one in [one for _, one in self.open]:
            self._give_up(one)
            await asyncio.sleep(self.rng.uniform(0.0, 0.04))

    def end(self) -> None:
        """Begin no further stream, and break off all that are under way."""
        self.stopping.set()
        for _, one in self.open:
            self._give_up(one)

    def _give_up(self, one: BuildTry) -> None:
        """Close the connection of a try, unless the try has ended."""
        for connection, other in self.open:
            if other is one:
                one.given_up_at = time.monotonic()
                connection.writer.close()

    def _target(self) -> str:
        events, pause = self.rng.choice(((30, 150), (80, 180), (90, 200)))
        return f"/long/{len(self.streams)}?ms={pause}&events={events}"

    async def _ask(self, connection: Connection, target: str) -> bool:
        """Read a stream to its end; return whether the first connection remains."""
        stream = Stream(len(self.streams))
        self.streams.append(stream)
        until = time.monotonic() + STREAM_SECONDS
        first, remains = connection, await self._try(connection, target, stream, until)
        kept = remains
        while not (stream.tries[-1].complete and stream.tries[-1].status == 200):
            await asyncio.sleep(self._pause(stream.tries[-1].retry_after))
            if self.stopping.is_set() or time.monotonic() > until:
                break
            if not kept or self.rng.random() < 0.7:
                if connection is not first:
                    connection.writer.close()
                last = stream.tries[-1].incarnation.entry
                others = [i for i in self.fleet.current.values() if i.entry != last]
                other = await self._connect(self.rng.choice(others))
                if other is None:
                    kept = False
                    continue
                connection = other
            kept = await self._try(connection, target, stream, until)
            remains = kept if connection is first else remains
        if connection is not first:
            connection.writer.close()
        return remains

    def _pause(self, retry_after: float) -> float:
        return retry_after + self.rng.uniform(0.05, 0.5)

    async def _try(
        self, connection: Connection, target: str, stream: Stream, until: float
    ) -> bool:
        name, begun = f"q-{len(self.sent)}", stream.begun
        one = BuildTry(name, target, connection.incarnation)
        milliseconds = max(1.0, (until - time.monotonic()) * 1e3)
        headers = {"X-Token-Count": "6000,80", "X-Prompt-Prefix": "aa:2000,bb:4000"}
        headers["X-Deadline-Ms"] = f"{milliseconds:.0f}"
        if begun:
            one.after = begun[-1].events[-1][0]
            headers["Last-Event-Id"] = str(one.after)
            headers["Resumes"] = begun[0].request_id
        stream.tries.append(one)
        self.sent.append(one)
        self.open.append((connection, one))
        remains = False
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, TimeoutError
        ):
            connection.writer.write(request(target, request_id=name, **headers))
            async with asyncio.timeout(milliseconds / 1e3 + 1.0):
                remains = await _read(connection.reader, one)
        one.ended_at = time.monotonic()
        self.open.remove((connection, one))
        # An answer that was received before may be read after the connection is closed.
        return remains and not one.given_up_at


async def _read(reader: asyncio.StreamReader, one: BuildTry) -> bool:
    """Read an answer as it comes; return whether the connection remains."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(": ") for line in head[1:])
    headers = {name.lower(): value for name, _, value in pairs}
    one.status = int(head[0].split(" ")[1])
    one.retry_after = float(headers.get("retry-after", "0"))
    if "content-length" in headers:
        one.body = await reader.readexactly(int(headers["content-length"]))
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            left = size + 2
            while left:
                data = await reader.read(left)
                if not data:
                    return False
                one.body += data[: max(0, left - 2)]
                left -= len(data)
        await reader.readexactly(2)
    one.complete = True
    return headers.get("connection") != "close"


class BuildSeries(MoveSeries):
    """Plays one series.

    :param counts: what was judged, and how often.
    :param in_touch_at: when the last fault had ended long enough before.
    :param more_callers: callers of streams that begin beside a release.
    """

    plan: BuildPlan
    fleet: BuildFleet
    callers: BuildCallers
    fleet_class = BuildFleet
    callers_class = BuildCallers  # type: ignore[assignment]
    more_callers: asyncio.TaskGroup
    in_touch_at = 0.0
    ended_at = 0.0

    async def _call_at(self, at: float, method: str, arguments: t.Any) -> None:
        if method not in ("begin_streams", "break_off"):
            await super()._call_at(at, method, arguments)
            return
        await self._until(at)
        await getattr(self, method)(*arguments)

    async def begin_streams(self, count: int) -> None:
        """Let more callers read a stream each."""
        for _ in range(count):
            self.more_callers.create_task(self.callers.begin_stream())

    async def break_off(self) -> None:
        """Let all callers break off, and go on elsewhere."""
        await self.callers.break_off()

    async def _play(self) -> None:
        async with asyncio.TaskGroup() as self.more_callers:
            await self._play_faults()
            await self._play_calm()

    async def _play_faults(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._until(FAULT_SECONDS))
            for at, method, arguments in self.plan.plays:
                group.create_task(self._call_at(at, method, arguments))

    async def _play_calm(self) -> None:
        await asyncio.sleep(IN_TOUCH_SECONDS)
        self.in_touch_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.callers.break_off())
            for _ in range(NEW_STREAMS):
                group.create_task(self.callers.begin_stream())
            await asyncio.sleep(FINAL_SECONDS)
            self.ended_at = time.monotonic()
            self.callers.end()

    def find_faults(self) -> list[str]:
        """Return descriptions of everything that must not happen."""
        incarnations = [i for i in self.fleet.incarnations if not i.sigterm_at]
        faults = [each.fault() for each in incarnations]
        marks = (line.split("@") for line in self.fleet.received())
        runs = collections.Counter(name for name, _, mark in marks if mark.isdigit())
        for one in self.callers.sent:
            fault = one.find_wrong_result(runs[one.request_id])
            faults.append(fault and one.describe(fault, runs[one.request_id]))
        return [*(fault for fault in faults if fault), *self.find_build_faults()]

    def find_build_faults(self) -> list[str]:
        """Return faults of streams of two builds, and of ones that do not go on."""
        streams = self.callers.streams
        mixed = [stream for stream in streams if len(stream.builds) > 1]
        for stream in mixed:
            print(f"  two builds: {stream.describe()}")
        self.counts = {"streams": len(streams), "mixed": len(mixed)}
        faults = []
        if len(mixed) > (0 if self.plan.has_cuts else MAX_MIXED_STREAMS):
            faults.append(f"ORDER: {len(mixed)} streams of two builds")
        resumed, new = self.judge_final()
        self.counts |= {"resumed": len(resumed), "go on": sum(resumed)}
        self.counts |= {"new": len(new), "begin": sum(new)}
        if len(resumed) >= MIN_RESUMED_STREAMS and new:
            shares = sum(resumed) / len(resumed), sum(new) / len(new)
            if shares[0] < shares[1] / 2:
                faults.append("LOST: {:.2f} go on, {:.2f} begin".format(*shares))
        return faults

    def judge_final(self) -> tuple[list[bool], list[bool]]:
        """Return which resumed streams went on, and which new ones began, in calm."""
        kinds = (self.fleet.kinds[number] for number in self.fleet.serving)
        engines = collections.Counter(b for stage, b in kinds if stage == "decode")
        resumed, new = [], []
        for stream in self.callers.streams:
            tries = stream.tries_between(self.in_touch_at, self.ended_at)
            if tries and tries[0] is stream.tries[0]:
                new.append(bool(stream.begun))
            elif tries and tries[0].after and engines[stream.builds[0]] >= MIN_ENGINES:
                resumed.append(any(one.after and one.events for one in tries))
        return resumed, new


@dataclasses.dataclass
class BuildReport:
    """Result of a series.

    :param faults: descriptions of everything that must not happen.
    :param statuses: number of tries by status, without those cut short by callers; 0
        is that of tries without an answer.
    :param counts: number of streams, those of two builds, those resumed in calm and
        of these how many went on, and the same of new ones.
    """

    faults: list[str]
    statuses: dict[int, int] = dataclasses.field(default_factory=dict)
    counts: dict[str, int] = dataclasses.field(default_factory=dict)


def count_statuses(sent: t.Iterable[BuildTry]) -> dict[int, int]:
    """Return the number of tries by status, without those cut short by callers."""
    return dict(collections.Counter(one.status for one in sent if not one.is_cut_short))


async def run_series(plan: BuildPlan, seed: int) -> BuildReport:
    """Play a plan; the logs are kept if there are faults."""

    async def run(folder: pathlib.Path) -> BuildReport:
        series = BuildSeries(plan, folder, seed)
        report = await series.run()
        statuses = count_statuses(series.callers.sent)
        return BuildReport(report.faults, statuses, series.counts)

    return await run_in_folder(f"builds-{seed}-", run, BuildReport([UNFINISHED]))


def main() -> int:
    """Play the series of a range of seeds and print the result of each."""
    parser = seed_parser(__doc__, first=100, count=50, parallel=2)
    kinds = parser.add_mutually_exclusive_group()
    kinds.add_argument("--calm", action="store_true", help="without any fault")
    kinds.add_argument("--cuts", action="store_true", help="with entries out of step")
    arguments = parser.parse_args()
    draw = draw_calm_plan if arguments.calm else draw_plan
    draw = draw_cut_plan if arguments.cuts else draw

    async def run(seed: int) -> BuildReport:
        return await run_series(draw(seed), seed)

    def describe(report: BuildReport) -> str:
        return f"{report.statuses}, {report.counts}"

    return play_seeds(arguments, run, describe)


if __name__ == "__main__":
    sys.exit(main())
