"""Tracking of one request's prefills in the load trackers of all entries."""

from __future__ import annotations

import asyncio
import dataclasses

from ..policy.engine_load import EngineLoadTracker
from ..policy.prefix_cache import PrefillKey
from .context import Context
from .model import Call
from .model import Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedPrefill:
    """A running prefill.

    :param tokens: prompt tokens estimated not to be cached at the engine.
    :param cached: prompt tokens before them.
    :param started_at: start time; a point in time.
    :param predicted: predicted seconds, including the queueing delay.
    :param engine_was_idle: whether the engine had no other known prefill.
    :param prefix_source: address of the engine to transfer the prefix from, or empty.
    """

    key: PrefillKey
    tokens: int
    cached: int
    priority: int
    started_at: float
    predicted: float
    engine_was_idle: bool
    prefix_source: str


class PrefillTracker:
    """Tracks the prefills of one request."""

    def __init__(self, context: Context, call: Call) -> None:
        self.context = context
        self.call = call

    def begin(self, engine: Upstream) -> TrackedPrefill:
        """Record a prefill that is about to start, and announce it to the peers."""
        context = self.context
        tracker = context.placer.engine_load(engine)
        now = asyncio.get_running_loop().time()
        lookup = context.placer.lookup_prefix(self.call, engine)
        tokens = lookup.uncached_tokens
        priority = context.placer.priority(self.call, tokens)
        cached = max(0, self.call.traits.prompt_tokens - tokens)
        wait = tracker.wait(priority, now)
        predicted = wait + tracker.prefill_seconds(tokens, cached, now)
        engine_was_idle = not tracker.pending_prefills
        key = context.placer.new_prefill_key()
        parts = self.call.parts
        goes_first = self.call.goes_first
        seconds = tracker.occupied_seconds(tokens, cached, now)
        tracker.begin(key, seconds, priority, now, goes_first=goes_first)
        # At a decode engine, the same prefill takes longer.
        times = tracker.prefill_times.prefill_engines.times
        context.engine_times.on_prefill(
            engine.group, times.occupied_seconds(tokens, cached)
        )
        tracker.prefix.expect(key, parts)
        context.announce_prefill_start(
            engine, key, priority, tokens, cached, parts, goes_first=goes_first
        )
        return TrackedPrefill(
            key,
            tokens,
            cached,
            priority,
            now,
            predicted,
            engine_was_idle,
            lookup.prefix_source,
        )

    def end(self, engine: Upstream, prefill: TrackedPrefill, *, done: bool) -> None:
        """Record the end of a prefill and learn from its duration.

        :param done: whether it was completed.
        """
        tracker = self.context.placer.engine_load(engine)
        now = asyncio.get_running_loop().time()
        work = tracker.end(prefill.key, now, done=done)
        measured = 0.0
        if done and work is not None and not work.overtaken:
            measured = self._learn(tracker, prefill, now - prefill.started_at, now)
        shared = tracker.prefill_times.shared
        if measured and shared:
            speed_log = self.context.placer.speed_log
            speed_log.on_learned(engine.name, tracker, now, own=True)
        self.context.announce_prefill_end(
            engine,
            prefill.key,
            prefill.tokens,
            prefill.cached,
            done=done,
            seconds=measured if shared else 0.0,
        )

    def _learn(
        self,
        tracker: EngineLoadTracker,
        prefill: TrackedPrefill,
        seconds: float,
        now: float,
    ) -> float:
        """Learn from a completed prefill.

        :returns: the seconds at the machine's usual speed that the prefill times were
            learned from, or 0.
        """
        decisions = self.context.decisions
        seconds /= tracker.machine_slowness(now)
        if decisions.slowness:
            tracker.observe_slowdown(prefill.predicted, seconds, now)
        if not decisions.learning or not prefill.engine_was_idle:
            return 0.0
        tracker.learn(prefill.tokens, prefill.cached, seconds, now)
        return seconds
