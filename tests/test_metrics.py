from __future__ import annotations

import pytest

from bergamotmast.adapters.metrics import MAX_TENANTS
from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.errors import ResultCode
from bergamotmast.policy.size_classes import SizeClass


def test_series_stay_bounded_whatever_callers_send():
    # A thousand tenants call one process. The number of series must not grow with them:
    # the first tenants have their own series, and the others share one.
    metrics = OpenTelemetryMetrics("entry-1")
    for number in range(1000):
        metrics.on_first_token(f"tenant-{number}", "check", 0.2)
    lines = metrics.exposition().decode().splitlines()
    counts = [x for x in lines if x.startswith("tenant_first_token_seconds_count")]
    assert len(counts) == MAX_TENANTS + 1
    other = next(x for x in counts if 'tenant="other"' in x)
    assert float(other.split()[-1]) == 1000 - MAX_TENANTS


def test_ends_are_counted_by_code():
    metrics = OpenTelemetryMetrics("entry-1")
    metrics.on_ended("t", "check", ResultCode.QUEUE_FULL, 0.1)
    assert 'code="queue_full"' in metrics.exposition().decode()


@pytest.mark.parametrize(
    ("code", "result"),
    [
        (ResultCode.OK, "served"),
        (ResultCode.DEADLINE_UNREACHABLE, "refused"),
        (ResultCode.CANCELLED_BY_CALLER, "left"),
        (ResultCode.DEADLINE_EXCEEDED, "failed"),
    ],
)
def test_ends_are_counted_by_size_of_the_prompt(code, result):
    metrics = OpenTelemetryMetrics("entry-1")
    metrics.on_ended_by_size("report", SizeClass.LARGEST, code)
    (line,) = [
        line
        for line in metrics.exposition().decode().splitlines()
        if line.startswith("requests_by_size_total{")
    ]
    for label in ('class="report"', 'size="largest"', f'result="{result}"'):
        assert label in line


def test_two_processes_in_one_keep_their_own_series():
    first = OpenTelemetryMetrics("entry-1")
    second = OpenTelemetryMetrics("entry-2")
    first.on_generation(4)
    assert "configuration_generation 4.0" in first.exposition().decode()
    assert "configuration_generation 4.0" not in second.exposition().decode()


def test_times_between_tokens_are_counted_up_to_each_bound():
    metrics = OpenTelemetryMetrics("entry-1")
    metrics.on_inter_token_latency("check", 0.039, 1)
    metrics.on_inter_token_latency("check", 0.05, 3)
    metrics.on_inter_token_latency("check", 500.0, 1)
    lines = metrics.exposition().decode().splitlines()
    name = 'between_tokens_seconds_bucket_total{class="check",le="'
    counts = [x.removeprefix(name) for x in lines if x.startswith(name)]
    assert '0.02"} 0.0' in counts
    assert '0.039"} 1.0' in counts
    assert '0.08"} 4.0' in counts
    assert '120.0"} 4.0' in counts
    assert '+Inf"} 5.0' in counts
    assert 'between_tokens_seconds_sum_total{class="check"} 500.189' in lines
