"""Revisions and leases that stay distinct across restores of the store.

A store restored from a backup reissues revisions and leases. Its answers carry the
number of restores, the era, in a header. Prefixed with the era, numbers of different
eras never compare equal, and those of a later era are greater.
"""

from __future__ import annotations

import collections.abc as cabc

ERA_HEADER = "Store-Era"

NUMBERS_PER_ERA = 10**15
"""Upper bound on the numbers that a store issues; a power of ten keeps both parts
readable in logs."""


def read_era(headers: cabc.Mapping[str, str]) -> int | None:
    """Return the number of restores; ``None`` if the header is missing or invalid."""
    text = headers.get(ERA_HEADER, "").strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else None


def qualify(era: int, number: int) -> int:
    """Return a store number prefixed with its era; 0, meaning none, stays 0."""
    return era * NUMBERS_PER_ERA + number if number else 0


def era_of(qualified: int) -> int:
    """Return the era of a qualified number."""
    return qualified // NUMBERS_PER_ERA


def unqualify(qualified: int) -> int:
    """Return the store number without its era."""
    return qualified % NUMBERS_PER_ERA
