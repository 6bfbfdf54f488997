from __future__ import annotations

import pathlib

import pytest

from bergamotmast.errors import CODE_INFO
from bergamotmast.errors import ResultCode
from bergamotmast.reference import PAGES
from bergamotmast.reference import main
from bergamotmast.reference import result_codes_page

DOCS = pathlib.Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize("name", PAGES)
def test_committed_pages_are_up_to_date(name):
    assert (DOCS / name).read_text() == PAGES[name](), (
        "run python -m bergamotmast.reference docs"
    )


def test_every_code_has_a_description_and_a_table_row():
    assert set(CODE_INFO) == set(ResultCode)
    page = result_codes_page()
    errors = [code for code in ResultCode if code is not ResultCode.OK]
    assert all(f"| {int(code)} | `{code.name.lower()}` |" in page for code in errors)


def test_pages_are_written(tmp_path):
    main(tmp_path)
    assert {path.name for path in tmp_path.iterdir()} == set(PAGES)
