from __future__ import annotations

import pathlib

import pytest

from known_red import KNOWN_RED_FILE
from known_red import entry_of
from known_red import read_known_red

TEXT = """Heads of the file say what it is.

tests/test_a.py::test_one
  python -m pytest tests/test_a.py; seed 4
  seen: no answer; issue 14
tests/test_b.py::test_two[case]
  seen: two answers; issue 14
"""


@pytest.fixture
def entries(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(TEXT)
    return read_known_red(path)


def test_entries_are_read_with_their_descriptions(entries):
    assert list(entries) == [
        "tests/test_a.py::test_one",
        "tests/test_b.py::test_two[case]",
    ]
    assert entries["tests/test_a.py::test_one"].endswith("no answer; issue 14")


@pytest.mark.parametrize(
    ("node", "listed"),
    [
        ("tests/test_a.py::test_one", True),
        ("tests/test_a.py::test_one[any]", True),
        ("tests/test_a.py::test_one_more", False),
        ("tests/test_b.py::test_two[case]", True),
        ("tests/test_b.py::test_two[other]", False),
        ("tests/test_b.py::test_two", False),
    ],
)
def test_listed_test_is_found_by_its_id(entries, node, listed):
    assert (entry_of(node, entries) is not None) is listed


def test_missing_file_lists_nothing(tmp_path):
    assert read_known_red(tmp_path / "none") == {}


def test_each_listed_test_exists_and_names_its_issue():
    for test, text in read_known_red().items():
        path, _, name = test.partition("::")
        source = (pathlib.Path(KNOWN_RED_FILE).parent / path).read_text()
        assert f"def {name.partition('[')[0]}(" in source
        assert "issue" in text
