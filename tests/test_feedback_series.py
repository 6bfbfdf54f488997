"""Replicas name limits, leave and ask for rest, beside faults of entries and the store.

``tests/feedback_series.py`` plays more seeds.
"""

from __future__ import annotations

import pytest

from feedback_checks import Asked
from feedback_checks import Disturbance
from feedback_checks import FeedbackCheck
from feedback_checks import Note
from feedback_series import draw_plan
from feedback_series import run_plan

SEEDS = (100, 101, 102, 103, 1008)
"""In 1008, the only entry stood still after a freeze: retries whose patience was over
reserved a send that was late as soon as the clock had moved on, again and again."""


@pytest.mark.parametrize("seed", SEEDS)
async def test_entries_keep_to_what_replicas_tell_them(seed):
    """Guards against each path, and each fault, by which a reply's word is lost."""
    report = await run_plan(draw_plan(seed), seed)
    assert report.faults == []
    assert report.statuses.get(200, 0) > 0


def notes(what, times, value="-", entry=0):
    return [Note(what, 1, f"e{entry}-read-0-{at}", at, value) for at in times]


def check(*lines, disturbances=()):
    found = [note for line in lines for note in line]
    asked = [Asked(n.request, n.at, 200, complete=True) for n in found]
    return FeedbackCheck(sorted(found, key=lambda n: n.at), asked, list(disturbances))


@pytest.mark.parametrize(
    ("count", "entry", "disturbances", "faults"),
    [
        (17, 0, (), 0),
        (18, 0, (), 1),
        (18, 1, (), 0),
        (18, 0, (Disturbance(0, 5.0, 6.0),), 0),
        (18, 0, (Disturbance(1, 5.0, 6.0),), 1),
    ],
)
def test_arrivals_beyond_a_limit_are_found(count, entry, disturbances, faults):
    times = [6.0 + 3.0 * number / count for number in range(count)]
    told = notes("limit", (1.0, 1.1), "2")
    record = check(
        told, notes("arrives", times, entry=entry), disturbances=disturbances
    )
    assert len(record.faults({1: [["limit", 0.0, 20.0, "2"]]})) == faults


@pytest.mark.parametrize(("at", "faults"), [(2.9, 0), (3.1, 1)])
def test_arrivals_after_a_word_of_leaving_are_found(at, faults):
    record = check(notes("leaving", (1.0,)), notes("arrives", (at,)))
    assert len(record.faults({})) == faults


@pytest.mark.parametrize(
    ("times", "faults"), [((1.6, 2.0), 0), ((1.6, 2.0, 3.9), 1), ((1.1, 1.2, 4.1), 0)]
)
def test_arrivals_in_a_rest_are_found(times, faults):
    record = check(notes("rest", (1.0,), "3"), notes("arrives", times))
    assert len(record.faults({})) == faults
