"""Subset of upstreams to which one entry keeps connections.

Load pattern: hundreds of entries in front of hundreds of upstreams, each entry with a
small random part of the traffic.

Without it: if every entry connected to every upstream, the number of heartbeats alone
would grow with the product of both, and a choice among all candidates by an outdated
snapshot would send everyone to the same apparent best one.

For each group, an entry takes the upstreams with the highest rendezvous hash of both
names. The choice is stable (a change of the fleet moves only the ranks it touches),
needs no coordination, and spreads entries evenly. Part of the subset is reserved for
the entry's own availability zone, where a round trip is a millisecond shorter; the
rest is taken from any zone, so that most connections survive the loss of one zone.
"""

from __future__ import annotations

import collections.abc as cabc

import xxhash

SUBSET_SIZE = 20
"""Upstreams of a group that an entry keeps a connection to.

With 330 entries in front of 85 upstreams of a group, each upstream is in the subsets of
about 78 entries. The chance that an entry loses all candidates with one zone of seven
is nil, because at most half of them are reserved for its own zone.
"""

OWN_ZONE_SHARE = 0.5
"""Share of the subset that is filled from the entry's own zone first."""


def rendezvous_rank(entry: str, upstream: str) -> int:
    """Return an upstream's hash rank for an entry; the highest ranks are chosen."""
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
    own_zone = [name for name in ranked if members[name] == zone]
    chosen = own_zone[: int(size * OWN_ZONE_SHARE)]
    chosen_names = frozenset(chosen)
    others = (name for name in ranked if name not in chosen_names)
    chosen.extend(
        name for name, _ in zip(others, range(size - len(chosen)), strict=False)
    )
    return frozenset(chosen)
