"""The ``demo`` command: runs the whole system in one process under load."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib

from ..demo import as_json
from ..demo import as_text
from ..demo import run_demo


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments to a parser."""
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument(
        "--seed",
        type=int,
        default=1,
        metavar="N",
        help="seed of the generated traffic [1]",
    )
    parser.add_argument(
        "--history",
        type=pathlib.Path,
        metavar="FILE",
        help="write the history of the run to a file, as JSON lines",
    )


def run(arguments: argparse.Namespace) -> int:
    """Run the demonstration; the exit code is 1 if a promise was violated."""
    result = asyncio.run(run_demo(arguments.seed, arguments.history))
    print(json.dumps(as_json(result)) if arguments.json else as_text(result))
    return 0 if result.passed else 1
