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


class BrokenStreamError(Exception):
    """A stream that ended prematurely, or a reply that can't be used."""


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


class EventOrder:
    """Order of a stream's events over the runs that bring them.

    :param last: number of the last event that the caller received.
    :param known: highest number of an event that a run is known to have begun.
    """

    def __init__(self, last: int) -> None:
        self.last = last
        self.known = last

    @property
    def lacks_event(self) -> bool:
        """Whether an event that has begun has not reached the caller."""
        return self.last < self.known


class RunOrder:
    """Order of the events of one run of a stream.

    A run that goes on with a stream begins with the event after the last one. It may
    repeat what the caller has received, but what it skips would be missing.

    :param joins: whether the run has yet to go on with events of another run.
    :param last: number of the run's last event, or of the one that it goes on after.
    """

    def __init__(self, order: EventOrder) -> None:
        self.order = order
        self.joins = order.last > 0
        self.last = order.last

    def is_new(self, number: int) -> bool:
        """Return whether the caller has not received an event, which it then has.

        :raises BrokenStreamError: if the event before it is missing.
        """
        self.last = number
        expected = self.order.last + 1
        if number < expected:
            return False
        if self.joins and number > expected:
            raise BrokenStreamError(f"went on at event {number}, not {expected}")
        self.joins = False
        self.order.last = number
        return True

    def on_ended(self, rest: bytes | bytearray) -> None:
        """Record the end of the run.

        :param rest: what has arrived of an incomplete event.
        """
        if rest.strip() and not rest.startswith(b":"):
            self.order.known = max(self.order.known, self.last + 1)


def _event_number(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name.strip() == b"id":
            text = value.strip()
            is_number = text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS
            return int(text) if is_number else None
    return None
