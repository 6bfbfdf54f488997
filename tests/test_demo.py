from __future__ import annotations

import json

from bergamotmast.cli import main


def test_the_demonstration_holds_every_promise(capsys, tmp_path):
    history = tmp_path / "history.jsonl"
    assert main(["demo", "--json", "--history", str(history)]) == 0
    result = json.loads(capsys.readouterr().out)
    assert result["sent"] > 300
    assert (result["lost"], result["duplicates"], result["cut_off"]) == (0, 0, 0)
    assert result["violations"] == []
    assert set(result["classes"]) == {"appraisal", "counter", "hold-check", "question"}
    assert history.stat().st_size > 0
