"""The ``explain`` command: shows what happened to a request."""

from __future__ import annotations

import argparse
import collections.abc as cabc
import pathlib
import sys

from ..errors import SettingError
from ..explain import LogLine
from ..explain import explain
from ..explain import read_line

EXIT_NOT_FOUND = 1

STANDARD_INPUT = "-"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments to a parser."""
    parser.add_argument("request_id", metavar="ID", help="id of the request")
    parser.add_argument(
        "--logs",
        nargs="+",
        default=[STANDARD_INPUT],
        metavar="FILE",
        help="logs of the processes that may have handled it; - for standard input",
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the timeline of a request."""
    lines = [line for name in arguments.logs for line in _read(name)]
    timeline = explain(arguments.request_id, lines)
    if not timeline:
        print(f"No line of {arguments.request_id} is in these logs.", file=sys.stderr)
        return EXIT_NOT_FOUND
    print(timeline, end="")
    return 0


def _read(name: str) -> cabc.Iterator[LogLine]:
    if name == STANDARD_INPUT:
        texts: cabc.Iterable[str] = sys.stdin
    else:
        try:
            text = pathlib.Path(name).read_text(errors="replace")
        except OSError as error:
            raise SettingError("--logs", name, f"a file to read: {error}") from error
        texts = text.splitlines()
    for text in texts:
        line = read_line(text)
        if line is not None:
            yield line
