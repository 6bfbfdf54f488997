"""What upstreams say of themselves while it is in doubt which incarnation says it.

What a reply says holds for the incarnation that sent it. One that has started anew may
answer before its registration is known, and is then taken for the one before: its wish
for rest and its limit would be forgotten as soon as it registers.
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
class Words:
    """What replies under an upstream's name have said since its last registration.

    :param boot: the incarnation that was registered.
    :param heard_at: when the last of them came; a point in time.
    :param rest_until: until when it wants no requests; a point in time.
    :param limit: requests a second that it takes from all entries.
    """

    boot: str
    heard_at: float
    rest_until: float = -math.inf
    limit: float = NO_LIMIT


class DoubtfulWords:
    """Keeps what was said in doubt, and applies it to the incarnation that registers.

    A registration of the incarnation that was known, once the doubt has come, shows
    that it still runs: what was said is then its own.

    :param words: what was said, by the upstream's name.
    """

    def __init__(self, incarnations: Incarnations, limits: NamedLimits) -> None:
        self.incarnations = incarnations
        self.fleet = incarnations.fleet
        self.limits = limits
        self.words: dict[str, Words] = {}
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
        known = self.words.get(upstream.name)
        limit = NO_LIMIT if rate_limit is None else rate_limit
        if known is None and not rest_seconds and limit == NO_LIMIT:
            return
        if known is None or known.boot != upstream.boot:
            self._forget_expired(now)
            known = self.words[upstream.name] = Words(upstream.boot, now)
        known.heard_at = now
        known.limit = limit
        if rest_seconds:
            known.rest_until = now + rest_seconds

    def _forget_expired(self, now: float) -> None:
        oldest = now - RETENTION_SECONDS
        self.words = {n: w for n, w in self.words.items() if w.heard_at >= oldest}

    def _on_registered(self, upstream: Upstream) -> None:
        """Apply what was said before to an incarnation that was not known."""
        words = self.words.pop(upstream.name, None)
        if words is None or words.boot == upstream.boot:
            return
        now = asyncio.get_running_loop().time()
        if now < words.rest_until:
            self.fleet.resting.on_asked(upstream, words.rest_until - now)
        if words.limit != NO_LIMIT and now < words.heard_at + RETENTION_SECONDS:
            self.limits.on_reply(upstream, words.limit, words.heard_at)
