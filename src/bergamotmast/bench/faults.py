"""What goes wrong during a run, and when."""

from __future__ import annotations

import dataclasses
import enum

from .oracle import Outage


class FaultKind(enum.Enum):
    """What goes wrong."""

    ENGINE_SPEED = "engine_speed"
    """An engine works at a share of its speed."""

    ENGINE_CRASH = "engine_crash"
    """An engine stops, and restarts at the end."""

    ENGINES_UNREACHABLE = "engines_unreachable"
    """No engine is reached until the end."""

    WITHDRAWAL = "withdrawal"
    """The instance list says that an upstream is leaving, for good."""

    KEY_VALUE_DOWN = "key_value_down"
    """The key-value service does not answer until the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param start: seconds after the start of the trace.
    :param end: likewise; a withdrawal has none.
    :param engine: position of the engine in the fleet.
    :param speed: share of the speed that is left.
    """

    kind: FaultKind
    start: float
    end: float
    engine: int = 0
    speed: float = 0.0


def outages(faults: tuple[Fault, ...], engines: tuple[str, ...]) -> list[Outage]:
    """Return what the faults take from the engines, for the oracle bound."""
    found = []
    for fault in faults:
        if fault.kind is FaultKind.ENGINES_UNREACHABLE:
            found += [Outage(name, fault.start, fault.end) for name in engines]
        elif fault.kind is not FaultKind.KEY_VALUE_DOWN:
            name = engines[fault.engine]
            found.append(Outage(name, fault.start, fault.end, fault.speed))
    return found
