"""Whole events of a stream, cut from bytes as they arrive."""

from __future__ import annotations

import dataclasses

MOST_DIGITS = 18
"""Of an event's number; a longer one is none, and Python refuses to read thousands."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream, byte for byte with the empty line that ends it.

    :param number: its id; ``None`` where it has none or one that is no number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Cuts a stream into whole events.

    An upstream may stop in the middle of an event. What is passed on only as whole
    events can be continued elsewhere without a piece that comes twice.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete now."""
        self.rest += data
        events = []
        while (end := _event_end(self.rest)) > 0:
            piece, self.rest = self.rest[:end], self.rest[end:]
            events.append(Event(piece, _event_number(piece)))
        return events


def _event_end(data: bytes) -> int:
    """Return where the first event ends, or 0 where none does yet."""
    ends = []
    for separator in (b"\n\n", b"\r\n\r\n"):
        found = data.find(separator)
        if found >= 0:
            ends.append(found + len(separator))
    return min(ends, default=0)


def _event_number(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name.strip() == b"id":
            text = value.strip()
            is_number = text.isdigit() and len(text) <= MOST_DIGITS
            return int(text) if is_number else None
    return None
