"""Records of crashes in the key-value store, shared by all entries.

Each request that was lost in a crash has one key per crash. Entries that see crashes of
the same request at the same time write different keys, so that none is overwritten.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import logging
import random

import msgspec

from ..backoff import Backoff
from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import ConfigError
from ..errors import PortError
from ..policy.crash_ledger import CrashLedger
from ..policy.crash_ledger import Verdict
from ..ports import Delete
from ..ports import KeyValueService
from ..ports import Put

logger = logging.getLogger(__name__)

CRASHES_PREFIX = "/bergamotmast/crashes/"

MAX_WRITES_PER_TXN = 32
"""Maximum number of writes that the store accepts in one transaction."""

MIN_WRITE_INTERVAL_SECONDS = 0.1
"""Minimum time between two transactions of an entry: the limit on the store's writes is
shared by all entries, which lose runs at the same time."""

MAX_RETRY_DELAY_SECONDS = 2.0
"""Maximum delay between two attempts while the store is unavailable."""


class CrashReport(msgspec.Struct, frozen=True):
    """Value of a crash's key, for operators.

    :param upstream: name of the upstream that crashed.
    :param boot: id of its incarnation.
    :param entry: name of the entry that had sent the request.
    :param request_id: id of the caller's try.
    """

    upstream: str
    boot: str
    entry: str
    request_id: str


def request_prefix(fingerprint: str) -> str:
    """Return the prefix of the keys of all crashes of a request."""
    return f"{CRASHES_PREFIX}{fingerprint}/"


def crash_key(fingerprint: str, crash: str) -> str:
    """Return the key of a request's crash."""
    return request_prefix(fingerprint) + crash


def parse_crash_key(key: str) -> tuple[str, str]:
    """Return the fingerprint and the crash's id that a key stands for.

    :raises ConfigError: if it is not a crash's key.
    """
    return split_key(key, CRASHES_PREFIX)


def split_key(key: str, prefix: str) -> tuple[str, str]:
    """Return the two names that a key consists of after its prefix.

    :raises ConfigError: if it does not.
    """
    names = key.removeprefix(prefix).split("/")
    if not key.startswith(prefix) or len(names) != 2 or not all(names):
        raise ConfigError(f"{key} does not begin with {prefix} and two names")
    return names[0], names[1]


@dataclasses.dataclass(frozen=True, slots=True)
class LostRequest:
    """A request and the crashes in which it was lost.

    :param crashes: report of each crash; ``None`` for one that can't be decoded.
    :param verdict: the verdict on the request.
    """

    fingerprint: str
    crashes: tuple[CrashReport | None, ...]
    verdict: Verdict


async def read_lost_requests(kv: KeyValueService) -> list[LostRequest]:
    """Return all requests that were lost in crashes, most crashes first."""
    result = await kv.range(CRASHES_PREFIX)
    ledger = CrashLedger()
    crashes: dict[str, list[CrashReport | None]] = {}
    for item in result.items:
        with contextlib.suppress(ConfigError):
            fingerprint, crash = parse_crash_key(item.key)
            ledger.add(fingerprint, crash, 0.0)
            crashes.setdefault(fingerprint, []).append(_decode_report(item.value))
    found = [
        LostRequest(name, tuple(reports), ledger.verdict(name))
        for name, reports in crashes.items()
    ]
    return sorted(found, key=lambda lost: -len(lost.crashes))


async def delete_crashes(kv: KeyValueService, fingerprint: str) -> int:
    """Delete all crashes of a request; return how many there were."""
    result = await kv.range(request_prefix(fingerprint))
    keys = [item.key for item in result.items]
    await write_in_batches(kv, [Delete(key) for key in keys])
    return len(keys)


async def write_in_batches(
    kv: KeyValueService, writes: cabc.Sequence[Put | Delete]
) -> None:
    """Make an operator's writes in as many transactions as they need."""
    for start in range(0, len(writes), MAX_WRITES_PER_TXN):
        await kv.txn([], list(writes[start : start + MAX_WRITES_PER_TXN]))


def _decode_report(value: bytes) -> CrashReport | None:
    try:
        return decode_json(value, CrashReport)
    except DecodingError:
        # Shown as unreadable: the key alone tells that there was a crash.
        return None


class CrashRecordWriter:
    """Writes crashes to the store in the background, in the order of the last change.

    All writes are idempotent, so that one whose reply was lost is simply repeated.

    :param pending: values to write by key; ``None`` for a key to delete.
    """

    def __init__(self, kv: KeyValueService, rng: random.Random) -> None:
        self.kv = kv
        self.pending: dict[str, bytes | None] = {}
        self.changed = asyncio.Event()
        self.backoff = Backoff(rng, initial=0.1, maximum=MAX_RETRY_DELAY_SECONDS)

    def write(self, key: str, value: bytes | None) -> None:
        """Schedule a write; ``None`` deletes the key."""
        self.pending[key] = value
        self.changed.set()

    async def run(self) -> None:
        """Write what is pending until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while self.pending:
                await self._write_some()

    async def _write_some(self) -> None:
        batch = dict(list(self.pending.items())[:MAX_WRITES_PER_TXN])
        writes: list[Put | Delete] = [
            Delete(key) if value is None else Put(key, value)
            for key, value in batch.items()
        ]
        try:
            await self.kv.txn([], writes)
        except PortError as error:
            logger.info("crashes are not written", extra={"error": error.message})
            await asyncio.sleep(self.backoff.next_delay())
            return
        self.backoff.reset()
        for key, value in batch.items():
            # It may have been replaced while the call was under way.
            if key in self.pending and self.pending[key] is value:
                del self.pending[key]
        await asyncio.sleep(MIN_WRITE_INTERVAL_SECONDS)
