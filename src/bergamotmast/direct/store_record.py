"""A record of the planner's lease holder in the key-value service.

Each write is a compare-and-swap on the record, so that two holders can't both write it.
"""

from __future__ import annotations

import asyncio
import logging
import random
import typing as t

import msgspec

from ..backoff import Backoff
from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import LeadershipLostError
from ..ports import Compare
from ..ports import KeyValue
from ..ports import KeyValueService
from ..ports import Put

logger = logging.getLogger(__name__)

MAX_RETRY_DELAY_SECONDS = 2.0
"""Maximum delay between two attempts while the service is unavailable."""

_RecordT = t.TypeVar("_RecordT", bound=msgspec.Struct)


class StoreRecord(t.Generic[_RecordT]):
    """Access of one process to a record.

    :param subject: what the record is about, for log lines.
    :param empty: value of a record that does not exist.
    :param is_required: whether nothing is done by a record that can't be decoded, which
        otherwise counts as empty.
    :param record: the record as last read or written.
    :param revision: its revision in the service; 0 if there is none.
    """

    def __init__(
        self,
        kv: KeyValueService,
        rng: random.Random,
        key: str,
        subject: str,
        empty: _RecordT,
        *,
        is_required: bool,
    ) -> None:
        self.kv = kv
        self.key = key
        self.subject = subject
        self.empty = empty
        self.is_required = is_required
        self.record = empty
        self.revision = 0
        self.backoff = Backoff(rng, maximum=MAX_RETRY_DELAY_SECONDS)

    async def read(self) -> None:
        """Read the record.

        :raises KeyValueUnavailableError: if the service is down, or the record is
            required and can't be decoded.
        """
        item = await self.kv.get(self.key)
        self.record = self.empty if item is None else self.decode(item)
        self.revision = 0 if item is None else item.mod_revision

    async def read_when_available(self) -> None:
        """Read the record; retried while that fails."""
        while True:
            try:
                await self.read()
                break
            except KeyValueUnavailableError as error:
                logger.info(f"{self.subject} is not read", extra=_cause(error))
                await asyncio.sleep(self.backoff.next_delay())
        self.backoff.reset()

    async def write(self, record: _RecordT) -> None:
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
                logger.info(f"{self.subject} is not written", extra=_cause(error))
                await asyncio.sleep(self.backoff.next_delay())
        self.backoff.reset()
        self.record = record

    async def _try_write(self, value: bytes) -> bool:
        compares = [Compare(self.key, self.revision)]
        result = await self.kv.txn(compares, [Put(self.key, value)])
        if result.succeeded:
            self.revision = result.revision
            return True
        item = await self.kv.get(self.key)
        if item is None or item.value != value:
            return False
        # An earlier attempt without a reply took effect.
        self.revision = item.mod_revision
        return True

    def decode(self, item: KeyValue) -> _RecordT:
        """Decode the record's value.

        :raises KeyValueUnavailableError: if it can't be decoded, and counts for more
            than an empty one.
        """
        try:
            return decode_json(item.value, type(self.empty))
        except DecodingError as error:
            logger.warning(
                f"{self.subject} record cannot be decoded",
                extra={"error": error.message},
            )
            if self.is_required:
                raise KeyValueUnavailableError(error.message) from error
            return self.empty


def _cause(
    error: KeyValueOutcomeUnknownError | KeyValueUnavailableError,
) -> dict[str, str]:
    return {"error": error.message}
