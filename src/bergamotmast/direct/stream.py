"""What the steps of one streamed request share."""

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
"""How long an engine that could not be reached, or broke off, is left alone."""


class Stream:
    """One streamed request and how far it has come.

    :param cache: of its prompt, where an engine has read that for another.
    :param last_event: number of the last event that the caller has.
    :param weights: version of the weights that began the answer.
    :param unread_at: engines that were asked to read its prompt and did not.
    """

    def __init__(self, context: Context, call: Call, reply: CallerReply) -> None:
        self.context = context
        self.call = call
        self.reply = reply
        self.sends = Sends(context, call)
        self.reads = PromptReads(context, call)
        self.cache = ExportedCache(context)
        self.timeline = Timeline()
        self.last_event = call.traits.last_event
        self.weights = ""
        self.unread_at: set[str] = set()

    @property
    def excluded(self) -> set[str]:
        """Engines that need not be tried again."""
        return self.sends.excluded | self.unread_at

    def on_prompt_read(self) -> None:
        """Note that the prompt has been read: any engine may go on with the answer."""
        self.unread_at.clear()

    def on_heard(self, engine: Upstream) -> None:
        """Note that an engine has said something."""
        book = self.context.placing.engine_load(engine)
        book.last_reply_at = asyncio.get_running_loop().time()

    def leave_alone(self, engine: Upstream, seconds: float = FAILED_SECONDS) -> None:
        """Have an engine left alone for a while, if there is another."""
        book = self.context.placing.engine_load(engine)
        book.cooldown_until = asyncio.get_running_loop().time() + seconds
