"""Prefill of a stream at an engine other than its decode engine."""

from __future__ import annotations

import asyncio

from ..errors import NotReachedError
from ..errors import ReplyLostError
from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_refusal import retry_after
from .exported_cache import ExportedCache
from .liveness import abort_when
from .model import Upstream
from .ports import MAX_CONTROL_BODY_BYTES
from .ports import Attempt
from .prefill_tracker import TrackedPrefill
from .stream import Stream

MAX_PREFILL_ATTEMPTS = 2
"""Maximum number of engines tried before the decode engine prefills the prompt."""

UNRESPONSIVE = "the engine is silent"
PREFILL_OVERDUE = "the prompt is overdue"
"""Reasons for aborting a call, as operators see them in the log."""

BUDGET_RETRY_AFTER_SECONDS = 0.5
"""Minimum delay after which a caller may retry if the retry budget was exhausted."""


class RemotePrefill:
    """Runs the prefills of one stream.

    The first prefill that completes does not count as a retry. A failed one does: it is
    unknown whether the engine had started it, and if it had not, the next one is the
    first.

    :param count: number of engines tried.
    :param done: whether one of them has completed the prefill.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.context = stream.context
        self.count = 0
        self.done = False

    @property
    def may_retry(self) -> bool:
        """Whether another engine may be tried."""
        return self.count < MAX_PREFILL_ATTEMPTS

    async def run(self, engine: Upstream, cache: ExportedCache) -> None:
        """Run a prefill; on success, the KV cache's source is set.

        :raises RequestError: if the retry budget or the quarantine allows none.
        """
        stream = self.stream
        stream.attempts.check_quarantine()
        if self.done:
            # The attempt that follows may be another retry. Without room for both, the
            # decode engine prefills the prompt.
            if not stream.attempts.prepay(2 if stream.attempts.count else 1):
                self.count = MAX_PREFILL_ATTEMPTS
                return
            stream.attempts.spend()
        self.count += 1
        self.context.count_send(engine)
        loop = asyncio.get_running_loop()
        prefill = stream.prefills.begin(engine)
        done = False
        try:
            async with abort_when(lambda: self._abort_reason(engine, prefill)):
                cache.source = await self._send_prompt(engine, prefill)
            cache.engine = engine
            done = self.done = True
            stream.on_prefilled()
            stream.timeline.prefilled_at = loop.time()
            stream.timeline.uncached_tokens = prefill.tokens
        except NotReachedError as error:
            self.context.on_lost(stream.call, engine, prefill.started_at)
            self._on_failure(engine, error.message)
        except ReplyLostError as error:
            self.context.on_lost(stream.call, engine, prefill.started_at)
            stream.attempts.on_lost(engine, error, prefill.started_at)
            self._on_failure(engine, error.message)
            if not self.done:
                self._spend_or_raise()
        except asyncio.CancelledError:
            self._on_left(engine, prefill)
            raise
        finally:
            stream.prefills.end(engine, prefill, done=done)

    def _on_left(self, engine: Upstream, prefill: TrackedPrefill) -> None:
        """Record a prompt that has waited to the end at an engine that responds."""
        share = self.stream.call.share
        reachability = self.context.placer.reachability
        if share is not None and share.is_late:
            if reachability.has_replied_since(engine.key, prefill.started_at):
                share.on_full()

    def _spend_or_raise(self) -> None:
        """Take the next attempt after a failed prefill out of the retry budget.

        :raises RequestError: if the budget is exhausted. If every engine fails, more
            attempts would multiply the load. Nothing of the response has been
            generated, so the caller may retry.
        """
        if not self.stream.attempts.spend():
            seconds = retry_after(self.context.rng, BUDGET_RETRY_AFTER_SECONDS)
            raise RequestError(ResultCode.RETRY_BUDGET_SPENT, retry_after=seconds)

    def _on_failure(self, engine: Upstream, error: str) -> None:
        self.stream.failed_prefill_engines.add(engine.key)
        if error != PREFILL_OVERDUE:
            self.stream.start_cool_down(engine)
        self.stream.attempts.log_failure(engine, error, "prefill")

    async def _abort_reason(self, engine: Upstream, prefill: TrackedPrefill) -> str:
        """Return why to restart a pending prefill elsewhere; empty to keep waiting."""
        if not self.context.decisions.silence:
            return ""
        tracker = self.context.placer.engine_load(engine)
        now = asyncio.get_running_loop().time()
        if now >= tracker.unresponsive_at(prefill.started_at, now):
            if not await self.context.liveness_checker.is_alive(engine):
                return UNRESPONSIVE
        if now >= tracker.overdue_at(prefill.key) and self._can_serve_elsewhere(engine):
            return PREFILL_OVERDUE if self.stream.attempts.prepay(1) else ""
        return ""

    def _can_serve_elsewhere(self, engine: Upstream) -> bool:
        """Return whether another engine could still serve this stream in time.

        Restarting a prefill discards what a live engine has done of it. If the caller
        would disconnect before a restarted prefill completes, waiting costs nothing.
        """
        stream = self.stream
        if not self.may_retry or not stream.attempts.has_room():
            return False
        excluded = {*stream.excluded, engine.name}
        try:
            *_, placement = self.context.placer.place_stream(
                stream.call, excluded, stream.attempts.build, stream.permits
            )
        except RequestError:
            return False
        now = asyncio.get_running_loop().time()
        return now + placement.first_token <= stream.call.caller_timeout_at

    async def _send_prompt(self, engine: Upstream, prefill: TrackedPrefill) -> str:
        """Send the prompt and return the address of its exported KV cache."""
        call = self.stream.call
        dialect = self.context.dialect
        now = asyncio.get_running_loop().time()
        attempt = Attempt(
            engine.name,
            call.deadline,
            call.tenant_name,
            priority=prefill.priority,
            prefill_only=True,
            prefix_source=prefill.prefix_source,
            last_event=self.stream.last_event,
        )
        headers = self.context.write_headers(call, engine, attempt, now)
        async with self.context.client.send(
            engine.address, call.method, call.target, headers, call.body, fresh=False
        ) as reply:
            self.context.read_reply(call, engine, reply, now)
            body = await reply.read(MAX_CONTROL_BODY_BYTES)
            self.stream.on_reply_received(engine)
            if reply.status != 200:
                raise ReplyLostError(f"prefill failed with status {reply.status}")
            prefilled = dialect.read_prefilled(body)
        return dialect.kv_source(engine.address, prefilled.handle)
