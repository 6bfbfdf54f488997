"""Reading of a streamed response event by event."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from ..errors import ConnectionLostError
from ..policy.reply_memory import ReplyMemory
from .events import BrokenStreamError
from .events import Event
from .events import EventSplitter
from .response_buffer import ResponseReader

MAX_FEED_BYTES = 4_096
"""Maximum number of bytes that are parsed before other requests get their turn: they
may hold a thousand tiny events."""

MAX_EVENTS_PER_TURN = 64
"""Maximum number of events that are forwarded before other requests get their turn.
Forwarding one takes some 10 microseconds, and a request needs some 20 turns."""


async def read_events(
    reader: ResponseReader,
    splitter: EventSplitter,
    memory: ReplyMemory[EventSplitter],
) -> cabc.AsyncIterator[Event]:
    """Yield complete events.

    :param splitter: keeps the event that the response has begun, and not completed.
    :param memory: account of such events of all responses, which the caller releases.
    :raises ConnectionLostError: if the stream ends within an event.
    :raises BrokenStreamError: if an event is longer than the account allows.
    """
    # Counted across the data: the next part may already have arrived.
    count = 0
    async for data in reader.chunks():
        for start in range(0, len(data), MAX_FEED_BYTES):
            if start:
                count = 0
                await asyncio.sleep(0)
            for event in splitter.feed(data[start : start + MAX_FEED_BYTES]):
                if count >= MAX_EVENTS_PER_TURN:
                    count = 0
                    await asyncio.sleep(0)
                count += 1
                yield event
            if memory.set(splitter, len(splitter.rest)):
                raise BrokenStreamError("event is longer than the limit")
    if splitter.rest:
        raise ConnectionLostError("the stream ended within an event")
