"""The ``bench`` command: compares policies, or injects faults, in virtual time."""

from __future__ import annotations

import argparse
import importlib.util

from ..errors import BergamotmastError

EXTRA_MODULES = ("looptime", "matplotlib", "numpy")
"""Modules that the package's ``bench`` extra installs."""


class MissingExtraError(BergamotmastError):
    """The command needs modules of an extra that isn't installed."""

    exit_code = 2


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of benchmarks and of runs with faults to a parser."""
    _require_extra()
    from ..bench import cli as bench
    from ..faults import cli as faults

    bench.add_arguments(parser)
    group = parser.add_argument_group("runs with injected faults instead")
    group.add_argument(
        "--faults",
        action="store_true",
        help="check the system's promises under seeded faults",
    )
    faults.add_seed_arguments(group)


def run(arguments: argparse.Namespace) -> int:
    """Run the benchmarks, or the runs with faults."""
    from ..bench import cli as bench
    from ..faults import cli as faults

    return faults.run(arguments) if arguments.faults else bench.run(arguments)


def _require_extra() -> None:
    """Raise an error that names the missing modules, instead of an import error."""
    missing = [m for m in EXTRA_MODULES if importlib.util.find_spec(m) is None]
    if missing:
        raise MissingExtraError(
            f"bench needs {', '.join(missing)}; install bergamotmast[bench]."
        )
