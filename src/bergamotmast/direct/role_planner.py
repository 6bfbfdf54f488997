"""Planner that assigns roles to engines, run by the entry that holds its lease.

The lease alone can't exclude two concurrent planners. Each order is therefore preceded
by a compare-and-swap write of the plan, which fails once another planner has taken the
plan over, and the epoch of that write is the order's fencing token. The other entries
learn from the plan which engine is about to change its role.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import enum
import logging
import random
import typing as t

from ..errors import LeadershipLostError
from ..errors import OrderRefusedError
from ..errors import PortError
from ..model import Assignment
from ..planner.election import PlannerElection
from ..planner.election import run_until_first_ends
from ..planner.plan_store import PlanStore
from ..policy.direct_roles import DECODE_SAFETY_FACTOR
from ..policy.direct_roles import MEASURED_SAFETY_FACTOR
from ..policy.direct_roles import EngineRole
from ..policy.direct_roles import MixMeter
from ..policy.direct_roles import RoleController
from ..policy.direct_roles import RoleOrder
from .engine_times import EngineTimes
from .fleet import Fleet
from .model import Upstream
from .placer import RequestPlacer
from .upstream_records import PlannedRole

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5
"""Interval between two evaluations of the fleet."""

TERM_PAUSE_SECONDS = (1.0, 3.0)
"""Range of the random delay between two terms of one planner. Without it, a candidate
that keeps losing the plan to another would call the store continuously."""

MAX_SEQUENCE_AGE_SECONDS = 1.0
"""Maximum time in seconds between reading an engine's order sequence number and sending
the order with that number. A restart resets the number to 0 and takes at least two
seconds: with an older reading, the number might match in another incarnation."""

ORDER_OVERDUE_SECONDS = 4.0
"""Time after which an order is overdue; orders usually take about three seconds. An
engine with an overdue order is counted in neither role, so that another engine is
ordered to a role that is left without any."""

UNRESOLVED_ORDER_SECONDS = 13.0
"""How long an order without a reply may still be carried out. Until then the engine
gets no other order and is counted as changing its role."""


class OrderReply(enum.Enum):
    """An engine's reply to an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrderCommand:
    """A command to an engine to change its role.

    :param sequence: number of orders that the engine must have accepted so far. An
        order that is delivered late, after a newer one, then has no effect.
    :param holder: name of the entry that holds the planner's lease.
    :param token: fencing token; engines refuse a lower one than they have seen.
    """

    upstream: Upstream
    order: RoleOrder
    sequence: int
    holder: str
    token: int


class EngineOrders(t.Protocol):
    """Sends role orders to engines."""

    async def sequence(self, upstream: Upstream) -> int | None:
        """Return how many orders an engine has accepted; ``None`` while one is running.

        :raises PortError: if it can't be determined.
        """
        ...

    async def order(self, command: RoleOrderCommand) -> OrderReply:
        """Send an order.

        :raises OrderRefusedError: if the engine has seen a higher token.
        :raises NotReachedError: if nothing was sent.
        :raises ReplyLostError: if the order may be carried out now or later.
        """
        ...


class EngineLimits(t.Protocol):
    """Tells which engines take too few requests to count for their role."""

    def lost(
        self, group: str, engines: cabc.Collection[Upstream], now: float
    ) -> set[str]:
        """Return the names of such engines of a group."""
        ...


class Duty(t.Protocol):
    """Work that only one entry at a time does, beside the planning of roles."""

    async def run(self, epoch: int) -> None:
        """Work until cancelled.

        :param epoch: fencing token of the term, higher than those of all earlier ones.
        :raises LeadershipLostError: if another entry has taken over.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOrder:
    """An order that is not known to have been carried out.

    :param boot: incarnation of the engine that it was sent to.
    :param overdue_at: when it should have been carried out; a point in time.
    :param until: when the engine may get another order; a point in time.
    """

    order: RoleOrder
    boot: str
    overdue_at: float
    until: float


class RolePlanner:
    """Assigns roles to engines while this entry holds the planner's lease.

    :param name: name of this entry, sent with each order.
    :param hold_off_seconds: hold-off time between two holders' orders to one engine.
    :param duties: other work of the lease's holder.
    :param limits: engines that limit their requests; ``None`` to count them as whole.
    :param engine_times: measured engine time; ``None`` to go by the mix of tokens.
    :param controllers: role controllers, by group.
    :param pending: orders not known to have been carried out, by engine.
    :param hold_off_until: when the hold-off ends, by engine that another holder may
        have ordered recently; points in time.
    :param global_hold_off_until: when the hold-off ends for all engines; set after a
        restore of the store, which may have lost the last holder's orders; a point in
        time.
    """

    def __init__(
        self,
        name: str,
        election: PlannerElection,
        store: PlanStore,
        fleet: Fleet,
        placer: RequestPlacer,
        orders: EngineOrders,
        mix: MixMeter,
        hold_off_seconds: float,
        rng: random.Random,
        duties: cabc.Sequence[Duty] = (),
        limits: EngineLimits | None = None,
        engine_times: EngineTimes | None = None,
    ) -> None:
        self.engine_times = engine_times
        self.limits = limits
        self.duties = duties
        self.name = name
        self.election = election
        self.store = store
        self.fleet = fleet
        self.placer = placer
        self.orders = orders
        self.mix = mix
        self.hold_off_seconds = hold_off_seconds
        self.rng = rng
        self.controllers: dict[str, RoleController] = {}
        self.pending: dict[str, PendingOrder] = {}
        self.hold_off_until: dict[str, float] = {}
        self.global_hold_off_until = 0.0

    async def run(self) -> None:
        """Acquire the lease and plan while it is held, repeatedly, until cancelled."""
        while True:
            await self.election.acquire()
            logger.info("planner's lease is held", extra={"lease": self.election.lease})
            try:
                await self.election.run_while_held(self._serve_term())
            except (LeadershipLostError, OrderRefusedError, PortError) as error:
                logger.warning("planner gives up", extra={"error": error.message})
            except Exception:
                # An unexpected error would otherwise terminate one entry after another,
                # as each acquires the lease. Roles stay as they are, and requests are
                # still served.
                logger.exception("planner failed")
            finally:
                self.pending.clear()
                await self.election.release()
            await asyncio.sleep(self.rng.uniform(*TERM_PAUSE_SECONDS))

    async def _serve_term(self) -> None:
        """Do all work of the lease's holder."""
        known = dict(self.fleet.planned_roles)
        token = await self.store.open()
        self._set_hold_offs(known)
        logger.info(
            "plan is open",
            extra={
                "epoch": token.epoch,
                "quiet": sorted(self.hold_off_until),
                "restored": self.store.restored,
            },
        )
        duties = (duty.run(token.epoch) for duty in self.duties)
        await run_until_first_ends(self._plan(), *duties)

    async def _plan(self) -> None:
        while True:
            try:
                await self._tick()
            except OrderRefusedError:
                raise
            except PortError as error:
                # An outage, or an engine that can't be reached, only stops role
                # changes. If it lasts too long, the lease expires.
                logger.info("no order given", extra={"error": error.message})
            await asyncio.sleep(TICK_SECONDS)

    def _set_hold_offs(self, known: cabc.Mapping[str, PlannedRole]) -> None:
        """Set the hold-off of engines that another holder may have ordered recently.

        Without it, two holders that lead in turn could give one engine contradictory
        orders. The plan holds the token of each engine's last order, and this entry's
        earlier view of the plan tells how old that order is; one that it had not
        received yet counts as new.

        :param known: this entry's view before it opened the plan, by engine.
        """
        now = asyncio.get_running_loop().time()
        self.global_hold_off_until = (
            now + self.hold_off_seconds if self.store.restored else 0.0
        )
        self.hold_off_until = {}
        for name, token in self.store.tokens_at_open.items():
            planned_role = known.get(name)
            at = (
                planned_role.at if planned_role and planned_role.token == token else now
            )
            if at + self.hold_off_seconds > now:
                self.hold_off_until[name] = at + self.hold_off_seconds

    async def _tick(self) -> None:
        if not self.fleet.ready or not self.placer.decisions.role_changes:
            return
        now = asyncio.get_running_loop().time()
        for group in self.fleet.engine_groups():
            members = self.fleet.present(group, now)
            self._drop_finished_orders(members, now)
            lost = self.limits.lost(group, members, now) if self.limits else set()
            # An engine without a role, as some writers register it, can't be ordered to
            # one.
            serving = [m for m in members if m.name not in lost and m.role is not None]
            roles = [self._engine_role(member, now) for member in serving]
            engines = [role for role in roles if role is not None]
            controller = self.controllers.setdefault(group, RoleController())
            share, safety = self._decode_share(group, now), self._safety(group)
            order = controller.decide(engines, share, now, safety)
            if order is None:
                continue
            # Engines change one at a time, except if a role has no engine at all, as
            # nothing is served then.
            if order.urgent or not any(m.name in self.pending for m in members):
                chosen = next(m for m in members if m.name == order.name)
                await self._send_order(chosen, order, now)

    def _decode_share(self, group: str, now: float) -> float:
        """Return the share of a group's engine time that decode takes."""
        if self.engine_times is None:
            return self.mix.decode_share
        return self.engine_times.decode_share(group, now)

    def _safety(self, group: str) -> float:
        """Return the decode engines kept for each one that a group's mix requires."""
        measured = self.engine_times is not None and self.engine_times.is_measured(
            group
        )
        return MEASURED_SAFETY_FACTOR if measured else DECODE_SAFETY_FACTOR

    def _engine_role(self, upstream: Upstream, now: float) -> EngineRole | None:
        """Return the role that an engine has or is changing to.

        ``None`` if its order is overdue, as its role is then unknown.
        """
        pending = self.pending.get(upstream.name)
        if pending is not None:
            if now >= pending.overdue_at:
                return None
            role = pending.order.role
            return EngineRole(upstream.name, role, changing=True, build=upstream.build)
        assert upstream.role is not None
        tracker = self.placer.engine_load(upstream)
        load = tracker.running_decodes(now) + len(tracker.pending_prefills)
        hold_off_until = max(
            self.hold_off_until.get(upstream.name, 0.0), self.global_hold_off_until
        )
        at_rest = self.fleet.resting.ends_at(upstream) is not None
        may_change = now >= hold_off_until and not at_rest
        shared = self.placer.group_times(upstream.group).shared
        return EngineRole(
            upstream.name,
            upstream.role,
            load,
            may_change,
            build=upstream.build,
            time_factor=tracker.time_factor(now) if shared else 1.0,
        )

    def _drop_finished_orders(self, members: list[Upstream], now: float) -> None:
        """Drop orders that were carried out, voided by a restart, or have expired."""
        for member in members:
            pending = self.pending.get(member.name)
            if pending is None:
                continue
            done = member.role is pending.order.role or member.boot != pending.boot
            if done or now >= pending.until:
                del self.pending[member.name]

    async def _send_order(
        self, upstream: Upstream, order: RoleOrder, now: float
    ) -> None:
        loop = asyncio.get_running_loop()
        read_at = loop.time()
        sequence = await self.orders.sequence(upstream)
        if sequence is None:
            return
        await self.store.write({upstream.name: Assignment(order.role)})
        # If this process was suspended after the write, another planner may have taken
        # over. The engine can only refuse tokens lower than those that it has received.
        if not self.election.lease_is_valid:
            raise LeadershipLostError("The lease may have lapsed before the order.")
        if loop.time() - read_at > MAX_SEQUENCE_AGE_SECONDS:
            logger.info("order postponed", extra={"upstream": upstream.name})
            return
        command = RoleOrderCommand(
            upstream, order, sequence, self.name, self.store.highest_token.epoch
        )
        self.pending[upstream.name] = PendingOrder(
            order,
            upstream.boot,
            now + ORDER_OVERDUE_SECONDS,
            now + UNRESOLVED_ORDER_SECONDS,
        )
        outcome = "no reply"
        try:
            reply = await self.orders.order(command)
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
                    "token": command.token,
                    "decode_share": round(self._decode_share(upstream.group, now), 3),
                    "outcome": outcome,
                },
            )
