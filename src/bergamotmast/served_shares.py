"""What was served of large prompts, compared with all prompts of their class."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

LEAST_RATIO = 0.5
"""Least served share of large prompts against all that operators expect."""

FEWEST_PROMPTS = 10
"""Prompts below which a class has no largest tenth."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServedShares:
    """Shares of a class's prompts that were served, by size.

    :param largest: of the largest tenth.
    :param large: of the fifth below it.
    """

    all: float
    largest: float
    large: float

    @property
    def least_ratio(self) -> float:
        """The lesser of the two against all; 1 where nothing was served at all."""
        return min(self.largest, self.large) / self.all if self.all else 1.0


def served_shares(
    prompts: cabc.Iterable[tuple[int, bool]],
) -> ServedShares | None:
    """Return what was served of a class; ``None`` for too few prompts.

    :param prompts: size in tokens, and whether it was served.
    """
    ordered = [served for _, served in sorted(prompts, key=lambda prompt: prompt[0])]
    tenth = len(ordered) // FEWEST_PROMPTS
    if not tenth:
        return None
    largest, large = ordered[-tenth:], ordered[-3 * tenth : -tenth]
    return ServedShares(_share(ordered), _share(largest), _share(large))


def _share(served: cabc.Collection[bool]) -> float:
    return sum(served) / len(served)
