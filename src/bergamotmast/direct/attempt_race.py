"""Concurrent attempts of one stream: another one beside each that falls silent.

An engine may be silent because it is dead, because it has no memory left for the
request for a while, or for no lasting reason. Its attempt is only given up once another
engine has gone on with the response: that one may refuse the request or be as slow.

A stream begins with one contender, an attempt together with the choice of its engine.
When the newest one falls silent, another one starts. As soon as one of them has the
next event for the caller, it is the only one left: the others are withdrawn. If all
have failed, another one starts.
"""

from __future__ import annotations

import asyncio
import logging
import math
import typing as t

from ..errors import RequestError
from .attempt_tasks import cancel_all
from .attempt_tasks import outcomes
from .decode_attempt import STALL_TIMEOUT_SECONDS
from .decode_attempt import DecodeAttempt
from .exported_cache import ExportedCache
from .liveness import WATCHDOG_INTERVAL_SECONDS
from .model import Upstream
from .stream import Stream

logger = logging.getLogger(__name__)


WITHDRAWAL_BACKOFF = 4.0
"""Factor by which the time until the next attempt beside a silent engine grows with
each one that was withdrawn."""


class EngineChoice(t.Protocol):
    """Chooses the engine of a stream's next attempt."""

    async def choose(self, cache: ExportedCache) -> Upstream:
        """Return a decode engine, after a prefill at another engine if it needs one.

        :param cache: receives the KV cache that the prefill engine has exported.
        :raises RequestError: if there is none.
        """
        ...


class Contender:
    """One attempt of a stream, from the choice of its engine.

    :param decode: ``None`` until the engine has been chosen.
    """

    def __init__(self, race: AttemptRace) -> None:
        self.race = race
        self.decode: DecodeAttempt | None = None
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> int | None:
        cache = ExportedCache(self.race.stream.context)
        try:
            while True:
                upstream = await self.race.engine_choice.choose(cache)
                decode = DecodeAttempt(self.race.stream, upstream, cache, self.race)
                self.decode = decode
                status = await decode.run()
                # An engine that was not reached has left the KV cache for another one.
                if status is not None or not cache:
                    return status
        finally:
            cache.release()


class AttemptRace:
    """Runs the attempts of one stream until one of them has completed the response.

    :param contenders: running attempts, oldest first.
    :param withdrawn: attempts that were cancelled for another one.
    :param withdrawals: how many of them were started beside one that then went on.
    :param paused_until: when the next attempt may start beside a silent one, after
        others were of no use; a point in time.
    """

    def __init__(self, stream: Stream, engine_choice: EngineChoice) -> None:
        self.stream = stream
        self.engine_choice = engine_choice
        self.contenders: list[Contender] = []
        self.withdrawn: list[Contender] = []
        self.withdrawals = 0
        self.paused_until = -math.inf

    async def run(self) -> int:
        """Return the response's status.

        :raises RequestError: if the last attempt failed and no other is allowed.
        """
        watch = asyncio.create_task(self._watch())
        try:
            while True:
                if not self.contenders:
                    self.contenders.append(Contender(self))
                tasks = [contender.task for contender in self.contenders]
                await asyncio.wait({watch, *tasks}, return_when=asyncio.FIRST_COMPLETED)
                if watch.done():
                    self._replace(watch.result())
                    watch = asyncio.create_task(self._watch())
                status = self._collect_results()
                if status is not None:
                    return status
        finally:
            tasks = [c.task for c in (*self.contenders, *self.withdrawn)]
            await cancel_all(watch, *tasks)

    def on_progress(self, decode: DecodeAttempt) -> None:
        """Withdraw the other attempts, as this one goes on with the response.

        Two engines must not run the request for longer than it takes to cancel one.
        """
        if not self.contested:
            return
        others = [c for c in self.contenders if c.decode is not decode]
        if self.leads(decode):
            # An engine that falls silent again and again would use up the budget.
            now = asyncio.get_running_loop().time()
            pause = STALL_TIMEOUT_SECONDS * WITHDRAWAL_BACKOFF**self.withdrawals
            self.paused_until = now + pause
            self.withdrawals += 1
        for contender in others:
            contender.task.cancel()
            if contender.decode is not None and not contender.decode.finished:
                contender.decode.on_overtaken(decode)
        self.contenders = [c for c in self.contenders if c.decode is decode]
        self.withdrawn += others
        self.stream.timeline.upstream = decode.upstream.name

    @property
    def contested(self) -> bool:
        """Whether several attempts are running."""
        return len(self.contenders) > 1

    def leads(self, decode: DecodeAttempt) -> bool:
        """Return whether no other running attempt started before this one."""
        return self.contenders[0].decode is decode

    def _collect_results(self) -> int | None:
        """Return the response's status, or ``None`` if attempts run or may be started.

        :raises RequestError: if the last attempt failed and no other is allowed.
        """
        ended = [c.task for c in self.contenders if c.task.done()]
        self.contenders = [c for c in self.contenders if not c.task.done()]
        results, errors = outcomes(ended)
        for status in results:
            if status is not None:
                return status
        if errors and not self.contenders and not results:
            raise errors[0]
        for error in errors:
            self._log_refused(error)
        return None

    def _log_refused(self, error: BaseException) -> None:
        """Log the error of an attempt beside another one, which is waited for."""
        now = asyncio.get_running_loop().time()
        self.paused_until = now + STALL_TIMEOUT_SECONDS
        if isinstance(error, RequestError):
            logger.info(
                "silent engine is waited for", extra={"obstacle": error.message}
            )
        else:
            logger.error("attempt failed", exc_info=error)

    @property
    def newest(self) -> DecodeAttempt | None:
        """The attempt started last; ``None`` before it is sent or after its end."""
        decode = self.contenders[-1].decode if self.contenders else None
        return None if decode is None or decode.finished else decode

    async def _watch(self) -> DecodeAttempt:
        """Return the newest attempt once it has fallen silent."""
        while True:
            await asyncio.sleep(WATCHDOG_INTERVAL_SECONDS)
            newest = self.newest
            if asyncio.get_running_loop().time() < self.paused_until:
                continue
            if newest is None:
                continue
            try:
                if await newest.needs_replacement():
                    return newest
            except Exception:
                # The stream can still be answered by the engine that it waits for.
                logger.exception("silent engine can't be checked")

    def _replace(self, silent: DecodeAttempt) -> None:
        """Start another attempt beside a silent one, unless it has ended meanwhile."""
        if self.newest is silent:
            silent.on_replaced()
            self.contenders.append(Contender(self))
