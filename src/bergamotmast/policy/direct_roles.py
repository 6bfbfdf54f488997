"""Role controller of a direct entry's engines: how many prefill and how many decode.

Load pattern: prompts of thousands of tokens with answers of a few dozen, a mix that
swings within seconds, and a fleet that starts with an arbitrary split of roles.

Without it: with two of six engines in the prefill role, prompts queue for seconds while
four decode engines serve a handful of requests each.

A decode engine batches: it produces some :data:`DECODE_TOKENS_PER_SECOND` tokens a
second, so answers of dozens of tokens need a small part of the fleet. It can also
prefill between decode steps at about two fifths of the speed, so a second decode engine
is no loss. :func:`wanted_decode_engines` therefore keeps :data:`MIN_DECODE_ENGINES`
decode engines, so that one may fail, and more only if the mix requires it. A change
starts once the mix has required it for :data:`HOLD_SECONDS`: each change takes an
engine away for seconds, which doesn't pay for a swing that turns back sooner. A role
without any engine is filled at once. Streams and KV caches stay at engines of one build
of the software, so each build keeps decode engines of its own.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing as t

from ..model import Role

PREFILL_TOKENS_PER_SECOND = 50_000.0
"""Prompt tokens a second of a prefill engine. Only its ratio to
:data:`DECODE_TOKENS_PER_SECOND` matters, which determines how many decode engines
suffice."""

DECODE_TOKENS_PER_SECOND = 40_000.0
"""Output tokens a second of a decode engine with a half full batch."""

MIN_DECODE_ENGINES = 2
"""Decode engines kept in groups of at least four engines."""

DECODE_SAFETY_FACTOR = 1.5
"""Decode engines kept for each one that the mean of the mix requires."""

MEASURED_SAFETY_FACTOR = 1.0
"""The same where engine time is measured, which has its own reserve for bursts."""

HOLD_SECONDS = 8.0
"""Time for which the mix must have required a change."""

SETTLE_SECONDS = 1.5
"""Time after which the others change roles for an engine that was lost or added: one
that is back at once needs no change, and each second of delay costs an engine-second.
"""

SLOWNESS_STEP_LOG = 0.25
"""Step, on a log scale, in which engines' time factors are compared. Engines that
differ by less are chosen by their load."""

MIX_TIME_CONSTANT_SECONDS = 20.0
"""Time constant of the exponential decay of older requests."""


class MixMeter:
    """Exponentially decaying measure of prefill and decode work.

    :param prefill: decayed prefill work, in engine-seconds.
    :param decode: decayed decode work, in engine-seconds.
    :param decayed_at: when both were last decayed; a point in time.
    """

    def __init__(self) -> None:
        self.prefill = 0.0
        self.decode = 0.0
        self.decayed_at: float | None = None

    def observe(self, prompt_tokens: float, output_tokens: float, now: float) -> None:
        """Add an admitted request."""
        if self.decayed_at is not None:
            decay = math.exp(
                -max(0.0, now - self.decayed_at) / MIX_TIME_CONSTANT_SECONDS
            )
            self.prefill *= decay
            self.decode *= decay
        self.decayed_at = now
        self.prefill += prompt_tokens / PREFILL_TOKENS_PER_SECOND
        self.decode += output_tokens / DECODE_TOKENS_PER_SECOND

    @property
    def decode_share(self) -> float:
        """Share of engine time spent on decode; 0 if nothing is known."""
        total = self.prefill + self.decode
        return self.decode / total if total else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRole:
    """An engine as the role controller sees it.

    :param role: its role, or the one it is changing to.
    :param load: number of requests it holds, as far as known.
    :param may_change: whether it may be ordered to change its role now.
    :param changing: whether it is changing its role and serves nothing.
    :param build: version of its software.
    :param time_factor: ratio of its prefill times to its group's; above 1 it is slower.
        It decides only which engine changes, never whether one does.
    """

    name: str
    role: Role
    load: float = 0.0
    may_change: bool = True
    changing: bool = False
    build: str = ""
    time_factor: float = 1.0

    @property
    def slowness_step(self) -> int:
        """Its time factor in steps on a log scale; higher is slower."""
        return round(math.log(self.time_factor) / SLOWNESS_STEP_LOG)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrder:
    """A role change to order.

    :param urgent: whether a role has no serving engine, in the group or in a build, so
        that the order does not wait for another one to end.
    """

    name: str
    role: Role
    reason: str
    urgent: bool = False


def wanted_decode_engines(
    engines: int, decode_share: float, safety: float = DECODE_SAFETY_FACTOR
) -> int:
    """Return how many of a group's engines should have the decode role.

    :param decode_share: share of engine time spent on decode.
    :param safety: decode engines kept for each one that this share requires.
    """
    if engines <= 1:
        # A single engine must decode: it can also prefill.
        return engines
    min_engines = MIN_DECODE_ENGINES if engines >= 2 * MIN_DECODE_ENGINES else 1
    by_mix = math.ceil(engines * decode_share * safety)
    return min(engines - 1, max(min_engines, by_mix))


class RoleController:
    """Chooses the next engine of one group to change its role.

    :param wanted_sign: 1 if a prefill engine is wanted, -1 for a decode engine.
    :param wanted_since: since when; a point in time, ``None`` if the roles are right.
    :param lacking_since: since when a build has had too few decode engines, by build;
        points in time.
    """

    def __init__(self) -> None:
        self.wanted_sign = 0
        self.wanted_since: float | None = None
        self.lacking_since: dict[str, float] = {}

    def decide(
        self,
        engines: t.Sequence[EngineRole],
        decode_share: float,
        now: float,
        safety: float = DECODE_SAFETY_FACTOR,
    ) -> RoleOrder | None:
        """Return the role change to start now, or ``None``.

        :param engines: all engines of the group except those whose state is unknown.
        :param safety: decode engines kept for each one that the share requires.
        """
        decoding = [e for e in engines if e.role is not Role.PREFILL]
        prefilling = [e for e in engines if e.role is Role.PREFILL]
        needed = _needed_decode_engines(engines)
        order = self._fill_build(decoding, prefilling, needed, now)
        if order is not None:
            return order
        by_count_alone = needed.total()
        by_mix = wanted_decode_engines(len(engines), decode_share, safety)
        wanted = max(by_count_alone, by_mix)
        surplus = len(decoding) - wanted
        if surplus == 0:
            self.wanted_since = None
            return None
        sign = 1 if surplus > 0 else -1
        if self.wanted_since is None or sign != self.wanted_sign:
            self.wanted_sign = sign
            self.wanted_since = now
        # Whether lost or added engines require the change, whatever the mix:
        by_count = sign * (len(decoding) - by_count_alone) > 0
        lacking = prefilling if surplus > 0 else decoding
        urgent = all(engine.changing for engine in lacking)
        hold = SETTLE_SECONDS if by_count else HOLD_SECONDS
        if not urgent and now - self.wanted_since < hold:
            return None
        if surplus > 0:
            role, reason = Role.PREFILL, "too few prefill engines"
            counts = collections.Counter(e.build for e in decoding if not e.changing)
            candidates = [e for e in decoding if counts[e.build] > needed[e.build]]
        else:
            role, candidates, reason = Role.DECODE, prefilling, "too few decode engines"
        changeable = [e for e in candidates if e.may_change and not e.changing]
        if not changeable:
            return None
        chosen = _choose(changeable, role)
        return RoleOrder(chosen.name, role, reason, urgent)

    def _fill_build(
        self,
        decoding: t.Sequence[EngineRole],
        prefilling: t.Sequence[EngineRole],
        needed: collections.Counter[str],
        now: float,
    ) -> RoleOrder | None:
        """Return the role change that gives a build the decode engines it needs."""
        counts = collections.Counter(engine.build for engine in decoding)
        lacking = {build for build, count in needed.items() if counts[build] < count}
        if len(needed) == 1 or not decoding:
            # With one build, or if nothing is served at all, any engine will do.
            lacking.clear()
        self.lacking_since = {
            build: self.lacking_since.get(build, now) for build in lacking
        }
        changeable = [
            e
            for e in prefilling
            if e.build in lacking
            and e.may_change
            and not e.changing
            and now - self.lacking_since[e.build] >= SETTLE_SECONDS
        ]
        if not changeable:
            return None
        chosen = _choose(changeable, Role.DECODE)
        urgent = not counts[chosen.build]
        reason = "a build has too few decode engines"
        return RoleOrder(chosen.name, Role.DECODE, reason, urgent)


def _choose(changeable: t.Sequence[EngineRole], role: Role) -> EngineRole:
    """Return the engine to change to a role.

    It is the fastest one to prefill or the slowest one to decode; among engines about
    as fast, the one with the lowest load.
    """
    sign = 1 if role is Role.PREFILL else -1
    return min(
        changeable,
        key=lambda engine: (sign * engine.slowness_step, engine.load, engine.name),
    )


def _needed_decode_engines(
    engines: t.Sequence[EngineRole],
) -> collections.Counter[str]:
    """Return how many decode engines each build needs, whatever the mix."""
    sizes = collections.Counter(engine.build for engine in engines)
    return collections.Counter(
        {build: wanted_decode_engines(size, 0.0) for build, size in sizes.items()}
    )
