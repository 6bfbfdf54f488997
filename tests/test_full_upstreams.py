"""Which refusals show that upstreams are full, where others have lost time."""

from __future__ import annotations

import asyncio
import types

import pytest

from bergamotmast.direct.placer import UpstreamsLimitedError
from bergamotmast.direct.send_permits import SendPermits
from bergamotmast.direct.shares.group_view import GroupView
from bergamotmast.direct.shares.share_ticket import ShareTicket
from bergamotmast.direct.stream_placer import StreamPlacer
from bergamotmast.errors import ResultCode
from bergamotmast.policy.reachability import Reachability
from bergamotmast.telemetry import NullTelemetry

UPSTREAM = types.SimpleNamespace(name="e-1", key=("e-1", "1"))
OBJECTIVE = 0.2


def context(lost_upstream):
    """Return the part of a context that refusals read."""
    reachability = Reachability()
    if lost_upstream:
        reachability.on_lost(UPSTREAM.key, 0.0)
    return types.SimpleNamespace(
        rate_limits=None,
        placer=types.SimpleNamespace(reachability=reachability),
        fleet=types.SimpleNamespace(registered=lambda name: UPSTREAM),
    )


def call(now, waited, lost_seconds, patience=0.0):
    """Return a call that arrived some seconds ago, some of which were lost."""
    ticket = ShareTicket(GroupView("g", NullTelemetry()), 1.0, OBJECTIVE)
    ticket.on_lost(now - lost_seconds, now)
    return types.SimpleNamespace(
        arrived_at=now - waited,
        caller_timeout_at=now - waited + patience,
        has_begun=False,
        has_size_precedence=False,
        group=types.SimpleNamespace(name="g"),
        route=types.SimpleNamespace(objective=OBJECTIVE),
        share=ticket,
    )


@pytest.mark.parametrize(
    ("waited", "lost_seconds", "lost_upstream", "full"),
    [
        (0.08, 0.0, False, True),
        (1.08, 1.0, False, True),
        (1.0, 1.0, False, False),
        (0.08, 0.0, True, False),
    ],
)
async def test_limit_counts_unless_time_was_lost(
    waited, lost_seconds, lost_upstream, full
):
    """Guards against taking a limit for a shortage that a request met too late, and
    against overlooking it: a permit is due in 0.05 s, of 0.1 s that are waited."""
    now = asyncio.get_running_loop().time()
    request = call(now, waited, lost_seconds)
    permits = SendPermits(context(lost_upstream), request)
    permits.limits = types.SimpleNamespace(
        next_at=lambda upstream: now + 0.05,
        refusal=lambda *_: RuntimeError(),
    )
    permits.refusal(UpstreamsLimitedError([UPSTREAM]))
    assert request.share.met_full is full


@pytest.mark.parametrize(
    ("waiting", "waited", "lost_seconds", "lost_upstream", "full"),
    [
        (1.5, 0.5, 0.0, False, True),
        (1.5, 1.5, 1.0, False, True),
        (1.5, 1.0, 1.0, False, False),
        (1.5, 0.5, 0.0, True, False),
        (0.1, 0.5, 0.0, False, False),
    ],
)
async def test_predicted_wait_counts_unless_time_was_lost(
    waiting, waited, lost_seconds, lost_upstream, full
):
    """Guards against taking the wait at one engine for a shortage if its caller is
    about to leave for the time lost at another: it waits two seconds, and the first
    event is predicted after 1.8."""
    now = asyncio.get_running_loop().time()
    request = call(now, waited, lost_seconds, patience=2.0)
    decisions = types.SimpleNamespace(refusal=True)
    place = StreamPlacer(
        types.SimpleNamespace(
            context=types.SimpleNamespace(
                **vars(context(lost_upstream)), decisions=decisions
            ),
            call=request,
            reply=types.SimpleNamespace(started=False),
            timeline=types.SimpleNamespace(waiting=waiting),
        )
    )
    place._refusal = lambda code, seconds: RuntimeError(code)
    placement = types.SimpleNamespace(
        first_token=1.8, prefill_engine=None, decode_engine="e-1"
    )
    with pytest.raises(RuntimeError, match=str(int(ResultCode.DEADLINE_UNREACHABLE))):
        place._refuse_too_late(placement, now)
    assert request.share.met_full is full
