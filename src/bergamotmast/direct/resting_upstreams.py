"""Upstreams that have asked this entry for rest."""

from __future__ import annotations

import collections.abc as cabc
import logging
import random

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.direct_refusal import rest_retry_after
from ..policy.upstream_rest import UpstreamRest
from .model import Upstream
from .model import UpstreamKey

logger = logging.getLogger(__name__)

MAX_UNUSED_SECONDS = 60.0
"""Time after its end at which a rest is forgotten even if no request was sent since."""


class RestingUpstreams:
    """The upstreams that get no request, or one as a trial, by name and boot.

    :param clock: returns the present point in time.
    """

    def __init__(self, clock: cabc.Callable[[], float]) -> None:
        self.clock = clock
        self.rests: dict[UpstreamKey, UpstreamRest] = {}

    def ends_at(self, upstream: Upstream) -> float | None:
        """Return until when an upstream rests; ``None`` if it doesn't."""
        rest = self.rests.get(upstream.key)
        if rest is None or self.clock() >= rest.ends_at():
            return None
        return rest.ends_at()

    def on_asked(self, upstream: Upstream, seconds: float) -> None:
        """Record that a reply asks for rest."""
        now = self.clock()
        key = upstream.key
        if key not in self.rests:
            self._forget_unused(now)
        rest = self.rests.get(key, UpstreamRest(now))
        self.rests[key] = rest.prolonged(now + seconds)
        logger.info(
            "upstream asks for rest",
            extra={
                "upstream": upstream.name,
                "group": upstream.group,
                "seconds": seconds,
            },
        )

    def on_sending(self, upstream: Upstream) -> None:
        """Record that a request is being sent, which may be a trial."""
        key = upstream.key
        rest = self.rests.get(key)
        if rest is not None:
            self.rests[key] = rest.after_send(self.clock())

    def on_reply(self, upstream: Upstream, sent_at: float) -> None:
        """Record a reply that asks for no rest.

        :param sent_at: when its request was sent; a point in time.
        """
        key = upstream.key
        rest = self.rests.get(key)
        if rest is not None and sent_at >= rest.until:
            del self.rests[key]
            logger.info("upstream is rested", extra={"upstream": upstream.name})

    def refusal(
        self, group: str, upstreams: cabc.Collection[Upstream], rng: random.Random
    ) -> RequestError:
        """Return the error of a request for which all upstreams rest.

        :param upstreams: the upstreams that would be suitable.
        """
        now = self.clock()
        seconds = {u.name: (self.ends_at(u) or now) - now for u in upstreams}
        logger.info(
            "request meets upstreams at rest",
            extra={
                "group": group,
                "rests_ms": {name: round(s * 1e3, 1) for name, s in seconds.items()},
            },
        )
        return RequestError(
            ResultCode.UPSTREAMS_LIMITED,
            retry_after=rest_retry_after(rng, min(seconds.values())),
        )

    def _forget_unused(self, now: float) -> None:
        self.rests = {
            key: rest
            for key, rest in self.rests.items()
            if now < rest.until + MAX_UNUSED_SECONDS
        }
