"""Placement of calls on plain upstreams, those that aren't engines.

Load pattern: short calls on few slots, an upstream that slows down or fails part of its
calls, callers that arrive in bursts.

Without it: calls queue behind a full or failing upstream while others have free slots.

The less loaded of two random candidates gets the call, so that entries with little
knowledge of each other don't all choose the same one. Where capacity is learned, the
one with the earlier expected answer gets it instead. Where zones come first, a call
leaves the entry's zone only if the candidates there are full, slow or failing. An
upstream that has failed :data:`FAILURES_TO_EJECT` calls in a row is ejected for
:data:`EJECTION_SECONDS` while others are available.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import random
import typing as t

from .load_hint import DecayingLoadHint
from .response_times import WELL_HANDLED_RATIO

LOAD_HINT_SECONDS = 0.3
"""Time constant with which an upstream's reported load decays."""

FAILURES_TO_EJECT = 2
"""Consecutive failures that eject an upstream."""

EJECTION_SECONDS = 2.0
"""Time of an ejection; the next call then shows whether the upstream has recovered."""

CROSS_ZONE_LOAD = 0.1
"""Load added to an upstream in another zone, as a share of its slots."""


CROSS_ZONE_TIME = 0.1
"""Time added to an answer from another zone, as a share of its expected time."""

UNCERTAIN_LOAD_TIME = 0.25
"""Time added to the answer of a full upstream, as a share of its expected time; less in
proportion to the load. It decides between about equal expectations, as the load that
other entries place meanwhile is not known."""

MAX_ALL_COMPARED = 3
"""Largest number of upstreams in a group whose expected answers are all compared."""


class PlainUpstreamLoad:
    """Estimated load and health of one plain upstream.

    :param running: this entry's running calls.
    :param failures: consecutive failed calls.
    :param ejected_until: end of the last ejection; a point in time.
    """

    def __init__(self) -> None:
        self.running = 0
        self.reported_load = DecayingLoadHint(LOAD_HINT_SECONDS)
        self.failures = 0
        self.ejected_until = float("-inf")

    def hint(self, running: int, waiting: int, now: float) -> None:
        """Record the load that the upstream reports, this entry's calls included."""
        self.reported_load.update(running, waiting, self.running, now)

    def load(self, now: float) -> float:
        """Return the estimated number of running calls."""
        return self.running + self.reported_load.estimate(now)

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected."""
        return now < self.ejected_until

    def succeeded(self) -> None:
        """Record an answer."""
        self.failures = 0

    def failed(self, now: float) -> None:
        """Record a call that the upstream failed."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            self.ejected_until = now + EJECTION_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCandidate:
    """A plain upstream as a candidate for one call.

    :param slots: maximum number of concurrent calls.
    :param load: estimated number of running calls.
    :param permit_wait: seconds for which the call waits at least for a permit, as the
        upstream limits its requests.
    """

    name: str
    same_zone: bool
    slots: int
    load: float
    ejected: bool = False
    permit_wait: float = 0.0


def choose_plain_upstream(
    candidates: t.Sequence[PlainCandidate],
    rng: random.Random,
    *,
    zone_first: bool = False,
) -> str | None:
    """Return the name of the upstream that gets the call, or ``None``.

    :param zone_first: whether the call stays in its zone while one of the candidates
        compared there has a free slot.
    """
    available = available_candidates(candidates)
    if not available:
        return None
    without_wait = [candidate for candidate in available if not candidate.permit_wait]
    if not without_wait:
        return min(available, key=lambda candidate: candidate.permit_wait).name
    here = compared_in_zone(without_wait, rng) if zone_first else []
    if here:
        nearest = min(here, key=_load_share)
        if nearest.load < nearest.slots:
            return nearest.name
        pair = [nearest, *compared_elsewhere(without_wait, rng)]
    else:
        pair = rng.sample(without_wait, min(2, len(without_wait)))
    return min(pair, key=_load_share).name


def compared_candidates(
    candidates: t.Sequence[PlainCandidate], rng: random.Random
) -> list[PlainCandidate]:
    """Return the candidates whose expected answers are to be compared.

    Expectations are only worked out for these, so that the cost does not grow with the
    group. Where all candidates wait for a permit, it is the one with the first permit.
    """
    available = available_candidates(candidates)
    without_wait = [candidate for candidate in available if not candidate.permit_wait]
    if not without_wait:
        waits = sorted(available, key=lambda candidate: candidate.permit_wait)
        return waits[:1]
    few = len(candidates) <= MAX_ALL_COMPARED
    if few or len(without_wait) <= 2:
        return without_wait
    return rng.sample(without_wait, 2)


def compared_in_zone(
    without_wait: t.Sequence[PlainCandidate], rng: random.Random
) -> list[PlainCandidate]:
    """Return up to two random candidates in the entry's zone.

    :param without_wait: available candidates that the call needs no permit for.
    """
    here = [candidate for candidate in without_wait if candidate.same_zone]
    return here if len(here) <= 2 else rng.sample(here, 2)


def compared_elsewhere(
    without_wait: t.Sequence[PlainCandidate], rng: random.Random
) -> list[PlainCandidate]:
    """Return the candidates that those in the entry's zone are compared with.

    It is one of the other zones' at random, or all in a group of up to
    :data:`MAX_ALL_COMPARED`.

    :param without_wait: available candidates that the call needs no permit for.
    """
    there = [candidate for candidate in without_wait if not candidate.same_zone]
    few = len(without_wait) <= MAX_ALL_COMPARED
    return there if few or not there else [rng.choice(there)]


def earliest_zone_first(
    candidates: t.Sequence[PlainCandidate],
    likely_time: cabc.Callable[[PlainCandidate], float],
    possible_time: cabc.Callable[[PlainCandidate], float],
    rng: random.Random,
) -> str | None:
    """Return the name of the candidate that gets the call.

    The call stays in its zone while a compared candidate there has a free slot and is
    expected to answer in at most :data:`~.response_times.WELL_HANDLED_RATIO` times the
    usual time. Otherwise, candidates of all zones are compared.

    :param likely_time: returns the time of a candidate's answer, relative to the usual
        time. It is not drawn at random: upstreams that little is known of would
        otherwise make calls leave their zone.
    :param possible_time: returns the same, drawn by how much is known.
    """
    available = available_candidates(candidates)
    without_wait = [candidate for candidate in available if not candidate.permit_wait]
    here = compared_in_zone(without_wait, rng)
    handling_well = [
        (_cost(candidate, ratio), candidate.name)
        for candidate in here
        if candidate.load < candidate.slots
        and (ratio := likely_time(candidate)) <= WELL_HANDLED_RATIO
    ]
    if handling_well:
        return min(handling_well)[1]
    if here:
        compared = here + compared_elsewhere(without_wait, rng)
    else:
        compared = compared_candidates(candidates, rng)
    return earliest_candidate(compared, list(map(possible_time, compared)))


def earliest_candidate(
    compared: t.Sequence[PlainCandidate], expected: t.Sequence[float]
) -> str | None:
    """Return the name of the candidate with the earliest expected answer.

    :param expected: time of each candidate's answer, relative to the usual time.
    """
    if not compared:
        return None
    costs = list(map(_cost, compared, expected))
    return compared[costs.index(min(costs))].name


def available_candidates(
    candidates: t.Sequence[PlainCandidate],
) -> list[PlainCandidate]:
    """Return the candidates that are not ejected, or all if every one is."""
    return [candidate for candidate in candidates if not candidate.ejected] or list(
        candidates
    )


def _cost(candidate: PlainCandidate, expected: float) -> float:
    cost = expected * (1.0 + UNCERTAIN_LOAD_TIME * candidate.load / candidate.slots)
    return cost if candidate.same_zone else cost * (1.0 + CROSS_ZONE_TIME)


def _load_share(candidate: PlainCandidate) -> float:
    share = candidate.load / candidate.slots
    return share if candidate.same_zone else share + CROSS_ZONE_LOAD
