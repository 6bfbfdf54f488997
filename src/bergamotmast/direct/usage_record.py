"""The record of usage reports in the key-value service.

A window's counts are written here before they are first reported. Whoever reports the
window, and however often, sends exactly these counts.
"""

from __future__ import annotations

import contextlib
import math
import random
import typing as t

import msgspec

from ..errors import KeyValueUnavailableError
from ..policy.usage_ledger import Counts
from ..ports import KeyValue
from ..ports import KeyValueService
from .store_record import StoreRecord

USAGE_KEY = "/bergamotmast/usage"


class UsageRecord(msgspec.Struct, frozen=True):
    """Value of the record.

    :param holder: name of the entry that wrote it.
    :param epoch: fencing token that it held.
    :param last_window: last window whose counts are set; 0 for none.
    :param windows: counts of the windows that are not known to have been reported.
    :param era: number of restores of the service before it was written. A record of a
        former era may be an older copy, which lacks windows that were set and reported.
    """

    holder: str = ""
    epoch: int = 0
    last_window: int = 0
    windows: dict[int, Counts] = {}
    era: int = 0


class StoreEras(t.Protocol):
    """The restores of the service, as its answers report them."""

    @property
    def known_era(self) -> int:
        """Number of restores."""
        ...

    @property
    def known_since(self) -> float:
        """When an answer first reported that number; a point on the loop's clock."""
        ...


class UsageRecordStore(StoreRecord[UsageRecord]):
    """Access of one process to the record.

    :param last_window: highest window that this process has seen set, also if the
        service was restored from an older backup since.
    """

    def __init__(
        self, kv: KeyValueService, rng: random.Random, eras: StoreEras
    ) -> None:
        # Without it, windows would be set again that may have been reported.
        super().__init__(kv, rng, USAGE_KEY, "usage", UsageRecord(), is_required=True)
        self.eras = eras
        self.last_window = 0

    @property
    def incomplete_until(self) -> float | None:
        """Until when windows may have been set that the record lacks.

        A point on the event loop's clock; ``None`` if the record is complete, or the
        service reports no restores. A window that ended later was not set before it was
        restored.
        """
        since = self.eras.known_since
        is_current = self.record.era == self.eras.known_era
        return None if is_current or math.isinf(since) else since

    def put(self, item: KeyValue) -> None:
        """Apply a value that the watch has delivered."""
        with contextlib.suppress(KeyValueUnavailableError):
            self.last_window = max(self.last_window, self.decode(item).last_window)

    def remove(self, key: str) -> None:
        """Ignore a removal: the windows set so far remain set."""

    def replace_all(self, items: tuple[KeyValue, ...], *, restored: bool) -> None:
        """Apply a snapshot."""
        for item in items:
            self.put(item)

    async def read(self) -> None:
        """Read the record.

        :raises KeyValueUnavailableError: if the service is down, or the record can't be
            decoded.
        """
        await super().read()
        self.last_window = max(self.last_window, self.record.last_window)

    async def write(self, record: UsageRecord) -> None:
        """Replace the record; retried until the outcome is known.

        :raises LeadershipLostError: if another process has written it.
        """
        await super().write(record)
        self.last_window = max(self.last_window, record.last_window)
