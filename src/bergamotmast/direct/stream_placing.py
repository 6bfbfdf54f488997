"""Where a stream goes, whether it waits for an engine, and whom it is refused for."""

from __future__ import annotations

import asyncio

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_placement import Placement
from ..policy.direct_refusal import is_unreachable
from ..policy.direct_refusal import retry_after
from .model import Upstream
from .stream import Stream

ROLE_MARGIN_SECONDS = 0.3
"""What a request needs once an answering engine is there."""

ROLE_CHECK_SECONDS = 0.05
"""Between two looks whether an answering engine is there."""


class StreamPlacing:
    """Places one stream, at once or as soon as an engine can take it."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.context = stream.context
        self.call = stream.call

    async def place(self) -> tuple[Upstream | None, Upstream]:
        """Place the request, or wait for the engine that is on its way to answer it.

        :returns: the engine that reads the prompt, if another, and the answering one.
        :raises RequestError: if there is none, or too late for this caller.
        """
        while True:
            try:
                return self._place()
            except RequestError as error:
                sent = self.stream.sends.count
                if error.code is not ResultCode.NO_UPSTREAM or sent:
                    raise
                await asyncio.sleep(self._wait_for_role())

    def _place(self) -> tuple[Upstream | None, Upstream]:
        now = asyncio.get_running_loop().time()
        reader, upstream, placement = self._choose()
        if self._is_hopeless(placement, now) and self._claim_first():
            reader, upstream, placement = self._choose()
        timeline = self.stream.timeline
        timeline.placed_at = now
        timeline.on_placed(placement, self.call.leaves_at - now)
        self._refuse_hopeless(placement, now)
        return reader, upstream

    def _choose(self) -> tuple[Upstream | None, Upstream, Placement]:
        placing = self.context.placing
        return placing.place_stream(self.call, self.stream.excluded)

    def _claim_first(self) -> bool:
        """Let the prompt go first if its size is owed one; return whether it does."""
        sized = self.call.sized
        return (
            self.context.decisions.size_shares and sized is not None and sized.claim()
        )

    def _is_hopeless(self, placement: Placement, now: float) -> bool:
        """Return whether the caller would leave before its first event."""
        if not self.context.decisions.refusal or self.stream.reply.started:
            return False
        seconds_left = self.call.leaves_at - now
        return is_unreachable(
            placement.first_token, seconds_left, goes_first=self.call.goes_first
        )

    def _wait_for_role(self) -> float:
        """Return how long to wait until a placement may succeed.

        With all answering engines gone, another one changes its role within seconds. A
        caller that stays so long is served soonest if it waits here; any other is told
        when to come back.

        :raises RequestError: if the caller should come back.
        """
        now = asyncio.get_running_loop().time()
        ready_at = self.context.fleet.answers_from(self.call.group.name, now)
        if ready_at is None:
            raise RequestError(ResultCode.NO_UPSTREAM)
        # A change that is overdue may be over at any moment, or never.
        if max(ready_at, now) + ROLE_MARGIN_SECONDS <= self.call.leaves_at:
            return ROLE_CHECK_SECONDS
        raise self._refusal(ResultCode.NO_UPSTREAM, ready_at - now)

    def _refuse_hopeless(self, placement: Placement, now: float) -> None:
        """Refuse at once what its caller would leave before its first event."""
        if self._is_hopeless(placement, now):
            late = placement.first_token - self.call.route.objective
            raise self._refusal(ResultCode.DEADLINE_UNREACHABLE, late)

    def _refusal(self, code: ResultCode, seconds: float) -> RequestError:
        """Return the error of a request whose caller should come back."""
        return RequestError(code, retry_after=retry_after(self.context.rng, seconds))
