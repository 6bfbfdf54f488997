"""Log and metrics of the engine speeds that an entry learns."""

from __future__ import annotations

import logging
import math
import weakref

from ..policy.engine_load import EngineLoadTracker
from ..telemetry import NullTelemetry
from ..telemetry import Telemetry

logger = logging.getLogger(__name__)

MIN_LOGGED_STEP = 0.35
"""Change of a factor, on a log scale, that is logged."""

MIN_LOG_INTERVAL_SECONDS = 10.0
"""Minimum time between two lines about one engine."""


class EngineSpeedLog:
    """Logs changes of engines' speeds and counts the prefills they are learned from.

    :param logged: logarithm of the factor that was logged last, and when, a point in
        time, by engine.
    """

    def __init__(self) -> None:
        self.telemetry: Telemetry = NullTelemetry()
        self.logged: weakref.WeakKeyDictionary[
            EngineLoadTracker, tuple[float, float]
        ] = weakref.WeakKeyDictionary()

    def on_learned(
        self, upstream: str, tracker: EngineLoadTracker, now: float, *, own: bool
    ) -> None:
        """Record that an engine's speed was learned from a prefill.

        :param own: whether this entry has measured it.
        """
        group = tracker.prefill_times.group
        self.telemetry.on_learned_prefill(group, own=own)
        log = math.log(tracker.time_factor(now))
        before, at = self.logged.get(tracker, (0.0, -math.inf))
        if abs(log - before) < MIN_LOGGED_STEP or now < at + MIN_LOG_INTERVAL_SECONDS:
            return
        self.logged[tracker] = log, now
        logger.info(
            "engine speed has changed",
            extra={
                "group": group,
                "upstream": upstream,
                "time_factor": round(math.exp(log), 2),
                "before": round(math.exp(before), 2),
            },
        )
