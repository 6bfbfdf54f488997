"""Which parts of prompts an engine is believed to keep.

Load pattern: prompts share long beginnings, of which there are more than all engines
together can keep; an engine forgets what it has used least lately.

Without it: a beginning is read again where another engine has it, and a fetch is asked
of an engine that has forgotten it, or that has not read it yet, and brings nothing.
"""

from __future__ import annotations

import collections
import typing as t

PrefillKey: t.TypeAlias = tuple[str, int]
"""Name of the entry that sent a prompt, and that entry's number for it."""

PromptParts: t.TypeAlias = t.Sequence[tuple[int, int]]
"""Hash and tokens of the parts of a prompt, in order."""


class PrefixCacheModel:
    """Prompt parts that an engine is believed to keep; the oldest leave.

    :param capacity: tokens that it keeps.
    :param cached_parts: parts that it has read.
    :param pending: parts of prompts that wait there or are being read.
    :param pending_counts: in how many of those each part stands.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.cached_parts: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.total = 0
        self.pending: dict[PrefillKey, PromptParts] = {}
        self.pending_counts: collections.Counter[int] = collections.Counter()

    def transferable_tokens(self, parts: PromptParts) -> int:
        """Return how many tokens at a prompt's head another engine could fetch."""
        return _beginning(parts, lambda key: key in self.cached_parts)

    def expected_cached_tokens(self, parts: PromptParts) -> int:
        """Return how many tokens at a prompt's head it will not read again.

        What comes there counts: it is read first, or as a part of this prompt.
        """
        return _beginning(
            parts, lambda key: key in self.cached_parts or key in self.pending_counts
        )

    def expect(self, work: PrefillKey, parts: PromptParts) -> None:
        """Note that a prompt is on its way."""
        self.settle(work, done=False)
        self.pending[work] = parts
        self.pending_counts.update(key for key, _ in parts)

    def settle(self, work: PrefillKey, *, done: bool) -> None:
        """Note that a prompt has been read, or will not be."""
        parts = self.pending.pop(work, ())
        for key, _ in parts:
            self.pending_counts[key] -= 1
            if not self.pending_counts[key]:
                del self.pending_counts[key]
        if done:
            self.store(parts)

    def store(self, parts: PromptParts) -> None:
        """Note that an engine has read these parts just now."""
        for key, tokens in parts:
            self.total += tokens - self.cached_parts.pop(key, 0)
            self.cached_parts[key] = tokens
        while self.total > self.capacity and self.cached_parts:
            _, tokens = self.cached_parts.popitem(last=False)
            self.total -= tokens


def _beginning(parts: PromptParts, is_known: t.Callable[[int], bool]) -> int:
    """Return the tokens of the parts before the first one that is not known."""
    found = 0
    for key, tokens in parts:
        if not is_known(key):
            break
        found += tokens
    return found
