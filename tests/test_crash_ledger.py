"""Tests of the verdicts on requests that were lost in crashes."""

from __future__ import annotations

import pytest

from bergamotmast.policy.crash_ledger import HARMFUL_RETENTION_SECONDS
from bergamotmast.policy.crash_ledger import MAX_CRASHES
from bergamotmast.policy.crash_ledger import MAX_REQUESTS
from bergamotmast.policy.crash_ledger import SUSPECT_RETENTION_SECONDS
from bergamotmast.policy.crash_ledger import CrashLedger
from bergamotmast.policy.crash_ledger import Verdict
from bergamotmast.policy.crash_ledger import verdict_of


@pytest.mark.parametrize(
    ("crashes", "verdict"),
    [
        (0, Verdict.HARMLESS),
        (1, Verdict.HARMLESS),
        (2, Verdict.ON_TRIAL),
        (3, Verdict.HARMFUL),
        (9, Verdict.HARMFUL),
    ],
)
def test_verdict_follows_the_number_of_crashes(crashes, verdict):
    assert verdict_of(crashes) is verdict


def ledger_with(fingerprint: str, crashes: int, now: float = 0.0) -> CrashLedger:
    ledger = CrashLedger()
    for number in range(crashes):
        ledger.add(fingerprint, f"c{number}", now)
    return ledger


def test_crash_that_several_entries_report_counts_once():
    """Guards against two entries that lose tries of one request in the same crash."""
    ledger = ledger_with("f", 1)
    assert not ledger.add("f", "c0", 1.0)
    assert ledger.crashes("f") == {"c0"}


def test_answer_clears_a_request_of_all_crashes():
    ledger = ledger_with("f", 2)
    ledger.clear("f")
    assert not ledger
    assert not ledger.crashes("f")


def test_withdrawn_crash_does_not_count():
    ledger = ledger_with("f", 3)
    ledger.withdraw("f", "c1")
    ledger.withdraw("f", "unknown")
    ledger.withdraw("g", "c1")
    assert ledger.crashes("f") == {"c0", "c2"}


@pytest.mark.parametrize(
    ("crashes", "seconds"),
    [(1, SUSPECT_RETENTION_SECONDS), (3, HARMFUL_RETENTION_SECONDS)],
)
def test_record_expires_unless_the_request_comes_again(crashes, seconds):
    """Guards against forgetting a harmful request that keeps coming."""
    ledger = ledger_with("f", crashes)
    assert ledger.expired(seconds - 1.0) == []
    ledger.touch("f", seconds - 1.0)
    assert ledger.expired(seconds) == []
    assert ledger.expired(2 * seconds - 1.0) == ["f"]


def test_full_ledger_keeps_the_requests_with_most_crashes():
    """Guards against memory that grows with every request that is ever lost."""
    ledger = CrashLedger()
    for number in range(MAX_REQUESTS):
        ledger.add(f"f{number}", "c0", float(number) / MAX_REQUESTS)
    for crash in range(MAX_CRASHES):
        ledger.add("harmful", f"c{crash}", 0.0)
    evicted = ledger.expired(1.0)
    assert 0.1 * MAX_REQUESTS <= len(evicted) < 0.11 * MAX_REQUESTS
    assert evicted[0] == "f0"
    assert "harmful" not in evicted


def test_count_of_harmful_requests():
    ledger = ledger_with("f", 3)
    ledger.add("g", "c0", 0.0)
    assert ledger.count(Verdict.HARMFUL) == 1
