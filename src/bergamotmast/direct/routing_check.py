"""Check of a routing configuration before it is sent to the store."""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import enum

from .model import Route
from .model import Routing


class Severity(enum.Enum):
    """Whether a finding keeps a configuration from being used."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong in a configuration.

    :param path: location, for instance ``routes[talk]``.
    """

    severity: Severity
    path: str
    reason: str

    def show(self) -> str:
        """Return the finding as one line."""
        return f"{self.severity.value}: {self.path}: {self.reason}"


def check_routing(
    routing: Routing, zones: int | None = None, in_force: Routing | None = None
) -> list[Finding]:
    """Return what is wrong in a configuration.

    :param zones: number of availability zones with upstreams; ``None`` if not known.
    :param in_force: the version that entries use now.
    """
    findings = [
        *_check_generation(routing, in_force),
        *_check_reachability(routing),
        *_check_targets(routing),
        *_check_limits(routing),
        *_check_scaling(routing, zones),
    ]
    return sorted(findings, key=lambda finding: finding.severity.value)


def _error(path: str, reason: str) -> Finding:
    return Finding(Severity.ERROR, path, reason)


def _warning(path: str, reason: str) -> Finding:
    return Finding(Severity.WARNING, path, reason)


def _path(route: Route) -> str:
    return f"routes[{route.name}]"


def _check_generation(
    routing: Routing, in_force: Routing | None
) -> cabc.Iterator[Finding]:
    if in_force is not None and routing.generation <= in_force.generation:
        yield _error(
            "version",
            f"{routing.generation} is not above {in_force.generation}, which is in"
            " force: entries ignore the document",
        )


def _check_reachability(routing: Routing) -> cabc.Iterator[Finding]:
    """Yield the routes that no request can match."""
    by_prefix: dict[tuple[str, str], Route] = {}
    for route in routing.routes:
        by_prefix[route.host, route.prefix] = route
    names = collections.Counter(route.name for route in routing.routes)
    for route in routing.routes:
        used = by_prefix[route.host, route.prefix]
        if used is not route:
            yield _warning(
                _path(route),
                f"never matches: {used.name!r} has the same host and prefix",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _warning(
                _path(route),
                f"never matches: {route.prefix!r} does not begin and end with a slash",
            )
    for name, times in names.items():
        if times > 1:
            yield _error(f"routes[{name}]", f"the name is given to {times} routes")


def _check_targets(routing: Routing) -> cabc.Iterator[Finding]:
    for route in routing.routes:
        total = sum(max(0.0, target.weight) for target in route.targets)
        for target in route.targets:
            if target.group not in routing.groups:
                yield _warning(_path(route), f"{target.group!r} is no known service")
            if target.weight < 0:
                yield _error(_path(route), f"{target.group!r} has a negative weight")
            elif not target.weight and total:
                yield _warning(
                    _path(route), f"{target.group!r} gets nothing: its weight is 0"
                )
        if not total:
            yield _warning(_path(route), "no target has a weight: all get as much")


def _check_limits(routing: Routing) -> cabc.Iterator[Finding]:
    for route in routing.routes:
        if route.timeout <= 0:
            yield _error(_path(route), "the timeout is not above 0")
        if route.objective > route.timeout:
            yield _error(
                _path(route),
                f"the objective of {route.objective:g} s is above the timeout of"
                f" {route.timeout:g} s",
            )
        if route.max_attempts < 1:
            yield _error(_path(route), "no attempt is allowed")


def _check_scaling(routing: Routing, zones: int | None) -> cabc.Iterator[Finding]:
    for group in routing.groups.values():
        bounds = group.scaling
        if bounds is not None and not bounds.are_valid:
            yield _error(
                f"services[{group.name}].scaling",
                "can't be read, or its least number is above its highest",
            )
    for route in routing.routes:
        most = _most_upstreams(routing, route, zones)
        if most is not None and route.max_attempts > most:
            yield _error(
                _path(route),
                f"{route.max_attempts} attempts, but at most {most} upstreams",
            )


def _most_upstreams(routing: Routing, route: Route, zones: int | None) -> int | None:
    """Return how many upstreams a route's largest group may have, if that is known."""
    if zones is None:
        return None
    counts = []
    for target in route.targets:
        group = routing.groups.get(target.group)
        if group is None or group.scaling is None or not group.scaling.are_valid:
            return None
        counts.append(group.scaling.most * zones)
    return max(counts, default=None)
