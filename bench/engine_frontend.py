"""Benchmark of the engine stand-in's HTTP frontend, in tokens per core second.

Starts the stand-in as a process, keeps a number of streams open to it, stops it and
divides the tokens received by the processor time that the process used.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import signal
import sys
import time

from bergamotmast.adapters.engine_http import HttpEngine
from bergamotmast.adapters.http_calls import client_session
from bergamotmast.model import GenerateRequest
from bergamotmast.model import Priority
from bergamotmast.model import Role
from bergamotmast.standins.engine_spec import EngineSpec
from bergamotmast.standins.engine_spec import RoleRates
from bergamotmast.standins.run import StandInKind
from bergamotmast.standins.run import StandInOptions
from bergamotmast.standins.run import run_standin

STEP_SECONDS = 0.02
PROMPT_TOKENS = 100


def main() -> None:
    """Run the benchmark, or the stand-in with ``--serve``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=64)
    parser.add_argument("--output-tokens", type=int, default=200)
    parser.add_argument("--tokens-per-chunk", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--serve", action="store_true", help="run the stand-in only")
    arguments = parser.parse_args()
    run = serve if arguments.serve else measure
    asyncio.run(run(arguments))


async def serve(arguments: argparse.Namespace) -> None:
    """Run the stand-in until SIGTERM."""
    rates = RoleRates(1e7, 1.0, STEP_SECONDS, 0.0, 1.0, arguments.streams)
    spec = EngineSpec(
        roles={role: rates for role in Role},
        kv_capacity=10**9,
        tokens_per_chunk=arguments.tokens_per_chunk,
    )
    running = asyncio.create_task(
        run_standin(
            StandInKind.ENGINE,
            "127.0.0.1",
            0,
            StandInOptions(spec=spec),
            on_ready=lambda url: print(url, flush=True),
        )
    )
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    await asyncio.wait([running])


async def measure(arguments: argparse.Namespace) -> None:
    """Load the stand-in and print its cost as one JSON object."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, *sys.argv, "--serve", stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    url = (await process.stdout.readline()).decode().strip()
    before = _cpu_seconds(process.pid)
    started = time.monotonic()
    counts = await _drive(url, arguments)
    elapsed = time.monotonic() - started
    cpu_seconds = _cpu_seconds(process.pid) - before
    process.terminate()
    await process.wait()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    result = {
        "streams": arguments.streams,
        "tokens_per_chunk": arguments.tokens_per_chunk,
        "tokens": counts["tokens"],
        "requests": counts["requests"],
        "elapsed_seconds": round(elapsed, 2),
        "standin_core_seconds": round(cpu_seconds, 2),
        "tokens_per_core_second": round(counts["tokens"] / cpu_seconds),
        "client_core_seconds": round(usage.ru_utime + usage.ru_stime, 2),
    }
    print(json.dumps(result))


async def _drive(url: str, arguments: argparse.Namespace) -> dict[str, int]:
    counts = {"tokens": 0, "requests": 0}
    loop = asyncio.get_running_loop()
    end = loop.time() + arguments.seconds
    prompt = f"[out={arguments.output_tokens}]"
    async with client_session() as session:
        engine = HttpEngine(session, url)

        async def run_worker(worker: int) -> None:
            while loop.time() < end:
                counts["requests"] += 1
                request = GenerateRequest(
                    f"{worker}-{counts['requests']}",
                    "model",
                    prompt,
                    PROMPT_TOKENS,
                    arguments.output_tokens,
                    Priority.STANDARD,
                )
                async for chunk in engine.generate(request):
                    counts["tokens"] += chunk.tokens

        async with asyncio.TaskGroup() as group:
            for worker in range(arguments.streams):
                group.create_task(run_worker(worker))
    return counts


def _cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
