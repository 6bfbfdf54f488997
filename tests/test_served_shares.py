from __future__ import annotations

import pytest

from bergamotmast.bench.trace import TraceRequest
from bergamotmast.commands.load import _served_by_size
from bergamotmast.load import CallResult
from bergamotmast.served_shares import ServedShares
from bergamotmast.served_shares import served_shares


def test_shares_are_of_the_largest_tenth_and_the_fifth_below_it():
    prompts = [(size, size < 80) for size in range(100)]
    assert served_shares(reversed(prompts)) == ServedShares(0.8, 0.0, 0.5)


def test_too_few_prompts_have_no_largest_tenth():
    assert served_shares([(1, True)] * 9) is None


@pytest.mark.parametrize(
    ("shares", "ratio"),
    [
        (ServedShares(0.8, 0.2, 0.6), 0.25),
        (ServedShares(0.8, 0.8, 0.4), 0.5),
        (ServedShares(0.0, 0.0, 0.0), 1.0),
    ],
)
def test_ratio_is_that_of_the_size_served_least(shares, ratio):
    assert shares.min_served_ratio == pytest.approx(ratio)


def test_load_reports_each_class_by_size():
    requests = [TraceRequest(at=0.0, klass="a", prompt_tokens=n) for n in range(20)]
    results = [
        CallResult(
            request_class=request.klass,
            prompt_tokens=request.prompt_tokens,
            code=0,
            outcome="ran",
            text="",
            cut_off=False,
            total=1.0,
            whole_by_deadline=request.prompt_tokens < 18,
        )
        for request in requests
    ]
    few = [CallResult("b", 1, 0, "ran", "", False, 1.0)]
    assert _served_by_size(results + few) == {
        "a": {"all": 0.9, "largest": 0.0, "large": 1.0}
    }
