"""Many runs: policies by seeds, in virtual time, on several processes."""

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
from .scenarios import build
from .trace import read_trace


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One run to make.

    :param trace: trace file; ``None`` for a shipped scenario.
    :param fleet: fleet file; ``None`` for the scenario's own.
    """

    policy: str
    seed: int
    scenario: str
    trace: pathlib.Path | None = None
    fleet: pathlib.Path | None = None


def run_job(job: Job) -> RunResult:
    """Make one run.

    The loop skips the idle turns that looptime makes before each step of time: they
    are for files and sockets, of which there are none here, and took two thirds of a
    run.
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
    """Make many runs and return their results in the order of the jobs."""
    if processes <= 1 or len(jobs) <= 1:
        return [run_job(job) for job in jobs]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, context) as pool:
        return list(pool.map(run_job, jobs))


def load_scenario(job: Job) -> Scenario:
    """Return the scenario of a job, drawn or read from files."""
    fleet = read_fleet(job.fleet) if job.fleet else None
    if job.trace is None:
        return build(job.scenario, job.seed, fleet)
    requests = read_trace(job.trace)
    seconds = max((r.at for r in requests), default=1.0)
    return Scenario(
        job.scenario, fleet or _default_fleet(), requests, seconds=max(1.0, seconds)
    )


def _default_fleet() -> Fleet:
    return deployment("trindade")
