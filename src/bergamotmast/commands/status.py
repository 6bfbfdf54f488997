"""The ``status`` command: shows the fleet as entries see it."""

from __future__ import annotations

import argparse
import asyncio
import time

import aiohttp
import msgspec

from ..decoding import DecodingError
from ..decoding import decode_json
from ..entry.fleet_status import FleetStatus
from ..entry.fleet_status import UpstreamStatus
from ..errors import BergamotmastError
from ..errors import SettingError

REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=10.0)

CLEAR_SCREEN = "\x1b[2J\x1b[H"

COLUMNS = (
    "UPSTREAM",
    "ZONE",
    "STATE",
    "ROLE",
    "RUNNING",
    "QUEUED",
    "KV FREE",
    "PLAN",
    "GENERATION",
    "CARRIES",
    "LABELS",
)


class StatusError(BergamotmastError):
    """The status of an entry could not be read."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments to a parser."""
    parser.add_argument(
        "--url",
        required=True,
        action="append",
        help="base URL of an entry; may be repeated",
    )
    parser.add_argument(
        "--admin-key", required=True, metavar="KEY", help="key with the read scope"
    )
    parser.add_argument("--json", action="store_true", help="print one JSON list")
    parser.add_argument(
        "--watch",
        type=float,
        metavar="SECONDS",
        help="refresh the output at this interval until interrupted",
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the fleet as each entry sees it, once or until interrupted."""
    if arguments.watch is not None and arguments.watch <= 0:
        raise SettingError("--watch", str(arguments.watch), "seconds above 0")
    while True:
        found = asyncio.run(_read_all(arguments.url, arguments.admin_key))
        if arguments.json:
            text = msgspec.json.encode(found).decode()
        else:
            text = "\n\n".join(table(status) for status in found)
        if arguments.watch is None:
            print(text)
            return 0
        print(CLEAR_SCREEN + text, flush=True)
        time.sleep(arguments.watch)


async def _read_all(urls: list[str], key: str) -> list[FleetStatus]:
    return await asyncio.gather(*(_read(url, key) for url in urls))


async def _read(url: str, key: str) -> FleetStatus:
    headers = {"Authorization": f"Bearer {key}"}
    address = url.rstrip("/") + "/admin/v1/fleet"
    try:
        async with (
            aiohttp.ClientSession(timeout=REQUEST_TIMEOUT) as session,
            session.get(address, headers=headers) as response,
        ):
            body = await response.read()
            if response.status != 200:
                raise StatusError(f"{address} answered {response.status}: {body!r}")
            return decode_json(body, FleetStatus)
    except (aiohttp.ClientError, TimeoutError, DecodingError) as error:
        raise StatusError(f"{address}: {error}") from error


def table(status: FleetStatus) -> str:
    """Return the fleet as a text table with a heading."""
    rows = [COLUMNS, *(_row(upstream) for upstream in status.upstreams)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ["  ".join(map(str.ljust, row, widths)).rstrip() for row in rows]
    head = f"entry {status.entry}, configuration generation {status.generation}"
    return "\n".join([head, *lines])


def _row(upstream: UpstreamStatus) -> tuple[str, ...]:
    state = upstream.readiness if upstream.connected else "not connected"
    if upstream.leaving:
        state = "leaving"
    return (
        upstream.name,
        upstream.zone,
        state,
        upstream.role or "-",
        f"{upstream.running}/{upstream.max_streams}",
        str(upstream.queued),
        f"{upstream.kv_free:.0%}",
        upstream.plan or "-",
        str(upstream.generation),
        ",".join(upstream.models) or "-",
        ",".join(f"{k}={v}" for k, v in sorted(upstream.labels.items())) or "-",
    )
