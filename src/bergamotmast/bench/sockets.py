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

from .sockets_client import CallerPool
from .sockets_client import CallSample
from .sockets_client import EngineRequestFormat
from .sockets_client import EntryRequestFormat
from .sockets_fleet import SocketsFleet
from .sockets_fleet import sockets_fleet
from .sockets_report import Cost
from .sockets_report import Measurement
from .sockets_report import build_report
from .sockets_report import compute_cost
from .sockets_report import compute_latency
from .sockets_report import format_report

WARM_UP_SECONDS = 1.0
"""Load before the measurement, for connections and predictions to settle."""

ENGINE_COUNT = 2

ROUNDS = 3
"""Rounds in which the paths are loaded in turn, within each cost measurement."""

LATENCY_CALLERS = 8
LATENCY_TOKENS = 25
"""Light load for the latency, on all paths concurrently."""

STREAM_CALLERS = 64
STREAM_TOKENS = 150
"""Long answers, for the cost per token."""

SHORT_ANSWER_CALLERS = 16
SHORT_ANSWER_TOKENS = 1
"""Answers of one token, for the cost per request."""


async def measure(
    seconds: float, profile_directory: pathlib.Path | None = None
) -> Measurement:
    """Start the processes, measure and stop them.

    :param seconds: duration of each of the five load phases; calls in flight at its end
        are completed.
    :param profile_directory: where processes write profiles; ``None`` for no profiling.
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        sockets_fleet(ENGINE_COUNT, profile_directory) as fleet,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        paths = {
            "engine": CallerPool(
                session, EngineRequestFormat(), fleet.urls["engine-1"]
            ),
            "passthrough": CallerPool(
                session, EngineRequestFormat(), fleet.urls["passthrough"]
            ),
            "entry": CallerPool(session, EntryRequestFormat(), fleet.urls["entry"]),
        }
        await _measure_concurrently(paths, WARM_UP_SECONDS)
        samples = await _measure_concurrently(paths, seconds)
        proxied = {path: paths[path] for path in ("passthrough", "entry")}
        return Measurement(
            latency={
                path: compute_latency(call_samples)
                for path, call_samples in samples.items()
            },
            streams=await _costs(
                fleet, proxied, STREAM_CALLERS, STREAM_TOKENS, seconds
            ),
            checks=await _costs(
                fleet, proxied, SHORT_ANSWER_CALLERS, SHORT_ANSWER_TOKENS, seconds
            ),
        )


async def _measure_concurrently(
    paths: dict[str, CallerPool], seconds: float
) -> dict[str, list[CallSample]]:
    """Load all paths concurrently, so that other load of the machine affects each."""
    work = [c.run(LATENCY_CALLERS, LATENCY_TOKENS, seconds) for c in paths.values()]
    return dict(zip(paths, await asyncio.gather(*work), strict=True))


async def _costs(
    fleet: SocketsFleet,
    paths: dict[str, CallerPool],
    count: int,
    tokens: int,
    seconds: float,
) -> dict[str, Cost]:
    """Load the paths in turn, so that the machine's other load affects all alike."""
    costs: dict[str, Cost] = {}
    for _ in range(ROUNDS):
        for path, callers in paths.items():
            cost = await _cost(fleet, callers, count, tokens, seconds / ROUNDS)
            costs[path] = costs[path].plus(cost) if path in costs else cost
    return costs


async def _cost(
    fleet: SocketsFleet, callers: CallerPool, count: int, tokens: int, seconds: float
) -> Cost:
    loop = asyncio.get_running_loop()
    before = fleet.cpu()
    start = loop.time()
    samples = await callers.run(count, tokens, seconds)
    return compute_cost(samples, loop.time() - start, before, fleet.cpu())


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
    report = build_report(asyncio.run(measure(parsed.seconds, parsed.profile)))
    if parsed.json:
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    else:
        sys.stdout.write(format_report(report))


if __name__ == "__main__":
    main()
