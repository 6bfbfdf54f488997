"""Tracking of engines whose reported state does not match the plan yet."""

from __future__ import annotations

from ..model import Assignment
from ..model import Readiness
from ..model import SideReport
from .fleet_view import TimedReport

CHANGE_TIMEOUT_SECONDS = 900.0
"""Time after which an unfinished change no longer blocks its group.

Longer than the longest drain and the load that follows it. Without the limit, an
engine that never comes back would block changes of its group forever.
"""

REISSUE_SECONDS = 60.0
"""Time after which a plan that an engine neither matches nor applies is reissued."""


class ConvergenceTracker:
    """Tracks which engines have not converged to their plan, and since when.

    :param diverged_since: time at which each engine's report and plan began to
        differ, in seconds on the clock of ``now``.
    """

    def __init__(self) -> None:
        self.diverged_since: dict[str, float] = {}
        # Since when each of these engines has not been applying its plan.
        self._idle_since: dict[str, float] = {}

    def begin(self, engine: str, now: float) -> None:
        """Record that the plan of an engine has changed."""
        self.diverged_since[engine] = now
        self._idle_since.pop(engine, None)

    def reissued(self, engine: str) -> None:
        """Record that an unchanged plan was rewritten; the change timeout runs on."""
        self._idle_since.pop(engine, None)

    def observe(
        self, engine: str, last: TimedReport | None, plan: Assignment, now: float
    ) -> None:
        """Compare an engine's last report to its plan; a stale one is ignored."""
        if last is None or now > last.fresh_until:
            return
        if last.report.readiness is Readiness.READY and matches(last.report, plan):
            self.diverged_since.pop(engine, None)
            self._idle_since.pop(engine, None)
            return
        self.diverged_since.setdefault(engine, now)
        if last.report.readiness is Readiness.CHANGING:
            self._idle_since.pop(engine, None)
        else:
            self._idle_since.setdefault(engine, now)

    def is_changing(self, engine: str, now: float) -> bool:
        """Return whether a change of the engine is in progress."""
        changing_from = self.diverged_since.get(engine)
        return (
            changing_from is not None and now - changing_from < CHANGE_TIMEOUT_SECONDS
        )

    def needs_reissue(self, engine: str, now: float) -> bool:
        """Return whether the engine's plan should be rewritten with a new token.

        After a restore of the key-value service, a side may hold a higher fencing token
        than the plan. After a failed load, an engine may refuse to take the same token
        again. Both would wait forever for a higher one.
        """
        idle_from = self._idle_since.get(engine)
        return idle_from is not None and now - idle_from >= REISSUE_SECONDS


def matches(report: SideReport, plan: Assignment) -> bool:
    """Return whether a report shows the planned role, models and adapters."""
    carried = {*plan.models, *plan.adapters}
    return report.role is plan.role and set(report.models) == carried
