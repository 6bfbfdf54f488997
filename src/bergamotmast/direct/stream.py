"""State of one streamed request."""

from __future__ import annotations

import asyncio

from ..policy.direct_placement import decode_priority
from .attempts import AttemptTracker
from .caller import CallerReply
from .context import Context
from .events import EventOrder
from .model import Call
from .model import Upstream
from .model import UpstreamKey
from .ports import Response
from .prefill_tracker import PrefillTracker
from .send_permits import SendPermits
from .timeline import Timeline

COOL_DOWN_SECONDS = 1.0
"""Cool-down of an engine that could not be reached or dropped a connection."""


class Stream:
    """State of one streamed request, shared by placement, prefill and decode.

    :param attempts: attempts to decode the stream.
    :param permits: permits for upstreams that limit their requests.
    :param prefills: tracker of its prefills.
    :param order: order of the events that the caller receives.
    :param weights: version of the weights that the response started with.
    :param last_failure: an engine's failure, forwarded if no attempt is left.
    :param failed_prefill_engines: engines at which the prefill failed.
    :param unidentified: engines that don't tell whether they have started anew.
    """

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.reply = reply
        self.attempts = AttemptTracker(context, call)
        self.permits = SendPermits(context, call)
        self.prefills = PrefillTracker(context, call)
        self.timeline = Timeline()
        self.order = EventOrder(call.traits.last_event)
        self.weights = ""
        self.last_failure: Response | None = None
        self.failed_prefill_engines: set[UpstreamKey] = set()
        self.unidentified: set[UpstreamKey] = set()

    @property
    def last_event(self) -> int:
        """Number of the last event that the caller received; 0 for none."""
        return self.order.last

    @property
    def excluded(self) -> set[str]:
        """Names of the engines that are not to be tried again."""
        failed = self.attempts.current_names(self.failed_prefill_engines)
        if self.goes_on:
            failed |= self.attempts.current_names(self.unidentified)
        return self.attempts.excluded | failed

    @property
    def excluded_importers(self) -> set[str]:
        """Names of the engines that are not to import its KV cache."""
        unidentified = self.attempts.current_names(self.unidentified)
        return self.attempts.excluded | unidentified

    @property
    def goes_on(self) -> bool:
        """Whether an engine has begun it, so that it can't go on at any build."""
        return self.attempts.build is not None

    @property
    def decode_priority(self) -> int:
        """Priority at a decode engine that does not prefill the prompt."""
        traits = self.call.traits
        return decode_priority(
            self.call.rank,
            traits.prompt_tokens,
            traits.max_tokens,
            self.context.decisions,
            goes_first=self.call.has_begun,
        )

    def on_prefilled(self) -> None:
        """Record a completed prefill, after which its engine may decode the stream."""
        self.failed_prefill_engines.clear()
        self.permits.invested = True

    async def may_go_on_at(self, build: str) -> bool:
        """Return whether a build's events fit to those that the caller has received.

        Where a resumed stream began may have become known since it was admitted.
        """
        if self.call.traits.last_event and not self.reply.started:
            self.attempts.build = await self.context.stream_builds.confirm(
                self.call.began_as, self.call.group.name, self.attempts.build
            )
        return self.attempts.build in (None, build)

    def on_begun(self, build: str) -> None:
        """Record the build whose events the caller has begun to receive.

        It is recorded again if it turns out to be another one.
        """
        self.attempts.build = build
        self.context.stream_builds.on_begun(
            self.call.began_as, self.call.group.name, build
        )

    def on_reply_received(self, engine: Upstream) -> None:
        """Record that data has arrived from an engine."""
        tracker = self.context.placer.engine_load(engine)
        tracker.last_reply_at = asyncio.get_running_loop().time()

    def start_cool_down(
        self, engine: Upstream, seconds: float = COOL_DOWN_SECONDS
    ) -> None:
        """Exclude an engine from placements for a while, if there is another one."""
        tracker = self.context.placer.engine_load(engine)
        tracker.cool_down_until = asyncio.get_running_loop().time() + seconds
