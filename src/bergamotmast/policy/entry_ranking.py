"""Choice of the entries that are responsible for something, by rendezvous hashing.

All entries that know the same entries choose the same ones, without a message. If an
entry comes or goes, only what it is responsible for moves.
"""

from __future__ import annotations

import collections.abc as cabc
import hashlib
import heapq


def stable_hash(text: str) -> int:
    """Return a hash of 64 bits, the same in all processes."""
    encoded = text.encode(errors="surrogatepass")
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=8).digest())


def first_entries(count: int, entries: cabc.Iterable[str], subject: int) -> list[str]:
    """Return the entries that are responsible for a subject, the first one first."""
    return heapq.nlargest(
        count, entries, key=lambda entry: stable_hash(f"{entry}\0{subject}")
    )
