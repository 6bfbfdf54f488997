"""What one entry knows of each engine's work, its own and what other entries told it.

Load pattern: several entries place prompts on the same few engines, and prompts differ
in length a hundredfold. An engine reads one prompt at a time to its end and then takes
the most urgent one that waits.

Without it: counting requests takes a prompt of fifty thousand tokens, a second of an
engine's time, for one of five hundred; the short ones behind it miss their objective
while another engine idles.

The book therefore follows each engine as the queue that it is, in seconds that this
engine takes. What it reads at present decides how long even the most urgent prompt
waits, and nobody tells it: it is guessed from what was there as the last one ended, and
guessed anew once that one takes longer than it can.
"""

from __future__ import annotations

import dataclasses
import math

from ..model import Role
from .load_hint import DecayingLoadHint
from .prefill_model import EngineTimeRatio
from .prefill_model import GroupPrefillTimes
from .prefix_cache import PrefillKey
from .prefix_cache import PrefixCacheModel

MIN_REMAINING_SHARE = 0.3
"""Part of the present prompt that is always taken to be left: its end has not been
heard of, and short prompts that nobody tells of may have gone before it."""

NEXT_PREFILL_LEAD_SECONDS = 0.02
"""An engine has begun its next prompt by so much before the end of the last is heard
of. What came later can't be the one that it reads."""

OVERRUN_FACTOR = 1.3
"""Multiples of its time, beside :data:`NEXT_PREFILL_LEAD_SECONDS`, after which the
present prompt must be another one than was thought."""

LOAD_HINT_SECONDS = 2.0
"""Time constant with which an engine's word on its answers fades: they take a second
or two, and each new one brings the engine's word anew."""

PENDING_TTL_SECONDS = 4.0
"""Work whose end was never heard of, by a lost notice or a dead entry, is forgotten."""

URGENT_LOAD_SECONDS = 1.0
"""Time constant with which the load of more urgent prompts is measured: bursts last
some seconds, and a wait that counts is under two."""

MAX_URGENT_SHARE = 0.75
"""Bound of that load as a share of the engine's time: the wait is at most four times
what stands before a prompt."""

UNRESPONSIVE_SECONDS = 0.7
"""An engine that has said nothing for so long, on any of this entry's calls, beside the
time its present prompt takes, may be gone: callers leave after two seconds, and the
prompt must be read anew before that."""

UNRESPONSIVE_FACTOR = 2.0
"""Multiples of that time that are allowed for."""

OVERDUE_FACTOR = 2.0
"""Multiples of the time predicted for a prompt after which it is overdue at an engine
that lives: what waits there unknown to this entry seldom doubles it."""

SLOWDOWN_WEIGHT = 0.25
"""Weight of a new measurement of an engine's slowness, on a log scale."""

SLOWDOWN_DECAY_SECONDS = 4.0
"""Time constant with which a slow engine is taken to be sound again; it is then tried
with a request or two, which show whether it is."""

MAX_SLOWDOWN = 16.0
"""Bound of the slowness: beyond it an engine gets nothing anyway."""


@dataclasses.dataclass(slots=True)
class PendingPrefill:
    """One prompt on its way through an engine.

    :param seconds: for which it keeps the engine from others.
    :param priority: the less, the sooner it is read.
    :param since: when it was sent, or heard of; a point in time.
    :param due_at: when it should be read; a point in time.
    :param overtaken: whether something more urgent has come since.
    """

    seconds: float
    priority: int
    since: float
    due_at: float
    overtaken: bool = False


class UrgentLoad:
    """How much of an engine's time goes to prompts of each priority, lately.

    A prompt waits for what stands before it and also for more urgent ones that come
    meanwhile. While bursts of short prompts last, a long one waits three times as long
    as its place in the queue says.
    """

    def __init__(self) -> None:
        self.seconds: dict[int, float] = {}
        self.at = 0.0

    def add(self, priority: int, seconds: float, now: float) -> None:
        """Note a prompt that takes some seconds to read."""
        self._fade(now)
        self.seconds[priority] = self.seconds.get(priority, 0.0) + seconds

    def share(self, priority: int, now: float) -> float:
        """Return the share of the engine's time that more urgent prompts take."""
        self._fade(now)
        urgent = sum(s for known, s in self.seconds.items() if known < priority)
        return min(MAX_URGENT_SHARE, urgent / URGENT_LOAD_SECONDS)

    def _fade(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / URGENT_LOAD_SECONDS)
        self.at = now
        self.seconds = {known: s * factor for known, s in self.seconds.items()}


class EngineLoadTracker:
    """One engine as this entry knows it.

    :param current: the work that it is thought to read now.
    :param current_since: when that began; a point in time.
    :param streams: own answers under way there.
    :param last_reply_at: when it last said anything to this entry; a point in time.
    :param cooldown_until: until when it is left alone; a point in time.
    :param role: that it had when it was last looked at.
    :param prefill_times: what the engines of its group take to read.
    :param tie_break: see :class:`~.direct_placement.EngineView`.
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
        self.prefix = PrefixCacheModel(kv_capacity)
        self.pending_prefills: dict[PrefillKey, PendingPrefill] = {}
        self.urgent = UrgentLoad()
        self.current: PrefillKey | None = None
        self.current_since = 0.0
        self.streams = 0
        self.reported_load = DecayingLoadHint(LOAD_HINT_SECONDS)
        self.cooldown_until = -math.inf
        self.last_reply_at = -math.inf
        self.slowdown_log = 0.0
        self.slowdown_at = 0.0

    def occupied_seconds(self, tokens: int, cached: int) -> float:
        """Return for how many seconds a prompt keeps this engine from others.

        :param tokens: to read.
        :param cached: tokens before them that it need not read.
        """
        times = self.prefill_times.of(self.role).times
        return times.occupied_seconds(tokens, cached) * self.time_ratio.factor

    def prefill_seconds(self, tokens: int, cached: int) -> float:
        """Return how long this engine takes for a prompt that meets no queue."""
        times = self.prefill_times.of(self.role).times
        return times.seconds(tokens, cached) * self.time_ratio.factor

    def begin(
        self,
        key: PrefillKey,
        seconds: float,
        priority: int,
        now: float,
        *,
        goes_first: bool = False,
    ) -> None:
        """Note a prompt that waits at the engine from now on.

        :param goes_first: whether it is more urgent than others of its size. It tells
            nothing of what comes next, and would pass for a burst of urgent prompts.
        """
        slowdown = self.slowdown(now)
        due_at = now + (self.wait(priority, now) + seconds) * slowdown
        for work in self.pending_prefills.values():
            if priority < work.priority:
                work.overtaken = True
                work.due_at += seconds * slowdown
        self.pending_prefills[key] = PendingPrefill(seconds, priority, now, due_at)
        if not goes_first:
            self.urgent.add(priority, seconds, now)
        if self.current is None:
            self._take_next(now)

    def end(
        self, key: PrefillKey, now: float, *, done: bool = True
    ) -> PendingPrefill | None:
        """Note that a prompt is read, or that its call has ended otherwise.

        :param done: whether it was read to its end: the engine reads another one now,
            whichever was taken for the present one.
        """
        work = self.pending_prefills.pop(key, None)
        self.prefix.settle(key, done=done)
        if work is not None and (done or key == self.current):
            self._take_next(now - NEXT_PREFILL_LEAD_SECONDS)
        return work

    def wait(self, priority: int, now: float) -> float:
        """Return the seconds of what is read before a prompt of a priority."""
        self._forget_old(now)
        self._guess_again(now)
        seconds = 0.0
        for key, work in self.pending_prefills.items():
            if key == self.current:
                progress = max(0.0, now - self.current_since) / self.slowdown(now)
                seconds += max(
                    work.seconds * MIN_REMAINING_SHARE, work.seconds - progress
                )
            elif work.priority <= priority:
                seconds += work.seconds
        return seconds

    def expected_wait(self, priority: int, now: float) -> float:
        """Return the seconds until a prompt of a priority is read.

        That is what is read before it, and the more urgent that comes meanwhile.
        """
        return self.wait(priority, now) / (1.0 - self.urgent.share(priority, now))

    def slowdown(self, now: float) -> float:
        """Return how many times slower than usual the engine is taken to be."""
        age = max(0.0, now - self.slowdown_at)
        return math.exp(self.slowdown_log * math.exp(-age / SLOWDOWN_DECAY_SECONDS))

    def observe_slowdown(self, predicted: float, actual: float, now: float) -> None:
        """Compare a prediction with what the engine took.

        What was faster than predicted counts at once, what was slower by its weight:
        a queue that nobody told of looks like slowness once, a slow engine each time.
        """
        if predicted <= 0.0 or actual <= 0.0:
            return
        ratio = math.log(min(MAX_SLOWDOWN, max(1.0, actual / predicted)))
        known = math.log(self.slowdown(now))
        weight = 1.0 if ratio < known else SLOWDOWN_WEIGHT
        self.slowdown_log = known + weight * (ratio - known)
        self.slowdown_at = now

    def learn(self, tokens: int, cached: int, seconds: float) -> None:
        """Take what a read took that met no queue, as far as known."""
        model = self.prefill_times.of(self.role)
        self.time_ratio.learn(model.times.seconds(tokens, cached), seconds)
        model.learn(tokens, cached, seconds / self.time_ratio.factor)

    def hint(self, running: int, waiting: int, now: float) -> None:
        """Take an engine's word on its requests, this entry's own included."""
        self.reported_load.update(running, waiting, self.streams, now)

    def running_decodes(self, now: float) -> float:
        """Return how many answers are thought to be under way there."""
        return self.streams + self.reported_load.estimate(now)

    def overdue_at(self, key: PrefillKey) -> float:
        """Return when a prompt is overdue, whatever else its engine does.

        It is reckoned from what stood before this prompt, its own length and what has
        overtaken it: a bound for all prompts would take the longest ones, which an
        engine reads for a second and more, from every engine just before they are read.
        A prompt that is no longer booked has been forgotten as too old.
        """
        work = self.pending_prefills.get(key)
        if work is None:
            return -math.inf
        expected = work.due_at - work.since
        return work.since + OVERDUE_FACTOR * expected + UNRESPONSIVE_SECONDS

    def unresponsive_at(self, since: float, now: float) -> float:
        """Return when an engine that stays silent may be gone.

        It may be busy with one prompt all the while, whose time is allowed for.

        :param since: when the call that waits was sent; a point in time.
        """
        work = self.pending_prefills.get(self.current) if self.current else None
        seconds = work.seconds if work is not None else 0.0
        pending_prefills = UNRESPONSIVE_FACTOR * seconds * self.slowdown(now)
        return max(since, self.last_reply_at) + UNRESPONSIVE_SECONDS + pending_prefills

    def _take_next(self, at: float) -> None:
        """Guess what the engine reads since a point in time."""
        self.current_since = at
        there = [key for key, work in self.pending_prefills.items() if work.since <= at]
        if there:
            self.current = min(there, key=self._order)
            return
        # Nothing waited: the engine began with the first that came.
        self.current = min(self.pending_prefills, key=self._since, default=None)
        if self.current is not None:
            self.current_since = self._since(self.current)

    def _guess_again(self, now: float) -> None:
        """Take another prompt for the present one if that should long be read.

        The engine then reads something longer, which had come before. Left at the
        guess, it would look as good as free to an urgent prompt for as long as that
        takes, a second at times, and all of them would be sent there.
        """
        work = self.pending_prefills.get(self.current) if self.current else None
        if work is None:
            return
        elapsed = (now - self.current_since) / self.slowdown(now)
        if elapsed <= work.seconds * OVERRUN_FACTOR + NEXT_PREFILL_LEAD_SECONDS:
            return
        begun_by = self.current_since + NEXT_PREFILL_LEAD_SECONDS
        longer = [
            key
            for key, other in self.pending_prefills.items()
            if other.since <= begun_by and other.seconds > elapsed
        ]
        self.current = min(longer, key=self._order, default=self.current)

    def _order(self, key: PrefillKey) -> tuple[int, float]:
        """Return by what the engine chooses its next prompt."""
        return self.pending_prefills[key].priority, self.pending_prefills[key].since

    def _since(self, key: PrefillKey) -> float:
        return self.pending_prefills[key].since

    def _forget_old(self, now: float) -> None:
        limit = now - PENDING_TTL_SECONDS
        old = [key for key, work in self.pending_prefills.items() if work.since < limit]
        for key in old:
            self.end(key, now, done=False)
