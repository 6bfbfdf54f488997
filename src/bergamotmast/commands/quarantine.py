"""The ``quarantine`` command: requests and parts of prompts that crashed upstreams."""

from __future__ import annotations

import argparse
import asyncio
import collections.abc as cabc

import msgspec

from ..crashes.part_records import SuspectedPart
from ..crashes.part_records import acquit_part
from ..crashes.part_records import read_suspected_parts
from ..crashes.records import LostRequest
from ..crashes.records import delete_crashes
from ..crashes.records import read_lost_requests
from ..direct_daemon import open_store
from ..errors import BergamotmastError
from ..policy.crash_ledger import Verdict
from ..settings import QuarantineSettings
from ..settings import add_settings
from ..settings import load_settings

COLUMNS = ("REQUEST", "VERDICT", "CRASHES", "UPSTREAMS")
PART_COLUMNS = ("PART", *COLUMNS[1:])


class NotInQuarantineError(BergamotmastError):
    """No crash of the request or the part is known."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's actions to a parser."""
    actions = parser.add_subparsers(title="Actions", metavar="ACTION", required=True)
    listing = actions.add_parser("list", help="list what was lost in crashes")
    listing.add_argument("--json", action="store_true", help="print one JSON list")
    listing.set_defaults(action=show)
    lifting = actions.add_parser("lift", help="let a request or a part run again")
    lifting.add_argument("request", metavar="REQUEST", help="as the list shows it")
    for action in (listing, lifting):
        action.add_argument(
            "--parts", action="store_true", help="parts of prompts, not requests"
        )
    lifting.set_defaults(action=lift)
    for action in (listing, lifting):
        add_settings(action, QuarantineSettings)


def run(arguments: argparse.Namespace) -> int:
    """Run the chosen action."""
    code: int = asyncio.run(arguments.action(arguments))
    return code


async def show(arguments: argparse.Namespace) -> int:
    """Print all requests, or parts of prompts, that were lost in crashes."""
    settings = load_settings(QuarantineSettings, arguments)
    async with open_store(settings.store_address) as store:
        if arguments.parts:
            parts = await read_suspected_parts(store)
            return _print(parts, [PART_COLUMNS, *map(_part_row, parts)], arguments.json)
        lost = await read_lost_requests(store)
    return _print(lost, [COLUMNS, *map(_row, lost)], arguments.json)


def _print(
    found: cabc.Sequence[object],
    rows: cabc.Sequence[tuple[str, ...]],
    as_json: bool,
) -> int:
    if as_json:
        print(msgspec.json.encode(found).decode())
        return 0
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())
    return 0


async def lift(arguments: argparse.Namespace) -> int:
    """Forget the crashes of a request or a part, so that it runs again."""
    settings = load_settings(QuarantineSettings, arguments)
    async with open_store(settings.store_address) as store:
        forget = acquit_part if arguments.parts else delete_crashes
        count = await forget(store, arguments.request)
    if not count:
        raise NotInQuarantineError(f"no crash of {arguments.request} is known")
    print(f"{count} crashes of {arguments.request} are forgotten")
    return 0


def _row(lost: LostRequest) -> tuple[str, ...]:
    names = ("?" if crash is None else crash.upstream for crash in lost.crashes)
    return _cells(lost.fingerprint, lost.verdict, list(names))


def _part_row(suspect: SuspectedPart) -> tuple[str, ...]:
    return _cells(suspect.part, suspect.verdict, suspect.upstreams)


def _cells(
    name: str, verdict: Verdict, upstreams: cabc.Sequence[str]
) -> tuple[str, ...]:
    return name, verdict.value, str(len(upstreams)), ", ".join(upstreams)
