"""How long claims are kept, by leases that nobody renews."""

from __future__ import annotations

import asyncio

from ..ports import KeyValueService

RETENTION_SECONDS = 24 * 3600
"""A key that is replayed later than this may run again."""

LEASE_REUSE_SECONDS = 3600
"""How long new claims are put on the same lease."""

MAX_CLAIMS_PER_LEASE = 10_000
"""Claims on one lease: its end deletes them all at once."""


class RetentionLease:
    """The lease that an entry's new claims are attached to.

    A claim must outlive the entry that made it, so its lease is never renewed or
    revoked: it lapses by itself, the retention after the last claim put on it. No
    process has to clean up.

    :param kv: the key-value service.
    :param lease: its id; 0 before the first.
    """

    def __init__(self, kv: KeyValueService) -> None:
        self.kv = kv
        self.lease = 0
        self._used_until = 0.0
        self._claims = 0

    async def take(self, claims: int) -> int:
        """Return a lease for so many claims more.

        :raises PortError: if a new one is needed and not granted.
        """
        now = asyncio.get_running_loop().time()
        full = self._claims + claims > MAX_CLAIMS_PER_LEASE
        if not self.lease or full or now >= self._used_until:
            self.lease = await self.kv.grant_lease(
                RETENTION_SECONDS + LEASE_REUSE_SECONDS
            )
            self._used_until = now + LEASE_REUSE_SECONDS
            self._claims = 0
        self._claims += claims
        return self.lease

    def forget(self) -> None:
        """Use the present lease no more, for instance because it is gone."""
        self.lease = 0
