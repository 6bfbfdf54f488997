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

A harmless request that comes as often as a harmful one is lost beside it every time. So
a crash counts for the request with the most crashes that was lost in it: a request is
harmful only if it has a crash that no other harmful request explains, and stays on
trial otherwise.

Crashes that a harmful part of prompts explains never count against a request, those of
a part on trial only up to the third crash: parts of the prompts lost beside a harmful
request come on trial one after the other, and it would be run until none is left.
"""

from __future__ import annotations

import collections.abc as cabc
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


def harmful_requests(
    crashes: cabc.Mapping[str, cabc.Collection[str]],
    explained_by_parts: cabc.Collection[str] = (),
    caused_by_parts: cabc.Collection[str] = (),
) -> frozenset[str]:
    """Return the requests that are harmful; the same for the same crashes.

    If two requests were lost in the same crashes, one of them counts as harmful and the
    other stays on trial. Its next crash or answer shows which of them is the harmful
    one.

    :param crashes: ids of the crashes in which each request was lost.
    :param explained_by_parts: ids of the crashes that harmful parts of prompts explain,
        which requests without those parts are lost in as well.
    :param caused_by_parts: these, and the crashes of parts on trial.
    """
    others = {
        f: set(ids).difference(
            caused_by_parts if len(ids) <= MAX_CRASHES else explained_by_parts
        )
        for f, ids in crashes.items()
    }
    suspects = [
        f
        for f, ids in crashes.items()
        if len(ids) >= MAX_CRASHES and len(others[f]) >= TRIAL_CRASHES
    ]
    found: set[str] = set()
    explained: set[str] = set()
    for suspect in sorted(suspects, key=lambda f: (-len(crashes[f]), f)):
        if not explained.issuperset(others[suspect]):
            found.add(suspect)
            explained.update(crashes[suspect])
    return frozenset(found)


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crashes of upstreams that ran one request.

    :param seen_at: when the request last came or crashed an upstream; a point in time.
    :param crashes: ids of the crashes.
    """

    seen_at: float
    crashes: set[str] = dataclasses.field(default_factory=set)

    @property
    def expires_at(self) -> float:
        """When the record is forgotten if the request does not come again."""
        harmful = len(self.crashes) >= MAX_CRASHES
        seconds = HARMFUL_RETENTION_SECONDS if harmful else SUSPECT_RETENTION_SECONDS
        return self.seen_at + seconds


class CrashLedger:
    """Crashes by the fingerprint of the request; points in time are the caller's.

    :param records: records by fingerprint.
    :param harmful: the harmful requests.
    :param explained_by_parts: ids of the crashes that harmful parts of prompts explain.
    :param caused_by_parts: these, and the crashes of parts on trial.
    """

    def __init__(self) -> None:
        self.records: dict[str, CrashRecord] = {}
        self.harmful: frozenset[str] = frozenset()
        self.explained_by_parts: frozenset[str] = frozenset()
        self.caused_by_parts: frozenset[str] = frozenset()

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
        if len(record.crashes) >= MAX_CRASHES:
            self._judge()
        return True

    def withdraw(self, fingerprint: str, crash: str) -> None:
        """Remove one crash from a request's record."""
        record = self.records.get(fingerprint)
        if record is None:
            return
        judged = len(record.crashes) >= MAX_CRASHES
        record.crashes.discard(crash)
        if not record.crashes:
            del self.records[fingerprint]
        if judged:
            self._judge()

    def clear(self, fingerprint: str) -> None:
        """Forget all crashes of a request."""
        record = self.records.pop(fingerprint, None)
        if record is not None and len(record.crashes) >= MAX_CRASHES:
            self._judge()

    def verdict(self, fingerprint: str) -> Verdict:
        """Return the verdict on a request."""
        if fingerprint in self.harmful:
            return Verdict.HARMFUL
        crashes = self.crashes(fingerprint) - self.explained_by_parts
        on_trial = len(crashes) >= TRIAL_CRASHES
        return Verdict.ON_TRIAL if on_trial else Verdict.HARMLESS

    def explain(self, explained: frozenset[str], caused: frozenset[str]) -> None:
        """Judge anew if parts of prompts explain other crashes than before.

        :param explained: ids of the crashes that harmful parts explain.
        :param caused: these, and the crashes of parts on trial.
        """
        if (explained, caused) != (self.explained_by_parts, self.caused_by_parts):
            self.explained_by_parts, self.caused_by_parts = explained, caused
            self._judge()

    def _judge(self) -> None:
        self.harmful = harmful_requests(
            {name: record.crashes for name, record in self.records.items()},
            self.explained_by_parts,
            self.caused_by_parts,
        )

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
