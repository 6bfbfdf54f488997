"""The ``bench`` command: policies on traces, or runs under faults, in virtual time."""

from __future__ import annotations

import argparse
import importlib.util

from ..errors import BergamotmastError

EXTRA_MODULES = ("looptime", "matplotlib", "numpy")
"""What the package's ``bench`` extra installs."""


class MissingExtraError(BergamotmastError):
    """The command needs what only an extra of the package installs."""

    exit_code = 2


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Give the parser the arguments of both kinds of run."""
    _require_extra()
    from ..bench import cli as bench
    from ..faults import cli as faults

    bench.add_arguments(parser)
    group = parser.add_argument_group("runs under faults instead")
    group.add_argument(
        "--faults", action="store_true", help="check the promises under seeded faults"
    )
    faults.add_seed_arguments(group)


def run(arguments: argparse.Namespace) -> int:
    """Make the runs of the kind that is asked for."""
    from ..bench import cli as bench
    from ..faults import cli as faults

    return faults.run(arguments) if arguments.faults else bench.run(arguments)


def _require_extra() -> None:
    """Say what to install, before an import fails with a traceback."""
    missing = [m for m in EXTRA_MODULES if importlib.util.find_spec(m) is None]
    if missing:
        raise MissingExtraError(
            f"bench needs {', '.join(missing)}; install bergamotmast[bench]."
        )
