"""Runs under faults from the command line, for a range of seeds."""

from __future__ import annotations

import argparse
import concurrent.futures
import logging
import multiprocessing

from ..errors import SettingError
from .run import FaultRun
from .run import run_seed

DEFAULT_PROCESSES = 4
"""Runs made at the same time."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add all flags of the command to a parser."""
    add_seed_arguments(parser)
    parser.add_argument(
        "--processes", type=int, default=DEFAULT_PROCESSES, help="runs at the same time"
    )


def add_seed_arguments(parser: argparse._ActionsContainer) -> None:
    """Add the flags that say which runs are made and what is shown."""
    parser.add_argument("--seeds", default="1-20", metavar="A-B", help="seeds to run")
    parser.add_argument(
        "--log", action="store_true", help="show the faults of each broken run"
    )


def run(args: argparse.Namespace) -> int:
    """Make the runs, print a line for each; 1 if a promise was broken."""
    seeds = parse_seeds(args.seeds)
    context = multiprocessing.get_context("spawn")
    broken = 0
    with concurrent.futures.ProcessPoolExecutor(args.processes, context) as pool:
        for result in pool.map(_run_without_logging, seeds):
            broken += not result.holds
            print(as_text(result, args.log), flush=True)
    print(f"{len(seeds)} runs, {broken} with a broken promise")
    return 1 if broken else 0


def parse_seeds(value: str) -> range:
    """Return the seeds of ``A-B`` or of one number.

    :raises SettingError: for anything else.
    """
    first, _, last = value.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise SettingError("--seeds", value, "two numbers, A-B") from error
    if not seeds:
        raise SettingError("--seeds", value, "a first seed below the last")
    return seeds


def as_text(result: FaultRun, with_log: bool) -> str:
    """Return a run as a line, followed by what it broke."""
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
