"""Which incarnation of an engine answers: the registered one, or one that came later.

An engine that starts anew keeps its name and its address, but not its build. Its new
registration may be late, or not reach this entry while the store turns it away. An
engine is in doubt while the entry is not in sync, or once a sign of a restart was seen
(a connection that was refused or reset, a reply that broke off, silence). One in doubt
is asked when it started before a stream is booked at its build.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import logging
import math

from ..telemetry import Telemetry
from .fleet import Fleet
from .model import UNTOLD_BOOT
from .model import Upstream
from .model import UpstreamKey
from .ports import IncarnationProbe

logger = logging.getLogger(__name__)

CHECK_SECONDS = 1.0
"""Shortest time between two checks of an engine that goes on with streams: one that
tells nothing of itself would be asked with each event."""

MAX_QUESTIONS = 2
"""Maximum number of questions for one answer: a sign of a restart, or a registration,
may come while the first one is on its way."""


class Identity(enum.Enum):
    """What an engine in doubt has told of itself."""

    CONFIRMED = "confirmed"
    DIFFERS = "differs"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A question that is on its way to an engine.

    :param sent_at: a point in time.
    :param task: returns the boot that the engine tells, ``None`` without an answer.
    """

    sent_at: float
    task: asyncio.Task[str | None]


class Incarnations:
    """What this entry knows of the processes that answer under engines' names.

    Points in time are on the event loop's clock.

    :param probe: asks engines; ``None`` if registrations are all there is.
    :param doubted_at: when a sign of a restart was last seen, by incarnation.
    :param seen_at: when an incarnation was last known to run: when it was asked, or
        when data came on a connection to it.
    :param questions: questions on their way, by incarnation.
    :param checks: running checks of engines that go on with streams.
    :param next_check_at: when such an engine may be checked again, by incarnation.
    """

    def __init__(
        self,
        fleet: Fleet,
        telemetry: Telemetry,
        probe: IncarnationProbe | None = None,
    ) -> None:
        self.fleet = fleet
        self.telemetry = telemetry
        self.probe = probe
        self.doubted_at: dict[UpstreamKey, float] = {}
        self.seen_at: dict[UpstreamKey, float] = {}
        self.questions: dict[UpstreamKey, Question] = {}
        self.checks: set[asyncio.Task[None]] = set()
        self.next_check_at: dict[UpstreamKey, float] = {}
        fleet.on_departed.append(self._on_departed)

    def _on_departed(self, upstream: Upstream) -> None:
        self.doubted_at.pop(upstream.key, None)
        self.seen_at.pop(upstream.key, None)
        self.next_check_at.pop(upstream.key, None)

    def on_sign(self, upstream: Upstream, sign: str) -> None:
        """Record a sign that an engine may have started anew."""
        key = upstream.key
        if self.probe is None or not self.fleet.is_registered(key):
            return
        if self._can_ask(upstream) and not self.is_doubted(upstream):
            logger.info(
                "engine is in doubt",
                extra={"upstream": upstream.name, "boot": upstream.boot, "sign": sign},
            )
        self.doubted_at[key] = asyncio.get_running_loop().time()

    def on_data(self, engine: Upstream) -> None:
        """Record data on a connection to an incarnation that is known."""
        if self._can_ask(engine) and self.fleet.is_registered(engine.key):
            self.seen_at[engine.key] = asyncio.get_running_loop().time()

    def _can_ask(self, upstream: Upstream) -> bool:
        """Return whether there is an answer that can be compared."""
        is_told = upstream.boot != UNTOLD_BOOT
        return self.probe is not None and upstream.role is not None and is_told

    def is_doubted(self, engine: Upstream) -> bool:
        """Return whether a sign of a restart has come since it was known to run."""
        doubted_at = self.doubted_at.get(engine.key)
        seen_at = self.seen_at.get(engine.key, -math.inf)
        return doubted_at is not None and seen_at <= doubted_at

    def may_differ(self, upstream: Upstream) -> bool:
        """Return whether another incarnation may answer than is registered."""
        return not self.fleet.in_sync or self.is_doubted(upstream)

    def is_certain(self, engine: Upstream, since: float = math.inf) -> bool:
        """Return whether an engine is known to be the registered incarnation.

        :param since: what was seen of it from then on counts; a point in time.
        """
        if not self._can_ask(engine) or self.has_seen(engine, since):
            return True
        return self.fleet.in_sync and not self.is_doubted(engine)

    def has_seen(self, engine: Upstream, since: float) -> bool:
        """Return whether an incarnation was known to run, without a sign since then.

        :param since: a point in time.
        """
        seen_at = self.seen_at.get(engine.key, -math.inf)
        return seen_at >= since and not self.is_doubted(engine)

    async def identify(self, engine: Upstream, since: float) -> Upstream | None:
        """Return the incarnation that has answered under an engine's name.

        :param engine: as it was registered when the request was sent.
        :param since: when the request was sent or its reply began; a question that was
            sent earlier does not tell who has answered. A point in time.
        :returns: ``None`` if it is not known.
        """
        for _ in range(MAX_QUESTIONS):
            known = self.fleet.registered(engine.name) or engine
            if self.is_certain(known, since):
                return known
            boot, asked_at = await self._ask(known, since)
            if boot is None:
                return None
            self.fleet.on_answered_as(known, boot)
            now_known = self.fleet.registered(engine.name)
            if now_known is not None and now_known.boot != boot:
                # Another registration has arrived meanwhile.
                continue
            found = now_known or known
            if found.boot != boot:
                return None
            if self.fleet.is_registered(found.key):
                seen_at = self.seen_at.get(found.key, -math.inf)
                self.seen_at[found.key] = max(asked_at, seen_at)
            if not self.is_doubted(found):
                return found
        return None

    def check(self, engine: Upstream) -> None:
        """Ask an engine in doubt in the background, as it goes on with a stream."""
        now = asyncio.get_running_loop().time()
        if now < self.next_check_at.get(engine.key, -math.inf):
            return
        if self.is_certain(engine) or not self.fleet.is_registered(engine.key):
            return
        self.next_check_at[engine.key] = now + CHECK_SECONDS
        task = asyncio.create_task(self._check(engine, now))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)

    async def _check(self, engine: Upstream, now: float) -> None:
        await self.identify(engine, now)

    def on_leaving(self, upstream: Upstream, sent_at: float) -> None:
        """Find out which incarnation has said that it leaves, if that is in doubt.

        :param sent_at: when its request was sent; a point in time.
        """
        if not self.is_certain(upstream, sent_at):
            task = asyncio.create_task(self._attribute_leaving(upstream, sent_at))
            self.checks.add(task)
            task.add_done_callback(self.checks.discard)

    async def _attribute_leaving(self, upstream: Upstream, sent_at: float) -> None:
        found = await self.identify(upstream, sent_at)
        if found is not None and found.boot != upstream.boot:
            self.fleet.on_leaving(found)

    async def _ask(self, engine: Upstream, since: float) -> tuple[str | None, float]:
        """Return the boot that an engine tells, and when it was asked.

        One question serves all requests that were sent before it.
        """
        key = engine.key
        question = self.questions.get(key)
        valid_from = max(since, self.doubted_at.get(key, -math.inf))
        if question is None or question.sent_at < valid_from:
            now = asyncio.get_running_loop().time()
            question = Question(now, asyncio.create_task(self._question(engine, now)))
            self.questions[key] = question
        # Others may wait for the same answer: it must outlast a request that ends.
        return await asyncio.shield(question.task), question.sent_at

    async def _question(self, engine: Upstream, sent_at: float) -> str | None:
        assert self.probe is not None
        boot = None
        try:
            boot = await self.probe.boot(engine)
        finally:
            question = self.questions.get(engine.key)
            if question is not None and question.sent_at == sent_at:
                del self.questions[engine.key]
        identity = Identity.UNKNOWN
        if boot is not None:
            differs = boot != engine.boot
            identity = Identity.DIFFERS if differs else Identity.CONFIRMED
        self.telemetry.on_identified(engine.group, identity.value)
        now = asyncio.get_running_loop().time()
        logger.info(
            "engine in doubt is asked",
            extra={
                "upstream": engine.name,
                "boot": engine.boot,
                "found": boot,
                "identity": identity.value,
                "in_sync": self.fleet.in_sync,
                "ms": round((now - sent_at) * 1e3, 1),
            },
        )
        return boot
