"""An overload of prompts of all sizes on real processes with faults.

``tests/size_series.py`` plays more seeds.
"""

from __future__ import annotations

import pytest

from prompt_load import Prompt
from series_checks import EntryIncarnation
from size_series import PromptAttempt
from size_series import draw_plan
from size_series import run_plan

SEED = 2000


async def test_series_serves_large_prompts_beside_faults():
    """Guards against starvation of large prompts by a steady load of short ones.

    If short prompts always went first, the callers of the largest would time out.
    """
    report = await run_plan(draw_plan(SEED), SEED)
    assert report.faults == []


@pytest.mark.parametrize(
    ("status", "left", "killed_at", "fault"),
    [
        (200, False, 0.0, ""),
        (503, False, 0.0, ""),
        (0, True, 0.0, ""),
        (0, False, 5.0, ""),
        (0, False, 0.0, "report-1 of 900 tokens: no answer"),
        (404, False, 0.0, "report-1 of 900 tokens: status 404"),
    ],
)
def test_faults_of_attempts_are_found(status, left, killed_at, fault):
    incarnation = EntryIncarnation(entry=0, process=None, handle=0, killed_at=killed_at)
    prompt = Prompt("report-1", "/report/x", 0.0, 900)
    assert PromptAttempt(prompt, incarnation, status, left).fault() == fault
