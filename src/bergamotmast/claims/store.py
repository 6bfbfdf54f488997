"""At-most-once claims of calls that must not be repeated.

Before such a call is dispatched, its key is claimed in the key-value service by a
write that succeeds only where no record is; no claim, no run. The record outlives
every instance for :data:`~bergamotmast.claims.retention.RETENTION_SECONDS`.

Claims that arrive while a write is under way go together in the next one. Completions
are in nobody's way: they wait for the next claim, or :data:`LINGER_SECONDS`. Measured
with the stand-in at 5 ms a call, each claim with its completion: three entries make
20 writes for 20 claims a second, 108 for 200 and 121 for 1,000.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

import msgspec

from ..backoff import Backoff
from ..errors import RequestError
from ..errors import ResultCode
from ..model import ServiceAnswer
from ..ports import KeyValueService
from ..protocol.claim_record import ClaimRecord
from ..protocol.claim_record import claim_key
from ..protocol.claim_record import stored_answer
from .batch import MAX_STEPS_PER_TXN
from .batch import ClaimBatch
from .batch import Step
from .batch import StepKind
from .batch import StepOutcome
from .retention import RETENTION_SECONDS
from .retention import RetentionLease

CLAIM_TIMEOUT_SECONDS = 5.0
"""Longest wait for a claim; the call is then refused and truly not run."""

LINGER_SECONDS = 2.0
"""Longest wait of a completion for company.

Until it is written, a replay at another entry is told that the call may have run.
"""

MAX_RETRY_DELAY_SECONDS = 5.0
"""Bound of the time between attempts to write what an outage has held up."""

WRITE_INTERVAL_SECONDS = 0.02
"""Least time between two writes of one entry: at most 50 a second."""

MAX_DEFERRED_STEPS = 2_000
"""Completions and releases kept through an outage, each of at most some 2 KB."""

MAX_REMEMBERED_CLAIMS = 4_000
"""Own claims remembered; the service knows the rest."""


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A claim whose caller waits for it.

    :param unwanted: whether the caller has gone meanwhile.
    """

    step: Step
    future: asyncio.Future[None]
    unwanted: bool = False


class ClaimStore:
    """One entry's claims.

    :param kv: the key-value service.
    :param owner: name of the entry, for operators.
    :param rng: source of nonces and jitter.
    """

    def __init__(self, kv: KeyValueService, owner: str, rng: random.Random) -> None:
        self.owner = owner
        self.rng = rng
        self.batch = ClaimBatch(kv, RetentionLease(kv))
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._lazy: collections.OrderedDict[str, Step] = collections.OrderedDict()
        self._lazy_due = 0.0
        self._open: collections.OrderedDict[str, Step] = collections.OrderedDict()
        self._backoff = Backoff(rng, first=1.0, longest=MAX_RETRY_DELAY_SECONDS)
        self._wake = asyncio.Event()

    async def claim(self, key: str, digest: bytes) -> ServiceAnswer | None:
        """Claim a caller's key, or return the answer of an earlier call.

        :param key: the caller's key with all that it is unique within.
        :param digest: of the request.
        :raises RequestError: ``CLAIM_UNAVAILABLE`` if the claim could not be written,
            ``CLAIM_HELD`` if an earlier call may have run, ``ALREADY_RAN`` if it ran
            and its answer was too long to keep, ``KEY_MISMATCH`` for another request.
        """
        place = claim_key(key)
        known = self._known(place)
        if known is not None:
            return self._own(known, digest)
        nonce = self.rng.getrandbits(64).to_bytes(8, "big")
        record = ClaimRecord(nonce, digest, self.owner)
        step = Step(StepKind.CLAIM, place, record, claimed_at=_now())
        self._remember(step)
        await self._wait_for(step)
        if step.outcome is StepOutcome.DONE:
            return None
        if step.conflicting_record is not None:
            return _earlier(step.conflicting_record, digest)
        raise RequestError(ResultCode.CLAIM_UNAVAILABLE)

    async def complete(self, key: str, answer: ServiceAnswer) -> None:
        """Keep the answer of a claimed call; it is written within some seconds."""
        step = self._held(key)
        if step is not None:
            record = msgspec.structs.replace(
                step.record, done=True, answer=stored_answer(answer)
            )
            self._put_off(step, StepKind.COMPLETE, record)

    async def release(self, key: str) -> None:
        """Give a claim back whose call was truly not run, with the next write.

        The caller was told to come back; while the claim stands, another entry would
        answer that the call may have run.
        """
        step = self._held(key)
        if step is not None:
            self._put_off(step, StepKind.RELEASE, step.record)

    async def run(self) -> None:
        """Write claims until cancelled."""
        while True:
            await self._work_to_do()
            await self._write_once()
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)

    async def flush(self) -> None:
        """Write what was put off, before the process ends; give up in an outage."""
        while self._lazy:
            before = len(self._lazy)
            await self._write_once()
            if len(self._lazy) >= before:
                return

    def _known(self, place: str) -> Step | None:
        """Return an own claim of this key, if the service still has it too."""
        step = self._open.get(place)
        if step is not None and _now() - step.claimed_at > RETENTION_SECONDS:
            del self._open[place]
            return None
        return step

    def _held(self, key: str) -> Step | None:
        step = self._open.get(claim_key(key))
        if step is None or step.kind is not StepKind.CLAIM:
            return None
        return step if step.outcome is StepOutcome.DONE else None

    def _own(self, known: Step, digest: bytes) -> ServiceAnswer | None:
        """Answer a claim of a key that this entry itself has claimed."""
        if known.kind is not StepKind.RELEASE:
            return _earlier(known.record, digest)
        raise RequestError(ResultCode.CLAIM_UNAVAILABLE, retry_after=1.0)

    def _remember(self, step: Step) -> None:
        self._open[step.key] = step
        if len(self._open) > MAX_REMEMBERED_CLAIMS:
            self._open.popitem(last=False)

    def _forget(self, step: Step) -> None:
        if self._open.get(step.key) is step:
            del self._open[step.key]

    async def _wait_for(self, step: Step) -> None:
        """Wait until a claim has its end.

        A caller may go away in any moment, also in the very one in which its claim is
        written. The claim would then be held by a call that never ran, and its
        replays be told that it may have: it is given back.
        """
        waiting = _Waiting(step, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        self._wake.set()
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                await waiting.future
        except TimeoutError:
            waiting.unwanted = True
            raise RequestError(ResultCode.CLAIM_UNAVAILABLE) from None
        except asyncio.CancelledError:
            waiting.unwanted = True
            if step.outcome is not None:
                self._unclaim(step)
            raise

    async def _work_to_do(self) -> None:
        """Return when a claim waits or what was put off is due.

        The timeout itself says that it is due. A timer may fire a clock tick early,
        and comparing the clock again would then spin.
        """
        while not self._waiting:
            self._wake.clear()
            due = self._lazy_due if self._lazy else None
            try:
                async with asyncio.timeout_at(due):
                    await self._wake.wait()
            except TimeoutError:
                return

    async def _write_once(self) -> None:
        claims = self._take_claims()
        lazy = self._take_lazy(claims)
        await self.batch.commit([*(w.step for w in claims), *lazy])
        for waiting in claims:
            self._end_claim(waiting)
        for step in lazy:
            self._end_lazy(step)

    def _take_claims(self) -> list[_Waiting]:
        taken: list[_Waiting] = []
        while self._waiting and len(taken) < MAX_STEPS_PER_TXN:
            waiting = self._waiting.popleft()
            if waiting.unwanted:
                self._forget(waiting.step)
            else:
                taken.append(waiting)
        return taken

    def _take_lazy(self, claims: list[_Waiting]) -> list[Step]:
        keys = {waiting.step.key for waiting in claims}
        room = MAX_STEPS_PER_TXN - len(claims)
        taken = [step for step in self._lazy.values() if step.key not in keys][:room]
        for step in taken:
            del self._lazy[step.key]
        return taken

    def _end_claim(self, waiting: _Waiting) -> None:
        step = waiting.step
        if waiting.unwanted or step.outcome is not StepOutcome.DONE:
            self._unclaim(step)
        if not waiting.future.done():
            waiting.future.set_result(None)

    def _unclaim(self, step: Step) -> None:
        """Give back a claim that was not wanted, or not known to be written."""
        if step.outcome in (StepOutcome.DONE, StepOutcome.UNKNOWN):
            self._put_off(step, StepKind.RELEASE, step.record)
        else:
            self._forget(step)

    def _put_off(self, step: Step, kind: StepKind, record: ClaimRecord) -> None:
        linger = LINGER_SECONDS if kind is StepKind.COMPLETE else 0.0
        due = _now() + linger
        self._lazy_due = min(self._lazy_due, due) if self._lazy else due
        revision = step.revision if step.outcome is StepOutcome.DONE else None
        later = Step(
            kind, step.key, record, step.lease, revision, claimed_at=step.claimed_at
        )
        self._open[step.key] = later
        self._lazy[step.key] = later
        if len(self._lazy) > MAX_DEFERRED_STEPS:
            _, dropped = self._lazy.popitem(last=False)
            self._forget(dropped)
        self._wake.set()

    def _end_lazy(self, step: Step) -> None:
        if step.outcome in (StepOutcome.DONE, StepOutcome.TAKEN):
            self._backoff.reset()
            self._forget(step)
            return
        step.outcome = None
        step.revision = None
        self._lazy[step.key] = step
        self._lazy_due = _now() + self._backoff.next_delay()


def _earlier(record: ClaimRecord, digest: bytes) -> ServiceAnswer:
    """Return the answer of the call that a record is of, or say why there is none."""
    if record.digest != digest:
        raise RequestError(ResultCode.KEY_MISMATCH)
    if not record.done:
        raise RequestError(ResultCode.CLAIM_HELD)
    if record.answer is None:
        raise RequestError(ResultCode.ALREADY_RAN)
    stored = record.answer
    return ServiceAnswer(stored.status, stored.body, stored.content_type)


def _now() -> float:
    return asyncio.get_running_loop().time()
