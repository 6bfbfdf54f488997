"""Default side policy: admission, fair queueing and batch scheduling combined.

Load pattern: saturation, with long answers that hold their place in the batch for
minutes while short ones need a place for a moment.

Without it: work handed to the engine waits there in the engine's own order, beyond the
reach of priorities and shares; long answers fill the batch and the memory, and a check
that would take one token waits for one of them to end.

Thresholds: unfinished prefills at the engine are limited to
:data:`PREFILL_WINDOW_SECONDS` seconds of work, so that the engine never idles between
two scheduling rounds and a check never waits behind more than that; an engine honours
priorities, so only work of the same or a higher one counts. Each lower priority leaves
a larger share of the batch free (:attr:`SideTuning.reserved`), but little of the
memory: with a quarter of the memory reserved, a decode engine holds only 18 long
answers in 48 places. The smaller reservation, and waits that are predicted by memory as
well as by places, reduce the share of tokens wasted at full load from 3.9% to 2.0%.
Waiting is bounded by each item's own first-token time and deadline, and the number of
waiting items by :data:`QUEUE_BATCHES` batches, which bounds memory and the time of a
decision.
"""

from __future__ import annotations

import dataclasses

from ..errors import ResultCode
from ..model import Cost
from ..model import Priority
from ..model import Role
from .admission import SIDE_SLACK
from .admission import exceeds_side_deadline
from .cost import remaining_output_tokens
from .interfaces import QueueItem
from .interfaces import UpstreamSpeed
from .queueing import LOWER_PRIORITY_SHARE
from .queueing import MIN_WAITED_SHARE
from .queueing import FairQueue
from .queueing import Rates
from .queueing import WorkAhead
from .rate_meters import PrefillMeter
from .rate_meters import StepMeter
from .size_shares import SizedPrompt
from .size_shares import SizeShares

PREFILL_WINDOW_SECONDS = 0.25
"""Seconds of unfinished prefill that may be handed to the upstream."""

QUEUE_BATCHES = 8
"""Maximum number of waiting items of each priority, in multiples of the batch.

If all priorities were counted together, waiting appraisals would cause the refusal of
checks that could start at once.
"""

MIN_QUEUE_ITEMS = 32
"""Waiting items of each priority that are allowed even with a small batch."""

MIN_RESERVING_BATCH = 4
"""Smallest batch in which places are reserved for higher priorities."""

EMPTY_BATCH_SHARE = 0.5
"""Time between tokens with an empty batch, as a share of that with a full one."""

DEFAULT_RATES = Rates(1000.0, 100.0)
"""Rates assumed before the upstream is configured."""


@dataclasses.dataclass(frozen=True, slots=True)
class SideTuning:
    """Parameters that differ between the versions of the default side policy.

    :param fair: whether tenants share; otherwise all items of a priority form one
        queue.
    :param slack: share of the remaining time that a prediction may take at admission.
    :param lower_priority_share: share of started work that lower priorities are
        entitled to.
    :param min_waited_share: share of its allowed wait after which an item may claim it.
    :param reserved: share of the batch that each priority leaves free.
    :param kv_reserved: share of KV memory that each priority leaves free; ``None`` for
        the same as of the batch. A check needs a place of its own, but hardly any
        memory.
    :param uses_measured_rates: whether rates are measured; otherwise the nominal ones
        are used.
    :param predicts_by_memory: whether memory and measured decode steps limit the
        predicted places and rates.
    :param window_by_priority: whether only prefills of the same or a higher priority
        count against the prefill window.
    :param size_shares: whether large prompts go first while too few are served.
    """

    fair: bool = True
    slack: float = SIDE_SLACK
    lower_priority_share: float = LOWER_PRIORITY_SHARE
    min_waited_share: float = MIN_WAITED_SHARE
    reserved: tuple[float, float, float] = (0.0, 0.1, 0.25)
    kv_reserved: tuple[float, float, float] | None = (0.0, 0.02, 0.05)
    uses_measured_rates: bool = True
    predicts_by_memory: bool = True
    window_by_priority: bool = True
    size_shares: bool = True


@dataclasses.dataclass(slots=True)
class StartedItem:
    """An item handed to the upstream.

    :param window: priority whose limits it was started under.
    :param produced: output tokens so far; above 0 its prefill has ended.
    :param first_at: when the first output token came; a point in time.
    :param first_tokens: output tokens that came with the first.
    """

    item: QueueItem
    window: Priority
    produced: int = 0
    first_tokens: int = 0
    first_at: float = 0.0

    def kv_tokens(self) -> int:
        """Return the KV cache tokens promised to it."""
        beyond = max(0, self.produced - self.item.cost.decode)
        return kv_tokens(self.item) + beyond


def kv_tokens(item: QueueItem) -> int:
    """Return the KV cache tokens that an item will hold."""
    return item.kv_tokens or item.cost.prefill + item.cost.decode


class FairSidePolicy:
    """The default side policy.

    :param tuning: parameters that differ between its versions.
    """

    def __init__(self, tuning: SideTuning | None = None) -> None:
        self.tuning = tuning or SideTuning()
        self.queue = FairQueue(
            DEFAULT_RATES,
            self.tuning.fair,
            self.tuning.lower_priority_share,
            self.tuning.min_waited_share,
        )
        self.started: dict[str, StartedItem] = {}
        self.max_streams = 1
        self.kv_capacity = 1
        self.role: Role | None = None
        self.kv_promised = 0
        self.unfinished_prefill = dict.fromkeys(Priority, 0)
        self.prefill_meter = PrefillMeter(DEFAULT_RATES.prefill)
        self.step_meter = StepMeter(1.0 / DEFAULT_RATES.decode)
        self.size_shares = SizeShares()
        self.sized_prompts: dict[str, SizedPrompt] = {}

    def configure(
        self,
        max_streams: int,
        kv_capacity: int,
        prefill_rate: float,
        decode_rate: float,
        role: Role | None,
    ) -> None:
        """Set the upstream's capacity in its present role."""
        rates = Rates(max(prefill_rate, 1e-6), max(decode_rate, 1e-6))
        changed = rates != self.queue.rates or max_streams != self.max_streams
        self.max_streams = max(1, max_streams)
        self.kv_capacity = max(1, kv_capacity)
        self.role = role
        if not changed:
            return
        self.prefill_meter = PrefillMeter(rates.prefill)
        self.step_meter = StepMeter(self.max_streams / rates.decode)
        self.queue.rates = rates
        for item, _ in list(self.queue.items.values()):
            self.queue.remove(item.attempt)
            self.queue.add(item)

    def prefill_rate(self) -> float:
        """Return prompt tokens a second, as measured while there was work."""
        if self.tuning.uses_measured_rates:
            return self.prefill_meter.rate()
        return self.queue.rates.prefill

    def offer(self, item: QueueItem, now: float) -> ResultCode:
        """Queue an item and return ``OK``, or refuse it at once with a code."""
        if not self.tuning.size_shares or item.cost.prefill == 0:
            return self._admit(item, now)
        sized_prompt = self.size_shares.begin(item.request_class, item.cost.prefill)
        code = self._admit(item, now)
        if code is ResultCode.DEADLINE_UNREACHABLE and sized_prompt.claim():
            code = self._admit(dataclasses.replace(item, goes_first=True), now)
        if code is ResultCode.OK:
            self.sized_prompts[item.attempt] = sized_prompt
        else:
            sized_prompt.end(served=False)
        return code

    def _end_sized(self, attempt: str, *, served: bool) -> None:
        """Account for a prompt at its first token, or at its end without one."""
        sized_prompt = self.sized_prompts.pop(attempt, None)
        if sized_prompt is not None:
            sized_prompt.end(served=served)

    def _admit(self, item: QueueItem, now: float) -> ResultCode:
        max_items = max(MIN_QUEUE_ITEMS, QUEUE_BATCHES * self.max_streams)
        if self.queue.count(item.priority) >= max_items:
            return ResultCode.QUEUE_FULL
        if self.role is not None and kv_tokens(item) > self.kv_capacity:
            return ResultCode.DEADLINE_UNREACHABLE
        slack = self.tuning.slack
        first = self._first_token_seconds(item)
        if not item.resumed and exceeds_side_deadline(
            first, item.start_by - now, slack
        ):
            return ResultCode.DEADLINE_UNREACHABLE
        total = first + self._decode_seconds(item.cost.decode)
        if exceeds_side_deadline(total, item.deadline - now, slack):
            return ResultCode.DEADLINE_UNREACHABLE
        self.queue.add(item)
        return ResultCode.OK

    def _first_token_seconds(self, item: QueueItem) -> float:
        ahead = self.queue.ahead(item)
        prefill = self._window_used(item.priority) + ahead.prefill + item.cost.prefill
        return prefill / self.prefill_rate() + self._slot_seconds(item.priority, ahead)

    def _window_used(self, priority: Priority) -> int:
        """Return the unfinished prompt tokens at the engine that precede a new prefill.

        An engine prefills by priority, so those of a lower one don't count.
        """
        if not self.tuning.window_by_priority:
            return sum(self.unfinished_prefill.values())
        return sum(n for p, n in self.unfinished_prefill.items() if p <= priority)

    def _slot_seconds(self, priority: Priority, ahead: WorkAhead) -> float:
        """Return the wait until the work ahead leaves a free place in the batch."""
        places = self._places(priority)
        missing = ahead.count + 1 - places + len(self.started)
        if missing <= 0:
            return 0.0
        work = self.running_decode() + ahead.decode
        mean = work / (len(self.started) + ahead.count)
        return missing * mean / self._decode_rate(places)

    def _places(self, priority: Priority) -> int:
        """Return how many items the batch and the memory hold at once.

        Long prompts fill the memory long before the batch. A limit by the batch alone
        would admit work that then waits past its deadline.
        """
        places = self._slots(priority)
        if not self.tuning.predicts_by_memory or not self.started or self.role is None:
            return places
        mean = max(1.0, self.kv_promised / len(self.started))
        return max(1, min(places, int(self._usable_kv(priority) / mean)))

    def _decode_rate(self, places: int) -> float:
        """Return output tokens a second with so many concurrent answers."""
        if not self.tuning.predicts_by_memory:
            return self.queue.rates.decode
        return min(self.queue.rates.decode, places / self.step_meter.seconds())

    def _decode_seconds(self, tokens: int) -> float:
        if self.tuning.uses_measured_rates:
            return (tokens - 1) * self.step_meter.seconds()
        filled = (len(self.started) + len(self.queue) + 1) / self.max_streams
        full = self.max_streams / self.queue.rates.decode
        fullness = EMPTY_BATCH_SHARE + (1.0 - EMPTY_BATCH_SHARE) * min(1.0, filled)
        return tokens * full * fullness

    def _reserved(self, priority: Priority) -> float:
        return self.tuning.reserved[priority]

    def _slots(self, priority: Priority) -> int:
        reserved = self._reserved(priority)
        if reserved == 0.0 or self.max_streams < MIN_RESERVING_BATCH:
            return self.max_streams
        return self.max_streams - max(1, int(self.max_streams * reserved))

    def next(self, now: float) -> QueueItem | None:
        """Remove and return the next item to start; ``None`` if none may start."""
        if not self.queue.items or len(self.started) >= self.max_streams:
            return None
        blocked: set[Priority] = set()
        for item in self.queue.order(now):
            if item.priority in blocked:
                continue
            limits = self._effective_priority(item, now)
            if self._fits(item, limits):
                self._start(item, limits, now)
                return item
            # An item that doesn't fit blocks its own priority, whose smaller items
            # would otherwise starve it. Other priorities have limits of their own.
            blocked.add(item.priority)
        return None

    def _effective_priority(self, item: QueueItem, now: float) -> Priority:
        """Return the priority whose limits apply to an item.

        Items that claim their priority's share get the limits of the highest one.
        Otherwise, checks that keep arriving would hold every place open to long work,
        and the engine would prefill them first, so that the share would have no effect.
        """
        if item.priority is Priority.INTERACTIVE:
            return item.priority
        entitled = self.queue.is_entitled(item.priority, now)
        return Priority.INTERACTIVE if entitled else item.priority

    def _fits(self, item: QueueItem, limits: Priority) -> bool:
        """Return whether a place, memory and prefill time are free for an item."""
        if len(self.started) >= self._slots(limits):
            return False
        if self.role is None or not self.started:
            return True
        window = PREFILL_WINDOW_SECONDS * self.prefill_rate()
        if item.cost.prefill > 0 and self._window_used(limits) >= window:
            return False
        return kv_tokens(item) <= self._usable_kv(limits) - self.kv_promised

    def _usable_kv(self, priority: Priority) -> float:
        reserved_shares = self.tuning.kv_reserved
        if reserved_shares is None:
            reserved_shares = self.tuning.reserved
        return self.kv_capacity * (1.0 - reserved_shares[priority])

    def _start(self, item: QueueItem, limits: Priority, now: float) -> None:
        self.queue.take(item)
        self.started[item.attempt] = StartedItem(item, limits)
        self.kv_promised += kv_tokens(item)
        self.unfinished_prefill[limits] += item.cost.prefill
        if item.cost.prefill:
            self.prefill_meter.begin(now)

    def on_progress(self, attempt: str, tokens: int, now: float) -> None:
        """Record output tokens of a started item; the first ends its prefill."""
        started = self.started.get(attempt)
        if started is None or tokens <= 0:
            return
        if started.produced == 0:
            started.first_at = now
            started.first_tokens = tokens
            self._end_sized(attempt, served=True)
            self._end_prefill(started, started.item.cost.prefill, now)
        predicted = started.item.cost.decode
        before = max(started.produced, predicted)
        started.produced += tokens
        beyond = started.produced - before
        if beyond > 0:
            self.kv_promised += beyond
            self.queue.charge(started.item, beyond)

    def _end_prefill(self, started: StartedItem, tokens: int, now: float) -> None:
        prefill = started.item.cost.prefill
        self.unfinished_prefill[started.window] -= prefill
        if prefill:
            self.prefill_meter.end(tokens, now)

    def on_ended(self, attempt: str, now: float) -> None:
        """Record that a started item ended."""
        self._end_sized(attempt, served=False)
        started = self.started.pop(attempt, None)
        if started is None:
            return
        self.kv_promised -= started.kv_tokens()
        if started.produced == 0:
            self._end_prefill(started, 0, now)
        else:
            tokens = started.produced - started.first_tokens
            self.step_meter.end(tokens, now - started.first_at)

    def withdraw(self, attempt: str) -> bool:
        """Remove a waiting item; ``False`` if it is not waiting."""
        self._end_sized(attempt, served=False)
        return self.queue.remove(attempt) is not None

    def expire(self, now: float) -> list[tuple[QueueItem, ResultCode]]:
        """Remove the items that can no longer be answered in time."""
        expired = [
            i for i, _ in self.queue.items.values() if self._is_unreachable(i, now)
        ]
        for item in expired:
            self.withdraw(item.attempt)
        return [(item, ResultCode.EXPIRED_IN_QUEUE) for item in expired]

    def _is_unreachable(self, item: QueueItem, now: float) -> bool:
        """Return whether an item would be late even if it started at once."""
        prefill = item.cost.prefill / self.prefill_rate()
        if not item.resumed and now + prefill > item.start_by:
            return True
        if self.tuning.uses_measured_rates:
            step = self.step_meter.seconds()
        else:
            step = EMPTY_BATCH_SHARE * self.max_streams / self.queue.rates.decode
        return now + prefill + (item.cost.decode - 1) * step > item.deadline

    def waiting(self) -> int:
        """Return the number of waiting items."""
        return len(self.queue)

    def waiting_cost(self) -> Cost:
        """Return the work of the waiting items."""
        queues = [
            queue
            for by_tenant in self.queue.tenant_queues.values()
            for queue in by_tenant.values()
        ]
        return Cost(
            sum(queue.prefill for queue in queues),
            sum(queue.decode for queue in queues),
        )

    def running_decode(self) -> int:
        """Return the predicted output tokens still to come of started items."""
        return sum(
            remaining_output_tokens(s.item.cost.decode, s.produced)
            for s in self.started.values()
        )

    def kv_free(self) -> float:
        """Return the share of KV memory not promised to started items."""
        return max(0.0, 1.0 - self.kv_promised / self.kv_capacity)

    def speed(self) -> UpstreamSpeed:
        """Return the upstream's present speed."""
        if not self.tuning.uses_measured_rates:
            return UpstreamSpeed(self.prefill_rate())
        waits = tuple(self._wait(priority) for priority in Priority)
        return UpstreamSpeed(self.prefill_rate(), waits, self.step_meter.seconds())

    def _wait(self, priority: Priority) -> float:
        ahead = self.queue.work_up_to(priority)
        prefill = self._window_used(priority) + ahead.prefill
        return prefill / self.prefill_rate() + self._slot_seconds(priority, ahead)
