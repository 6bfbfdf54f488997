"""Report of each tenant's usage to the platform, by the planner's holder.

One window after the other is collected from all entries, set in the key-value service
and only then reported. A holder that was suspended, or whose call is carried out late,
can only repeat what is set.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import typing as t

import msgspec

from ..backoff import Backoff
from ..errors import OrderRefusedError
from ..policy.usage_ledger import Counts
from ..telemetry import Telemetry
from .fenced_call import FencedReply
from .fenced_call import Lease
from .fenced_call import call_while_held
from .usage_exchange import SETTLING_SECONDS
from .usage_exchange import UsageExchange
from .usage_record import UsageRecord
from .usage_record import UsageRecordStore

logger = logging.getLogger(__name__)

COLLECTION_SHARE = 0.4
"""Share of the time until a report is due in which silent entries are waited for."""

MIN_COLLECTION_SECONDS = 1.5
"""Minimum time in which silent entries are waited for. A new holder sets windows that
ended long ago, and the other entries must have time to answer it."""

MAX_RETRY_DELAY_SECONDS = 3.0
"""Maximum delay between two reports of one window."""

MIN_SLEEP_SECONDS = 0.001
"""Minimum time between two steps. Timers may fire early by the clock's resolution, and
nothing would be due then."""

MAX_UNREPORTED_WINDOWS = 12
"""Number of windows kept for a platform that does not answer; older ones are lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """The usage of one window.

    :param holder: name of the entry that reports it.
    :param token: fencing token; the platform refuses a lower one than it has seen.
    """

    window: int
    counts: Counts
    holder: str
    token: int


class UsageSink(t.Protocol):
    """Receives usage reports."""

    async def report(self, report: UsageReport) -> FencedReply:
        """Send a report.

        :raises PortError: if it is unknown whether the report was accepted, or not.
        """
        ...


class UsageReporter:
    """Reports each window once, while this entry holds the planner's lease.

    :param name: name of this entry.
    :param hold_off_seconds: time from the start of a term to its first report, so that
        two holders do not take turns.
    :param due_seconds: time from the end of a window until its report is due.
    :param retry_at: when the next report may be sent; a point in time.
    :param skipped_window: last window before the first one of a new installation.
    """

    def __init__(
        self,
        name: str,
        lease: Lease,
        records: UsageRecordStore,
        exchange: UsageExchange,
        sink: UsageSink,
        hold_off_seconds: float,
        due_seconds: float,
        rng: random.Random,
        telemetry: Telemetry,
    ) -> None:
        self.name = name
        self.lease = lease
        self.records = records
        self.exchange = exchange
        self.sink = sink
        self.hold_off_seconds = hold_off_seconds
        self.due_seconds = due_seconds
        self.backoff = Backoff(rng, initial=0.5, maximum=MAX_RETRY_DELAY_SECONDS)
        self.telemetry = telemetry
        self.retry_at = 0.0
        self.skipped_window = exchange.first_window - 1

    async def run(self, epoch: int) -> None:
        """Report the usage until cancelled.

        :param epoch: fencing token of the term.
        :raises LeadershipLostError: if another entry has taken over.
        :raises OrderRefusedError: if the platform has seen a higher token.
        """
        self.retry_at = asyncio.get_running_loop().time() + self.hold_off_seconds
        await self.records.read_when_available()
        while True:
            await self._step(epoch)

    async def _step(self, epoch: int) -> None:
        """Set the next window, report the oldest one, or wait until either is due."""
        now = asyncio.get_running_loop().time()
        window = self._next_window()
        settled_at = self._settled_at(window)
        if now >= settled_at:
            await self._set(window, epoch)
        elif not self.records.record.windows:
            await asyncio.sleep(max(MIN_SLEEP_SECONDS, settled_at - now))
        elif now >= self.retry_at:
            await self._report_oldest(epoch)
        else:
            next_at = min(settled_at, self.retry_at)
            await asyncio.sleep(max(MIN_SLEEP_SECONDS, next_at - now))

    def _next_window(self) -> int:
        """Return the next window to set: the oldest one that entries still know.

        Windows that may have been set under a record that a restore has undone are left
        out, as the platform may have accepted them with other counts.
        """
        last = self.records.last_window or self.skipped_window
        window = max(last + 1, self.exchange.oldest_window())
        incomplete_until = self.records.incomplete_until
        if incomplete_until is None:
            return window
        ended_at = self.exchange.clock.unix_time(incomplete_until)
        return max(window, self.exchange.ledger.window_at(ended_at))

    def _settled_at(self, window: int) -> float:
        """Return when a window's counts are final; a point on the loop's clock."""
        end = self.exchange.ledger.end_of(window)
        return self.exchange.clock.loop_time_of(end) + SETTLING_SECONDS

    async def _set(self, window: int, epoch: int) -> None:
        """Set the counts of a window, which is the next one."""
        end = self.exchange.ledger.end_of(window)
        end_at = self.exchange.clock.loop_time_of(end)
        now = asyncio.get_running_loop().time()
        deadline = max(
            end_at + COLLECTION_SHARE * self.due_seconds, now + MIN_COLLECTION_SECONDS
        )
        usage = await self.exchange.collect(window, deadline)
        if not usage.is_over:
            # This process's clock is ahead. Windows set too early would miss requests.
            logger.warning("clock is ahead of others", extra={"window": window})
            return
        if not usage.counts and not self.records.last_window:
            # Nothing is due before the first request of a new installation.
            self.skipped_window = window
            return
        last = self.records.last_window
        if last and last + 1 < window:
            self._log_lost(last + 1, window - 1)
        unreported = self.records.record.windows | {window: usage.counts}
        kept = sorted(unreported)[-MAX_UNREPORTED_WINDOWS:]
        for lost in sorted(set(unreported) - set(kept)):
            logger.warning("usage is not reported", extra={"window": lost})
            self.telemetry.on_usage_window("lost")
        windows = {number: unreported[number] for number in kept}
        era = self.records.eras.known_era
        await self.records.write(UsageRecord(self.name, epoch, window, windows, era))
        logger.info(
            "usage is set",
            extra={
                "window": window,
                "tenants": len(usage.counts),
                "requests": sum(usage.counts.values()),
                "missing": usage.missing,
            },
        )

    def _log_lost(self, first: int, last: int) -> None:
        """Log the windows that are left out, and the eras that decided it."""
        logger.warning(
            "usage is lost",
            extra={
                "first": first,
                "last": last,
                "record_era": self.records.record.era,
                "store_era": self.records.eras.known_era,
            },
        )

    async def _report_oldest(self, epoch: int) -> None:
        record = self.records.record
        window = min(record.windows)
        report = UsageReport(window, record.windows[window], self.name, epoch)
        outcome = await call_while_held(self.lease, lambda: self.sink.report(report))
        logger.info(
            "usage report sent",
            extra={"window": window, "token": epoch, "outcome": outcome.text},
        )
        if outcome.reply is FencedReply.FENCED:
            raise OrderRefusedError("the platform has seen a higher fencing token")
        if outcome.reply is FencedReply.RETRY:
            now = asyncio.get_running_loop().time()
            self.retry_at = now + self.backoff.next_delay()
            return
        self.backoff.reset()
        self._on_reported(window)

    def _on_reported(self, window: int) -> None:
        record = self.records.record
        rest = {number: c for number, c in record.windows.items() if number != window}
        self.records.record = msgspec.structs.replace(record, windows=rest)
        ledger, clock = self.exchange.ledger, self.exchange.clock
        late = clock.now() > ledger.end_of(window) + self.due_seconds
        self.telemetry.on_usage_window("late" if late else "reported")
