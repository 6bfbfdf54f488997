"""Decides which resumed streams go before the new ones of their rank."""

from __future__ import annotations

from ..model import Role
from ..policy.entry_ranking import stable_hash
from ..policy.resume_limit import ResumeLimit
from ..policy.resume_limit import resumable_streams
from .fleet import Fleet
from .only_build import KnownBy
from .stream_builds import RECORDED
from .stream_builds import RETENTION_SECONDS


class ResumePrecedence:
    """Takes resumed streams to have begun, up to a limit where nobody recorded them.

    :param limits: streams that were taken to have begun, by group.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.limits: dict[str, ResumeLimit] = {}

    def take(self, began_as: str, group: str, known_by: KnownBy) -> bool:
        """Return whether a resumed stream is taken to have begun, and count it if so.

        :param began_as: id of the request that brought its first event.
        :param known_by: how the build at which it goes on is known.
        """
        now = self.fleet.clock()
        limit = self.limits.setdefault(group, ResumeLimit(RETENTION_SECONDS))
        return limit.take(
            stable_hash(began_as),
            self._resumable_streams(group, now),
            now,
            recorded=known_by in RECORDED,
        )

    def _resumable_streams(self, group: str, now: float) -> int:
        slots = sum(
            upstream.slots
            for upstream in self.fleet.present(group, now)
            if upstream.role is not Role.PREFILL
        )
        return resumable_streams(slots, len(self.fleet.known_entries(now)))
