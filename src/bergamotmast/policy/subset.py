"""Which of many upstreams one entry keeps connections to.

The load pattern: hundreds of entries before hundreds of upstreams, each entry seeing
a small random part of the traffic. If every entry talked to every upstream, heartbeats
alone would grow with the product of both, and a choice among all candidates by an old
picture would send everyone to the same apparent best.

Each entry takes, for each group, the upstreams that rank highest by a hash of both
names: the choice is stable (a change of the fleet moves only the ranks it touches),
needs no agreement, and spreads entries evenly. Part of the places is kept for the
entry's own availability zone, where an answer is a millisecond nearer; the others go
to any zone, so that the loss of one leaves most of the connections.
"""

from __future__ import annotations

import collections.abc as cabc

import xxhash

SUBSET_SIZE = 20
"""Upstreams of a group that an entry keeps a connection to.

With 330 entries before 85 upstreams of a group, each upstream is then in the subsets
of about 78 entries, and the chance that all of an entry's candidates are lost with
one zone of seven is nil, because at most half of them are taken from its own.
"""

OWN_ZONE_SHARE = 0.5
"""Share of the places that goes to the entry's own zone first."""


def rendezvous_rank(entry: str, upstream: str) -> int:
    """Return an upstream's rank for an entry; higher is kept first."""
    return xxhash.xxh64_intdigest(f"{entry}\0{upstream}".encode())


def choose_subset(
    entry: str,
    zone: str,
    members: cabc.Mapping[str, str],
    size: int = SUBSET_SIZE,
) -> frozenset[str]:
    """Return the upstreams of one group that an entry keeps a connection to.

    :param members: zone of each upstream of the group, by name.
    """
    if len(members) <= size:
        return frozenset(members)
    ranked = sorted(
        members, key=lambda name: rendezvous_rank(entry, name), reverse=True
    )
    near = [name for name in ranked if members[name] == zone]
    chosen = near[: int(size * OWN_ZONE_SHARE)]
    taken = frozenset(chosen)
    others = (name for name in ranked if name not in taken)
    chosen.extend(
        name for name, _ in zip(others, range(size - len(chosen)), strict=False)
    )
    return frozenset(chosen)
