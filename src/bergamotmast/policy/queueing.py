"""Which waiting item starts next: class priority, then tenants' shares, then deadline.

Load pattern: a few tenants bring most of the load; a burst of short checks arrives
behind long appraisals; saturation lasts.

Without it: the tenant that sends most is served most and the others' requests expire
behind it; checks wait minutes for an answer of one token; or, with strict priority,
long work never runs while checks keep coming.

Thresholds: within a priority, tenants share by start-time fair queueing on token cost
over weight, so a tenant's wait depends on its own backlog and its share alone. A lower
priority that waits is owed :data:`LOWER_PRIORITY_SHARE` of the work started, which
leaves the upper ones theirs as long as they ask for no more than the rest. They claim
it only after half of their allowed wait (:data:`MIN_WAITED_SHARE`), so that a burst of
short checks still comes in time between long answers. A tenant's place in the accounts
is dropped once it would not differ from a newcomer's, which bounds them by the tenants
of the last moments.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from ..model import Cost
from ..model import Priority
from .interfaces import QueueItem

LOWER_PRIORITY_SHARE = 0.5
"""Share of started work owed to each lower priority while it waits."""

MIN_WAITED_SHARE = 0.5
"""Share of its allowed wait after which an item may claim what it is owed.

A burst of checks that ends sooner is let through whole, at no loss to the long work.
"""

MAX_DEFICIT_SECONDS = 5.0
"""Engine-seconds that can be owed to a lower priority at most."""

MAX_IDLE_ACCOUNTS = 256
"""Accounts of tenants without waiting work that are kept before they are dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """What an upstream does in a second, in tokens."""

    prefill: float
    decode: float

    def seconds(self, cost: Cost) -> float:
        """Return the upstream's time that a cost takes."""
        return cost.prefill / self.prefill + cost.decode / self.decode


@dataclasses.dataclass(frozen=True, slots=True)
class WorkAhead:
    """Work that will start before a new item.

    :param count: how many items; a share of a tenant's lane may count.
    """

    count: float
    prefill: float
    decode: float


def _urgency(item: QueueItem) -> tuple[bool, float]:
    return not item.goes_first, item.deadline


def _lane_order(item: QueueItem) -> tuple[bool, float, float, str]:
    return *_urgency(item), item.arrived_at, item.attempt


class TenantQueue:
    """The waiting items of one tenant at one priority, earliest deadline first.

    :param seconds: upstream's time of all of them.
    """

    def __init__(self) -> None:
        self.items: list[QueueItem] = []
        self.seconds = 0.0
        self.prefill = 0
        self.decode = 0

    def add(self, item: QueueItem, seconds: float) -> None:
        """Put an item in its place."""
        self.items.append(item)
        self.items.sort(key=_lane_order)
        self.seconds += seconds
        self.prefill += item.cost.prefill
        self.decode += item.cost.decode

    def remove(self, item: QueueItem, seconds: float) -> None:
        """Take an item out."""
        self.items.remove(item)
        self.seconds = max(0.0, self.seconds - seconds)
        self.prefill -= item.cost.prefill
        self.decode -= item.cost.decode


class FairQueue:
    """Waiting items of all priorities and tenants.

    :param rates: the upstream's rates, by which costs become its time.
    :param lower_priority_share: share of started work owed to lower priorities.
    :param min_waited_share: share of its allowed wait that an item waits before it is
        owed.
    """

    def __init__(
        self,
        rates: Rates,
        fair: bool = True,
        lower_priority_share: float = LOWER_PRIORITY_SHARE,
        min_waited_share: float = MIN_WAITED_SHARE,
    ) -> None:
        self.rates = rates
        self.fair = fair
        self.lower_priority_share = lower_priority_share
        self.min_waited_share = min_waited_share
        self.lanes: dict[Priority, dict[str, TenantQueue]] = {p: {} for p in Priority}
        self.items: dict[str, tuple[QueueItem, float]] = {}
        self.virtual_finish: dict[str, float] = {}
        self.virtual_time = 0.0
        self.deficits: dict[Priority, float] = dict.fromkeys(Priority, 0.0)

    def __len__(self) -> int:
        return len(self.items)

    def count(self, priority: Priority) -> int:
        """Return how many items of a priority wait."""
        return sum(len(lane.items) for lane in self.lanes[priority].values())

    def add(self, item: QueueItem) -> None:
        """Put an item in."""
        seconds = self.rates.seconds(item.cost)
        self.items[item.attempt] = (item, seconds)
        lane = self.lanes[item.priority].setdefault(self._tenant(item), TenantQueue())
        lane.add(item, seconds)

    def _tenant(self, item: QueueItem) -> str:
        return item.tenant if self.fair else ""

    def remove(self, attempt: str) -> QueueItem | None:
        """Take an item out, or return ``None`` if it is not waiting."""
        found = self.items.pop(attempt, None)
        if found is None:
            return None
        item, seconds = found
        lanes = self.lanes[item.priority]
        lane = lanes[self._tenant(item)]
        lane.remove(item, seconds)
        if not lane.items:
            del lanes[self._tenant(item)]
        return item

    def order(self, now: float) -> cabc.Iterator[QueueItem]:
        """Yield the head of each lane in the order in which they should start."""
        for priority in self._priorities(now):
            lanes = self.lanes[priority]
            for tenant in sorted(lanes, key=lambda t: (self._start(t), t)):
                yield lanes[tenant].items[0]

    def _priorities(self, now: float) -> list[Priority]:
        waiting = [p for p in Priority if self.lanes[p]]
        deficits = [p for p in waiting[1:] if self._due(p, now)]
        return deficits + [p for p in waiting if p not in deficits]

    def _due(self, priority: Priority, now: float) -> bool:
        """Return whether the most urgent item has waited long and is owed its turn."""
        heads = [lane.items[0] for lane in self.lanes[priority].values()]
        head = min(heads, key=lambda item: (item.deadline, item.attempt))
        allowed = head.start_by - head.arrived_at
        if not head.resumed and now - head.arrived_at < self.min_waited_share * allowed:
            return False
        _, seconds = self.items[head.attempt]
        return self.deficits[priority] >= min(seconds, MAX_DEFICIT_SECONDS)

    def _start(self, tenant: str) -> float:
        return max(self.virtual_time, self.virtual_finish.get(tenant, 0.0))

    def is_entitled(self, priority: Priority, now: float) -> bool:
        """Return whether a priority goes before the higher ones now."""
        return bool(self.lanes[priority]) and self._due(priority, now)

    def take(self, item: QueueItem) -> None:
        """Start an item: take it out and charge its tenant."""
        _, seconds = self.items[item.attempt]
        self.remove(item.attempt)
        tenant = self._tenant(item)
        start = self._start(tenant)
        self.virtual_time = start
        self.virtual_finish[tenant] = start + seconds / max(item.weight, 1e-6)
        self._settle(item.priority, seconds)
        if len(self.virtual_finish) > MAX_IDLE_ACCOUNTS:
            self._drop_idle()

    def charge(self, item: QueueItem, decode: int) -> None:
        """Charge a tenant for output tokens beyond what was predicted."""
        tenant = self._tenant(item)
        seconds = decode / self.rates.decode / max(item.weight, 1e-6)
        self.virtual_finish[tenant] = self._start(tenant) + seconds

    def _settle(self, started: Priority, seconds: float) -> None:
        self.deficits[started] = max(0.0, self.deficits[started] - seconds)
        for priority in Priority:
            if priority <= started:
                continue
            if not self.lanes[priority]:
                self.deficits[priority] = 0.0
                continue
            more = (
                self.deficits[priority]
                + self.lower_priority_share
                / (1.0 - self.lower_priority_share)
                * seconds
            )
            self.deficits[priority] = min(MAX_DEFICIT_SECONDS, more)

    def _drop_idle(self) -> None:
        self.virtual_finish = {
            t: v for t, v in self.virtual_finish.items() if v > self.virtual_time
        }

    def ahead(self, item: QueueItem) -> WorkAhead:
        """Return the waiting work that will start before an item offered now.

        Of another tenant of the same priority no more counts than its share allows
        while this tenant's own backlog is worked off.
        """
        count, prefill, decode = 0.0, 0.0, 0.0
        for priority in Priority:
            if priority > item.priority:
                break
            for tenant, lane in self.lanes[priority].items():
                share = self._share_ahead(priority, tenant, lane, item)
                count += share * len(lane.items)
                prefill += share * lane.prefill
                decode += share * lane.decode
        return WorkAhead(count, prefill, decode)

    def work_up_to(self, priority: Priority) -> WorkAhead:
        """Return all waiting work of a priority and the higher ones."""
        lanes = [x for p in Priority if p <= priority for x in self.lanes[p].values()]
        return WorkAhead(
            sum(len(lane.items) for lane in lanes),
            sum(lane.prefill for lane in lanes),
            sum(lane.decode for lane in lanes),
        )

    def _share_ahead(
        self, priority: Priority, tenant: str, lane: TenantQueue, item: QueueItem
    ) -> float:
        if priority < item.priority:
            return 1.0
        mine = self._tenant(item)
        if tenant == mine:
            urgency = _urgency(item)
            before = [i for i in lane.items if _urgency(i) <= urgency]
            return len(before) / len(lane.items)
        own = self.lanes[priority].get(mine)
        backlog = (own.seconds if own else 0.0) + self.rates.seconds(item.cost)
        finish = self._start(mine) + backlog / max(item.weight, 1e-6)
        weight = lane.items[0].weight
        allowed = max(0.0, finish - self._start(tenant)) * weight
        return min(1.0, allowed / max(lane.seconds, 1e-9))
