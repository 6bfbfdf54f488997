"""The record of the numbers of replicas that were ordered, in the key-value service.

A number is written here before it is sent, so that the next holder knows of it.
"""

from __future__ import annotations

import random

import msgspec

from ..ports import KeyValueService
from .store_record import StoreRecord

SCALING_KEY = "/bergamotmast/scaling"


class RecordedOrder(msgspec.Struct, frozen=True):
    """The last order for one group in one zone.

    :param settled: whether the platform has accepted it, and no earlier order without a
        reply can take effect after it any more.
    """

    count: int
    settled: bool = False


class ScalingRecord(msgspec.Struct, frozen=True):
    """Value of the record.

    :param holder: name of the entry that wrote it.
    :param epoch: fencing token that it held.
    :param orders: last orders, by group and zone.
    """

    holder: str = ""
    epoch: int = 0
    orders: dict[str, dict[str, RecordedOrder]] = {}

    def order(self, group: str, zone: str) -> RecordedOrder | None:
        """Return the last order; ``None`` if there is none."""
        return self.orders.get(group, {}).get(zone)


class ScalingRecordStore(StoreRecord[ScalingRecord]):
    """Access of one process to the record."""

    def __init__(self, kv: KeyValueService, rng: random.Random) -> None:
        super().__init__(
            kv, rng, SCALING_KEY, "scaling", ScalingRecord(), is_required=False
        )
