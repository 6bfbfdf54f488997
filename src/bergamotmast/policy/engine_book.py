"""What one entry knows of each engine's work, its own and what other entries told it.

Load pattern: several entries place prompts on the same few engines, and prompts differ
in length a hundredfold. An engine reads one prompt at a time to its end and then takes
the most urgent one that waits.

Without it: counting requests takes a prompt of fifty thousand tokens, a second of an
engine's time, for one of five hundred; the short ones behind it miss their objective
while another engine idles.

The book therefore follows each engine as the queue that it is, in seconds that a
reading engine of usual speed takes. A prompt's length alone is not enough: each of its
tokens is compared with all before it, so that 50,000 tokens take half again as long as
their share of 10,000 would say; believed to be done by then, the engine would be sent
short prompts that wait for the rest.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing as t

from ..model import Role
from .load_hint import FadingHint

READ_RATE = 52_000.0
"""Prompt tokens a second of a reading engine, the steps around them included; measured
from single prompts of 500 to 5,000 tokens on an idle engine."""

PAIR_SECONDS = 0.37e-9
"""Seconds for each pair of a token read and one before it; measured from prompts of
30,000 to 50,000 tokens."""

ANSWERING_SHARE = 0.42
"""Speed at which an answering engine reads prompts, against a reading one: half of it,
and a step for the answers' tokens with each small piece."""

LEAST_LEFT = 0.1
"""Part of the present prompt that is always taken to be left: its end has not been
heard of, and short prompts that nobody tells of may have gone before it."""

CALL_SECONDS = 0.009
"""What a call to read a prompt takes beside the reading."""

HINT_SECONDS = 2.0
"""Time constant with which an engine's word on its answers fades: they take a second
or two, and each new one brings the engine's word anew."""

FORGET_SECONDS = 4.0
"""Work whose end was never heard of, by a lost notice or a dead entry, is forgotten."""

CACHE_SHARE = 0.5
"""Part of an engine's KV memory that is taken to keep shared parts."""

URGENT_SECONDS = 1.0
"""Time constant with which the load of more urgent prompts is measured: bursts last
some seconds, and a wait that counts is under two."""

MOST_URGENT = 0.75
"""Bound of that load as a share of the engine's time: the wait is at most four times
what stands before a prompt."""

SILENT_SECONDS = 0.7
"""An engine that has said nothing for so long, on any of this entry's calls, beside the
time its present prompt takes, may be gone: callers leave after two seconds, and the
prompt must be read anew before that."""

OVERDUE_FACTOR = 2.0
"""Multiples of the time predicted for a prompt after which it is overdue at an engine
that lives: what waits there unknown to this entry seldom doubles it."""

SLOW_WEIGHT = 0.25
"""Weight of a new measurement of an engine's slowness, on a log scale."""

SLOW_SECONDS = 4.0
"""Time constant with which a slow engine is taken to be sound again; it is then tried
with a request or two, which show whether it is."""

MOST_SLOW = 16.0
"""Bound of the slowness: beyond it an engine gets nothing anyway."""


@dataclasses.dataclass(slots=True)
class Work:
    """One prompt on its way through an engine.

    :param seconds: that a reading engine of usual speed takes for it.
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


WorkKey: t.TypeAlias = tuple[str, int]
"""Name of the entry that sent it, and that entry's number for it."""


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
        return min(MOST_URGENT, urgent / URGENT_SECONDS)

    def _fade(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / URGENT_SECONDS)
        self.at = now
        self.seconds = {known: s * factor for known, s in self.seconds.items()}


class PrefixMemory:
    """Shared prompt parts that an engine is believed to keep; the oldest leave."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.total = 0

    def cached(self, parts: t.Sequence[tuple[int, int]]) -> int:
        """Return how many tokens at a prompt's head need not be read again."""
        found = 0
        for key, tokens in parts:
            if key not in self.held:
                break
            found += tokens
        return found

    def store(self, parts: t.Sequence[tuple[int, int]]) -> None:
        """Note that an engine has read these parts just now."""
        for key, tokens in parts:
            self.total += tokens - self.held.pop(key, 0)
            self.held[key] = tokens
        while self.total > self.capacity and self.held:
            _, tokens = self.held.popitem(last=False)
            self.total -= tokens


class EngineBook:
    """One engine as this entry knows it.

    :param current: the work that it is thought to read now.
    :param current_since: when that began; a point in time.
    :param streams: own answers under way there.
    :param heard_at: when it last said anything to this entry; a point in time.
    :param failed_until: until when it is left alone; a point in time.
    """

    def __init__(self, kv_capacity: int) -> None:
        self.prefix = PrefixMemory(int(kv_capacity * CACHE_SHARE))
        self.reading: dict[WorkKey, Work] = {}
        self.urgent = UrgentLoad()
        self.current: WorkKey | None = None
        self.current_since = 0.0
        self.streams = 0
        self.hinted = FadingHint(HINT_SECONDS)
        self.failed_until = -math.inf
        self.heard_at = -math.inf
        self.slow_log = 0.0
        self.slow_at = 0.0

    def begin(
        self,
        key: WorkKey,
        seconds: float,
        priority: int,
        now: float,
        share: float = 1.0,
    ) -> None:
        """Note a prompt that waits at the engine from now on.

        :param share: speed at which the engine reads, against a usual reading one.
        """
        pace = self.slow(now) / share
        due_at = now + (self.wait(priority, now) + seconds) * pace
        for work in self.reading.values():
            if priority < work.priority:
                work.overtaken = True
                work.due_at += seconds * pace
        self.reading[key] = Work(seconds, priority, now, due_at)
        self.urgent.add(priority, seconds, now)
        if self.current is None:
            self._take_next(now)

    def end(self, key: WorkKey, now: float) -> Work | None:
        """Note that a prompt is read, or that its call has ended otherwise."""
        work = self.reading.pop(key, None)
        if work is not None and self.current not in self.reading:
            self._take_next(now)
        return work

    def wait(self, priority: int, now: float) -> float:
        """Return the usual seconds of what is read before a prompt of a priority."""
        self._forget_old(now)
        seconds = 0.0
        for key, work in self.reading.items():
            if key == self.current:
                progress = max(0.0, now - self.current_since) / self.slow(now)
                seconds += max(work.seconds * LEAST_LEFT, work.seconds - progress)
            elif work.priority <= priority:
                seconds += work.seconds
        return seconds

    def expected_wait(self, priority: int, now: float) -> float:
        """Return the usual seconds until a prompt of a priority is read.

        That is what is read before it, and the more urgent that comes meanwhile.
        """
        return self.wait(priority, now) / (1.0 - self.urgent.share(priority, now))

    def slow(self, now: float) -> float:
        """Return how many times slower than usual the engine is taken to be."""
        age = max(0.0, now - self.slow_at)
        return math.exp(self.slow_log * math.exp(-age / SLOW_SECONDS))

    def measure(self, predicted: float, actual: float, now: float) -> None:
        """Compare a prediction with what the engine took.

        What was faster than predicted counts at once, what was slower by its weight:
        a queue that nobody told of looks like slowness once, a slow engine each time.
        """
        if predicted <= 0.0 or actual <= 0.0:
            return
        ratio = math.log(min(MOST_SLOW, max(1.0, actual / predicted)))
        known = math.log(self.slow(now))
        weight = 1.0 if ratio < known else SLOW_WEIGHT
        self.slow_log = known + weight * (ratio - known)
        self.slow_at = now

    def hint(self, running: int, waiting: int, now: float) -> None:
        """Take an engine's word on its requests, this entry's own included."""
        self.hinted.take(running, waiting, self.streams, now)

    def answers(self, now: float) -> float:
        """Return how many answers are thought to be under way there."""
        return self.streams + self.hinted.others(now)

    def overdue_at(self, key: WorkKey) -> float:
        """Return when a prompt is overdue, whatever else its engine does.

        It is reckoned from what stood before this prompt, its own length and what has
        overtaken it: a bound for all prompts would take the longest ones, which an
        engine reads for a second and more, from every engine just before they are read.
        A prompt that is no longer booked has been forgotten as too old.
        """
        work = self.reading.get(key)
        if work is None:
            return -math.inf
        expected = work.due_at - work.since
        return work.since + OVERDUE_FACTOR * expected + SILENT_SECONDS

    def silent_at(self, since: float, now: float) -> float:
        """Return when an engine that stays silent may be gone.

        It may be busy with one prompt all the while, whose time is allowed for.

        :param since: when the call that waits was sent; a point in time.
        """
        work = self.reading.get(self.current) if self.current else None
        seconds = work.seconds if work is not None else 0.0
        reading = seconds / ANSWERING_SHARE * self.slow(now)
        return max(since, self.heard_at) + SILENT_SECONDS + reading

    def _take_next(self, now: float) -> None:
        self.current = min(
            self.reading,
            key=lambda key: (self.reading[key].priority, self.reading[key].since),
            default=None,
        )
        self.current_since = now

    def _forget_old(self, now: float) -> None:
        limit = now - FORGET_SECONDS
        old = [key for key, work in self.reading.items() if work.since < limit]
        for key in old:
            self.end(key, now)


def read_seconds(tokens: int, cached: int = 0) -> float:
    """Return how long a reading engine of usual speed takes for a prompt.

    :param tokens: to read.
    :param cached: tokens before them that it need not read.
    """
    pairs = tokens * (cached + tokens / 2)
    return tokens / READ_RATE + pairs * PAIR_SECONDS


def role_share(role: Role) -> float:
    """Return the speed at which engines of a role read, against a reading one."""
    return 1.0 if role is Role.PREFILL else ANSWERING_SHARE
