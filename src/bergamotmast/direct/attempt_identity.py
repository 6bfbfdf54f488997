"""The incarnation of the engine that one attempt of a stream runs at."""

from __future__ import annotations

import asyncio
import math

from .incarnations import Incarnations
from .model import Upstream
from .unregistered_builds import UNIDENTIFIED_BUILD

SETTLE_SECONDS = 0.1
"""Time after which data on a connection shows that its process still runs. What a
process sent before its end, and the end of its connections, have been received by then,
also where this process stood still meanwhile."""

MIN_WAIT_SECONDS = 0.01
"""Time after which data that was waited for has not been in a buffer. Behind a caller
that reads slowly, what a process sent before its end is read much later."""

VOUCHING_SECONDS = 0.5
"""Time in which an engine with other streams sends an event of one of them."""


class AttemptIdentity:
    """Which incarnation an attempt runs at, as far as it is known.

    A connection lives within one incarnation. Where the engine turns out to be another
    one than was registered when the request was sent, the connection may be to either;
    it is to the new one if data arrives after that, which buffers did not hold.

    :param placed: the engine as it was registered when the request was sent.
    :param engine: the incarnation; ``None`` while it is not known.
    :param sent_at: when the request was sent; a point in time.
    :param asked: whether it is known from more than the registration.
    :param candidate: the incarnation if the connection brings data later on.
    :param data_counts_from: from when on such data counts; a point in time.
    :param settled: whether the first event need not wait.
    :param lags: whether the caller has kept data waiting, so that what a process sent
        before its end may be read much later.
    :param question: runs before the first event has come; ``None`` without one.
    """

    def __init__(self, incarnations: Incarnations, placed: Upstream) -> None:
        self.incarnations = incarnations
        self.placed = placed
        self.engine: Upstream | None = None
        self.sent_at = math.inf
        self.asked = False
        self.candidate: Upstream | None = None
        self.data_counts_from = math.inf
        self.settled = False
        self.lags = False
        self.question: asyncio.Task[Upstream | None] | None = None

    @property
    def build(self) -> str:
        """Build at which the events of the attempt are made."""
        known = self.incarnations.fleet.incarnations
        if self.engine is not None:
            return known.build(self.engine.build)
        if self.candidate is None:
            return UNIDENTIFIED_BUILD
        # It is one of the two.
        builds = {known.build(e.build) for e in (self.placed, self.candidate)}
        return builds.pop() if len(builds) == 1 else UNIDENTIFIED_BUILD

    def ask_early(self, sent_at: float) -> None:
        """Ask the engine before the first event has come, which then need not wait.

        Where other streams bring data of the engine, they may vouch for it until then.

        :param sent_at: when the request was sent; a point in time.
        """
        now = asyncio.get_running_loop().time()
        if self.incarnations.is_certain(self.placed, now - VOUCHING_SECONDS):
            return
        identify = self.incarnations.identify(self.placed, sent_at)
        self.question = asyncio.create_task(identify)

    def close(self) -> None:
        """End the question if nothing waits for it."""
        if self.question is not None:
            self.question.cancel()

    async def settle(self, sent_at: float) -> None:
        """Find out who has answered, before the first event is forwarded.

        :param sent_at: when the request was sent; a point in time.
        """
        self.sent_at = sent_at
        if self.question is not None:
            found = await self.question
        else:
            found = await self.incarnations.identify(self.placed, sent_at)
        self.settled = True
        if found is not None and found.boot == self.placed.boot:
            self._set(found)
        elif found is not None:
            self._change_to(found)

    def on_data(self, asked_at: float, received_at: float) -> None:
        """Record data on the connection, which may tell the incarnation.

        :param asked_at: when it was asked for; a point in time.
        :param received_at: a point in time.
        """
        if not self.settled:
            return
        registered = self.incarnations.fleet.registered(self.placed.name)
        expected = self.engine or self.candidate or self.placed
        if registered is not None and registered.boot != expected.boot:
            self.engine = None
            self._change_to(registered)
        elif self.engine is not None:
            self._verify(self.engine)
        elif self.candidate is None:
            if self.incarnations.has_seen(self.placed, self.sent_at):
                self._set(self.placed)
            else:
                self.incarnations.check(self.placed)
        elif asked_at >= self.data_counts_from and not self.lags:
            if received_at >= asked_at + MIN_WAIT_SECONDS:
                self._set(self.candidate)

    def on_written(self, seconds: float) -> None:
        """Record how long a write to the caller took."""
        if seconds >= MIN_WAIT_SECONDS:
            self.lags = True

    def _verify(self, engine: Upstream) -> None:
        """Let the data vouch for an engine that was asked, or ask it."""
        if not self.asked:
            self.asked = self.incarnations.has_seen(engine, self.sent_at)
        if self.asked and not self.lags:
            self.incarnations.on_data(engine)
        else:
            self.incarnations.check(engine)

    def _set(self, engine: Upstream) -> None:
        self.engine = engine
        self.asked = self.incarnations.has_seen(engine, self.sent_at)

    def _change_to(self, engine: Upstream) -> None:
        now = asyncio.get_running_loop().time()
        self.candidate, self.data_counts_from = engine, now + SETTLE_SECONDS
