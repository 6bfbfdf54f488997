"""What waits at a side, for how long, and what starts next: the parts put together.

Load pattern: saturation, with long answers that hold their place in the batch for
minutes while short ones need a place for a moment.

Without it: what is handed to the engine waits there in the engine's own order, out of
reach of priorities and shares; long answers fill the batch and the memory, and a check
that would take one token waits for one of them to end.

Thresholds: prefills handed over but not finished are kept to
:data:`PREFILL_WINDOW` seconds of work, so that the engine never idles between two of
our turns and a check never waits behind more than that. :data:`RESERVED_SHARE` of the
batch and the memory is kept from batch work. Waiting is bounded by the item's own
first-token time and deadline, and their number by :data:`QUEUE_BATCHES` batches, which
bounds memory and the time a decision takes.
"""

from __future__ import annotations

import dataclasses

from ..errors import ResultCode
from ..model import Cost
from ..model import Priority
from ..model import Role
from .admission import DOOR_SLACK
from .admission import too_late_for_side
from .cost import still_to_come
from .interfaces import QueueItem
from .queueing import Ahead
from .queueing import FairQueue
from .queueing import Rates

PREFILL_WINDOW = 0.25
"""Seconds of prefill that may be handed over and not finished."""

RESERVED_SHARE = 0.1
"""Share of the batch and of KV memory that batch work leaves free."""

QUEUE_BATCHES = 8
"""Waiting items, in multiples of the batch."""

LEAST_QUEUE = 32
"""Waiting items allowed even with a small batch."""

DEFAULT_RATES = Rates(1000.0, 100.0)
"""Assumed before the upstream was measured."""


@dataclasses.dataclass(slots=True)
class Started:
    """An item handed to the upstream.

    :param produced: output tokens so far; above 0 its prefill has ended.
    """

    item: QueueItem
    produced: int = 0

    def kv_tokens(self) -> int:
        """Return the KV memory promised to it."""
        beyond = max(0, self.produced - self.item.cost.decode)
        return kv_tokens(self.item) + beyond


def kv_tokens(item: QueueItem) -> int:
    """Return the KV memory that an item will hold."""
    return item.kv_tokens or item.cost.prefill + item.cost.decode


class FairSidePolicy:
    """The default side policy.

    :param fair: whether tenants share; else all items form one lane.
    :param slack: share of the time left that the prediction at the door may take.
    """

    def __init__(self, fair: bool = True, slack: float = DOOR_SLACK) -> None:
        self.slack = slack
        self.queue = FairQueue(DEFAULT_RATES, fair)
        self.started: dict[str, Started] = {}
        self.max_streams = 1
        self.kv_capacity = 1
        self.role: Role | None = None
        self.kv_promised = 0
        self.prefill_ahead = 0

    def configure(
        self,
        max_streams: int,
        kv_capacity: int,
        prefill_rate: float,
        decode_rate: float,
        role: Role | None,
    ) -> None:
        """Learn the upstream's size in its present role."""
        self.max_streams = max(1, max_streams)
        self.kv_capacity = max(1, kv_capacity)
        self.role = role
        rates = Rates(max(prefill_rate, 1e-6), max(decode_rate, 1e-6))
        self._requeue(rates)

    def _requeue(self, rates: Rates) -> None:
        if rates == self.queue.rates:
            return
        self.queue.rates = rates
        for item, _ in list(self.queue.items.values()):
            self.queue.remove(item.attempt)
            self.queue.add(item)

    def offer(self, item: QueueItem, now: float) -> ResultCode:
        """Queue an item and return ``OK``, or refuse it at once with a code."""
        if len(self.queue) >= max(LEAST_QUEUE, QUEUE_BATCHES * self.max_streams):
            return ResultCode.QUEUE_FULL
        if kv_tokens(item) > self.kv_capacity and self.role is not None:
            return ResultCode.DEADLINE_UNREACHABLE
        first = self._first_token_seconds(item)
        if not item.resumed and too_late_for_side(
            first, item.start_by - now, self.slack
        ):
            return ResultCode.DEADLINE_UNREACHABLE
        total = first + self._decode_seconds(item.cost.decode)
        if too_late_for_side(total, item.deadline - now, self.slack):
            return ResultCode.DEADLINE_UNREACHABLE
        self.queue.add(item)
        return ResultCode.OK

    def _first_token_seconds(self, item: QueueItem) -> float:
        rates = self.queue.rates
        ahead = self.queue.ahead(item)
        prefill = self.prefill_ahead + ahead.prefill + item.cost.prefill
        return prefill / rates.prefill + self._slot_seconds(item, ahead)

    def _slot_seconds(self, item: QueueItem, ahead: Ahead) -> float:
        """Return the wait until the batch has a place left by all the work ahead."""
        places = self._slots(item.priority) - len(self.started)
        missing = ahead.count + 1 - places
        if missing <= 0:
            return 0.0
        work = self.running_decode() + ahead.decode
        mean = work / (len(self.started) + ahead.count)
        return missing * mean / self.queue.rates.decode

    def _decode_seconds(self, tokens: int) -> float:
        filled = (len(self.started) + len(self.queue) + 1) / self.max_streams
        full = self.max_streams / self.queue.rates.decode
        return tokens * full * (0.5 + 0.5 * min(1.0, filled))

    def _slots(self, priority: Priority) -> int:
        if priority is not Priority.BATCH or self.max_streams < 4:
            return self.max_streams
        return self.max_streams - max(1, int(self.max_streams * RESERVED_SHARE))

    def next(self, now: float) -> QueueItem | None:
        """Take the next item to start, or ``None`` if none may start now."""
        if not self.queue.items or len(self.started) >= self.max_streams:
            return None
        for item in self.queue.order():
            if self._fits(item):
                self._start(item)
                return item
            if item.priority is not Priority.BATCH:
                return None
        return None

    def _fits(self, item: QueueItem) -> bool:
        """Return whether a place, memory and prefill time are free for an item."""
        if len(self.started) >= self._slots(item.priority):
            return False
        if self.role is None or not self.started:
            return True
        window = PREFILL_WINDOW * self.queue.rates.prefill
        if self.prefill_ahead >= window and item.cost.prefill > 0:
            return False
        kept = RESERVED_SHARE if item.priority is Priority.BATCH else 0.0
        room = self.kv_capacity * (1.0 - kept) - self.kv_promised
        return kv_tokens(item) <= room

    def _start(self, item: QueueItem) -> None:
        self.queue.take(item)
        self.started[item.attempt] = Started(item)
        self.kv_promised += kv_tokens(item)
        self.prefill_ahead += item.cost.prefill

    def on_progress(self, attempt: str, tokens: int, now: float) -> None:
        """Learn of output tokens of a started item; the first ends its prefill."""
        started = self.started.get(attempt)
        if started is None or tokens <= 0:
            return
        if started.produced == 0:
            self.prefill_ahead -= started.item.cost.prefill
        predicted = started.item.cost.decode
        before = max(started.produced, predicted)
        started.produced += tokens
        beyond = started.produced - before
        if beyond > 0:
            self.kv_promised += beyond
            self.queue.charge(started.item, beyond)

    def on_ended(self, attempt: str, now: float) -> None:
        """Learn that a started item ended."""
        started = self.started.pop(attempt, None)
        if started is None:
            return
        self.kv_promised -= started.kv_tokens()
        if started.produced == 0:
            self.prefill_ahead -= started.item.cost.prefill

    def withdraw(self, attempt: str) -> bool:
        """Take a waiting item out; ``False`` if it is not waiting."""
        return self.queue.remove(attempt) is not None

    def expire(self, now: float) -> list[tuple[QueueItem, ResultCode]]:
        """Take out the items that can no longer be answered in time."""
        gone = [i for i, _ in self.queue.items.values() if self._hopeless(i, now)]
        for item in gone:
            self.queue.remove(item.attempt)
        return [(item, ResultCode.EXPIRED_IN_QUEUE) for item in gone]

    def _hopeless(self, item: QueueItem, now: float) -> bool:
        """Return whether an item would be late even if it started at once."""
        prefill = item.cost.prefill / self.queue.rates.prefill
        if not item.resumed and now + prefill > item.start_by:
            return True
        fastest = 0.5 * self.max_streams / self.queue.rates.decode
        return now + prefill + item.cost.decode * fastest > item.deadline

    def waiting(self) -> int:
        """Return how many items wait."""
        return len(self.queue)

    def waiting_cost(self) -> Cost:
        """Return the work of the waiting items."""
        lanes = [lane for by in self.queue.lanes.values() for lane in by.values()]
        return Cost(sum(x.prefill for x in lanes), sum(x.decode for x in lanes))

    def running_decode(self) -> int:
        """Return the predicted output tokens still to come of started items."""
        return sum(
            still_to_come(s.item.cost.decode, s.produced) for s in self.started.values()
        )

    def kv_free(self) -> float:
        """Return the share of KV memory not promised to started items."""
        return max(0.0, 1.0 - self.kv_promised / self.kv_capacity)
