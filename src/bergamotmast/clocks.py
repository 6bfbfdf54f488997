"""An event loop whose clock counts the time that the machine was suspended."""

from __future__ import annotations

import asyncio
import time

_COUNTS_SUSPENSION = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time() -> float:
    """Return seconds since the machine started, suspended ones included.

    The clock never goes back, whatever happens to the time of day. Systems other than
    Linux have no such clock; there the monotonic one stands in.
    """
    return time.clock_gettime(_COUNTS_SUSPENSION)


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """Measures all deadlines on :func:`boot_time`.

    The monotonic clock stands still while a machine is suspended. A process that woke
    up would take its lease for current and its callers for waiting, though both are
    long gone. With this clock every deadline that passed meanwhile is over at the first
    look after the thaw, before any task goes on: the loop queues due timers ahead of
    the tasks that new input wakes.
    """

    def time(self) -> float:
        """Return the current time in seconds."""
        return boot_time()
