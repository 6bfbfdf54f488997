"""The ``quarantine`` command: lists and lifts requests that have crashed upstreams."""

from __future__ import annotations

import argparse
import asyncio

import msgspec

from ..crashes.records import LostRequest
from ..crashes.records import delete_crashes
from ..crashes.records import read_lost_requests
from ..direct_daemon import open_store
from ..errors import BergamotmastError
from ..settings import QuarantineSettings
from ..settings import add_settings
from ..settings import load_settings

COLUMNS = ("REQUEST", "VERDICT", "CRASHES", "UPSTREAMS")


class NotInQuarantineError(BergamotmastError):
    """No crash of the request is known."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's actions to a parser."""
    actions = parser.add_subparsers(title="Actions", metavar="ACTION", required=True)
    listing = actions.add_parser("list", help="list what was lost in crashes")
    listing.add_argument("--json", action="store_true", help="print one JSON list")
    listing.set_defaults(action=show)
    lifting = actions.add_parser("lift", help="let a request run again")
    lifting.add_argument("request", metavar="REQUEST", help="as the list shows it")
    lifting.set_defaults(action=lift)
    for action in (listing, lifting):
        add_settings(action, QuarantineSettings)


def run(arguments: argparse.Namespace) -> int:
    """Run the chosen action."""
    code: int = asyncio.run(arguments.action(arguments))
    return code


async def show(arguments: argparse.Namespace) -> int:
    """Print all requests that were lost in crashes."""
    settings = load_settings(QuarantineSettings, arguments)
    async with open_store(settings.store_address) as store:
        lost = await read_lost_requests(store)
    if arguments.json:
        print(msgspec.json.encode(lost).decode())
        return 0
    rows = [COLUMNS, *map(_row, lost)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())
    return 0


async def lift(arguments: argparse.Namespace) -> int:
    """Forget the crashes of a request, so that it runs again."""
    settings = load_settings(QuarantineSettings, arguments)
    async with open_store(settings.store_address) as store:
        count = await delete_crashes(store, arguments.request)
    if not count:
        raise NotInQuarantineError(f"no crash of {arguments.request} is known")
    print(f"{count} crashes of {arguments.request} are forgotten")
    return 0


def _row(lost: LostRequest) -> tuple[str, str, str, str]:
    names = ("?" if crash is None else crash.upstream for crash in lost.crashes)
    return (
        lost.fingerprint,
        lost.verdict.value,
        str(len(lost.crashes)),
        ", ".join(names),
    )
