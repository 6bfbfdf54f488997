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
from .workload import MODEL_PROFILES
from .workload import SERVICE_PROFILES
from .workload import ClassProfile
from .workload import Flow
from .workload import LoadFunction
from .workload import generate_requests
from .workload import tenant_weights

Deployment: t.TypeAlias = t.Literal["trindade", "alliance"]
DEPLOYMENTS: tuple[Deployment, ...] = ("trindade", "alliance")

HEAVY_TENANT_SHARE = 0.7
"""Share of all requests that the heavy tenant sends, with its own prefixes."""

FLAP_PERIOD_SECONDS = 20.0
FLAP_DOWNTIME_SECONDS = 5.0
"""Time between two crashes of a flapping engine, and from a crash to its restart."""

OSCILLATION_PERIOD_SECONDS = 20.0
"""Period too short for a role change to pay off."""

NEVER_ENDS_SECONDS = 1e9


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
class _LoadShape:
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
    short: LoadFunction
    middle: LoadFunction
    long: LoadFunction
    faults: tuple[Fault, ...] = ()
    callers_retry: bool = False
    heavy_tenant: bool = False
    load_lag: float | None = None
    only_deployment: Deployment | None = None


def constant_load(value: float) -> LoadFunction:
    """Return a constant load."""
    return lambda now: value


def linear_ramp(start: float, end: float, seconds: float) -> LoadFunction:
    """Return a load that changes linearly and then stays at its end value."""
    return lambda now: start + (end - start) * min(1.0, now / seconds)


def sine_wave(
    middle: float, amplitude: float, period: float, phase: float = 0.0
) -> LoadFunction:
    """Return a load that follows a sine wave.

    :param period: seconds.
    :param phase: offset as a share of the period.
    """
    return lambda now: (
        middle + amplitude * math.sin(2.0 * math.pi * (now / period + phase))
    )


def pulses(
    base: float, high: float, windows: cabc.Sequence[tuple[float, float]]
) -> LoadFunction:
    """Return a load that is high within time windows.

    :param windows: start and end of each, seconds.
    """
    return lambda now: high if any(a <= now < b for a, b in windows) else base


def square_wave(low: float, high: float, period: float, late: bool) -> LoadFunction:
    """Return a square wave.

    :param period: seconds.
    :param late: whether the second half of a period is the high one.
    """
    return lambda now: high if (now % period >= period / 2.0) is late else low


def _repeated_crashes(seconds: float) -> tuple[Fault, ...]:
    count = int((seconds - 40.0) // FLAP_PERIOD_SECONDS)
    starts = [30.0 + FLAP_PERIOD_SECONDS * i for i in range(count)]
    return tuple(
        Fault(FaultKind.ENGINE_CRASH, s, s + FLAP_DOWNTIME_SECONDS) for s in starts
    )


def _saturation(load: float) -> _LoadShape:
    return _LoadShape(
        150.0,
        constant_load(0.2 * load),
        constant_load(0.2 * load),
        constant_load(0.6 * load),
    )


_WRAP_WINDOWS_SECONDS = ((80.0, 200.0),)
_BURST_WINDOWS_SECONDS = ((60.0, 85.0), (130.0, 155.0), (200.0, 225.0))

LOAD_SHAPES: dict[str, _LoadShape] = {
    "slow-drift": _LoadShape(
        400.0,
        linear_ramp(0.04, 0.36, 400.0),
        constant_load(0.08),
        linear_ramp(0.42, 0.08, 400.0),
    ),
    "half-day-swing": _LoadShape(
        480.0,
        sine_wave(0.2, 0.16, 480.0, -0.25),
        constant_load(0.08),
        sine_wave(0.25, 0.17, 480.0, 0.25),
    ),
    "burst": _LoadShape(
        260.0,
        pulses(0.03, 0.4, _BURST_WINDOWS_SECONDS),
        constant_load(0.08),
        constant_load(0.4),
    ),
    "wrap-hour": _LoadShape(
        260.0,
        pulses(0.05, 0.15, _WRAP_WINDOWS_SECONDS),
        pulses(0.12, 0.2, _WRAP_WINDOWS_SECONDS),
        pulses(0.15, 0.6, _WRAP_WINDOWS_SECONDS),
        only_deployment="alliance",
    ),
    "fast-oscillation": _LoadShape(
        300.0,
        square_wave(0.05, 0.4, OSCILLATION_PERIOD_SECONDS, False),
        constant_load(0.08),
        square_wave(0.1, 0.45, OSCILLATION_PERIOD_SECONDS, True),
    ),
    "heavy-tenant": _LoadShape(
        200.0,
        constant_load(0.2),
        constant_load(0.2),
        constant_load(0.8),
        heavy_tenant=True,
    ),
    "slow-upstream": _LoadShape(
        200.0,
        constant_load(0.12),
        constant_load(0.1),
        constant_load(0.28),
        faults=(Fault(FaultKind.ENGINE_SPEED, 40.0, NEVER_ENDS_SECONDS, 1, 0.25),),
    ),
    "flapping-upstream": _LoadShape(
        200.0,
        constant_load(0.12),
        constant_load(0.1),
        constant_load(0.28),
        faults=_repeated_crashes(200.0),
    ),
    "saturation-1.0": _saturation(1.0),
    "saturation-1.5": _saturation(1.5),
    "saturation-3.0": _saturation(3.0),
    "withdrawal-at-peak": _LoadShape(
        200.0,
        constant_load(0.1),
        constant_load(0.1),
        pulses(0.2, 0.45, ((50.0, 150.0),)),
        faults=(Fault(FaultKind.WITHDRAWAL, 90.0, NEVER_ENDS_SECONDS),),
    ),
    "key-value-down": _LoadShape(
        300.0,
        linear_ramp(0.04, 0.36, 300.0),
        constant_load(0.08),
        linear_ramp(0.4, 0.08, 300.0),
        faults=(Fault(FaultKind.KEY_VALUE_DOWN, 60.0, 240.0),),
    ),
    "late-reports": _LoadShape(
        260.0,
        pulses(0.04, 0.3, _BURST_WINDOWS_SECONDS),
        constant_load(0.1),
        constant_load(0.3),
        load_lag=5.0,
    ),
    "retry-storm": _LoadShape(
        200.0,
        constant_load(0.15),
        constant_load(0.12),
        constant_load(0.3),
        faults=(Fault(FaultKind.ENGINES_UNREACHABLE, 60.0, 80.0),),
        callers_retry=True,
    ),
}


def scenario_names() -> tuple[str, ...]:
    """Return the names of all scenarios, as ``deployment/shape``."""
    return tuple(
        f"{deployment_name}/{shape}"
        for deployment_name in DEPLOYMENTS
        for shape in LOAD_SHAPES
        if LOAD_SHAPES[shape].only_deployment in (None, deployment_name)
    )


def build_scenario(name: str, seed: int, fleet: Fleet | None = None) -> Scenario:
    """Generate a scenario with random requests.

    :param fleet: replaces the deployment's fleet.
    :raises KeyError: if no scenario has that name.
    """
    deployment_name, _, shape_name = name.partition("/")
    if deployment_name not in DEPLOYMENTS or name not in scenario_names():
        raise KeyError(name)
    shape = LOAD_SHAPES[shape_name]
    fleet = fleet or deployment(deployment_name)
    if shape.load_lag is not None:
        fleet = msgspec.structs.replace(fleet, load_lag=shape.load_lag)
    rng = random.Random(f"{name} {seed}")
    requests = generate_requests(
        _flows(deployment_name, shape),
        shape.seconds,
        lambda p: _fleet_seconds(fleet, p),
        rng,
    )
    return Scenario(
        name, fleet, requests, shape.faults, shape.callers_retry, shape.seconds
    )


def _flows(deployment_name: Deployment, shape: _LoadShape) -> list[Flow]:
    tenants = tenant_weights(deployment_name)
    if shape.heavy_tenant:
        rest = sum(tenants[1:])
        tenants = (rest * HEAVY_TENANT_SHARE / (1.0 - HEAVY_TENANT_SHARE), *tenants[1:])
    levels = (shape.short, shape.middle, shape.long)
    flows = [
        Flow(profile, load_function, tenants)
        for profile, load_function in zip(
            MODEL_PROFILES[deployment_name], levels, strict=True
        )
    ]
    calls = Flow(
        SERVICE_PROFILES[deployment_name],
        constant_load(SERVICE_CALLS_PER_SECOND),
        tenants,
    )
    return [*flows, calls]


SERVICE_CALLS_PER_SECOND = 2.0
"""Rate of non-repeatable calls of plain services."""


def _fleet_seconds(fleet: Fleet, profile: ClassProfile) -> float:
    """Return the whole fleet's seconds for a mean request of a class.

    Service calls aren't limited by engines: their load is in calls a second.
    """
    if not profile.model:
        return 1.0
    engine = fleet.engines()[0]
    mean = math.exp(profile.spread**2 / 2.0)
    uncached_share = 1.0 - fleet.shared_share if profile.prefixes else 1.0
    seconds = engine_seconds(
        profile.prompt * mean * uncached_share,
        profile.output * mean,
        best_rates(fleet, engine),
    )
    return seconds / len(fleet.engines())
