"""What the runs of requests share."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import random

from ..policy.retry_window import RetryWindow
from .fleet import Fleet
from .model import Call
from .model import Upstream
from .placing import Placing
from .ports import Dialect
from .ports import Reply
from .ports import ReplyTraits
from .ports import UpstreamClient


@dataclasses.dataclass(slots=True)
class Context:
    """The parts that every run of a request uses.

    :param budgets: second sends by group.
    :param background: tasks that outlive their request, until they are done.
    """

    fleet: Fleet
    client: UpstreamClient
    dialect: Dialect
    placing: Placing
    rng: random.Random
    budgets: dict[str, RetryWindow] = dataclasses.field(default_factory=dict)
    background: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def budget(self, group: str) -> RetryWindow:
        """Return a group's window of second sends."""
        return self.budgets.setdefault(group, RetryWindow())

    def spawn(self, work: cabc.Coroutine[object, object, None]) -> None:
        """Run something that no request waits for."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def read_reply(self, call: Call, upstream: Upstream, reply: Reply) -> ReplyTraits:
        """Read a reply's headers and learn from what it says of its upstream's load."""
        traits = self.dialect.read_reply(reply.status, reply.headers)
        if traits.load is not None:
            self.placing.on_load(upstream, traits.load)
        return traits
