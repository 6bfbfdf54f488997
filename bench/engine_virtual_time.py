"""Benchmark of engine stand-ins in virtual time, in requests per core second.

``noop_cycles`` is the number of idle cycles that the event loop runs before each jump
of its time; see docs/design/standins.md.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time

import looptime

from bergamotmast.model import GenerateRequest
from bergamotmast.model import Priority
from bergamotmast.standins.engine import EngineStandIn
from bergamotmast.standins.engine_spec import EngineSpec

ENGINES = 6
ARRIVALS_PER_SECOND = 36.0
MEAN_PROMPT_TOKENS = 1500
MEAN_OUTPUT_TOKENS = 200
MAX_TOKENS = 10_000


def main() -> None:
    """Run the benchmark and print its result as one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--tokens-per-chunk", type=int, default=16)
    parser.add_argument("--noop-cycles", type=int, default=1)
    arguments = parser.parse_args()
    loop = looptime.new_event_loop(noop_cycles=arguments.noop_cycles)
    started = time.process_time()
    tokens, first_tokens = loop.run_until_complete(drive(arguments))
    cpu_seconds = time.process_time() - started
    first_tokens.sort()
    result = {
        **vars(arguments),
        "tokens": tokens,
        "virtual_seconds": round(loop.time(), 3),
        "first_token_p50": round(first_tokens[len(first_tokens) // 2], 3),
        "first_token_p95": round(first_tokens[len(first_tokens) * 95 // 100], 3),
        "core_seconds": round(cpu_seconds, 2),
        "requests_per_core_second": round(arguments.requests / cpu_seconds),
    }
    print(json.dumps(result))


async def drive(arguments: argparse.Namespace) -> tuple[int, list[float]]:
    """Send all requests.

    :return: number of tokens received, and seconds to the first token of each request.
    """
    rng = random.Random(1)
    spec = EngineSpec(tokens_per_chunk=arguments.tokens_per_chunk)
    engines = [EngineStandIn(f"engine-{n}", spec) for n in range(ENGINES)]
    loop = asyncio.get_running_loop()
    first_tokens: list[float] = []
    received = 0

    async def run(number: int) -> None:
        nonlocal received
        request = GenerateRequest(
            f"stream-{number}",
            "model",
            f"{number} [out={int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS)) + 1}]",
            int(rng.expovariate(1 / MEAN_PROMPT_TOKENS)) + 1,
            MAX_TOKENS,
            Priority.STANDARD,
        )
        asked_at = loop.time()
        async for chunk in engines[number % ENGINES].generate(request):
            if chunk.index == 0:
                first_tokens.append(loop.time() - asked_at)
            received += chunk.tokens

    async with asyncio.TaskGroup() as group:
        for number in range(arguments.requests):
            group.create_task(run(number))
            await asyncio.sleep(rng.expovariate(ARRIVALS_PER_SECOND))
    return received, first_tokens


if __name__ == "__main__":
    main()
