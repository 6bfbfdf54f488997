"""Metrics through OpenTelemetry, exported to Prometheus.

The number of series is bounded: latencies have one set of histograms by class and
another by tenant, never by both, and tenants beyond a limit share one series named
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
"""Maximum number of tenants with series of their own in one process."""

MAX_CLASSES = 50
"""Maximum number of classes with series of their own in one process."""

OTHER = "other"
"""Label value of all tenants and classes beyond these limits."""

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
"""Upper bounds of histogram buckets, including the users' 39 ms and 0.54 s."""


class _LabelLimiter:
    """Passes the first label values up to a limit; replaces later ones by ``other``."""

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
    """Histograms of the times between tokens, by class.

    The library's histograms record one value at a time, and cost as much as a quarter
    of all other work of an entry for a token. These buckets are plain counters that the
    library reads when the series are scraped; quantiles over their ``le`` label are
    computed as over any histogram's.
    """

    def __init__(self) -> None:
        self.counts: dict[str, list[int]] = {}
        self.sums: dict[str, float] = {}

    def add(self, label: str, seconds: float, count: int) -> None:
        """Add a time that occurred a number of times."""
        if label not in self.counts:
            self.counts[label] = [0] * (len(_BOUNDS_SECONDS) + 1)
            self.sums[label] = 0.0
        self.counts[label][bisect.bisect_left(_BOUNDS_SECONDS, seconds)] += count
        self.sums[label] += seconds * count

    def read_buckets(self, options: CallbackOptions) -> cabc.Iterable[Observation]:
        """Return the cumulative count of each bucket."""
        bounds = [*(str(float(bound)) for bound in _BOUNDS_SECONDS), "+Inf"]
        for label, counts in self.counts.items():
            totals = itertools.accumulate(counts)
            for bound, total in zip(bounds, totals, strict=True):
                yield Observation(total, {"class": label, "le": bound})

    def read_sums(self, options: CallbackOptions) -> cabc.Iterable[Observation]:
        """Return the sum of times of each class."""
        for label, seconds in self.sums.items():
            yield Observation(seconds, {"class": label})


class OpenTelemetryMetrics:
    """Metrics of one process.

    :param process: name of the process.
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
        self.retries = meter.create_counter("second.sends")
        self.crashes = meter.create_counter("upstream.crashes")
        self.lost_runs = meter.create_counter("runs.lost")
        self.quarantined = meter.create_gauge("requests.quarantined")
        self.quarantined_parts = meter.create_gauge("prompt.parts.quarantined")
        self.refused_connections = meter.create_counter("connections.refused")
        self.rests = meter.create_counter("upstream.rests")
        self.resumed = meter.create_counter("streams.resumed")
        self.identified = meter.create_counter("engines.identified")
        self.limited_upstreams = meter.create_gauge("upstreams.limited")
        self.full_engines = meter.create_gauge("engines.full")
        self.held_bytes = meter.create_gauge("response.bytes.held")
        self.limited_callers = meter.create_counter("callers.limited")
        self.slow_upstreams = meter.create_gauge("upstreams.slow")
        self.avoided_engines = meter.create_gauge("engines.avoided")
        self.shortages = meter.create_gauge("capacity.short")
        self.sends_between_zones = meter.create_counter("sends.between.zones")
        self.learned_prefills = meter.create_counter("prefills.learned")
        self.usage_windows = meter.create_counter("usage.windows")
        self.scaling_orders = meter.create_counter("scaling.orders")
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
        """Record the time from a request's arrival to its first token."""
        self._observe(self.first_token, tenant, request_class, seconds)

    def on_inter_token_latency(
        self, request_class: str, seconds: float, tokens: int
    ) -> None:
        """Record the time per token for the tokens of one chunk."""
        self.token_intervals.add(self.classes(request_class), seconds, tokens)

    def on_ended(
        self, tenant: str, request_class: str, code: ResultCode, seconds: float
    ) -> None:
        """Record a request's end and its total time."""
        self._observe(self.total, tenant, request_class, seconds)
        labels = {"class": self.classes(request_class), "code": code.name.lower()}
        self.ended.add(1, labels)

    def on_ended_by_size(
        self, request_class: str, size_class: SizeClass, code: ResultCode
    ) -> None:
        """Record the end of a request by the size class of its prompt."""
        labels = {
            "class": self.classes(request_class),
            "size": size_class.value,
            "result": _result(code),
        }
        self.ended_by_size.add(1, labels)

    def on_queue_wait(self, tenant: str, request_class: str, seconds: float) -> None:
        """Record the time that a request was queued at a side."""
        self._observe(self.queue_wait, tenant, request_class, seconds)

    def on_generation(self, generation: int) -> None:
        """Record the configuration generation in force."""
        self.generation.set(generation)

    def on_report(self, report: SideReport) -> None:
        """Record a side's state."""
        self.running.set(report.running)
        self.queued.set(report.queued)
        self.ready.set(int(report.readiness is Readiness.READY))

    def on_unknown_message(self) -> None:
        """Count a message of a type that only a later protocol version knows."""
        self.unknown.add(1)

    def on_retry(self, group: str, *, allowed: bool) -> None:
        """Count a retry to a group, or one that the retry budget refused."""
        labels = {"group": self.classes(group), "allowed": str(allowed).lower()}
        self.retries.add(1, labels)

    def on_crash(self, group: str, lost_runs: int) -> None:
        """Count an upstream's crash and the runs that were lost with it."""
        labels = {"group": self.classes(group)}
        self.crashes.add(1, labels)
        self.lost_runs.add(lost_runs, labels)

    def on_quarantine(self, requests: int) -> None:
        """Record the number of requests in quarantine."""
        self.quarantined.set(requests)

    def on_part_quarantine(self, parts: int) -> None:
        """Record the number of parts of prompts in quarantine."""
        self.quarantined_parts.set(parts)

    def on_refused_connections(self, connections: int) -> None:
        """Count connections that were closed unread."""
        self.refused_connections.add(connections)

    def on_rest(self, group: str) -> None:
        """Count a reply by which an upstream asks this entry for rest."""
        self.rests.add(1, {"group": self.classes(group)})

    def on_resumed(self, group: str, known_by: str) -> None:
        """Count a stream that a caller resumes, by how its build is known."""
        self.resumed.add(1, {"group": self.classes(group), "known_by": known_by})

    def on_identified(self, group: str, identity: str) -> None:
        """Count an engine in doubt that was asked, by what it has told."""
        labels = {"group": self.classes(group), "identity": identity}
        self.identified.add(1, labels)

    def on_full_engines(self, group: str, count: int) -> None:
        """Record the number of a group's engines without memory for a request."""
        self.full_engines.set(count, {"group": self.classes(group)})

    def on_held_bytes(self, count: int) -> None:
        """Record the bytes of responses that are held for callers that read slowly."""
        self.held_bytes.set(count)

    def on_limited_caller(self, limit: str) -> None:
        """Count a connection that was closed, or a request refused, for a limit."""
        self.limited_callers.add(1, {"limit": limit})

    def on_limited_upstreams(self, upstreams: int) -> None:
        """Record the number of upstreams that limit their requests."""
        self.limited_upstreams.set(upstreams)

    def on_slow_upstreams(self, upstreams: int) -> None:
        """Record the number of upstreams that are slower than their groups."""
        self.slow_upstreams.set(upstreams)

    def on_avoided_engines(self, engines: int) -> None:
        """Record the number of engines that are avoided after notices."""
        self.avoided_engines.set(engines)

    def on_shortage(self, group: str, *, short: bool) -> None:
        """Record whether a group is short of capacity."""
        self.shortages.set(int(short), {"group": self.classes(group)})

    def on_send_between_zones(self, group: str) -> None:
        """Count a request or prefill that is sent to an upstream in another zone."""
        self.sends_between_zones.add(1, {"group": self.classes(group)})

    def on_learned_prefill(self, group: str, *, own: bool) -> None:
        """Count a prefill that engine speeds were learned from."""
        source = "own" if own else "other"
        labels = {"group": self.classes(group), "source": source}
        self.learned_prefills.add(1, labels)

    def on_usage_window(self, outcome: str) -> None:
        """Count a window of usage."""
        self.usage_windows.add(1, {"outcome": outcome})

    def on_scaling_order(self, group: str, outcome: str) -> None:
        """Count an order of a number of replicas."""
        labels = {"group": self.classes(group), "outcome": outcome}
        self.scaling_orders.add(1, labels)

    def exposition(self) -> bytes:
        """Return all series in Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


def _result(code: ResultCode) -> str:
    """Return the value of the ``result`` label for a request's end."""
    if code is ResultCode.OK:
        return "served"
    if code is ResultCode.CANCELLED_BY_CALLER:
        return "left"
    return "refused" if CODE_INFO[code].outcome is Outcome.NOT_RUN else "failed"
