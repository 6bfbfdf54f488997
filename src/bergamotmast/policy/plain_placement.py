"""Which plain upstream takes a call.

Load pattern: short calls on few slots, an upstream that slows down or fails a part of
its calls, callers that come in clumps.

Without it: calls queue behind a full or failing upstream while others have room.

The less loaded of two candidates drawn at random takes the call, so that entries that
know little of each other don't all choose the same one. One that has failed
:data:`FAILURES_TO_EJECT` calls in a row is left out for :data:`EJECTION_SECONDS` as
long as others are there.
"""

from __future__ import annotations

import dataclasses
import random
import typing as t

from .load_hint import DecayingLoadHint

LOAD_HINT_SECONDS = 0.3
"""Time constant with which a reply's word on load fades."""

FAILURES_TO_EJECT = 2
"""Failures in a row that eject an upstream."""

EJECTION_SECONDS = 2.0
"""How long it is left out; a call that tries it then shows whether it is back."""

CROSS_ZONE_LOAD = 0.1
"""Load that an upstream in another zone counts more, as a share of its slots."""


class PlainUpstreamLoad:
    """One plain upstream as this entry knows it."""

    def __init__(self) -> None:
        self.running = 0
        self.reported_load = DecayingLoadHint(LOAD_HINT_SECONDS)
        self.failures = 0
        self.ejected_until = float("-inf")

    def hint(self, running: int, waiting: int, now: float) -> None:
        """Take an upstream's word on its calls, this entry's own included."""
        self.reported_load.update(running, waiting, self.running, now)

    def load(self, now: float) -> float:
        """Return how many calls are thought to be there."""
        return self.running + self.reported_load.estimate(now)

    def is_ejected(self, now: float) -> bool:
        """Return whether it is left out for now."""
        return now < self.ejected_until

    def succeeded(self) -> None:
        """Note an answer."""
        self.failures = 0

    def failed(self, now: float) -> None:
        """Note a call that the upstream failed."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            self.ejected_until = now + EJECTION_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCandidate:
    """A plain upstream as a choice sees it."""

    name: str
    same_zone: bool
    slots: int
    load: float
    ejected: bool = False


def choose_plain_upstream(
    views: t.Sequence[PlainCandidate], rng: random.Random
) -> str | None:
    """Return the name of the upstream that takes a call, or ``None``."""
    able = [view for view in views if not view.ejected] or list(views)
    if not able:
        return None
    pair = rng.sample(able, min(2, len(able)))
    return min(pair, key=_share).name


def _share(view: PlainCandidate) -> float:
    share = view.load / view.slots
    return share if view.same_zone else share + CROSS_ZONE_LOAD
