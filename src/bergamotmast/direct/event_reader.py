"""Reading of a streamed response event by event."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from ..errors import ConnectionLostError
from .events import BrokenStreamError
from .events import Event
from .events import EventSplitter
from .response_buffer import ResponseReader

MAX_EVENT_BYTES = 1 << 20
"""Maximum size of one event, which usually carries a few words. Without a limit, an
event that never ends would exhaust the process's memory."""

MAX_FEED_BYTES = 4_096
"""Maximum number of bytes that are parsed before other requests get their turn: they
may hold a thousand tiny events."""

MAX_EVENTS_PER_TURN = 64
"""Maximum number of events that are forwarded before other requests get their turn.
Forwarding one takes some 10 microseconds, and a request needs some 20 turns."""


async def read_events(
    reader: ResponseReader, splitter: EventSplitter
) -> cabc.AsyncIterator[Event]:
    """Yield complete events.

    :param splitter: keeps the event that the response has begun, and not completed.
    :raises ConnectionLostError: if the stream ends within an event.
    :raises BrokenStreamError: if an event is longer than :data:`MAX_EVENT_BYTES`.
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
        if len(splitter.rest) > MAX_EVENT_BYTES:
            raise BrokenStreamError("event is longer than the limit")
    if splitter.rest:
        raise ConnectionLostError("the stream ended within an event")
