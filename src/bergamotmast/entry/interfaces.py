"""Interfaces between an entry and the runs of its requests."""

from __future__ import annotations

import random
import typing as t

from ..crashes.quarantine import Quarantine
from ..model import ModelCall
from ..model import ServiceAnswer
from ..model import ServiceCall
from ..policy import Candidate
from ..policy import EntryPolicy
from .membership import Membership
from .peer import Peer


class Claims(t.Protocol):
    """Claims on idempotency keys, stored in the key-value service.

    A call that must run at most once runs only while its entry holds the claim on the
    key.
    """

    async def claim(self, key: str, digest: bytes) -> ServiceAnswer | None:
        """Claim a key, or return the stored answer of the earlier call with that key.

        :param key: identifies the call: tenant, route and idempotency key.
        :param digest: of the request; a key may not be reused for another request.
        :returns: ``None`` if the claim was granted and the call may run.
        :raises RequestError: ``CLAIM_UNAVAILABLE``, ``CLAIM_HELD``, ``ALREADY_RAN``
            or ``KEY_MISMATCH``.
        """
        ...

    async def complete(self, key: str, answer: ServiceAnswer) -> None:
        """Store the answer of a claimed call, for replays of its key."""
        ...

    async def release(self, key: str) -> None:
        """Release the claim of a call that certainly did not run."""
        ...


class EntryContext(t.Protocol):
    """The parts of an entry that the run of one request uses."""

    policy: EntryPolicy
    claims: Claims
    rng: random.Random
    membership: Membership
    quarantine: Quarantine

    def candidates(self, call: ModelCall | ServiceCall) -> list[Candidate]:
        """Return the upstreams that a call may be offered to now."""
        ...

    def has_reconnecting_upstream(self, call: ModelCall | ServiceCall) -> bool:
        """Return whether an upstream for a call lost its session just now."""
        ...

    def peer(self, name: str) -> Peer:
        """Return the connection to an upstream that was a candidate."""
        ...

    def new_attempt_name(self) -> str:
        """Return a name for an attempt, unique over the life of the system."""
        ...

    def tenant_weight(self, tenant: str) -> float:
        """Return a tenant's fair-queueing weight; 1.0 if none is configured."""
        ...
