"""The ``config`` command: check, show, compare and edit the configuration."""

from __future__ import annotations

import argparse
import pathlib

from ..config_check import find_warnings
from ..config_file import load_configuration


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Give the parser the actions on the configuration."""
    actions = parser.add_subparsers(title="Actions", metavar="ACTION", required=True)
    parser = actions.add_parser("check", help="check files", description="Check files.")
    parser.add_argument("files", nargs="+", type=pathlib.Path, metavar="FILE")
    parser.set_defaults(action=check)


def run(arguments: argparse.Namespace) -> int:
    """Run one action."""
    code: int = arguments.action(arguments)
    return code


def check(arguments: argparse.Namespace) -> int:
    """Check files and print what each holds."""
    for path in arguments.files:
        configuration = load_configuration(path)
        for warning in find_warnings(configuration):
            print(f"{path}: warning: {warning.show()}")
        print(
            f"{path}: valid, {len(configuration.labels)} upstreams,"
            f" {len(configuration.selectors)} selectors"
        )
    return 0
