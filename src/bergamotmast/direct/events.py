"""Incremental parsing of a byte stream into server-sent events."""

from __future__ import annotations

import dataclasses

MAX_EVENT_ID_DIGITS = 18
"""Maximum length of a numeric event id; longer ones are ignored. Python refuses to
convert strings of some thousand digits to an integer."""


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
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete."""
        self.rest += data
        events = []
        while (end := _event_end(self.rest)) > 0:
            event_bytes, self.rest = self.rest[:end], self.rest[end:]
            events.append(Event(event_bytes, _event_number(event_bytes)))
        return events


def _event_end(data: bytes) -> int:
    """Return the end offset of the first event, or 0 if it is incomplete."""
    ends = []
    for separator in (b"\n\n", b"\r\n\r\n"):
        start = data.find(separator)
        if start >= 0:
            ends.append(start + len(separator))
    return min(ends, default=0)


def _event_number(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name.strip() == b"id":
            text = value.strip()
            is_number = text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS
            return int(text) if is_number else None
    return None
