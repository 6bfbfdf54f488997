"""Which process plans: a lease in the key-value service, for liveness only.

The lease keeps two planners from getting in each other's way most of the time. It
proves nothing: its holder may be paused and wake after it lapsed. What keeps a former
holder from changing anything is the comparison in :mod:`.plan_store`.
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
"""Time to live: the fleet does without a planner for so long after its death."""

RENEWALS_PER_LEASE = 3
"""Two renewals in a row may fail before the lease lapses."""

FIRST_LOOK_SECONDS = 5.0
"""Within so long after the start, evenly drawn, a candidate first looks."""

LEAST_POLL_SECONDS = 5.0
MOST_POLL_SECONDS = 15.0
"""Between a candidate's looks at the holder, evenly drawn: 330 candidates make 33
reads a second, where as many waiting watches would count as 330 calls."""


def holder_never_known() -> bool:
    """Return ``False``, so that each attempt reads the holder's key."""
    return False


class Authority:
    """A candidate's share in the planner's lease.

    :param kv: the key-value service.
    :param planner: name of the candidate.
    :param rng: source of jitter and nonces.
    :param lease_seconds: time to live of the lease.
    :param first_look_seconds: bound of the first look's jitter.
    :param vacancy_spread_seconds: candidates that are told of a free lease look within
        so long, evenly drawn.
    :param holder_known: whether the holder's key is already known to exist, in which
        case an attempt makes no call to the service.
    :param lease: the lease held; 0 for none.
    :param lapses_at: until then the lease held can't have lapsed by itself; a point on
        the event loop's clock.
    """

    def __init__(
        self,
        kv: KeyValueService,
        planner: str,
        rng: random.Random,
        lease_seconds: int = LEASE_SECONDS,
        first_look_seconds: float = FIRST_LOOK_SECONDS,
        vacancy_spread_seconds: float = LEAST_POLL_SECONDS,
        holder_known: cabc.Callable[[], bool] = holder_never_known,
    ) -> None:
        self.kv = kv
        self.lease_seconds = lease_seconds
        self.first_look_seconds = first_look_seconds
        self.vacancy_spread_seconds = vacancy_spread_seconds
        self.holder_known = holder_known
        self.planner = planner
        self.rng = rng
        self.lease = 0
        self.lapses_at = 0.0
        self._vacant = asyncio.Event()

    @property
    def in_force(self) -> bool:
        """Whether the lease held can't have lapsed by itself yet."""
        return self.lease != 0 and asyncio.get_running_loop().time() < self.lapses_at

    async def acquire(self) -> None:
        """Wait until this candidate holds the lease.

        The first look is jittered too: candidates that start together, or that wait
        out the same outage, would otherwise all write in one moment.
        """
        pause = self.rng.uniform(0.0, self.first_look_seconds)
        while True:
            await self._wait(pause)
            try:
                if await self._try():
                    return
            except PortError:
                await self._drop()
            except asyncio.CancelledError:
                # Told to end with a lease granted and not yet its holder: left behind,
                # the lease would keep all others from planning until it lapses.
                await self._drop()
                raise
            pause = self.rng.uniform(LEAST_POLL_SECONDS, MOST_POLL_SECONDS)

    def on_vacant(self) -> None:
        """Learn that nobody holds the lease: a candidate then looks soon."""
        self._vacant.set()

    async def _wait(self, seconds: float) -> None:
        """Sleep, but not on while the lease is known to be free."""
        try:
            async with asyncio.timeout(seconds):
                await self._vacant.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self.rng.uniform(0.0, self.vacancy_spread_seconds))

    async def hold(self) -> None:
        """Renew the lease and return when it has lapsed."""
        loop = asyncio.get_running_loop()
        renewal = self.lease_seconds / RENEWALS_PER_LEASE
        backoff = Backoff(self.rng, longest=renewal)
        while self.in_force:
            sent_at = loop.time()
            try:
                if not await self.kv.keep_alive(self.lease):
                    break
            except PortError:
                await asyncio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            self.lapses_at = sent_at + self.lease_seconds
            await asyncio.sleep(renewal)
        self.lease = 0

    async def while_held(self, *work: cabc.Coroutine[object, object, None]) -> None:
        """Do some work until the lease lapses, or one of it ends or fails."""
        tasks = [asyncio.create_task(part) for part in (self.hold(), *work)]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def release(self) -> None:
        """Give the lease up, so that another candidate need not wait for its end."""
        await self._drop()

    async def _try(self) -> bool:
        # Cleared before the read: a vacancy reported during it triggers a retry.
        self._vacant.clear()
        if self.holder_known() or await self.kv.get(HOLDER_KEY) is not None:
            return False
        # From before the call: a process that is paused as the reply comes in would
        # otherwise count the lease from its awakening and hold it after its end.
        asked_at = asyncio.get_running_loop().time()
        self.lease = await self.kv.grant_lease(self.lease_seconds)
        self.lapses_at = asked_at + self.lease_seconds
        value = f"{self.planner} {self.rng.getrandbits(64):016x}".encode()
        put = Put(HOLDER_KEY, value, self.lease)
        try:
            result = await self.kv.txn([Compare(HOLDER_KEY, 0)], [put])
        except KeyValueOutcomeUnknownError:
            holder = await self.kv.get(HOLDER_KEY)
            held = holder is not None and holder.value == value
        else:
            held = result.succeeded
        if not held:
            await self._drop()
        return held

    async def _drop(self) -> None:
        lease, self.lease = self.lease, 0
        if not lease:
            return
        try:
            await self.kv.revoke_lease(lease)
        except PortError:
            return
