"""Admission of requests by the shares of their tenants, while capacity is short."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import random

from ...errors import RequestError
from ...errors import ResultCode
from ...model import Role
from ...policy.direct_refusal import MAX_RETURN_SECONDS
from ...policy.direct_refusal import MIN_RETRY_AFTER_SECONDS
from ...policy.direct_refusal import ReturnSchedule
from ...policy.direct_roles import DECODE_TOKENS_PER_SECOND
from ...policy.fair_shares import size_kind
from ...policy.prefill_model import PREFILL_ENGINE_PRIOR
from ..features import Features
from ..fleet import Fleet
from ..model import Call
from ..model import CallKind
from ..placer import RequestPlacer
from .group_view import GroupView
from .share_exchange import ShareExchange
from .share_ticket import QUICK_ANSWER_SHARE
from .share_ticket import ShareTicket

TURNED_AWAY_CODES = frozenset(
    {
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.RETRY_BUDGET_SPENT,
        ResultCode.UPSTREAMS_LIMITED,
        ResultCode.NO_UPSTREAM,
    }
)
"""Results of requests that no upstream took, if there are upstreams."""

AVERAGE_WEIGHT = 0.05
"""Weight of a request in the moving averages of plain answers and uncached prompts."""

MIN_WORK = 1e-5
"""Least work of a request, in upstream-seconds."""


def is_on(setting: str, features: Features) -> bool:
    """Return whether tenants share scarce capacity.

    :param setting: ``on``, ``off`` or ``auto``.
    """
    return setting == "on" or (setting == "auto" and features.scarcity)


class TenantShares:
    """Admits or refuses requests before anything is sent.

    :param plain_seconds: moving average of the time of plain answers, by group.
    :param uncached_shares: moving average of the part of a prompt that has to be
        prefilled, by route.
    """

    def __init__(
        self,
        exchange: ShareExchange,
        fleet: Fleet,
        placer: RequestPlacer,
        rng: random.Random,
    ) -> None:
        self.exchange = exchange
        self.fleet = fleet
        self.placer = placer
        self.rng = rng
        self.plain_seconds: dict[str, float] = {}
        self.uncached_shares: dict[str, float] = {}

    async def run(
        self, call: Call, run: cabc.Callable[[Call], cabc.Awaitable[int]]
    ) -> int:
        """Run a request if it is admitted, and return the status sent to its caller.

        :raises RequestError: if its tenant is over its share, or by the request itself.
        """
        ticket = self._admit(call, asyncio.get_running_loop().time())
        if ticket is None:
            return await run(call)
        try:
            status = await run(dataclasses.replace(call, share=ticket))
        except RequestError as error:
            self._on_error(call, ticket, error.code)
            raise
        self._on_answered(call, ticket, status)
        return status

    def _admit(self, call: Call, now: float) -> ShareTicket | None:
        """Return a request's account; ``None`` if it is not judged.

        A caller that resumes a stream was admitted when the stream began.

        :raises RequestError: if its tenant is over its share.
        """
        table = self.fleet.table
        if table is None or table.routing.tenants is None or call.traits.last_event:
            return None
        view = self.exchange.view(call.group.name)
        tenant, work = call.tenant_name, self._work(call)
        view.demands.add(tenant, work, now)
        kind = call.route.name, size_kind(call.traits.prompt_tokens)
        if not view.admit(tenant, kind, now):
            raise RequestError(
                ResultCode.CAPACITY_SHARED,
                retry_after=self._retry_after(view, tenant, work, now),
            )
        view.evidence.on_admitted(work, now)
        return ShareTicket(view, work, call.route.objective)

    def _work(self, call: Call) -> float:
        """Return the upstream-seconds that a request is expected to take."""
        group, traits = call.group.name, call.traits
        if call.route.kind is not CallKind.STREAM:
            seconds = self.plain_seconds.get(group, call.route.objective)
            return max(MIN_WORK, seconds)
        learned = self.placer.prefill_times.get(group)
        times = learned.prefill_engines.times if learned else PREFILL_ENGINE_PRIOR
        uncached = self.uncached_shares.get(call.route.name, 1.0) * traits.prompt_tokens
        cached = traits.prompt_tokens - int(uncached)
        output = traits.expected_tokens or traits.max_tokens
        return max(
            MIN_WORK,
            times.occupied_seconds(int(uncached), cached)
            + output / DECODE_TOKENS_PER_SECOND,
        )

    def _retry_after(
        self, view: GroupView, tenant: str, work: float, now: float
    ) -> float:
        """Return the seconds after which the tenant's share has room for a caller.

        The refused callers of a tenant return one after the other, at the rate at which
        its requests are admitted here. Those that would return too late to predict are
        spread at random.
        """
        admitted = view.fraction(tenant, now) * view.demands.rates[tenant].rate(now)
        schedule = view.returns.setdefault(tenant, ReturnSchedule())
        earliest = now + MIN_RETRY_AFTER_SECONDS
        returns_at = schedule.next_return(admitted / work, earliest, now)
        # The difference of a rounded sum may be less than the delay that was added.
        if returns_at < now + MAX_RETURN_SECONDS:
            return returns_at - now
        return self.rng.uniform(0.5, 1.0) * MAX_RETURN_SECONDS

    def _on_error(self, call: Call, ticket: ShareTicket, code: ResultCode) -> None:
        now = asyncio.get_running_loop().time()
        if code is ResultCode.DEADLINE_EXCEEDED:
            ticket.on_late(now)
            return
        if code in TURNED_AWAY_CODES and self._has_upstream(call, now):
            ticket.on_turned_away(now)

    def _has_upstream(self, call: Call, now: float) -> bool:
        """Return whether there is an upstream that could answer the request.

        A group without any that responds is away, not short of capacity.
        """
        members = self.fleet.members(call.group.name, now)
        reachability = self.placer.reachability
        return any(
            member.role is not Role.PREFILL and reachability.is_reachable(member.key)
            for member in members
        )

    def _on_answered(self, call: Call, ticket: ShareTicket, status: int) -> None:
        now = asyncio.get_running_loop().time()
        if call.route.kind is CallKind.STREAM:
            if ticket.uncached_tokens is not None and call.traits.prompt_tokens:
                share = ticket.uncached_tokens / call.traits.prompt_tokens
                _average(self.uncached_shares, call.route.name, min(1.0, share))
            return
        seconds = now - call.arrived_at
        if seconds > call.route.objective:
            ticket.on_late(now)
        if not 200 <= status < 300:
            # A quick failure says nothing of the capacity.
            return
        if seconds <= QUICK_ANSWER_SHARE * call.route.objective:
            ticket.on_quick(now)
        _average(self.plain_seconds, call.group.name, seconds)


def _average(averages: dict[str, float], name: str, value: float) -> None:
    before = averages.get(name, value)
    averages[name] = before + AVERAGE_WEIGHT * (value - before)
