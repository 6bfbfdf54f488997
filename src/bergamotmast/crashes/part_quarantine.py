"""Quarantine of parts of prompts that crash the upstreams that answer them.

All entries share the crashes that each of them sees, with the parts of the prompts that
it lost, by the store that they watch. An answer acquits the parts of its prompt at the
entry that received it. It is shared only for parts that were lost several times, as
most answers concern nobody else.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import heapq
import logging
import random

import msgspec

from ..policy.crash_ledger import SUSPECT_RETENTION_SECONDS
from ..policy.crash_ledger import TRIAL_CRASHES
from ..policy.crash_ledger import Verdict
from ..policy.part_answers import PartAnswers
from ..policy.part_ledger import PartLedger
from ..policy.part_ledger import PartLoss
from ..telemetry import Telemetry
from .model import Incarnation
from .model import LostRun
from .part_records import PART_ANSWERS_PREFIX
from .part_records import REQUEST_DIGITS
from .part_records import PartCrashReport
from .part_records import lost_part
from .part_records import merge_losses
from .part_records import parse_part_answer
from .part_records import parse_part_crash
from .part_records import part_answer_key
from .part_records import part_crash_key
from .records import CrashRecordWriter
from .shared_records import SharedRecords

logger = logging.getLogger(__name__)

SURVIVAL_SECONDS = 0.2
"""Time that an upstream must survive an answer before it acquits anything: a short
answer may be complete before the crash that it causes."""

PUBLISH_SPREAD_SECONDS = 0.5
"""Maximum delay until an answer is shared, so that not all entries share theirs."""

MAX_REPORTED_PARTS = 1_024
"""Maximum number of parts in one record, which then takes less than 200 KB."""

MAX_LOGGED_PARTS = 20
"""Maximum number of parts whose new verdicts are logged one by one."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownReport:
    """What one entry has lost in a crash, as this entry knows it.

    :param crash: id of the crash.
    :param received_at: when it was received last; a point in time.
    """

    crash: str
    report: PartCrashReport
    received_at: float


class PartQuarantine:
    """Decides which parts of prompts may run, by the crashes that all entries saw.

    Implements :class:`~.shared_records.RecordReceiver`.

    :param name: name of this entry.
    :param on_judged: called after the verdicts may have changed.
    :param reports: reports by the key of their record.
    :param keys: keys of the reports of each crash.
    :param suspected: crashes of each part in any report, unless an entry has shared its
        answer.
    :param answered: crashes that an answer received here acquits a part of, and when
        that may be forgotten.
    :param shared_answers: the same of all entries, from their records.
    :param changed: crashes of which something has changed since the last judgement, in
        this order.
    :param answered_runs: runs that upstreams have answered a moment ago, by the id that
        the upstream's crash would have.
    :param logged: verdicts that were logged last.
    :param judging: whether the next turn of the event loop judges what has changed.
    """

    def __init__(
        self,
        name: str,
        telemetry: Telemetry,
        rng: random.Random,
        writer: CrashRecordWriter | None = None,
    ) -> None:
        self.name = name
        self.telemetry = telemetry
        self.rng = rng
        self.records = SharedRecords(self, writer)
        self.on_judged: cabc.Callable[[], None] = _ignore
        self.answers = PartAnswers()
        self.reports: dict[str, KnownReport] = {}
        self.keys: dict[str, set[str]] = {}
        self.suspected: dict[str, set[str]] = {}
        self.answered: dict[tuple[str, str], float] = {}
        self.shared_answers: set[tuple[str, str]] = set()
        self.changed: dict[str, None] = {}
        self.answered_runs: dict[str, list[LostRun]] = {}
        self.logged: dict[str, Verdict] = {}
        self.judging = False
        self._ledger = PartLedger()

    @property
    def ledger(self) -> PartLedger:
        """The crashes by part, as they are known by now."""
        self.judge()
        return self._ledger

    def judge(self) -> None:
        """Judge anew if anything has changed.

        A prompt has many parts, and the records of an answer arrive one by one. Each
        judgement takes all parts of the changed crashes, so one serves all changes.
        """
        if not self.changed:
            return
        changed, self.changed = self.changed, {}
        for crash in changed:
            self._rebuild(crash)
        self.on_judged()

    def harmful_part(self, parts: cabc.Iterable[str]) -> str | None:
        """Return the part for which a prompt must not run; ``None`` if it may."""
        now = asyncio.get_running_loop().time()
        return next(
            (p for p in parts if self.ledger.verdict(p, now) is Verdict.HARMFUL), None
        )

    def parts_on_trial(self, parts: cabc.Iterable[str]) -> list[str]:
        """Return the parts whose requests are run one at a time."""
        now = asyncio.get_running_loop().time()
        return [p for p in parts if self.ledger.verdict(p, now) is Verdict.ON_TRIAL]

    def touch(self, part: str) -> None:
        """Record that a request with a harmful part has come again."""
        self.ledger.touch(part, asyncio.get_running_loop().time())
        crash = min(self.ledger.crashes(part))
        key = min(k for k in self.keys[crash] if part in self.reports[k].report.parts)
        self.records.refresh(key)

    def on_answered(self, upstream: Incarnation, run: LostRun) -> None:
        """Acquit the parts of a prompt whose answer is complete.

        :param run: the run, which counts as lost if the upstream crashes right after.
        """
        if run.parts:
            self.answered_runs.setdefault(upstream.crash_id, []).append(run)
            asyncio.get_running_loop().call_later(
                SURVIVAL_SECONDS, self._acquit, upstream.crash_id, run
            )

    def on_crash(self, upstream: Incarnation, runs: cabc.Sequence[LostRun]) -> None:
        """Suspect the parts of all prompts that were lost in a crash."""
        now = asyncio.get_running_loop().time()
        crash = upstream.crash_id
        runs = [*runs, *self.answered_runs.pop(crash, ())]
        losses = self._losses(crash, runs, now)
        if not losses:
            return
        lost_runs = len(runs)
        key = part_crash_key(crash, self.name)
        if key in self.reports:
            merge_losses(losses, self.reports[key].report.losses)
            lost_runs += self.reports[key].report.lost_runs
        reported = sorted(losses, key=lambda part: -losses[part].surprise)
        report = PartCrashReport(
            upstream.name,
            upstream.boot,
            runs[0].build,
            self.name,
            lost_runs,
            self.answers.total(runs[0].build, now),
            {p: lost_part(losses[p]) for p in reported[:MAX_REPORTED_PARTS]},
        )
        self._apply(key, crash, report)
        self.records.write(key, msgspec.json.encode(report))

    def on_survival(self, upstream: Incarnation) -> None:
        """Withdraw a crash that has turned out to be none."""
        key = part_crash_key(upstream.crash_id, self.name)
        if key in self.reports:
            self.records.delete(key)
            self._forget(key)

    def on_record(self, key: str, value: bytes) -> None:
        """Apply a crash or an answer that an entry has written."""
        if key.startswith(PART_ANSWERS_PREFIX):
            part, crash = parse_part_answer(key)
            self.shared_answers.add((part, crash))
            self._on_changed(crash)
        else:
            self._apply(key, *parse_part_crash(key, value))

    def on_record_removed(self, key: str) -> None:
        """Apply the removal of a crash or an answer."""
        if key in self.reports:
            self._forget(key)
        elif key.startswith(PART_ANSWERS_PREFIX):
            part, crash = parse_part_answer(key)
            self.shared_answers.discard((part, crash))
            self._on_changed(crash)

    def clean_up(self, now: float) -> None:
        """Remove expired records."""
        known = sorted(self.reports.values(), key=lambda known: known.received_at)
        last_at = {each.crash: each.received_at for each in known}
        oldest_first = sorted(last_at, key=last_at.__getitem__)
        ledger = self.ledger
        excess = set(ledger.excess(oldest_first, now))
        for crash in oldest_first:
            is_old = now >= last_at[crash] + SUSPECT_RETENTION_SECONDS
            if crash in excess or (is_old and not ledger.is_needed(crash, now)):
                self._remove_crash(crash)
        for part, crash in sorted(self.shared_answers):
            if crash not in self.keys:
                self.shared_answers.discard((part, crash))
                self.records.delete(part_answer_key(part, crash))
        self.answered = {pair: at for pair, at in self.answered.items() if now < at}
        self.records.forget_expired(now)
        self._report()

    def _losses(
        self, crash: str, runs: cabc.Sequence[LostRun], now: float
    ) -> dict[str, PartLoss]:
        """Return the losses of the parts that lost runs had, the most telling first."""
        with_part: dict[str, list[LostRun]] = {}
        for run in runs:
            for part in run.parts:
                with_part.setdefault(part, []).append(run)
        surprises = {
            part: self.answers.surprise(part, lost[0].build, len(lost), len(runs), now)
            for part, lost in with_part.items()
        }
        reported = heapq.nlargest(
            MAX_REPORTED_PARTS, surprises, key=surprises.__getitem__
        )
        return {
            part: self._loss(part, crash, with_part[part], surprises[part], now)
            for part in reported
        }

    def _loss(
        self,
        part: str,
        crash: str,
        lost: cabc.Sequence[LostRun],
        surprise: float,
        now: float,
    ) -> PartLoss:
        """Return the loss of a part.

        :param lost: the lost runs that had it.
        """
        return PartLoss(
            frozenset(run.fingerprint[:REQUEST_DIGITS] for run in lost),
            surprise,
            any(self.ledger.is_repeated(part, crash, run.sent_at) for run in lost),
            self.answers.total(lost[0].build, now),
            any(part in run.tried for run in lost),
            self.answers.count(part, lost[0].build, now) > 0.0,
        )

    def _known_losses(self, report: PartCrashReport, now: float) -> dict[str, PartLoss]:
        """Return a report's losses, corrected by answers that its entry has not seen.

        An entry that has just started takes all parts for new.
        """
        answered = self.answers.total(report.build, now)
        if answered <= report.answered:
            return report.losses
        return {
            part: dataclasses.replace(
                loss,
                surprise=self.answers.surprise(
                    part, report.build, len(loss.requests), report.lost_runs, now
                ),
                answered=answered,
                is_known=self.answers.count(part, report.build, now) > 0.0,
            )
            for part, loss in report.losses.items()
        }

    def _acquit(self, crash_id: str, run: LostRun) -> None:
        """Acquit the parts of a run, unless its upstream has crashed meanwhile."""
        runs = self.answered_runs.get(crash_id, [])
        if run not in runs:
            return
        runs.remove(run)
        if not runs:
            del self.answered_runs[crash_id]
        if crash_id in self.keys:
            return
        now = asyncio.get_running_loop().time()
        self.answers.add(run.parts, run.build, now)
        shared = []
        for part, crashes in self._crashes_at(run.build, run.parts):
            for crash in crashes:
                if (part, crash) not in self.answered:
                    self._on_changed(crash)
                self.answered[part, crash] = now + SUSPECT_RETENTION_SECONDS
            if len(crashes) >= TRIAL_CRASHES:
                shared.append(part)
        if shared:
            delay = self.rng.uniform(0.0, PUBLISH_SPREAD_SECONDS)
            asyncio.get_running_loop().call_later(
                delay, self._share_answer, shared, run.build
            )

    def _share_answer(self, parts: cabc.Sequence[str], build: str) -> None:
        """Acquit parts at all entries, unless another one has done so."""
        for part, crashes in self._crashes_at(build, parts):
            for crash in crashes:
                if (part, crash) in self.answered:
                    key = part_answer_key(part, crash)
                    self.shared_answers.add((part, crash))
                    self.records.write(key, self.name.encode(errors="replace"))
                    self._on_changed(crash)

    def _crashes_at(
        self, build: str, parts: cabc.Iterable[str]
    ) -> list[tuple[str, list[str]]]:
        """Return the crashes of a build that parts are suspected of by any entry."""
        self.judge()
        at_build = {
            crash
            for crash, keys in self.keys.items()
            if all(self.reports[key].report.build == build for key in keys)
        }
        return [
            (part, sorted(at_build.intersection(self.suspected.get(part, ()))))
            for part in parts
        ]

    def _apply(self, key: str, crash: str, report: PartCrashReport) -> None:
        now = asyncio.get_running_loop().time()
        self.reports[key] = KnownReport(crash, report, now)
        self.keys.setdefault(crash, set()).add(key)
        self._on_changed(crash)

    def _forget(self, key: str) -> None:
        """Forget one entry's report of a crash."""
        known = self.reports.pop(key)
        crash = known.crash
        self.keys[crash].discard(key)
        if not self.keys[crash]:
            del self.keys[crash]
        for part in known.report.parts:
            self._unsuspect(part, crash)
        self._on_changed(crash)

    def _remove_crash(self, crash: str) -> None:
        """Remove all records of a crash."""
        for key in list(self.keys[crash]):
            for part in self.reports[key].report.parts:
                if (part, crash) in self.shared_answers:
                    self.shared_answers.discard((part, crash))
                    self.records.delete(part_answer_key(part, crash))
            self.records.delete(key)
            self._forget(key)

    def _unsuspect(self, part: str, crash: str) -> None:
        crashes = self.suspected.get(part, set())
        crashes.discard(crash)
        if not crashes:
            self.suspected.pop(part, None)

    def _on_changed(self, crash: str) -> None:
        """Have a crash judged anew, by the next turn of the event loop."""
        self.changed[crash] = None
        if not self.judging:
            self.judging = True
            asyncio.get_running_loop().call_soon(self._report)

    def _rebuild(self, crash: str) -> None:
        """Replace what the ledger has of one crash."""
        now = asyncio.get_running_loop().time()
        losses: dict[str, PartLoss] = {}
        for key in self.keys.get(crash, ()):
            merge_losses(losses, self._known_losses(self.reports[key].report, now))
        remaining = {}
        for part, loss in losses.items():
            if (part, crash) in self.shared_answers:
                self._unsuspect(part, crash)
                continue
            self.suspected.setdefault(part, set()).add(crash)
            if (part, crash) not in self.answered:
                remaining[part] = loss
        self._ledger.replace(crash, remaining, now)

    def _report(self) -> None:
        """Judge what has changed, and log the verdicts that are new."""
        self.judging = False
        judgement = self.ledger.judgement
        verdicts = dict.fromkeys(judgement.on_trial, Verdict.ON_TRIAL)
        verdicts |= dict.fromkeys(judgement.harmful, Verdict.HARMFUL)
        # Harmful parts come last, and are few.
        new = [
            p for p, verdict in verdicts.items() if self.logged.get(p) is not verdict
        ]
        for part in new[-MAX_LOGGED_PARTS:]:
            self._log_verdict(part, verdicts[part])
        cleared = sorted(self.logged.keys() - verdicts.keys())
        for part in cleared[:MAX_LOGGED_PARTS]:
            logger.info("prompt part is cleared", extra={"part": part})
        if max(len(new), len(cleared)) > MAX_LOGGED_PARTS:
            logger.info(
                "more prompt parts are judged",
                extra={"suspected": len(new), "cleared": len(cleared)},
            )
        self.logged = verdicts
        self.telemetry.on_part_quarantine(len(judgement.harmful))

    def _log_verdict(self, part: str, verdict: Verdict) -> None:
        record = self.ledger.records[part]
        logger.warning(
            "prompt part is put on trial"
            if verdict is Verdict.ON_TRIAL
            else "prompt part is put into quarantine",
            extra={
                "part": part,
                "crashes": len(record.losses),
                "evidence": round(record.evidence().weight, 2),
            },
        )


def _ignore() -> None:
    """Do nothing."""
