"""Executes simulations of several policies and seeds in parallel processes."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import concurrent.futures
import dataclasses
import multiprocessing
import pathlib

import looptime

from ..policy.presets import preset
from .fleet import Fleet
from .fleet import deployment
from .fleet import read_fleet
from .metrics import RunResult
from .run import run
from .scenarios import Scenario
from .scenarios import build_scenario
from .trace import read_trace


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One simulation to execute.

    :param trace: trace file; ``None`` for a shipped scenario.
    :param fleet: fleet file; ``None`` for the scenario's own.
    """

    policy: str
    seed: int
    scenario: str
    trace: pathlib.Path | None = None
    fleet: pathlib.Path | None = None


def run_job(job: Job) -> RunResult:
    """Execute one simulation.

    The loop runs without the idle cycles that looptime inserts before each jump of its
    time. They only serve file and socket I/O, which a simulation has none of, and took
    two thirds of its processor time.
    """
    scenario = load_scenario(job)
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(run(scenario, preset(job.policy), job.seed))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def run_jobs(jobs: cabc.Sequence[Job], processes: int) -> list[RunResult]:
    """Execute simulations and return their results in the order of the jobs.

    :param processes: number of worker processes; 1 runs all in this process.
    """
    if processes <= 1 or len(jobs) <= 1:
        return [run_job(job) for job in jobs]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, context) as pool:
        return list(pool.map(run_job, jobs))


def load_scenario(job: Job) -> Scenario:
    """Return the scenario of a job, generated or read from its files."""
    fleet = read_fleet(job.fleet) if job.fleet else None
    if job.trace is None:
        return build_scenario(job.scenario, job.seed, fleet)
    requests = read_trace(job.trace)
    seconds = max((r.at for r in requests), default=1.0)
    return Scenario(
        job.scenario, fleet or _default_fleet(), requests, seconds=max(1.0, seconds)
    )


def _default_fleet() -> Fleet:
    return deployment("trindade")
