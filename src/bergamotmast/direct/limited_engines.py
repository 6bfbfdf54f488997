"""Engines that take too few requests to count for their role in the planner."""

from __future__ import annotations

import collections.abc as cabc
import logging

from ..model import Role
from ..policy.limited_engines import LimitedEngine
from ..policy.limited_engines import LimitedEngines
from .fleet import Fleet
from .model import Upstream
from .rate_limits import RateLimits
from .retry_budget import SharedRetryBudget

logger = logging.getLogger(__name__)


class LimitedEngineWatch:
    """Implements :class:`~.role_planner.EngineLimits`.

    The requests of all entries are estimated by those of this one.

    :param groups: limited engines, by group.
    :param known: names of the engines last found to be lost, by group.
    """

    def __init__(
        self, fleet: Fleet, rate_limits: RateLimits, retry_budget: SharedRetryBudget
    ) -> None:
        self.fleet = fleet
        self.rate_limits = rate_limits
        self.retry_budget = retry_budget
        self.groups: dict[str, LimitedEngines] = {}
        self.known: dict[str, set[str]] = {}

    def lost(
        self, group: str, engines: cabc.Collection[Upstream], now: float
    ) -> set[str]:
        """Return the names of the engines that are lost to their role."""
        entries = max(1, len(self.fleet.entries))
        demand = self.retry_budget.request_rate(group) * entries
        limited = [
            LimitedEngine(e.name, e.role or Role.MIXED, self.rate_limits.rate(e))
            for e in engines
        ]
        lost = self.groups.setdefault(group, LimitedEngines()).lost(
            limited, demand, now
        )
        if lost != self.known.get(group, set()):
            self.known[group] = lost
            logger.info(
                "engines do not count for their role",
                extra={
                    "group": group,
                    "upstreams": sorted(lost),
                    "demand": round(demand, 1),
                },
            )
        return lost
