"""The entry without its sockets: what is let in, where it goes, how it is answered."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import itertools
import logging
import random
import typing as t

from ..config.holder import ConfigHolder
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
from ..selection import bare_name
from ..selection import wanted_names
from ..telemetry import NullTelemetry
from ..telemetry import Telemetry
from .interfaces import Claims
from .membership import Membership
from .model_run import ModelRun
from .peer import Peer
from .placement import Placement
from .service_run import ServiceRun

logger = logging.getLogger(__name__)

SHUTDOWN_NOTICE = 5.0
"""Seconds that the platform's balancer is given to notice that an entry leaves."""


class EntryCore:
    """One entry process without its sockets.

    :param name: name of the entry.
    :param zone: its availability zone.
    :param incarnation: random for each start.
    :param dialer: opens connections to sides.
    :param policy: what is let in and where it goes.
    :param holder: the configuration in force.
    :param claims: claims of calls that run at most once.
    :param rng: seeded source of jitter.
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
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.dialer = dialer
        self.policy = policy
        self.holder = holder
        self.claims = claims
        self.rng = rng
        self.telemetry = telemetry or NullTelemetry()
        self.membership = Membership(
            name, zone, instance_list, self._open_peer, holder, rng
        )
        self.closing = False
        self.refusing = False
        self.in_flight = 0
        self.sizes = RequestClassSizes()
        self.placements: set[Placement] = set()
        self._attempts = itertools.count(1)
        self._hellos = itertools.count(1)
        self._idle = asyncio.Event()
        self._idle.set()

    async def run(self) -> None:
        """Keep connections to the sides until cancelled."""
        await self.membership.run()

    async def close(self, notice: float = SHUTDOWN_NOTICE) -> None:
        """Stop being ready, serve on for a while, then until the last answer is out.

        The balancer sends callers here until it has seen that the entry is not ready;
        refusing at once would turn them away for a planned change.

        :param notice: seconds that the balancer is given.
        """
        self.closing = True
        await asyncio.sleep(notice)
        self.refusing = True
        await self._idle.wait()

    def end_requests(self) -> None:
        """Let all requests in flight end now: each caller hears what is known of it.

        One that waits is "not run", one that runs ran, any other is "unknown".
        """
        self.refusing = True
        for placement in self.placements:
            placement.end()

    @property
    def is_ready(self) -> bool:
        """Whether the platform's balancer should send callers here."""
        if self.closing or self.holder.generation == 0:
            return False
        return any(peer.is_ready for peer in self.membership.peers.values())

    async def submit_model(self, call: ModelCall) -> cabc.AsyncGenerator[TokenChunk]:
        """Yield the answer's chunks, in order and without gaps.

        :raises RequestError: if it ends without its whole answer.
        """
        self._check_open()
        if not self.holder.selection.knows_model(call.model):
            raise RequestError(
                ResultCode.UNKNOWN_MODEL, f"No selector carries model {call.model!r}."
            )
        run = ModelRun(self, call)
        with self._counted(call, run.placement):
            chunks = run.chunks()
            async with contextlib.aclosing(chunks):
                last = 0.0
                async for chunk in chunks:
                    last = self._measure_chunk(call, chunk, last)
                    yield chunk

    async def submit_service(self, call: ServiceCall) -> ServiceAnswer:
        """Return the whole answer of a plain service.

        :raises RequestError: if it ends without one.
        """
        self._check_open()
        run = ServiceRun(self, call)
        with self._counted(call, run.placement):
            return await run.answer()

    # What a run asks of its entry

    def candidates(self, call: ModelCall | ServiceCall) -> list[Candidate]:
        """Return the upstreams that may be offered a call now."""
        allowed = self.holder.selection.upstreams(call)
        wanted = frozenset(wanted_names(call.model)) if _is_model(call) else None
        return [
            peer.candidate()
            for name, peer in self.membership.peers.items()
            if name in allowed
            and peer.is_ready
            and not self.membership.is_leaving(name)
            and (wanted is None or _carries(peer, wanted))
        ]

    def reconnecting(self, call: ModelCall | ServiceCall) -> bool:
        """Return whether an upstream for a call may have a session again soon."""
        now = asyncio.get_running_loop().time()
        allowed = self.holder.selection.upstreams(call)
        return any(
            peer.session is None and now < peer.reconnect_by
            for name, peer in self.membership.peers.items()
            if name in allowed and not self.membership.is_leaving(name)
        )

    def peer(self, name: str) -> Peer:
        """Return the peer of an upstream that was a candidate."""
        return self.membership.peers[name]

    def new_attempt_name(self) -> str:
        """Return a name unique over the life of the system."""
        return f"{self.incarnation}-{next(self._attempts)}"

    def tenant_weight(self, tenant: str) -> float:
        """Return a tenant's weight in the configuration in force."""
        configured = self.holder.current.tenants.get(tenant)
        return configured.weight if configured is not None else 1.0

    def _open_peer(self, info: InstanceInfo, interval: float) -> Peer:
        return Peer(
            entry=self.name,
            incarnation=self.incarnation,
            info=info,
            dialer=self.dialer,
            holder=self.holder,
            counters=self._hellos,
            interval=interval,
            telemetry=self.telemetry,
        )

    def _check_open(self) -> None:
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
            self.telemetry.on_between_tokens(call.request_class, between, chunk.tokens)
        return now

    @contextlib.contextmanager
    def _counted(
        self, call: ModelCall | ServiceCall, placement: Placement
    ) -> cabc.Iterator[None]:
        """Count a request in flight and measure its end."""
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
                self.telemetry.on_sized_end(call.request_class, size_class, code)
            self.in_flight -= 1
            self.placements.discard(placement)
            if self.in_flight == 0:
                self._idle.set()


def _is_model(call: ModelCall | ServiceCall) -> t.TypeGuard[ModelCall]:
    return isinstance(call, ModelCall)


def _carries(peer: Peer, wanted: frozenset[str]) -> bool:
    report = peer.report
    if report is None:
        return False
    return wanted <= frozenset(map(bare_name, report.models))
