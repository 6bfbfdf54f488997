"""The report of a side's state that each heartbeat carries."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

from ..model import Cost
from ..model import EngineState
from ..model import FencingToken
from ..model import Readiness
from ..model import SideReport
from ..policy import SidePolicy


class ReportSource(t.Protocol):
    """The state of a side that its report is made from."""

    policy: SidePolicy
    running: set[str]
    engine: EngineState | None
    offered: Cost
    done: Cost
    shed: int
    plan_token: cabc.Callable[[], FencingToken]

    @property
    def readiness(self) -> Readiness:
        """Whether new work is accepted now."""
        ...


def read_report(side: ReportSource) -> SideReport:
    """Return a report of the side's current state."""
    waiting = side.policy.waiting_cost()
    speed = side.policy.speed()
    engine = side.engine
    assignment = engine.assignment if engine else None
    plan = side.plan_token()
    return SideReport(
        readiness=side.readiness,
        role=assignment.role if assignment else None,
        models=assignment.models + assignment.adapters if assignment else (),
        running=len(side.running),
        queued=side.policy.waiting(),
        queued_prefill=waiting.prefill,
        queued_decode=waiting.decode,
        running_decode=side.policy.running_decode(),
        max_streams=engine.max_streams if engine else 1,
        prefill_rate=speed.prefill_rate if engine else 1.0,
        decode_rate=engine.decode_rate if engine else 1.0,
        offered_prefill=side.offered.prefill,
        offered_decode=side.offered.decode,
        done_prefill=side.done.prefill,
        done_decode=side.done.decode,
        shed=side.shed,
        kv_free=side.policy.kv_free(),
        waits_ms=tuple(round(1000 * wait) for wait in speed.waits),
        token_us=round(1e6 * speed.token_seconds),
        plan_epoch=plan.epoch,
        plan_revision=plan.revision,
    )
