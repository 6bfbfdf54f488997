"""Retention of claims by leases that are never renewed."""

from __future__ import annotations

import asyncio

from ..ports import KeyValueService

RETENTION_SECONDS = 24 * 3600
"""Minimum retention of a claim; a call replayed later than this may run again."""

LEASE_REUSE_SECONDS = 3600
"""Time for which new claims are attached to the same lease."""

MAX_CLAIMS_PER_LEASE = 10_000
"""Maximum number of claims on one lease; its expiry deletes them all at once."""


class RetentionLease:
    """Lease that an entry's new claims are attached to.

    A claim must outlive the entry that made it. Its lease is therefore never renewed
    or revoked: it expires by itself, at the earliest :data:`RETENTION_SECONDS` after
    the last claim was attached. No process has to clean up.

    :param kv: the key-value service.
    :param lease: id of the current lease; 0 before the first.
    """

    def __init__(self, kv: KeyValueService) -> None:
        self.kv = kv
        self.lease = 0
        self._used_until = 0.0
        self._claims = 0

    async def take(self, claims: int) -> int:
        """Return the id of a lease that a number of new claims may be attached to.

        :param claims: number of new claims.
        :raises PortError: if a new lease is needed and not granted.
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
        """Stop using the current lease, for instance because it no longer exists."""
        self.lease = 0
