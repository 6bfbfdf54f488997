"""Deadlines of requests, which a shutdown brings forward."""

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
    """Bounds running requests by their deadlines and by the shutdown of the process.

    :param window: shutdown window; ``None`` until the shutdown starts.
    :param limits: timeouts of the running requests.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.window: ShutdownWindow | None = None
        self.limits: set[asyncio.Timeout] = set()

    def begin(self, window: ShutdownWindow) -> None:
        """Bring the deadlines of all requests forward to the end of the shutdown.

        The connection of a request that still runs when the process exits would be
        closed, and its caller would not know whether it ran.
        """
        self.window = window
        for limit in self.limits:
            # An expired timeout can't be rescheduled: the error would terminate the
            # process with all running requests. Its request ends by itself.
            if not limit.expired():
                limit.reschedule(self._capped(limit.when()))

    @contextlib.asynccontextmanager
    async def limit(self, deadline: float) -> cabc.AsyncIterator[None]:
        """Cancel the body at a request's deadline or at the end of the shutdown.

        :raises TimeoutError: if the body was cancelled.
        """
        async with asyncio.timeout_at(self._capped(deadline)) as limit:
            self.limits.add(limit)
            try:
                yield
            finally:
                self.limits.discard(limit)

    def check_admission(self, deadline: float, now: float) -> None:
        """Check that a request can complete before the process exits.

        :raises RequestError: if its caller should retry later.
        """
        if self.window is not None and not is_admitted(self.window, deadline, now):
            raise self.shutdown_error()

    def shutdown_error(self) -> RequestError:
        """Return the error of a request that was not run because of the shutdown."""
        seconds = retry_after(self.rng, SHUTDOWN_RETRY_SECONDS)
        return RequestError(ResultCode.SHUTTING_DOWN, retry_after=seconds)

    def is_over(self, now: float) -> bool:
        """Return whether the shutdown has ended the running requests."""
        return self.window is not None and now >= self.window.end_by

    def _capped(self, deadline: float | None) -> float:
        own = math.inf if deadline is None else deadline
        return own if self.window is None else min(own, self.window.end_by)
