"""The ``load`` command: replays a trace against an entry over HTTP."""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import sys

import aiohttp

from ..bench.trace import read_trace
from ..history import MemoryHistory
from ..history import write_history
from ..load import CallResult
from ..load import LoadDriver
from ..load import percentile
from ..load import plan_model_call
from ..served_shares import served_shares


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command's arguments to a parser."""
    parser.add_argument("--url", required=True, help="base URL of an entry")
    parser.add_argument(
        "--trace",
        required=True,
        type=pathlib.Path,
        metavar="FILE",
        help="requests with their times, as JSON lines",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument(
        "--history",
        type=pathlib.Path,
        metavar="FILE",
        help="write requests and responses to a file, as JSON lines",
    )


def run(arguments: argparse.Namespace) -> int:
    """Replay the trace; the exit code is 1 if a response was cut off."""
    results = asyncio.run(_replay(arguments))
    print(_as_text(results) if not arguments.json else json.dumps(_summary(results)))
    return int(any(result.cut_off for result in results))


async def _replay(arguments: argparse.Namespace) -> list[CallResult]:
    trace = read_trace(arguments.trace)
    calls = [
        plan_model_call(request, f"load-{number}")
        for number, request in enumerate(trace, start=1)
    ]
    history = MemoryHistory()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        driver = LoadDriver(session, arguments.url.rstrip("/"), history)
        results = await driver.replay(calls, _show_progress)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    if arguments.history is not None:
        write_history(arguments.history, history.records)
    return results


def _show_progress(sent: int, total: int) -> None:
    if sys.stderr.isatty():
        print(f"\rsent {sent} of {total}", end="", file=sys.stderr, flush=True)


def _summary(results: list[CallResult]) -> dict[str, object]:
    codes = collections.Counter(result.code for result in results)
    first = [r.first_token for r in results if r.first_token is not None]
    between = [r.inter_token for r in results if r.inter_token is not None]
    return {
        "sent": len(results),
        "codes": {str(code): count for code, count in sorted(codes.items())},
        "cut_off": sum(result.cut_off for result in results),
        "served_by_size": _served_by_size(results),
        "whole_by_deadline": sum(result.whole_by_deadline for result in results),
        "first_token_p50": percentile(first, 0.5),
        "first_token_p95": percentile(first, 0.95),
        "between_tokens_p50": percentile(between, 0.5),
        "between_tokens_p95": percentile(between, 0.95),
    }


def _served_by_size(results: list[CallResult]) -> dict[str, dict[str, float]]:
    """Return the served shares of each request class, by prompt size."""
    by_class: dict[str, list[tuple[int, bool]]] = {}
    for result in results:
        prompts = by_class.setdefault(result.request_class, [])
        prompts.append((result.prompt_tokens, result.whole_by_deadline))
    found = {name: served_shares(prompts) for name, prompts in by_class.items()}
    return {
        name: {
            size: round(share, 3) for size, share in dataclasses.asdict(shares).items()
        }
        for name, shares in found.items()
        if shares is not None
    }


def _as_text(results: list[CallResult]) -> str:
    return "\n".join(f"{name}: {value}" for name, value in _summary(results).items())
