"""Which engines belong together and what their selectors ask of them."""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses

from ..config.document import Configuration
from ..config.document import RoleBounds
from ..config.document import Selector
from ..config.document import SelectorState
from ..model import Role

Roles = cabc.Mapping[str, Role]
"""The role that the plan gives each engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Engines that the same selectors name: they may stand in for each other.

    :param name: names of the selectors, joined; stable while they are.
    :param selectors: the selectors, all serving.
    :param engines: names of the engines, sorted.
    :param models: what each should carry, sorted.
    :param adapters: adapters each should carry, sorted.
    """

    name: str
    selectors: tuple[Selector, ...]
    engines: tuple[str, ...]
    models: tuple[str, ...]
    adapters: tuple[str, ...]


def find_groups(
    configuration: Configuration, engines: cabc.Iterable[str]
) -> tuple[Group, ...]:
    """Return the groups of the engines that serve, sorted by name.

    Engines that a draining or withdrawn selector names take no new work; they are in
    no group, so that nothing is planned for them or counted on.
    """
    members: dict[tuple[str, ...], list[str]] = collections.defaultdict(list)
    named: dict[tuple[str, ...], tuple[Selector, ...]] = {}
    for engine in sorted(engines):
        selectors = configuration.selectors_for(engine)
        if not selectors or any(
            s.state is not SelectorState.SERVING for s in selectors
        ):
            continue
        key = tuple(s.name for s in selectors)
        members[key].append(engine)
        named[key] = selectors
    return tuple(_group(named[key], members[key]) for key in sorted(members))


def _group(selectors: tuple[Selector, ...], engines: list[str]) -> Group:
    return Group(
        "+".join(s.name for s in selectors),
        selectors,
        tuple(engines),
        tuple(sorted({model for s in selectors for model in s.models})),
        tuple(sorted({adapter for s in selectors for adapter in s.adapters})),
    )


def group_bounds(
    group: Group, groups: cabc.Iterable[Group], roles: Roles
) -> dict[Role, RoleBounds]:
    """Return how many engines of this group may have each role.

    A selector's bounds hold for all engines it names. Where those are spread over
    several groups, each group is left what the others don't use.
    """
    others = [other for other in groups if other.name != group.name]
    return {role: _role_bounds(group, others, roles, role) for role in Role}


def _role_bounds(
    group: Group, others: list[Group], roles: Roles, role: Role
) -> RoleBounds:
    least = 0
    most: int | None = None
    for selector in group.selectors:
        bounds = selector.roles.get(role, RoleBounds())
        outside = sum(
            roles.get(engine) is role
            for other in others
            if selector in other.selectors
            for engine in other.engines
        )
        least = max(least, bounds.least - outside)
        if bounds.most is not None:
            room = max(0, bounds.most - outside)
            most = room if most is None else min(most, room)
    return RoleBounds(least=least, most=most)


def count_roles(group: Group, roles: Roles) -> dict[Role, int]:
    """Return how many engines of a group the plan gives each role."""
    counts = dict.fromkeys(Role, 0)
    for engine in group.engines:
        if engine in roles:
            counts[roles[engine]] += 1
    return counts


@dataclasses.dataclass(frozen=True, slots=True)
class Repair:
    """A role change that the bounds ask for."""

    source: Role
    target: Role


def find_repair(
    counts: cabc.Mapping[Role, int], bounds: cabc.Mapping[Role, RoleBounds]
) -> Repair | None:
    """Return the next change that brings a group into its bounds.

    This makes the first split of a new group and follows edits of the bounds. A role
    below its least comes first; one above its most gives to a role with room, mixed
    before the others, because mixed engines can take whatever the mix turns out to be.
    """
    target = next((r for r in Role if counts[r] < bounds[r].least), None)
    source = next((r for r in Role if _surplus(counts[r], bounds[r]) > 0), None)
    if target is not None:
        source = source or _richest(counts, bounds)
        return Repair(source, target) if source else None
    if source is None:
        return None
    target = next((r for r in _BY_BREADTH if _has_room(counts[r], bounds[r])), None)
    return Repair(source, target) if target else None


def allows(
    change: Repair,
    counts: cabc.Mapping[Role, int],
    bounds: cabc.Mapping[Role, RoleBounds],
) -> bool:
    """Return whether a change keeps a group within its bounds."""
    gives = counts[change.source] > bounds[change.source].least
    return gives and _has_room(counts[change.target], bounds[change.target])


_BY_BREADTH = (Role.MIXED, Role.DECODE, Role.PREFILL)


def _surplus(count: int, bounds: RoleBounds) -> int:
    return 0 if bounds.most is None else count - bounds.most


def _has_room(count: int, bounds: RoleBounds) -> bool:
    return bounds.most is None or count < bounds.most


def _richest(
    counts: cabc.Mapping[Role, int], bounds: cabc.Mapping[Role, RoleBounds]
) -> Role | None:
    spare = {role: counts[role] - bounds[role].least for role in _BY_BREADTH}
    best = max(_BY_BREADTH, key=lambda role: spare[role])
    return best if spare[best] > 0 else None
