"""Interface by which entries and sides report measurements to a metrics backend."""

from __future__ import annotations

import typing as t

from .errors import ResultCode
from .model import SideReport
from .policy.size_classes import SizeClass


class Telemetry(t.Protocol):
    """Receiver of measurements; all durations are in seconds."""

    def on_first_token(self, tenant: str, request_class: str, seconds: float) -> None:
        """Record the time to first token, from the request's arrival."""
        ...

    def on_inter_token_latency(
        self, request_class: str, seconds: float, tokens: int
    ) -> None:
        """Record the inter-token latency of each of the ``tokens`` of one chunk."""
        ...

    def on_ended(
        self, tenant: str, request_class: str, code: ResultCode, seconds: float
    ) -> None:
        """Record a request's result code and total latency."""
        ...

    def on_ended_by_size(
        self, request_class: str, size_class: SizeClass, code: ResultCode
    ) -> None:
        """Record a request's result code by the size class of its prompt."""
        ...

    def on_queue_wait(self, tenant: str, request_class: str, seconds: float) -> None:
        """Record a request's queueing delay at a side."""
        ...

    def on_generation(self, generation: int) -> None:
        """Record the configuration generation in force."""
        ...

    def on_report(self, report: SideReport) -> None:
        """Record a side's status report."""
        ...

    def on_unknown_message(self) -> None:
        """Count a message of a type that this protocol version doesn't know."""
        ...

    def on_retry(self, group: str, *, allowed: bool) -> None:
        """Count a retry in a group, or one that the retry budget refused.

        :param allowed: whether the retry budget allowed it.
        """
        ...

    def on_crash(self, group: str, lost_runs: int) -> None:
        """Count an upstream's crash and the runs that were lost with it."""
        ...

    def on_quarantine(self, requests: int) -> None:
        """Record the number of requests in quarantine."""
        ...

    def on_part_quarantine(self, parts: int) -> None:
        """Record the number of parts of prompts in quarantine."""
        ...

    def on_refused_connections(self, connections: int) -> None:
        """Count connections that were closed unread."""
        ...

    def on_rest(self, group: str) -> None:
        """Count a reply by which an upstream asks this entry for rest."""
        ...

    def on_resumed(self, group: str, known_by: str) -> None:
        """Count a stream that a caller resumes, by how its build is known."""
        ...

    def on_identified(self, group: str, identity: str) -> None:
        """Count an engine in doubt that was asked, by what it has told."""
        ...

    def on_full_engines(self, group: str, count: int) -> None:
        """Record the number of a group's engines without memory for a request."""
        ...

    def on_limited_caller(self, limit: str) -> None:
        """Count a connection that was closed, or a request refused, for a limit."""
        ...

    def on_held_bytes(self, count: int) -> None:
        """Record the bytes of responses that are held for callers that read slowly."""
        ...

    def on_limited_upstreams(self, upstreams: int) -> None:
        """Record the number of upstreams that limit their requests."""
        ...

    def on_slow_upstreams(self, upstreams: int) -> None:
        """Record the number of upstreams that are slower than their groups."""
        ...

    def on_avoided_engines(self, engines: int) -> None:
        """Record the number of engines that are avoided after notices."""
        ...

    def on_shortage(self, group: str, *, short: bool) -> None:
        """Record whether a group is short of capacity."""
        ...

    def on_send_between_zones(self, group: str) -> None:
        """Count a request or prefill that is sent to an upstream in another zone."""
        ...

    def on_learned_prefill(self, group: str, *, own: bool) -> None:
        """Count a prefill that engine speeds were learned from.

        :param own: whether this entry has measured it, not another one.
        """
        ...

    def on_usage_window(self, outcome: str) -> None:
        """Count a window of usage.

        :param outcome: ``reported``, ``late`` or ``lost``.
        """
        ...

    def on_scaling_order(self, group: str, outcome: str) -> None:
        """Count an order of a number of replicas.

        :param outcome: ``accepted``, ``fenced`` or ``retry``.
        """
        ...


class NullTelemetry:
    """Telemetry that discards all measurements."""

    def on_first_token(self, tenant: str, request_class: str, seconds: float) -> None:
        """Discard the measurement."""

    def on_inter_token_latency(
        self, request_class: str, seconds: float, tokens: int
    ) -> None:
        """Discard the measurement."""

    def on_ended(
        self, tenant: str, request_class: str, code: ResultCode, seconds: float
    ) -> None:
        """Discard the measurement."""

    def on_ended_by_size(
        self, request_class: str, size_class: SizeClass, code: ResultCode
    ) -> None:
        """Discard the measurement."""

    def on_queue_wait(self, tenant: str, request_class: str, seconds: float) -> None:
        """Discard the measurement."""

    def on_generation(self, generation: int) -> None:
        """Discard the measurement."""

    def on_report(self, report: SideReport) -> None:
        """Discard the measurement."""

    def on_unknown_message(self) -> None:
        """Discard the measurement."""

    def on_retry(self, group: str, *, allowed: bool) -> None:
        """Discard the measurement."""

    def on_crash(self, group: str, lost_runs: int) -> None:
        """Discard the measurement."""

    def on_quarantine(self, requests: int) -> None:
        """Discard the measurement."""

    def on_part_quarantine(self, parts: int) -> None:
        """Discard the measurement."""

    def on_refused_connections(self, connections: int) -> None:
        """Discard the measurement."""

    def on_rest(self, group: str) -> None:
        """Discard the measurement."""

    def on_resumed(self, group: str, known_by: str) -> None:
        """Discard the measurement."""

    def on_identified(self, group: str, identity: str) -> None:
        """Discard the measurement."""

    def on_full_engines(self, group: str, count: int) -> None:
        """Discard the measurement."""

    def on_limited_caller(self, limit: str) -> None:
        """Ignore the limit."""

    def on_held_bytes(self, count: int) -> None:
        """Discard the measurement."""

    def on_limited_upstreams(self, upstreams: int) -> None:
        """Discard the measurement."""

    def on_slow_upstreams(self, upstreams: int) -> None:
        """Discard the measurement."""

    def on_avoided_engines(self, engines: int) -> None:
        """Discard the measurement."""

    def on_shortage(self, group: str, *, short: bool) -> None:
        """Discard the measurement."""

    def on_send_between_zones(self, group: str) -> None:
        """Discard the measurement."""

    def on_learned_prefill(self, group: str, *, own: bool) -> None:
        """Discard the measurement."""

    def on_usage_window(self, outcome: str) -> None:
        """Discard the measurement."""

    def on_scaling_order(self, group: str, outcome: str) -> None:
        """Discard the measurement."""
