"""Quarantine of requests that crash the upstreams that run them.

All entries share the crashes that each of them sees, by the store that they watch. An
entry that has lost the store goes by what it knows.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import contextlib
import logging
import random
import typing as t

import msgspec

from ..errors import RequestError
from ..errors import ResultCode
from ..policy.crash_ledger import HARMFUL_RETENTION_SECONDS
from ..policy.crash_ledger import MAX_CRASHES
from ..policy.crash_ledger import TRIAL_CRASHES
from ..policy.crash_ledger import CrashLedger
from ..policy.crash_ledger import Verdict
from ..ports import KeyValue
from ..telemetry import Telemetry
from .model import Incarnation
from .model import LostRun
from .part_quarantine import PartQuarantine
from .records import CrashRecordWriter
from .records import CrashReport
from .records import crash_key
from .records import parse_crash_key
from .shared_records import SharedRecords
from .trials import Trials

logger = logging.getLogger(__name__)

CLEANUP_SECONDS = 30.0
"""Interval between two removals of expired records."""

EXPLANATION_SECONDS = 8.0
"""Maximum time until a lost run has turned out to be a crash or not."""


class CrashObserver(t.Protocol):
    """Receiver of detected crashes."""

    def on_crash(self, upstream: Incarnation, runs: cabc.Sequence[LostRun]) -> None:
        """Handle a crash; called again for runs whose loss becomes known later."""
        ...

    def on_survival(self, upstream: Incarnation, runs: cabc.Sequence[LostRun]) -> None:
        """Handle the end of the assumption that an upstream has crashed."""
        ...


class UnexplainedLosses(t.Protocol):
    """Lost runs of which it is not known yet whether they were lost in a crash."""

    def __bool__(self) -> bool:
        """Return whether any run was lost lately."""
        ...

    def unexplained(self, fingerprint: str) -> int:
        """Return how many lost runs of a request may turn out to be crashes."""
        ...


class NoLosses:
    """Implements :class:`UnexplainedLosses` where each loss is explained at once."""

    def __bool__(self) -> bool:
        """Return ``False``."""
        return False

    def unexplained(self, fingerprint: str) -> int:
        """Return 0."""
        return 0


class Quarantine:
    """Decides which requests may run, by the crashes that all entries have seen.

    Implements :class:`CrashObserver` and :class:`~.shared_records.RecordReceiver`.

    :param name: name of this entry.
    :param losses: lost runs that may turn out to be crashes.
    :param writer: writer of the records; ``None`` to keep them to this entry.
    :param on_refusal: called with each request that is refused.
    :param consult: reads what other entries know of a request that was lost in a crash.
    :param records: the record of each known crash.
    :param parts: the same for parts that many requests share.
    """

    def __init__(
        self,
        name: str,
        telemetry: Telemetry,
        rng: random.Random,
        trials: Trials,
        writer: CrashRecordWriter | None = None,
    ) -> None:
        self.name = name
        self.losses: UnexplainedLosses = NoLosses()
        self.on_refusal: cabc.Callable[[str], None] = _ignore
        self.consult: cabc.Callable[[str], cabc.Awaitable[None]] = _know
        self.telemetry = telemetry
        self.rng = rng
        self.trials = trials
        self.records = SharedRecords(self, writer)
        self.ledger = CrashLedger()
        self.parts = PartQuarantine(name, telemetry, rng, writer)
        self.parts.on_judged = self._on_parts_judged

    @property
    def is_watching(self) -> bool:
        """Whether any request was lost; if not, requests need no fingerprint."""
        return bool(self.ledger) or bool(self.parts.ledger) or bool(self.losses)

    def verdict(self, fingerprint: str) -> Verdict:
        """Return the verdict on a request, with losses not yet explained as crashes.

        Until it is known whether its last run was lost in a crash, a request must not
        go on to the next upstream and crash that one too.
        """
        self.parts.judge()
        verdict = self.ledger.verdict(fingerprint)
        pending = self.losses.unexplained(fingerprint)
        if not pending or verdict is Verdict.HARMFUL:
            return verdict
        crashes = len(self.ledger.crashes(fingerprint)) + pending
        if crashes >= MAX_CRASHES:
            return Verdict.HARMFUL
        return Verdict.ON_TRIAL if crashes >= TRIAL_CRASHES else verdict

    def check(self, fingerprint: str, parts: cabc.Sequence[str] = ()) -> None:
        """Check that a request may be sent to an upstream.

        :param parts: names of the parts of its prompt that other prompts may share.
        :raises RequestError: if it, or one of these parts, is in quarantine.
        """
        self._check_parts(parts)
        if self.verdict(fingerprint) is not Verdict.HARMFUL:
            return
        crashes = self.ledger.crashes(fingerprint)
        proven = fingerprint in self.ledger.harmful
        logger.info(
            "request is in quarantine",
            extra={
                "fingerprint": fingerprint,
                "crashes": len(crashes),
                "proven": proven,
            },
        )
        if not proven:
            raise RequestError(ResultCode.QUARANTINED, retry_after=EXPLANATION_SECONDS)
        now = asyncio.get_running_loop().time()
        self.ledger.touch(fingerprint, now)
        crash = min(self.ledger.crashes(fingerprint))
        self.records.refresh(crash_key(fingerprint, crash))
        self.on_refusal(fingerprint)
        raise RequestError(
            ResultCode.QUARANTINED, retry_after=HARMFUL_RETENTION_SECONDS
        )

    def _check_parts(self, parts: cabc.Sequence[str]) -> None:
        part = self.parts.harmful_part(parts)
        if part is None:
            return
        crashes = self.parts.ledger.crashes(part)
        logger.info(
            "request is in quarantine",
            extra={"part": part, "crashes": len(crashes), "proven": True},
        )
        self.parts.touch(part)
        raise RequestError(
            ResultCode.QUARANTINED, retry_after=HARMFUL_RETENTION_SECONDS
        )

    @contextlib.asynccontextmanager
    async def run_apart(
        self,
        fingerprint: str,
        upstream: Incarnation,
        parts_on_trial: cabc.Sequence[str] = (),
    ) -> cabc.AsyncIterator[bool]:
        """Keep a run of a request on trial apart from other trials, during a block.

        The block receives ``False`` if the upstream is taken by another trial, and the
        request must not be sent to it.
        """
        if not parts_on_trial and self.verdict(fingerprint) is Verdict.HARMLESS:
            yield True
            return
        claim = self.trials.claim(fingerprint, upstream, parts_on_trial)
        async with claim as granted:
            yield granted

    def on_answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream has run to its end."""
        crashes = self.ledger.crashes(fingerprint)
        if not crashes:
            return
        logger.info(
            "request is cleared",
            extra={"fingerprint": fingerprint, "crashes": len(crashes)},
        )
        for crash in crashes:
            self._delete(fingerprint, crash)
        self.ledger.clear(fingerprint)

    def on_crash(self, upstream: Incarnation, runs: cabc.Sequence[LostRun]) -> None:
        """Add a crash to the records of all requests that were lost in it."""
        crash = upstream.crash_id
        for run in runs:
            report = CrashReport(
                upstream.name, upstream.boot, self.name, run.request_id
            )
            key = crash_key(run.fingerprint, crash)
            value = msgspec.json.encode(report)
            self._add(run.fingerprint, crash, value)
            self.records.write(key, value)
        self.parts.on_crash(upstream, runs)

    def on_survival(self, upstream: Incarnation, runs: cabc.Sequence[LostRun]) -> None:
        """Withdraw a crash that has turned out to be none."""
        crash = upstream.crash_id
        for run in runs:
            self._delete(run.fingerprint, crash)
            self.ledger.withdraw(run.fingerprint, crash)
        self.parts.on_survival(upstream)

    def on_record(self, key: str, value: bytes) -> None:
        """Apply a crash that an entry has written."""
        fingerprint, crash = parse_crash_key(key)
        self._add(fingerprint, crash, value)

    def on_record_removed(self, key: str) -> None:
        """Apply the removal of a crash, by an entry or an operator."""
        fingerprint, crash = parse_crash_key(key)
        was_harmful = fingerprint in self.ledger.harmful
        self.ledger.withdraw(fingerprint, crash)
        if was_harmful:
            self._report_size()

    def replace_request(self, fingerprint: str, items: tuple[KeyValue, ...]) -> None:
        """Apply a snapshot of one request's crashes in the store."""
        present = {item.key for item in items}
        for crash in self.ledger.crashes(fingerprint):
            key = crash_key(fingerprint, crash)
            if key not in present and not self.records.is_pending(key):
                self.records.remove(key)
        for item in items:
            known = item.key in self.records.values
            if not known and not self.records.is_pending(item.key):
                self.records.put(item)

    async def run(self) -> None:
        """Remove expired records until cancelled."""
        while True:
            # Entries that started together would otherwise all remove the same ones.
            await asyncio.sleep(CLEANUP_SECONDS * self.rng.uniform(0.5, 1.5))
            self.clean_up(asyncio.get_running_loop().time())

    def clean_up(self, now: float) -> None:
        """Remove expired records."""
        for fingerprint in self.ledger.expired(now):
            for crash in self.ledger.crashes(fingerprint):
                self._delete(fingerprint, crash)
            self.ledger.clear(fingerprint)
        self._report_size()
        self.records.forget_expired(now)
        self.parts.clean_up(now)

    def _on_parts_judged(self) -> None:
        """Blame no request for crashes that a harmful part explains."""
        judgement = self.parts.ledger.judgement
        self.ledger.explain(judgement.explained, judgement.caused)

    def _add(self, fingerprint: str, crash: str, value: bytes) -> None:
        now = asyncio.get_running_loop().time()
        if not self.ledger.add(fingerprint, crash, now):
            return
        crashes = len(self.ledger.crashes(fingerprint))
        verdict = self.ledger.verdict(fingerprint)
        if verdict is Verdict.HARMLESS:
            return
        logger.warning(
            "request is put on trial"
            if verdict is Verdict.ON_TRIAL
            else "request is put into quarantine",
            extra={
                "fingerprint": fingerprint,
                "crashes": crashes,
                "last": value.decode(errors="replace"),
            },
        )
        self._report_size()

    def _report_size(self) -> None:
        self.telemetry.on_quarantine(len(self.ledger.harmful))

    def _delete(self, fingerprint: str, crash: str) -> None:
        self.records.delete(crash_key(fingerprint, crash))


def _ignore(fingerprint: str) -> None:
    """Do nothing: all crashes are known by a watch."""


async def _know(fingerprint: str) -> None:
    """Do nothing: all crashes are known by a watch."""
