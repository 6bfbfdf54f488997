"""Limits and rests in replies whose incarnation is in doubt.

What a reply says holds for the incarnation that sent it. One that has started anew may
answer before its registration is known, and is then taken for the one before: the rest
that it asked for and its limit would be forgotten as soon as it registers.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math

from ..policy.named_limit import NO_LIMIT
from .incarnations import Incarnations
from .model import Upstream
from .named_limits import NamedLimits

RETENTION_SECONDS = 60.0
"""How long what was said is kept for an incarnation that has not registered."""


@dataclasses.dataclass(slots=True)
class ReplyHints:
    """Limit and rest in the replies under an upstream's name since its registration.

    :param boot: the incarnation that was registered.
    :param heard_at: when the last of them came; a point in time.
    :param rest_until: until when it wants no requests; a point in time.
    :param limit: requests a second that it takes from all entries.
    """

    boot: str
    heard_at: float
    rest_until: float = -math.inf
    limit: float = NO_LIMIT


class UnconfirmedReplies:
    """Keeps what was said in doubt, and applies it to the incarnation that registers.

    A registration of the incarnation that was known, once the doubt has come, shows
    that it still runs: what was said is then its own.

    :param hints: by the upstream's name.
    """

    def __init__(self, incarnations: Incarnations, limits: NamedLimits) -> None:
        self.incarnations = incarnations
        self.fleet = incarnations.fleet
        self.limits = limits
        self.hints: dict[str, ReplyHints] = {}
        self.fleet.on_registered.append(self._on_registered)

    def on_reply(
        self, upstream: Upstream, rate_limit: float | None, rest_seconds: float
    ) -> None:
        """Keep what a reply says if it may be another incarnation's.

        :param rate_limit: as in :class:`~.ports.ReplyTraits`.
        :param rest_seconds: 0 for no rest.
        """
        if not self.incarnations.may_differ(upstream):
            return
        now = asyncio.get_running_loop().time()
        known = self.hints.get(upstream.name)
        limit = NO_LIMIT if rate_limit is None else rate_limit
        if known is None and not rest_seconds and limit == NO_LIMIT:
            return
        if known is None or known.boot != upstream.boot:
            self._forget_expired(now)
            known = self.hints[upstream.name] = ReplyHints(upstream.boot, now)
        known.heard_at = now
        known.limit = limit
        if rest_seconds:
            known.rest_until = now + rest_seconds

    def _forget_expired(self, now: float) -> None:
        oldest = now - RETENTION_SECONDS
        self.hints = {n: h for n, h in self.hints.items() if h.heard_at >= oldest}

    def _on_registered(self, upstream: Upstream) -> None:
        """Apply what was said before to an incarnation that was not known."""
        hints = self.hints.pop(upstream.name, None)
        if hints is None or hints.boot == upstream.boot:
            return
        now = asyncio.get_running_loop().time()
        if now < hints.rest_until:
            self.fleet.resting.on_asked(upstream, hints.rest_until - now)
        if hints.limit != NO_LIMIT and now < hints.heard_at + RETENTION_SECONDS:
            self.limits.on_reply(upstream, hints.limit, hints.heard_at)
