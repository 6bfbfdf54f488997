"""Streams are read while entries and engines restart, crash and fall silent.

``tests/move_series.py`` plays more seeds.
"""

from __future__ import annotations

import pytest

from move_series import MoveTry
from move_series import draw_plan
from move_series import run_series
from series_checks import EntryIncarnation

SEEDS = (100, 101, 102, 543)
ONE = b"id: 1\ndata: v1@i-1@1.5-1\n\n"
TWO = b"id: 2\ndata: v1@i-2@2.5-2\n\n"
TWO_OF_FIRST = b"id: 2\ndata: v1@i-1@2.5-2\n\n"


@pytest.mark.parametrize("seed", SEEDS)
async def test_series_cuts_no_stream_of_a_sound_engine(seed):
    """Guards against streams that entries cut, or go on with at another build."""
    report = await run_series(draw_plan(seed), seed)
    assert report.faults == []


@pytest.mark.parametrize(
    ("status", "complete", "body", "ran", "lost", "fault"),
    [
        (200, True, ONE + TWO, "1 2", "1", ""),
        (200, True, ONE, "1", "", "whole after event 1"),
        (200, True, ONE + ONE, "1", "", "events [1, 1] after 0"),
        (200, True, TWO, "2", "", "events [2] after 0"),
        (200, False, ONE, "1", "", "cut after event 1"),
        (200, False, ONE, "1", "1", ""),
        (200, False, ONE, "1 2", "1", "cut after event 1"),
        (200, False, ONE, "1 2", "2", "cut after event 1"),
        (200, False, ONE + TWO, "1 2", "2", ""),
        (200, False, ONE + TWO_OF_FIRST, "1 2", "1", ""),
        (200, False, ONE + TWO_OF_FIRST, "1 2", "2", "cut after event 2"),
        (502, True, b"", "1", "", "failed without a cause"),
        (502, True, b"", "1", "1", ""),
        (503, True, b"", "", "", ""),
        (503, True, b"", "1", "1", "not run, it was told"),
        (404, True, b"", "", "", "whole after event 0"),
        (0, False, b"", "", "", ""),
        (0, False, b"", "1", "1", "neither an answer nor a refusal"),
        (0, False, b"", "prefilled", "", "neither an answer nor a refusal"),
    ],
)
def test_faults_of_tries_are_found(status, complete, body, ran, lost, fault):
    """Guards against a series that passes over a stream that was cut."""
    incarnation = EntryIncarnation(entry=0, process=None, handle=0)
    one = MoveTry("q-1", "/long/0?events=2", incarnation, status, complete, body, 1, 2)
    one.prefilled = ran == "prefilled"
    runs = [(float(n), f"i-{n}") for n in ran.split() if n.isdigit()]
    gone = {f"i-{number}" for number in lost.split()}
    assert one.find_fault(runs, gone, steady=not gone) == fault
