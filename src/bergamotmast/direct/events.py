"""Incremental parsing of a byte stream into server-sent events."""

from __future__ import annotations

import dataclasses
import re

MAX_EVENT_ID_DIGITS = 18
"""Maximum length of a numeric event id; longer ones are ignored. Python refuses to
convert strings of some thousand digits to an integer."""

MAX_SEPARATOR_BYTES = 4
"""Length of the longest end of an event."""

_SEPARATOR = re.compile(rb"\n\n|\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream.

    :param data: unmodified bytes, including the empty line that ends the event.
    :param number: numeric event id; ``None`` if the id is missing or not a number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Splits a byte stream into complete events.

    An upstream may fail in the middle of an event. Only complete events are forwarded,
    so that a stream can be resumed at another upstream without duplicated bytes.

    :param rest: bytes received of an incomplete event.
    """

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete."""
        # An end that began with the bytes received before may be split.
        searched = max(0, len(self.rest) - MAX_SEPARATOR_BYTES + 1)
        self.rest += data
        ends = [match.end() for match in _SEPARATOR.finditer(self.rest, searched)]
        events = []
        start = 0
        for end in ends:
            event_bytes = bytes(self.rest[start:end])
            events.append(Event(event_bytes, _event_number(event_bytes)))
            start = end
        del self.rest[:start]
        return events


def _event_number(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name.strip() == b"id":
            text = value.strip()
            is_number = text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS
            return int(text) if is_number else None
    return None
