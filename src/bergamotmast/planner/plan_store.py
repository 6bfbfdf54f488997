"""Storage of the plan in the key-value service, fenced by compare-and-swap.

Every write is one transaction that compares the revision of the head record. The next
write of a planner that was paused past its lease, or partitioned while another took
over, therefore fails even if it still believes that it holds the lease: the
comparison decides who may write, not the lease.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random

from ..decoding import DecodingError
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import LeadershipLostError
from ..history import HistorySink
from ..history import PlanWritten
from ..model import NO_FENCING_TOKEN
from ..model import Assignment
from ..model import FencingToken
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import KeyValueService
from ..ports import Put
from ..ports import RangeResult
from ..protocol.plan import ENGINES_PREFIX
from ..protocol.plan import HEAD_KEY
from ..protocol.plan import PLAN_PREFIX
from ..protocol.plan import EnginePlan
from ..protocol.plan import PlanHead
from ..protocol.plan import decode_engine_plan
from ..protocol.plan import decode_head
from ..protocol.plan import encode_record
from ..protocol.plan import engine_key
from ..protocol.plan import engine_of_key
from ..protocol.plan import guard_key

logger = logging.getLogger(__name__)

MAX_ENGINES_PER_TXN = 100
"""Engine plans written by one transaction; etcd allows 128 operations by default."""


def no_epoch_hint() -> int:
    """Return 0, so that each takeover raises the epoch by one."""
    return 0


class PlanStore:
    """One planner's read and write access to the plan.

    :param kv: the key-value service.
    :param planner: name of this planner, for operators and the history.
    :param rng: source of nonces.
    :param history: where accepted writes are recorded.
    :param epoch_hint: returns the minimum epoch of a takeover. The composition root
        passes a value that increases with each restore of the service, or else seconds
        of the wall clock: after a restore, a new process does not know the lost epochs,
        and a hint that only increases exceeds them. Safety does not depend on it; with
        a wrong clock, sides only obey later after a restore.
    :param max_engines_per_txn: maximum number of engine plans that one transaction
        writes.
    :param carry_over: whether a takeover rewrites all engine plans under its own
        token. This is not needed where engines compare the tokens of orders
        themselves; the engine plans are then deleted, so that the plan holds only this
        planner's orders.
    :param plans: the plan as last read or written, by engine.
    :param tokens_at_open: fencing tokens of the engine plans that :meth:`open` found.
    :param highest_token: highest fencing token that this process has seen.
    :param restored: whether :meth:`open` found a last epoch below ``epoch_hint``, as
        after a restore of the service; the last holder's orders may be missing.
    """

    def __init__(
        self,
        kv: KeyValueService,
        planner: str,
        rng: random.Random,
        history: HistorySink,
        epoch_hint: cabc.Callable[[], int] = no_epoch_hint,
        max_engines_per_txn: int = MAX_ENGINES_PER_TXN,
        *,
        carry_over: bool = True,
    ) -> None:
        self.kv = kv
        self.planner = planner
        self.rng = rng
        self.history = history
        self.epoch_hint = epoch_hint
        self.max_engines_per_txn = max_engines_per_txn
        self.carry_over = carry_over
        self.plans: dict[str, EnginePlan] = {}
        self.tokens_at_open: dict[str, FencingToken] = {}
        self.highest_token = NO_FENCING_TOKEN
        self.restored = False
        self.head: PlanHead | None = None
        self.head_revision = 0

    async def open(self) -> FencingToken:
        """Take over the plan: read it, raise its epoch and rewrite the engine plans.

        An engine plan left at an earlier epoch could be older than what its engine has
        obeyed, if the service was restored and the processes that had seen the newer
        plan were replaced: a new side would then send its engine an order with a lower
        token than the last. Rewriting takes a few transactions per takeover and puts
        every engine plan above all earlier ones.

        :raises LeadershipLostError: if another planner wrote at the same time.
        :raises KeyValueUnavailableError: if the service is down, or the head record
            can't be decoded; nothing changed.
        """
        result = await self.kv.range(PLAN_PREFIX)
        stored = self._decode(result)
        lost = self._plans_lost_by_restore(stored)
        stored_epoch = self.head.epoch if self.head else 0
        last_epoch = max(stored_epoch, self.highest_token.epoch)
        min_epoch = self.epoch_hint()
        self.restored = 0 < last_epoch < min_epoch
        stored_revision = self.head.revision if self.head else 0
        token = FencingToken(
            max(last_epoch + 1, min_epoch),
            max(stored_revision, self.highest_token.revision) + 1,
        )
        self.tokens_at_open = {name: plan.token for name, plan in stored.items()}
        self.plans = stored | lost
        await self._commit(token, {}, ())
        if not self.carry_over:
            return await self.write({}, removed=stored)
        assignments = {name: plan.assignment for name, plan in self.plans.items()}
        return await self.write(assignments)

    async def write(
        self,
        assignments: cabc.Mapping[str, Assignment],
        removed: cabc.Collection[str] = (),
    ) -> FencingToken:
        """Write the plans of some engines and return the token of the last write.

        :param removed: engines whose plans are deleted.
        :raises LeadershipLostError: if another planner has taken the plan over, or if
            it is unknown whether the write took effect; :meth:`open` again.
        :raises KeyValueUnavailableError: if the service is down; nothing changed.
        """
        if self.head is None:
            raise LeadershipLostError("The plan has to be opened first.")
        names = sorted({*assignments, *removed})
        for start in range(0, len(names), self.max_engines_per_txn):
            batch = names[start : start + self.max_engines_per_txn]
            token = FencingToken(self.head.epoch, self.head.revision + 1)
            wanted = {n: assignments[n] for n in batch if n in assignments}
            await self._commit(token, wanted, [n for n in batch if n not in wanted])
        return self.highest_token

    def _decode(self, result: RangeResult) -> dict[str, EnginePlan]:
        """Set the head from a range read and return the engine plans in it."""
        stored: dict[str, EnginePlan] = {}
        self.head = None
        self.head_revision = 0
        for item in result.items:
            if item.key == HEAD_KEY:
                self.head = _decode_head_item(item)
                self.head_revision = item.mod_revision
            elif item.key.startswith(ENGINES_PREFIX):
                plan = _decode_engine_item(item)
                if plan is not None:
                    stored[engine_of_key(item.key)] = plan
        return stored

    def _plans_lost_by_restore(
        self, stored: dict[str, EnginePlan]
    ) -> dict[str, EnginePlan]:
        """Return engine plans that this process has seen and the service has lost.

        A service restored from a backup holds older engine plans than the sides obey.
        Sides refuse these, so the plan and the fleet would differ until the next
        change.
        """
        head = self.head.token if self.head else NO_FENCING_TOKEN
        rolled_back = head < self.highest_token
        lost: dict[str, EnginePlan] = {}
        for name, plan in self.plans.items():
            known = stored.get(name)
            if (known is None and rolled_back) or (known and known.token < plan.token):
                lost[name] = plan
        return lost

    async def _commit(
        self,
        token: FencingToken,
        assignments: cabc.Mapping[str, Assignment],
        removed: cabc.Collection[str],
    ) -> None:
        nonce = f"{self.rng.getrandbits(64):016x}"
        head = PlanHead(token.epoch, token.revision, nonce, self.planner)
        plans = {
            name: EnginePlan(token.epoch, token.revision, assignment)
            for name, assignment in assignments.items()
        }
        writes: list[Put | Delete] = [Put(HEAD_KEY, encode_record(head))]
        writes.append(Put(guard_key(nonce), b""))
        if self.head:
            writes.append(Delete(guard_key(self.head.nonce)))
        writes += [Put(engine_key(n), encode_record(p)) for n, p in plans.items()]
        writes += [Delete(engine_key(name)) for name in removed]
        self.head_revision = await self._compare_and_swap(writes, nonce)
        self.head = head
        self.highest_token = token
        self.plans.update(plans)
        for name in removed:
            self.plans.pop(name, None)
        at = asyncio.get_running_loop().time()
        self.history.record(
            PlanWritten(
                at=at, epoch=token.epoch, revision=token.revision, writer=self.planner
            )
        )

    async def _compare_and_swap(
        self, writes: cabc.Sequence[Put | Delete], nonce: str
    ) -> int:
        """Replace the head and return its new revision in the store.

        If the reply is lost and reading the head back does not show the write, the
        write may still be in flight and take effect later. Continuing from the old
        head would make two writes of one planner race. :meth:`open` raises the epoch
        and replaces the head, so that the late write fails its comparison.
        """
        compares = [Compare(HEAD_KEY, self.head_revision)]
        if self.head:
            compares.append(Compare(guard_key(self.head.nonce), self.head_revision))
        try:
            result = await self.kv.txn(compares, writes)
        except KeyValueOutcomeUnknownError:
            self.head = None
            return await self._confirm_write(nonce)
        if not result.succeeded:
            self.head = None
            raise LeadershipLostError("Another planner has written the plan.")
        return result.revision

    async def _confirm_write(self, nonce: str) -> int:
        """Return the head's revision if it was written with this nonce.

        :raises LeadershipLostError: if it was not, or can't be read.
        """
        item = None
        with contextlib.suppress(KeyValueUnavailableError):
            item = await self.kv.get(HEAD_KEY)
        if item is None or _decode_head_item(item).nonce != nonce:
            raise LeadershipLostError("The outcome of a write of the plan is unknown.")
        return item.mod_revision


def _decode_head_item(item: KeyValue) -> PlanHead:
    """Decode the head record.

    :raises KeyValueUnavailableError: if the value can't be decoded. A new head written
        without the old one's epoch could be older than what engines have obeyed.
    """
    try:
        return decode_head(item.value)
    except DecodingError as error:
        raise KeyValueUnavailableError(
            f"The plan's head record can't be decoded: {error}"
        ) from error


def _decode_engine_item(item: KeyValue) -> EnginePlan | None:
    """Decode one engine's plan; one that can't be decoded is logged and ignored."""
    try:
        return decode_engine_plan(item.value)
    except DecodingError as error:
        logger.warning(
            "plan cannot be decoded", extra={"key": item.key, "error": str(error)}
        )
        return None
