"""Gives engines their roles, in whichever entry holds the planner's lease.

Authority is the product's own: the lease keeps two planners apart most of the time,
and each order is preceded by a write of the plan that fails once another planner has
taken it. The epoch of that write is the order's fencing token. The plan also tells
every other entry which engine is about to change.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import enum
import logging
import random
import typing as t

from ..errors import AuthorityLostError
from ..errors import OrderRefusedError
from ..errors import PortError
from ..model import Assignment
from ..planner.election import PlannerElection
from ..planner.plan_store import PlanStore
from ..policy.direct_roles import EngineRole
from ..policy.direct_roles import MixMeter
from ..policy.direct_roles import RoleController
from ..policy.direct_roles import RoleOrder
from .fleet import Fleet
from .fleet import Planned
from .model import Upstream
from .placing import Placing

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5
"""Between two looks at the fleet."""

PAUSE_SECONDS = (1.0, 3.0)
"""Between two terms of one planner: a candidate that keeps losing the plan to another
would otherwise call the store without end."""

MOST_READING_AGE = 1.0
"""Seconds from the reading of an engine's count of orders to the order for just that
count. An engine that restarts counts from 0 again and takes two seconds at least: an
order on an older reading might meet the same count in another life."""

OVERDUE_SECONDS = 4.0
"""An order is usually carried out within some three seconds. An engine that has not
by then is not counted on in either role: where a role has no other, another engine is
ordered to it."""

UNRESOLVED_SECONDS = 13.0
"""An order without a reply may be carried out so much later; the engine gets no other
one until then, and is counted as changing."""


class OrderReply(enum.Enum):
    """What an engine says to an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrderCall:
    """An order as an engine gets it.

    :param sequence: orders that the engine must have taken before, and no more: an
        order that is carried out late, after a newer one, then changes nothing.
    :param holder: name of this machine.
    :param token: authority; engines refuse a lower one than they have seen.
    """

    upstream: Upstream
    order: RoleOrder
    sequence: int
    holder: str
    token: int


class EngineOrders(t.Protocol):
    """Gives orders to engines."""

    async def sequence(self, upstream: Upstream) -> int | None:
        """Return how many orders an engine has taken; ``None`` while one is going on.

        :raises PortError: if it can't be told.
        """
        ...

    async def order(self, call: RoleOrderCall) -> OrderReply:
        """Give an order.

        :raises OrderRefusedError: if the engine has seen a higher token.
        :raises NotReachedError: if nothing was sent.
        :raises ReplyLostError: if the order may be carried out now or later.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """An order whose end has not been seen.

    :param overdue_at: when it should have been carried out; a point in time.
    :param until: when the engine may get another one; a point in time.
    """

    order: RoleOrder
    boot: str
    overdue_at: float
    until: float


class RolePlanner:
    """One entry's share in planning.

    :param name: of this machine, as orders carry it.
    :param quiet_seconds: pause between the orders of two holders to one engine.
    :param quiet_until: when an engine that another holder may have ordered lately may
        get this one's first order; points in time.
    :param all_quiet_until: when any engine may get its first order; set when a restore
        of the store may have lost the last holder's orders; a point in time.
    """

    def __init__(
        self,
        name: str,
        election: PlannerElection,
        store: PlanStore,
        fleet: Fleet,
        placing: Placing,
        orders: EngineOrders,
        mix: MixMeter,
        quiet_seconds: float,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.election = election
        self.store = store
        self.fleet = fleet
        self.placing = placing
        self.orders = orders
        self.mix = mix
        self.quiet_seconds = quiet_seconds
        self.rng = rng
        self.controllers: dict[str, RoleController] = {}
        self.pending: dict[str, Pending] = {}
        self.quiet_until: dict[str, float] = {}
        self.all_quiet_until = 0.0

    async def run(self) -> None:
        """Plan whenever this entry holds the lease, until cancelled."""
        while True:
            await self.election.acquire()
            logger.info("planner's lease is held", extra={"lease": self.election.lease})
            try:
                await self.election.run_while_held(self._plan())
            except (AuthorityLostError, OrderRefusedError, PortError) as error:
                logger.warning("planner gives up", extra={"error": error.message})
            except Exception:
                # A fault in planning would otherwise end one entry after the other, as
                # each takes the lease. Roles stay as they are, and requests are served.
                logger.exception("planner has failed")
            finally:
                self.pending.clear()
                await self.election.release()
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def _plan(self) -> None:
        known = dict(self.fleet.planned)
        token = await self.store.open()
        self._leave_quiet(known)
        logger.info(
            "plan is open",
            extra={
                "epoch": token.epoch,
                "quiet": sorted(self.quiet_until),
                "restored": self.store.restored,
            },
        )
        while True:
            try:
                await self._tick()
            except OrderRefusedError:
                raise
            except PortError as error:
                # An outage, or an engine that can't be reached, stops changes of roles
                # and nothing else; the lease tells when it has lasted too long.
                logger.info("no order given", extra={"error": error.message})
            await asyncio.sleep(TICK_SECONDS)

    def _leave_quiet(self, known: cabc.Mapping[str, Planned]) -> None:
        """Note which engines another holder may have ordered a moment ago.

        Two holders that take turns at one engine would leave it torn between them. The
        plan as it was found tells each engine's last order, and what this entry knew
        before tells how old that is; one that it did not know of counts as new.
        """
        now = asyncio.get_running_loop().time()
        self.all_quiet_until = now + self.quiet_seconds if self.store.restored else 0.0
        self.quiet_until = {}
        for name, token in self.store.tokens_at_open.items():
            planned = known.get(name)
            at = planned.at if planned and planned.token == token else now
            if at + self.quiet_seconds > now:
                self.quiet_until[name] = at + self.quiet_seconds

    async def _tick(self) -> None:
        if not self.fleet.ready or not self.placing.decisions.role_changes:
            return
        now = asyncio.get_running_loop().time()
        for group in self.fleet.engine_groups():
            members = self.fleet.present(group, now)
            self._settle(members, now)
            found = [self._engine_role(member, now) for member in members]
            engines = [engine for engine in found if engine is not None]
            controller = self.controllers.setdefault(group, RoleController())
            order = controller.decide(engines, self.mix.decode_share, now)
            if order is None:
                continue
            # Engines change one at a time. Only where a role has no engine at all, and
            # nothing is served, the order for one does not wait.
            if order.urgent or not any(m.name in self.pending for m in members):
                chosen = next(m for m in members if m.name == order.name)
                await self._give(chosen, order, now)

    def _engine_role(self, upstream: Upstream, now: float) -> EngineRole | None:
        """Return the role that an engine has or is on its way to.

        ``None`` where an order is overdue: nobody can tell what becomes of the engine.
        """
        pending = self.pending.get(upstream.name)
        if pending is not None:
            if now >= pending.overdue_at:
                return None
            return EngineRole(upstream.name, pending.order.role, changing=True)
        assert upstream.role is not None
        book = self.placing.engine_load(upstream)
        load = book.running_decodes(now) + len(book.pending_prefills)
        quiet_until = max(
            self.quiet_until.get(upstream.name, 0.0), self.all_quiet_until
        )
        may_change = now >= quiet_until
        return EngineRole(upstream.name, upstream.role, load, may_change)

    def _settle(self, members: list[Upstream], now: float) -> None:
        """Forget orders that are carried out, void by a restart, or long overdue."""
        for member in members:
            pending = self.pending.get(member.name)
            if pending is None:
                continue
            done = member.role is pending.order.role or member.boot != pending.boot
            if done or now >= pending.until:
                del self.pending[member.name]

    async def _give(self, upstream: Upstream, order: RoleOrder, now: float) -> None:
        loop = asyncio.get_running_loop()
        read_at = loop.time()
        sequence = await self.orders.sequence(upstream)
        if sequence is None:
            return
        await self.store.write({upstream.name: Assignment(order.role)})
        # Paused between the write and here, this machine would order on an authority
        # that another one has taken over meanwhile. The engine's own check knows only
        # tokens that have reached it.
        if not self.election.lease_is_valid:
            raise AuthorityLostError("The lease may have lapsed before the order.")
        if loop.time() - read_at > MOST_READING_AGE:
            logger.info("order is put off", extra={"upstream": upstream.name})
            return
        call = RoleOrderCall(
            upstream, order, sequence, self.name, self.store.highest_token.epoch
        )
        self.pending[upstream.name] = Pending(
            order, upstream.boot, now + OVERDUE_SECONDS, now + UNRESOLVED_SECONDS
        )
        outcome = "no reply"
        try:
            reply = await self.orders.order(call)
            outcome = reply.value
            if reply is not OrderReply.TAKEN:
                del self.pending[upstream.name]
        finally:
            logger.info(
                "order given",
                extra={
                    "upstream": upstream.name,
                    "role": order.role.value,
                    "reason": order.reason,
                    "sequence": sequence,
                    "token": call.token,
                    "decode_share": round(self.mix.decode_share, 3),
                    "outcome": outcome,
                },
            )
