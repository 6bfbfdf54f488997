"""A direct entry, started as by ``serve.py``, whose event loop stalls on SIGUSR2.

A garbage collection stalls the loop in the same way. SIGSTOP and SIGCONT have another
effect: a process that was stopped while it waited for input handles expired timers
first, and the input one iteration of the loop later.
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
    """Run the event loop; SIGUSR2 blocks it within an iteration."""
    loop.add_signal_handler(signal.SIGUSR2, time.sleep, STALL_SECONDS)
    run_forever(loop)


if __name__ == "__main__":
    asyncio.SelectorEventLoop.run_forever = run_with_stalls  # type: ignore[method-assign]
    sys.argv[0] = str(pathlib.Path(__file__).resolve().parent.parent / "serve.py")
    runpy.run_path(sys.argv[0], run_name="__main__")
