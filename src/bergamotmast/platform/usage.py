"""Client for usage reports to the platform."""

from __future__ import annotations

import aiohttp
import msgspec

from ..adapters.http_calls import JSON_TYPE
from ..adapters.http_calls import exchange
from ..direct.usage_reporter import ReportReply
from ..direct.usage_reporter import UsageReport

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a report; the platform answers within milliseconds, unless it is slow."""

_REPLIES = {200: ReportReply.ACCEPTED, 409: ReportReply.FENCED}


class PlatformUsage:
    """Implements :class:`~bergamotmast.direct.usage_reporter.UsageSink`.

    :param address: where the platform accepts reports, ``host:port``.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.url = f"http://{address}/usage"

    async def report(self, report: UsageReport) -> ReportReply:
        """Send a report."""
        headers = JSON_TYPE | {
            "X-Lease-Holder": report.holder,
            "X-Fencing-Token": str(report.token),
        }
        body = {"window-id": report.window, "counts": report.counts}
        async with exchange(
            self.session,
            "POST",
            self.url,
            total=CALL_TIMEOUT_SECONDS,
            data=msgspec.json.encode(body),
            headers=headers,
        ) as response:
            return _REPLIES.get(response.status, ReportReply.RETRY)
