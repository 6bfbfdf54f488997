"""Data of the key-value stand-in: revisions, transactions and their events."""

from __future__ import annotations

import bisect
import collections.abc as cabc
import dataclasses
import operator

from ..errors import PortError
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import Put
from ..ports import TxnResult
from ..ports import WatchEvent

MAX_EVENTS = 20_000
"""Maximum number of events; above it the older half is compacted."""

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole content at one revision.

    :param items: every key and its value.
    :param revision: store revision.
    :param leases: time to live of each lease, in seconds, by lease id.
    """

    items: dict[str, KeyValue]
    revision: int
    leases: dict[int, int]


class KeyValueStore:
    """Keys with their revisions, and the events of the recent changes.

    :param items: every key and its value.
    :param revision: increased by each transaction that changes anything.
    :param compacted: highest compacted revision; the events up to it are gone.
    :param events: events after ``compacted``, oldest first.
    """

    def __init__(self) -> None:
        self.items: dict[str, KeyValue] = {}
        self.revision = 0
        self.compacted = 0
        self.events: list[WatchEvent] = []

    def txn(
        self, compares: cabc.Sequence[Compare], writes: cabc.Sequence[Put | Delete]
    ) -> tuple[TxnResult, list[WatchEvent]]:
        """Apply all writes if all conditions hold.

        :return: the result, and an event for each change.
        :raises PortError: for a value that is too large.
        """
        for write in writes:
            if isinstance(write, Put) and len(write.value) > MAX_VALUE_BYTES:
                raise PortError(
                    f"the value of {write.key} is over {MAX_VALUE_BYTES} bytes"
                )
        if not all(self._condition_holds(compare) for compare in compares):
            return TxnResult(False, self.revision), []
        return self._apply(writes)

    def items_with_prefix(self, prefix: str) -> tuple[KeyValue, ...]:
        """Return every item whose key has a prefix, in order of keys."""
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return tuple(sorted(found, key=operator.attrgetter("key")))

    def events_from(self, revision: int) -> list[WatchEvent]:
        """Return the events of this revision and later that are not compacted."""
        start = bisect.bisect_left(self.events, revision, key=_revision_of)
        return self.events[start:]

    def compact(self, revision: int) -> None:
        """Drop the events up to and including a revision."""
        self.compacted = max(self.compacted, revision)
        self.events = self.events_from(self.compacted + 1)

    def restore(self, snapshot: Snapshot) -> None:
        """Restore a snapshot: the revision goes back, and all events are dropped."""
        self.items = dict(snapshot.items)
        self.revision = snapshot.revision
        self.compacted = snapshot.revision
        self.events = []

    def _condition_holds(self, compare: Compare) -> bool:
        item = self.items.get(compare.key)
        revision = item.mod_revision if item else 0
        return revision == compare.mod_revision

    def _apply(
        self, writes: cabc.Sequence[Put | Delete]
    ) -> tuple[TxnResult, list[WatchEvent]]:
        revision = self.revision + 1
        events = []
        for write in writes:
            if isinstance(write, Put):
                item = KeyValue(write.key, write.value, revision, write.lease)
                self.items[write.key] = item
                events.append(WatchEvent(write.key, write.value, revision))
            elif self.items.pop(write.key, None) is not None:
                events.append(WatchEvent(write.key, None, revision))
        if events:
            self.revision = revision
            self._append_events(events)
        return TxnResult(True, self.revision), events

    def _append_events(self, events: list[WatchEvent]) -> None:
        self.events.extend(events)
        if len(self.events) > MAX_EVENTS:
            self.compact(self.events[MAX_EVENTS // 2].mod_revision)


def _revision_of(event: WatchEvent) -> int:
    return event.mod_revision
