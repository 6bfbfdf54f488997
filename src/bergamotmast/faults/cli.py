"""Command line of the fault injection runs, one run for each seed of a range."""

from __future__ import annotations

import argparse
import concurrent.futures
import logging
import multiprocessing

from ..errors import SettingError
from .run import FaultRun
from .run import run_seed

DEFAULT_PROCESSES = 4
"""Default number of runs in parallel."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add all flags of the fault runs to a parser."""
    add_seed_arguments(parser)
    parser.add_argument(
        "--processes", type=int, default=DEFAULT_PROCESSES, help="runs in parallel"
    )


def add_seed_arguments(parser: argparse._ActionsContainer) -> None:
    """Add the flags that select the seeds and the output."""
    parser.add_argument("--seeds", default="1-20", metavar="A-B", help="seeds to run")
    parser.add_argument(
        "--log", action="store_true", help="print the injected faults of failed runs"
    )


def run(args: argparse.Namespace) -> int:
    """Run all seeds, print a line for each, and return the exit code.

    :return: 1 if any run violated a guarantee or raised an error, else 0.
    """
    seeds = parse_seeds(args.seeds)
    context = multiprocessing.get_context("spawn")
    broken = 0
    with concurrent.futures.ProcessPoolExecutor(args.processes, context) as pool:
        for result in pool.map(_run_without_logging, seeds):
            broken += not result.holds
            print(format_run(result, args.log), flush=True)
    print(f"{len(seeds)} runs, {broken} with a broken promise")
    return 1 if broken else 0


def parse_seeds(value: str) -> range:
    """Parse a range of seeds ``A-B``, both ends included, or a single seed.

    :raises SettingError: for a value of another form, or if ``A`` is above ``B``.
    """
    first, _, last = value.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise SettingError("--seeds", value, "one number, or two: A-B") from error
    if not seeds:
        raise SettingError("--seeds", value, "a first seed that is not above the last")
    return seeds


def format_run(result: FaultRun, with_log: bool) -> str:
    """Format the result of a run: one line, then its violations and errors.

    :param with_log: whether to add the injected faults if the run failed.
    """
    s = result.summary
    lines = [
        f"seed {result.seed}: sent {s.sent}, whole {s.answered_whole}, "
        f"refused {sum(s.refused.values()) - s.unknown}, unknown {s.unknown}, "
        f"lost {s.lost}, duplicates {s.duplicates}, cut off {s.cut_off}"
    ]
    lines += [
        f"  BROKEN {v.rule.value} {v.subject}: {v.detail}" for v in result.violations
    ]
    lines += [f"  ERROR {error}" for error in result.errors]
    if with_log and not result.holds:
        lines += [f"  {line}" for line in result.log]
    return "\n".join(lines)


def _run_without_logging(seed: int) -> FaultRun:
    logging.disable(logging.CRITICAL)
    return run_seed(seed)
