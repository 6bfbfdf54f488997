"""Placement and admission control of streams."""

from __future__ import annotations

import asyncio

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_placement import Placement
from ..policy.direct_refusal import is_unreachable
from ..policy.direct_refusal import retry_after
from ..policy.engine_memory import needed_tokens
from .model import Upstream
from .placer import UpstreamsLimitedError
from .stream import Stream

ROLE_MARGIN_SECONDS = 0.3
"""Time that a stream needs once a decode engine has become available."""

ROLE_CHECK_SECONDS = 0.05
"""Interval between two checks for a decode engine."""


class StreamPlacer:
    """Places one stream, waiting for a decode engine if there is none yet."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.context = stream.context
        self.call = stream.call

    async def place(self) -> tuple[Upstream | None, Upstream]:
        """Place the stream, or wait for an engine that is changing its role to decode.

        :returns: the prefill engine, ``None`` for the decode engine itself, and the
            decode engine.
        :raises RequestError: if there is no engine, or none in time for this caller, or
            none with memory enough.
        """
        self._refuse_too_large()
        while True:
            try:
                return self._place()
            except RequestError as error:
                attempt_count = self.stream.attempts.count
                if error.code is not ResultCode.NO_UPSTREAM or attempt_count:
                    raise
                await asyncio.sleep(self._wait_for_role())

    def _place(self) -> tuple[Upstream | None, Upstream]:
        now = asyncio.get_running_loop().time()
        prefill_upstream, upstream, placement = self._choose()
        if self._is_too_late(placement, now) and self._claim_precedence():
            prefill_upstream, upstream, placement = self._choose()
        timeline = self.stream.timeline
        timeline.placed_at = now
        timeline.on_placed(placement, self.call.caller_timeout_at - now)
        if self.call.share is not None:
            uncached = timeline.uncached_tokens
            self.call.share.on_placed(timeline.waiting, uncached, now)
        self._refuse_too_late(placement, now)
        return prefill_upstream, upstream

    def _refuse_too_large(self) -> None:
        """Raise an error if the request fits into no engine, even an empty one."""
        engine = self.call.group.engine
        if self.context.placer.memory_watch is None or engine is None:
            return
        traits = self.call.traits
        tokens = needed_tokens(traits.prompt_tokens, traits.max_tokens)
        if tokens > engine.kv_capacity:
            message = f"{tokens} tokens exceed the {engine.kv_capacity} of an engine."
            raise RequestError(ResultCode.PROMPT_TOO_LONG, message)

    def _choose(self) -> tuple[Upstream | None, Upstream, Placement]:
        placer = self.context.placer
        build = self.stream.attempts.build
        permits = self.stream.permits
        try:
            return placer.place_stream(self.call, self.stream.excluded, build, permits)
        except UpstreamsLimitedError as error:
            raise permits.refusal(error) from None

    def _claim_precedence(self) -> bool:
        """Claim precedence if the prompt's size class is entitled to it.

        :returns: whether the prompt goes first.
        """
        sized_prompt = self.call.sized_prompt
        return (
            self.context.decisions.size_shares
            and not self.call.has_begun
            and sized_prompt is not None
            and sized_prompt.claim()
        )

    def _is_too_late(self, placement: Placement, now: float) -> bool:
        """Return whether the caller would disconnect before the first event."""
        if not self.context.decisions.refusal or self.stream.reply.started:
            return False
        return self._is_unreachable(placement, self.call.caller_timeout_at - now)

    def _is_unreachable(self, placement: Placement, seconds_left: float) -> bool:
        # Callers of streams that have begun lose events that are paid for, so that
        # these streams need no margin.
        goes_first = self.call.has_size_precedence and not self.call.has_begun
        return is_unreachable(
            placement.first_token, seconds_left, goes_first=goes_first
        )

    def _wait_for_role(self) -> float:
        """Return how long to wait, in seconds, before the next placement.

        If all decode engines are gone, another engine changes its role within seconds.
        A caller that does not time out before is served soonest by waiting here; any
        other is refused with the time after which to retry.

        :raises RequestError: if the caller should retry later.
        """
        now = asyncio.get_running_loop().time()
        ready_at = self.context.fleet.decode_available_at(
            self.call.group.name, now, self.stream.attempts.build
        )
        if ready_at is None:
            raise RequestError(ResultCode.NO_UPSTREAM)
        # An overdue role change may complete at any moment, or never.
        if max(ready_at, now) + ROLE_MARGIN_SECONDS <= self.call.caller_timeout_at:
            return ROLE_CHECK_SECONDS
        raise self._refusal(ResultCode.NO_UPSTREAM, ready_at - now)

    def _refuse_too_late(self, placement: Placement, now: float) -> None:
        """Raise an error if the caller would disconnect before the first event."""
        if self._is_too_late(placement, now):
            self._note_full(placement, now)
            overshoot = placement.first_token - self.call.route.objective
            raise self._refusal(ResultCode.DEADLINE_UNREACHABLE, overshoot)

    def _note_full(self, placement: Placement, now: float) -> None:
        """Record a refusal for the queues of engines that respond.

        One for the caller's own short deadline or long prompt, or for the time lost at
        an engine that did not respond, is not for their queues.
        """
        share = self.call.share
        if share is None or self.stream.timeline.waiting <= share.objective:
            return
        engine = placement.prefill_engine or placement.decode_engine
        upstream = self.context.fleet.registered(engine)
        reachability = self.context.placer.reachability
        seconds_left = self.call.caller_timeout_at + share.lost_seconds - now
        if (
            upstream is not None
            and reachability.is_reachable(upstream.key)
            and self._is_unreachable(placement, seconds_left)
        ):
            share.on_full()

    def _refusal(self, code: ResultCode, seconds: float) -> RequestError:
        """Return the error of a request whose caller should retry later."""
        return RequestError(code, retry_after=retry_after(self.context.rng, seconds))
