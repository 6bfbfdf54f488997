"""What one entry knows of each engine's work, from its own calls and their replies.

Load pattern: several entries place prompts on the same few engines without asking each
other, and prompts differ in length a hundredfold.

Without it: counting requests takes a prompt of fifty thousand tokens for one of five
hundred, and the short ones behind it miss their objective while another engine idles.

Work is counted in prompt tokens that an engine still has to read. Own calls are known
exactly; the others' are guessed from the running and waiting requests that the engine
names in each reply, at the mean length of what this entry sends, and the guess fades
within :data:`HINT_SECONDS` because queues of prompts turn over in less.
"""

from __future__ import annotations

import collections
import dataclasses
import typing as t

HINT_SECONDS = 0.4
"""Time constant with which a reply's word on load fades: a prefill queue at its
usual load is worked off in about this time."""

FIRST_RATE = 55_000.0
"""Prompt tokens a second that an engine is taken to read until it was measured."""

RATE_SHARE = 0.1
"""Weight of a new measurement of an engine's rate."""

LEAST_MEASURED_TOKENS = 1_500
"""Shorter prompts say more of an engine's queue than of its rate."""

CACHE_SHARE = 0.5
"""Part of an engine's KV memory that is taken to keep shared parts."""


@dataclasses.dataclass(slots=True)
class Work:
    """One call's prompt on its way through an engine.

    :param tokens: prompt tokens that the engine has to read.
    :param rank: urgency; 0 is the most urgent.
    :param since: when it was sent; a point in time.
    """

    tokens: int
    rank: int
    since: float


class PrefixMemory:
    """Shared prompt parts that an engine is believed to keep, the oldest leave first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.total = 0

    def cached(self, parts: t.Sequence[tuple[str, int]]) -> int:
        """Return how many tokens at a prompt's head need not be read again."""
        found = 0
        for key, tokens in parts:
            if key not in self.held:
                break
            found += tokens
        return found

    def store(self, parts: t.Sequence[tuple[str, int]]) -> None:
        """Note that an engine has read these parts just now."""
        for key, tokens in parts:
            self.total += tokens - self.held.pop(key, 0)
            self.held[key] = tokens
        while self.total > self.capacity and self.held:
            _, tokens = self.held.popitem(last=False)
            self.total -= tokens


class EngineBook:
    """One engine as this entry knows it."""

    def __init__(self, kv_capacity: int) -> None:
        self.prefix = PrefixMemory(int(kv_capacity * CACHE_SHARE))
        self.reading: dict[int, Work] = {}
        self.streams = 0
        self.rate = FIRST_RATE
        self.hint_others = 0
        self.hint_at = float("-inf")
        self.failed_until = float("-inf")
        self.next_id = 0

    def begin(self, tokens: int, rank: int, now: float) -> int:
        """Note a prompt sent; return the number to end it by."""
        self.next_id += 1
        self.reading[self.next_id] = Work(tokens, rank, now)
        return self.next_id

    def end(self, number: int, now: float, *, done: bool, share: float = 1.0) -> None:
        """Note that a prompt is read, or that its call has ended otherwise.

        :param done: whether it was read to its end.
        :param share: part of the engine's rate that prompts get in its role.
        """
        work = self.reading.pop(number, None)
        if work is None or not done or work.tokens < LEAST_MEASURED_TOKENS:
            return
        seconds = now - work.since
        if seconds <= 0.0:
            return
        measured = work.tokens / seconds / share
        # A call's time holds its wait too: the rate follows what is faster at once
        # and what is slower only a little, else a queue would pass for slowness.
        weight = RATE_SHARE if measured > self.rate else RATE_SHARE / 10
        self.rate += weight * (measured - self.rate)

    def hint(self, running: int, waiting: int, now: float) -> None:
        """Take an engine's word on its requests, this entry's own included."""
        own = len(self.reading) + self.streams
        self.hint_others = max(0, running + waiting - own)
        self.hint_at = now

    def others(self, now: float) -> float:
        """Return how many requests of other entries are thought to be there."""
        age = max(0.0, now - self.hint_at)
        return self.hint_others * 2.0 ** (-age / HINT_SECONDS)

    def ahead(self, rank: int, now: float) -> float:
        """Return the own prompt tokens that a new prompt of a rank waits for.

        What was sent long ago is partly read; it counts in full until its reply.
        """
        return float(sum(w.tokens for w in self.reading.values() if w.rank <= rank))
