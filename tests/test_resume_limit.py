"""Tests of the limit on resumed streams that go first without a record."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotmast.policy.resume_limit import ResumeLimit
from bergamotmast.policy.resume_limit import resumable_streams

SECONDS = 30.0


@given(
    requests=st.lists(
        st.tuples(st.floats(0.0, 2 * SECONDS), st.integers(0, 5), st.booleans()),
        max_size=60,
    ),
    limit=st.integers(0, 8),
)
def test_no_window_has_more_than_the_limit(requests, limit):
    """Guards against callers that overtake others for long by naming events.

    Only a record that is not known to have been used goes first beyond the limit.
    """
    resumed = ResumeLimit(SECONDS)
    now, counted, first_at = 0.0, [], {}
    for pause, stream, recorded in requests:
        now += pause
        used = stream in first_at and now < first_at[stream] + SECONDS
        count = sum(now < at + SECONDS for at in counted)
        goes_first = resumed.take(stream, limit, now, recorded=recorded)
        assert goes_first == (count < limit or (recorded and not used))
        if goes_first and (used or not recorded):
            counted.append(now)
        if goes_first:
            first_at[stream] = now
    assert len(resumed.went_first) <= len(first_at)


def test_limit_follows_what_is_registered():
    """Guards against a limit that outlasts the engines it was worked out from."""
    resumed = ResumeLimit(SECONDS)

    def take(stream: int, limit: int, now: float) -> bool:
        return resumed.take(stream, limit, now, recorded=False)

    assert [take(number, 2, 0.0) for number in range(3)] == [True, True, False]
    assert take(3, 3, 1.0)
    assert not take(4, 1, SECONDS)
    assert take(5, 2, SECONDS)


@pytest.mark.parametrize(
    ("slots", "entries", "streams"),
    [(0, 3, 0), (64, 0, 64), (64, 1, 64), (64, 2, 64), (64, 4, 32), (10, 100, 1)],
)
def test_streams_that_may_be_resumed_at_one_entry(slots, entries, streams):
    """Guards against entries that together let many times the streams go first."""
    assert resumable_streams(slots, entries) == streams
