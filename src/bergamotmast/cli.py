"""Command line interface of ``bergamotmast``.

Each subcommand is a module of :mod:`bergamotmast.commands` with two functions:
``add_arguments(parser)`` and ``run(arguments)``, which returns the exit code. Only the
module of the chosen subcommand is imported.
"""

from __future__ import annotations

import argparse
import collections.abc as cabc
import dataclasses
import importlib
import os
import sys
import typing as t

from . import __version__
from .errors import BergamotmastError

EXIT_INTERRUPTED = 130
"""128 plus the number of SIGINT, as is usual in shells."""


class CommandModule(t.Protocol):
    """Interface of the module of a subcommand."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments to its parser."""
        ...

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the subcommand and return the exit code."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Subcommand; its module has the same name.

    :param name: name on the command line.
    :param help: description in the list of subcommands.
    """

    name: str
    help: str

    def load(self) -> CommandModule:
        """Import the subcommand's module."""
        module = importlib.import_module(f".commands.{self.name}", __package__)
        return t.cast(CommandModule, module)


COMMANDS = (
    Command("entry", "run an entry that sends callers' requests to sides"),
    Command("direct", "run an entry that connects to upstreams without sides"),
    Command("side", "run the side process of one upstream"),
    Command("config", "check, show, compare, edit the configuration"),
    Command("quarantine", "list and lift requests that have crashed upstreams"),
    Command("status", "show the fleet as an entry sees it"),
    Command("explain", "show what happened to a request, from logs"),
    Command("load", "replay a trace against an entry"),
    Command("bench", "compare policies on a trace or scenario, in virtual time"),
    Command("standin", "run a stand-in for an external system as a daemon"),
    Command("demo", "run the whole system in one process under load"),
)


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Run a command line and return the exit code.

    :param argv: command line without the program name; ``sys.argv`` by default.
    """
    given = list(sys.argv[1:] if argv is None else argv)
    try:
        arguments = build_parser(given).parse_args(given)
        code: int = arguments.run(arguments)
        sys.stdout.flush()
    except BergamotmastError as error:
        print(error.show(), file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of the output, for instance ``head``, has exited. Python would
        # raise the error again when it flushes the stream at exit, so the stream is
        # redirected to the null device.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return BergamotmastError.exit_code
    return code


def build_parser(argv: cabc.Sequence[str]) -> argparse.ArgumentParser:
    """Return the parser for a command line, with the arguments of its subcommand.

    :param argv: command line; the first word that isn't a flag names the subcommand.
    """
    parser = argparse.ArgumentParser(prog="bergamotmast", description=_description())
    parser.add_argument(
        "--version", action="version", version=f"bergamotmast {__version__}"
    )
    chosen = next((word for word in argv if not word.startswith("-")), None)
    commands = parser.add_subparsers(title="Commands", metavar="COMMAND", required=True)
    for command in COMMANDS:
        subparser = commands.add_parser(
            command.name, help=command.help, description=command.help.capitalize() + "."
        )
        if command.name == chosen:
            module = command.load()
            module.add_arguments(subparser)
            subparser.set_defaults(run=module.run)
    return parser


def _description() -> str:
    return "Serve models and plain services on a fixed fleet whose mix keeps shifting."
