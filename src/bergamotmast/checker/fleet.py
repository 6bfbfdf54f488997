"""Checks of orders, plans, configurations and leaving upstreams."""

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
    """Find engines that held two conflicting orders at once.

    The same order taken again, after a lost reply, conflicts with nothing.
    """
    under_way: dict[str, OrderTaken] = {}
    for record in records:
        if isinstance(record, OrderTaken):
            held = under_way.get(record.engine)
            if held is not None and not _same_order(held, record):
                detail = f"{_order(record)} taken while {_order(held)} was under way"
                yield Violation(Rule.ONE_ORDER, record.at, record.engine, detail)
            under_way[record.engine] = record
        elif isinstance(record, OrderEnded):
            held = under_way.get(record.engine)
            if held is not None and _token(held) == _token(record):
                del under_way[record.engine]


def check_order_authority(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find orders of an older authority, and two orders under one authority."""
    newest: dict[str, OrderTaken] = {}
    for record in records:
        if not isinstance(record, OrderTaken):
            continue
        before = newest.setdefault(record.engine, record)
        lower = _token(record) < _token(before)
        torn = _token(record) == _token(before) and not _same_order(record, before)
        if lower or torn:
            detail = f"{_order(record)} taken after {_order(before)}"
            yield Violation(Rule.ORDER_AUTHORITY, record.at, record.engine, detail)
        else:
            newest[record.engine] = record


def check_plan_forward(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find accepted plans whose fencing token is not above the one before."""
    last = NO_FENCING_TOKEN
    for record in records:
        if not isinstance(record, PlanWritten):
            continue
        token = _token(record)
        if token <= last:
            detail = f"{_number(token)} written after {_number(last)}"
            yield Violation(Rule.PLAN_FORWARD, record.at, record.writer, detail)
        last = max(last, token)


def check_leaving(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find new work at an upstream that had been leaving for too long."""
    leaving: dict[str, float] = {}
    for record in records:
        if isinstance(record, LeavingAnnounced):
            leaving.setdefault(record.upstream, record.at)
        elif isinstance(record, StayingAnnounced):
            leaving.pop(record.upstream, None)
        elif isinstance(record, Execution):
            since = leaving.get(record.upstream, math.inf)
            if record.at > since + limits.leaving_seconds:
                detail = f"{record.request} began {record.at - since:.3f} s after"
                yield Violation(Rule.LEAVING, record.at, record.upstream, detail)


def check_config_forward(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find processes that put an older configuration in force.

    A process that starts has nothing in its memory: what it must reach, and how
    soon, is the matter of :func:`check_config_in_force`.
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
class _Life:
    """One unbroken time in which a process ran and could be reached.

    :param begin: a point on the clock of the run, seconds.
    :param end: the same; infinite while it lasts.
    :param steps: when each generation came into force, rising.
    """

    begin: float
    end: float = math.inf
    steps: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def generation_at(self, at: float) -> int:
        """Return the highest generation in force at a point in time."""
        count = bisect.bisect_right(self.steps, (at, 1 << 62))
        return max((generation for _, generation in self.steps[:count]), default=0)


def check_config_in_force(
    records: cabc.Sequence[AnyRecord], limits: Limits
) -> cabc.Iterator[Violation]:
    """Find processes where an accepted configuration came into force too late.

    A process that starts or comes back has the whole time from then on; one that
    stops, or is cut off before its time is up, owes nothing. Nor does the end of
    the history count against anyone.
    """
    run_end = max((record.at for record in records), default=0.0)
    accepted = [r for r in records if isinstance(r, ConfigAccepted)]
    for process, lives in _lives(records).items():
        for life in lives:
            for config in accepted:
                due = max(config.at, life.begin) + limits.config_seconds
                if due > min(life.end, run_end):
                    continue
                if life.generation_at(due) < config.generation:
                    detail = (
                        f"generation {config.generation}, accepted at {config.at}, "
                        f"not in force"
                    )
                    yield Violation(Rule.CONFIG_IN_FORCE, due, process, detail)


def _lives(records: cabc.Iterable[AnyRecord]) -> dict[str, list[_Life]]:
    lives: dict[str, list[_Life]] = collections.defaultdict(list)
    for record in records:
        match record:
            case ProcessStarted(process=process):
                lives[process].append(_Life(record.at))
            case ProcessStopped(process=process) | ProcessUnreachable(process=process):
                if lives[process]:
                    lives[process][-1].end = record.at
            case ProcessReachable(process=process):
                known = lives[process][-1].steps[-1:] if lives[process] else []
                lives[process].append(_Life(record.at, steps=list(known)))
            case ConfigInForce(process=process):
                if not lives[process]:
                    lives[process].append(_Life(record.at))
                lives[process][-1].steps.append((record.at, record.generation))
    return lives


def _token(record: OrderTaken | OrderEnded | PlanWritten) -> FencingToken:
    return FencingToken(record.epoch, record.revision)


def _same_order(one: OrderTaken, other: OrderTaken) -> bool:
    return _token(one) == _token(other) and one.assignment == other.assignment


def _number(token: FencingToken) -> str:
    return f"{token.epoch}.{token.revision}"


def _order(record: OrderTaken) -> str:
    return f"order {_number(_token(record))} ({record.assignment})"


FLEET_CHECKS: tuple[Check, ...] = (
    check_one_order,
    check_order_authority,
    check_plan_forward,
    check_leaving,
    check_config_forward,
    check_config_in_force,
)
