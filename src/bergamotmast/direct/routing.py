"""Route lookup by host and path, and the weighted choice of a target group."""

from __future__ import annotations

import math
import random

from .model import CallKind
from .model import Route
from .model import Routing


class RouteTable:
    """The routes of one configuration, indexed for lookup.

    :param tightest: lowest latency objective of each group's streams, in seconds.
    :param stream_groups: names of the groups that stream responses.
    """

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routing.routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route
        self.tightest = _tightest_objectives(routing)
        self.stream_groups = frozenset(self.tightest)

    def tightest_objective(self, group: str) -> float:
        """Return the lowest latency objective of a group's streams, in seconds."""
        return self.tightest.get(group, math.inf)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching prefix; ``None`` if none matches.

        :param host: the ``Host`` header; a port is ignored.
        :param target: path with query, as received.
        """
        prefixes = self.by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _tightest_objectives(routing: Routing) -> dict[str, float]:
    """Return the lowest latency objective of each group's streams, in seconds."""
    objectives: dict[str, float] = {}
    for route in routing.routes:
        if route.kind is not CallKind.STREAM:
            continue
        for target in route.targets:
            known = objectives.get(target.group, math.inf)
            objectives[target.group] = min(known, route.objective)
    return objectives


def pick_group(route: Route, rng: random.Random) -> str:
    """Return the name of a request's target group, drawn at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].group
    weights = [max(0.0, target.weight) for target in route.targets]
    if not any(weights):
        weights = [1.0] * len(weights)
    return rng.choices(route.targets, weights)[0].group
