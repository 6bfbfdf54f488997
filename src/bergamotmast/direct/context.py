"""Dependencies and state shared by all requests of an entry."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import random

from ..crashes.quarantine import Quarantine
from ..errors import ReplyLostError
from ..policy.decisions import Decisions
from ..policy.direct_roles import MixMeter
from ..policy.prefix_cache import PrefillKey
from ..policy.reply_memory import MAX_EVENT_BYTES
from ..policy.reply_memory import ReplyMemory
from ..policy.size_shares import SizeShares
from ..telemetry import Telemetry
from .crash_detector import CrashDetector
from .engine_times import EngineTimes
from .events import EventSplitter
from .fleet import Fleet
from .incarnations import Incarnations
from .liveness import LivenessChecker
from .model import Call
from .model import Upstream
from .notices import MIN_NOTICE_TOKENS
from .notices import NoticeExchange
from .placer import RequestPlacer
from .placer import upstream_hash
from .ports import MIN_FINAL_STATUS
from .ports import Attempt
from .ports import Dialect
from .ports import Headers
from .ports import IncarnationProbe
from .ports import LivenessProbe
from .ports import Reply
from .ports import ReplyTraits
from .ports import UpstreamClient
from .prefill_notice import MeasuredPrefillNotice
from .prefill_notice import PrefillNotice
from .rate_limits import RateLimits
from .reported_loads import ReportedLoads
from .response_buffer import HeldResponses
from .resume_precedence import ResumePrecedence
from .retry_budget import SharedRetryBudget
from .shares.tenant_shares import TenantShares
from .stream_builds import StreamBuilds
from .time_limits import TimeLimits
from .unconfirmed_replies import UnconfirmedReplies
from .usage_exchange import UsageExchange

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run."""

REST_STATUSES = frozenset({429, 503})
"""Statuses of replies that may ask for rest; others are of requests that ran."""


@dataclasses.dataclass(slots=True)
class Context:
    """Dependencies and state shared by all requests of an entry.

    :param mix: moving average of the prefill and decode load of this entry's streams.
    :param size_shares: share of prompts served, by route and size class.
    :param retry_budget: this entry's share of the retry budget.
    :param rate_limits: sends to upstreams that limit their requests.
    :param crash_detector: detector of upstreams that crashed with a run.
    :param quarantine: quarantine of requests that crash upstreams.
    :param engine_times: engine time that this entry's streams take.
    :param telemetry: receiver of measurements.
    :param liveness_probe: probe of engines; ``None`` if there is none.
    :param incarnation_probe: asks engines for their start; ``None`` if they can't tell.
    :param incarnations: which incarnations of engines answer.
    :param unconfirmed_replies: limits and rests named while that was in doubt.
    :param usage: counter of the requests of each tenant; ``None`` without one.
    :param reported_loads: loads in replies; ``None`` if no replicas are ordered.
    :param shares: admission by the shares of tenants; ``None`` without it.
    :param background: running tasks that outlive the request that started them.
    :param time_limits: deadlines of all running requests.
    :param stream_builds: builds at which streams began.
    :param resume_precedence: which resumed streams precede new ones.
    :param partial_events: account of the events that streams have begun and not
        completed.
    :param held_responses: what is held for callers that read slowly; ``None`` if
        responses are not read ahead of them.
    """

    fleet: Fleet
    client: UpstreamClient
    dialect: Dialect
    placer: RequestPlacer
    rng: random.Random
    retry_budget: SharedRetryBudget
    rate_limits: RateLimits
    quarantine: Quarantine
    crash_detector: CrashDetector
    telemetry: Telemetry
    notices: NoticeExchange | None = None
    liveness_probe: LivenessProbe | None = None
    incarnation_probe: IncarnationProbe | None = None
    usage: UsageExchange | None = None
    reported_loads: ReportedLoads | None = None
    held_responses: HeldResponses | None = None
    shares: TenantShares | None = None
    mix: MixMeter = dataclasses.field(default_factory=MixMeter)
    size_shares: SizeShares = dataclasses.field(default_factory=SizeShares)
    partial_events: ReplyMemory[EventSplitter] = dataclasses.field(
        default_factory=lambda: ReplyMemory(most=MAX_EVENT_BYTES)
    )
    background: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    engine_times: EngineTimes = dataclasses.field(init=False)
    time_limits: TimeLimits = dataclasses.field(init=False)
    liveness_checker: LivenessChecker = dataclasses.field(init=False)
    stream_builds: StreamBuilds = dataclasses.field(init=False)
    resume_precedence: ResumePrecedence = dataclasses.field(init=False)
    incarnations: Incarnations = dataclasses.field(init=False)
    unconfirmed_replies: UnconfirmedReplies = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.quarantine.losses = self.crash_detector
        self.crash_detector.observer = self.quarantine
        self.engine_times = EngineTimes(self.fleet, self.mix, self.placer.learned)
        self.placer.speed_log.telemetry = self.telemetry
        self.time_limits = TimeLimits(self.rng)
        self.liveness_checker = LivenessChecker(self.placer, self.liveness_probe)
        self.stream_builds = StreamBuilds(self.fleet)
        self.resume_precedence = ResumePrecedence(self.fleet)
        self.incarnations = Incarnations(
            self.fleet, self.telemetry, self.incarnation_probe
        )
        self.placer.incarnations = self.incarnations
        self.unconfirmed_replies = UnconfirmedReplies(
            self.incarnations, self.rate_limits.limits
        )

    @property
    def decisions(self) -> Decisions:
        """The optional decisions that are switched on."""
        return self.placer.decisions

    def _is_announced(self, tokens: int) -> bool:
        """Return whether prefills of so many tokens are announced to other entries."""
        return self.decisions.notices and tokens >= MIN_NOTICE_TOKENS

    def announce_prefill_start(
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
        """Announce to the other entries that a prefill is about to start."""
        if self.notices is not None and self._is_announced(tokens):
            # The last part is used by this request or its session only.
            notice = PrefillNotice(
                upstream_hash(engine),
                key[1],
                priority,
                tokens,
                cached,
                parts[:-1],
                goes_first=goes_first,
            )
            self.notices.enqueue(notice)

    def announce_prefill_end(
        self,
        engine: Upstream,
        key: PrefillKey,
        tokens: int,
        cached: int,
        *,
        done: bool,
        seconds: float = 0.0,
    ) -> None:
        """Announce to the other entries that an announced prefill has ended.

        :param tokens: prompt tokens that were prefilled, after ``cached`` others.
        :param done: whether it was completed.
        :param seconds: how long it took if the other entries may learn from it, or 0.
        """
        if self.notices is None or not self._is_announced(tokens):
            return
        upstream, number = upstream_hash(engine), key[1]
        notice = PrefillNotice(upstream, number, 0, 0, done=done)
        if seconds:
            notice = MeasuredPrefillNotice(
                upstream, number, 0, 0, cached, (), done, False, tokens, seconds
            )
        self.notices.enqueue(notice)

    def spawn(self, work: cabc.Coroutine[object, object, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def write_headers(
        self, call: Call, upstream: Upstream, attempt: Attempt, now: float
    ) -> Headers:
        """Return the headers of a request that is about to be sent to an upstream."""
        self.fleet.resting.on_sending(upstream)
        return self.dialect.write_headers(call.headers, attempt, now)

    def read_reply(
        self, call: Call, upstream: Upstream, reply: Reply, sent_at: float
    ) -> ReplyTraits:
        """Read a reply's headers and update the load tracker of its upstream.

        :param sent_at: when the request was sent; a point in time.
        :raises ReplyLostError: if the reply belongs to another request.
        """
        traits = self.dialect.read_reply(reply.status, reply.headers)
        if traits.wrong_upstream:
            self.incarnations.on_sign(upstream, f"status {reply.status}")
        else:
            self.crash_detector.on_reply(upstream, sent_at)
            now = asyncio.get_running_loop().time()
            self.placer.reachability.on_reply(upstream.key, now)
        if traits.load is not None:
            self.placer.on_load(upstream, traits.load)
        if traits.request_id not in ("", call.traits.request_id):
            raise ReplyLostError("the reply belongs to another request")
        if not traits.wrong_upstream:
            self._apply(upstream, reply.status, traits, sent_at)
        if reply.status in REST_STATUSES and not traits.leaving:
            if call.share is not None:
                call.share.on_full()
        return traits

    def on_lost(self, call: Call, upstream: Upstream, sent_at: float) -> None:
        """Record that an upstream refused a connection, reset it, or did not respond.

        One that has replied to others meanwhile is slow, not lost.

        :param sent_at: when the request was sent; a point in time.
        """
        reachability = self.placer.reachability
        reachability.on_lost(upstream.key, sent_at)
        self.incarnations.on_sign(upstream, "no reply")
        if call.share is not None and not reachability.is_reachable(upstream.key):
            call.share.on_lost(sent_at, asyncio.get_running_loop().time())

    def _apply(
        self, upstream: Upstream, status: int, traits: ReplyTraits, sent_at: float
    ) -> None:
        """Apply what an upstream says of itself in a reply."""
        if traits.rate_limit is not None:
            limits = self.rate_limits.limits
            limits.on_reply(upstream, traits.rate_limit, sent_at)
        if traits.load is not None and self.reported_loads is not None:
            self.reported_loads.add(upstream, traits.load, sent_at)
        if traits.leaving:
            self.fleet.on_leaving(upstream)
            self.incarnations.on_leaving(upstream, sent_at)
        rest_seconds = traits.rest_seconds if status in REST_STATUSES else 0.0
        self.unconfirmed_replies.on_reply(upstream, traits.rate_limit, rest_seconds)
        if traits.rest_seconds and status in REST_STATUSES:
            self.telemetry.on_rest(upstream.group)
            self.fleet.resting.on_asked(upstream, traits.rest_seconds)
        else:
            self.fleet.resting.on_reply(upstream, sent_at)

    def count_send(self, upstream: Upstream) -> None:
        """Count a request or prefill if its upstream is in another zone."""
        if upstream.zone != self.placer.zone:
            self.telemetry.on_send_between_zones(upstream.group)

    def check_reply(self, call: Call, reply: Reply, traits: ReplyTraits) -> None:
        """Check that a reply may be forwarded as the response to this request.

        :raises ReplyLostError: if the upstream did not sign it, if a success lacks the
            request's id, or if the status would tell the caller that the request did
            not run, which the upstream did not confirm.
        """
        if not traits.signed:
            raise ReplyLostError(f"reply with status {reply.status} is not signed")
        if 200 <= reply.status < 300:
            if traits.request_id != call.traits.request_id:
                raise ReplyLostError("the reply has no request id")
        elif reply.status < MIN_FINAL_STATUS or reply.status in NOT_RUN_STATUSES:
            raise ReplyLostError(
                f"status {reply.status} does not confirm that the request was not run"
            )
