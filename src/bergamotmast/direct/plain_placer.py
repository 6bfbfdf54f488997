"""Placement of requests to plain upstreams, those that aren't engines."""

from __future__ import annotations

import asyncio
import collections.abc as cabc

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_refusal import is_unreachable
from ..policy.direct_refusal import retry_after
from ..policy.plain_placement import PlainCandidate
from ..policy.plain_placement import choose_plain_upstream
from ..policy.plain_placement import compared_candidates
from ..policy.plain_placement import earliest_candidate
from ..policy.plain_placement import earliest_zone_first
from .model import Call
from .model import Upstream
from .placer import Permits
from .placer import RequestPlacer


class PlainPlacer:
    """Chooses plain upstreams by the load trackers of a :class:`RequestPlacer`."""

    def __init__(self, placer: RequestPlacer) -> None:
        self.placer = placer

    def choose(
        self,
        call: Call,
        excluded: cabc.Collection[str],
        permits: Permits,
    ) -> Upstream:
        """Return the plain upstream for a request's next attempt.

        :param excluded: names of upstreams to exclude.
        :raises UpstreamsLimitedError: if none takes it in time.
        :raises RequestError: if there is none, or none is expected to answer by the
            request's deadline.
        """
        now = asyncio.get_running_loop().time()
        suitable = self.placer.not_excluded(call, excluded, now)
        members = [m for m in suitable if permits.is_obtainable(m, now)]
        by_name = {member.name: member for member in members}
        candidates = [
            PlainCandidate(
                member.name,
                self.placer.counts_as_same_zone(member),
                max(1, member.slots),
                self.placer.plain_load(member).load(now),
                self.placer.is_ejected(member, now),
                permits.wait(member, now),
            )
            for member in members
        ]
        if self.placer.learned.is_on(call.group.name):
            self._refuse_too_late(call, candidates, by_name, now)
            chosen = self._earliest(candidates, by_name, now)
        else:
            chosen = choose_plain_upstream(
                candidates, self.placer.rng, zone_first=self.placer.zone_first
            )
        if chosen is None:
            raise self.placer.no_upstream_error(call, suitable)
        return by_name[chosen]

    def _refuse_too_late(
        self,
        call: Call,
        candidates: list[PlainCandidate],
        by_name: dict[str, Upstream],
        now: float,
    ) -> None:
        """Refuse a request that no upstream is expected to answer by its deadline.

        Sent anyway, it would take a slot from one that can still be answered.
        """
        if not self.placer.decisions.refusal or not candidates:
            return
        expected, earliest = min(
            (
                self.placer.learned.expected_seconds(
                    by_name[c.name], call.route, c.load + 1, now
                ),
                c.name,
            )
            for c in candidates
        )
        # Nothing is known of the route while the expected time is 0.
        if expected and is_unreachable(expected, call.deadline - now):
            share = call.share
            if (
                share is not None
                and self.placer.reachability.is_reachable(by_name[earliest].key)
                and is_unreachable(expected, call.deadline + share.lost_seconds - now)
            ):
                share.on_full()
            seconds = retry_after(self.placer.rng, expected - call.route.objective)
            raise RequestError(ResultCode.DEADLINE_UNREACHABLE, retry_after=seconds)

    def _earliest(
        self,
        candidates: list[PlainCandidate],
        by_name: dict[str, Upstream],
        now: float,
    ) -> str | None:
        """Return the name of the candidate with the earliest expected answer."""
        learned = self.placer.learned

        def likely_time(candidate: PlainCandidate) -> float:
            upstream = by_name[candidate.name]
            return learned.likely_ratio(upstream, candidate.load + 1.0, now)

        def possible_time(candidate: PlainCandidate) -> float:
            upstream = by_name[candidate.name]
            return learned.possible_ratio(upstream, candidate.load + 1.0, now)

        rng = self.placer.rng
        if self.placer.zone_first:
            return earliest_zone_first(candidates, likely_time, possible_time, rng)
        compared = compared_candidates(candidates, rng)
        return earliest_candidate(compared, list(map(possible_time, compared)))
