"""Where a prompt is read and where its answer is made.

Load pattern: prompts of very different length share engines that read one at a time
and don't interrupt a long one for a short one; long prompts saturate the engines set
apart for reading while the others have time to spare; the mix turns within seconds.

Without it: short prompts, the most urgent, miss their objective behind long ones, and
with a fixed threshold between the two ways every mix but one overloads either the
reading engines or the answering ones.

Each way's time to the first token is predicted: over a reading engine and a transfer of
its KV cache, or at the answering engine itself. The earliest wins, but for a long
prompt that has time: of the engines that read it well within its objective it takes
the fullest, so that others stay free of long prompts.
"""

from __future__ import annotations

import dataclasses
import typing as t

from ..model import Role
from .decisions import ALL
from .decisions import Decisions

ZONE_SECONDS = 0.015
"""Penalty of an engine in another zone: bytes between zones are dear, and a prompt's go
twice."""

ZONE_ANSWERS = 4.0
"""Answers more at an engine in the same zone that are as good as one elsewhere."""

LONG_SHARE = 0.33
"""A prompt that takes so much of the group's tightest objective to read is kept away
from engines that are free of such."""

PACKED_SHARE = 0.45
"""Part of the objective within which a long prompt may be put behind others. Entries
know each other's latest sends some milliseconds late; without packing, long prompts
that come in one moment take every engine."""

DIRECT_ANSWERS = 24
"""Answers under way at an engine above which it reads no prompts itself. Each piece of
a prompt makes its steps three times as long; with two dozen answers that still leaves
them on time, with four dozen they pile up faster than they end."""

DIRECT_SHARE = 0.28
"""Most of the group's tightest objective that an answering engine may read for, while a
reading one is there: it begins no answer meanwhile, which delays all that arrive."""

COPY_SHARE = 0.6
"""Penalty of a second copy of a prompt's beginning, as a share of the time in which it
is read: the copy takes the place of another one, which is then read again."""

WAITING_ANSWERS = 300.0
"""Answers more at an engine that are as bad for a new one as a second of prompts that
it reads first: six for 20 ms."""

PRIORITY_STEPS: t.Final = ((0, 1), (2, 2), (5, 4))
"""First priority of each rank, and how many steps by size follow it."""

FIRST_SIZE_STEP = 2_000
"""Prompt tokens up to which a prompt has its rank's first priority; each doubling is
a step further, so that what is read soon does not wait for what takes long."""

SHORT_ANSWER_TOKENS = 300
"""Up to so many output tokens, at most, an answer is over within some tenths of a
second, where others take one to three."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """An engine as a placement sees it.

    :param wait: seconds of what is read before a prompt of this priority.
    :param read: seconds that it takes for this prompt without a queue.
    :param fetched: seconds that it would read for what it fetches from another engine.
    :param transfer: seconds from there to the first token at another engine.
    :param slow: how many times slower than usual it is.
    :param answers: answers under way there, as far as known.
    :param to_read: prompt tokens that it would have to read.
    :param priority: with which it would read them.
    :param tie_break: sort key among engines of equal cost; the lowest value wins.
        Differs per entry, so that entries without load data do not all select the
        same engine.
    """

    name: str
    role: Role
    same_zone: bool
    wait: float
    read: float
    slow: float
    answers: float
    transfer: float = 0.0
    fetched: float = 0.0
    tie_break: int = 0
    to_read: int = 0
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a prompt goes.

    :param prefill: engine that reads it; ``None`` where the answering one does.
    :param answer: engine that answers.
    :param first_token: predicted seconds to the first token.
    :param read_by: the engine that reads it, as it was seen.
    """

    prefill: str | None
    answer: str
    first_token: float
    read_by: EngineView


def priority_of(
    rank: int, tokens: int, decisions: Decisions = ALL, *, goes_first: bool = False
) -> int:
    """Return the engines' priority of a prompt, 0 to 9.

    :param tokens: to read.
    :param goes_first: whether it is read before the others of its rank.
    """
    first, steps = PRIORITY_STEPS[min(rank, len(PRIORITY_STEPS) - 1)]
    if goes_first:
        return max(0, first - 1)
    if not decisions.size_priority:
        return first
    step = 0
    size = FIRST_SIZE_STEP
    while tokens > size and step < steps:
        step += 1
        size *= 2
    return first + step


def answer_priority(
    rank: int, prompt_tokens: int, most_outputs: int, decisions: Decisions = ALL
) -> int:
    """Return the engines' priority of an answer whose prompt is read, 0 to 9.

    An answering engine makes some sixty answers at once. With one of two gone they are
    all taken, and an answer of a few tokens would wait behind those of seconds. It goes
    first: it takes a place for a twentieth of their time.

    :param most_outputs: bound of its output tokens; 0 for unknown.
    """
    is_short = 0 < most_outputs <= SHORT_ANSWER_TOKENS
    if is_short and decisions.short_answers_first:
        return 0
    return priority_of(rank, prompt_tokens, decisions)


def predict_read(engine: EngineView) -> float:
    """Return the predicted time until an engine has read a prompt."""
    return (engine.wait + engine.read) * engine.slow


def choose_answering(engines: t.Sequence[EngineView]) -> EngineView | None:
    """Return the engine to make an answer whose prompt is read elsewhere."""
    able = [engine for engine in engines if engine.role is not Role.PREFILL]
    return min(able, key=_answer_load, default=None)


def place(
    engines: t.Sequence[EngineView],
    objective: float,
    tightest: float,
    decisions: Decisions = ALL,
) -> Placement | None:
    """Return the way to take, or ``None`` where there is none.

    :param objective: seconds to the first token.
    :param tightest: the least objective of all that the engines serve.
    """
    direct_seconds = DIRECT_SHARE * tightest if decisions.direct_reading else 0.0
    answering = choose_answering(engines)
    if answering is None:
        return None
    ways = [
        (_first_token(engine), engine)
        for engine in engines
        if engine.role is Role.PREFILL
    ]
    ways += [
        (_first_token(engine), engine)
        for engine in engines
        if engine.role is not Role.PREFILL
        and (not ways or _may_read(engine, direct_seconds))
    ]
    seconds, engine = min(ways, key=lambda way: (_cost(*way), *_tie_break_key(way[1])))
    if decisions.packing and engine.read >= LONG_SHARE * tightest:
        seconds, engine = _packed(ways, objective) or (seconds, engine)
    if engine.role is Role.PREFILL:
        return Placement(engine.name, answering.name, seconds, engine)
    return Placement(None, engine.name, seconds, engine)


def _may_read(engine: EngineView, most_seconds: float) -> bool:
    """Return whether an answering engine may read a prompt beside reading ones."""
    return engine.answers <= DIRECT_ANSWERS and engine.read <= most_seconds


def _packed(
    ways: t.Sequence[tuple[float, EngineView]], objective: float
) -> tuple[float, EngineView] | None:
    """Return the fullest reading engine that still reads well within the objective."""
    able = [
        way
        for way in ways
        if way[1].role is Role.PREFILL and way[0] <= objective * PACKED_SHARE
    ]
    return max(able, key=lambda way: (way[0], way[1].name), default=None)


def _first_token(engine: EngineView) -> float:
    seconds = predict_read(engine)
    return seconds + engine.transfer if engine.role is Role.PREFILL else seconds


def _cost(seconds: float, engine: EngineView) -> float:
    """Return the predicted seconds, and what the choice costs others."""
    seconds += COPY_SHARE * engine.fetched
    return seconds if engine.same_zone else seconds + ZONE_SECONDS


def _answer_load(engine: EngineView) -> tuple[float, int, str]:
    waits = engine.wait * WAITING_ANSWERS
    load = (engine.answers + waits) * engine.slow
    load = load if engine.same_zone else load + ZONE_ANSWERS
    return (load, *_tie_break_key(engine))


def _tie_break_key(engine: EngineView) -> tuple[int, str]:
    return engine.tie_break, engine.name
