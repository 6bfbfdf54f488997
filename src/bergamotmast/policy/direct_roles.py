"""How many engines read prompts and how many make answers.

Load pattern: prompts of thousands of tokens with answers of a few dozen, a mix that
swings within seconds, and a fleet that starts with whatever split its engines have.

Without it: with two of six engines reading, prompts queue for seconds while four
engines answer a handful of requests each.

An answering engine batches: it makes some :data:`DECODE_RATE` tokens a second, so
answers of dozens of tokens need a small part of the fleet. It also reads prompts
between tokens at about two fifths of the speed, so a second answering engine is no
loss. :func:`wanted_answering` therefore keeps :data:`LEAST_ANSWERING` of them, that one
may die, and more only where the mix asks for it. A change is made when that has been so
for :data:`HOLD_SECONDS`: an engine is gone for seconds with each change, which a swing
that turns back sooner does not pay. What has no engine at all is mended at once.
"""

from __future__ import annotations

import dataclasses
import math
import typing as t

from ..model import Role

PREFILL_RATE = 50_000.0
"""Prompt tokens a second of a reading engine, against :data:`DECODE_RATE`: what counts
is the ratio of the two, which says how many answering engines are enough."""

DECODE_RATE = 40_000.0
"""Output tokens a second of an answering engine whose batch is half full."""

LEAST_ANSWERING = 2
"""Answering engines kept where there are four engines or more."""

SAFETY = 1.5
"""Answering engines kept for each one that the mean of the mix asks for."""

HOLD_SECONDS = 8.0
"""How long the mix must have asked for a change."""

SETTLE_SECONDS = 1.5
"""How long engines must have come or gone before the rest change for it: one that is
back at once needs no change, and each second without is a second of an engine."""

MIX_SECONDS = 20.0
"""Time constant with which older requests count less."""


class MixMeter:
    """The share of work that is making answers, over the last seconds."""

    def __init__(self) -> None:
        self.prefill = 0.0
        self.decode = 0.0
        self.at: float | None = None

    def observe(self, prompt_tokens: float, output_tokens: float, now: float) -> None:
        """Take a request that was let in."""
        if self.at is not None:
            fade = math.exp(-max(0.0, now - self.at) / MIX_SECONDS)
            self.prefill *= fade
            self.decode *= fade
        self.at = now
        self.prefill += prompt_tokens / PREFILL_RATE
        self.decode += output_tokens / DECODE_RATE

    @property
    def decode_share(self) -> float:
        """Share of the engines' time that makes answers; 0 where nothing is known."""
        total = self.prefill + self.decode
        return self.decode / total if total else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRole:
    """An engine as the role policy sees it.

    :param role: that it has, or that it is on its way to.
    :param load: requests that it holds, as far as known.
    :param may_change: whether it may be given an order now.
    :param changing: whether it is on its way and serves nothing.
    """

    name: str
    role: Role
    load: float = 0.0
    may_change: bool = True
    changing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrder:
    """A role that an engine should take.

    :param urgent: whether no engine serves in a role: the order for one does not wait
        for the end of another.
    """

    name: str
    role: Role
    reason: str
    urgent: bool = False


def wanted_answering(engines: int, decode_share: float) -> int:
    """Return how many of some engines should make answers."""
    if engines <= 1:
        # A last engine that only reads ends no request; an answering one reads too.
        return engines
    least = LEAST_ANSWERING if engines >= 2 * LEAST_ANSWERING else 1
    by_mix = math.ceil(engines * decode_share * SAFETY)
    return min(engines - 1, max(least, by_mix))


class RoleController:
    """Decides which engine changes its role next, for one group."""

    def __init__(self) -> None:
        self.wished = 0
        self.since: float | None = None

    def decide(
        self, engines: t.Sequence[EngineRole], decode_share: float, now: float
    ) -> RoleOrder | None:
        """Return the one change to begin now, or ``None``.

        :param engines: all engines of the group, but for those of which it can't be
            told what becomes of them.
        """
        answering = [e for e in engines if e.role is not Role.PREFILL]
        reading = [e for e in engines if e.role is Role.PREFILL]
        surplus = len(answering) - wanted_answering(len(engines), decode_share)
        if surplus == 0:
            self.since = None
            return None
        sign = 1 if surplus > 0 else -1
        if self.since is None or sign != self.wished:
            self.wished = sign
            self.since = now
        # Engines that came or went ask for it, whatever the mix:
        by_count = sign * (len(answering) - wanted_answering(len(engines), 0.0)) > 0
        wanting = reading if surplus > 0 else answering
        urgent = all(engine.changing for engine in wanting)
        hold = SETTLE_SECONDS if by_count else HOLD_SECONDS
        if not urgent and now - self.since < hold:
            return None
        if surplus > 0:
            role, candidates, reason = Role.PREFILL, answering, "reads too little"
        else:
            role, candidates, reason = Role.DECODE, reading, "answers too little"
        able = [e for e in candidates if e.may_change and not e.changing]
        if not able:
            return None
        chosen = min(able, key=lambda engine: (engine.load, engine.name))
        return RoleOrder(chosen.name, role, reason, urgent)
