"""Deployment of the demonstration: an archive with ten upstreams in four zones."""

from __future__ import annotations

import msgspec

from .config.document import Configuration
from .config.document import Match
from .config.document import RequestClass
from .config.document import Route
from .config.document import Selector
from .config.document import SelectorState
from .config.document import Tenant
from .local_fleet import FleetPlan
from .model import Assignment
from .model import Priority
from .model import Role

MODEL = "archivist"
ADAPTER = "deeds@1"
ZONES = ("north-a", "north-b", "north-c", "north-d")
ENGINES = 6
SERVICES = 4
ENTRIES = 2

DRAINED_ENGINE = "engine-6"
"""Engine that the operators drain during the demonstration."""


def initial_configuration() -> Configuration:
    """Return the initial configuration of the deployment."""
    labels = {f"engine-{i}": {"pool": "models"} for i in range(1, ENGINES + 1)}
    labels |= {f"counter-{i}": {"pool": "counter"} for i in range(1, SERVICES + 1)}
    return Configuration(
        labels=labels,
        selectors=(
            Selector(
                name="models",
                group="pool=models",
                match=Match(models=(MODEL,)),
                models=(f"{MODEL}@1",),
            ),
            Selector(
                name="drained",
                group="pool=drained",
                state=SelectorState.DRAINING,
            ),
            Selector(
                name="counter",
                group="pool=counter",
                match=Match(routes=("counter", "orders")),
            ),
        ),
        classes={
            "appraisal": RequestClass(
                priority=Priority.BATCH, first_token=30.0, total=120.0
            ),
            "question": RequestClass(
                priority=Priority.STANDARD, first_token=5.0, total=60.0
            ),
            "hold-check": RequestClass(
                priority=Priority.INTERACTIVE, first_token=2.0, total=20.0
            ),
            "counter": RequestClass(priority=Priority.INTERACTIVE, total=20.0),
        },
        tenants={"notaries": Tenant(weight=2.0), "hospitals": Tenant()},
        routes={
            "counter": Route(prefix="/counter", request_class="counter"),
            "orders": Route(
                prefix="/orders", repeatable=False, request_class="counter"
            ),
        },
    )


def with_engine_drained(configuration: Configuration) -> Configuration:
    """Return the configuration with one engine relabelled to the drained pool."""
    labels = configuration.labels | {DRAINED_ENGINE: {"pool": "drained"}}
    return msgspec.structs.replace(configuration, labels=labels)


def with_selector_changed(configuration: Configuration) -> Configuration:
    """Return the configuration with an adapter added to the selector of models."""
    models, *others = configuration.selectors
    changed = msgspec.structs.replace(models, adapters=(ADAPTER,))
    return msgspec.structs.replace(configuration, selectors=(changed, *others))


def demo_plan() -> FleetPlan:
    """Return the plan of the demonstration's deployment."""
    return FleetPlan(
        configuration=initial_configuration(),
        engines={f"engine-{i + 1}": ZONES[i % 4] for i in range(ENGINES)},
        services={f"counter-{i + 1}": ZONES[i % 4] for i in range(SERVICES)},
        entries={f"entry-{i + 1}": ZONES[i % 4] for i in range(ENTRIES)},
        assignment=Assignment(Role.MIXED, (f"{MODEL}@1",)),
        versions={f"{MODEL}@1": 40.0, ADAPTER: 2.0},
    )
