"""Load tracker of each engine, from an entry's own requests and other entries' notices.

Load pattern: several entries place prompts on the same few engines, and prompts differ
in length a hundredfold. An engine prefills one prompt at a time to its end and then
takes the most urgent one that waits.

Without it: request counts treat a prompt of fifty thousand tokens, a second of engine
time, like one of five hundred; the short prompts behind it miss their objective while
another engine idles.

The tracker therefore models each engine as a priority queue, in seconds of this
engine's time. The prefill that is running determines how long even the most urgent
prompt waits, and no engine reports it. It is inferred from what was queued when the
last prefill ended, and inferred again if it takes longer than that prompt can.
"""

from __future__ import annotations

import dataclasses
import math

from ..model import Role
from .engine_memory import EngineMemory
from .engine_speed import EngineSpeed
from .group_times import GroupPrefillTimes
from .load_hint import DecayingLoadHint
from .load_hint import DecayingSlowness
from .prefill_model import EngineTimeRatio
from .prefix_cache import PrefillKey
from .prefix_cache import PrefixCacheModel

MIN_REMAINING_SHARE = 0.3
"""Share of the running prefill that is always assumed to remain: its end has not been
reported, and short prompts without a notice may have preceded it."""

NEXT_PREFILL_LEAD_SECONDS = 0.02
"""Time by which an engine starts its next prefill before the end of the last one is
reported. A prompt that arrived later can't be the running one."""

OVERRUN_FACTOR = 1.3
"""Multiple of its predicted time, besides :data:`NEXT_PREFILL_LEAD_SECONDS`, after
which the prompt assumed to be running must be another one."""

LOAD_HINT_SECONDS = 2.0
"""Time constant with which an engine's reported load decays: answers take a second or
two, and each reply brings a new report."""

PENDING_TTL_SECONDS = 4.0
"""Time after which a prefill without a reported end is dropped, as its notice was lost
or its entry failed."""

URGENT_LOAD_SECONDS = 1.0
"""Time constant of the moving average of more urgent prompts: bursts last some seconds,
and a queueing delay that matters is under two."""

MAX_URGENT_SHARE = 0.75
"""Upper bound of the load of more urgent prompts, as a share of engine time. It limits
the expected wait to four times the work that is queued ahead."""

UNRESPONSIVE_SECONDS = 0.7
"""Time without a reply on any of this entry's calls, besides the time of the running
prefill, after which an engine may be lost. Callers time out after two seconds, and the
prompt must be prefilled again before that."""

UNRESPONSIVE_FACTOR = 2.0
"""Multiple of the running prefill's predicted time that is added to
:data:`UNRESPONSIVE_SECONDS`."""

OVERDUE_FACTOR = 2.0
"""Multiple of a prompt's predicted time after which it is overdue at an engine that
still replies: work queued there unknown to this entry rarely doubles the time."""

SLOWDOWN_WEIGHT = 0.25
"""Weight of a new measurement in an engine's slowdown factor, on a log scale."""

SLOWDOWN_DECAY_SECONDS = 4.0
"""Time constant with which a slowdown factor decays to 1. The engine then gets a
request or two, which show whether it has recovered."""

MAX_SLOWDOWN = 16.0
"""Upper bound of the slowdown factor; no engine gets work at this factor anyway."""


@dataclasses.dataclass(slots=True)
class PendingPrefill:
    """A prompt queued or running at an engine.

    :param seconds: engine time that its prefill takes.
    :param priority: engine priority; lower values are prefilled first.
    :param since: when it was sent, or its notice received; a point in time.
    :param due_at: when its prefill should end; a point in time.
    :param overtaken: whether a more urgent prompt has arrived since.
    """

    seconds: float
    priority: int
    since: float
    due_at: float
    overtaken: bool = False


class UrgentLoad:
    """Recent share of an engine's time that prompts of each priority take.

    A prompt waits for the work queued ahead of it and for more urgent prompts that
    arrive meanwhile. During bursts of short prompts, a long one waits three times as
    long as its place in the queue suggests.

    :param seconds: decayed prefill time, in engine-seconds, by priority.
    :param decayed_at: when it was last decayed; a point in time.
    """

    def __init__(self) -> None:
        self.seconds: dict[int, float] = {}
        self.decayed_at = 0.0

    def add(self, priority: int, seconds: float, now: float) -> None:
        """Add a prompt that takes some seconds to prefill."""
        self._decay(now)
        self.seconds[priority] = self.seconds.get(priority, 0.0) + seconds

    def share(self, priority: int, now: float) -> float:
        """Return the share of engine time that more urgent prompts take."""
        self._decay(now)
        urgent = sum(s for known, s in self.seconds.items() if known < priority)
        return min(MAX_URGENT_SHARE, urgent / URGENT_LOAD_SECONDS)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.decayed_at) / URGENT_LOAD_SECONDS)
        self.decayed_at = now
        self.seconds = {known: s * factor for known, s in self.seconds.items()}


class EngineLoadTracker:
    """Estimated load of one engine.

    :param current: the prompt assumed to be running.
    :param current_since: when its prefill began; a point in time.
    :param pending_prefills: prompts queued or running there, of all entries.
    :param urgent: recent load of prompts of each priority.
    :param prefix: model of its prefix cache.
    :param memory: its KV memory.
    :param streams: this entry's answers that the engine is decoding.
    :param reported_load: decodes of other entries, as the engine last reported.
    :param last_reply_at: when this entry last received anything from it; a point in
        time.
    :param failure_until: end of the cool-down after a failure; a point in time.
    :param notices_until: until when notices of other entries count; a point in time.
    :param avoided_until: the later of the two, until when placement avoids it.
    :param role: its role at the last lookup.
    :param prefill_times: prefill times of its group's engines.
    :param time_ratio: ratio of its prefill times to those of its group, learned by
        this entry alone.
    :param speed: the same, learned from the prefills of all entries.
    :param machine: how slow its machine is at this moment, as it reports.
    :param slowdown_log: natural logarithm of its slowdown factor at ``slowdown_at``,
        a point in time.
    :param tie_break: see :class:`~.direct_placement.EngineCandidate`.
    """

    def __init__(
        self,
        kv_capacity: int,
        prefill_times: GroupPrefillTimes | None = None,
        tie_break: int = 0,
    ) -> None:
        self.tie_break = tie_break
        self.prefill_times = prefill_times or GroupPrefillTimes()
        self.role = Role.PREFILL
        self.time_ratio = EngineTimeRatio()
        self.speed = EngineSpeed()
        self.machine = DecayingSlowness()
        self.prefix = PrefixCacheModel(kv_capacity)
        self.memory = EngineMemory(kv_capacity)
        self.pending_prefills: dict[PrefillKey, PendingPrefill] = {}
        self.urgent = UrgentLoad()
        self.current: PrefillKey | None = None
        self.current_since = 0.0
        self.streams = 0
        self.reported_load = DecayingLoadHint(LOAD_HINT_SECONDS)
        self.failure_until = -math.inf
        self.notices_until = -math.inf
        self.avoided_until = -math.inf
        self.last_reply_at = -math.inf
        self.slowdown_log = 0.0
        self.slowdown_at = 0.0

    @property
    def cool_down_until(self) -> float:
        """End of the cool-down after a failure; a point in time."""
        return self.failure_until

    @cool_down_until.setter
    def cool_down_until(self, until: float) -> None:
        self.failure_until = until
        self.avoided_until = max(until, self.notices_until)

    def on_notices(self, until: float) -> None:
        """Set until when other entries' notices count; a point in time.

        :param until: negative infinity if none counts.
        """
        self.notices_until = until
        self.avoided_until = max(until, self.failure_until)

    def time_factor(self, now: float) -> float:
        """Return the ratio of the engine's prefill times to those of its group."""
        if self.prefill_times.shared:
            return self.speed.factor(now)
        return self.time_ratio.factor

    def occupied_seconds(self, tokens: int, cached: int, now: float) -> float:
        """Return for how many seconds a prefill keeps the engine from other prompts.

        :param tokens: prompt tokens that are not cached.
        :param cached: cached tokens before them.
        """
        times = self.prefill_times.of(self.role).times
        return times.occupied_seconds(tokens, cached) * self.time_factor(now)

    def prefill_seconds(self, tokens: int, cached: int, now: float) -> float:
        """Return the predicted time of a prefill without a queue."""
        times = self.prefill_times.of(self.role).times
        return times.seconds(tokens, cached) * self.time_factor(now)

    def begin(
        self,
        key: PrefillKey,
        seconds: float,
        priority: int,
        now: float,
        *,
        goes_first: bool = False,
    ) -> None:
        """Add a prompt to the queue of the engine.

        :param goes_first: whether the prompt precedes the others of its rank. It says
            nothing about the prompts to come and would be mistaken for a burst of
            urgent ones.
        """
        slowdown = self.slowdown(now)
        due_at = now + (self.wait(priority, now) + seconds) * slowdown
        for pending in self.pending_prefills.values():
            if priority < pending.priority:
                pending.overtaken = True
                pending.due_at += seconds * slowdown
        self.pending_prefills[key] = PendingPrefill(seconds, priority, now, due_at)
        if not goes_first:
            self.urgent.add(priority, seconds, now)
        if self.current is None:
            self._infer_current(now)

    def end(
        self, key: PrefillKey, now: float, *, done: bool = True
    ) -> PendingPrefill | None:
        """Remove a prompt that was prefilled or whose call has ended otherwise.

        :param done: whether the prefill completed. If so, the engine has started the
            next one, whichever prompt was assumed to be running.
        """
        pending = self.pending_prefills.pop(key, None)
        self.prefix.settle(key, done=done)
        if pending is not None and (done or key == self.current):
            self._infer_current(now - NEXT_PREFILL_LEAD_SECONDS)
        return pending

    def wait(self, priority: int, now: float) -> float:
        """Return the seconds of work ahead of a prompt of a priority."""
        self._drop_expired(now)
        self._revise_current(now)
        seconds = 0.0
        for key, pending in self.pending_prefills.items():
            if key == self.current:
                progress = max(0.0, now - self.current_since) / self.slowdown(now)
                seconds += max(
                    pending.seconds * MIN_REMAINING_SHARE, pending.seconds - progress
                )
            elif pending.priority <= priority:
                seconds += pending.seconds
        return seconds

    def expected_wait(self, priority: int, now: float) -> float:
        """Return the expected queueing delay of a prompt of a priority, in seconds.

        It consists of the work ahead and of more urgent prompts that arrive meanwhile.
        """
        return self.wait(priority, now) / (1.0 - self.urgent.share(priority, now))

    def slowdown(self, now: float) -> float:
        """Return the slowdown factor, the ratio of actual to predicted time."""
        return self._observed_slowdown(now) * self.machine_slowness(now)

    def machine_slowness(self, now: float) -> float:
        """Return how slow its machine is at this moment, as far as it has reported."""
        return self.machine.estimate(now) if self.prefill_times.shared else 1.0

    def _observed_slowdown(self, now: float) -> float:
        age = max(0.0, now - self.slowdown_at)
        return math.exp(self.slowdown_log * math.exp(-age / SLOWDOWN_DECAY_SECONDS))

    def observe_slowdown(self, predicted: float, actual: float, now: float) -> None:
        """Update the slowdown factor from a predicted and an actual time.

        The actual time is divided by the slowness that the machine reported, which is
        known sooner and ends sooner.

        A ratio below the present factor counts at once, one above it by
        :data:`SLOWDOWN_WEIGHT`: a queue unknown to this entry raises the ratio once, a
        slow engine raises it each time.
        """
        if predicted <= 0.0 or actual <= 0.0:
            return
        ratio = math.log(min(MAX_SLOWDOWN, max(1.0, actual / predicted)))
        known = math.log(self._observed_slowdown(now))
        weight = 1.0 if ratio < known else SLOWDOWN_WEIGHT
        self.slowdown_log = known + weight * (ratio - known)
        self.slowdown_at = now

    def learn(self, tokens: int, cached: int, seconds: float, now: float) -> None:
        """Learn from the time of a prefill that met no known queue."""
        if self.prefill_times.shared:
            shared = self.prefill_times.shared_of(self.role)
            shared.learn(self.speed, tokens, cached, seconds, now)
            return
        model = self.prefill_times.of(self.role)
        self.time_ratio.learn(model.times.seconds(tokens, cached), seconds)
        model.learn(tokens, cached, seconds / self.time_ratio.factor)

    def hint(
        self, running: int, waiting: int, now: float, slowness: float | None = None
    ) -> None:
        """Record the load that the engine reports, own requests included.

        :param slowness: how slow its machine is at this moment; ``None`` if unknown.
        """
        self.reported_load.update(running, waiting, self.streams, now)
        if slowness is not None:
            self.machine.update(slowness, now)

    def has_room(self, tokens: int) -> bool:
        """Return whether a request of so many tokens fits into its memory."""
        return self.memory.has_room(tokens, self.prefix.pending_tokens)

    def running_decodes(self, now: float) -> float:
        """Return the estimated number of answers that the engine is decoding."""
        return self.streams + self.reported_load.estimate(now)

    def overdue_at(self, key: PrefillKey) -> float:
        """Return when a prompt is overdue, even if its engine still replies.

        The limit follows from the work ahead of this prompt, its own length and what
        has overtaken it. One limit for all prompts would remove the longest ones, whose
        prefill takes a second or more, just before they are done. A prompt that is no
        longer tracked has exceeded :data:`PENDING_TTL_SECONDS` and is overdue.
        """
        pending = self.pending_prefills.get(key)
        if pending is None:
            return -math.inf
        expected = pending.due_at - pending.since
        return pending.since + OVERDUE_FACTOR * expected + UNRESPONSIVE_SECONDS

    def unresponsive_at(self, since: float, now: float) -> float:
        """Return when an engine without further replies is taken for lost.

        The time of the running prefill is allowed for, as it may keep the engine busy.

        :param since: when the waiting call was sent; a point in time.
        """
        pending = self.pending_prefills.get(self.current) if self.current else None
        seconds = pending.seconds if pending is not None else 0.0
        prefill_allowance = UNRESPONSIVE_FACTOR * seconds * self.slowdown(now)
        return max(since, self.last_reply_at) + UNRESPONSIVE_SECONDS + prefill_allowance

    def _infer_current(self, at: float) -> None:
        """Infer the prefill that is running since a point in time."""
        self.current_since = at
        queued = [
            key for key, pending in self.pending_prefills.items() if pending.since <= at
        ]
        if queued:
            self.current = min(queued, key=self._order)
            return
        # The queue was empty: the engine started the first prompt that arrived.
        self.current = min(self.pending_prefills, key=self._since, default=None)
        if self.current is not None:
            self.current_since = self._since(self.current)

    def _revise_current(self, now: float) -> None:
        """Infer the running prefill again if the assumed one should long be done.

        The engine then runs a longer prompt that arrived earlier. Otherwise it would
        look almost free to urgent prompts for up to a second, and all of them would be
        sent there.
        """
        pending = self.pending_prefills.get(self.current) if self.current else None
        if pending is None:
            return
        elapsed = (now - self.current_since) / self.slowdown(now)
        if elapsed <= pending.seconds * OVERRUN_FACTOR + NEXT_PREFILL_LEAD_SECONDS:
            return
        queued_by = self.current_since + NEXT_PREFILL_LEAD_SECONDS
        longer = [
            key
            for key, other in self.pending_prefills.items()
            if other.since <= queued_by and other.seconds > elapsed
        ]
        self.current = min(longer, key=self._order, default=self.current)

    def _order(self, key: PrefillKey) -> tuple[int, float]:
        """Return the sort key by which the engine chooses its next prefill."""
        return self.pending_prefills[key].priority, self.pending_prefills[key].since

    def _since(self, key: PrefillKey) -> float:
        return self.pending_prefills[key].since

    def _drop_expired(self, now: float) -> None:
        limit = now - PENDING_TTL_SECONDS
        old = [
            key
            for key, pending in self.pending_prefills.items()
            if pending.since < limit
        ]
        for key in old:
            self.end(key, now, done=False)
