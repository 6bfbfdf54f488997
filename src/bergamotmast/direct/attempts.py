"""Bookkeeping of one request's attempts."""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import contextlib
import functools
import logging

from ..crashes.model import Incarnation
from ..crashes.model import LostRun
from ..errors import ConnectionLostError
from ..errors import RequestError
from ..errors import ResultCode
from ..model import Role
from .context import Context
from .fingerprint import fingerprint_of
from .model import Call
from .model import Upstream
from .model import UpstreamKey

logger = logging.getLogger(__name__)


class AttemptTracker:
    """One request's attempts, limited by its route and the retry budget.

    A restarted upstream counts as another one: what is known of the earlier incarnation
    does not apply to it, and a request may run at both.

    :param sends: how often the request was sent to each upstream.
    :param withdrawn: upstreams that were tried and may be tried again, as the attempt
        was cancelled for another one.
    :param unreachable: upstreams to which no connection could be made.
    :param count: number of attempts.
    :param unresolved: number of attempts that may have run the request.
    :param prepaid: retries taken out of the budget for attempts not begun yet.
    :param begun: whether an upstream is known to have begun to run the request.
    :param tried_parts: parts of its prompt that the last attempt is a trial of.
    """

    def __init__(self, context: Context, call: Call) -> None:
        self.context = context
        self.call = call
        self.sends: collections.Counter[UpstreamKey] = collections.Counter()
        self.withdrawn: set[UpstreamKey] = set()
        self.unreachable: set[UpstreamKey] = set()
        self.count = 0
        self.unresolved = 0
        self.prepaid = 0
        self._build = call.build
        self.begun = False
        self.tried_parts: tuple[str, ...] = ()

    @property
    def build(self) -> str | None:
        """Build that the response has begun at; ``None`` before that.

        An incarnation may have registered since the response began there.
        """
        if self._build is None:
            return None
        return self.context.fleet.incarnations.build(self._build)

    @build.setter
    def build(self, build: str | None) -> None:
        self._build = build

    @functools.cached_property
    def fingerprint(self) -> str:
        """Fingerprint of the request, the same for all tries of its caller."""
        return fingerprint_of(self.call)

    @functools.cached_property
    def parts(self) -> tuple[str, ...]:
        """Names of the parts of its prompt that other prompts may share."""
        return self.call.shared_part_names

    @property
    def tried(self) -> set[UpstreamKey]:
        """Upstreams that the request was sent to."""
        return {key for key, count in self.sends.items() if count}

    @property
    def excluded(self) -> set[str]:
        """Names of the upstreams that are not to be tried now."""
        tried = self.tried
        excluded = self.current_names((tried - self.withdrawn) | self.unreachable)
        if len(tried) >= self.call.route.max_attempts:
            excluded |= {name for name, _ in self._candidates() - tried}
        return excluded

    def current_names(self, keys: cabc.Collection[UpstreamKey]) -> set[str]:
        """Return the names of those upstreams that have not restarted since."""
        fleet = self.context.fleet
        return {
            name
            for name, boot in keys
            if (known := fleet.registered(name)) is None or known.boot == boot
        }

    def _candidates(self) -> set[UpstreamKey]:
        """Return the upstreams that can answer the request."""
        now = asyncio.get_running_loop().time()
        members = self.context.fleet.members(self.call.group.name, now)
        return {
            m.key
            for m in members
            if m.role is not Role.PREFILL and self.build in (None, m.build)
        }

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.unresolved > 0

    def obstacle(self) -> str:
        """Return why the request can't be sent to another upstream, or ``""``."""
        if {name for name, _ in self._candidates()} <= self.excluded:
            if len(self.tried) >= self.call.route.max_attempts:
                return "no attempt is left"
            return "there is no other upstream"
        return "" if self.has_room() else "the retry budget is spent"

    def begin(self, upstream: Upstream) -> None:
        """Record the start of an attempt.

        :raises RequestError: if the route, the budget or the quarantine allows no
            further attempt.
        """
        self.check_quarantine()
        new = upstream.key not in self.tried
        if new and len(self.tried) >= self.call.route.max_attempts:
            raise self.exhausted_error()
        if self.count and not self.spend():
            raise self.exhausted_error(ResultCode.RETRY_BUDGET_SPENT)
        self.count += 1
        self.sends[upstream.key] += 1
        self.context.count_send(upstream)
        self.withdrawn.discard(upstream.key)
        self.unresolved += 1

    def on_withdrawn(self, upstream: Upstream) -> None:
        """Record that an attempt was cancelled, as another one goes on."""
        if upstream.key in self.tried:
            self.withdrawn.add(upstream.key)

    def on_not_run(self) -> None:
        """Record that an attempt was not run; others may have been."""
        self.unresolved -= 1

    def on_not_sent(self, upstream: Upstream) -> None:
        """Record that nothing was sent in the last attempt."""
        self.on_not_run()
        self.count -= 1
        self.sends[upstream.key] -= 1
        self.unreachable.add(upstream.key)

    def check_quarantine(self) -> None:
        """Check that the request may be sent to another upstream.

        :raises RequestError: if it is in quarantine, or would be if its last run was
            lost in a crash.
        """
        if not self.context.quarantine.is_watching:
            return
        try:
            self.context.quarantine.check(self.fingerprint, self.parts)
        except RequestError:
            if self.may_have_run:
                raise RequestError(ResultCode.OUTCOME_UNKNOWN) from None
            raise

    def on_lost(
        self,
        upstream: Upstream,
        error: Exception,
        sent_at: float,
        *,
        replied: bool = False,
    ) -> None:
        """Record that the reply to a request, or to its prefill, was lost.

        An upstream that fell silent without a reply may have been dead before the
        request was sent.

        :param sent_at: when it was sent; a point in time.
        :param replied: whether part of the reply had arrived.
        """
        self.context.incarnations.on_sign(upstream, str(error))
        disconnected = isinstance(error, ConnectionLostError)
        if disconnected or replied:
            run = LostRun(
                self.fingerprint,
                self.call.traits.request_id,
                self.parts,
                sent_at,
                upstream.build,
                self.tried_parts,
            )
            self.context.crash_detector.on_run_lost(
                upstream, run, disconnected=disconnected
            )

    def run_apart(
        self, upstream: Upstream
    ) -> contextlib.AbstractAsyncContextManager[bool]:
        """Keep an attempt apart from others that may crash the same upstream.

        The block receives whether the request may be sent to the upstream now.
        """
        quarantine = self.context.quarantine
        if not quarantine.is_watching:
            return contextlib.nullcontext(True)
        incarnation = Incarnation(upstream.name, upstream.boot)
        self.tried_parts = tuple(quarantine.parts.parts_on_trial(self.parts))
        return quarantine.run_apart(self.fingerprint, incarnation, self.tried_parts)

    def is_still_open(self, upstream: Upstream) -> bool:
        """Return whether an upstream still takes requests, as `run_apart` may wait."""
        now = asyncio.get_running_loop().time()
        return self.context.fleet.takes_requests(upstream, now)

    def on_begun(self, at: float) -> None:
        """Count the request in its tenant's usage when it begins to run.

        :param at: when an upstream began to run it; a point in time.
        """
        usage, tenant = self.context.usage, self.call.tenant_name
        if usage is None or not tenant or self.begun:
            return
        self.begun = True
        usage.on_begun(tenant, at)

    def on_complete(self, upstream: Upstream, sent_at: float) -> None:
        """Record that an upstream has completed a successful answer.

        :param sent_at: when the request was sent; a point in time.
        """
        request_id = self.call.traits.request_id
        # The id stands for the fingerprint, which would be worked out for each answer.
        run = LostRun(request_id, request_id, self.parts, sent_at, upstream.build)
        incarnation = Incarnation(upstream.name, upstream.boot)
        self.context.quarantine.parts.on_answered(incarnation, run)

    def on_answered(self) -> None:
        """Record that an upstream has run the request to its end."""
        if self.context.quarantine.ledger:
            self.context.quarantine.on_answered(self.fingerprint)

    def exhausted_error(
        self, code: ResultCode = ResultCode.NO_UPSTREAM
    ) -> RequestError:
        """Return the error of a request with no attempt left.

        If the request may have run, its outcome is unknown. Any other error would tell
        the caller that it may send the request again, which would run it twice.
        """
        if self.may_have_run:
            return RequestError(ResultCode.OUTCOME_UNKNOWN)
        return RequestError(code)

    def timeout_error(self) -> RequestError:
        """Return the error of a request ended by its deadline or by the shutdown."""
        if self.context.time_limits.is_over(asyncio.get_running_loop().time()):
            return self._shutdown_error()
        if self.may_have_run:
            return RequestError(ResultCode.DEADLINE_EXCEEDED)
        return RequestError(ResultCode.DEADLINE_UNREACHABLE)

    def _shutdown_error(self) -> RequestError:
        if self.may_have_run:
            return RequestError(ResultCode.OUTCOME_UNKNOWN)
        return self.context.time_limits.shutdown_error()

    def log_failure(
        self, upstream: Upstream, error: str, outcome: str, last_event: int = 0
    ) -> None:
        """Log a failed attempt.

        :param outcome: what is known of the request at that upstream.
        :param last_event: number of the last event that the caller received.
        """
        fields = {
            "upstream": upstream.name,
            "error": error,
            "outcome": outcome,
            "sends": self.count,
            "last_event": last_event,
            "fingerprint": self.fingerprint,
            "caller": self.call.caller,
        }
        logger.info("send failed", extra=fields)

    def has_room(self) -> bool:
        """Return whether the retry budget has room for another attempt."""
        return self.prepaid > 0 or self.context.retry_budget.has_room(
            self.call.group.name
        )

    def spend(self) -> bool:
        """Take an attempt out of the retry budget; return whether it had room."""
        if not self.prepay(1):
            return False
        self.prepaid -= 1
        return True

    def prepay(self, count: int) -> bool:
        """Take attempts that belong together out of the retry budget.

        What has been running until then is given up only once all are paid for.

        :returns: whether the budget had room for all of them.
        """
        missing = max(0, count - self.prepaid)
        if missing and not self.context.retry_budget.spend(
            self.call.group.name, missing
        ):
            return False
        self.prepaid += missing
        return True
