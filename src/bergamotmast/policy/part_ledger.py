"""Judgement of the parts of prompts by the crashes of upstreams that ran them.

Load pattern: each upstream that begins to answer a prompt with one part crashes,
whatever else the prompt contains. No two requests with that part are alike, so that the
crashes of single requests (:mod:`.crash_ledger`) tell nothing.

Each crash is a test of a group: one of the parts of the lost prompts may have caused
it. An answer acquits all parts of its prompt. As there are few answers while upstreams
crash, a crash counts the less, the more likely a part was to be among the lost ones by
chance. The fewest parts that explain the crashes are harmful: first those that have
never been answered, of these first those with most crashes. Crashes that they explain
count against no other part or request, and a single crash beside them is not enough, as
the report that explains it may be on its way. A part that has been answered lately is
harmful only if an upstream crashes on its trial: in an outage it is lost again and
again.

If two parts that were never answered were lost in the same three crashes, both are on
trial, and the next crash or answer tells them apart.

A part is no suspect if the same request was in all of its crashes: the request explains
them as well, and refusing it refuses fewer others.

Several upstreams that crash at the same moment are one piece of evidence, as they
need not have the same cause: a further crash counts only if the part was sent to the
upstream after an earlier one was known.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math

from .crash_ledger import EVICTED_SHARE
from .crash_ledger import HARMFUL_RETENTION_SECONDS
from .crash_ledger import MAX_CRASHES
from .crash_ledger import TRIAL_CRASHES
from .crash_ledger import Verdict

FIRST_PROBE_SECONDS = 120.0
"""Time from the last crash after which one request with a harmful part is run again.
It doubles with each further crash."""

MAX_PROBED_CRASHES = 6
"""Number of crashes up to which a harmful part is tried again."""

MAX_SUSPECTED_CRASHES = 1_024
"""Maximum number of crashes in a ledger."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartLoss:
    """Loss of the requests with one part in one crash.

    :param requests: fingerprints of these requests.
    :param surprise: probability that none of the lost requests would have had the part
        by chance.
    :param repeated: whether one of the runs began when an earlier crash under the part
        was known.
    :param answered: number of answers that the surprise is estimated from.
    :param tried: whether one of the runs was a trial of the part.
    :param is_known: whether the part had been answered lately.
    """

    requests: frozenset[str]
    surprise: float = 1.0
    repeated: bool = False
    answered: float = 0.0
    tried: bool = False
    is_known: bool = False

    def merge(self, other: PartLoss) -> PartLoss:
        """Return the loss as two entries have seen it together."""
        informed = max(self, other, key=lambda loss: (loss.answered, -loss.surprise))
        return PartLoss(
            self.requests | other.requests,
            informed.surprise,
            self.repeated or other.repeated,
            informed.answered,
            self.tried or other.tried,
            self.is_known or other.is_known,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Losses that speak against a part.

    :param losses: loss in each crash.
    """

    losses: tuple[PartLoss, ...]

    @property
    def is_known(self) -> bool:
        """Whether the part had been answered before one of the crashes."""
        return any(loss.is_known for loss in self.losses)

    @property
    def weight(self) -> float:
        """Number of crashes that each tell something new, by their surprise."""
        # Exactly rounded sums are the same at entries that learn in another order.
        repeated = math.fsum(loss.surprise for loss in self.losses if loss.repeated)
        others = [loss.surprise for loss in self.losses if not loss.repeated]
        return repeated + max(others, default=0.0)

    @property
    def surprise(self) -> float:
        """Sum of the losses, by their surprise."""
        return math.fsum(loss.surprise for loss in self.losses)

    @property
    def verdict(self) -> Verdict:
        """What the losses say of the part."""
        if self.weight >= MAX_CRASHES:
            tried = any(loss.tried for loss in self.losses)
            return Verdict.HARMFUL if tried or not self.is_known else Verdict.ON_TRIAL
        on_trial = not self.is_known and self.surprise >= TRIAL_CRASHES
        return Verdict.ON_TRIAL if on_trial else Verdict.HARMLESS

    @property
    def rank(self) -> tuple[bool, float]:
        """Order in which parts are taken for the cause of crashes, the highest first.

        Parts that were never answered are first, then those with most crashes.
        """
        return not self.is_known, self.weight if self.is_known else self.surprise


@dataclasses.dataclass(slots=True)
class PartRecord:
    """Crashes of upstreams that ran requests with one part; points in time.

    :param losses: loss in each crash, by the crash's id.
    :param known_at: when each crash became known.
    :param seen_at: when a request with the part came last, or crashed an upstream.
    """

    seen_at: float
    losses: dict[str, PartLoss] = dataclasses.field(default_factory=dict)
    known_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def evidence(self, explained: cabc.Container[str] = ()) -> Evidence:
        """Return the losses in crashes that are not explained otherwise."""
        losses = self.losses.items()
        return Evidence(tuple(loss for crash, loss in losses if crash not in explained))

    @property
    def is_one_request(self) -> bool:
        """Whether a single request was lost in all of the crashes."""
        requests = [loss.requests for loss in self.losses.values()]
        return bool(frozenset.intersection(*requests))

    @property
    def probe_at(self) -> float | None:
        """When one request may be run again although the part is harmful."""
        crashes = len(self.losses)
        if crashes > MAX_PROBED_CRASHES:
            return None
        pause = FIRST_PROBE_SECONDS * 2.0 ** max(0, crashes - MAX_CRASHES)
        return max(self.known_at.values()) + pause


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Verdicts that follow from all crashes together.

    :param explained: ids of the crashes that the harmful parts explain.
    :param caused: these, and the crashes of the parts on trial.
    """

    harmful: frozenset[str] = frozenset()
    on_trial: frozenset[str] = frozenset()
    explained: frozenset[str] = frozenset()
    caused: frozenset[str] = frozenset()


def judge_parts(records: cabc.Mapping[str, PartRecord]) -> Judgement:
    """Return the verdicts on all parts; the same for the same crashes."""
    suspects = {
        part
        for part, record in records.items()
        if len(record.losses) >= TRIAL_CRASHES and not record.is_one_request
    }
    harmful: set[str] = set()
    on_trial: set[str] = set()
    caused: set[str] = set()
    while suspects:
        evidence = {part: records[part].evidence(caused) for part in suspects}
        suspects = {p for p in suspects if len(evidence[p].losses) >= TRIAL_CRASHES}
        if not suspects:
            break
        part = max(suspects, key=lambda p: (evidence[p].rank, p))
        suspects.remove(part)
        verdict = evidence[part].verdict
        losses = records[part].losses
        if verdict is Verdict.HARMFUL and len(losses) <= MAX_CRASHES:
            equal = {
                p
                for p in suspects
                if evidence[p].rank == evidence[part].rank
                and records[p].losses.keys() == losses.keys()
            }
            verdict = Verdict.ON_TRIAL if equal else verdict
            on_trial.update(equal)
        if verdict is Verdict.HARMLESS:
            # Less speaks against all others of its kind.
            kind = evidence[part].is_known
            suspects = {p for p in suspects if evidence[p].is_known is not kind}
            continue
        (harmful if verdict is Verdict.HARMFUL else on_trial).add(part)
        caused.update(records[part].losses)
    return Judgement(
        frozenset(harmful),
        frozenset(on_trial),
        frozenset(crash for part in harmful for crash in records[part].losses),
        frozenset(caused),
    )


class PartLedger:
    """Crashes by the parts of the lost prompts; points in time are the caller's.

    :param by_crash: losses by crash and part.
    :param records: records by part.
    """

    def __init__(self) -> None:
        self.by_crash: dict[str, dict[str, PartLoss]] = {}
        self.records: dict[str, PartRecord] = {}
        self._judgement: Judgement | None = Judgement()

    def __bool__(self) -> bool:
        """Return whether any part was lost in a crash."""
        return bool(self.records)

    @property
    def judgement(self) -> Judgement:
        """The verdicts on all parts."""
        if self._judgement is None:
            self._judgement = judge_parts(self.records)
        return self._judgement

    def crashes(self, part: str) -> frozenset[str]:
        """Return the ids of the crashes in which a part was lost."""
        record = self.records.get(part)
        return frozenset() if record is None else frozenset(record.losses)

    def replace(
        self, crash: str, losses: cabc.Mapping[str, PartLoss], now: float
    ) -> None:
        """Replace what is known of one crash; without losses, forget it."""
        before = self.by_crash.pop(crash, {})
        for part in before.keys() - losses.keys():
            record = self.records[part]
            del record.losses[crash]
            del record.known_at[crash]
            if not record.losses:
                del self.records[part]
        for part, loss in losses.items():
            record = self.records.setdefault(part, PartRecord(now))
            record.seen_at = now
            record.losses[crash] = loss
            record.known_at.setdefault(crash, now)
        if losses:
            self.by_crash[crash] = dict(losses)
        if before != losses:
            self._judgement = None

    def is_repeated(self, part: str, crash: str, sent_at: float) -> bool:
        """Return whether an earlier crash under a part was known when it was sent."""
        record = self.records.get(part)
        if record is None:
            return False
        return any(
            known_at <= sent_at
            for other, known_at in record.known_at.items()
            if other != crash
        )

    def verdict(self, part: str, now: float) -> Verdict:
        """Return the verdict on a part."""
        if part in self.judgement.harmful:
            probe_at = self.records[part].probe_at
            due = probe_at is not None and now >= probe_at
            return Verdict.ON_TRIAL if due else Verdict.HARMFUL
        on_trial = part in self.judgement.on_trial
        return Verdict.ON_TRIAL if on_trial else Verdict.HARMLESS

    def touch(self, part: str, now: float) -> None:
        """Record that a request with a part has come again."""
        record = self.records.get(part)
        if record is not None:
            record.seen_at = now

    def is_needed(self, crash: str, now: float) -> bool:
        """Return whether a crash is evidence against a part that still comes."""
        return any(
            part in self.judgement.harmful
            and now < self.records[part].seen_at + HARMFUL_RETENTION_SECONDS
            for part in self.by_crash.get(crash, ())
        )

    def excess(self, crashes: cabc.Sequence[str], now: float) -> list[str]:
        """Return the crashes that are to be forgotten, as there are too many.

        :param crashes: ids of all crashes, oldest first.
        """
        if len(crashes) <= MAX_SUSPECTED_CRASHES:
            return []
        count = len(crashes) - int(MAX_SUSPECTED_CRASHES * (1 - EVICTED_SHARE))
        return sorted(crashes, key=lambda crash: self.is_needed(crash, now))[:count]
