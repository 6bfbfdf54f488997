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

STILL_SECONDS = 0.15

run_forever = asyncio.SelectorEventLoop.run_forever


def run_with_halts(loop: asyncio.SelectorEventLoop) -> None:
    """Run as ever, but stand still within a turn when told to."""
    loop.add_signal_handler(signal.SIGUSR2, time.sleep, STILL_SECONDS)
    run_forever(loop)


if __name__ == "__main__":
    asyncio.SelectorEventLoop.run_forever = run_with_halts  # type: ignore[method-assign]
    sys.argv[0] = str(pathlib.Path(__file__).resolve().parent.parent / "serve.py")
    runpy.run_path(sys.argv[0], run_name="__main__")
