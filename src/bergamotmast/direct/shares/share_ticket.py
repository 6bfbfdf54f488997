"""Account of one request that was admitted under the shares of tenants."""

from __future__ import annotations

import math

from .group_view import GroupView

QUICK_WAIT_SHARE = 0.25
"""Share of the objective up to which a stream hardly waits."""

QUICK_ANSWER_SHARE = 0.5
"""Share of the objective within which a plain answer has hardly waited."""


class ShareTicket:
    """Reports what happens to an admitted request, once each.

    :param work: upstream-seconds that it is expected to take.
    :param objective: latency objective in seconds.
    :param uncached_tokens: tokens that an engine had to prefill, as estimated; ``None``
        before the first placement.
    :param is_late: whether the answer is late, or is predicted to be.
    :param met_full: whether an upstream that responds had no room for the request.
    :param lost_seconds: time spent at upstreams that did not respond.
    :param lost_until: end of that time; a point in time.
    """

    __slots__ = (
        "is_late",
        "lost_seconds",
        "lost_until",
        "met_full",
        "objective",
        "uncached_tokens",
        "view",
        "work",
    )

    def __init__(self, view: GroupView, work: float, objective: float) -> None:
        self.view = view
        self.work = work
        self.objective = objective
        self.uncached_tokens: int | None = None
        self.is_late = False
        self.met_full = False
        self.lost_seconds = 0.0
        self.lost_until = -math.inf

    def on_placed(self, waiting: float, uncached_tokens: int, now: float) -> None:
        """Record the first placement of a stream.

        :param waiting: predicted seconds of queueing.
        """
        if self.uncached_tokens is not None:
            return
        self.uncached_tokens = uncached_tokens
        if waiting > self.objective:
            self.on_late(now)
        elif waiting <= QUICK_WAIT_SHARE * self.objective:
            self.on_quick(now)

    def on_quick(self, now: float) -> None:
        """Record that the request hardly waits."""
        self.view.evidence.quick.add(self.work, now)

    def on_late(self, now: float) -> None:
        """Record that the answer is late, or is predicted to be."""
        if not self.is_late:
            self.is_late = True
            self.view.evidence.late.add(self.work, now)

    def on_full(self) -> None:
        """Record that an upstream that responds had no room for the request."""
        self.met_full = True

    def on_lost(self, sent_at: float, now: float) -> None:
        """Record that an upstream has not responded.

        A request that is then too late anywhere else would have been in time there: the
        time is given back to it where its wait is compared with what it can wait.

        :param sent_at: since when it was waited for; a point in time.
        """
        self.lost_seconds += max(0.0, now - max(sent_at, self.lost_until))
        self.lost_until = now

    def on_turned_away(self, now: float) -> None:
        """Record that no upstream took the request.

        It is evidence of a shortage only if an upstream that responds was full.
        """
        if self.met_full:
            self.view.evidence.turned_away.add(self.work, now)
