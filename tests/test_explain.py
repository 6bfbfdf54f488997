"""The timeline of a request from the logs of several processes."""

from __future__ import annotations

import io
import json

import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotmast.cli import main
from bergamotmast.explain import read_line


def line(process: str, steady: float, event: str, **fields) -> str:
    plain = {"at": 1000 + steady, "steady": steady, "process": process, "event": event}
    return json.dumps(plain | fields)


LOG_ONE = [
    line("entry-1", 1.0, "store is lost", dependency="store", error="timed out"),
    line("entry-1", 1.5, "upstream is gone", upstream="i-9", revision=7),
    line("entry-1", 4.0, "store is lost", dependency="store", error="timed out"),
    line("entry-1", 4.5, "upstream is gone", upstream="i-9", revision=9),
    line("entry-1", 4.6, "upstream is gone", upstream="i-2", revision=10),
    line("entry-1", 5.2, "send failed", request_id="a1", upstream="i-9", error="reset"),
    line("entry-1", 5.3, "request ended", request_id="b2", code=0, status=200, ms=9.0),
    line(
        "entry-1", 5.4, "request ended", request_id="a1", code=500, status=502, ms=400.0
    ),
    line("entry-1", 6.0, "store is reached"),
]
LOG_TWO = [line("entry-2", 90.0, "request ended", request_id="a1", code=0, ms=10.0)]


@pytest.fixture
def logs(tmp_path):
    names = []
    for number, text in enumerate(([*LOG_ONE, "no log line", "{"], LOG_TWO)):
        path = tmp_path / f"{number}.log"
        path.write_text("\n".join(text))
        names.append(str(path))
    return names


def test_timeline_contains_lines_relevant_to_the_request(logs, capsys):
    assert main(["explain", "a1", "--logs", *logs]) == 0
    assert capsys.readouterr().out == (
        "a1 at entry-1\n"
        '    -1.000 s  store is lost  dependency=store error="timed out"\n'
        "    -0.500 s  upstream is gone  upstream=i-9 revision=9\n"
        "    +0.200 s  send failed  upstream=i-9 error=reset\n"
        "    +0.400 s  request ended  code=500 status=502 ms=400.0\n"
        "  500 OUTCOME_UNKNOWN: The request may have run; its answer was lost."
        " What is known of it: unknown.\n"
        "\n"
        "a1 at entry-2\n"
        "    +0.010 s  request ended  code=0 ms=10.0\n"
        "  0 OK: The request was answered. What is known of it: ran.\n"
    )


def test_request_without_log_lines_is_an_error(logs, capsys):
    assert main(["explain", "zz", "--logs", *logs]) == 1
    assert "No line of zz" in capsys.readouterr().err


def test_unreadable_log_is_an_error(capsys):
    assert main(["explain", "a1", "--logs", "/nowhere/x"]) == 2
    assert "/nowhere/x" in capsys.readouterr().err


def test_lines_from_standard_input_may_have_a_prefix(monkeypatch, capsys):
    text = "".join(f"  12.3 front-a {text}\n" for text in LOG_TWO)
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    assert main(["explain", "a1"]) == 0
    assert "a1 at entry-2" in capsys.readouterr().out


def test_dropped_lines_and_a_missing_end_are_reported(tmp_path, capsys):
    path = tmp_path / "x.log"
    text = [
        line("e", 1.0, "upstream is known", upstream="i-1", dropped_before=12),
        line("e", 1.1, "send failed", request_id="a1", upstream="i-2"),
        line("e", 1.2, "request ended", request_id="a2", code=99_999),
    ]
    path.write_text("\n".join(text))
    assert main(["explain", "a1", "--logs", str(path)]) == 0
    shown = capsys.readouterr().out
    assert "dropped_before=12" in shown
    assert "No end is logged here" in shown
    assert main(["explain", "a2", "--logs", str(path)]) == 0
    assert "99999, a result code that is not known" in capsys.readouterr().out


json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@hypothesis.given(
    st.text()
    | st.dictionaries(
        st.sampled_from(["at", "steady", "event", "process", "request_id", "ms"]),
        json_values,
    ).map(json.dumps)
)
def test_no_line_stops_the_reading(text):
    found = read_line(text)
    assert found is None or isinstance(found.event, str)
