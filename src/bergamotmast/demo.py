"""Demonstration: a local deployment under load while operators change it."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import itertools
import pathlib
import random
import typing as t

import aiohttp

from .bench.trace import TraceRequest
from .checker import Summary
from .checker import Violation
from .checker import check
from .checker import summary
from .demo_fleet import DRAINED_ENGINE
from .demo_fleet import MODEL
from .demo_fleet import demo_plan
from .demo_fleet import with_engine_drained
from .demo_fleet import with_selector_changed
from .history import OrderTaken
from .history import PlannedChange
from .history import write_history
from .load import CallResult
from .load import LoadDriver
from .load import PlannedCall
from .load import percentile
from .load import plan_model_call
from .local_fleet import LocalFleet
from .local_fleet import local_fleet
from .model import Role
from .standins.engine_text import expected_text

TRAFFIC_SECONDS = 10.0
"""Duration of the generated traffic."""

SELECTOR_CHANGE_AT_SECONDS = 2.0
"""Time of the change of a selector, from the start of the traffic."""

DRAIN_AT_SECONDS = 4.0
"""Time at which an engine is drained, from the start of the traffic."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClassLatencies:
    """Latency percentiles of a request class, in seconds; ``None`` without samples.

    :param sent: number of calls sent.
    """

    sent: int
    first_token_p50: float | None
    first_token_p95: float | None
    between_tokens_p50: float | None
    between_tokens_p95: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class DemoResult:
    """Result of a demonstration.

    :param orders: number of orders that engines accepted.
    :param role_changes: number of orders that changed an engine's role; the others
        changed its models or adapters.
    :param violations: violations of the system's promises, found in the history.
    :param drained_without_interruption: whether the drained engine completed its work
        in time.
    """

    summary: Summary
    orders: int
    role_changes: int
    classes: dict[str, ClassLatencies]
    violations: tuple[Violation, ...]
    drained_without_interruption: bool

    @property
    def passed(self) -> bool:
        """Whether no promise was violated and the engine was drained in time."""
        return not self.violations and self.drained_without_interruption


def role_changes(orders: cabc.Iterable[OrderTaken], initial_role: Role) -> int:
    """Return the number of orders that changed an engine's role.

    :param orders: accepted orders, oldest first.
    :param initial_role: role of every engine before its first order.
    """
    roles: dict[str, str] = {}
    changes = 0
    for order in orders:
        role = order.assignment.partition(" ")[0]
        changes += role != roles.get(order.engine, initial_role.value)
        roles[order.engine] = role
    return changes


def planned_calls(rng: random.Random) -> list[PlannedCall]:
    """Return calls of all request classes, sorted by the time of sending."""
    numbers = itertools.count(1)
    calls = [
        *_model_calls(rng, numbers, "appraisal", 12, 1500, 400),
        *_model_calls(rng, numbers, "question", 60, 300, 60),
        *_model_calls(rng, numbers, "hold-check", 150, 900, 3),
        *_service_calls(rng, numbers, "counter", 60),
        *_service_calls(rng, numbers, "orders", 40),
    ]
    return sorted(calls, key=lambda call: call.request.at)


def _model_calls(
    rng: random.Random,
    numbers: cabc.Iterator[int],
    request_class: str,
    count: int,
    prompt_tokens: int,
    output_tokens: int,
) -> cabc.Iterator[PlannedCall]:
    for _ in range(count):
        request = TraceRequest(
            at=rng.uniform(0, TRAFFIC_SECONDS),
            tenant=rng.choice(("notaries", "hospitals")),
            klass=request_class,
            model=MODEL,
            prompt_tokens=max(1, int(rng.gauss(prompt_tokens, prompt_tokens / 5))),
            output_tokens=max(1, int(rng.gauss(output_tokens, output_tokens / 5))),
            prefix=rng.choice((None, "deposit", "hold")),
            deadline=60.0,
        )
        yield plan_model_call(request, f"demo-{next(numbers)}", expected_text)


def _service_calls(
    rng: random.Random, numbers: cabc.Iterator[int], route: str, count: int
) -> cabc.Iterator[PlannedCall]:
    for _ in range(count):
        request_id = f"demo-{next(numbers)}"
        request = TraceRequest(
            at=rng.uniform(0, TRAFFIC_SECONDS),
            tenant="notaries",
            klass="counter",
            repeatable=route != "orders",
            deadline=20.0,
        )
        key = request_id if route == "orders" else ""
        yield PlannedCall(
            request_id, request, f"/services/{route}", request_id.encode(), key
        )


async def run_demo(seed: int, history_file: pathlib.Path | None = None) -> DemoResult:
    """Run the deployment under load and operator changes, and check its history.

    :param history_file: file to write the history to.
    """
    async with local_fleet(demo_plan(), seed) as fleet:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            drivers = [
                LoadDriver(session, url, fleet.history) for url in fleet.urls.values()
            ]
            results, drained = await _run_traffic_and_operators(fleet, drivers, seed)
    records = fleet.history.records
    orders = [record for record in records if isinstance(record, OrderTaken)]
    if history_file is not None:
        write_history(history_file, records)
    return DemoResult(
        summary=summary(records),
        orders=len(orders),
        role_changes=role_changes(orders, fleet.plan.assignment.role),
        classes=_latencies(results),
        violations=tuple(check(records)),
        drained_without_interruption=drained,
    )


async def _run_traffic_and_operators(
    fleet: LocalFleet, drivers: list[LoadDriver], seed: int
) -> tuple[list[CallResult], bool]:
    calls = planned_calls(random.Random(seed))
    operators = asyncio.create_task(_run_operators(fleet))
    shares = [calls[i :: len(drivers)] for i in range(len(drivers))]
    replays = (d.replay(share) for d, share in zip(drivers, shares, strict=True))
    results = await asyncio.gather(*replays)
    return list(itertools.chain.from_iterable(results)), await operators


async def _run_operators(fleet: LocalFleet) -> bool:
    """Change a selector, then drain an engine; return whether it drained in time."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(SELECTOR_CHANGE_AT_SECONDS)
    changed = with_selector_changed(fleet.plan.configuration)
    await fleet.edit(changed, 1)
    await asyncio.sleep(DRAIN_AT_SECONDS - SELECTOR_CHANGE_AT_SECONDS)
    fleet.history.record(
        PlannedChange(at=loop.time(), upstream=DRAINED_ENGINE, change="drain")
    )
    await fleet.edit(with_engine_drained(changed), 2)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(60.0):
            await asyncio.sleep(3.0)
            await fleet.sides[DRAINED_ENGINE].core.drained()
            return True
    return False


def _latencies(results: cabc.Sequence[CallResult]) -> dict[str, ClassLatencies]:
    classes = sorted({result.request_class for result in results})
    return {name: _class_latencies(name, results) for name in classes}


def _class_latencies(name: str, results: cabc.Sequence[CallResult]) -> ClassLatencies:
    own = [r for r in results if r.request_class == name]
    first = [r.first_token for r in own if r.first_token is not None]
    between = [r.inter_token for r in own if r.inter_token is not None]
    return ClassLatencies(
        sent=len(own),
        first_token_p50=percentile(first, 0.5),
        first_token_p95=percentile(first, 0.95),
        between_tokens_p50=percentile(between, 0.5),
        between_tokens_p95=percentile(between, 0.95),
    )


def as_json(result: DemoResult) -> dict[str, t.Any]:
    """Return the result as a JSON-serializable object."""
    counts = dataclasses.asdict(result.summary)
    classes = {name: dataclasses.asdict(c) for name, c in result.classes.items()}
    return counts | {
        "orders": result.orders,
        "role_changes": result.role_changes,
        "classes": classes,
        "violations": [f"{v.rule.value} {v.subject}" for v in result.violations],
    }


def as_text(result: DemoResult) -> str:
    """Return the result as text."""
    s = result.summary
    lines = [
        f"sent {s.sent}, answered whole {s.answered_whole}, unknown {s.unknown}",
        f"lost {s.lost}, duplicates {s.duplicates}, cut off {s.cut_off}",
        f"refused by code {s.refused or 'none'}, orders to engines {result.orders},"
        f" role changes {result.role_changes}",
        "",
        f"{'class':<12}{'sent':>6}{'first token p50/p95':>24}{'between p50/p95':>20}",
    ]
    for name, c in result.classes.items():
        first = f"{_ms(c.first_token_p50)} / {_ms(c.first_token_p95)}"
        between = f"{_ms(c.between_tokens_p50)} / {_ms(c.between_tokens_p95)}"
        lines.append(f"{name:<12}{c.sent:>6}{first:>24}{between:>20}")
    lines += [
        f"BROKEN: {v.rule.value} {v.subject}: {v.detail}" for v in result.violations
    ]
    lines.append("every promise held" if result.passed else "promises were broken")
    return "\n".join(lines)


def _ms(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.0f} ms"
