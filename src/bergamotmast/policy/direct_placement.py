"""Where a prompt is read and where its answer is made.

Load pattern: long prompts saturate the engines set apart for reading while the others
have time to spare, then the mix turns round within minutes.

Without it: with a fixed threshold between the two ways, every mix but one overloads
either the reading engines or the answering ones.

Each way's time to the first token is predicted: over a prefill engine and a transfer of
its KV cache, or at the answering engine itself, which reads at :data:`DECODE_SHARE` of
the speed between other requests' tokens. The earliest wins; a way that moves no memory
is preferred within :data:`TRANSFER_SECONDS`.
"""

from __future__ import annotations

import dataclasses
import typing as t

from ..model import Role

DECODE_SHARE = 0.5
"""Speed at which an engine in the decode role reads prompts, against a prefill one."""

TRANSFER_SECONDS = 0.015
"""What a second call and the transfer of a KV cache take at least."""

ZONE_SECONDS = 0.004
"""Penalty of an engine in another zone: bytes between zones are dear, the way longer."""

FIRST_TOKEN_SECONDS = 0.01
"""One step of a usual batch and the way back."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """An engine as a placement sees it.

    :param rate: prompt tokens a second in the prefill role.
    :param ahead: prompt tokens that a prompt of this rank waits for.
    :param to_read: tokens of this prompt that are not cached there.
    :param streams: requests being answered there, as far as known.
    """

    name: str
    role: Role
    same_zone: bool
    rate: float
    ahead: float
    to_read: int
    streams: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a prompt goes.

    :param prefill: engine that reads it; ``None`` where the answering one does.
    :param answer: engine that answers.
    :param first_token: predicted seconds to the first token.
    """

    prefill: str | None
    answer: str
    first_token: float


def read_seconds(engine: EngineView) -> float:
    """Return the predicted time until an engine has read a prompt."""
    share = 1.0 if engine.role is Role.PREFILL else DECODE_SHARE
    seconds = (engine.ahead + engine.to_read) / (engine.rate * share)
    return seconds if engine.same_zone else seconds + ZONE_SECONDS


def choose_answering(engines: t.Sequence[EngineView]) -> EngineView | None:
    """Return the engine to make an answer whose prompt is read elsewhere."""
    able = [engine for engine in engines if engine.role is not Role.PREFILL]
    return min(able, key=_answer_load, default=None)


def place(engines: t.Sequence[EngineView]) -> Placement | None:
    """Return the way with the earliest first token, or ``None`` where there is none."""
    answering = choose_answering(engines)
    if answering is None:
        return None
    able = [engine for engine in engines if engine.role is not Role.PREFILL]
    direct = min(able, key=lambda e: (read_seconds(e), e.name))
    best = Placement(None, direct.name, read_seconds(direct) + FIRST_TOKEN_SECONDS)
    for engine in engines:
        if engine.role is not Role.PREFILL:
            continue
        seconds = read_seconds(engine) + TRANSFER_SECONDS + FIRST_TOKEN_SECONDS
        if seconds < best.first_token:
            best = Placement(engine.name, answering.name, seconds)
    return best


def _answer_load(engine: EngineView) -> tuple[float, str]:
    load = engine.streams + engine.ahead / 2_000.0
    return (load if engine.same_zone else load + 1.0, engine.name)
