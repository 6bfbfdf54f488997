"""The ``config`` command: checks, shows, compares and edits the configuration."""

from __future__ import annotations

import argparse
import asyncio
import collections.abc as cabc
import contextlib
import datetime
import getpass
import pathlib
import secrets
import typing as t

import msgspec

from ..config.checks import find_warnings
from ..config.diff import diff
from ..config.diff import show_diff
from ..config.document import Configuration
from ..config.document import encode_configuration
from ..config.edit import parse_label_changes
from ..config.edit import with_labels
from ..config.file import dump_yaml
from ..config.file import load_configuration
from ..config.store import ConfigRecord
from ..config.store import ConfigStore
from ..errors import ConfigError
from ..errors import EditConflictError
from ..errors import SettingError
from ..settings import KeyValueSettings
from ..settings import add_settings
from ..settings import load_settings
from . import check_routing
from .connect import open_key_value

MAX_LABEL_ATTEMPTS = 5
"""Maximum number of attempts to change labels when other edits conflict."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's actions to a parser."""
    actions = parser.add_subparsers(title="Actions", metavar="ACTION", required=True)
    _add_check(actions)
    _add_check_routing(actions)
    _add_show(actions)
    _add_diff(actions)
    _add_apply(actions)
    _add_label(actions)
    _add_history(actions)


def run(arguments: argparse.Namespace) -> int:
    """Run the chosen action."""
    code: int = asyncio.run(arguments.action(arguments))
    return code


_Actions = t.Any
"""Return type of ``add_subparsers``, which has no public name."""

_Action = cabc.Callable[[argparse.Namespace], cabc.Coroutine[t.Any, t.Any, int]]


def _add_action(
    actions: _Actions, name: str, action: _Action, help_text: str, service: bool = True
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = actions.add_parser(
        name, help=help_text, description=help_text.capitalize() + "."
    )
    parser.set_defaults(action=action)
    if service:
        add_settings(parser, KeyValueSettings)
    return parser


def _add_check(actions: _Actions) -> None:
    parser = _add_action(actions, "check", check, "check files", service=False)
    parser.add_argument("files", nargs="+", type=pathlib.Path, metavar="FILE")


def _add_check_routing(actions: _Actions) -> None:
    parser = _add_action(
        actions,
        "check-routing",
        check_routing.run,
        "check a document of direct entries, and what it would change",
        service=False,
    )
    check_routing.add_arguments(parser)


def _add_show(actions: _Actions) -> None:
    parser = _add_action(actions, "show", show, "print the current configuration")
    _add_json_flag(parser)
    parser.add_argument(
        "--generation", type=int, help="print an earlier generation from the history"
    )


def _add_diff(actions: _Actions) -> None:
    parser = _add_action(
        actions, "diff", show_differences, "compare two configurations"
    )
    parser.add_argument(
        "file", type=pathlib.Path, metavar="FILE", help="the newer file"
    )
    parser.add_argument(
        "older",
        type=pathlib.Path,
        nargs="?",
        metavar="OLDER",
        help="the older file; the current configuration by default",
    )
    _add_json_flag(parser)


def _add_apply(actions: _Actions) -> None:
    parser = _add_action(
        actions, "apply", apply, "make a file the current configuration"
    )
    parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    parser.add_argument(
        "--against",
        type=int,
        metavar="GENERATION",
        help="generation that the edit is based on; the file's own by default",
    )
    parser.add_argument(
        "--latest",
        action="store_true",
        help="replace the current configuration, whoever wrote it",
    )
    parser.add_argument(
        "--dry-run", action="store_true", help="print the changes without applying them"
    )
    _add_author_flag(parser)


def _add_label(actions: _Actions) -> None:
    parser = _add_action(actions, "label", label, "change the labels of one upstream")
    parser.add_argument("upstream", metavar="UPSTREAM")
    parser.add_argument(
        "labels",
        nargs="+",
        metavar="LABEL",
        help="label=value sets a label, label- removes it",
    )
    _add_author_flag(parser)


def _add_history(actions: _Actions) -> None:
    parser = _add_action(actions, "history", history, "list the newest edits")
    parser.add_argument(
        "--limit", type=int, default=20, help="maximum number of edits [20]"
    )
    _add_json_flag(parser)


def _add_json_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_author_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--author", default=None, help="author in the history [name of the user]"
    )


async def check(arguments: argparse.Namespace) -> int:
    """Check files and print a summary of each."""
    for path in arguments.files:
        configuration = load_configuration(path)
        _print_warnings(configuration)
        print(
            f"{path}: valid, {len(configuration.labels)} upstreams,"
            f" {len(configuration.selectors)} selectors"
        )
    return 0


async def show(arguments: argparse.Namespace) -> int:
    """Print the current configuration or an earlier generation."""
    async with _open_store(arguments) as store:
        if arguments.generation is None:
            configuration = (await store.read()).configuration
        else:
            configuration = await _read_generation(store, arguments.generation)
    if arguments.json:
        print(encode_configuration(configuration).decode())
    else:
        print(dump_yaml(configuration), end="")
    return 0


async def show_differences(arguments: argparse.Namespace) -> int:
    """Print the differences between a file and another file or the service."""
    after = load_configuration(arguments.file)
    if arguments.older is not None:
        before = load_configuration(arguments.older)
    else:
        async with _open_store(arguments) as store:
            before = (await store.read()).configuration
    _print_diff(before, after, arguments.json)
    return 0


async def apply(arguments: argparse.Namespace) -> int:
    """Make a file the current configuration."""
    proposed = load_configuration(arguments.file)
    async with _open_store(arguments) as store:
        current = (await store.read()).configuration
        against = _base_generation(arguments, proposed, current)
        _print_diff(current, proposed, False)
        if arguments.dry_run:
            return 0
        accepted = await _propose(store, proposed, against, arguments)
    _print_accepted(accepted)
    return 0


async def label(arguments: argparse.Namespace) -> int:
    """Change the labels of an upstream in the current configuration."""
    changes = parse_label_changes(arguments.labels)
    async with _open_store(arguments) as store:
        for attempt in range(1, MAX_LABEL_ATTEMPTS + 1):
            current = (await store.read()).configuration
            proposed = with_labels(current, arguments.upstream, changes)
            try:
                accepted = await _propose(
                    store, proposed, current.generation, arguments
                )
                break
            except EditConflictError:
                if attempt == MAX_LABEL_ATTEMPTS:
                    raise
    _print_diff(current, accepted, False)
    _print_accepted(accepted)
    return 0


async def history(arguments: argparse.Namespace) -> int:
    """Print the latest edits, newest first."""
    async with _open_store(arguments) as store:
        records = await store.history(arguments.limit)
    for record in records:
        print(_record_json(record) if arguments.json else _record_text(record))
    return 0


@contextlib.asynccontextmanager
async def _open_store(arguments: argparse.Namespace) -> cabc.AsyncIterator[ConfigStore]:
    settings = load_settings(KeyValueSettings, arguments)
    async with open_key_value(settings) as kv:
        yield ConfigStore(kv)


async def _propose(
    store: ConfigStore,
    proposed: Configuration,
    against: int,
    arguments: argparse.Namespace,
) -> Configuration:
    author = arguments.author or _current_user()
    return await store.propose(proposed, against, author, secrets.token_hex(16))


async def _read_generation(store: ConfigStore, generation: int) -> Configuration:
    record = await store.read_record(generation)
    if record is None:
        raise ConfigError(f"generation {generation} is not in the history")
    return record.configuration


def _base_generation(
    arguments: argparse.Namespace, proposed: Configuration, current: Configuration
) -> int:
    if arguments.latest:
        return current.generation
    if arguments.against is not None:
        return t.cast(int, arguments.against)
    if proposed.generation or not current.generation:
        return proposed.generation
    raise SettingError(
        "--against",
        "",
        "the generation that the edit is based on, a file that names it, or --latest",
    )


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _print_diff(before: Configuration, after: Configuration, as_json: bool) -> None:
    changes = diff(before, after)
    if as_json:
        print(msgspec.json.encode(changes).decode())
    elif changes:
        print(show_diff(changes))
    else:
        print("no differences")


def _print_warnings(configuration: Configuration) -> None:
    for warning in find_warnings(configuration):
        print(f"warning: {warning.show()}")


def _print_accepted(accepted: Configuration) -> None:
    _print_warnings(accepted)
    print(f"generation {accepted.generation} accepted")


def _record_text(record: ConfigRecord) -> str:
    when = datetime.datetime.fromtimestamp(record.accepted_at, datetime.UTC)
    head = f"{record.generation}  {when:%Y-%m-%d %H:%M:%S}Z  {record.author}"
    return "\n".join((head, *(f"    {change}" for change in record.changes)))


def _record_json(record: ConfigRecord) -> str:
    return msgspec.json.encode(record).decode()
