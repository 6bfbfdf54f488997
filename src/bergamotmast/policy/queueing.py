"""Fair queue of a side: strict priorities with a guaranteed share, fair among tenants.

Load pattern: a few tenants bring most of the load; a burst of short checks arrives
behind long appraisals; saturation lasts.

Without it: the tenant that sends most is served most, and other tenants' requests
expire behind it; checks wait minutes for an answer of one token; or, with strict
priorities, long work never runs while checks keep arriving.

Thresholds: within a priority, tenants share by start-time fair queueing on token cost
over weight, so a tenant's wait depends only on its own backlog and its share. A lower
priority with waiting items is entitled to :data:`LOWER_PRIORITY_SHARE` of the started
work, which leaves the higher ones theirs as long as they ask for no more than the rest.
An item claims it only after half of its allowed wait (:data:`MIN_WAITED_SHARE`), so
that a burst of short checks is still served in time between long answers. A tenant's
virtual finish time is dropped once it equals that of a new tenant, which bounds the
table to recently active tenants.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from ..model import Cost
from ..model import Priority
from .interfaces import QueueItem

LOWER_PRIORITY_SHARE = 0.5
"""Share of started work that each lower priority is entitled to while items wait."""

MIN_WAITED_SHARE = 0.5
"""Share of its allowed wait after which an item may claim its priority's share.

A burst of checks that ends sooner passes entirely, at no loss to the long work.
"""

MAX_DEFICIT_SECONDS = 5.0
"""Upper bound of a lower priority's deficit, in engine-seconds."""

MAX_IDLE_TENANTS = 256
"""Number of virtual finish times above which those of idle tenants are dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Nominal rates of an upstream, in tokens a second."""

    prefill: float
    decode: float

    def seconds(self, cost: Cost) -> float:
        """Return the upstream's time for a cost."""
        return cost.prefill / self.prefill + cost.decode / self.decode


@dataclasses.dataclass(frozen=True, slots=True)
class WorkAhead:
    """Work that will start before a new item.

    :param count: number of items; fractional if only a share of a tenant's queue
        counts.
    """

    count: float
    prefill: float
    decode: float


def _urgency(item: QueueItem) -> tuple[bool, float]:
    return not item.goes_first, item.deadline


def _queue_order(item: QueueItem) -> tuple[bool, float, float, str]:
    return *_urgency(item), item.arrived_at, item.attempt


class TenantQueue:
    """Waiting items of one tenant at one priority, earliest deadline first.

    :param seconds: upstream's time for all of them.
    """

    def __init__(self) -> None:
        self.items: list[QueueItem] = []
        self.seconds = 0.0
        self.prefill = 0
        self.decode = 0

    def add(self, item: QueueItem, seconds: float) -> None:
        """Insert an item in order."""
        self.items.append(item)
        self.items.sort(key=_queue_order)
        self.seconds += seconds
        self.prefill += item.cost.prefill
        self.decode += item.cost.decode

    def remove(self, item: QueueItem, seconds: float) -> None:
        """Remove an item."""
        self.items.remove(item)
        self.seconds = max(0.0, self.seconds - seconds)
        self.prefill -= item.cost.prefill
        self.decode -= item.cost.decode


class FairQueue:
    """Waiting items of all priorities and tenants.

    :param rates: the upstream's rates, which convert costs to its time.
    :param fair: whether tenants share; otherwise all items of a priority form one
        queue.
    :param lower_priority_share: share of started work that lower priorities are
        entitled to.
    :param min_waited_share: share of its allowed wait after which an item may claim it.
    :param items: waiting items and the upstream's seconds for each, by attempt.
    :param virtual_finish: virtual finish time of each tenant's last started item.
    :param virtual_time: virtual start time of the last started item.
    :param deficits: started work that each lower priority is still entitled to, in
        engine-seconds.
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
        self.tenant_queues: dict[Priority, dict[str, TenantQueue]] = {
            p: {} for p in Priority
        }
        self.items: dict[str, tuple[QueueItem, float]] = {}
        self.virtual_finish: dict[str, float] = {}
        self.virtual_time = 0.0
        self.deficits: dict[Priority, float] = dict.fromkeys(Priority, 0.0)

    def __len__(self) -> int:
        return len(self.items)

    def count(self, priority: Priority) -> int:
        """Return the number of waiting items of a priority."""
        return sum(len(queue.items) for queue in self.tenant_queues[priority].values())

    def add(self, item: QueueItem) -> None:
        """Add an item."""
        seconds = self.rates.seconds(item.cost)
        self.items[item.attempt] = (item, seconds)
        queue = self.tenant_queues[item.priority].setdefault(
            self._tenant(item), TenantQueue()
        )
        queue.add(item, seconds)

    def _tenant(self, item: QueueItem) -> str:
        return item.tenant if self.fair else ""

    def remove(self, attempt: str) -> QueueItem | None:
        """Remove an item, or return ``None`` if it is not waiting."""
        waiting = self.items.pop(attempt, None)
        if waiting is None:
            return None
        item, seconds = waiting
        queues = self.tenant_queues[item.priority]
        queue = queues[self._tenant(item)]
        queue.remove(item, seconds)
        if not queue.items:
            del queues[self._tenant(item)]
        return item

    def order(self, now: float) -> cabc.Iterator[QueueItem]:
        """Yield the head of each tenant's queue, in the order of their starts."""
        for priority in self._priorities(now):
            queues = self.tenant_queues[priority]
            for tenant in sorted(queues, key=lambda t: (self._start(t), t)):
                yield queues[tenant].items[0]

    def _priorities(self, now: float) -> list[Priority]:
        waiting = [p for p in Priority if self.tenant_queues[p]]
        entitled = [p for p in waiting[1:] if self._may_claim_share(p, now)]
        return entitled + [p for p in waiting if p not in entitled]

    def _may_claim_share(self, priority: Priority, now: float) -> bool:
        """Return whether the most urgent item may claim its priority's share."""
        heads = [queue.items[0] for queue in self.tenant_queues[priority].values()]
        head = min(heads, key=lambda item: (item.deadline, item.attempt))
        allowed = head.start_by - head.arrived_at
        if not head.resumed and now - head.arrived_at < self.min_waited_share * allowed:
            return False
        _, seconds = self.items[head.attempt]
        return self.deficits[priority] >= min(seconds, MAX_DEFICIT_SECONDS)

    def _start(self, tenant: str) -> float:
        """Return the virtual start time of a tenant's next item."""
        return max(self.virtual_time, self.virtual_finish.get(tenant, 0.0))

    def is_entitled(self, priority: Priority, now: float) -> bool:
        """Return whether a priority now precedes the higher ones."""
        return bool(self.tenant_queues[priority]) and self._may_claim_share(
            priority, now
        )

    def take(self, item: QueueItem) -> None:
        """Start an item: remove it and charge its tenant."""
        _, seconds = self.items[item.attempt]
        self.remove(item.attempt)
        tenant = self._tenant(item)
        start = self._start(tenant)
        self.virtual_time = start
        self.virtual_finish[tenant] = start + seconds / max(item.weight, 1e-6)
        self._update_deficits(item.priority, seconds)
        if len(self.virtual_finish) > MAX_IDLE_TENANTS:
            self._drop_idle()

    def charge(self, item: QueueItem, decode: int) -> None:
        """Charge a tenant for output tokens beyond the prediction."""
        tenant = self._tenant(item)
        seconds = decode / self.rates.decode / max(item.weight, 1e-6)
        self.virtual_finish[tenant] = self._start(tenant) + seconds

    def _update_deficits(self, started: Priority, seconds: float) -> None:
        self.deficits[started] = max(0.0, self.deficits[started] - seconds)
        for priority in Priority:
            if priority <= started:
                continue
            if not self.tenant_queues[priority]:
                self.deficits[priority] = 0.0
                continue
            deficit = (
                self.deficits[priority]
                + self.lower_priority_share
                / (1.0 - self.lower_priority_share)
                * seconds
            )
            self.deficits[priority] = min(MAX_DEFICIT_SECONDS, deficit)

    def _drop_idle(self) -> None:
        self.virtual_finish = {
            t: v for t, v in self.virtual_finish.items() if v > self.virtual_time
        }

    def ahead(self, item: QueueItem) -> WorkAhead:
        """Return the waiting work that will start before an item offered now.

        Of another tenant of the same priority, only as much counts as its share allows
        while this tenant's own backlog is served.
        """
        count, prefill, decode = 0.0, 0.0, 0.0
        for priority in Priority:
            if priority > item.priority:
                break
            for tenant, queue in self.tenant_queues[priority].items():
                share = self._share_ahead(priority, tenant, queue, item)
                count += share * len(queue.items)
                prefill += share * queue.prefill
                decode += share * queue.decode
        return WorkAhead(count, prefill, decode)

    def work_up_to(self, priority: Priority) -> WorkAhead:
        """Return all waiting work of a priority and the higher ones."""
        queues = [
            queue
            for p in Priority
            if p <= priority
            for queue in self.tenant_queues[p].values()
        ]
        return WorkAhead(
            sum(len(queue.items) for queue in queues),
            sum(queue.prefill for queue in queues),
            sum(queue.decode for queue in queues),
        )

    def _share_ahead(
        self, priority: Priority, tenant: str, queue: TenantQueue, item: QueueItem
    ) -> float:
        """Return the share of a tenant's queue that will start before an item."""
        if priority < item.priority:
            return 1.0
        own_name = self._tenant(item)
        if tenant == own_name:
            urgency = _urgency(item)
            before = [i for i in queue.items if _urgency(i) <= urgency]
            return len(before) / len(queue.items)
        own = self.tenant_queues[priority].get(own_name)
        backlog = (own.seconds if own else 0.0) + self.rates.seconds(item.cost)
        finish = self._start(own_name) + backlog / max(item.weight, 1e-6)
        weight = queue.items[0].weight
        allowed = max(0.0, finish - self._start(tenant)) * weight
        return min(1.0, allowed / max(queue.seconds, 1e-9))
