"""Reading of streamed responses ahead of callers that read slowly.

Upstreams cut off a response that stays unread for some seconds. While a write to the
caller waits, the response is read into a buffer, up to the bounds of
:class:`~bergamotmast.policy.buffer_budget.BufferBudget`. Beyond them nothing is read,
and the upstream waits, as it does without a buffer.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import logging
import math

from ..policy.buffer_budget import BufferBudget
from ..telemetry import Telemetry
from .attempt_tasks import cancel_all

logger = logging.getLogger(__name__)

READ_AHEAD_DELAY_SECONDS = 0.05
"""How long a write waits before the response is read ahead. Most writes don't wait, and
their responses need no task of their own."""


class HeldResponses:
    """What an entry holds of all responses.

    Readers that wait for room are woken one after the other. A reader that finds data
    may use up the room before the next one runs, which would have to wait again.

    :param waiting: readers that wait for room, in the order in which they began to.
    """

    def __init__(
        self, telemetry: Telemetry, budget: BufferBudget | None = None
    ) -> None:
        self.telemetry = telemetry
        self.budget = budget or BufferBudget()
        self.waiting: dict[ResponseReader, asyncio.Future[None]] = {}

    def hold(self, count: int) -> None:
        """Add bytes that have been read."""
        was_short = self.budget.short
        self.budget.hold(count)
        self._on_change(was_short)

    def release(self, count: int, reader: ResponseReader | None = None) -> None:
        """Remove bytes that are no longer held, and wake a reader that has room.

        :param reader: the reader that held them. It comes first: its caller has just
            read, and its engine would be taken for silent if it had to wait for others.
        """
        was_short = self.budget.short
        self.budget.release(count)
        self._on_change(was_short)
        if reader is None or not self._wake(reader):
            self._wake_next()

    async def wait_for_release(self, reader: ResponseReader) -> None:
        """Wait until there may be room for a reader."""
        loop = asyncio.get_running_loop()
        future = self.waiting[reader] = loop.create_future()
        try:
            await future
        finally:
            self.waiting.pop(reader, None)
            if not future.cancelled():
                # Runs after this reader has read what has arrived already, or has been
                # closed: whatever room is left then is for the next one.
                loop.call_soon(self._wake_next)

    def _wake_next(self) -> None:
        for reader in self.waiting:
            if self._wake(reader):
                return

    def _wake(self, reader: ResponseReader) -> bool:
        """Wake a reader if it waits and has room; return whether it was woken."""
        future = self.waiting.get(reader)
        if future is None or future.done() or not self.budget.has_room(reader.size):
            return False
        future.set_result(None)
        return True

    def _on_change(self, was_short: bool) -> None:
        self.telemetry.on_held_bytes(self.budget.held)
        if self.budget.short == was_short:
            return
        message = "responses of slow callers are held up to the limit"
        if was_short:
            message = "responses of slow callers are within the limit again"
        logger.info(message, extra={"bytes": self.budget.held})


class ResponseReader:
    """Reads one streamed response.

    :param on_data: called when data has arrived.
    :param on_end: called when all of it has been read ahead.
    :param parts: what has been read ahead.
    :param size: its size in bytes.
    :param task: reads ahead; ``None`` until a write has waited.
    :param error: how the response has ended, if it was read ahead and broke off.
    :param resumed_at: when reading was resumed after a wait for room; a point in time.
    :param asked_at: when the data that came last was asked for; a point in time.
    :param writing_since: when the present write to the caller began; infinity between
        writes.
    :param timer: checks whether a write takes long.
    """

    def __init__(
        self,
        source: cabc.AsyncIterator[bytes],
        held: HeldResponses | None,
        on_data: cabc.Callable[[], None],
        on_end: cabc.Callable[[], None],
    ) -> None:
        self.source = source
        self.held = held
        self.on_data = on_data
        self.on_end = on_end
        self.parts: collections.deque[bytes] = collections.deque()
        self.size = 0
        self.task: asyncio.Task[None] | None = None
        self.error: Exception | None = None
        self.changed = asyncio.Event()
        self.resumed_at = -math.inf
        self.asked_at = -math.inf
        self.writing_since = math.inf
        self.timer: asyncio.TimerHandle | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the end of the response has been read ahead."""
        return self.task is not None and self.task.done()

    @property
    def has_data(self) -> bool:
        """Whether data or the end of the response has been read ahead."""
        return bool(self.parts) or self.has_ended

    @property
    def reads_ahead(self) -> bool:
        """Whether the response is read independently of the caller."""
        return self.task is not None

    async def chunks(self) -> cabc.AsyncIterator[bytes]:
        """Yield the response as it arrives, and raise what it ends with."""
        while self.task is None:
            try:
                data = await self._next()
            except StopAsyncIteration:
                return
            self.on_data()
            yield data
        while self.parts or not self.task.done():
            if self.parts:
                yield self._take()
                continue
            self.changed.clear()
            await self.changed.wait()
        if self.error is not None:
            raise self.error

    def on_write(self) -> None:
        """Read ahead if the write to the caller that begins now takes long."""
        if self.held is None or self.task is not None:
            return
        loop = asyncio.get_running_loop()
        self.writing_since = loop.time()
        if self.timer is None:
            # One timer for many writes: responses may hold thousands of tiny events.
            self.timer = loop.call_later(READ_AHEAD_DELAY_SECONDS, self._check_write)

    def on_written(self) -> None:
        """Record that the write has ended."""
        self.writing_since = math.inf

    async def close(self) -> None:
        """Stop reading and free what is held."""
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self.parts.clear()
        self._release(self.size)
        if self.task is not None:
            await cancel_all(self.task)

    def _check_write(self) -> None:
        self.timer = None
        loop = asyncio.get_running_loop()
        due_at = self.writing_since + READ_AHEAD_DELAY_SECONDS
        if due_at == math.inf or self.held is None:
            return
        if loop.time() < due_at:
            self.timer = loop.call_at(due_at, self._check_write)
            return
        self.task = asyncio.create_task(self._read(self.held))
        self.task.add_done_callback(lambda _: self.changed.set())

    async def _read(self, held: HeldResponses) -> None:
        try:
            while True:
                await self._wait_for_room(held)
                data = await self._next()
                self.on_data()
                self.parts.append(data)
                self.size += len(data)
                held.hold(len(data))
                self.changed.set()
        except StopAsyncIteration:
            self.on_end()
        except Exception as error:
            self.error = error

    async def _next(self) -> bytes:
        self.asked_at = asyncio.get_running_loop().time()
        return await anext(self.source)

    async def _wait_for_room(self, held: HeldResponses) -> None:
        while not held.budget.has_room(self.size):
            await held.wait_for_release(self)
            self.resumed_at = asyncio.get_running_loop().time()

    def _take(self) -> bytes:
        data = self.parts.popleft()
        self._release(len(data))
        return data

    def _release(self, count: int) -> None:
        self.size -= count
        if self.held is not None and count:
            self.held.release(count, self)
