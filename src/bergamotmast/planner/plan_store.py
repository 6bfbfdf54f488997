"""The plan in the key-value service, written under one planner's authority.

Every write is one transaction that compares the head record's last write. A planner
that was paused past its lease, or cut off while another took over, therefore fails its
next write whatever it believes of itself: authority is the comparison, not the lease.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random

import msgspec

from ..errors import AuthorityLostError
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..history import HistorySink
from ..history import PlanWritten
from ..model import NO_TOKEN
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

MOST_WRITES = 100
"""Engines changed by one transaction; etcd takes 128 operations by default."""


def no_epoch_hint() -> int:
    """Return 0: the epoch then rises by one with each planner."""
    return 0


class PlanStore:
    """One planner's hold on the plan.

    :param kv: the key-value service.
    :param planner: name of this planner, for operators and the history.
    :param rng: source of nonces.
    :param history: where accepted writes are recorded.
    :param epoch_hint: least epoch of a new hold. The composition root gives one that
        increases with each restore of the service, or else seconds of the wall clock:
        after a restore a new process does not know the lost epochs, and a hint that
        only increases exceeds them. It is no safeguard; a wrong clock only delays
        obedience after a restore.
    :param most_writes: engines changed by one transaction.
    :param carry_over: whether a takeover writes all parts anew under its authority. Not
        needed where engines compare the tokens of orders themselves; the parts are then
        taken out, so that the plan holds this planner's orders only.
    :param plans: the plan as last read or written, by engine.
    :param found: authority of each part as :meth:`open` found it.
    :param seen: highest authority this process has seen.
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
        most_writes: int = MOST_WRITES,
        *,
        carry_over: bool = True,
    ) -> None:
        self.kv = kv
        self.planner = planner
        self.rng = rng
        self.history = history
        self.epoch_hint = epoch_hint
        self.most_writes = most_writes
        self.carry_over = carry_over
        self.plans: dict[str, EnginePlan] = {}
        self.found: dict[str, FencingToken] = {}
        self.seen = NO_TOKEN
        self.restored = False
        self.head: PlanHead | None = None
        self.head_revision = 0

    async def open(self) -> FencingToken:
        """Take authority: read the plan, raise its epoch and write every part under it.

        A part that stayed under an earlier epoch could be older than what its engine
        has obeyed, where the service was restored and the processes that knew were
        replaced: a new side would give its engine an order below the last one. A few
        transactions at each takeover are enough to put every part above all before.

        :raises AuthorityLostError: if another planner wrote in the same moment.
        :raises KeyValueUnavailableError: if the service is down, or its head record is
            none; nothing changed.
        """
        found = await self.kv.range(PLAN_PREFIX)
        stored = self._read(found)
        lost = self._lost_by_restore(stored)
        stored_epoch = self.head.epoch if self.head else 0
        last_epoch = max(stored_epoch, self.seen.epoch)
        min_epoch = self.epoch_hint()
        self.restored = 0 < last_epoch < min_epoch
        stored_revision = self.head.revision if self.head else 0
        token = FencingToken(
            max(last_epoch + 1, min_epoch),
            max(stored_revision, self.seen.revision) + 1,
        )
        self.found = {name: part.token for name, part in stored.items()}
        self.plans = stored | lost
        await self._commit(token, {}, ())
        if not self.carry_over:
            return await self.write({}, removed=stored)
        parts = {name: part.assignment for name, part in self.plans.items()}
        return await self.write(parts)

    async def write(
        self,
        assignments: cabc.Mapping[str, Assignment],
        removed: cabc.Collection[str] = (),
    ) -> FencingToken:
        """Write the parts of some engines and return the authority of the last write.

        :param removed: engines whose parts are taken out of the plan.
        :raises AuthorityLostError: if the plan is not this planner's any more, or if
            it can't be told whether the write took effect; open again.
        :raises KeyValueUnavailableError: if the service is down; nothing changed.
        """
        if self.head is None:
            raise AuthorityLostError("The plan has to be opened first.")
        names = sorted({*assignments, *removed})
        for start in range(0, len(names), self.most_writes):
            part = names[start : start + self.most_writes]
            token = FencingToken(self.head.epoch, self.head.revision + 1)
            wanted = {n: assignments[n] for n in part if n in assignments}
            await self._commit(token, wanted, [n for n in part if n not in wanted])
        return self.seen

    def _read(self, found: RangeResult) -> dict[str, EnginePlan]:
        stored: dict[str, EnginePlan] = {}
        self.head = None
        self.head_revision = 0
        for item in found.items:
            if item.key == HEAD_KEY:
                self.head = _head(item)
                self.head_revision = item.mod_revision
            elif item.key.startswith(ENGINES_PREFIX):
                part = _part(item)
                if part is not None:
                    stored[engine_of_key(item.key)] = part
        return stored

    def _lost_by_restore(self, stored: dict[str, EnginePlan]) -> dict[str, EnginePlan]:
        """Return parts that this process has seen and the service has lost.

        A service restored from a backup holds older parts than the sides obey. Sides
        refuse them, so the plan and the fleet would differ until the next change.
        """
        head = self.head.token if self.head else NO_TOKEN
        gone_back = head < self.seen
        lost: dict[str, EnginePlan] = {}
        for name, part in self.plans.items():
            known = stored.get(name)
            if (known is None and gone_back) or (known and known.token < part.token):
                lost[name] = part
        return lost

    async def _commit(
        self,
        token: FencingToken,
        assignments: cabc.Mapping[str, Assignment],
        removed: cabc.Collection[str],
    ) -> None:
        nonce = f"{self.rng.getrandbits(64):016x}"
        head = PlanHead(token.epoch, token.revision, nonce, self.planner)
        parts = {
            name: EnginePlan(token.epoch, token.revision, assignment)
            for name, assignment in assignments.items()
        }
        writes: list[Put | Delete] = [Put(HEAD_KEY, encode_record(head))]
        writes.append(Put(guard_key(nonce), b""))
        if self.head:
            writes.append(Delete(guard_key(self.head.nonce)))
        writes += [Put(engine_key(n), encode_record(p)) for n, p in parts.items()]
        writes += [Delete(engine_key(name)) for name in removed]
        self.head_revision = await self._swap(writes, nonce)
        self.head = head
        self.seen = token
        self.plans.update(parts)
        for name in removed:
            self.plans.pop(name, None)
        at = asyncio.get_running_loop().time()
        self.history.record(
            PlanWritten(
                at=at, epoch=token.epoch, revision=token.revision, writer=self.planner
            )
        )

    async def _swap(self, writes: cabc.Sequence[Put | Delete], nonce: str) -> int:
        """Replace the head and return its new revision in the store.

        A write whose reply is lost and that reading back does not show may still be
        under way and take effect later. Going on from the old head would then make two
        writes of one planner race. Opening again raises the epoch, and with the head
        changed the late write fails its comparison.
        """
        compares = [Compare(HEAD_KEY, self.head_revision)]
        if self.head:
            compares.append(Compare(guard_key(self.head.nonce), self.head_revision))
        try:
            result = await self.kv.txn(compares, writes)
        except KeyValueOutcomeUnknownError:
            self.head = None
            return await self._read_back(nonce)
        if not result.succeeded:
            self.head = None
            raise AuthorityLostError("Another planner has written the plan.")
        return result.revision

    async def _read_back(self, nonce: str) -> int:
        item = None
        with contextlib.suppress(KeyValueUnavailableError):
            item = await self.kv.get(HEAD_KEY)
        if item is None or _head(item).nonce != nonce:
            raise AuthorityLostError("A write of the plan has no known end.")
        return item.mod_revision


def _head(item: KeyValue) -> PlanHead:
    """Read the head record.

    :raises KeyValueUnavailableError: for what is none. Written anew without its epoch,
        the plan could fall behind what engines have obeyed.
    """
    try:
        return decode_head(item.value)
    except msgspec.DecodeError as error:
        raise KeyValueUnavailableError(
            f"The plan's head is not understood: {error}"
        ) from error


def _part(item: KeyValue) -> EnginePlan | None:
    """Read one engine's part; what is none is left out as if nobody had written it."""
    try:
        return decode_engine_plan(item.value)
    except msgspec.DecodeError as error:
        logger.warning(
            "plan is not understood", extra={"key": item.key, "error": str(error)}
        )
        return None
