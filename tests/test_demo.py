from __future__ import annotations

import json

from bergamotmast.cli import main
from bergamotmast.demo import role_changes
from bergamotmast.history import OrderTaken
from bergamotmast.model import Role


def test_the_demonstration_violates_no_promise(capsys, tmp_path):
    history = tmp_path / "history.jsonl"
    assert main(["demo", "--json", "--history", str(history)]) == 0
    result = json.loads(capsys.readouterr().out)
    assert result["sent"] > 300
    assert (result["lost"], result["duplicates"], result["cut_off"]) == (0, 0, 0)
    assert result["violations"] == []
    assert set(result["classes"]) == {"appraisal", "counter", "hold-check", "question"}
    assert history.stat().st_size > 0


def test_model_changes_are_not_counted_as_role_changes():
    orders = [
        OrderTaken(at=1, engine="a", epoch=1, revision=1, assignment="mixed m"),
        OrderTaken(at=2, engine="a", epoch=1, revision=2, assignment="prefill m"),
        OrderTaken(at=3, engine="a", epoch=1, revision=3, assignment="prefill n"),
        OrderTaken(at=4, engine="b", epoch=1, revision=4, assignment="decode m"),
    ]
    assert role_changes(orders, Role.MIXED) == 2
