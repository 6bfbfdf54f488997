"""Turns in which large input is read, so that it can't keep the event loop busy."""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc

READS_PER_ITERATION = 2
"""Reads of large input in one iteration of the event loop. A read of chunks of one byte
takes milliseconds, and an ordinary request needs a dozen iterations."""


class InputTurns:
    """Lets connections with large input read one after the other."""

    def __init__(self) -> None:
        self.queue: collections.deque[cabc.Callable[[], None]] = collections.deque()

    def wait(self, resume: cabc.Callable[[], None]) -> None:
        """Queue a connection that has just read.

        :param resume: called when it may read once more.
        """
        if not self.queue:
            asyncio.get_running_loop().call_soon(self._run)
        self.queue.append(resume)

    def _run(self) -> None:
        for _ in range(min(READS_PER_ITERATION, len(self.queue))):
            self.queue.popleft()()
        if self.queue:
            asyncio.get_running_loop().call_soon(self._run)
