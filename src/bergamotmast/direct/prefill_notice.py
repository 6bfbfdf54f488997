"""The notice that entries exchange about the start or the end of a prefill."""

from __future__ import annotations

import typing as t

import msgspec

from ..policy.prefix_cache import PrefillKey


class PrefillNotice(msgspec.Struct, frozen=True, array_like=True):
    """The start or the end of a prefill at an engine.

    :param engine: hash of the engine's name and boot.
    :param number: the sender's number of the prefill.
    :param tokens: prompt tokens to prefill; 0 at the end of a prefill.
    :param cached: prompt tokens before them, which the engine has cached.
    :param parts: hash and length of the prompt's shared parts.
    :param done: at the end of a prefill, whether it was completed.
    :param goes_first: whether it runs before all others of its priority rank.
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
        """Return the prompt's parts, with the unshared rest under a unique hash.

        No other prompt can use that part, but it occupies the engine's cache and evicts
        others.
        """
        own = self.tokens + self.cached - sum(tokens for _, tokens in self.parts)
        return (*self.parts, (hash(key), own)) if own > 0 else self.parts


class MeasuredPrefillNotice(PrefillNotice, frozen=True, array_like=True):
    """The end of a prefill that met no queue, with its measured time.

    Decodes every notice; one without a measurement has the defaults. Entries that know
    only :class:`PrefillNotice` ignore the fields after its own.

    :param prefilled: prompt tokens that were prefilled, after ``cached`` others.
    :param seconds: how long it took, relative to the usual speed of the engine's
        machine; 0 if it wasn't measured.
    """

    prefilled: t.Annotated[int, msgspec.Meta(ge=0, le=1 << 32)] = 0
    seconds: t.Annotated[float, msgspec.Meta(ge=0, le=600)] = 0.0
