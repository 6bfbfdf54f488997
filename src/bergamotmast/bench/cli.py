"""The ``bench`` command."""

from __future__ import annotations

import argparse
import difflib
import pathlib
import sys

import msgspec

from ..errors import SettingError
from ..policy.presets import PRESETS
from .report import write_report
from .runner import Job
from .runner import run_jobs
from .scenarios import scenario_names
from .summary import format_table
from .summary import summarise

DEFAULT_PROCESSES = 4
"""Runs in parallel."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's flags to a parser."""
    load = parser.add_argument_group("workload")
    load.add_argument("--trace", metavar="FILE", help="trace to replay, JSON lines")
    load.add_argument(
        "--scenario", metavar="NAME[,NAME...]", help="shipped scenarios, or 'all'"
    )
    load.add_argument("--fleet", metavar="FILE", help="fleet, YAML or JSON")
    load.add_argument("--list", action="store_true", help="list scenarios and policies")
    how = parser.add_argument_group("runs")
    how.add_argument("--policy", default="default", metavar="NAME[,NAME...]")
    how.add_argument("--seed", default="1", metavar="N[,N...]")
    how.add_argument(
        "--processes",
        type=int,
        default=DEFAULT_PROCESSES,
        help="number of parallel runs",
    )
    out = parser.add_argument_group("output")
    out.add_argument("--json", action="store_true", help="print all results as JSON")
    out.add_argument(
        "--report", metavar="DIR", help="write an HTML page with plots to a directory"
    )


def run(args: argparse.Namespace) -> int:
    """Execute the runs that the flags select and print their results."""
    if args.list:
        print("\n".join([*scenario_names(), "", *PRESETS]))
        return 0
    results = run_jobs(jobs(args), args.processes)
    if args.json:
        sys.stdout.buffer.write(msgspec.json.encode(results, order="sorted") + b"\n")
    else:
        print(format_table(summarise(results)))
    if args.report:
        write_report(pathlib.Path(args.report), results)
    return 0


def jobs(args: argparse.Namespace) -> list[Job]:
    """Return the runs that the flags select.

    :raises SettingError: naming the flag that is invalid.
    """
    fleet = pathlib.Path(args.fleet) if args.fleet else None
    policies = _known("--policy", args.policy, tuple(PRESETS))
    seeds = _seeds(args.seed)
    if bool(args.trace) == bool(args.scenario):
        raise SettingError("--trace", str(args.trace), "either a trace or a scenario")
    if args.trace:
        trace = pathlib.Path(args.trace)
        return [
            Job(policy, seed, trace.name, trace, fleet)
            for policy in policies
            for seed in seeds
        ]
    names = scenario_names()
    if args.scenario != "all":
        names = _known("--scenario", args.scenario, names)
    return [
        Job(policy, seed, name, None, fleet)
        for name in names
        for policy in policies
        for seed in seeds
    ]


def _known(flag: str, value: str, names: tuple[str, ...]) -> tuple[str, ...]:
    chosen = tuple(part.strip() for part in value.split(",") if part.strip())
    for name in chosen:
        if name not in names:
            near = difflib.get_close_matches(name, names, 3) or names[:3]
            raise SettingError(flag, name, f"for instance {', '.join(near)}")
    return chosen


def _seeds(value: str) -> tuple[int, ...]:
    try:
        return tuple(int(part) for part in value.split(",") if part.strip())
    except ValueError as error:
        raise SettingError("--seed", value, "integers separated by commas") from error
