from __future__ import annotations

import importlib.util
import pathlib
import shutil
import sys

import pytest

SPEC = pathlib.Path(__file__).resolve().parent.parent / "spec"


def load_check_module():
    spec = importlib.util.spec_from_file_location("spec_check", SPEC / "check.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


CHECK = load_check_module()


@pytest.mark.parametrize("case", CHECK.cases(), ids=str)
def test_specification_holds_and_mutants_are_rejected(case):
    if shutil.which("spin") is None:
        # Fails instead of skipping, as a skipped check would look like a passed one.
        pytest.fail("Spin is not installed; spec/install.sh installs it")
    result = CHECK.run(case)
    assert result.as_expected, str(result)


@pytest.mark.parametrize("name", sorted({case.name for case in CHECK.cases()}))
def test_each_flag_is_documented_in_its_specification(name):
    header = (SPEC / f"{name}.pml").read_text().partition("*/")[0]
    assert CHECK.flags(name)
    assert [flag for flag in CHECK.flags(name) if flag not in header] == []
