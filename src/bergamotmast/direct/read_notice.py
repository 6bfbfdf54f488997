"""What one entry tells the others of a prompt that it sends to an engine."""

from __future__ import annotations

import typing as t

import msgspec

from ..policy.prefix_cache import PrefillKey


class ReadNotice(msgspec.Struct, frozen=True, array_like=True):
    """A prompt's start or end at an engine.

    :param engine: hash of the engine's name and boot.
    :param number: the sender's number for it.
    :param tokens: prompt tokens to read; 0 at its end.
    :param cached: tokens before those that the engine need not read.
    :param parts: hash and length of the prompt's shared parts.
    :param done: at its end, whether it was read.
    :param goes_first: whether it is read before the others of its rank.
    """

    engine: int
    number: int
    priority: int
    tokens: t.Annotated[int, msgspec.Meta(ge=0, le=1 << 32)]
    cached: t.Annotated[int, msgspec.Meta(ge=0, le=1 << 32)] = 0
    parts: tuple[tuple[int, int], ...] = ()
    done: bool = False
    goes_first: bool = False

    def all_parts(self, key: PrefillKey) -> tuple[tuple[int, int], ...]:
        """Return the prompt's parts, its own one under a name of its own.

        Nobody else asks for that one, but the engine keeps it and forgets another.
        """
        own = self.tokens + self.cached - sum(tokens for _, tokens in self.parts)
        return (*self.parts, (hash(key), own)) if own > 0 else self.parts
