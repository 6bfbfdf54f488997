"""What the run of a request asks of the entry that it belongs to."""

from __future__ import annotations

import random
import typing as t

from ..model import ModelCall
from ..model import ServiceAnswer
from ..model import ServiceCall
from ..policy import Candidate
from ..policy import EntryPolicy
from .membership import Membership
from .peer import Peer


class Claims(t.Protocol):
    """Claims of calls that run at most once, kept in the key-value service."""

    async def claim(self, key: str, digest: bytes) -> ServiceAnswer | None:
        """Claim a key; an earlier call's answer where it is kept.

        :raises RequestError: ``CLAIM_UNAVAILABLE``, ``CLAIM_HELD``, ``ALREADY_RAN``
            or ``KEY_MISMATCH``.
        """
        ...

    async def complete(self, key: str, answer: ServiceAnswer) -> None:
        """Keep the answer of a claimed call."""
        ...

    async def release(self, key: str) -> None:
        """Give a claim back whose call was truly not run."""
        ...


class RunsEntry(t.Protocol):
    """An entry as its runs see it."""

    policy: EntryPolicy
    claims: Claims
    rng: random.Random
    membership: Membership

    def candidates(self, call: ModelCall | ServiceCall) -> list[Candidate]:
        """Return the upstreams that may be offered a call now."""
        ...

    def reconnecting(self, call: ModelCall | ServiceCall) -> bool:
        """Return whether an upstream for a call may have a session again soon."""
        ...

    def peer(self, name: str) -> Peer:
        """Return the peer of an upstream that was a candidate."""
        ...

    def new_attempt_name(self) -> str:
        """Return a name unique over the life of the system."""
        ...

    def tenant_weight(self, tenant: str) -> float:
        """Return a tenant's weight in the configuration in force."""
        ...
