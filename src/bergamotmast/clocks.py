"""An event loop whose clock includes the time that the machine was suspended."""

from __future__ import annotations

import asyncio
import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time() -> float:
    """Return the seconds since the machine booted, including suspended time.

    The clock never goes back, even if the system time is changed. Systems without
    ``CLOCK_BOOTTIME``, which is Linux only, fall back to the monotonic clock.
    """
    return time.clock_gettime(_CLOCK_ID)


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """Event loop that uses :func:`boot_time` for all timers.

    The monotonic clock stops while the machine is suspended. A resumed process would
    consider its expired lease valid and wait for callers that have timed out. With
    this clock, all deadlines that passed meanwhile expire in the first iteration after
    the resume, before any task runs: the loop queues due timers ahead of the tasks that
    new input wakes.
    """

    def time(self) -> float:
        """Return the current time of :func:`boot_time`, in seconds."""
        return boot_time()
