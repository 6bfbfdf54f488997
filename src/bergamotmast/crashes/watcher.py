"""Watch of the key-value service that keeps a quarantine up to date."""

from __future__ import annotations

import contextlib
import random

from ..key_watch import watch_snapshots
from ..ports import KeyValue
from ..ports import KeyValueService
from ..ports import RangeResult
from .quarantine import Quarantine
from .records import CRASHES_PREFIX


class CrashWatcher:
    """Applies all records of crashes to a quarantine.

    :param revision: revision of the last snapshot. A lower one shows that the service
        was restored from a backup.
    """

    def __init__(
        self, kv: KeyValueService, quarantine: Quarantine, rng: random.Random
    ) -> None:
        self.kv = kv
        self.quarantine = quarantine
        self.rng = rng
        self.revision = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        changes = watch_snapshots(self.kv, CRASHES_PREFIX, self.rng)
        async with contextlib.aclosing(changes):
            async for change in changes:
                if isinstance(change, RangeResult):
                    restored = change.revision < self.revision
                    self.revision = change.revision
                    self.quarantine.replace_all(change.items, restored=restored)
                elif change.value is None:
                    self.quarantine.remove(change.key)
                else:
                    item = KeyValue(change.key, change.value, change.mod_revision)
                    self.quarantine.put(item)
