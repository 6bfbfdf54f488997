"""Which engines are not yet what the plan says, and since when."""

from __future__ import annotations

from ..model import Assignment
from ..model import Readiness
from ..model import SideReport
from .fleet_view import TimedReport

CHANGE_LIMIT_SECONDS = 900.0
"""After so long an unfinished change holds up its group no more.

Longer than the longest work that a drain waits for, and the load that follows; an
engine that never comes back must not keep its group from changing for ever.
"""

REISSUE_SECONDS = 60.0
"""After so long a side that is not changing, and not at the plan, is told again."""


class Settling:
    """Follows the reports of all engines.

    :param since: when each engine was first found, or made, to differ from the plan.
    """

    def __init__(self) -> None:
        self.since: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}

    def begin(self, engine: str, now: float) -> None:
        """Learn that the plan of an engine has changed."""
        self.since[engine] = now
        self._idle_since.pop(engine, None)

    def reissued(self, engine: str) -> None:
        """Learn that the same plan was written again; its time runs on."""
        self._idle_since.pop(engine, None)

    def observe(
        self, engine: str, word: TimedReport | None, plan: Assignment, now: float
    ) -> None:
        """Learn an engine's last report; one that is stale tells nothing."""
        if word is None or now > word.fresh_until:
            return
        if word.report.readiness is Readiness.READY and matches(word.report, plan):
            self.since.pop(engine, None)
            self._idle_since.pop(engine, None)
            return
        self.since.setdefault(engine, now)
        if word.report.readiness is Readiness.CHANGING:
            self._idle_since.pop(engine, None)
        else:
            self._idle_since.setdefault(engine, now)

    def is_changing(self, engine: str, now: float) -> bool:
        """Return whether a change of the engine is under way."""
        since = self.since.get(engine)
        return since is not None and now - since < CHANGE_LIMIT_SECONDS

    def needs_reissue(self, engine: str, now: float) -> bool:
        """Return whether the plan should be written again, with new authority.

        A side holds a higher number than the plan after the service was restored from
        a backup, and an engine may refuse to take a number twice after a failed load.
        Both wait for a higher number, and without one would wait for ever.
        """
        since = self._idle_since.get(engine)
        return since is not None and now - since >= REISSUE_SECONDS


def matches(report: SideReport, plan: Assignment) -> bool:
    """Return whether a side reports what the plan says."""
    carried = {*plan.models, *plan.adapters}
    return report.role is plan.role and set(report.models) == carried
