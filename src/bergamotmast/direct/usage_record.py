"""The record of usage reports in the key-value service.

A window's counts are written here before they are first reported. Whoever reports the
window, and however often, sends exactly these counts. Each write is a compare-and-swap
on the record, so that two holders can't both set the counts of a window.
"""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec

from ..backoff import Backoff
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import LeadershipLostError
from ..policy.usage_ledger import Counts
from ..ports import Compare
from ..ports import KeyValue
from ..ports import KeyValueService
from ..ports import Put

logger = logging.getLogger(__name__)

USAGE_KEY = "/bergamotmast/usage"

MAX_RETRY_DELAY_SECONDS = 2.0
"""Maximum delay between two attempts while the service is unavailable."""


class UsageRecord(msgspec.Struct, frozen=True):
    """Value of the record.

    :param holder: name of the entry that wrote it.
    :param epoch: fencing token that it held.
    :param last_window: last window whose counts are set; 0 for none.
    :param windows: counts of the windows that are not known to have been reported.
    """

    holder: str = ""
    epoch: int = 0
    last_window: int = 0
    windows: dict[int, Counts] = {}


class UsageRecordStore:
    """Access of one process to the record.

    :param record: the record as last read or written.
    :param revision: its revision in the service; 0 if there is none.
    :param last_window: highest window that this process has seen set, also if the
        service was restored from an older backup since.
    """

    def __init__(self, kv: KeyValueService, rng: random.Random) -> None:
        self.kv = kv
        self.record = UsageRecord()
        self.revision = 0
        self.last_window = 0
        self.backoff = Backoff(rng, maximum=MAX_RETRY_DELAY_SECONDS)

    def put(self, item: KeyValue) -> None:
        """Apply a value that the watch has delivered."""
        self.last_window = max(self.last_window, _decode(item).last_window)

    def remove(self, key: str) -> None:
        """Ignore a removal: the windows set so far remain set."""

    def replace_all(self, items: tuple[KeyValue, ...], *, restored: bool) -> None:
        """Apply a snapshot."""
        for item in items:
            self.put(item)

    async def read(self) -> None:
        """Read the record.

        :raises KeyValueUnavailableError: if the service is down.
        """
        item = await self.kv.get(USAGE_KEY)
        self.record = UsageRecord() if item is None else _decode(item)
        self.revision = 0 if item is None else item.mod_revision
        self.last_window = max(self.last_window, self.record.last_window)

    async def write(self, record: UsageRecord) -> None:
        """Replace the record; retried until the outcome is known.

        A write without a reply may take effect later. It is therefore repeated with the
        same value and condition, and never followed by another one.

        :raises LeadershipLostError: if another process has written it.
        """
        value = msgspec.json.encode(record)
        while True:
            try:
                if not await self._try_write(value):
                    raise LeadershipLostError("Another entry has written the record.")
                break
            except (KeyValueOutcomeUnknownError, KeyValueUnavailableError) as error:
                logger.info("usage is not written", extra={"error": error.message})
                await asyncio.sleep(self.backoff.next_delay())
        self.backoff.reset()
        self.record = record
        self.last_window = max(self.last_window, record.last_window)

    async def _try_write(self, value: bytes) -> bool:
        compares = [Compare(USAGE_KEY, self.revision)]
        result = await self.kv.txn(compares, [Put(USAGE_KEY, value)])
        if result.succeeded:
            self.revision = result.revision
            return True
        item = await self.kv.get(USAGE_KEY)
        if item is None or item.value != value:
            return False
        # An earlier attempt without a reply took effect.
        self.revision = item.mod_revision
        return True


def _decode(item: KeyValue) -> UsageRecord:
    try:
        return msgspec.json.decode(item.value, type=UsageRecord)
    except msgspec.DecodeError as error:
        logger.warning("usage record cannot be decoded", extra={"error": str(error)})
        return UsageRecord()
