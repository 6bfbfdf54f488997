"""The time limits of requests, which the end of the process may bring forward."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import math
import random

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_refusal import retry_after
from ..policy.shutdown_admission import SHUTDOWN_RETRY_SECONDS
from ..policy.shutdown_admission import ShutdownWindow
from ..policy.shutdown_admission import is_admitted


class TimeLimits:
    """Says what is still taken, and ends what runs in time for it to be answered.

    :param end: ``None`` until the process is told to end.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.end: ShutdownWindow | None = None
        self.limits: set[asyncio.Timeout] = set()

    def begin(self, end: ShutdownWindow) -> None:
        """Bring the limits of all requests forward to the end of the process.

        A request that ran on until the process ends would have its connection closed,
        and its caller would not know whether it ran.
        """
        self.end = end
        for limit in self.limits:
            # One that has passed can't be moved, and the attempt would end the process
            # with all that is at work. Its request ends by itself.
            if not limit.expired():
                limit.reschedule(self._capped(limit.when()))

    @contextlib.asynccontextmanager
    async def limit(self, deadline: float) -> cabc.AsyncIterator[None]:
        """Bound a request's work.

        :raises TimeoutError: at its deadline, or as the process ends.
        """
        async with asyncio.timeout_at(self._capped(deadline)) as limit:
            self.limits.add(limit)
            try:
                yield
            finally:
                self.limits.discard(limit)

    def check_admission(self, deadline: float, now: float) -> None:
        """Check that a request can be finished.

        :raises RequestError: if its caller should come back.
        """
        if self.end is not None and not is_admitted(self.end, deadline, now):
            raise self.refusal()

    def refusal(self) -> RequestError:
        """Return the error of a request that did not run because the process ends."""
        seconds = retry_after(self.rng, SHUTDOWN_RETRY_SECONDS)
        return RequestError(ResultCode.SHUTTING_DOWN, retry_after=seconds)

    def is_over(self, now: float) -> bool:
        """Return whether requests are ended now for the end of the process."""
        return self.end is not None and now >= self.end.end_by

    def _capped(self, deadline: float | None) -> float:
        own = math.inf if deadline is None else deadline
        return own if self.end is None else min(own, self.end.end_by)
