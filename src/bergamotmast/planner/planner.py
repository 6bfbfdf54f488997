"""The task that plans the fleet, in whichever process holds the planner's lease.

The plan changes one engine of a group at a time, and only on a fresh picture: first
what the role bounds ask for, then what engines should carry, and last what the shift
policy wants of the mix.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random

from ..config.holder import ConfigHolder
from ..errors import AuthorityLostError
from ..errors import PortError
from ..model import Assignment
from ..model import Readiness
from ..model import Role
from ..model import UpstreamKind
from ..policy.interfaces import EngineView
from ..policy.interfaces import GroupSnapshot
from ..policy.interfaces import ShiftPolicy
from ..ports import WeightStore
from .authority import Authority
from .fleet_view import FleetView
from .fleet_view import TimedReport
from .groups import Group
from .groups import Repair
from .groups import allows
from .groups import count_roles
from .groups import find_groups
from .groups import find_repair
from .groups import group_bounds
from .pacing import WeightPacer
from .plan_store import PlanStore
from .settling import Settling

TICK_SECONDS = 1.0
"""Between two looks at the fleet."""

WEIGHTS_SECONDS = 60.0
"""Between two readings of the weight store's sizes and rate."""

MAX_STALE_SHARE = 0.25
"""Share of a group's engines without a fresh report above which it is left alone.

With a partition or the end of a process, reports stop together. The picture then
shows a load that is gone, and a change made on it takes an engine from whoever has
the work now.
"""

ROLE_CHANGE_SECONDS = 8.0
"""How long a role change takes an engine away, as the shift policy is told."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanChange:
    """One engine's next assignment.

    :param reason: for the log.
    """

    engine: str
    assignment: Assignment
    reason: str


class Planner:
    """One candidate for planning the fleet.

    :param authority: its share in the lease.
    :param store: the plan.
    :param holder: the configuration in force.
    :param fleet: membership and load picture.
    :param policy: when roles follow the mix.
    :param weights: the weight store.
    :param rng: source of jitter.
    :param planning: whether it plans now, as far as it knows.
    """

    def __init__(
        self,
        authority: Authority,
        store: PlanStore,
        holder: ConfigHolder,
        fleet: FleetView,
        policy: ShiftPolicy,
        weights: WeightStore,
        rng: random.Random,
    ) -> None:
        self.authority = authority
        self.store = store
        self.holder = holder
        self.fleet = fleet
        self.policy = policy
        self.weights = weights
        self.rng = rng
        self.pacer = WeightPacer()
        self.settling = Settling()
        self.planning = False
        self._grouped: tuple[int, frozenset[str]] = (-1, frozenset())
        self._found: tuple[Group, ...] = ()

    async def run(self) -> None:
        """Plan whenever this candidate holds the lease, until cancelled."""
        while True:
            await self.authority.acquire()
            try:
                await self.authority.while_held(self._plan(), self._follow_weights())
            except (AuthorityLostError, PortError) as error:
                logger.warning("planner %s: %s", self.store.planner, error.message)
            finally:
                self.planning = False
                await self.authority.release()

    async def _plan(self) -> None:
        self.settling = Settling()
        await self.store.open()
        self.planning = True
        while True:
            try:
                await self._tick()
            except PortError as error:
                # An outage stops changes of the plan and nothing else; the lease
                # tells when it has lasted too long.
                logger.info("plan not written: %s", error.message)
            await asyncio.sleep(TICK_SECONDS)

    async def _follow_weights(self) -> None:
        while True:
            try:
                sizes = await self.weights.sizes()
                self.pacer.configure(sizes, await self.weights.rate())
            except PortError as error:
                logger.info("weight store: %s", error.message)
            await asyncio.sleep(WEIGHTS_SECONDS * self.rng.uniform(0.5, 1.0))

    async def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        self._observe(now)
        groups = self._groups()
        adopted = self._adopted(groups, now)
        reissued = self._reissued(groups, now)
        changes = self._changes(groups, now)
        planned = {change.engine: change.assignment for change in changes}
        written = adopted | reissued | planned
        removed = self._forgotten()
        if written or removed:
            await self.store.write(written, removed)
        for engine in reissued:
            self.settling.reissued(engine)
        for engine in (*adopted, *planned):
            self.settling.begin(engine, now)
        for change in changes:
            logger.info("plan of %s: %s", change.engine, change.reason)

    def _observe(self, now: float) -> None:
        for engine, part in self.store.plans.items():
            word = self.fleet.last_report(engine)
            self.settling.observe(engine, word, part.assignment, now)

    def _groups(self) -> tuple[Group, ...]:
        leaving = self.fleet.leaving()
        engines = frozenset(
            info.name
            for info in self.fleet.instances()
            if info.kind is UpstreamKind.ENGINE
            and not info.leaving
            and info.name not in leaving
        )
        if self._grouped != (self.holder.generation, engines):
            self._grouped = (self.holder.generation, engines)
            self._found = find_groups(self.holder.current, engines)
        return self._found

    def _adopted(self, groups: tuple[Group, ...], now: float) -> dict[str, Assignment]:
        """Return plans for engines that have none yet: what they are.

        Planning what they should be at once would change a whole group together.
        """
        adopted: dict[str, Assignment] = {}
        for group in groups:
            for engine in group.engines:
                word = self._fresh(engine, now)
                if engine not in self.store.plans and word and word.report.role:
                    adopted[engine] = _reported(word, group, word.report.role)
        return adopted

    def _reissued(self, groups: tuple[Group, ...], now: float) -> dict[str, Assignment]:
        return {
            engine: self.store.plans[engine].assignment
            for group in groups
            for engine in group.engines
            if engine in self.store.plans and self.settling.needs_reissue(engine, now)
        }

    def _forgotten(self) -> list[str]:
        """Return engines in the plan that the configuration does not name any more."""
        configuration = self.holder.current
        if not configuration.generation:
            return []
        return [name for name in self.store.plans if name not in configuration.labels]

    def _changes(self, groups: tuple[Group, ...], now: float) -> list[PlanChange]:
        """Return at most one change for each selector's engines."""
        busy = {
            selector.name
            for group in groups
            for engine in group.engines
            if self.settling.is_changing(engine, now)
            for selector in group.selectors
        }
        changes: list[PlanChange] = []
        for group in groups:
            names = {selector.name for selector in group.selectors}
            change = self._change(group, groups, now, not names & busy)
            if change is not None:
                changes.append(change)
                busy |= names
        return changes

    def _change(
        self, group: Group, groups: tuple[Group, ...], now: float, free: bool
    ) -> PlanChange | None:
        """Return a group's next change.

        :param free: whether one may begin; the policy learns of the mix in any case.
        """
        roles = {name: part.assignment.role for name, part in self.store.plans.items()}
        bounds = group_bounds(group, groups, roles)
        counts = count_roles(group, roles)
        picture = GroupSnapshot(
            group.name, self._views(group, now), bounds, ROLE_CHANGE_SECONDS
        )
        wish = self.policy.decide(picture, now)
        able = self._able(group, now)
        if not free or not able:
            return None
        repair = find_repair(counts, bounds)
        if repair is not None:
            return self._repair(able, repair)
        carry = self._carry(group, able, now)
        if carry is not None or wish is None or wish.engine not in able:
            return carry
        if not allows(Repair(roles[wish.engine], wish.role), counts, bounds):
            return None
        return self._role_change(wish.engine, wish.role, wish.reason)

    def _repair(self, able: list[str], repair: Repair) -> PlanChange | None:
        for engine in able:
            if self.store.plans[engine].assignment.role is repair.source:
                return self._role_change(engine, repair.target, "role bounds")
        return None

    def _role_change(self, engine: str, role: Role, reason: str) -> PlanChange:
        assignment = dataclasses.replace(self.store.plans[engine].assignment, role=role)
        return PlanChange(engine, assignment, f"{role.value}: {reason}")

    def _carry(self, group: Group, able: list[str], now: float) -> PlanChange | None:
        if not self.pacer.may_begin(now):
            return None
        for engine in able:
            plan = self.store.plans[engine].assignment
            wanted = Assignment(plan.role, group.models, group.adapters)
            if wanted != plan:
                held = {*plan.models, *plan.adapters}
                loads = (*wanted.models, *wanted.adapters)
                loads = tuple(version for version in loads if version not in held)
                self.pacer.begin(loads, now)
                return PlanChange(engine, wanted, f"carries {', '.join(loads)}")
        return None

    def _able(self, group: Group, now: float) -> list[str]:
        """Return the engines that can be changed, least busy first.

        None where too much of the picture is stale.
        """
        fresh = {
            engine: word
            for engine in group.engines
            if (word := self._fresh(engine, now)) is not None
        }
        if len(group.engines) - len(fresh) > MAX_STALE_SHARE * len(group.engines):
            return []
        ready = [
            engine
            for engine, word in fresh.items()
            if word.report.readiness is Readiness.READY and engine in self.store.plans
        ]
        return sorted(ready, key=lambda engine: _busyness(fresh[engine]))

    def _views(self, group: Group, now: float) -> tuple[EngineView, ...]:
        zones = {info.name: info.zone for info in self.fleet.instances()}
        views = []
        for engine in group.engines:
            part = self.store.plans.get(engine)
            if part is None:
                continue
            word = self.fleet.last_report(engine)
            views.append(
                EngineView(
                    engine,
                    zones.get(engine, ""),
                    word.report if word else None,
                    word.at if word else 0.0,
                    part.assignment.role,
                    self.settling.is_changing(engine, now),
                    word.fresh_until if word else 0.0,
                )
            )
        return tuple(views)

    def _fresh(self, engine: str, now: float) -> TimedReport | None:
        word = self.fleet.last_report(engine)
        return word if word and now <= word.fresh_until else None


def _busyness(word: TimedReport) -> int:
    report = word.report
    return report.running_decode + report.queued_prefill + report.queued_decode


def _reported(word: TimedReport, group: Group, role: Role) -> Assignment:
    """Return what an engine says it is; a side does not tell models from adapters."""
    carried = sorted(word.report.models)
    return Assignment(
        role,
        tuple(item for item in carried if item not in group.adapters),
        tuple(item for item in carried if item in group.adapters),
    )
