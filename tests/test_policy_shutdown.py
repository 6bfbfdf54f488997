"""Admission during a shutdown, and the retries of refused callers."""

from __future__ import annotations

import random

import pytest

from bergamotmast.policy.direct_refusal import RETRY_JITTER_SECONDS
from bergamotmast.policy.direct_refusal import retry_after
from bergamotmast.policy.shutdown_admission import SHUTDOWN_RETRY_SECONDS
from bergamotmast.policy.shutdown_admission import ShutdownWindow
from bergamotmast.policy.shutdown_admission import is_admitted

END = ShutdownWindow(routed_until=12.6, end_by=17.0)


@pytest.mark.parametrize(
    ("now", "deadline", "admitted"),
    [
        (11.0, 30.0, True),
        (12.6, 20.6, True),
        (12.7, 20.7, False),
        (12.7, 15.2, True),
        (16.0, 17.0, True),
        (16.1, 17.1, False),
        (17.5, 18.0, False),
    ],
)
def test_request_is_admitted_if_its_whole_time_remains(now, deadline, admitted):
    assert is_admitted(END, deadline, now) is admitted


def test_retries_after_a_rolling_restart_are_spread():
    """All entries stop in turn, and each refuses a hundred callers within milliseconds.

    With the same retry delay, all callers would reach the first restarted entry at
    once. No tenth of the jitter interval gets more than a quarter of them.
    """
    rng = random.Random(4)
    delays = sorted(retry_after(rng, SHUTDOWN_RETRY_SECONDS) for _ in range(100))
    assert delays[0] >= SHUTDOWN_RETRY_SECONDS
    assert delays[-1] <= SHUTDOWN_RETRY_SECONDS + RETRY_JITTER_SECONDS
    tenth = RETRY_JITTER_SECONDS / 10
    assert max(sum(t <= x < t + tenth for x in delays) for t in delays) <= 25
