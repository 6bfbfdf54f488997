"""How often and where one request has been sent."""

from __future__ import annotations

import asyncio
import logging

from ..errors import RequestError
from ..errors import ResultCode
from ..model import Role
from .context import Context
from .model import Call
from .model import Upstream

logger = logging.getLogger(__name__)


class Sends:
    """One request's sends to upstreams, held to its route and the shared budget.

    :param tried: upstreams that it was sent to.
    :param maybe_ran: whether one of them may have run it.
    :param maybe_ran_before: the same without the last send.
    """

    def __init__(self, context: Context, call: Call) -> None:
        self.context = context
        self.call = call
        self.tried: set[str] = set()
        self.unreached: set[str] = set()
        self.count = 0
        self.maybe_ran = False
        self.maybe_ran_before = False

    @property
    def excluded(self) -> set[str]:
        """Upstreams that need not be tried again."""
        return self.tried | self.unreached

    def may_move(self) -> bool:
        """Return whether the request could go on at an upstream it has not been to."""
        if len(self.tried) >= self.call.route.max_attempts:
            return False
        now = asyncio.get_running_loop().time()
        members = self.context.fleet.members(self.call.group.name, now)
        others = (m for m in members if m.role is not Role.PREFILL)
        if all(member.name in self.excluded for member in others):
            return False
        return self.has_room()

    def begin(self, upstream: Upstream) -> None:
        """Count a send.

        :raises RequestError: if the route or the budget allows no further one.
        """
        new = upstream.name not in self.tried
        if new and len(self.tried) >= self.call.route.max_attempts:
            raise self.exhausted()
        if self.count and not self.spend():
            raise self.exhausted(ResultCode.RETRY_BUDGET_SPENT)
        self.count += 1
        self.tried.add(upstream.name)
        self.maybe_ran_before = self.maybe_ran
        self.maybe_ran = True

    def on_not_run(self) -> None:
        """Note that the last send certainly did not run; an earlier one still may."""
        self.maybe_ran = self.maybe_ran_before

    def on_unreached(self, upstream: Upstream) -> None:
        """Note that nothing of the last send left this process."""
        self.on_not_run()
        self.count -= 1
        self.tried.discard(upstream.name)
        self.unreached.add(upstream.name)

    def exhausted(self, code: ResultCode = ResultCode.NO_UPSTREAM) -> RequestError:
        """Return the error of a request that has no further send.

        Whatever may have run is of unknown outcome: a refusal that says otherwise
        would have the caller send an order twice.
        """
        if self.maybe_ran:
            return RequestError(ResultCode.OUTCOME_UNKNOWN)
        return RequestError(code)

    def out_of_time(self) -> RequestError:
        """Return the error of a request whose time is over, or the process's."""
        if self.context.time_limits.is_over(asyncio.get_running_loop().time()):
            return self._cut_short()
        if self.maybe_ran:
            return RequestError(ResultCode.DEADLINE_EXCEEDED)
        return RequestError(ResultCode.DEADLINE_UNREACHABLE)

    def _cut_short(self) -> RequestError:
        if self.maybe_ran:
            return RequestError(ResultCode.OUTCOME_UNKNOWN)
        return self.context.time_limits.refusal()

    def log_failure(
        self, upstream: Upstream, error: str, outcome: str, last_event: int = 0
    ) -> None:
        """Write the line of a send that failed.

        :param outcome: what is known of the request at that upstream.
        :param last_event: number of the last event that the caller has.
        """
        fields = {
            "upstream": upstream.name,
            "error": error,
            "outcome": outcome,
            "sends": self.count,
            "last_event": last_event,
        }
        logger.info("send failed", extra=fields)

    def has_room(self) -> bool:
        """Return whether the budget has room for a further call to an upstream."""
        return self.context.second_sends.has_room(self.call.group.name)

    def spend(self) -> bool:
        """Take a further call to an upstream out of the budget, if it has room."""
        return self.context.second_sends.spend(self.call.group.name)
