"""Results of the measurement on real sockets and their text report."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from ..load import percentile
from .sockets_client import CallSample

MILLISECONDS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Processor time that a load phase cost.

    :param requests: requests completed.
    :param tokens: tokens received.
    :param seconds: duration of the phase.
    :param cpu: processor seconds by process.
    """

    requests: int
    tokens: int
    seconds: float
    cpu: dict[str, float]

    def plus(self, other: Cost) -> Cost:
        """Return the sum of two phases of the same load."""
        return Cost(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.seconds + other.seconds,
            {name: used + other.cpu[name] for name, used in self.cpu.items()},
        )

    def core_seconds(self, prefix: str) -> float:
        """Return the processor seconds of all processes whose name has a prefix."""
        return sum(c for name, c in self.cpu.items() if name.startswith(prefix))

    def requests_per_core(self, prefix: str) -> float:
        """Return the requests per core second of one kind of process."""
        return self.requests / max(self.core_seconds(prefix), 1e-9)

    def tokens_per_core(self, prefix: str) -> float:
        """Return the tokens per core second of one kind of process."""
        return self.tokens / max(self.core_seconds(prefix), 1e-9)


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Percentiles of the time to the first event and between events, in seconds."""

    first_p50: float
    first_p95: float
    between_p50: float
    between_p95: float

    def minus(self, floor: Latency) -> Latency:
        """Return the difference of each percentile from another path's."""
        return Latency(
            self.first_p50 - floor.first_p50,
            self.first_p95 - floor.first_p95,
            self.between_p50 - floor.between_p50,
            self.between_p95 - floor.between_p95,
        )


def compute_latency(samples: cabc.Sequence[CallSample]) -> Latency:
    """Return the latency percentiles of calls."""
    firsts = [s.first for s in samples]
    gaps = [gap for s in samples for gap in s.gaps]
    return Latency(
        percentile(firsts, 0.5) or 0.0,
        percentile(firsts, 0.95) or 0.0,
        percentile(gaps, 0.5) or 0.0,
        percentile(gaps, 0.95) or 0.0,
    )


def compute_cost(
    samples: cabc.Sequence[CallSample],
    seconds: float,
    before: dict[str, float],
    after: dict[str, float],
) -> Cost:
    """Return the cost of a load phase.

    :param seconds: duration of the phase.
    :param before: processor seconds by process at its start.
    :param after: processor seconds by process at its end.
    """
    cpu = {name: after[name] - before[name] for name in before}
    return Cost(len(samples), sum(s.tokens for s in samples), seconds, cpu)


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Measured values of one run.

    :param latency: latency by path: ``engine``, ``passthrough`` and ``entry``.
    :param streams: cost of long answers by path.
    :param checks: cost of one-token answers by path.
    """

    latency: dict[str, Latency]
    streams: dict[str, Cost]
    checks: dict[str, Cost]


@dataclasses.dataclass(frozen=True, slots=True)
class PerCore:
    """Throughput per core second of one kind of process.

    :param tokens: tokens of long answers.
    :param requests: requests with one-token answers.
    :param tokens_share: ``tokens`` as a share of the pass-through's.
    :param requests_share: ``requests`` as a share of the pass-through's.
    """

    tokens: float
    requests: float
    tokens_share: float
    requests_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report of one run.

    :param per_core: throughput by kind of process: ``passthrough``, ``entry`` and
        ``side``.
    :param added_to_engine: latency added to that of direct calls, by path.
    :param added_to_floor: latency that the entry adds to that of the pass-through.
    """

    measured: Measurement
    per_core: dict[str, PerCore]
    added_to_engine: dict[str, Latency]
    added_to_floor: Latency


def build_report(measured: Measurement) -> Report:
    """Return the report of a run."""
    latency = measured.latency
    floor = latency["engine"]
    return Report(
        measured=measured,
        per_core={
            kind: _per_core(measured, kind) for kind in ("passthrough", "entry", "side")
        },
        added_to_engine={
            path: latency[path].minus(floor) for path in ("passthrough", "entry")
        },
        added_to_floor=latency["entry"].minus(latency["passthrough"]),
    )


def _per_core(measured: Measurement, kind: str) -> PerCore:
    path = "passthrough" if kind == "passthrough" else "entry"
    tokens = measured.streams[path].tokens_per_core(kind)
    requests = measured.checks[path].requests_per_core(kind)
    floor_tokens = measured.streams["passthrough"].tokens_per_core("passthrough")
    floor_requests = measured.checks["passthrough"].requests_per_core("passthrough")
    return PerCore(tokens, requests, tokens / floor_tokens, requests / floor_requests)


def format_report(report: Report) -> str:
    """Return the report as a text table."""
    lines = ["a core second of       tokens  of floor  requests  of floor"]
    for kind, core in report.per_core.items():
        lines.append(
            f"{kind:<18}{core.tokens:>11,.0f}{core.tokens_share:>10.2f}"
            f"{core.requests:>10,.0f}{core.requests_share:>10.2f}"
        )
    lines.append("")
    lines.append("milliseconds       first p50       p95  between p50       p95")
    rows = {
        **report.measured.latency,
        "added to engine": report.added_to_engine["entry"],
        "added to floor": report.added_to_floor,
    }
    lines += [_latency_line(name, latency) for name, latency in rows.items()]
    lines.append("")
    for title, costs in (
        ("streams", report.measured.streams),
        ("checks", report.measured.checks),
    ):
        for path, cost in costs.items():
            lines.append(
                f"{title} by {path}: {cost.requests / cost.seconds:,.0f} requests/s, "
                f"{cost.tokens / cost.seconds:,.0f} tokens/s"
            )
    return "\n".join(lines) + "\n"


def _latency_line(name: str, latency: Latency) -> str:
    first_p50, first_p95, between_p50, between_p95 = (
        MILLISECONDS * value for value in dataclasses.astuple(latency)
    )
    return (
        f"{name:<18}{first_p50:>10.2f}{first_p95:>10.2f}"
        f"{between_p50:>13.2f}{between_p95:>10.2f}"
    )
