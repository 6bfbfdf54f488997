"""Group commit of claims: steps of many claims in one transaction."""

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
"""Maximum number of steps in a transaction; etcd allows 128 operations by default."""

MAX_ROUNDS = 6
"""Maximum number of transactions for one batch.

Each round settles the steps whose keys were in conflict.
"""

MAX_LEASE_ATTEMPTS = 2
"""Requests for a lease if their replies are lost."""

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of one call to the key-value service."""

logger = logging.getLogger(__name__)


class StepKind(enum.Enum):
    """Change to be made to a claim's record."""

    CLAIM = "claim"
    COMPLETE = "complete"
    RELEASE = "release"


class StepOutcome(enum.Enum):
    """Outcome of a step."""

    DONE = "done"
    """The step took effect."""

    TAKEN = "taken"
    """The key holds the record of another claim, or this claim's record is gone."""

    FAILED = "failed"
    """The service was down, or no round was left; the step took no effect."""

    UNKNOWN = "unknown"
    """A reply was lost; the step may have taken effect or may still do so."""


@dataclasses.dataclass(slots=True, eq=False)
class Step:
    """One step of one claim.

    :param record: the record to write, or for a release the one to delete.
    :param lease: id of the lease that the record is attached to; 0 before it is
        written.
    :param revision: revision that the key must have; 0 if it must not exist, ``None``
        if it has to be read first.
    :param outcome: outcome of the step; ``None`` while it is pending.
    :param conflicting_record: record of another claim that was found at the key.
    :param claimed_at: when the claim was made, in seconds on the local monotonic
        clock.
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
    """Commits steps of several claims in one transaction.

    A transaction of a hundred steps counts as one call at the service, but it fails as
    a whole if one of its comparisons does. All its keys are then read, the steps in
    conflict are settled, and the others go into the next round.

    :param kv: the key-value service.
    :param retention: provides the lease of new claims.
    """

    def __init__(self, kv: KeyValueService, retention: RetentionLease) -> None:
        self.kv = kv
        self.retention = retention

    async def commit(self, steps: cabc.Sequence[Step]) -> None:
        """Set the outcome of every step; no two steps may have the same key."""
        open_steps = list(steps)
        in_doubt = False
        for _ in range(MAX_ROUNDS):
            try:
                await self._read([s for s in open_steps if s.revision is None])
                open_steps = _still_open(open_steps)
                if not open_steps:
                    return
                await self._write(open_steps)
            except LeaseLapsedError:
                await self._handle_expired_lease(open_steps)
            except KeyValueOutcomeUnknownError:
                # The write may have been applied or may still be in flight. The next
                # round uses the same nonces, so that a write that arrives late claims
                # for the same call.
                in_doubt = True
                _forget_revisions(open_steps)
            except PortError as error:
                logger.warning("claims not written: %s", error.message)
                break
            open_steps = _still_open(open_steps)
        for step in open_steps:
            step.outcome = StepOutcome.UNKNOWN if in_doubt else StepOutcome.FAILED

    async def _write(self, steps: list[Step]) -> None:
        claims = [s for s in steps if s.kind is StepKind.CLAIM]
        lease = await self._lease(len(claims)) if claims else 0
        for step in claims:
            step.lease = lease
        compares = [Compare(s.key, s.revision or 0) for s in steps]
        result = await self._txn(compares, [_write_operation(s) for s in steps])
        if not result.succeeded:
            _forget_revisions(steps)
            return
        for step in steps:
            step.revision = result.revision
            step.outcome = StepOutcome.DONE

    async def _lease(self, claims: int) -> int:
        """Return a lease for new claims.

        A lease whose grant was lost has no keys attached and expires by itself.
        """
        for _ in range(MAX_LEASE_ATTEMPTS):
            with contextlib.suppress(KeyValueOutcomeUnknownError, TimeoutError):
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    return await self.retention.take(claims)
        raise KeyValueUnavailableError(
            f"no lease for claims after {MAX_LEASE_ATTEMPTS} attempts"
        )

    async def _txn(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TxnResult:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await self.kv.txn(compares, writes)
        except TimeoutError:
            raise KeyValueOutcomeUnknownError(
                f"no reply to a write of claims within {CALL_TIMEOUT_SECONDS:g} s"
            ) from None

    async def _read(self, steps: list[Step]) -> None:
        """Read the records of steps and settle the steps that these decide."""
        if not steps:
            return
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                items = await asyncio.gather(*(self.kv.get(s.key) for s in steps))
        except TimeoutError:
            raise KeyValueUnavailableError(
                f"no reply to a read of claims within {CALL_TIMEOUT_SECONDS:g} s"
            ) from None
        for step, item in zip(steps, items, strict=True):
            _settle(step, item)

    async def _handle_expired_lease(self, steps: list[Step]) -> None:
        """Prepare the next round after the service has refused a lease as expired.

        Claims get a new lease. A completion can't, because its record was deleted with
        the lease, so there is nothing left to complete.
        """
        self.retention.forget()
        _forget_revisions(steps)
        for step in steps:
            if step.kind is StepKind.COMPLETE:
                step.outcome = StepOutcome.TAKEN


def _settle(step: Step, item: KeyValue | None) -> None:
    """Set a step's outcome if the item at its key decides it, else its revision."""
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


def _write_operation(step: Step) -> Put | Delete:
    if step.kind is StepKind.RELEASE:
        return Delete(step.key)
    return Put(step.key, encode_claim(step.record), step.lease)


def _forget_revisions(steps: cabc.Iterable[Step]) -> None:
    for step in steps:
        step.revision = None


def _still_open(steps: cabc.Iterable[Step]) -> list[Step]:
    return [step for step in steps if step.outcome is None]
