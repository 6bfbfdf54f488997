"""What an entry that is about to end still takes, and when the others come back."""

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
    ("now", "deadline", "taken"),
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
def test_a_request_is_taken_if_it_has_its_whole_time(now, deadline, taken):
    assert is_admitted(END, deadline, now) is taken


def test_the_callers_of_three_ending_entries_do_not_return_in_one_moment():
    """All entries end in turn and refuse a hundred callers within some milliseconds.

    Told one time, all would meet the first restarted entry at once. In no tenth of the
    spread more than a quarter of them return.
    """
    rng = random.Random(4)
    told = sorted(retry_after(rng, SHUTDOWN_RETRY_SECONDS) for _ in range(100))
    assert told[0] >= SHUTDOWN_RETRY_SECONDS
    assert told[-1] <= SHUTDOWN_RETRY_SECONDS + RETRY_JITTER_SECONDS
    tenth = RETRY_JITTER_SECONDS / 10
    assert max(sum(t <= x < t + tenth for x in told) for t in told) <= 25
