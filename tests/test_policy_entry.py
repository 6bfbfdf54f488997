"""The default entry policy: placement, ejection, prefix affinity and retry budget."""

from __future__ import annotations

import random

import pytest

from bergamotmast.errors import ResultCode
from bergamotmast.model import Cost
from bergamotmast.model import ModelCall
from bergamotmast.model import Priority
from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.model import SideReport
from bergamotmast.policy.entry_policy import LoadAwareEntryPolicy
from bergamotmast.policy.interfaces import Candidate
from bergamotmast.policy.retries import RETRY_SHARE

MIXED = SideReport(
    Readiness.READY, Role.MIXED, max_streams=16, prefill_rate=8000.0, decode_rate=800.0
)


def candidate(name: str, report: SideReport = MIXED, **own: object) -> Candidate:
    return Candidate(name, "zone-1", report, 0.0, **own)  # type: ignore[arg-type]


def call(number: int = 0, prefix: str = "", tokens: int = 1000) -> ModelCall:
    return ModelCall(
        f"r-{number}",
        "trindade",
        "appraisal",
        Priority.STANDARD,
        "m",
        "",
        tokens,
        500,
        prefix,
        10.0,
        100.0,
    )


def policy() -> LoadAwareEntryPolicy:
    return LoadAwareEntryPolicy(random.Random(1), "zone-1")


def test_burst_within_one_report_spreads() -> None:
    """Sixty requests arrive between two reports.

    The entry counts its own work since the report, so it doesn't send them all to the
    upstream that looked idle.
    """
    entry = policy()
    own = dict.fromkeys(("a", "b", "c"), 0)
    for number in range(60):
        candidates = [
            candidate(
                n,
                MIXED,
                own_running=k,
                own_since_report=Cost(1000 * k, 500 * k),
            )
            for n, k in own.items()
        ]
        chosen = entry.choose(call(number), candidates, 0.0).upstream
        assert chosen is not None
        own[chosen] += 1
    assert max(own.values()) - min(own.values()) <= 3


def test_slow_upstream_gets_fewer_requests() -> None:
    """An upstream with the same reported rates takes six times as long as the others.

    Its attempts show it, and requests go elsewhere.
    """
    entry = policy()
    names = ["a", "b", "slow"]
    chosen = []
    for number in range(200):
        candidates = [candidate(n) for n in names]
        choice = entry.choose(call(number), candidates, 0.0)
        assert choice.upstream is not None
        chosen.append(choice.upstream)
        took = 1.2 if choice.upstream == "slow" else 0.2
        entry.on_first_token(choice.upstream, call(number), 0, took)
        entry.on_ended(choice.upstream, call(number), ResultCode.OK, 500, took + 1.0)
    assert chosen[100:].count("slow") <= 2


def test_failing_upstream_is_ejected_and_returns() -> None:
    entry = policy()
    for number in range(3):
        entry.choose(call(number), [candidate(n) for n in "abc"], 0.0)
        entry.on_ended("a", call(number), ResultCode.UPSTREAM_FAILED, 0, 0.0)
    during = {
        entry.choose(call(n), [candidate(c) for c in "abc"], 1.0).upstream
        for n in range(50)
    }
    after = {
        entry.choose(call(n), [candidate(c) for c in "abc"], 9.0).upstream
        for n in range(50)
    }
    assert "a" not in during
    assert "a" in after


def test_all_failing_ejects_only_a_share() -> None:
    entry = policy()
    for name in "abcdef":
        for number in range(3):
            entry.choose(call(number), [candidate(n) for n in "abcdef"], 0.0)
            entry.on_ended(name, call(number), ResultCode.UPSTREAM_FAILED, 0, 0.0)
    eligible = entry.ejector.eligible(list("abcdef"), 0.1)
    assert len(eligible) == 4


def test_hot_prefix_stays_until_its_upstream_is_busy() -> None:
    """All callers share one template.

    Its requests go to the upstream that has it cached, and elsewhere once the queue
    costs more than the prefill that is saved.
    """
    entry = policy()
    entry.on_admitted(call(), 0.0)
    first = entry.choose(call(0, "p"), [candidate(n) for n in "abc"], 0.0).upstream
    assert first is not None
    entry.on_first_token(first, call(0, "p"), 900, 0.2)
    again = entry.choose(call(1, "p"), [candidate(n) for n in "abc"], 0.2).upstream
    assert again == first
    queued = SideReport(
        Readiness.READY,
        Role.MIXED,
        queued=8,
        queued_prefill=8000,
        max_streams=16,
        prefill_rate=8000.0,
        decode_rate=800.0,
    )
    candidates = [candidate(n, queued if n == first else MIXED) for n in "abc"]
    assert entry.choose(call(2, "p"), candidates, 0.0).upstream != first


def test_retries_are_a_share_of_fresh_work() -> None:
    """After an outage every call is retried.

    The budget earns a fifth of the fresh work, up to its maximum.
    """
    entry = policy()
    for number in range(1000):
        entry.on_admitted(call(number), 0.0)
    granted = sum(entry.may_retry(call(), 0.0) for _ in range(1000))
    assert granted == 20


@pytest.mark.parametrize("entries", [1, 28, 330])
def test_entries_that_have_just_started_retry_a_share_of_fresh_work(entries) -> None:
    """All calls are refused. An initial burst at each entry would multiply the load."""
    fleet = [policy() for _ in range(entries)]
    fresh = granted = 0
    for entry in fleet:
        for number in range(10):
            entry.on_admitted(call(number), 0.0)
            fresh += 1
        while entry.may_retry(call(), 0.0):
            granted += 1
    assert 0 < granted <= RETRY_SHARE * fresh


@pytest.mark.parametrize("readiness", [Readiness.LEAVING, Readiness.UNKNOWN])
def test_upstream_that_is_not_ready_gets_no_request(readiness: Readiness) -> None:
    report = SideReport(readiness, Role.MIXED)
    choice = policy().choose(call(), [candidate("a", report)], 0.0)
    assert choice.upstream is None
    assert choice.code is ResultCode.NO_UPSTREAM


def test_prediction_follows_the_request_class() -> None:
    entry = policy()
    for number in range(100):
        entry.choose(call(number), [candidate("a")], 0.0)
        entry.on_ended("a", call(number), ResultCode.OK, 7, 0.0)
    assert entry.predict(call()) == Cost(1000, 7)
