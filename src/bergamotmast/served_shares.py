"""Served share of large prompts, compared with all prompts of their request class."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

MIN_SERVED_RATIO = 0.5
"""Minimum served share of large prompts that operators expect, relative to all."""

MIN_PROMPTS = 10
"""Minimum number of prompts of a class, as fewer have no largest tenth."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServedShares:
    """Served shares of the prompts of a request class, by prompt size.

    :param all: served share of all prompts.
    :param largest: served share of the largest tenth.
    :param large: served share of the fifth below it.
    """

    all: float
    largest: float
    large: float

    @property
    def min_served_ratio(self) -> float:
        """The lower of ``largest`` and ``large`` over ``all``; 1 if none was served."""
        return min(self.largest, self.large) / self.all if self.all else 1.0


def served_shares(
    prompts: cabc.Iterable[tuple[int, bool]],
) -> ServedShares | None:
    """Return the served shares of a class; ``None`` for too few prompts.

    :param prompts: pairs of size in tokens and whether the prompt was served.
    """
    ordered = [served for _, served in sorted(prompts, key=lambda prompt: prompt[0])]
    tenth = len(ordered) // MIN_PROMPTS
    if not tenth:
        return None
    largest, large = ordered[-tenth:], ordered[-3 * tenth : -tenth]
    return ServedShares(_share(ordered), _share(largest), _share(large))


def _share(served: cabc.Collection[bool]) -> float:
    return sum(served) / len(served)
