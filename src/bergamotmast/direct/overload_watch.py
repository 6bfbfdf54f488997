"""Observation of the event loop, for the limit on connections."""

from __future__ import annotations

import asyncio
import logging

from ..policy.connection_admission import ConnectionAdmission
from ..telemetry import Telemetry

logger = logging.getLogger(__name__)

PERIOD_SECONDS = 0.25
"""Interval between two samples of an event loop that is on time."""

CLOSE_PERIOD_SECONDS = 0.05
"""Interval between two samples of an event loop that is late."""


class OverloadWatch:
    """Samples how late the event loop is, and reports when connections are limited."""

    def __init__(self, admission: ConnectionAdmission, telemetry: Telemetry) -> None:
        self.admission = admission
        self.telemetry = telemetry
        self._reported = 0
        self._logged = 0

    async def run(self) -> None:
        """Observe the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        admission = self.admission
        while True:
            was_limited = admission.limit is not None
            period = CLOSE_PERIOD_SECONDS if admission.is_watching else PERIOD_SECONDS
            due = loop.time() + period
            await asyncio.sleep(period)
            now = loop.time()
            admission.observe(now - due, now)
            if admission.refused > self._reported:
                new = admission.refused - self._reported
                self.telemetry.on_refused_connections(new)
                self._reported = admission.refused
            if was_limited != (admission.limit is not None):
                self._log(now - due)

    def _log(self, lateness: float) -> None:
        admission = self.admission
        if admission.limit is None:
            refused = admission.refused - self._logged
            logger.info("connections are not limited", extra={"refused": refused})
            self._logged = admission.refused
            return
        logger.warning(
            "connections are limited",
            extra={
                "late_ms": round(lateness * 1e3, 1),
                "running": len(admission.under_way),
                "limit": round(admission.limit, 1),
            },
        )
