"""Generator of random requests from a class mix that changes over time."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math
import random
import typing as t

from .trace import TraceRequest

LoadFunction: t.TypeAlias = cabc.Callable[[float], float]


@dataclasses.dataclass(frozen=True, slots=True)
class ClassProfile:
    """Distribution of the requests of a class; lengths are log-normal.

    :param prompt: median prompt length in tokens.
    :param output: median answer length in tokens.
    :param spread: sigma of the logarithm of both lengths; 0 for constant lengths.
    :param deadline: seconds after arrival.
    :param prefixes: number of shared prompt prefixes of each tenant; 0 for none.
    :param model: model name; empty for a plain service.
    :param repeatable: whether a call may be executed more than once.
    """

    name: str
    prompt: int
    output: int
    spread: float
    deadline: float
    prefixes: int = 0
    model: str = "model"
    repeatable: bool = True


MODEL_PROFILES: dict[str, tuple[ClassProfile, ...]] = {
    "trindade": (
        ClassProfile("hold-check", 700, 2, 0.4, 5.0, prefixes=2),
        ClassProfile("question", 900, 120, 0.5, 30.0, prefixes=1),
        ClassProfile("appraisal", 3000, 900, 0.4, 180.0, prefixes=1),
    ),
    "alliance": (
        ClassProfile("confirm-flag", 450, 2, 0.4, 5.0, prefixes=2),
        ClassProfile("scene-note", 1200, 250, 0.5, 40.0, prefixes=1),
        ClassProfile("call-sheet", 4000, 1200, 0.4, 150.0, prefixes=1),
    ),
}
"""Classes with short, middle and long answers of each deployment, in that order."""

SERVICE_PROFILES: dict[str, ClassProfile] = {
    "trindade": ClassProfile("order", 1, 1, 0.0, 5.0, model="", repeatable=False),
    "alliance": ClassProfile("push", 1, 1, 0.0, 5.0, model="", repeatable=False),
}
"""Non-repeatable calls of plain services."""

TENANT_COUNTS = {"trindade": 12, "alliance": 8}
"""Number of tenants of each deployment."""


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Arrivals of one class.

    :param load: offered load as a share of the fleet's capacity, at seconds after the
        start.
    :param tenants: relative probability of each tenant.
    """

    profile: ClassProfile
    load: LoadFunction
    tenants: tuple[float, ...]


def tenant_weights(deployment: str) -> tuple[float, ...]:
    """Return relative probabilities that fall slowly from tenant to tenant."""
    return tuple(1.0 / (1.0 + 0.15 * i) for i in range(TENANT_COUNTS[deployment]))


def generate_requests(
    flows: cabc.Sequence[Flow],
    seconds: float,
    fleet_seconds: cabc.Callable[[ClassProfile], float],
    rng: random.Random,
) -> tuple[TraceRequest, ...]:
    """Generate a trace.

    :param seconds: duration of the trace.
    :param fleet_seconds: the whole fleet's seconds for a mean request of a class.
    """
    requests: list[TraceRequest] = []
    for flow in flows:
        requests += _generate_flow(flow, seconds, fleet_seconds(flow.profile), rng)
    return tuple(sorted(requests, key=lambda r: r.at))


def _generate_flow(
    flow: Flow, seconds: float, fleet_seconds: float, rng: random.Random
) -> list[TraceRequest]:
    """Generate Poisson arrivals whose rate follows the flow's load, by thinning."""
    requests: list[TraceRequest] = []
    now = 0.0
    peak = max(flow.load(seconds * i / 200.0) for i in range(201)) / fleet_seconds
    if peak <= 0.0:
        return []
    while True:
        now += rng.expovariate(peak)
        if now >= seconds:
            return requests
        if rng.random() * peak * fleet_seconds <= flow.load(now):
            requests.append(_request(flow, now, rng))


def _request(flow: Flow, now: float, rng: random.Random) -> TraceRequest:
    profile = flow.profile
    tenant = rng.choices(range(len(flow.tenants)), flow.tenants)[0]
    scale = math.exp(profile.spread * rng.gauss(0.0, 1.0))
    length = math.exp(profile.spread * rng.gauss(0.0, 1.0))
    prefix = None
    if profile.prefixes:
        prefix = f"{profile.name}-{tenant}-{rng.randrange(profile.prefixes)}"
    return TraceRequest(
        at=round(now, 4),
        tenant=f"tenant-{tenant}",
        klass=profile.name,
        model=profile.model,
        prompt_tokens=max(1, int(profile.prompt * min(scale, 4.0))),
        output_tokens=max(1, round(profile.output * min(length, 4.0))),
        prefix=prefix,
        repeatable=profile.repeatable,
        deadline=profile.deadline,
    )
