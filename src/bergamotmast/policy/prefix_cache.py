"""Model of an engine's prefix cache: the prompt parts it is believed to hold.

Load pattern: prompts share long prefixes, more than all engines together can cache; an
engine evicts the least recently used one.

Without it: a prefix is prefilled again although another engine has it cached, or a KV
transfer is requested from an engine that has evicted the prefix or has not prefilled it
yet, and transfers nothing.
"""

from __future__ import annotations

import collections
import typing as t

PrefillKey: t.TypeAlias = tuple[str, int]
"""Name of the entry that sent a prompt, and that entry's number for it."""

PromptParts: t.TypeAlias = t.Sequence[tuple[int, int]]
"""Hash and token count of each part of a prompt, in order."""


class PrefixCacheModel:
    """LRU model of the prompt parts in an engine's prefix cache.

    :param capacity: cache size in tokens.
    :param cached_parts: tokens of each cached part, by hash.
    :param total: sum of these tokens.
    :param pending: parts of the prompts that are queued or running there.
    :param pending_tokens: sum of their tokens.
    :param pending_counts: number of those prompts that contain each part.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.cached_parts: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.total = 0
        self.pending: dict[PrefillKey, PromptParts] = {}
        self.pending_tokens = 0
        self.pending_counts: collections.Counter[int] = collections.Counter()

    def transferable_tokens(self, parts: PromptParts) -> int:
        """Return how many prefix tokens another engine could transfer."""
        return _known_prefix_tokens(parts, lambda key: key in self.cached_parts)

    def expected_cached_tokens(self, parts: PromptParts) -> int:
        """Return how many prefix tokens will be cached at the prompt's prefill.

        Pending parts count: they are prefilled before this prompt or as part of it.
        """
        return _known_prefix_tokens(
            parts, lambda key: key in self.cached_parts or key in self.pending_counts
        )

    def expect(self, prefill: PrefillKey, parts: PromptParts) -> None:
        """Record a prompt that was sent to the engine."""
        self.settle(prefill, done=False)
        self.pending[prefill] = parts
        self.pending_tokens += sum(tokens for _, tokens in parts)
        self.pending_counts.update(key for key, _ in parts)

    def settle(self, prefill: PrefillKey, *, done: bool) -> None:
        """Record that a prompt has been prefilled, or will not be."""
        parts = self.pending.pop(prefill, ())
        for key, tokens in parts:
            self.pending_tokens -= tokens
            self.pending_counts[key] -= 1
            if not self.pending_counts[key]:
                del self.pending_counts[key]
        if done:
            self.store(parts)

    def store(self, parts: PromptParts) -> None:
        """Record that the engine has just prefilled these parts."""
        for key, tokens in parts:
            self.total += tokens - self.cached_parts.pop(key, 0)
            self.cached_parts[key] = tokens
        while self.total > self.capacity and self.cached_parts:
            _, tokens = self.cached_parts.popitem(last=False)
            self.total -= tokens


def _known_prefix_tokens(parts: PromptParts, is_known: t.Callable[[int], bool]) -> int:
    """Return the number of tokens before the first unknown part."""
    known_tokens = 0
    for key, tokens in parts:
        if not is_known(key):
            break
        known_tokens += tokens
    return known_tokens
