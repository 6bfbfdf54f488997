"""Checks of engine orders, plans, configurations and leaving upstreams.

Each check reads the records of one history and yields its violations.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc as cabc
import dataclasses
import math

from ..history import AnyRecord
from ..history import ConfigAccepted
from ..history import ConfigInForce
from ..history import Execution
from ..history import LeavingAnnounced
from ..history import OrderEnded
from ..history import OrderTaken
from ..history import PlanWritten
from ..history import ProcessReachable
from ..history import ProcessStarted
from ..history import ProcessStopped
from ..history import ProcessUnreachable
from ..history import StayingAnnounced
from ..model import NO_FENCING_TOKEN
from ..model import FencingToken
from .rules import Check
from .rules import Limits
from .rules import Rule
from .rules import Violation


def check_one_order(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find engines that accepted an order while a conflicting one was in progress.

    An order that is sent again after a lost reply carries the same token and
    assignment, so it conflicts with nothing.
    """
    in_progress: dict[str, OrderTaken] = {}
    for record in records:
        if isinstance(record, OrderTaken):
            previous = in_progress.get(record.engine)
            if previous is not None and not _same_order(previous, record):
                detail = (
                    f"{_order_text(record)} accepted while {_order_text(previous)} "
                    f"was in progress"
                )
                yield Violation(Rule.ONE_ORDER, record.at, record.engine, detail)
            in_progress[record.engine] = record
        elif isinstance(record, OrderEnded):
            previous = in_progress.get(record.engine)
            if previous is not None and _token(previous) == _token(record):
                del in_progress[record.engine]


def check_order_authority(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find orders with a lower fencing token, and two orders with the same token."""
    newest: dict[str, OrderTaken] = {}
    for record in records:
        if not isinstance(record, OrderTaken):
            continue
        before = newest.setdefault(record.engine, record)
        lower = _token(record) < _token(before)
        reused = _token(record) == _token(before) and not _same_order(record, before)
        if lower or reused:
            detail = f"{_order_text(record)} accepted after {_order_text(before)}"
            yield Violation(Rule.ORDER_AUTHORITY, record.at, record.engine, detail)
        else:
            newest[record.engine] = record


def check_plan_forward(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find accepted plans whose fencing token is not higher than the previous one."""
    last = NO_FENCING_TOKEN
    for record in records:
        if not isinstance(record, PlanWritten):
            continue
        token = _token(record)
        if token <= last:
            detail = f"{_token_text(token)} written after {_token_text(last)}"
            yield Violation(Rule.PLAN_FORWARD, record.at, record.writer, detail)
        last = max(last, token)


def check_leaving(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find requests started at an upstream after its leaving was announced.

    Requests that start within ``limits.leaving_seconds`` are allowed.
    """
    leaving: dict[str, float] = {}
    for record in records:
        if isinstance(record, LeavingAnnounced):
            leaving.setdefault(record.upstream, record.at)
        elif isinstance(record, StayingAnnounced):
            leaving.pop(record.upstream, None)
        elif isinstance(record, Execution):
            since = leaving.get(record.upstream, math.inf)
            if record.at > since + limits.leaving_seconds:
                detail = (
                    f"{record.request} started {record.at - since:.3f} s after the "
                    f"upstream was announced as leaving"
                )
                yield Violation(Rule.LEAVING, record.at, record.upstream, detail)


def check_config_forward(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find processes that put an older configuration in force.

    A process that starts has no configuration, so its first one may be an older
    one; :func:`check_config_in_force` checks which one it must reach, and when.
    """
    in_force: dict[str, int] = {}
    for record in records:
        if isinstance(record, ProcessStarted):
            in_force.pop(record.process, None)
        elif isinstance(record, ConfigInForce):
            before = in_force.get(record.process, 0)
            if record.generation < before:
                detail = f"generation {record.generation} in force after {before}"
                yield Violation(Rule.CONFIG_FORWARD, record.at, record.process, detail)
            in_force[record.process] = max(before, record.generation)


@dataclasses.dataclass(slots=True)
class _Uptime:
    """An uninterrupted period in which a process ran and was reachable.

    :param begin: seconds on the clock of the run.
    :param end: seconds on the clock of the run; infinite if it never ended.
    :param config_changes: time and generation of each configuration that came into
        force, in ascending order of time.
    """

    begin: float
    end: float = math.inf
    config_changes: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def generation_at(self, at: float) -> int:
        """Return the highest generation that came into force up to a point in time."""
        # 1 << 62 is above every generation: a change at exactly ``at`` counts.
        count = bisect.bisect_right(self.config_changes, (at, 1 << 62))
        return max(
            (generation for _, generation in self.config_changes[:count]), default=0
        )


def check_config_in_force(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find processes where an accepted configuration came into force too late.

    The deadline of a process that starts or becomes reachable again counts from
    that moment. A deadline doesn't apply if the process stops, becomes unreachable
    or the history ends before it.
    """
    run_end = max((record.at for record in records), default=0.0)
    accepted = [r for r in records if isinstance(r, ConfigAccepted)]
    for process, uptimes in _uptimes(records).items():
        for uptime in uptimes:
            for config in accepted:
                due = max(config.at, uptime.begin) + limits.config_seconds
                if due > min(uptime.end, run_end):
                    continue
                if uptime.generation_at(due) < config.generation:
                    detail = (
                        f"generation {config.generation}, accepted at {config.at}, "
                        f"not in force"
                    )
                    yield Violation(Rule.CONFIG_IN_FORCE, due, process, detail)


def _uptimes(records: cabc.Iterable[AnyRecord]) -> dict[str, list[_Uptime]]:
    """Return each process's uptimes, oldest first.

    A process that becomes reachable again still has its last configuration; one that
    starts has none.
    """
    uptimes: dict[str, list[_Uptime]] = collections.defaultdict(list)
    for record in records:
        match record:
            case ProcessStarted(process=process):
                uptimes[process].append(_Uptime(record.at))
            case ProcessStopped(process=process) | ProcessUnreachable(process=process):
                if uptimes[process]:
                    uptimes[process][-1].end = record.at
            case ProcessReachable(process=process):
                known = (
                    uptimes[process][-1].config_changes[-1:] if uptimes[process] else []
                )
                uptimes[process].append(_Uptime(record.at, config_changes=list(known)))
            case ConfigInForce(process=process):
                if not uptimes[process]:
                    uptimes[process].append(_Uptime(record.at))
                uptimes[process][-1].config_changes.append(
                    (record.at, record.generation)
                )
    return uptimes


def _token(record: OrderTaken | OrderEnded | PlanWritten) -> FencingToken:
    return FencingToken(record.epoch, record.revision)


def _same_order(one: OrderTaken, other: OrderTaken) -> bool:
    return _token(one) == _token(other) and one.assignment == other.assignment


def _token_text(token: FencingToken) -> str:
    return f"{token.epoch}.{token.revision}"


def _order_text(record: OrderTaken) -> str:
    return f"order {_token_text(_token(record))} ({record.assignment})"


FLEET_CHECKS: tuple[Check, ...] = (
    check_one_order,
    check_order_authority,
    check_plan_forward,
    check_leaving,
    check_config_forward,
    check_config_in_force,
)
