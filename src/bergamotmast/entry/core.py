"""Transport-independent core of an entry: admission, routing and request lifecycle."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import logging
import random
import typing as t

from ..config.holder import ConfigHolder
from ..crashes.quarantine import Quarantine
from ..crashes.trials import Trials
from ..errors import RequestError
from ..errors import ResultCode
from ..model import InstanceInfo
from ..model import ModelCall
from ..model import ServiceAnswer
from ..model import ServiceCall
from ..model import TokenChunk
from ..policy import Candidate
from ..policy import EntryPolicy
from ..policy.size_classes import RequestClassSizes
from ..ports import Dialer
from ..ports import InstanceList
from ..selection import required_names
from ..selection import unversioned_name
from ..telemetry import NullTelemetry
from ..telemetry import Telemetry
from .interfaces import Claims
from .membership import Membership
from .model_run import ModelRun
from .peer import Peer
from .placement import Placement
from .service_run import ServiceRun

logger = logging.getLogger(__name__)

READINESS_DRAIN_SECONDS = 5.0
"""Seconds for which an entry that shuts down still serves new requests.

The platform's load balancer needs this time to see that the entry is not ready.
"""


class EntryCore:
    """Runs the requests of one entry process, without its sockets.

    :param name: name of the entry.
    :param zone: its availability zone.
    :param incarnation: random identifier of this start of the process.
    :param dialer: opens connections to sides.
    :param instance_list: the platform's list of instances.
    :param policy: decides on admission, routing and retries.
    :param holder: the configuration in force.
    :param claims: claims on idempotency keys, for calls that run at most once.
    :param rng: seeded source of jitter.
    :param telemetry: receives metrics; none are recorded without it.
    :param quarantine: requests that crash upstreams; those that this entry sees alone
        by default.
    :param membership: the connections to sides.
    :param closing: whether the shutdown has begun, so that the entry is not ready.
    :param refusing: whether new requests are refused.
    :param in_flight: number of requests in flight.
    :param placements: the placements of these requests.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        incarnation: str,
        dialer: Dialer,
        instance_list: InstanceList,
        policy: EntryPolicy,
        holder: ConfigHolder,
        claims: Claims,
        rng: random.Random,
        telemetry: Telemetry | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.dialer = dialer
        self.policy = policy
        self.holder = holder
        self.claims = claims
        self.rng = rng
        self.telemetry = telemetry or NullTelemetry()
        self.quarantine = quarantine or Quarantine(
            name, self.telemetry, rng, Trials(name)
        )
        self.membership = Membership(
            name, zone, instance_list, self._open_peer, holder, rng
        )
        self.closing = False
        self.refusing = False
        self.in_flight = 0
        self.sizes = RequestClassSizes()
        self.placements: set[Placement] = set()
        self._attempt_counter = itertools.count(1)
        self._hello_counter = itertools.count(1)
        self._idle = asyncio.Event()
        self._idle.set()

    async def run(self) -> None:
        """Maintain sessions with the sides until cancelled."""
        await self.membership.run()

    async def close(self, drain_seconds: float = READINESS_DRAIN_SECONDS) -> None:
        """Shut down gracefully: report not ready, then drain the requests in flight.

        The load balancer sends callers here until it has seen that the entry is not
        ready. Refusing them at once would make a planned change fail their requests.

        :param drain_seconds: seconds for which new requests are still served.
        """
        self.closing = True
        await asyncio.sleep(drain_seconds)
        self.refusing = True
        await self._idle.wait()

    def abort_requests(self) -> None:
        """End all requests in flight now, each with the outcome that is known of it.

        A waiting request ends as "not run", a running one as "ran", and any other as
        "unknown".
        """
        self.refusing = True
        for placement in self.placements:
            placement.abort()

    @property
    def is_ready(self) -> bool:
        """Whether the platform's load balancer should send callers here."""
        if self.closing or self.holder.generation == 0:
            return False
        return any(peer.is_ready for peer in self.membership.peers.values())

    async def submit_model(self, call: ModelCall) -> cabc.AsyncGenerator[TokenChunk]:
        """Run a model request and yield its chunks, in order and without gaps.

        :raises RequestError: if the request ends before its answer is complete.
        """
        self._require_open()
        if not self.holder.selection.knows_model(call.model):
            raise RequestError(
                ResultCode.UNKNOWN_MODEL, f"No selector carries model {call.model!r}."
            )
        run = ModelRun(self, call)
        with self._track_request(call, run.placement):
            chunks = run.chunks()
            async with contextlib.aclosing(chunks):
                last = 0.0
                async for chunk in chunks:
                    last = self._measure_chunk(call, chunk, last)
                    yield chunk

    async def submit_service(self, call: ServiceCall) -> ServiceAnswer:
        """Run a call of a plain service and return its answer.

        :raises RequestError: if the call ends without an answer.
        """
        self._require_open()
        run = ServiceRun(self, call)
        with self._track_request(call, run.placement):
            return await run.answer()

    # Called by the runs of requests (see EntryContext)

    def candidates(self, call: ModelCall | ServiceCall) -> list[Candidate]:
        """Return the upstreams that a call may be offered to now."""
        allowed = self.holder.selection.upstreams(call)
        wanted = frozenset(required_names(call.model)) if _is_model(call) else None
        return [
            peer.candidate()
            for name, peer in self.membership.peers.items()
            if name in allowed
            and peer.is_ready
            and not self.membership.is_leaving(name)
            and (wanted is None or _serves_models(peer, wanted))
        ]

    def has_reconnecting_upstream(self, call: ModelCall | ServiceCall) -> bool:
        """Return whether an upstream for a call lost its session just now.

        Such a session may be open again soon; see :attr:`Peer.reconnect_by`.
        """
        now = asyncio.get_running_loop().time()
        allowed = self.holder.selection.upstreams(call)
        return any(
            peer.session is None and now < peer.reconnect_by
            for name, peer in self.membership.peers.items()
            if name in allowed and not self.membership.is_leaving(name)
        )

    def peer(self, name: str) -> Peer:
        """Return the connection to an upstream that was a candidate."""
        return self.membership.peers[name]

    def new_attempt_name(self) -> str:
        """Return a name for an attempt, unique over the life of the system."""
        return f"{self.incarnation}-{next(self._attempt_counter)}"

    def tenant_weight(self, tenant: str) -> float:
        """Return a tenant's fair-queueing weight; 1.0 if none is configured."""
        configured = self.holder.current.tenants.get(tenant)
        return configured.weight if configured is not None else 1.0

    def _open_peer(self, info: InstanceInfo, interval: float) -> Peer:
        return Peer(
            entry=self.name,
            incarnation=self.incarnation,
            info=info,
            dialer=self.dialer,
            holder=self.holder,
            counters=self._hello_counter,
            interval=interval,
            telemetry=self.telemetry,
        )

    def _require_open(self) -> None:
        if self.refusing:
            raise RequestError(ResultCode.SHUTTING_DOWN, retry_after=1.0)

    def _measure_chunk(self, call: ModelCall, chunk: TokenChunk, last: float) -> float:
        now = asyncio.get_running_loop().time()
        if not last:
            self.telemetry.on_first_token(
                call.tenant, call.request_class, now - call.arrived_at
            )
        elif chunk.tokens:
            between = (now - last) / chunk.tokens
            self.telemetry.on_inter_token_latency(
                call.request_class, between, chunk.tokens
            )
        return now

    @contextlib.contextmanager
    def _track_request(
        self, call: ModelCall | ServiceCall, placement: Placement
    ) -> cabc.Iterator[None]:
        """Track a request while it is in flight and report how it ended."""
        self.in_flight += 1
        self.placements.add(placement)
        self._idle.clear()
        code = ResultCode.CANCELLED_BY_CALLER
        try:
            yield
            code = ResultCode.OK
        except RequestError as error:
            code = error.code
            raise
        finally:
            seconds = asyncio.get_running_loop().time() - call.arrived_at
            self.telemetry.on_ended(call.tenant, call.request_class, code, seconds)
            if _is_model(call):
                size_class = self.sizes.observe(call.request_class, call.prompt_tokens)
                self.telemetry.on_ended_by_size(call.request_class, size_class, code)
            self.in_flight -= 1
            self.placements.discard(placement)
            if self.in_flight == 0:
                self._idle.set()


def _is_model(call: ModelCall | ServiceCall) -> t.TypeGuard[ModelCall]:
    return isinstance(call, ModelCall)


def _serves_models(peer: Peer, wanted: frozenset[str]) -> bool:
    report = peer.report
    if report is None:
        return False
    return wanted <= frozenset(map(unversioned_name, report.models))
