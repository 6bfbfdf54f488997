"""Which parts of prompts an engine is believed to keep.

Load pattern: prompts share long beginnings, of which there are more than all engines
together can keep; an engine forgets what it has used least lately.

Without it: a beginning is read again where another engine has it, and a fetch is asked
of an engine that has forgotten it, or that has not read it yet, and brings nothing.
"""

from __future__ import annotations

import collections
import typing as t

WorkKey: t.TypeAlias = tuple[str, int]
"""Name of the entry that sent a prompt, and that entry's number for it."""

Parts: t.TypeAlias = t.Sequence[tuple[int, int]]
"""Hash and tokens of the parts of a prompt, in order."""


class PrefixMemory:
    """Prompt parts that an engine is believed to keep; the oldest leave.

    :param capacity: tokens that it keeps.
    :param held: parts that it has read.
    :param coming: parts of prompts that wait there or are being read.
    :param waited_for: in how many of those each part stands.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.total = 0
        self.coming: dict[WorkKey, Parts] = {}
        self.waited_for: collections.Counter[int] = collections.Counter()

    def kept(self, parts: Parts) -> int:
        """Return how many tokens at a prompt's head another engine could fetch."""
        return _beginning(parts, lambda key: key in self.held)

    def cached(self, parts: Parts) -> int:
        """Return how many tokens at a prompt's head it will not read again.

        What comes there counts: it is read first, or as a part of this prompt.
        """
        return _beginning(parts, lambda key: key in self.held or key in self.waited_for)

    def expect(self, work: WorkKey, parts: Parts) -> None:
        """Note that a prompt is on its way."""
        self.settle(work, done=False)
        self.coming[work] = parts
        self.waited_for.update(key for key, _ in parts)

    def settle(self, work: WorkKey, *, done: bool) -> None:
        """Note that a prompt has been read, or will not be."""
        parts = self.coming.pop(work, ())
        for key, _ in parts:
            self.waited_for[key] -= 1
            if not self.waited_for[key]:
                del self.waited_for[key]
        if done:
            self.store(parts)

    def store(self, parts: Parts) -> None:
        """Note that an engine has read these parts just now."""
        for key, tokens in parts:
            self.total += tokens - self.held.pop(key, 0)
            self.held[key] = tokens
        while self.total > self.capacity and self.held:
            _, tokens = self.held.popitem(last=False)
            self.total -= tokens


def _beginning(parts: Parts, is_known: t.Callable[[int], bool]) -> int:
    """Return the tokens of the parts before the first one that is not known."""
    found = 0
    for key, tokens in parts:
        if not is_known(key):
            break
        found += tokens
    return found
