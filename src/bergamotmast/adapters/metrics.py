"""Measurements through OpenTelemetry, read by Prometheus.

Series are bounded: latencies have one set of histograms by class and one by tenant,
never the product of both, and tenants beyond a limit share one series named
``other``. With 1,000 tenants a process keeps at most ``MAX_TENANTS`` times three
histograms, whatever its callers send.
"""

from __future__ import annotations

import bisect
import collections.abc as cabc
import itertools

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Histogram
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation
from opentelemetry.sdk.metrics.view import View

from ..errors import CODE_INFO
from ..errors import Outcome
from ..errors import ResultCode
from ..model import Readiness
from ..model import SideReport
from ..policy.size_classes import SizeClass

MAX_TENANTS = 200
"""Tenants with series of their own in one process."""

MAX_CLASSES = 50
"""Classes with series of their own in one process."""

OTHER = "other"
"""Label of everything beyond those."""

_BOUNDS_SECONDS = (
    0.005,
    0.01,
    0.02,
    0.039,
    0.08,
    0.15,
    0.3,
    0.54,
    1,
    2,
    5,
    10,
    30,
    120,
)
"""Histogram bounds; among them the users' 39 ms and 0.54 s."""


class _LabelLimiter:
    """Lets through the first labels it sees, up to a limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.seen: set[str] = set()

    def __call__(self, label: str) -> str:
        if label in self.seen:
            return label
        if len(self.seen) >= self.limit:
            return OTHER
        self.seen.add(label)
        return label


class _TokenIntervals:
    """Times between tokens by class, as counts up to each bound.

    The library's histograms take one value at a time and cost as much as a quarter
    of everything else that an entry does for a token. Counted here, the buckets are
    plain counters that the library reads when the series are asked for; quantiles
    over their ``le`` label are worked out as over any histogram's.
    """

    def __init__(self) -> None:
        self.counts: dict[str, list[int]] = {}
        self.sums: dict[str, float] = {}

    def add(self, label: str, seconds: float, times: int) -> None:
        """Count a time."""
        if label not in self.counts:
            self.counts[label] = [0] * (len(_BOUNDS_SECONDS) + 1)
            self.sums[label] = 0.0
        self.counts[label][bisect.bisect_left(_BOUNDS_SECONDS, seconds)] += times
        self.sums[label] += seconds * times

    def read_buckets(self, options: CallbackOptions) -> cabc.Iterable[Observation]:
        """Return the counts up to each bound."""
        bounds = [*(str(float(bound)) for bound in _BOUNDS_SECONDS), "+Inf"]
        for label, counts in self.counts.items():
            totals = itertools.accumulate(counts)
            for bound, total in zip(bounds, totals, strict=True):
                yield Observation(total, {"class": label, "le": bound})

    def read_sums(self, options: CallbackOptions) -> cabc.Iterable[Observation]:
        """Return the sums of all times."""
        for label, seconds in self.sums.items():
            yield Observation(seconds, {"class": label})


class OpenTelemetryMetrics:
    """The process's measurements.

    :param process: name of the process, a label of every series.
    """

    def __init__(self, process: str) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self.registry
        )
        buckets = ExplicitBucketHistogramAggregation(_BOUNDS_SECONDS)
        self.provider = MeterProvider(
            metric_readers=[reader],
            views=[View(instrument_name="*.seconds", aggregation=buckets)],
            shutdown_on_exit=False,
        )
        self.process = process
        self.tenants = _LabelLimiter(MAX_TENANTS)
        self.classes = _LabelLimiter(MAX_CLASSES)
        meter = self.provider.get_meter("bergamotmast")
        self.second_sends = meter.create_counter("second.sends")
        self.first_token = self._create_histograms("first_token")
        self.total = self._create_histograms("total")
        self.queue_wait = self._create_histograms("queue_wait")
        self.token_intervals = _TokenIntervals()
        meter.create_observable_counter(
            "between_tokens.seconds.bucket", [self.token_intervals.read_buckets]
        )
        meter.create_observable_counter(
            "between_tokens.seconds.sum", [self.token_intervals.read_sums]
        )
        self.ended = meter.create_counter("requests.ended")
        self.ended_by_size = meter.create_counter("requests.by_size")
        self.unknown = meter.create_counter("messages.unknown")
        self.generation = meter.create_gauge("configuration.generation")
        self.running = meter.create_gauge("side.running")
        self.queued = meter.create_gauge("side.queued")
        self.ready = meter.create_gauge("side.ready")

    def _create_histograms(self, name: str) -> tuple[Histogram, Histogram]:
        meter = self.provider.get_meter("bergamotmast")
        return (
            meter.create_histogram(f"class.{name}.seconds", unit="s"),
            meter.create_histogram(f"tenant.{name}.seconds", unit="s"),
        )

    def _observe(
        self,
        histograms: tuple[Histogram, Histogram],
        tenant: str,
        request_class: str,
        seconds: float,
    ) -> None:
        by_class, by_tenant = histograms
        by_class.record(seconds, {"class": self.classes(request_class)})
        by_tenant.record(seconds, {"tenant": self.tenants(tenant)})

    def on_first_token(self, tenant: str, request_class: str, seconds: float) -> None:
        """Take the time from a request's arrival to its first token."""
        self._observe(self.first_token, tenant, request_class, seconds)

    def on_between_tokens(
        self, request_class: str, seconds: float, tokens: int
    ) -> None:
        """Take the time to each of so many tokens that came as one chunk."""
        self.token_intervals.add(self.classes(request_class), seconds, tokens)

    def on_ended(
        self, tenant: str, request_class: str, code: ResultCode, seconds: float
    ) -> None:
        """Take a request's end and its whole time."""
        self._observe(self.total, tenant, request_class, seconds)
        labels = {"class": self.classes(request_class), "code": code.name.lower()}
        self.ended.add(1, labels)

    def on_sized_end(
        self, request_class: str, size_class: SizeClass, code: ResultCode
    ) -> None:
        """Take the end of a request with a prompt of some size."""
        labels = {
            "class": self.classes(request_class),
            "size": size_class.value,
            "result": _result(code),
        }
        self.ended_by_size.add(1, labels)

    def on_queue_wait(self, tenant: str, request_class: str, seconds: float) -> None:
        """Take the time that a request waited at a side."""
        self._observe(self.queue_wait, tenant, request_class, seconds)

    def on_generation(self, generation: int) -> None:
        """Take the configuration generation in force."""
        self.generation.set(generation)

    def on_report(self, report: SideReport) -> None:
        """Take a side's state."""
        self.running.set(report.running)
        self.queued.set(report.queued)
        self.ready.set(int(report.readiness is Readiness.READY))

    def on_unknown_message(self) -> None:
        """Take a message that only a later protocol version knows."""
        self.unknown.add(1)

    def on_second_send(self, group: str, *, allowed: bool) -> None:
        """Take a second send to a group, or one that the retry budget refused."""
        labels = {"group": self.classes(group), "allowed": str(allowed).lower()}
        self.second_sends.add(1, labels)

    def exposition(self) -> bytes:
        """Return all series in Prometheus' text format."""
        return prometheus_client.generate_latest(self.registry)


def _result(code: ResultCode) -> str:
    """Return in one word what became of a request."""
    if code is ResultCode.OK:
        return "served"
    if code is ResultCode.CANCELLED_BY_CALLER:
        return "left"
    return "refused" if CODE_INFO[code].outcome is Outcome.NOT_RUN else "failed"
