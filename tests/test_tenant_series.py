"""Keys change and usage is reported while entries and the store fail.

``tests/tenant_series.py`` plays more seeds.
"""

from __future__ import annotations

import pytest

from tenant_series import draw_tenant_plan
from tenant_series import run_tenant_plan

SEEDS = (100, 104)
"""Each lost usage: a new holder did not wait for the others' answers, and a restarted
one skipped the windows before its start."""


@pytest.mark.parametrize("seed", SEEDS)
async def test_series_of_key_changes_and_reports(seed):
    """No replica sees a key, no removed key gets in, and usage is reported once."""
    faults, _ = await run_tenant_plan(draw_tenant_plan(seed), seed)
    assert faults == []
