"""Second sends: what all entries together give out, and what tells of it."""

from __future__ import annotations

import logging

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.policy.retry_window import RetryLimits
from direct_support import serving
from platform_standin import Replica
from platform_standin import not_run


async def test_each_second_send_says_what_the_budget_went_by(caplog):
    caplog.set_level(logging.INFO)
    metrics = OpenTelemetryMetrics("p")
    replicas = [Replica(f"r-{number}", not_run()) for number in range(2)]
    async with serving(*replicas) as entry:
        second_sends = entry.core.context.second_sends
        second_sends.limits = RetryLimits(0.0, 8.0)
        second_sends.telemetry = metrics
        await entry.ask("/read/1")
        await entry.ask("/read/2")
    lines = [line for line in caplog.records if "second send" in line.message]
    assert [line.message for line in lines] == ["second send", "second send is refused"]
    told = [(line.group, line.requests, line.repeats, line.room) for line in lines]
    assert told == [("plain", 1, 0, 1.0), ("plain", 2, 1, 0.0)]
    exposed = metrics.exposition().decode()
    for allowed in ("true", "false"):
        series = f'second_sends_total{{allowed="{allowed}",group="plain"}} 1.0'
        assert series in exposed
