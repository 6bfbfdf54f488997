"""Detection of selectors with conflicting demands on the same upstream."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import itertools

from ..model import Role
from .document import Configuration
from .document import RoleBounds
from .document import Selector
from .groups import GroupIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Contradiction:
    """Two selectors whose demands conflict.

    :param first: index of the first selector in the document.
    :param second: index of the second selector; greater than ``first``.
    :param selectors: names of both.
    :param upstream: one upstream that both select.
    :param reason: how their demands conflict.
    """

    first: int
    second: int
    selectors: tuple[str, str]
    upstream: str
    reason: str

    def show(self) -> str:
        """Return the contradiction as one sentence."""
        one, other = self.selectors
        return (
            f"selectors {one!r} and {other!r} contradict each other"
            f" for {self.upstream!r}: {self.reason}"
        )


def find_contradictions(configuration: Configuration) -> tuple[Contradiction, ...]:
    """Return every pair of selectors that contradict each other, once.

    All label expressions must be valid.
    """
    selectors = configuration.selectors
    index = GroupIndex(configuration)
    members = [index.members(selector) for selector in selectors]
    contradictions = []
    for first, second in itertools.combinations(range(len(selectors)), 2):
        shared = members[first] & members[second]
        if not shared:
            continue
        one, other = selectors[first], selectors[second]
        reason = next(_reasons(one, other, members[first], members[second]), None)
        if reason is not None:
            names = (one.name, other.name)
            contradictions.append(
                Contradiction(first, second, names, min(shared), reason)
            )
    return tuple(contradictions)


def _reasons(
    one: Selector,
    other: Selector,
    one_members: frozenset[str],
    other_members: frozenset[str],
) -> cabc.Iterator[str]:
    """Yield each conflict between two selectors that share an upstream."""
    if one.state is not other.state:
        yield f"one says {one.state.value}, the other {other.state.value}"
    yield from _version_reasons("model", one.models, other.models)
    yield from _version_reasons("adapter", one.adapters, other.adapters)
    yield from _bound_reasons(one, other, one_members, other_members)
    yield from _bound_reasons(other, one, other_members, one_members)
    yield from _least_reasons(one, other, one_members | other_members)


def _version_reasons(
    what: str, one: tuple[str, ...], other: tuple[str, ...]
) -> cabc.Iterator[str]:
    versions = _versions(other)
    for name, version in _versions(one).items():
        if versions.get(name, version) != version:
            yield f"{what} {name!r} at versions {version!r} and {versions[name]!r}"


def _versions(named_versions: tuple[str, ...]) -> dict[str, str]:
    """Return the version of each name in ``name@version`` items."""
    parts = (item.partition("@") for item in named_versions)
    return {name: version for name, _, version in parts}


def _bound_reasons(
    one: Selector,
    other: Selector,
    one_members: frozenset[str],
    other_members: frozenset[str],
) -> cabc.Iterator[str]:
    """Yield roles of which one selector wants more engines than the other allows.

    Engines outside the other selector's group count towards the minimum first.
    """
    outside = len(one_members - other_members)
    for role in Role:
        least = _bounds(one, role).least
        most = _bounds(other, role).most
        if most is not None and least - outside > most:
            yield (
                f"{one.name!r} wants at least {least} {role.value} engines,"
                f" {other.name!r} at most {most}"
            )


def _least_reasons(
    one: Selector, other: Selector, members: frozenset[str]
) -> cabc.Iterator[str]:
    """Yield a conflict if the minimums of all roles exceed the engines of both."""
    least = sum(max(_bounds(s, role).least for s in (one, other)) for role in Role)
    if least > len(members):
        yield f"together they want at least {least} engines of {len(members)}"


def _bounds(selector: Selector, role: Role) -> RoleBounds:
    return selector.roles.get(role, RoleBounds())
