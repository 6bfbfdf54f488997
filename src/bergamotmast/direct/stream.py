"""State of one streamed request."""

from __future__ import annotations

import asyncio

from .caller import CallerReply
from .context import Context
from .exported_cache import ExportedCache
from .model import Call
from .model import Upstream
from .prompt_reads import PromptReads
from .sends import Sends
from .timeline import Timeline

FAILED_SECONDS = 1.0
"""Cool-down of an engine that could not be reached or dropped a connection."""


class Stream:
    """State of one streamed request, shared by placement, prefill and decode.

    :param sends: attempts to decode the stream.
    :param prefills: tracker of its prefills.
    :param cache: KV cache exported by a prefill engine.
    :param last_event: number of the last event that the caller received.
    :param weights: version of the weights that the response started with.
    :param unread_at: engines at which the prefill failed.
    """

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.reply = reply
        self.sends = Sends(context, call)
        self.prefills = PromptReads(context, call)
        self.cache = ExportedCache(context)
        self.timeline = Timeline()
        self.last_event = call.traits.last_event
        self.weights = ""
        self.unread_at: set[str] = set()

    @property
    def excluded(self) -> set[str]:
        """Engines that are not to be tried again."""
        return self.sends.excluded | self.unread_at

    def on_prompt_read(self) -> None:
        """Record a completed prefill, after which any engine may decode the stream."""
        self.unread_at.clear()

    def on_heard(self, engine: Upstream) -> None:
        """Record that data has arrived from an engine."""
        tracker = self.context.placing.engine_load(engine)
        tracker.last_reply_at = asyncio.get_running_loop().time()

    def leave_alone(self, engine: Upstream, seconds: float = FAILED_SECONDS) -> None:
        """Exclude an engine from placements for a while, if there is another one."""
        tracker = self.context.placing.engine_load(engine)
        tracker.cooldown_until = asyncio.get_running_loop().time() + seconds
