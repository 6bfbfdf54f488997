"""Plays an overload of prompts of all sizes on real processes with faults.

    python tests/size_series.py --first 2000 --count 50

Entries are killed and paused and prefill engines are restarted while callers send more
prompts than the engines can prefill, whose sizes differ a hundredfold. Checks the
share of served prompts by size, and that each attempt gets a whole answer, a correct
refusal or, if its entry was killed, a closed connection.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

from bergamotmast.served_shares import MIN_SERVED_RATIO
from bergamotmast.served_shares import ServedShares
from direct_support import Answer
from direct_support import read_answer
from direct_support import request
from prompt_load import ROUTES
from prompt_load import Load
from prompt_load import Prompt
from prompt_load import shares_of
from series_checks import EntryIncarnation
from series_fleet import SeriesFleet
from series_fleet import send_signal
from series_plan import Plan

CALLER_TIMEOUT_SECONDS = {"/report/x": 3.2, "/check/x": 2.0}
"""How long callers wait for an answer, by path."""

REQUEST_DEADLINE_SECONDS = 8.0
DECODE_ENGINES = 2
MAX_PARALLEL_SERIES = 5


@dataclasses.dataclass(frozen=True)
class SizePlan:
    """A series, drawn from a seed; times are in seconds from the first caller.

    :param prefill_engines: number of prefill engines.
    :param kills: time of each kill, and the entry; it is restarted at once.
    :param pauses: time of each pause, the entry, and the duration.
    :param replica_restarts: time of each restart, and the prefill engine; it is back a
        second after its shutdown.
    """

    entries: int
    prefill_engines: int
    load: Load
    kills: tuple[tuple[float, int], ...]
    pauses: tuple[tuple[float, int, float], ...]
    replica_restarts: tuple[tuple[float, int], ...]

    @property
    def engines(self) -> int:
        """Number of engines of both roles."""
        return self.prefill_engines + DECODE_ENGINES


def draw_plan(seed: int, most_entries: int = 4) -> SizePlan:
    """Return the plan of a seed."""
    rng = random.Random(seed)
    entries = rng.randint(2, most_entries)
    prefill_engines = rng.randint(3, 5)

    def times(most: int) -> list[float]:
        return sorted(rng.uniform(2.0, 12.0) for _ in range(rng.randint(0, most)))

    return SizePlan(
        entries,
        prefill_engines,
        Load(
            seconds=14.0,
            reports=3.0 * prefill_engines,
            checks=4.0 * prefill_engines,
            peak=(2.0, 12.0),
            factor=rng.uniform(2.5, 5.0),
            spread=rng.uniform(0.7, 0.9),
        ),
        tuple((at, rng.randrange(entries)) for at in times(1)),
        tuple((at, rng.randrange(entries), rng.uniform(0.1, 0.8)) for at in times(2)),
        tuple((at, rng.randrange(1, prefill_engines)) for at in times(1)),
    )


class SizeFleet(SeriesFleet):
    """Entries and engines that prefill in order of priority."""

    replica_script = "size_replica.py"
    routes = ROUTES

    def registration(self, number: int) -> dict[str, object]:
        """Return a replica's service and stage; the last replicas decode."""
        stage = "decode" if number >= self.plan.engines - DECODE_ENGINES else "prefill"
        return {"service": "llm", "stage": stage}

    def arguments(self, number: int) -> tuple[str, ...]:
        """Return additional arguments of a replica's process."""
        return (str(self.registration(number)["stage"]),)


@dataclasses.dataclass
class PromptAttempt:
    """One attempt of a prompt's caller.

    :param status: HTTP status; 0 without a complete response.
    :param left: whether the caller timed out.
    """

    prompt: Prompt
    incarnation: EntryIncarnation
    status: int = 0
    left: bool = False
    retry_after: float = 0.0
    began_at: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def was_cut(self) -> bool:
        """Whether the entry was killed before the attempt ended."""
        return bool(self.incarnation.killed_at) and not self.status and not self.left

    def fault(self) -> str:
        """Return what is wrong with the result, or an empty string."""
        if self.left or self.was_cut or self.status in (200, 502, 503, 504):
            return ""
        result = "no answer" if not self.status else f"status {self.status}"
        return f"{self.prompt.name} of {self.prompt.size} tokens: {result}"


@dataclasses.dataclass
class SizeReport:
    """Result of a series.

    :param shares: shares of served prompts by size.
    :param faults: descriptions of everything that must not happen.
    """

    shares: ServedShares
    faults: list[str]


class SizeSeries:
    """Plays one series.

    :param seed: seed of the callers' random choices.
    """

    def __init__(self, plan: SizePlan, folder: pathlib.Path, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(f"callers-{seed}")
        processes = Plan(plan.entries, 0, plan.engines, 0, ())
        self.fleet = SizeFleet(processes, folder, self.rng)
        self.attempts: list[PromptAttempt] = []
        self.started_at = 0.0

    async def run(self) -> SizeReport:
        """Play the series and check the callers' results."""
        prompts = self.plan.load.draw(self.rng)
        async with self.fleet:
            # Time for each entry to learn of all engines.
            await asyncio.sleep(1.0)
            self.started_at = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for prompt in prompts:
                    group.create_task(self._call(prompt))
                for at, entry in self.plan.kills:
                    group.create_task(self._kill(at, entry))
                for at, entry, seconds in self.plan.pauses:
                    group.create_task(self._pause(at, entry, seconds))
                for at, number in self.plan.replica_restarts:
                    group.create_task(self._restart_replica(at, number))
        return self._report(prompts)

    def _report(self, prompts: list[Prompt]) -> SizeReport:
        served = {each.prompt.name for each in self.attempts if each.status == 200}
        cut = {each.prompt.name for each in self.attempts if each.was_cut} - served
        reports = [p for p in prompts if p.target == "/report/x" and p.name not in cut]
        shares = shares_of(reports, served)
        faults = [fault for each in self.attempts if (fault := each.fault())]
        if shares.min_served_ratio < MIN_SERVED_RATIO:
            faults.append(f"large prompts are served too seldom: {shares}")
        return SizeReport(shares, faults)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(self.started_at + at - time.monotonic())

    async def _kill(self, at: float, entry: int) -> None:
        await self._until(at)
        if entry in self.fleet.current:
            await self.fleet.restart_entry(entry)

    async def _pause(self, at: float, entry: int, seconds: float) -> None:
        await self._until(at)
        incarnation = self.fleet.current.get(entry)
        if incarnation is not None:
            await send_signal(incarnation, signal.SIGSTOP, 0.0)
            await send_signal(incarnation, signal.SIGCONT, seconds)

    async def _restart_replica(self, at: float, number: int) -> None:
        await self._until(at)
        await self.fleet.restart_replica(number)

    async def _call(self, prompt: Prompt) -> None:
        await self._until(prompt.at)
        for number in range(2):
            attempt = await self._try(prompt, f"{prompt.name}-{number}")
            if attempt is None or attempt.status != 503:
                return
            await asyncio.sleep(attempt.retry_after)

    async def _try(self, prompt: Prompt, request_id: str) -> PromptAttempt | None:
        ready = [
            incarnation
            for incarnation in self.fleet.current.values()
            if incarnation.ready_at
        ]
        if not ready:
            return None
        attempt = PromptAttempt(prompt, self.rng.choice(ready))
        try:
            streams = await asyncio.open_connection(
                "127.0.0.1", self.fleet.entry_ports[attempt.incarnation.entry]
            )
        except ConnectionError:
            return None
        self.attempts.append(attempt)
        try:
            await self._exchange(attempt, request_id, *streams)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except TimeoutError:
            attempt.left = True
        finally:
            streams[1].close()
        return attempt

    async def _exchange(
        self,
        attempt: PromptAttempt,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        prompt = attempt.prompt
        data = request(
            prompt.target,
            request_id=request_id,
            X_Deadline_Ms=str(int(REQUEST_DEADLINE_SECONDS * 1e3)),
            X_Token_Count=f"{prompt.size},30",
            X_Prompt_Prefix=f"{prompt.name}:{prompt.size}",
        )
        writer.write(data)
        async with asyncio.timeout(CALLER_TIMEOUT_SECONDS[prompt.target]):
            answer: Answer = await read_answer(reader)
        if answer.complete:
            attempt.status = answer.status
            attempt.retry_after = float(answer.headers.get("retry-after", "0"))


async def run_plan(plan: SizePlan, seed: int) -> SizeReport:
    """Play a series; the logs are kept if there are faults."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"sizes-{seed}-"))
    report = await SizeSeries(plan, folder, seed).run()
    if report.faults:
        (folder / "faults").write_text("\n".join(report.faults) + "\n")
    else:
        shutil.rmtree(folder)
    return report


async def _run_seeds(seeds: list[int], most_entries: int, at_once: int) -> int:
    """Play series concurrently; return the number of series with faults."""
    slots = asyncio.Semaphore(at_once)

    async def play(seed: int) -> bool:
        async with slots:
            report = await run_plan(draw_plan(seed, most_entries), seed)
        shares = report.shares
        print(
            f"seed {seed}: served {shares.all:.2f}, largest {shares.largest:.2f}, "
            f"large {shares.large:.2f}, faults {len(report.faults)}",
            *report.faults[:10],
            sep="\n  ",
            flush=True,
        )
        return bool(report.faults)

    return sum(await asyncio.gather(*map(play, seeds)))


def main() -> int:
    """Play the series of a range of seeds and print the result of each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=2000)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--most", type=int, default=4, help="entries")
    parser.add_argument("--at-once", type=int, default=MAX_PARALLEL_SERIES)
    arguments = parser.parse_args()
    seeds = list(range(arguments.first, arguments.first + arguments.count))
    with contextlib.suppress(KeyboardInterrupt):
        broken = asyncio.run(_run_seeds(seeds, arguments.most, arguments.at_once))
        print(f"{broken} of {len(seeds)} broke")
        return 1 if broken else 0
    return 1


if __name__ == "__main__":
    sys.exit(main())
