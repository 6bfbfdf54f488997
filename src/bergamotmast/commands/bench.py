"""The ``bench`` command: policies on traces, or runs under faults, in virtual time."""

from __future__ import annotations

import argparse

from ..bench import cli as bench
from ..faults import cli as faults


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Give the parser the arguments of both kinds of run."""
    bench.add_arguments(parser)
    group = parser.add_argument_group("runs under faults instead")
    group.add_argument(
        "--faults", action="store_true", help="check the promises under seeded faults"
    )
    faults.add_seed_arguments(group)


def run(arguments: argparse.Namespace) -> int:
    """Make the runs of the kind that is asked for."""
    return faults.run(arguments) if arguments.faults else bench.run(arguments)
