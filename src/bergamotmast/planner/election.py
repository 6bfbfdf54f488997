"""Leader election of the planner by a lease in the key-value service.

The lease provides liveness, not safety: it usually prevents two processes from
planning at once, but a holder that was paused may resume after its lease has expired.
The compare-and-swap in :mod:`.plan_store` is what fences a former holder off.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import random

from ..backoff import Backoff
from ..errors import KeyValueOutcomeUnknownError
from ..errors import PortError
from ..ports import Compare
from ..ports import KeyValueService
from ..ports import Put
from ..protocol.plan import HOLDER_KEY

LEASE_SECONDS = 10
"""Time to live of the lease: no planner runs for this long after one has crashed."""

RENEWALS_PER_LEASE = 3
"""Two consecutive renewals may fail before the lease expires."""

FIRST_POLL_SPREAD_SECONDS = 5.0
"""Upper bound of the uniform delay before a candidate's first poll."""

MIN_POLL_SECONDS = 5.0
MAX_POLL_SECONDS = 15.0
"""Bounds of the uniform interval between two polls of the holder's key.

330 candidates make 33 reads a second; as many open watches would count as 330 calls.
"""


def assume_no_holder() -> bool:
    """Return ``False``, so that every attempt reads the holder's key."""
    return False


async def run_until_first_ends(*work: cabc.Coroutine[object, object, None]) -> None:
    """Run coroutines until one of them ends or fails, and cancel the others."""
    tasks = [asyncio.create_task(coro) for coro in work]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class PlannerElection:
    """One candidate in the election of the planner.

    :param kv: the key-value service.
    :param planner: name of the candidate.
    :param rng: source of jitter and nonces.
    :param lease_seconds: time to live of the lease, in seconds.
    :param first_poll_spread_seconds: upper bound of the delay before the first poll, in
        seconds.
    :param vacancy_poll_spread_seconds: upper bound of the delay between the
        notification that the lease is free and the next poll, in seconds.
    :param holder_known: whether the holder's key is already known to exist, in which
        case an attempt makes no call to the service.
    :param lease: id of the lease held; 0 for none.
    :param lease_expires_at: time on the event loop's clock before which the lease
        held can't have expired.
    """

    def __init__(
        self,
        kv: KeyValueService,
        planner: str,
        rng: random.Random,
        lease_seconds: int = LEASE_SECONDS,
        first_poll_spread_seconds: float = FIRST_POLL_SPREAD_SECONDS,
        vacancy_poll_spread_seconds: float = MIN_POLL_SECONDS,
        holder_known: cabc.Callable[[], bool] = assume_no_holder,
    ) -> None:
        self.kv = kv
        self.lease_seconds = lease_seconds
        self.first_poll_spread_seconds = first_poll_spread_seconds
        self.vacancy_poll_spread_seconds = vacancy_poll_spread_seconds
        self.holder_known = holder_known
        self.planner = planner
        self.rng = rng
        self.lease = 0
        self.lease_expires_at = 0.0
        self._vacant = asyncio.Event()

    @property
    def lease_is_valid(self) -> bool:
        """Whether a lease is held that can't have expired yet."""
        return (
            self.lease != 0
            and asyncio.get_running_loop().time() < self.lease_expires_at
        )

    async def acquire(self) -> None:
        """Wait until this candidate holds the lease.

        The first poll is jittered too: candidates that start together, or that wait
        for the end of the same outage, would otherwise all write at once.
        """
        pause = self.rng.uniform(0.0, self.first_poll_spread_seconds)
        while True:
            await self._wait_for_vacancy(pause)
            try:
                if await self._try_acquire():
                    return
            except PortError:
                await self._revoke()
            except asyncio.CancelledError:
                # The candidate may be cancelled between the grant of its lease and its
                # election. If the lease were left behind, nobody else could plan until
                # it expires.
                await self._revoke()
                raise
            pause = self.rng.uniform(MIN_POLL_SECONDS, MAX_POLL_SECONDS)

    def on_vacant(self) -> None:
        """Schedule an early poll, because nobody holds the lease."""
        self._vacant.set()

    async def _wait_for_vacancy(self, seconds: float) -> None:
        """Sleep, or only until shortly after the lease is known to be free."""
        try:
            async with asyncio.timeout(seconds):
                await self._vacant.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self.rng.uniform(0.0, self.vacancy_poll_spread_seconds))

    async def hold(self) -> None:
        """Renew the lease until it is lost or may have expired."""
        loop = asyncio.get_running_loop()
        renewal = self.lease_seconds / RENEWALS_PER_LEASE
        backoff = Backoff(self.rng, maximum=renewal)
        while self.lease_is_valid:
            sent_at = loop.time()
            try:
                if not await self.kv.keep_alive(self.lease):
                    break
            except PortError:
                await asyncio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            self.lease_expires_at = sent_at + self.lease_seconds
            await asyncio.sleep(renewal)
        self.lease = 0

    async def run_while_held(self, *work: cabc.Coroutine[object, object, None]) -> None:
        """Run coroutines until the lease is lost or one of them ends or fails."""
        await run_until_first_ends(self.hold(), *work)

    async def release(self) -> None:
        """Revoke the lease, so that others needn't wait until it expires."""
        await self._revoke()

    async def _try_acquire(self) -> bool:
        # Cleared before the read, so that a vacancy reported during it triggers
        # another attempt.
        self._vacant.clear()
        if self.holder_known() or await self.kv.get(HOLDER_KEY) is not None:
            return False
        # Taken before the call: a process paused while the reply arrives would
        # otherwise count the lease from when it resumes, and consider itself the
        # holder after the lease has expired.
        requested_at = asyncio.get_running_loop().time()
        self.lease = await self.kv.grant_lease(self.lease_seconds)
        self.lease_expires_at = requested_at + self.lease_seconds
        value = f"{self.planner} {self.rng.getrandbits(64):016x}".encode()
        put = Put(HOLDER_KEY, value, self.lease)
        try:
            result = await self.kv.txn([Compare(HOLDER_KEY, 0)], [put])
        except KeyValueOutcomeUnknownError:
            holder = await self.kv.get(HOLDER_KEY)
            elected = holder is not None and holder.value == value
        else:
            elected = result.succeeded
        if not elected:
            await self._revoke()
        return elected

    async def _revoke(self) -> None:
        lease, self.lease = self.lease, 0
        if not lease:
            return
        try:
            await self.kv.revoke_lease(lease)
        except PortError:
            return
