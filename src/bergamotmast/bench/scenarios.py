"""Built-in scenarios: request mixes that change over time, with and without faults.

Loads are shares of the fleet's capacity as the oracle bound counts it: at 1, a
scheduler with full knowledge and free role changes could just serve every request.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math
import random
import typing as t

import msgspec

from .faults import Fault
from .faults import FaultKind
from .fleet import Fleet
from .fleet import deployment
from .oracle import best_rates
from .oracle import engine_seconds
from .trace import TraceRequest
from .workload import PROFILES
from .workload import SERVICE_PROFILES
from .workload import ClassProfile
from .workload import Flow
from .workload import Level
from .workload import draw
from .workload import even_tenants

Deployment: t.TypeAlias = t.Literal["trindade", "alliance"]
DEPLOYMENTS: tuple[Deployment, ...] = ("trindade", "alliance")

HEAVY_SHARE = 0.7
"""Share of all requests that the heavy tenant sends, with its own prefixes."""

FLAP_PERIOD = 20.0
FLAP_DOWN = 5.0
"""Time between two crashes of a flapping engine, and from a crash to its restart."""

OSCILLATION_PERIOD = 20.0
"""Period too short for a role change to pay off."""

FOREVER = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A trace with its fleet and faults.

    :param callers_retry: whether callers retry retryable errors until their deadline.
    :param seconds: duration of arrivals.
    """

    name: str
    fleet: Fleet
    requests: tuple[TraceRequest, ...]
    faults: tuple[Fault, ...] = ()
    callers_retry: bool = False
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """Load of a scenario over time, for any deployment.

    :param seconds: duration of arrivals.
    :param short: load of the class with short answers.
    :param middle: load of the class with middle answers.
    :param long: load of the class with long answers.
    :param heavy_tenant: whether one tenant sends :data:`HEAVY_TENANT_SHARE`.
    :param load_lag: age of load reports, seconds; ``None`` for the fleet's own.
    :param only_deployment: the one deployment that has this scenario; ``None`` for all.
    """

    seconds: float
    short: Level
    middle: Level
    long: Level
    faults: tuple[Fault, ...] = ()
    callers_retry: bool = False
    heavy: bool = False
    load_lag: float | None = None
    only: Deployment | None = None


def level(value: float) -> Level:
    """Return a constant load."""
    return lambda now: value


def ramp(start: float, end: float, seconds: float) -> Level:
    """Return a load that changes linearly and then stays at its end value."""
    return lambda now: start + (end - start) * min(1.0, now / seconds)


def swing(middle: float, amplitude: float, period: float, phase: float = 0.0) -> Level:
    """Return a load that follows a sine wave.

    :param period: seconds.
    :param phase: offset as a share of the period.
    """
    return lambda now: (
        middle + amplitude * math.sin(2.0 * math.pi * (now / period + phase))
    )


def steps(
    base: float, high: float, windows: cabc.Sequence[tuple[float, float]]
) -> Level:
    """Return a load that is high within time windows.

    :param windows: start and end of each, seconds.
    """
    return lambda now: high if any(a <= now < b for a, b in windows) else base


def oscillation(low: float, high: float, period: float, late: bool) -> Level:
    """Return a square wave.

    :param period: seconds.
    :param late: whether the second half of a period is the high one.
    """
    return lambda now: high if (now % period >= period / 2.0) is late else low


def _flaps(seconds: float) -> tuple[Fault, ...]:
    count = int((seconds - 40.0) // FLAP_PERIOD)
    starts = [30.0 + FLAP_PERIOD * i for i in range(count)]
    return tuple(Fault(FaultKind.ENGINE_CRASH, s, s + FLAP_DOWN) for s in starts)


def _saturation(load: float) -> _Shape:
    return _Shape(150.0, level(0.2 * load), level(0.2 * load), level(0.6 * load))


_WRAP = ((80.0, 200.0),)
_BURSTS = ((60.0, 85.0), (130.0, 155.0), (200.0, 225.0))

SHAPES: dict[str, _Shape] = {
    "slow-drift": _Shape(
        400.0, ramp(0.04, 0.36, 400.0), level(0.08), ramp(0.42, 0.08, 400.0)
    ),
    "half-day-swing": _Shape(
        480.0,
        swing(0.2, 0.16, 480.0, -0.25),
        level(0.08),
        swing(0.25, 0.17, 480.0, 0.25),
    ),
    "burst": _Shape(260.0, steps(0.03, 0.4, _BURSTS), level(0.08), level(0.4)),
    "wrap-hour": _Shape(
        260.0,
        steps(0.05, 0.15, _WRAP),
        steps(0.12, 0.2, _WRAP),
        steps(0.15, 0.6, _WRAP),
        only="alliance",
    ),
    "fast-oscillation": _Shape(
        300.0,
        oscillation(0.05, 0.4, OSCILLATION_PERIOD, False),
        level(0.08),
        oscillation(0.1, 0.45, OSCILLATION_PERIOD, True),
    ),
    "heavy-tenant": _Shape(200.0, level(0.2), level(0.2), level(0.8), heavy=True),
    "slow-upstream": _Shape(
        200.0,
        level(0.12),
        level(0.1),
        level(0.28),
        faults=(Fault(FaultKind.ENGINE_SPEED, 40.0, FOREVER, 1, 0.25),),
    ),
    "flapping-upstream": _Shape(
        200.0, level(0.12), level(0.1), level(0.28), faults=_flaps(200.0)
    ),
    "saturation-1.0": _saturation(1.0),
    "saturation-1.5": _saturation(1.5),
    "saturation-3.0": _saturation(3.0),
    "withdrawal-at-peak": _Shape(
        200.0,
        level(0.1),
        level(0.1),
        steps(0.2, 0.45, ((50.0, 150.0),)),
        faults=(Fault(FaultKind.WITHDRAWAL, 90.0, FOREVER),),
    ),
    "key-value-down": _Shape(
        300.0,
        ramp(0.04, 0.36, 300.0),
        level(0.08),
        ramp(0.4, 0.08, 300.0),
        faults=(Fault(FaultKind.KEY_VALUE_DOWN, 60.0, 240.0),),
    ),
    "late-reports": _Shape(
        260.0, steps(0.04, 0.3, _BURSTS), level(0.1), level(0.3), load_lag=5.0
    ),
    "retry-storm": _Shape(
        200.0,
        level(0.15),
        level(0.12),
        level(0.3),
        faults=(Fault(FaultKind.ENGINES_UNREACHABLE, 60.0, 80.0),),
        callers_retry=True,
    ),
}


def scenario_names() -> tuple[str, ...]:
    """Return the names of all scenarios, as ``deployment/shape``."""
    return tuple(
        f"{place}/{shape}"
        for place in DEPLOYMENTS
        for shape in SHAPES
        if SHAPES[shape].only in (None, place)
    )


def build(name: str, seed: int, fleet: Fleet | None = None) -> Scenario:
    """Generate a scenario with random requests.

    :param fleet: replaces the deployment's fleet.
    :raises KeyError: if no scenario has that name.
    """
    place, _, shape_name = name.partition("/")
    if place not in DEPLOYMENTS or name not in scenario_names():
        raise KeyError(name)
    shape = SHAPES[shape_name]
    fleet = fleet or deployment(place)
    if shape.load_lag is not None:
        fleet = msgspec.structs.replace(fleet, load_lag=shape.load_lag)
    rng = random.Random(f"{name} {seed}")
    requests = draw(
        _flows(place, shape), shape.seconds, lambda p: _fleet_seconds(fleet, p), rng
    )
    return Scenario(
        name, fleet, requests, shape.faults, shape.callers_retry, shape.seconds
    )


def _flows(place: Deployment, shape: _Shape) -> list[Flow]:
    tenants = even_tenants(place)
    if shape.heavy:
        rest = sum(tenants[1:])
        tenants = (rest * HEAVY_SHARE / (1.0 - HEAVY_SHARE), *tenants[1:])
    levels = (shape.short, shape.middle, shape.long)
    flows = [
        Flow(profile, moved, tenants)
        for profile, moved in zip(PROFILES[place], levels, strict=True)
    ]
    calls = Flow(SERVICE_PROFILES[place], level(SERVICE_CALLS), tenants)
    return [*flows, calls]


SERVICE_CALLS = 2.0
"""Rate of non-repeatable calls of plain services."""


def _fleet_seconds(fleet: Fleet, profile: ClassProfile) -> float:
    """Return the whole fleet's seconds for a mean request of a class.

    Service calls aren't limited by engines: their load is in calls a second.
    """
    if not profile.model:
        return 1.0
    engine = fleet.engines()[0]
    mean = math.exp(profile.spread**2 / 2.0)
    fresh = 1.0 - fleet.shared_share if profile.prefixes else 1.0
    seconds = engine_seconds(
        profile.prompt * mean * fresh, profile.output * mean, best_rates(fleet, engine)
    )
    return seconds / len(fleet.engines())
