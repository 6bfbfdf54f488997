"""Measure throughput per core and added latency of entry and side on real sockets.

``python -m bergamotmast.bench.sockets`` starts stand-ins, sides, one entry and a
minimal reverse proxy (:mod:`.passthrough`) as processes on loopback. It calls an engine
stand-in directly, through the proxy, and through entry and side, and prints the
throughput per core of each kind of process and the latency that each path adds. Every
answer is compared with the expected one.
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
"""Load before the measurement, for connections and predictions to settle."""

ENGINES = 2

TURNS = 3
"""Rounds in which the paths are loaded in turn, within each cost measurement."""

LATENCY_CALLERS = 8
LATENCY_TOKENS = 25
"""Light load for the latency, on all paths concurrently."""

STREAM_CALLERS = 64
STREAM_TOKENS = 150
"""Long answers, for the cost per token."""

CHECK_CALLERS = 16
CHECK_TOKENS = 1
"""Answers of one token, for the cost per request."""


async def measure(
    seconds: float, profile_directory: pathlib.Path | None = None
) -> Measured:
    """Start the processes, measure and stop them.

    :param seconds: duration of each of the five load phases; calls in flight at its end
        are completed.
    :param profile_directory: where processes write profiles; ``None`` for no profiling.
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
    """Load all paths concurrently, so that other load of the machine affects each."""
    work = [c.run(LATENCY_CALLERS, LATENCY_TOKENS, seconds) for c in paths.values()]
    return dict(zip(paths, await asyncio.gather(*work), strict=True))


async def _costs(
    fleet: SocketsFleet,
    paths: dict[str, Callers],
    count: int,
    tokens: int,
    seconds: float,
) -> dict[str, Cost]:
    """Load the paths in turn, so that the machine's other load affects all alike."""
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
    """Run the measurement and print its report."""
    parser = argparse.ArgumentParser(prog="python -m bergamotmast.bench.sockets")
    parser.add_argument(
        "--seconds", type=float, default=4.0, help="duration of each phase"
    )
    parser.add_argument("--json", action="store_true", help="print JSON, not text")
    parser.add_argument(
        "--profile",
        type=pathlib.Path,
        metavar="DIR",
        help="profile all processes into a directory",
    )
    parsed = parser.parse_args(arguments)
    report = report_of(asyncio.run(measure(parsed.seconds, parsed.profile)))
    if parsed.json:
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    else:
        sys.stdout.write(as_text(report))


if __name__ == "__main__":
    main()
