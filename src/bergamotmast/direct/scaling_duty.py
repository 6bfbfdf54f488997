"""Orders of numbers of replicas from the platform, by the planner's holder.

A number is recorded in the key-value service before it is sent. A call without a reply
may take effect seconds later, also after newer ones: the number in force is sent again
once that can't happen any more.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import logging
import math
import random
import typing as t

from ..backoff import Backoff
from ..errors import OrderRefusedError
from ..model import ReplicaBounds
from ..policy.replica_count import LastOrder
from ..policy.replica_count import ReplicaCount
from ..policy.replica_count import ZoneLoad
from ..telemetry import Telemetry
from .fenced_call import CallOutcome
from .fenced_call import FencedReply
from .fenced_call import Lease
from .fenced_call import call_while_held
from .fleet import Fleet
from .model import Group
from .model import Upstream
from .reported_loads import Capacity
from .reported_loads import ReportedLoads
from .reported_loads import slots_of
from .scaling_record import RecordedOrder
from .scaling_record import ScalingRecord
from .scaling_record import ScalingRecordStore

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5
"""Interval between two decisions. One order at most is sent in each, so that all
together are two a second."""

MAX_RETRY_DELAY_SECONDS = 5.0
"""Maximum delay between two calls to a platform that does not accept them."""

UNANSWERED_SECONDS = 10.0
"""Time in which a call without a reply may still take effect."""

MAX_DECISION_AGE_SECONDS = 2.0
"""Age up to which a decision is sent, as a slow store may delay the record of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A group in one availability zone."""

    group: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingOrder:
    """An order of a number of replicas.

    :param holder: name of the entry that gives it.
    :param token: fencing token; the platform refuses a lower one than it has seen.
    """

    subject: Subject
    count: int
    holder: str
    token: int


class ScalingSink(t.Protocol):
    """Receives orders of numbers of replicas."""

    async def order(self, order: ScalingOrder) -> FencedReply:
        """Send an order.

        :raises NotReachedError: if nothing was sent.
        :raises PortError: if it may take effect now or later.
        """
        ...


@dataclasses.dataclass(slots=True)
class SubjectState:
    """What the holder knows of a subject in its term.

    :param ordered_at: when the last order was given or learned of; a point in time.
    :param send_at: when the last order has to be sent again; a point in time.
    :param unanswered: until when calls without a reply may take effect, by number;
        points in time.
    """

    decider: ReplicaCount = dataclasses.field(default_factory=ReplicaCount)
    ordered_at: float = -math.inf
    send_at: float = math.inf
    unanswered: dict[int, float] = dataclasses.field(default_factory=dict)

    def others_end_at(self, count: int, now: float) -> float | None:
        """Return when no call for another number can take effect any more.

        ``None`` if none can now.
        """
        self.unanswered = {n: at for n, at in self.unanswered.items() if at > now}
        ends = [at for n, at in self.unanswered.items() if n != count]
        return max(ends, default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class _Due:
    """An order to send, and what it was decided by."""

    subject: Subject
    count: int
    zone_load: ZoneLoad
    decided_at: float

    @property
    def urgency(self) -> int:
        """How many replicas it adds; the highest goes first."""
        return self.count - self.zone_load.replicas


class ScalingDuty:
    """Orders replicas while this entry holds the planner's lease.

    :param name: name of this entry.
    :param hold_off_seconds: time from the start of a term to its first order, so that
        two holders do not take turns.
    :param capacity: how many requests an upstream takes at a time.
    :param states: what is known of each subject in this term.
    :param retry_at: when the next order may be sent; a point in time.
    """

    def __init__(
        self,
        name: str,
        lease: Lease,
        records: ScalingRecordStore,
        fleet: Fleet,
        loads: ReportedLoads,
        sink: ScalingSink,
        hold_off_seconds: float,
        rng: random.Random,
        telemetry: Telemetry,
        capacity: Capacity = slots_of,
    ) -> None:
        self.name = name
        self.lease = lease
        self.records = records
        self.fleet = fleet
        self.loads = loads
        self.sink = sink
        self.hold_off_seconds = hold_off_seconds
        self.backoff = Backoff(rng, initial=0.5, maximum=MAX_RETRY_DELAY_SECONDS)
        self.telemetry = telemetry
        self.capacity = capacity
        self.states: dict[Subject, SubjectState] = {}
        self.retry_at = 0.0

    async def run(self, epoch: int) -> None:
        """Order replicas until cancelled.

        :param epoch: fencing token of the term.
        :raises LeadershipLostError: if another entry has taken over.
        :raises OrderRefusedError: if the platform has seen a higher token.
        """
        self.retry_at = _now() + self.hold_off_seconds
        self.states = {}
        self.backoff.reset()
        while not self._scaled_groups():
            await asyncio.sleep(TICK_SECONDS)
        await self.records.read_when_available()
        self._learn_orders()
        while True:
            await self._tick(epoch)
            await asyncio.sleep(TICK_SECONDS)

    def _scaled_groups(self) -> list[tuple[Group, ReplicaBounds]]:
        if not self.fleet.ready:
            return []
        assert self.fleet.table is not None
        groups = self.fleet.table.routing.groups.values()
        return [
            (group, group.scaling)
            for group in groups
            if group.scaling is not None and group.scaling.are_valid
        ]

    def _learn_orders(self) -> None:
        """Take over the orders of the former holder, which may have been killed."""
        now = _now()
        for group, zones in self.records.record.orders.items():
            for zone, order in zones.items():
                state = self.states[Subject(group, zone)] = SubjectState(ordered_at=now)
                if not order.settled:
                    state.send_at = now
                    state.unanswered[order.count] = now + UNANSWERED_SECONDS

    async def _tick(self, epoch: int) -> None:
        """Decide for all subjects, and send the most urgent order."""
        if not self.fleet.in_sync:
            return
        due = list(self._decide(_now()))
        if due and _now() >= self.retry_at:
            await self._order(max(due, key=lambda order: order.urgency), epoch)

    def _decide(self, now: float) -> cabc.Iterator[_Due]:
        for group, bounds in self._scaled_groups():
            zones: dict[str, list[Upstream]] = collections.defaultdict(list)
            for upstream in self.fleet.present(group.name, now):
                zones[upstream.zone].append(upstream)
            for zone in sorted(zones.keys() | self._recorded_zones(group.name)):
                subject = Subject(group.name, zone)
                load = self._zone_load(zones[zone], now)
                count = self._due_count(subject, load, bounds, now)
                if count is not None:
                    yield _Due(subject, count, load, now)

    def _recorded_zones(self, group: str) -> cabc.Set[str]:
        return self.records.record.orders.get(group, {}).keys()

    def _zone_load(self, upstreams: cabc.Sequence[Upstream], now: float) -> ZoneLoad:
        if not upstreams:
            return ZoneLoad(0, None, 1.0)
        capacity = sum(map(self.capacity, upstreams)) / len(upstreams)
        load = self.loads.total(upstreams, self.capacity, now)
        return ZoneLoad(len(upstreams), load, capacity)

    def _due_count(
        self, subject: Subject, load: ZoneLoad, bounds: ReplicaBounds, now: float
    ) -> int | None:
        """Return the number to order: a new one, or the last one again."""
        state = self.states.setdefault(subject, SubjectState())
        recorded = self.records.record.order(subject.group, subject.zone)
        last = LastOrder(recorded.count, state.ordered_at) if recorded else None
        count = state.decider.decide(load, bounds, last, now)
        if count is None and recorded is not None and now >= state.send_at:
            return recorded.count
        return count

    async def _order(self, due: _Due, epoch: int) -> None:
        state = self.states[due.subject]
        before = self.records.record.order(due.subject.group, due.subject.zone)
        if before != RecordedOrder(due.count) or self.records.record.epoch != epoch:
            await self._record(due.subject, RecordedOrder(due.count), epoch)
        if _now() - due.decided_at > MAX_DECISION_AGE_SECONDS:
            # Nothing was sent. The next decision starts from what was ordered before.
            await self._record(due.subject, before, epoch)
            return
        state.send_at = _now()
        order = ScalingOrder(due.subject, due.count, self.name, epoch)
        outcome = await call_while_held(self.lease, lambda: self.sink.order(order))
        self._log(due, epoch, before, outcome)
        if outcome.reply is FencedReply.FENCED:
            raise OrderRefusedError("the platform has seen a higher fencing token")
        state.ordered_at = _now()
        if outcome.reply is FencedReply.RETRY:
            if outcome.sent:
                state.unanswered[due.count] = _now() + UNANSWERED_SECONDS
            self.retry_at = _now() + self.backoff.next_delay()
            return
        self.backoff.reset()
        await self._on_accepted(due, epoch)

    async def _on_accepted(self, due: _Due, epoch: int) -> None:
        state = self.states[due.subject]
        others_end_at = state.others_end_at(due.count, _now())
        if others_end_at is not None:
            state.send_at = others_end_at
            return
        state.send_at = math.inf
        await self._record(due.subject, RecordedOrder(due.count, settled=True), epoch)

    async def _record(
        self, subject: Subject, order: RecordedOrder | None, epoch: int
    ) -> None:
        """Write an order, and drop those of groups that are not scaled any more.

        :param order: ``None`` to drop the subject's.
        """
        scaled = {group.name for group, _ in self._scaled_groups()}
        orders = {
            group: dict(zones)
            for group, zones in self.records.record.orders.items()
            if group in scaled
        }
        zones = orders.setdefault(subject.group, {})
        zones.pop(subject.zone, None)
        if order is not None:
            zones[subject.zone] = order
        await self.records.write(ScalingRecord(self.name, epoch, orders))

    def _log(
        self,
        due: _Due,
        epoch: int,
        before: RecordedOrder | None,
        outcome: CallOutcome,
    ) -> None:
        self.telemetry.on_scaling_order(due.subject.group, outcome.reply.value)
        load = due.zone_load.load
        logger.info(
            "replicas are ordered",
            extra={
                "group": due.subject.group,
                "zone": due.subject.zone,
                "count": due.count,
                "before": before.count if before else None,
                "replicas": due.zone_load.replicas,
                "load": None if load is None else round(load, 1),
                "token": epoch,
                "outcome": outcome.text,
            },
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
