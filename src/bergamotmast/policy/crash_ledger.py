"""Judgement of requests by the crashes of upstreams that ran them.

Load pattern: one request crashes each upstream that runs it. Its caller sends it again
and again, at any entry, and everything that ran beside it is lost with it and comes
again as well.

Without it: the request takes one upstream after another out of its group, as nothing
links a caller's tries, and the group never recovers.

Thresholds: a request is harmful after :data:`MAX_CRASHES` crashes. Most requests that
are lost with an upstream are harmless, and some of them are lost twice, as they are
sent again at once and meet the harmful one again. So a request that was lost in
:data:`TRIAL_CRASHES` crashes is on trial: it runs apart from all others that are, and
the next crash or answer decides. An answer clears a request of all crashes.
"""

from __future__ import annotations

import dataclasses
import enum

MAX_CRASHES = 3
"""Number of crashes after which a request is not run again."""

TRIAL_CRASHES = 2
"""Number of crashes from which on a request runs apart from others like it."""

SUSPECT_RETENTION_SECONDS = 600.0
"""How long crashes of a request that does not come again are remembered."""

HARMFUL_RETENTION_SECONDS = 3_600.0
"""The same for a harmful request: forgetting it costs three more crashes."""

MAX_REQUESTS = 4_096
"""Maximum number of requests in a ledger, which take less than 4 MB."""

EVICTED_SHARE = 0.1
"""Share of the requests that is evicted when a ledger is full."""


class Verdict(enum.Enum):
    """What the crashes say of a request."""

    HARMLESS = "harmless"
    ON_TRIAL = "on trial"
    HARMFUL = "harmful"


def verdict_of(crashes: int) -> Verdict:
    """Return the verdict on a request that was lost in a number of crashes."""
    if crashes >= MAX_CRASHES:
        return Verdict.HARMFUL
    return Verdict.ON_TRIAL if crashes >= TRIAL_CRASHES else Verdict.HARMLESS


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crashes of upstreams that ran one request.

    :param seen_at: when the request last came or crashed an upstream; a point in time.
    :param crashes: ids of the crashes.
    """

    seen_at: float
    crashes: set[str] = dataclasses.field(default_factory=set)

    @property
    def verdict(self) -> Verdict:
        """The verdict on the request."""
        return verdict_of(len(self.crashes))

    @property
    def expires_at(self) -> float:
        """When the record is forgotten if the request does not come again."""
        harmful = self.verdict is Verdict.HARMFUL
        seconds = HARMFUL_RETENTION_SECONDS if harmful else SUSPECT_RETENTION_SECONDS
        return self.seen_at + seconds


class CrashLedger:
    """Crashes by the fingerprint of the request; points in time are the caller's.

    :param records: records by fingerprint.
    """

    def __init__(self) -> None:
        self.records: dict[str, CrashRecord] = {}

    def __bool__(self) -> bool:
        """Return whether any request was lost in a crash."""
        return bool(self.records)

    def crashes(self, fingerprint: str) -> frozenset[str]:
        """Return the ids of the crashes in which a request was lost."""
        record = self.records.get(fingerprint)
        return frozenset() if record is None else frozenset(record.crashes)

    def add(self, fingerprint: str, crash: str, now: float) -> bool:
        """Add a crash to a request's record; return whether it was new."""
        record = self.records.setdefault(fingerprint, CrashRecord(now))
        record.seen_at = now
        if crash in record.crashes:
            return False
        record.crashes.add(crash)
        return True

    def withdraw(self, fingerprint: str, crash: str) -> None:
        """Remove one crash from a request's record."""
        record = self.records.get(fingerprint)
        if record is None:
            return
        record.crashes.discard(crash)
        if not record.crashes:
            del self.records[fingerprint]

    def clear(self, fingerprint: str) -> None:
        """Forget all crashes of a request."""
        self.records.pop(fingerprint, None)

    def touch(self, fingerprint: str, now: float) -> None:
        """Record that a request has come again."""
        record = self.records.get(fingerprint)
        if record is not None:
            record.seen_at = now

    def expired(self, now: float) -> list[str]:
        """Return the requests that are to be forgotten.

        If the ledger is full, these include the ones with the fewest crashes that have
        not come for longest.
        """
        found = [f for f, r in self.records.items() if now >= r.expires_at]
        if len(self.records) - len(found) <= MAX_REQUESTS:
            return found
        kept = self.records.keys() - set(found)

        def importance(fingerprint: str) -> tuple[int, float]:
            record = self.records[fingerprint]
            return len(record.crashes), record.seen_at

        excess = len(kept) - int(MAX_REQUESTS * (1 - EVICTED_SHARE))
        return found + sorted(kept, key=importance)[:excess]

    def count(self, verdict: Verdict) -> int:
        """Return the number of requests with a verdict."""
        return sum(record.verdict is verdict for record in self.records.values())
