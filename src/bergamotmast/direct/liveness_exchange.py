"""Exchange of notices of unresponsive engines among all entries, over UDP.

An entry whose liveness probe of an engine failed tells all entries. One that has got a
reply from the engine since tells them that, too. A message repeats all that its sender
has to tell, so that the next one makes up for a lost one.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import logging
import math
import random

import msgspec

from ..policy.unresponsive_engines import MAX_NAMED
from ..policy.unresponsive_engines import FailedProbe
from ..policy.unresponsive_engines import UnresponsiveEngines
from ..telemetry import Telemetry
from .features import Features
from .incarnation_index import IncarnationIndex
from .liveness import LivenessChecker
from .model import Upstream
from .model import UpstreamKey
from .peer_messages import Address
from .peer_messages import LivenessNotice
from .peer_messages import PeerInbox
from .peer_messages import Send
from .placer import RequestPlacer
from .placer import incarnation_hash
from .presence import PRESENCE_PREFIX

logger = logging.getLogger(__name__)

MIN_INTERVAL_SECONDS = 0.1
"""Shortest time between two messages of an entry to all others."""

MESSAGES_PER_SECOND = 150.0
"""Messages a second that an entry gets at most; the interval grows with the number of
entries."""

REVIEW_SECONDS = 0.05
"""Interval between two reviews of the notices that count. A review looks for replies
that belie a notice; there is none without notices."""

PROBES_PER_REVIEW = 500
"""Number of notices from which on the interval between two reviews grows in proportion.
A review of the 4,800 notices that 300 entries may have takes 9 ms."""

DENIAL_SPREAD_SECONDS = 0.001
"""Spread of the entries' replies to a notice, for each entry. A datagram takes some
milliseconds, so that a few entries at most tell the same."""


def is_on(features: Features) -> bool:
    """Return whether entries notify each other of unresponsive engines."""
    return features.scarcity


class LivenessExchange:
    """Notifies the other entries of unresponsive engines, and applies their notices.

    Points in time are on the event loop's clock.

    :param own_entry: key under which this entry registers.
    :param send: sends a datagram without blocking.
    :param notices: the notices that count.
    :param avoided: engines that are avoided, and the probes that count.
    :param cut_off: entries that have named too many engines to be believed.
    :param index: registered upstreams.
    :param sizes: number of engines, by group.
    :param next_message_at: when the next message may be sent.
    :param message_planned: whether a message is to be sent then.
    :param reviewed_at: when the notices were last reviewed.
    :param review_planned: whether they are to be reviewed again.
    :param denials_planned: engines whose replies are to be told of.
    """

    def __init__(
        self,
        own_entry: str,
        placer: RequestPlacer,
        send: Send,
        rng: random.Random,
        telemetry: Telemetry,
    ) -> None:
        self.own_entry = own_entry
        self.placer = placer
        self.fleet = placer.fleet
        self.send = send
        self.rng = rng
        self.telemetry = telemetry
        self.notices = UnresponsiveEngines(own_entry, rng)
        self.avoided: dict[UpstreamKey, FailedProbe] = {}
        self.cut_off: set[str] = set()
        self.index = IncarnationIndex(self.fleet)
        self.sizes: dict[str, int] = {}
        self.next_message_at = -math.inf
        self.message_planned = False
        self.reviewed_at = -math.inf
        self.review_planned = False
        self.denials_planned: set[UpstreamKey] = set()

    def attach(self, checker: LivenessChecker, inbox: PeerInbox) -> None:
        """Receive this entry's failed probes and the messages of other entries."""
        checker.on_failed = self.on_failed_probe
        inbox.receivers[LivenessNotice] = self._on_message
        self.fleet.on_departed.append(self._on_departed)

    def interval(self) -> float:
        """Return the seconds between two messages, by the number of entries."""
        return max(MIN_INTERVAL_SECONDS, len(self._entries()) / MESSAGES_PER_SECOND)

    def _entries(self) -> dict[str, Address]:
        """Return the addresses of all entries that may be running, by their keys."""
        return self.fleet.known_entries(asyncio.get_running_loop().time())

    def on_failed_probe(self, engine: Upstream, sent_at: float) -> None:
        """Notify the other entries of an engine that has not replied to a probe.

        :param sent_at: when the probe was sent; a point in time.
        """
        if not self.fleet.is_registered(engine.key):
            return
        if self.placer.engine_load(engine).last_reply_at > sent_at:
            # The engine has replied to a request meanwhile.
            return
        now = asyncio.get_running_loop().time()
        self._refresh_index(now)
        was_cut_off = self.own_entry in self.notices.cut_off(self.sizes, now)
        self.notices.on_failed_probe(
            self.own_entry, engine.key, engine.group, sent_at, now
        )
        self._plan_review(0.0)
        if not was_cut_off:
            # The other entries have to know the notice that exceeds the limit, but none
            # of those that follow.
            self._plan_message()

    def _plan_message(self) -> None:
        if self.message_planned:
            return
        self.message_planned = True
        loop = asyncio.get_running_loop()
        delay = self.next_message_at - loop.time()
        if delay <= 0.0:
            self._send_message()
        else:
            loop.call_later(delay, self._send_message)

    def _send_message(self) -> None:
        """Tell all other entries which engines respond and which don't."""
        now = asyncio.get_running_loop().time()
        self.message_planned = False
        self.next_message_at = now + self.interval()
        self._collect_replies(now)
        unresponsive = {
            engine: probe.sent_at for engine, probe in self.notices.own_probes().items()
        }
        responsive = self.notices.untold_replies(self.sizes, now)
        if not unresponsive and not responsive:
            return
        message = LivenessNotice(
            self.own_entry, _ages(unresponsive, now), _ages(responsive, now)
        )
        for engine, at in responsive.items():
            self.notices.on_reply(engine, at, now, told=True)
        data = msgspec.msgpack.encode(message)
        for key, address in self._entries().items():
            if key != self.own_entry:
                self.send(data, address)

    def _on_message(self, message: LivenessNotice, address: Address) -> None:
        sender = message.sender
        # The number of senders is bounded, as only those that the store lists count.
        if sender == self.own_entry or sender not in self._entries():
            return
        now = asyncio.get_running_loop().time()
        self._refresh_index(now)
        for hashed, age in message.unresponsive.items():
            engine = self._engine(hashed)
            if engine is not None:
                self.notices.on_failed_probe(
                    sender, engine.key, engine.group, now - age, now
                )
        for hashed, age in message.responsive.items():
            engine = self._engine(hashed)
            if engine is not None:
                self.notices.on_reply(engine.key, now - age, now, told=True)
        self._plan_review(max(0.0, self.reviewed_at + self._review_interval() - now))

    def _on_departed(self, upstream: Upstream) -> None:
        """Drop what is known of an incarnation that has departed."""
        self.notices.forget(upstream.key)
        self.index.expire()
        if upstream.key in self.avoided:
            self._release(upstream.key, "departed")
            self.telemetry.on_avoided_engines(len(self.avoided))

    def _plan_review(self, delay: float) -> None:
        if delay <= 0.0:
            self._review()
        elif not self.review_planned:
            self.review_planned = True
            asyncio.get_running_loop().call_later(delay, self._on_review_due)

    def _review_interval(self) -> float:
        """Return the seconds between two reviews, by the number of notices."""
        count = sum(map(len, self.notices.probes.values()))
        return REVIEW_SECONDS * max(1.0, count / PROBES_PER_REVIEW)

    def _on_review_due(self) -> None:
        self.review_planned = False
        self._review()

    def _review(self) -> None:
        """Apply the notices that count, and plan to tell of replies that belie them."""
        now = self.reviewed_at = asyncio.get_running_loop().time()
        self._refresh_index(now)
        self._collect_replies(now)
        avoided = self.notices.avoided(self.sizes, now)
        self._log_cut_off(now)
        for engine in [engine for engine in self.avoided if engine not in avoided]:
            self._release(engine, self._release_reason(engine, now))
        for engine, probe in avoided.items():
            self._avoid(engine, probe, now)
        self.telemetry.on_avoided_engines(len(self.avoided))
        for engine in self.notices.untold_replies(self.sizes, now):
            self._plan_denial(engine)
        if self.notices.probes:
            self._plan_review(self._review_interval())

    def _collect_replies(self, now: float) -> None:
        """Record the replies that this entry has got from engines that were named."""
        for engine in self.notices.named():
            tracker = self.placer.engine_loads.get(engine)
            if tracker is not None:
                self.notices.on_reply(engine, tracker.last_reply_at, now)

    def _avoid(self, engine: UpstreamKey, probe: FailedProbe, now: float) -> None:
        known = self.avoided.get(engine)
        if known == probe:
            return
        upstream = self.fleet.registered(engine[0])
        if upstream is None or upstream.key != engine:
            return
        self.avoided[engine] = probe
        self.placer.engine_load(upstream).on_notices(probe.until)
        if known is None:
            logger.info(
                "engine is avoided",
                extra={
                    "upstream": engine[0],
                    "group": probe.group,
                    "told_by": _name(probe.sender),
                    "silent_ms": round((now - probe.sent_at) * 1e3, 1),
                },
            )

    def _release_reason(self, engine: UpstreamKey, now: float) -> str:
        probe = self.avoided[engine]
        if self.notices.replied_at.get(engine, -math.inf) > probe.sent_at:
            return "it has replied"
        if now >= probe.until:
            return "the notice has expired"
        if probe.sender in self.cut_off:
            return "the entry names too many"
        return "all of the group are named"

    def _release(self, engine: UpstreamKey, reason: str) -> None:
        probe = self.avoided.pop(engine)
        tracker = self.placer.engine_loads.get(engine)
        if tracker is not None:
            tracker.on_notices(-math.inf)
        logger.info(
            "engine is not avoided",
            extra={"upstream": engine[0], "group": probe.group, "reason": reason},
        )

    def _log_cut_off(self, now: float) -> None:
        cut_off = self.notices.cut_off(self.sizes, now)
        for sender in cut_off - self.cut_off:
            named = len(self.notices.probes.get(sender, ()))
            logger.warning(
                "entry names too many unresponsive engines",
                extra={"entry": _name(sender), "engines": named},
            )
        self.cut_off = cut_off

    def _plan_denial(self, engine: UpstreamKey) -> None:
        """Plan to tell of a reply, unless another entry does so first."""
        if engine not in self.denials_planned:
            self.denials_planned.add(engine)
            spread = DENIAL_SPREAD_SECONDS * len(self._entries())
            delay = self.rng.uniform(0.0, spread)
            asyncio.get_running_loop().call_later(delay, self._deny, engine)

    def _deny(self, engine: UpstreamKey) -> None:
        self.denials_planned.discard(engine)
        now = asyncio.get_running_loop().time()
        if engine in self.notices.untold_replies(self.sizes, now):
            self._plan_message()

    def _engine(self, hashed: int) -> Upstream | None:
        """Return the engine that a message names; ``None`` if it is gone or leaves."""
        engine = self.index.upstreams.get(hashed)
        if engine is None or not _serves(engine):
            return None
        return engine if self.fleet.is_registered(engine.key) else None

    def _refresh_index(self, now: float) -> None:
        if self.index.refresh(now):
            engines = filter(_serves, self.index.upstreams.values())
            self.sizes = collections.Counter(engine.group for engine in engines)


def _serves(upstream: Upstream) -> bool:
    """Return whether an upstream is an engine that is not leaving."""
    return upstream.role is not None and not upstream.leaving


def _name(entry: str) -> str:
    """Return the name of an entry that registers under a key."""
    return entry.removeprefix(PRESENCE_PREFIX)


def _ages(points: cabc.Mapping[UpstreamKey, float], now: float) -> dict[int, float]:
    """Return the ages of the latest events, by the hash of the engine."""
    latest = sorted(points.items(), key=lambda item: item[1], reverse=True)
    return {
        incarnation_hash(engine): max(0.0, now - at)
        for engine, at in latest[: MAX_NAMED + 1]
    }
