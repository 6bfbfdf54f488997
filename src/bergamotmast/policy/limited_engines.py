"""Engines that are lost to their role because they limit their requests.

Load pattern: the engines of one role name limits far below the requests that come,
while those of the other role have time to spare.

Without it: the planner counts them as whole, and most requests are refused for as long
as the limits last.

An engine that takes less than :data:`MIN_PART` of its even part of its role's requests
counts as lost once that has lasted for :data:`HOLD_SECONDS`. It goes on serving what it
takes.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses

from ..model import Role

MIN_PART = 0.5
"""Share of an engine's even part of the requests below which it counts as lost."""

HOLD_SECONDS = 1.5
"""Time for which it must have been so: a change of roles takes an engine away for
seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitedEngine:
    """An engine and its limit.

    :param rate: requests a second that it takes; infinity for no limit.
    """

    name: str
    role: Role
    rate: float


class LimitedEngines:
    """Tells which engines of one group are lost to their role.

    :param since: since when each has taken too little; points in time.
    """

    def __init__(self) -> None:
        self.since: dict[str, float] = {}

    def lost(
        self, engines: cabc.Collection[LimitedEngine], demand: float, now: float
    ) -> set[str]:
        """Return the names of the engines that are lost to their role.

        :param demand: requests a second that come for the group.
        """
        counts = collections.Counter(engine.role for engine in engines)
        self.since = {
            engine.name: self.since.get(engine.name, now)
            for engine in engines
            if engine.rate < MIN_PART * demand / counts[engine.role]
        }
        return {
            name for name, since in self.since.items() if now - since >= HOLD_SECONDS
        }
