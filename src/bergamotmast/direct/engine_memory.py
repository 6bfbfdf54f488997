"""Reports how many decode engines have no memory left for the requests that come."""

from __future__ import annotations

import logging
import math

from ..telemetry import Telemetry

logger = logging.getLogger(__name__)

MIN_LOG_INTERVAL_SECONDS = 5.0
"""Shortest time between two log lines about a group. An engine that is nearly full has
room for one request and none for the next."""


class EngineMemoryWatch:
    """Logs when the decode engines of a group get full, and when they have room again.

    :param full: whether some were full at the last log line, by group.
    :param logged_at: when it was written, by group; points in time.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self.telemetry = telemetry
        self.full: dict[str, bool] = {}
        self.logged_at: dict[str, float] = {}

    def on_candidates(self, group: str, full: int, engines: int, now: float) -> None:
        """Record how many of a group's decode engines have no room for a request."""
        is_full = full > 0
        if is_full == self.full.get(group, False):
            return
        if now - self.logged_at.get(group, -math.inf) < MIN_LOG_INTERVAL_SECONDS:
            return
        self.full[group] = is_full
        self.logged_at[group] = now
        self.telemetry.on_full_engines(group, full)
        logger.info(
            "engines have no memory left" if is_full else "engines have memory again",
            extra={"group": group, "full": full, "engines": engines},
        )
