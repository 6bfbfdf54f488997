"""Faults that are injected during a run."""

from __future__ import annotations

import dataclasses
import enum

from .oracle import Outage


class FaultKind(enum.Enum):
    """Kind of an injected fault."""

    ENGINE_SPEED = "engine_speed"
    """An engine runs at a fraction of its speed."""

    ENGINE_CRASH = "engine_crash"
    """An engine crashes and restarts at the fault's end."""

    ENGINES_UNREACHABLE = "engines_unreachable"
    """All engines are unreachable until the fault's end."""

    WITHDRAWAL = "withdrawal"
    """The instance list marks an upstream as leaving; never undone."""

    KEY_VALUE_DOWN = "key_value_down"
    """The key-value service does not reply until the fault's end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param start: seconds after the start of the trace.
    :param end: seconds after the start of the trace; ignored for a withdrawal.
    :param engine: index of the engine in the fleet.
    :param speed: fraction of its speed that the engine keeps.
    """

    kind: FaultKind
    start: float
    end: float
    engine: int = 0
    speed: float = 0.0


def outages(faults: tuple[Fault, ...], engines: tuple[str, ...]) -> list[Outage]:
    """Return the engine capacity that faults remove, for the oracle bound.

    :param engines: names of the fleet's engines, in order.
    """
    found = []
    for fault in faults:
        if fault.kind is FaultKind.ENGINES_UNREACHABLE:
            found += [Outage(name, fault.start, fault.end) for name in engines]
        elif fault.kind is not FaultKind.KEY_VALUE_DOWN:
            name = engines[fault.engine]
            found.append(Outage(name, fault.start, fault.end, fault.speed))
    return found
