"""Groups of interchangeable engines, and the role bounds that hold for them."""

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
"""Planned role of each engine, by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Engines that are matched by the same selectors and so are interchangeable.

    :param name: names of the selectors, joined; stable while they don't change.
    :param selectors: the selectors, all in state serving.
    :param engines: names of the engines, sorted.
    :param models: models that each engine should carry, sorted.
    :param adapters: adapters that each engine should carry, sorted.
    """

    name: str
    selectors: tuple[Selector, ...]
    engines: tuple[str, ...]
    models: tuple[str, ...]
    adapters: tuple[str, ...]


def find_groups(
    configuration: Configuration, engines: cabc.Iterable[str]
) -> tuple[Group, ...]:
    """Return the groups of the serving engines, sorted by their selectors' names.

    Engines matched by a draining or withdrawn selector take no new work. They are in
    no group, so that no change is planned for them and they count towards no bounds.
    """
    members: dict[tuple[str, ...], list[str]] = collections.defaultdict(list)
    selectors_by_key: dict[tuple[str, ...], tuple[Selector, ...]] = {}
    for engine in sorted(engines):
        selectors = configuration.selectors_for(engine)
        if not selectors or any(
            s.state is not SelectorState.SERVING for s in selectors
        ):
            continue
        key = tuple(s.name for s in selectors)
        members[key].append(engine)
        selectors_by_key[key] = selectors
    return tuple(
        _build_group(selectors_by_key[key], members[key]) for key in sorted(members)
    )


def _build_group(selectors: tuple[Selector, ...], engines: list[str]) -> Group:
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
    """Return the bounds on the number of this group's engines in each role.

    A selector's bounds apply to all engines that it matches. If these are spread over
    several groups, each group gets what the other groups leave.
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
            available = max(0, bounds.most - outside)
            most = available if most is None else min(most, available)
    return RoleBounds(least=least, most=most)


def count_roles(group: Group, roles: Roles) -> dict[Role, int]:
    """Return the number of a group's engines that are planned in each role."""
    counts = dict.fromkeys(Role, 0)
    for engine in group.engines:
        if engine in roles:
            counts[roles[engine]] += 1
    return counts


@dataclasses.dataclass(frozen=True, slots=True)
class RoleShift:
    """A change of one engine of a group from one role to another."""

    source: Role
    target: Role


def find_required_shift(
    counts: cabc.Mapping[Role, int], bounds: cabc.Mapping[Role, RoleBounds]
) -> RoleShift | None:
    """Return the next change that brings a group within its bounds.

    Used for the first assignment of roles in a new group and after edits of the
    bounds. Roles below their minimum come first. A role above its maximum then gives
    an engine to a role below its maximum: to mixed before the others, because mixed
    engines can serve any mix of prefill and decode.
    """
    target = next((r for r in Role if counts[r] < bounds[r].least), None)
    source = next((r for r in Role if _surplus(counts[r], bounds[r]) > 0), None)
    if target is not None:
        source = source or _role_with_most_spare(counts, bounds)
        return RoleShift(source, target) if source else None
    if source is None:
        return None
    target = next(
        (r for r in _MOST_VERSATILE_FIRST if _is_below_max(counts[r], bounds[r])), None
    )
    return RoleShift(source, target) if target else None


def bounds_allow(
    change: RoleShift,
    counts: cabc.Mapping[Role, int],
    bounds: cabc.Mapping[Role, RoleBounds],
) -> bool:
    """Return whether a change keeps a group within its bounds."""
    has_spare = counts[change.source] > bounds[change.source].least
    return has_spare and _is_below_max(counts[change.target], bounds[change.target])


_MOST_VERSATILE_FIRST = (Role.MIXED, Role.DECODE, Role.PREFILL)


def _surplus(count: int, bounds: RoleBounds) -> int:
    """Return how many engines are above the maximum; negative below it."""
    return 0 if bounds.most is None else count - bounds.most


def _is_below_max(count: int, bounds: RoleBounds) -> bool:
    """Return whether the bounds allow one more engine."""
    return bounds.most is None or count < bounds.most


def _role_with_most_spare(
    counts: cabc.Mapping[Role, int], bounds: cabc.Mapping[Role, RoleBounds]
) -> Role | None:
    spare = {role: counts[role] - bounds[role].least for role in _MOST_VERSATILE_FIRST}
    best = max(_MOST_VERSATILE_FIRST, key=lambda role: spare[role])
    return best if spare[best] > 0 else None
