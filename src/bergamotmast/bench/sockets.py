"""The cost of the real thing on real sockets, measured within one run.

``python -m bergamotmast.bench.sockets`` starts stand-ins, sides, one entry and a bare
pass-through as processes on loopback, calls an engine stand-in directly, through the
pass-through and through entry and side, and prints what a core of each carries and
what latency each path adds. Every answer is compared with the one expected.
"""

from __future__ import annotations

import argparse
import asyncio
import collections.abc as cabc
import pathlib
import sys

import aiohttp
import msgspec

from .sockets_client import Callers
from .sockets_client import EngineCaller
from .sockets_client import EntryCaller
from .sockets_client import Sample
from .sockets_fleet import SocketsFleet
from .sockets_fleet import sockets_fleet
from .sockets_report import Cost
from .sockets_report import Measured
from .sockets_report import as_text
from .sockets_report import cost_of
from .sockets_report import latency_of
from .sockets_report import report_of

WARM_UP_SECONDS = 1.0
"""Calls before anything counts: connections open, predictions settle."""

ENGINES = 2

TURNS = 3
"""How many times the paths take turns within a stretch of load."""

LATENCY_CALLERS = 8
LATENCY_TOKENS = 25
"""Light load for latency, on all paths at the same time."""

STREAM_CALLERS = 64
STREAM_TOKENS = 150
"""Long answers, for the cost of a token."""

CHECK_CALLERS = 16
CHECK_TOKENS = 1
"""Answers of one token, for the cost of a request."""


async def measure(
    seconds: float, profile_directory: pathlib.Path | None = None
) -> Measured:
    """Start the processes, measure and end them.

    :param seconds: length of each of the five stretches of load, begun calls aside.
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        sockets_fleet(ENGINES, profile_directory) as fleet,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        paths = {
            "engine": Callers(session, EngineCaller(), fleet.urls["engine-1"]),
            "passthrough": Callers(session, EngineCaller(), fleet.urls["passthrough"]),
            "entry": Callers(session, EntryCaller(), fleet.urls["entry"]),
        }
        await _side_by_side(paths, WARM_UP_SECONDS)
        samples = await _side_by_side(paths, seconds)
        through = {path: paths[path] for path in ("passthrough", "entry")}
        return Measured(
            latency={path: latency_of(found) for path, found in samples.items()},
            streams=await _costs(
                fleet, through, STREAM_CALLERS, STREAM_TOKENS, seconds
            ),
            checks=await _costs(fleet, through, CHECK_CALLERS, CHECK_TOKENS, seconds),
        )


async def _side_by_side(
    paths: dict[str, Callers], seconds: float
) -> dict[str, list[Sample]]:
    """Load all paths at the same time, so that a busy machine meets all alike."""
    work = [c.run(LATENCY_CALLERS, LATENCY_TOKENS, seconds) for c in paths.values()]
    return dict(zip(paths, await asyncio.gather(*work), strict=True))


async def _costs(
    fleet: SocketsFleet,
    paths: dict[str, Callers],
    count: int,
    tokens: int,
    seconds: float,
) -> dict[str, Cost]:
    """Load the paths in turns, so that the machine's other work meets all alike."""
    costs: dict[str, Cost] = {}
    for _ in range(TURNS):
        for path, callers in paths.items():
            cost = await _cost(fleet, callers, count, tokens, seconds / TURNS)
            costs[path] = costs[path].plus(cost) if path in costs else cost
    return costs


async def _cost(
    fleet: SocketsFleet, callers: Callers, count: int, tokens: int, seconds: float
) -> Cost:
    loop = asyncio.get_running_loop()
    before = fleet.cpu()
    start = loop.time()
    samples = await callers.run(count, tokens, seconds)
    return cost_of(samples, loop.time() - start, before, fleet.cpu())


def main(arguments: cabc.Sequence[str] | None = None) -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(prog="python -m bergamotmast.bench.sockets")
    parser.add_argument("--seconds", type=float, default=4.0, help="of each stretch")
    parser.add_argument("--json", action="store_true", help="print JSON, not text")
    parser.add_argument(
        "--profile", type=pathlib.Path, metavar="DIR", help="leave profiles there"
    )
    parsed = parser.parse_args(arguments)
    report = report_of(asyncio.run(measure(parsed.seconds, parsed.profile)))
    if parsed.json:
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    else:
        sys.stdout.write(as_text(report))


if __name__ == "__main__":
    main()
