"""Client for usage reports to the platform."""

from __future__ import annotations

import aiohttp

from ..direct.fenced_call import FencedReply
from ..direct.usage_reporter import UsageReport
from .fenced_call import post_fenced


class PlatformUsage:
    """Implements :class:`~bergamotmast.direct.usage_reporter.UsageSink`.

    :param address: where the platform accepts reports, ``host:port``.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.url = f"http://{address}/usage"

    async def report(self, report: UsageReport) -> FencedReply:
        """Send a report."""
        body = {"window-id": report.window, "counts": report.counts}
        return await post_fenced(
            self.session, self.url, report.holder, report.token, body
        )
