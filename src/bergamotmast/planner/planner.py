"""Planning loop of the process that holds the planner's lease.

The plan changes one engine of a group at a time, and only while most reports of the
group are fresh. Role changes that the bounds require come first, then changes of
models and adapters, and last the role changes that the shift policy requests.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random

from ..config.holder import ConfigHolder
from ..errors import LeadershipLostError
from ..errors import PortError
from ..model import Assignment
from ..model import Readiness
from ..model import Role
from ..model import UpstreamKind
from ..policy.interfaces import EngineView
from ..policy.interfaces import GroupSnapshot
from ..policy.interfaces import ShiftPolicy
from ..ports import WeightStore
from .convergence import ConvergenceTracker
from .election import PlannerElection
from .fleet_view import FleetView
from .fleet_view import TimedReport
from .groups import Group
from .groups import RoleShift
from .groups import bounds_allow
from .groups import count_roles
from .groups import find_groups
from .groups import find_required_shift
from .groups import group_bounds
from .pacing import WeightPacer
from .plan_store import PlanStore

TICK_SECONDS = 1.0
"""Seconds between two planning rounds."""

WEIGHT_STORE_POLL_SECONDS = 60.0
"""Maximum interval between two reads of the weight store's sizes and rate."""

MAX_STALE_SHARE = 0.25
"""Share of a group's engines without a fresh report above which nothing is changed.

In a partition, or when a process ends, many reports stop at once. The last reports
then show a load that is gone, and a change based on them would take an engine away
from where the load is now.
"""

ROLE_CHANGE_SECONDS = 8.0
"""Time for which a role change makes an engine unavailable, for the shift policy."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanChange:
    """A change of one engine's planned assignment.

    :param reason: why it is changed, for the log.
    """

    engine: str
    assignment: Assignment
    reason: str


class Planner:
    """Planner of the fleet; several processes run one, and the elected one plans.

    :param election: this candidate's part in the leader election.
    :param store: storage of the plan.
    :param holder: the configuration in force.
    :param fleet: membership and load of the fleet.
    :param policy: decides which roles to change as the mix of work shifts.
    :param weights: the weight store.
    :param rng: source of jitter.
    :param planning: whether this candidate has opened the plan and, as far as it knows,
        still holds the lease.
    """

    def __init__(
        self,
        election: PlannerElection,
        store: PlanStore,
        holder: ConfigHolder,
        fleet: FleetView,
        policy: ShiftPolicy,
        weights: WeightStore,
        rng: random.Random,
    ) -> None:
        self.election = election
        self.store = store
        self.holder = holder
        self.fleet = fleet
        self.policy = policy
        self.weights = weights
        self.rng = rng
        self.pacer = WeightPacer()
        self.convergence = ConvergenceTracker()
        self.planning = False
        self._groups_key: tuple[int, frozenset[str]] = (-1, frozenset())
        self._cached_groups: tuple[Group, ...] = ()

    async def run(self) -> None:
        """Plan whenever this candidate holds the lease, until cancelled."""
        while True:
            await self.election.acquire()
            try:
                await self.election.run_while_held(
                    self._plan(), self._poll_weight_store()
                )
            except (LeadershipLostError, PortError) as error:
                logger.warning("planner %s: %s", self.store.planner, error.message)
            finally:
                self.planning = False
                await self.election.release()

    async def _plan(self) -> None:
        self.convergence = ConvergenceTracker()
        await self.store.open()
        self.planning = True
        while True:
            try:
                await self._tick()
            except PortError as error:
                # During an outage the plan is not changed and engines keep working. If
                # the outage outlasts the lease, the planner loses the election.
                logger.info("plan not written: %s", error.message)
            await asyncio.sleep(TICK_SECONDS)

    async def _poll_weight_store(self) -> None:
        while True:
            try:
                sizes = await self.weights.sizes()
                self.pacer.configure(sizes, await self.weights.rate())
            except PortError as error:
                logger.info("weight store: %s", error.message)
            await asyncio.sleep(WEIGHT_STORE_POLL_SECONDS * self.rng.uniform(0.5, 1.0))

    async def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        self._observe(now)
        groups = self._groups()
        adopted = self._adopted(groups, now)
        reissued = self._reissued(groups, now)
        changes = self._next_changes(groups, now)
        planned = {change.engine: change.assignment for change in changes}
        written = adopted | reissued | planned
        removed = self._unconfigured_engines()
        if written or removed:
            await self.store.write(written, removed)
        for engine in reissued:
            self.convergence.reissued(engine)
        for engine in (*adopted, *planned):
            self.convergence.begin(engine, now)
        for change in changes:
            logger.info("plan of %s: %s", change.engine, change.reason)

    def _observe(self, now: float) -> None:
        for engine, plan in self.store.plans.items():
            last = self.fleet.last_report(engine)
            self.convergence.observe(engine, last, plan.assignment, now)

    def _groups(self) -> tuple[Group, ...]:
        leaving = self.fleet.leaving()
        engines = frozenset(
            info.name
            for info in self.fleet.instances()
            if info.kind is UpstreamKind.ENGINE
            and not info.leaving
            and info.name not in leaving
        )
        if self._groups_key != (self.holder.generation, engines):
            self._groups_key = (self.holder.generation, engines)
            self._cached_groups = find_groups(self.holder.current, engines)
        return self._cached_groups

    def _adopted(self, groups: tuple[Group, ...], now: float) -> dict[str, Assignment]:
        """Return the reported state, as the plan, of engines that have no plan yet.

        Planning their target state at once would change a whole group together.
        """
        adopted: dict[str, Assignment] = {}
        for group in groups:
            for engine in group.engines:
                last = self._fresh_report(engine, now)
                if engine not in self.store.plans and last and last.report.role:
                    adopted[engine] = _reported_assignment(
                        last, group, last.report.role
                    )
        return adopted

    def _reissued(self, groups: tuple[Group, ...], now: float) -> dict[str, Assignment]:
        return {
            engine: self.store.plans[engine].assignment
            for group in groups
            for engine in group.engines
            if engine in self.store.plans
            and self.convergence.needs_reissue(engine, now)
        }

    def _unconfigured_engines(self) -> list[str]:
        """Return the planned engines that the configuration no longer contains."""
        configuration = self.holder.current
        if not configuration.generation:
            return []
        return [name for name in self.store.plans if name not in configuration.labels]

    def _next_changes(self, groups: tuple[Group, ...], now: float) -> list[PlanChange]:
        """Return at most one change per selector, counting changes in progress."""
        changing = {
            selector.name
            for group in groups
            for engine in group.engines
            if self.convergence.is_changing(engine, now)
            for selector in group.selectors
        }
        changes: list[PlanChange] = []
        for group in groups:
            names = {selector.name for selector in group.selectors}
            change = self._next_change(group, groups, now, not names & changing)
            if change is not None:
                changes.append(change)
                changing |= names
        return changes

    def _next_change(
        self, group: Group, groups: tuple[Group, ...], now: float, may_change: bool
    ) -> PlanChange | None:
        """Return a group's next change.

        :param may_change: whether a change may begin. The policy is called in any
            case, so that it can follow the mix of work.
        """
        roles = {name: plan.assignment.role for name, plan in self.store.plans.items()}
        bounds = group_bounds(group, groups, roles)
        counts = count_roles(group, roles)
        snapshot = GroupSnapshot(
            group.name, self._views(group, now), bounds, ROLE_CHANGE_SECONDS
        )
        requested = self.policy.decide(snapshot, now)
        changeable = self._changeable_engines(group, now)
        if not may_change or not changeable:
            return None
        required = find_required_shift(counts, bounds)
        if required is not None:
            return self._required_change(changeable, required)
        load = self._load_change(group, changeable, now)
        if load is not None or requested is None or requested.engine not in changeable:
            return load
        if not bounds_allow(
            RoleShift(roles[requested.engine], requested.role), counts, bounds
        ):
            return None
        return self._role_change(requested.engine, requested.role, requested.reason)

    def _required_change(
        self, changeable: list[str], required: RoleShift
    ) -> PlanChange | None:
        for engine in changeable:
            if self.store.plans[engine].assignment.role is required.source:
                return self._role_change(engine, required.target, "role bounds")
        return None

    def _role_change(self, engine: str, role: Role, reason: str) -> PlanChange:
        assignment = dataclasses.replace(self.store.plans[engine].assignment, role=role)
        return PlanChange(engine, assignment, f"{role.value}: {reason}")

    def _load_change(
        self, group: Group, changeable: list[str], now: float
    ) -> PlanChange | None:
        """Return a change to the group's models and adapters, if a load may begin."""
        if not self.pacer.may_begin(now):
            return None
        for engine in changeable:
            plan = self.store.plans[engine].assignment
            wanted = Assignment(plan.role, group.models, group.adapters)
            if wanted != plan:
                present = {*plan.models, *plan.adapters}
                loads = (*wanted.models, *wanted.adapters)
                loads = tuple(version for version in loads if version not in present)
                self.pacer.begin(loads, now)
                return PlanChange(engine, wanted, f"carries {', '.join(loads)}")
        return None

    def _changeable_engines(self, group: Group, now: float) -> list[str]:
        """Return the engines that can be changed, least loaded first.

        Returns none if too many reports of the group are stale.
        """
        fresh = {
            engine: last
            for engine in group.engines
            if (last := self._fresh_report(engine, now)) is not None
        }
        if len(group.engines) - len(fresh) > MAX_STALE_SHARE * len(group.engines):
            return []
        ready = [
            engine
            for engine, last in fresh.items()
            if last.report.readiness is Readiness.READY and engine in self.store.plans
        ]
        return sorted(ready, key=lambda engine: _load(fresh[engine]))

    def _views(self, group: Group, now: float) -> tuple[EngineView, ...]:
        zones = {info.name: info.zone for info in self.fleet.instances()}
        views = []
        for engine in group.engines:
            plan = self.store.plans.get(engine)
            if plan is None:
                continue
            last = self.fleet.last_report(engine)
            views.append(
                EngineView(
                    engine,
                    zones.get(engine, ""),
                    last.report if last else None,
                    last.at if last else 0.0,
                    plan.assignment.role,
                    self.convergence.is_changing(engine, now),
                    last.fresh_until if last else 0.0,
                )
            )
        return tuple(views)

    def _fresh_report(self, engine: str, now: float) -> TimedReport | None:
        last = self.fleet.last_report(engine)
        return last if last and now <= last.fresh_until else None


def _load(last: TimedReport) -> int:
    """Return the number of an engine's running decodes and queued requests."""
    report = last.report
    return report.running_decode + report.queued_prefill + report.queued_decode


def _reported_assignment(last: TimedReport, group: Group, role: Role) -> Assignment:
    """Return the assignment that an engine reports.

    Reports list models and adapters together; the group's adapters tell them apart.
    """
    carried = sorted(last.report.models)
    return Assignment(
        role,
        tuple(item for item in carried if item not in group.adapters),
        tuple(item for item in carried if item in group.adapters),
    )
