"""Placement of a request: the engine that prefills its prompt and the one that decodes.

Load pattern: prompts of very different lengths share engines that prefill one at a time
and don't preempt a long prompt for a short one; long prompts saturate the prefill
engines while decode engines have spare time; the mix changes within seconds.

Without it: short prompts, the most urgent, miss their objective behind long ones. With
a fixed threshold between both ways, every mix but one overloads either the prefill
engines or the decode engines.

The time to first token is predicted for each way: a prefill engine plus the transfer of
its KV cache, or the decode engine itself. The earliest wins. A long prompt with time to
spare is packed instead: it goes to the most loaded prefill engine that still finishes
well within the objective, which keeps other engines free of long prompts.

Where zones come first, these choices are made among the engines of the entry's zone
while one of them has the first token well within the objective and its decode engines
have spare slots. Load that peaks in one zone at a time then leaves the zone only at its
peak.
"""

from __future__ import annotations

import dataclasses
import typing as t

from ..model import Role
from .decisions import ALL_DECISIONS
from .decisions import Decisions
from .priority import ENGINE_PRIORITIES
from .priority import Rank

CROSS_ZONE_PENALTY_SECONDS = 0.015
"""Penalty of an engine in another zone: traffic between zones is expensive, and a
prompt crosses it twice."""

CROSS_ZONE_PENALTY_DECODES = 4.0
"""Running decodes added to the load of an engine in another zone."""

ZONE_OBJECTIVE_SHARE = 0.45
"""Share of the objective within which an engine of the entry's zone must have the first
token if the prompt is to stay in the zone."""

ZONE_SLOT_SHARE = 0.5
"""Share of its slots below which a decode engine of the entry's zone gets an answer
whatever the load of engines elsewhere."""

LONG_PROMPT_SHARE = 0.33
"""A prompt is long, and kept away from engines free of long ones, if its prefill takes
this share of the group's tightest objective."""

PACKING_LIMIT_SHARE = 0.45
"""Share of the objective within which a packed prompt must have its first token.
Entries learn of each other's requests some milliseconds late; without packing, long
prompts that arrive together would occupy every engine."""

MAX_DECODES_BESIDE_PREFILL = 24
"""Running decodes above which an engine prefills no prompts itself. Each chunk of a
prompt makes its decode steps three times as long; two dozen streams still stay on time,
four dozen pile up faster than they end."""

DECODE_ENGINE_PREFILL_SHARE = 0.28
"""Longest prefill at a decode engine while a prefill engine is available, as a share of
the group's tightest objective: meanwhile the decode engine starts no answer, which
delays all that arrive."""

REPLICA_COST_SHARE = 0.6
"""Cost of another replica of a prefix, as a share of its prefill time: it evicts
another prefix, which then has to be prefilled again."""

DECODES_PER_QUEUED_SECOND = 300.0
"""Running decodes that delay a new one as much as a second of queued prefill does: six
for 20 ms."""

FIRST_SIZE_STEP_TOKENS = 2_000
"""Largest prompt with the first priority of its rank. Each doubling is one step lower,
so that short prefills don't wait for long ones."""

MAX_SHORT_ANSWER_TOKENS = 300
"""Largest ``max_tokens`` of a short answer, which ends within some tenths of a second;
others take one to three seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCandidate:
    """An engine as a candidate for one prompt.

    :param wait: seconds of queued prefills ahead of a prompt of this priority.
    :param prefill_seconds: seconds of this prompt's prefill without a queue.
    :param transferred_seconds: seconds that prefilling the tokens would take which are
        transferred from another engine instead.
    :param handoff_seconds: seconds from the end of the prefill to the first token at
        another engine.
    :param slowdown: slowdown factor, the ratio of actual to predicted time.
    :param running_decodes: estimated number of running decodes.
    :param uncached_tokens: prompt tokens that are not cached.
    :param priority: engine priority of the prefill.
    :param build: version of its software, within which KV caches are passed on.
    :param full: whether its memory has no room for the request. Such engines come last.
    :param decode_weight: how much one running decode loads it, relative to the others
        of its group.
    :param slots: maximum number of concurrent decodes of weight 1; 0 if unknown.
    :param tie_break: sort key among engines of equal cost; the lowest value wins.
        Differs per entry, so that entries without load data do not all select the same
        engine.
    """

    name: str
    role: Role
    same_zone: bool
    wait: float
    prefill_seconds: float
    slowdown: float
    running_decodes: float
    handoff_seconds: float = 0.0
    transferred_seconds: float = 0.0
    tie_break: int = 0
    uncached_tokens: int = 0
    priority: int = 0
    build: str = ""
    full: bool = False
    decode_weight: float = 1.0
    slots: int = 0

    @property
    def decode_load(self) -> float:
        """Running decodes relative to what the engine handles well."""
        return self.running_decodes * self.decode_weight


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Engines chosen for a request.

    :param prefill_engine: engine that prefills the prompt; ``None`` if the decode
        engine does.
    :param decode_engine: engine that decodes.
    :param first_token: predicted seconds to the first token.
    :param prefill_candidate: the candidate that prefills the prompt.
    """

    prefill_engine: str | None
    decode_engine: str
    first_token: float
    prefill_candidate: EngineCandidate


def prefill_priority(
    rank: Rank,
    tokens: int,
    decisions: Decisions = ALL_DECISIONS,
    *,
    goes_first: bool = False,
) -> int:
    """Return the engine priority of a prefill, 0 (most urgent) to 9.

    :param tokens: prompt tokens that are not cached.
    :param goes_first: whether the prompt precedes the others of its rank.
    """
    if goes_first:
        return max(0, rank.engine_priority(0) - 1)
    if not decisions.size_priority:
        return rank.engine_priority(0)
    steps = 0
    size = FIRST_SIZE_STEP_TOKENS
    while tokens > size and steps < ENGINE_PRIORITIES:
        steps += 1
        size *= 2
    return rank.engine_priority(steps)


def decode_priority(
    rank: Rank,
    prompt_tokens: int,
    max_output_tokens: int,
    decisions: Decisions = ALL_DECISIONS,
    *,
    goes_first: bool = False,
) -> int:
    """Return the engine priority of an answer whose prompt is prefilled, 0 to 9.

    A decode engine runs some sixty answers at once. If one of two engines is lost, all
    places are taken, and an answer of a few tokens would wait behind those that take
    seconds. Short answers go first: they hold a place for a twentieth of the time.

    :param max_output_tokens: upper bound of the output tokens; 0 if unknown.
    :param goes_first: whether the answer precedes the others of its rank.
    """
    is_short = 0 < max_output_tokens <= MAX_SHORT_ANSWER_TOKENS
    if is_short and decisions.short_answers_first:
        return 0
    return prefill_priority(rank, prompt_tokens, decisions, goes_first=goes_first)


def predict_prefill(engine: EngineCandidate) -> float:
    """Return the predicted seconds until an engine has prefilled a prompt."""
    return (engine.wait + engine.prefill_seconds) * engine.slowdown


def choose_decode_engine(
    engines: t.Sequence[EngineCandidate], *, zone_first: bool = False
) -> EngineCandidate | None:
    """Return the decode engine for a prompt that is prefilled elsewhere.

    :param zone_first: whether it is one of the entry's zone while that has spare
        capacity.
    """
    suitable = [engine for engine in engines if engine.role is not Role.PREFILL]
    if zone_first:
        here = [engine for engine in suitable if engine.same_zone]
        chosen = min(here, key=_decode_load, default=None)
        if chosen is not None and _has_spare_slots(chosen):
            return chosen
    return min(suitable, key=_decode_load, default=None)


def place_prompt(
    engines: t.Sequence[EngineCandidate],
    objective: float,
    min_objective: float,
    decisions: Decisions = ALL_DECISIONS,
    *,
    zone_first: bool = False,
) -> Placement | None:
    """Return the engines to use, or ``None`` if no decode engine is available.

    Both engines have the same build.

    :param objective: time to first token objective, in seconds.
    :param min_objective: tightest objective among all routes of the group, in seconds.
    :param zone_first: whether engines of the entry's zone are used while they have
        spare capacity.
    """
    max_direct_seconds = (
        DECODE_ENGINE_PREFILL_SHARE * min_objective if decisions.direct_reading else 0.0
    )
    decode_candidates = _decode_candidates(engines, zone_first=zone_first)
    options = [
        (_first_token(engine), engine)
        for engine in engines
        if engine.role is Role.PREFILL and engine.build in decode_candidates
    ]
    with_prefill = {engine.build for _, engine in options}
    options += [
        (_first_token(engine), engine)
        for engine in engines
        if engine.role is not Role.PREFILL
        and (
            engine.build not in with_prefill
            or _may_prefill_at(engine, max_direct_seconds)
        )
    ]
    if not options:
        return None
    if zone_first:
        options = _options_in_zone(options, decode_candidates, objective) or options
    decode_costs = _decode_costs(decode_candidates)
    seconds, engine = min(
        options,
        key=lambda option: (
            _decodes_at_full(option[1], decode_candidates),
            _cost(*option) + decode_costs[option[1].build],
            *_tie_break_key(option[1]),
        ),
    )
    if (
        decisions.packing
        and engine.prefill_seconds >= LONG_PROMPT_SHARE * min_objective
    ):
        seconds, engine = _choose_packed(options, objective) or (seconds, engine)
    if engine.role is Role.PREFILL:
        decode_engine = decode_candidates[engine.build].name
        return Placement(engine.name, decode_engine, seconds, engine)
    return Placement(None, engine.name, seconds, engine)


def _decode_candidates(
    engines: t.Sequence[EngineCandidate], *, zone_first: bool
) -> dict[str, EngineCandidate]:
    """Return the engine that would decode a prompt prefilled at each build."""
    by_build: dict[str, list[EngineCandidate]] = {}
    for engine in engines:
        by_build.setdefault(engine.build, []).append(engine)
    chosen = {
        build: choose_decode_engine(same, zone_first=zone_first)
        for build, same in by_build.items()
    }
    return {build: engine for build, engine in chosen.items() if engine is not None}


def _options_in_zone(
    options: t.Sequence[tuple[float, EngineCandidate]],
    decode_candidates: dict[str, EngineCandidate],
    objective: float,
) -> list[tuple[float, EngineCandidate]]:
    """Return the engines of the entry's zone with the first token well in time."""
    return [
        option
        for option in options
        if option[1].same_zone
        and option[0] <= objective * ZONE_OBJECTIVE_SHARE
        and not _decodes_at_full(option[1], decode_candidates)
    ]


def _has_spare_slots(engine: EngineCandidate) -> bool:
    """Return whether a decode engine has memory for a request and few answers."""
    _, load, *_ = _decode_load(engine)
    return not engine.full and load < engine.slots * ZONE_SLOT_SHARE


def _decode_costs(candidates: dict[str, EngineCandidate]) -> dict[str, float]:
    """Return the cost in seconds of the decode load at each build's engine.

    It is relative to the build with the lowest load, as it only decides between builds.
    """
    lowest = min(engine.decode_load for engine in candidates.values())
    return {
        build: (engine.decode_load - lowest) / DECODES_PER_QUEUED_SECOND
        for build, engine in candidates.items()
    }


def _decodes_at_full(
    engine: EngineCandidate, decode_candidates: dict[str, EngineCandidate]
) -> bool:
    """Return whether a prompt prefilled at an engine is decoded at a full one."""
    if engine.role is Role.PREFILL:
        return decode_candidates[engine.build].full
    return engine.full


def _may_prefill_at(engine: EngineCandidate, max_seconds: float) -> bool:
    """Return whether a decode engine may prefill although there are prefill engines."""
    return (
        engine.running_decodes <= MAX_DECODES_BESIDE_PREFILL
        and engine.prefill_seconds <= max_seconds
    )


def _choose_packed(
    options: t.Sequence[tuple[float, EngineCandidate]], objective: float
) -> tuple[float, EngineCandidate] | None:
    """Return the most loaded prefill engine well within the objective."""
    suitable = [
        option
        for option in options
        if option[1].role is Role.PREFILL
        and option[0] <= objective * PACKING_LIMIT_SHARE
    ]
    return max(suitable, key=lambda option: (option[0], option[1].name), default=None)


def _first_token(engine: EngineCandidate) -> float:
    """Return the predicted seconds to the first token if this engine prefills."""
    seconds = predict_prefill(engine)
    return seconds + engine.handoff_seconds if engine.role is Role.PREFILL else seconds


def _cost(seconds: float, engine: EngineCandidate) -> float:
    """Return the predicted seconds plus the cost that the choice imposes on others."""
    seconds += REPLICA_COST_SHARE * engine.transferred_seconds
    return seconds if engine.same_zone else seconds + CROSS_ZONE_PENALTY_SECONDS


def _decode_load(engine: EngineCandidate) -> tuple[bool, float, int, str]:
    """Return the sort key of decode engines: room, estimated load, tie-break."""
    queued_load = engine.wait * DECODES_PER_QUEUED_SECOND
    load = (engine.decode_load + queued_load) * engine.slowdown
    load = load if engine.same_zone else load + CROSS_ZONE_PENALTY_DECODES
    return (engine.full, load, *_tie_break_key(engine))


def _tie_break_key(engine: EngineCandidate) -> tuple[int, str]:
    return engine.tie_break, engine.name
