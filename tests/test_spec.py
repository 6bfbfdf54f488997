from __future__ import annotations

import importlib.util
import pathlib
import shutil
import sys

import pytest

SPEC = pathlib.Path(__file__).resolve().parent.parent / "spec"


def _load():
    spec = importlib.util.spec_from_file_location("spec_check", SPEC / "check.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


CHECK = _load()


@pytest.mark.parametrize("case", CHECK.cases(), ids=str)
def test_the_whole_holds_and_every_broken_twin_is_rejected(case):
    if shutil.which("spin") is None:
        # A run that passes without having checked anything would say too much.
        pytest.fail("Spin is not installed; spec/install.sh installs it")
    verdict = CHECK.run(case)
    assert verdict.as_expected, str(verdict)


@pytest.mark.parametrize("name", sorted({case.name for case in CHECK.cases()}))
def test_each_flag_is_explained_at_the_head_of_its_specification(name):
    head = (SPEC / f"{name}.pml").read_text().partition("*/")[0]
    assert CHECK.flags(name)
    assert [flag for flag in CHECK.flags(name) if flag not in head] == []
