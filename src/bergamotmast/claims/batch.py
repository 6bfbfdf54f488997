"""Group commit of claims: many steps of many claims in one transaction."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import enum
import logging

from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import LeaseLapsedError
from ..errors import PortError
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import KeyValueService
from ..ports import Put
from ..ports import TxnResult
from ..protocol.claim_record import ClaimRecord
from ..protocol.claim_record import decode_claim
from ..protocol.claim_record import encode_claim
from .retention import RetentionLease

MAX_STEPS_PER_TXN = 100
"""Steps in one transaction; etcd takes 128 operations by default."""

MAX_ROUNDS = 6
"""Transactions tried for one batch; each round leaves fewer steps in dispute."""

MAX_LEASE_ATTEMPTS = 2
"""Times a lease is asked for, where the reply is lost."""

CALL_TIMEOUT_SECONDS = 2.0
"""Longest wait for one call of the key-value service."""

logger = logging.getLogger(__name__)


class StepKind(enum.Enum):
    """What is to happen to a claim's record."""

    CLAIM = "claim"
    COMPLETE = "complete"
    RELEASE = "release"


class StepOutcome(enum.Enum):
    """What became of a step."""

    DONE = "done"
    """It took effect."""

    TAKEN = "taken"
    """The record is another's."""

    FAILED = "failed"
    """The service was down; it truly took no effect."""

    UNKNOWN = "unknown"
    """The service was down; it may have taken effect, or may yet."""


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """One step of one claim.

    :param record: the record to write, or for a release the one to delete.
    :param lease: the lease the record is on; 0 before it is written.
    :param revision: revision that the record must be at; 0 for none there, ``None``
        where it has to be read.
    :param outcome: what became of it; ``None`` while under way.
    :param conflicting_record: the record found, where it is another's.
    :param claimed_at: when the claim was begun; a point on the local monotonic clock.
    """

    kind: StepKind
    key: str
    record: ClaimRecord
    lease: int = 0
    revision: int | None = 0
    outcome: StepOutcome | None = None
    conflicting_record: ClaimRecord | None = None
    claimed_at: float = 0.0


class ClaimBatch:
    """Commits steps together.

    One transaction of a hundred steps counts as one call at the service, but fails as
    a whole when one comparison does. Its keys are then read, those in dispute are
    settled, and the rest goes into the next round.

    :param kv: the key-value service.
    :param retention: the lease for new claims.
    """

    def __init__(self, kv: KeyValueService, retention: RetentionLease) -> None:
        self.kv = kv
        self.retention = retention

    async def commit(self, steps: cabc.Sequence[Step]) -> None:
        """Bring every step to its end; each must be of another key."""
        open_steps = list(steps)
        doubt = False
        for _ in range(MAX_ROUNDS):
            try:
                await self._read([s for s in open_steps if s.revision is None])
                open_steps = _still_open(open_steps)
                if not open_steps:
                    return
                await self._write(open_steps)
            except LeaseLapsedError:
                await self._after_lapse(open_steps)
            except KeyValueOutcomeUnknownError:
                # The write may be here, or on its way. The nonces stay the same, so
                # that a late arrival and the next round claim for the same call.
                doubt = True
                _forget_revisions(open_steps)
            except PortError as error:
                logger.warning("claims not written: %s", error.message)
                break
            open_steps = _still_open(open_steps)
        for step in open_steps:
            step.outcome = StepOutcome.UNKNOWN if doubt else StepOutcome.FAILED

    async def _write(self, steps: list[Step]) -> None:
        claims = [s for s in steps if s.kind is StepKind.CLAIM]
        lease = await self._lease(len(claims)) if claims else 0
        for step in claims:
            step.lease = lease
        compares = [Compare(s.key, s.revision or 0) for s in steps]
        result = await self._txn(compares, [_write_of(s) for s in steps])
        if not result.succeeded:
            _forget_revisions(steps)
            return
        for step in steps:
            step.revision = result.revision
            step.outcome = StepOutcome.DONE

    async def _lease(self, claims: int) -> int:
        """Return a lease; one whose reply is lost holds nothing and lapses."""
        for _ in range(MAX_LEASE_ATTEMPTS):
            with contextlib.suppress(KeyValueOutcomeUnknownError, TimeoutError):
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    return await self.retention.take(claims)
        raise KeyValueUnavailableError("no lease for claims")

    async def _txn(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TxnResult:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await self.kv.txn(compares, writes)
        except TimeoutError:
            raise KeyValueOutcomeUnknownError("no reply in time") from None

    async def _read(self, steps: list[Step]) -> None:
        """Read the records of steps and settle those that are decided."""
        if not steps:
            return
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                items = await asyncio.gather(*(self.kv.get(s.key) for s in steps))
        except TimeoutError:
            raise KeyValueUnavailableError("no answer in time") from None
        for step, item in zip(steps, items, strict=True):
            _settle(step, item)

    async def _after_lapse(self, steps: list[Step]) -> None:
        """Go on after the service has refused a lease as lapsed.

        Claims get a new one. A completion can't: its record went with its lease, so
        there is nothing left to complete.
        """
        self.retention.forget()
        _forget_revisions(steps)
        for step in steps:
            if step.kind is StepKind.COMPLETE:
                step.outcome = StepOutcome.TAKEN


def _settle(step: Step, item: KeyValue | None) -> None:
    record = decode_claim(item.value) if item else None
    if item is None or record is None:
        step.revision = 0
        if step.kind is not StepKind.CLAIM:
            step.outcome = StepOutcome.TAKEN
    elif record.nonce != step.record.nonce:
        step.outcome = StepOutcome.TAKEN
        step.conflicting_record = record
    else:
        step.revision = item.mod_revision
        step.lease = item.lease
        if step.kind is not StepKind.RELEASE and record.done == step.record.done:
            step.outcome = StepOutcome.DONE


def _write_of(step: Step) -> Put | Delete:
    if step.kind is StepKind.RELEASE:
        return Delete(step.key)
    return Put(step.key, encode_claim(step.record), step.lease)


def _forget_revisions(steps: cabc.Iterable[Step]) -> None:
    for step in steps:
        step.revision = None


def _still_open(steps: cabc.Iterable[Step]) -> list[Step]:
    return [step for step in steps if step.outcome is None]
