"""Trials: runs of requests that may have crashed upstreams, apart from each other.

Two suspects on the same upstream would both be lost in its crash, and the harmless one
would be taken for the harmful one. A claim in the store gives each suspect an upstream
without another one, and keeps a second try of it from running meanwhile.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging

from ..errors import PortError
from ..ports import Compare
from ..ports import KeyValueService
from ..ports import Put
from .model import Incarnation

logger = logging.getLogger(__name__)

TRIALS_PREFIX = "/bergamotmast/trials/"

MAX_CLAIMED_PARTS = 16
"""Maximum number of parts of a prompt that are claimed in one call to the store."""

CLAIM_LEASE_SECONDS = 10
"""Time to live of a claim, after which those of an entry that was killed lapse."""

CLAIM_TIMEOUT_SECONDS = 0.5
"""Time limit for a claim. The caller waits for it: without the store, the entry goes by
its own claims alone."""


class Trials:
    """Claims of this entry, in the store where it can be reached.

    :param name: name of this entry.
    :param kv: the store; ``None`` to go by this entry's claims alone.
    :param claimed: keys that this entry has claimed.
    :param releasing: running releases.
    """

    def __init__(self, name: str, kv: KeyValueService | None = None) -> None:
        self.name = name
        self.kv = kv
        self.claimed: set[str] = set()
        self.releasing: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def claim(
        self, fingerprint: str, upstream: Incarnation, parts: cabc.Sequence[str] = ()
    ) -> cabc.AsyncIterator[bool]:
        """Claim an upstream for a suspect's run during an ``async with`` block.

        The block receives ``False`` if another suspect, or another try of this one, has
        the claim.

        :param parts: suspected parts of the request's prompt.
        """
        keys = (
            f"{TRIALS_PREFIX}upstream/{upstream.crash_id}",
            f"{TRIALS_PREFIX}request/{fingerprint}",
            *(f"{TRIALS_PREFIX}part/{part}" for part in parts[:MAX_CLAIMED_PARTS]),
        )
        if self.claimed.intersection(keys):
            yield False
            return
        self.claimed.update(keys)
        lease = 0
        try:
            lease, granted = await self._claim_in_store(keys)
            logger.info(
                "trial begins" if granted else "trial has to wait",
                extra={
                    "fingerprint": fingerprint,
                    "upstream": upstream.name,
                    "parts": list(parts),
                },
            )
            yield granted
        finally:
            self.claimed.difference_update(keys)
            self._release_soon(lease)

    async def _claim_in_store(self, keys: tuple[str, ...]) -> tuple[int, bool]:
        """Return the lease, 0 for none, and whether the claim was granted."""
        if self.kv is None:
            return 0, True
        lease = 0
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                lease = await self.kv.grant_lease(CLAIM_LEASE_SECONDS)
                result = await self.kv.txn(
                    [Compare(key, 0) for key in keys],
                    [Put(key, self.name.encode(), lease) for key in keys],
                )
        except (PortError, TimeoutError) as error:
            logger.info("trial is not claimed", extra={"error": str(error)})
            return lease, True
        except asyncio.CancelledError:
            self._release_soon(lease)
            raise
        return lease, result.succeeded

    def _release_soon(self, lease: int) -> None:
        """Release a claim in the background, as the request must not wait for it."""
        if lease and self.kv is not None:
            task = asyncio.create_task(self._release(self.kv, lease))
            self.releasing.add(task)
            task.add_done_callback(self.releasing.discard)

    async def _release(self, kv: KeyValueService, lease: int) -> None:
        try:
            await kv.revoke_lease(lease)
        except PortError as error:
            logger.info("trial is not released", extra={"error": error.message})
