"""What the runs of requests share."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import random

from ..errors import ReplyLostError
from ..policy.decisions import Decisions
from ..policy.direct_roles import MixMeter
from ..policy.prefix_cache import PrefillKey
from ..policy.size_shares import SizeShares
from .fleet import Fleet
from .model import Call
from .model import Upstream
from .notices import LEAST_TOKENS
from .notices import Notices
from .placing import Placing
from .placing import upstream_hash
from .ports import Dialect
from .ports import EngineCheck
from .ports import Reply
from .ports import ReplyTraits
from .ports import UpstreamClient
from .read_notice import ReadNotice
from .second_sends import SecondSends
from .silence import EngineChecks
from .time_limits import TimeLimits

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""To a caller these say that its request did not run."""

LEAST_FINAL_STATUS = 200
"""Lower ones announce an answer, for which a caller would wait."""


@dataclasses.dataclass(slots=True)
class Context:
    """The parts that every run of a request uses.

    :param mix: what the streams of this entry ask of engines.
    :param size_shares: what is served of each route's prompts, by their size.
    :param second_sends: what this entry may send a second time.
    :param engine_check: tells a dead engine from a busy one, if anything does.
    :param background: tasks that outlive their request, until they are done.
    :param time_limits: of all requests at work.
    """

    fleet: Fleet
    client: UpstreamClient
    dialect: Dialect
    placing: Placing
    rng: random.Random
    second_sends: SecondSends
    notices: Notices | None = None
    engine_check: EngineCheck | None = None
    mix: MixMeter = dataclasses.field(default_factory=MixMeter)
    size_shares: SizeShares = dataclasses.field(default_factory=SizeShares)
    background: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    time_limits: TimeLimits = dataclasses.field(init=False)
    engine_checks: EngineChecks = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.time_limits = TimeLimits(self.rng)
        self.engine_checks = EngineChecks(self.placing, self.engine_check)

    @property
    def decisions(self) -> Decisions:
        """Which decisions are taken."""
        return self.placing.decisions

    def _tells(self, tokens: int) -> bool:
        """Return whether the other entries are told of a prompt of this length."""
        return self.decisions.notices and tokens >= LEAST_TOKENS

    def tell_begun(
        self,
        engine: Upstream,
        key: PrefillKey,
        priority: int,
        tokens: int,
        cached: int,
        parts: tuple[tuple[int, int], ...],
        *,
        goes_first: bool,
    ) -> None:
        """Tell the other entries of a prompt that an engine is about to read."""
        if self.notices is not None and self._tells(tokens):
            # The last part belongs to this request or its session alone.
            notice = ReadNotice(
                upstream_hash(engine),
                key[1],
                priority,
                tokens,
                cached,
                parts[:-1],
                goes_first=goes_first,
            )
            self.notices.tell(notice)

    def tell_ended(
        self, engine: Upstream, key: PrefillKey, tokens: int, *, done: bool
    ) -> None:
        """Tell the other entries that a prompt they were told of is done with.

        :param done: whether it was read to its end.
        """
        if self.notices is not None and self._tells(tokens):
            notice = ReadNotice(upstream_hash(engine), key[1], 0, 0, done=done)
            self.notices.tell(notice)

    def spawn(self, work: cabc.Coroutine[object, object, None]) -> None:
        """Run something that no request waits for."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def read_reply(self, call: Call, upstream: Upstream, reply: Reply) -> ReplyTraits:
        """Read a reply's headers and learn from what it says of its upstream's load.

        :raises ReplyLostError: if it is another request's reply.
        """
        traits = self.dialect.read_reply(reply.status, reply.headers)
        if traits.load is not None:
            self.placing.on_load(upstream, traits.load)
        if traits.request_id not in ("", call.traits.request_id):
            raise ReplyLostError("the reply belongs to another request")
        return traits

    def check_reply(self, call: Call, reply: Reply, traits: ReplyTraits) -> None:
        """Check that a reply is an upstream's answer to this request.

        :raises ReplyLostError: if it is not, or if it would promise its caller what
            the upstream did not promise.
        """
        if not traits.signed:
            raise ReplyLostError(f"status {reply.status} is not signed")
        if 200 <= reply.status < 300:
            if traits.request_id != call.traits.request_id:
                raise ReplyLostError("the reply does not say whose it is")
        elif reply.status < LEAST_FINAL_STATUS or reply.status in NOT_RUN_STATUSES:
            raise ReplyLostError(f"status {reply.status} without a promise")
