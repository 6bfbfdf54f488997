"""The prefix cache of an engine stand-in and the events it publishes."""

from __future__ import annotations

import collections
import dataclasses

from ..model import CacheEvent

MAX_CACHE_EVENTS = 1024
"""Number of recent cache events that can still be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Published:
    at: float
    event: CacheEvent


class PrefixCache:
    """Prefix cache with LRU eviction, which publishes its changes as events.

    :param capacity: size, in tokens.
    :param lag: seconds until an event can be read.
    :param gap: every n-th event is lost; 0 to lose none.
    :param used: tokens of all cached prefixes.
    :param sequence: sequence number of the last event.
    """

    def __init__(self, capacity: int, lag: float, gap: int) -> None:
        self.capacity = capacity
        self.lag = lag
        self.gap = gap
        self.used = 0
        self.sequence = 0
        self._tokens: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._events: collections.deque[_Published] = collections.deque(
            maxlen=MAX_CACHE_EVENTS
        )

    def hit(self, key: str, tokens: int) -> int:
        """Return how many of a prompt's leading tokens are cached.

        :param key: the prompt's prefix key.
        :param tokens: leading prompt tokens that the key covers.
        """
        if key not in self._tokens:
            return 0
        self._tokens.move_to_end(key)
        return min(tokens, self._tokens[key])

    def add(self, key: str, tokens: int, now: float) -> None:
        """Cache a prefix, and evict the least recently used ones until it fits."""
        if not key or not 0 < tokens <= self.capacity:
            return
        held = self._tokens.pop(key, 0)
        self.used += max(tokens, held) - held
        self._tokens[key] = max(tokens, held)
        if not held:
            self._publish(key, True, now)
        while self.used > self.capacity:
            self._drop_oldest(now)

    def clear(self, now: float) -> None:
        """Evict every prefix."""
        while self._tokens:
            self._drop_oldest(now)

    def events(self, after: int, now: float) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number that are visible by now."""
        visible = now - self.lag
        return tuple(
            published.event
            for published in self._events
            if published.event.sequence > after and published.at <= visible
        )

    def _drop_oldest(self, now: float) -> None:
        key, tokens = self._tokens.popitem(last=False)
        self.used -= tokens
        self._publish(key, False, now)

    def _publish(self, key: str, present: bool, now: float) -> None:
        self.sequence += 1
        if self.gap and self.sequence % self.gap == 0:
            return
        self._events.append(_Published(now, CacheEvent(self.sequence, key, present)))
