"""Records below one prefix of the store that all entries write and remove.

Each record is written once and repeated as it is, so that no entry overwrites another's
and a removal always means that somebody removed it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import typing as t

from ..errors import ConfigError
from ..ports import KeyValue
from .records import CrashRecordWriter

logger = logging.getLogger(__name__)

REMOVED_RETENTION_SECONDS = 60.0
"""How long a removed key is remembered, to remove it again after a restore of the store
from a backup that is a few seconds old."""

REFRESH_SECONDS = 120.0
"""Minimum interval between two refreshes of a record."""


class RecordReceiver(t.Protocol):
    """Receiver of the records that an entry learns of."""

    def on_record(self, key: str, value: bytes) -> None:
        """Apply a record's value.

        :raises ConfigError: if it can't be decoded.
        """
        ...

    def on_record_removed(self, key: str) -> None:
        """Apply the removal of a record that was known.

        :raises ConfigError: if its key can't be decoded.
        """
        ...


class SharedRecords:
    """An entry's copy of the records, which outlives a restore of the store.

    Implements, with :meth:`put`, :meth:`remove` and :meth:`replace_all`, a receiver of
    the keys below one prefix.

    :param writer: writer of the records; ``None`` to keep them to this entry.
    :param values: value of each known record, by key.
    :param removed: when a removed key is forgotten, by key; points in time.
    :param refresh_at: when a record may be refreshed again, by key; points in time.
    """

    def __init__(
        self, receiver: RecordReceiver, writer: CrashRecordWriter | None = None
    ) -> None:
        self.receiver = receiver
        self.writer = writer
        self.values: dict[str, bytes] = {}
        self.removed: dict[str, float] = {}
        self.refresh_at: dict[str, float] = {}

    def write(self, key: str, value: bytes) -> None:
        """Write a record here and, in the background, to the store."""
        self.removed.pop(key, None)
        self.values[key] = value
        self._send(key, value)

    def refresh(self, key: str) -> None:
        """Write a record again, unless that was done lately.

        Without it, the record of what keeps coming at one entry expires at the others.
        """
        now = asyncio.get_running_loop().time()
        if now < self.refresh_at.get(key, now):
            return
        self.refresh_at[key] = now + REFRESH_SECONDS
        self.write(key, self.values[key])

    def delete(self, key: str) -> None:
        """Remove a record here and, in the background, from the store."""
        self.values.pop(key, None)
        self._remember_removal(key)
        self._send(key, None)

    def put(self, item: KeyValue) -> None:
        """Apply a record that an entry has written."""
        self.removed.pop(item.key, None)
        self.values[item.key] = item.value
        try:
            self.receiver.on_record(item.key, item.value)
        except ConfigError as error:
            logger.warning(
                "crash cannot be decoded",
                extra={"key": item.key, "error": error.message},
            )

    def remove(self, key: str) -> None:
        """Apply the removal of a record, by an entry or an operator."""
        known = self.values.pop(key, None) is not None
        self._remember_removal(key)
        if known:
            # One that can't be decoded was logged and ignored when it was written.
            with contextlib.suppress(ConfigError):
                self.receiver.on_record_removed(key)

    def replace_all(self, items: tuple[KeyValue, ...], *, restored: bool) -> None:
        """Apply a snapshot of all records in the store.

        After a restore from a backup, what the backup lacks is written again and what
        had been removed since is removed again.
        """
        present = {item.key for item in items}
        for key in self.values.keys() - present:
            if restored:
                self._send(key, self.values[key])
            elif not self.is_pending(key):
                self.remove(key)
        now = asyncio.get_running_loop().time()
        for item in items:
            if restored and now < self.removed.get(item.key, now):
                self._send(item.key, None)
            elif self.values.get(item.key) != item.value:
                if not self.is_pending(item.key):
                    self.put(item)

    def forget_expired(self, now: float) -> None:
        """Forget removals that no restore is expected to undo, and old refreshes."""
        for times in (self.removed, self.refresh_at):
            for key in [key for key, at in times.items() if now >= at]:
                del times[key]

    def is_pending(self, key: str) -> bool:
        """Return whether a change of a record is not in the store yet."""
        return self.writer is not None and key in self.writer.pending

    def _remember_removal(self, key: str) -> None:
        now = asyncio.get_running_loop().time()
        self.removed[key] = now + REMOVED_RETENTION_SECONDS

    def _send(self, key: str, value: bytes | None) -> None:
        if self.writer is not None:
            self.writer.write(key, value)
