"""A direct entry as ``serve.py`` starts it; its event loop stands still on SIGUSR2.

A collection of garbage does the same. A process that is stopped and goes on does not:
where it waits for input, it finds what is due first and the input one turn later.
"""

from __future__ import annotations

import asyncio
import pathlib
import runpy
import signal
import sys
import time

STALL_SECONDS = 0.15

run_forever = asyncio.SelectorEventLoop.run_forever


def run_with_stalls(loop: asyncio.SelectorEventLoop) -> None:
    """Run as ever, but stand still within a turn when told to."""
    loop.add_signal_handler(signal.SIGUSR2, time.sleep, STALL_SECONDS)
    run_forever(loop)


if __name__ == "__main__":
    asyncio.SelectorEventLoop.run_forever = run_with_stalls  # type: ignore[method-assign]
    sys.argv[0] = str(pathlib.Path(__file__).resolve().parent.parent / "serve.py")
    runpy.run_path(sys.argv[0], run_name="__main__")
