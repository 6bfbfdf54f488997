"""Calls whose results are shared by all that wait for them."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import math
import typing as t

_ResultT = t.TypeVar("_ResultT")


class SharedCall(t.Generic[_ResultT]):
    """A call that is made for all that ask before it begins.

    Callers may ask for any number of streams that never were; the number of calls is
    limited by the pause between them.

    :param call: makes the call.
    :param pause: returns the minimum time between the begins of two calls, in seconds.
    :param pending: a call that has not begun yet; ``None`` if there is none.
    :param next_at: when the next call may begin; a point in time.
    """

    def __init__(
        self,
        call: cabc.Callable[[], cabc.Awaitable[_ResultT]],
        pause: cabc.Callable[[], float],
    ) -> None:
        self.call = call
        self.pause = pause
        self.pending: asyncio.Task[_ResultT] | None = None
        self.next_at = -math.inf

    async def result(self) -> _ResultT:
        """Return the result of a call that begins after this was asked for."""
        if self.pending is None:
            self.pending = asyncio.create_task(self._call())
        return await asyncio.shield(self.pending)

    async def _call(self) -> _ResultT:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.next_at - loop.time())
        self.next_at = loop.time() + self.pause()
        # Whoever asks from here on needs a later call.
        self.pending = None
        return await self.call()
