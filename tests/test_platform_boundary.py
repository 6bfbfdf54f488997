"""Platform names occur in one package only, which makes no decisions."""

from __future__ import annotations

import ast
import pathlib
import re

import pytest

from bergamotmast.platform import headers

PACKAGE = pathlib.Path(headers.__file__).resolve().parent.parent
PLATFORM = PACKAGE / "platform"
COMPOSITION_ROOTS = {"direct_daemon.py"}
"""Modules that may import the package."""

MAX_LINES = 900
"""Upper bound on the package's lines: it holds names, formats and calls only."""


def sources(folder: pathlib.Path) -> list[pathlib.Path]:
    return sorted(folder.rglob("*.py"))


OUTSIDE = [path for path in sources(PACKAGE) if PLATFORM not in path.parents]

NAMES = re.compile(
    r"X-Deadline-Ms|X-Expect-|X-Kv-|X-Stage|X-Token-Count|X-Prompt-Prefix"
    r"|X-Not-Executed|X-Response-Signature|X-Server-Load|X-Weight-Versions"
    r"|X-Request-Priority|X-Length-Hint|X-Pin-Ms|Kv-Fetch|kv-txn|kv-range|kv-watch"
    r"|kv-handle|op/config|servers/|traffic-split|transfer-handle|/readiness|/order\b"
    r"|target-latency-ms|max-attempts",
    re.IGNORECASE,
)


OWN_PROTOCOLS = ("standins", "adapters", "bench")
"""Packages whose own protocols may use the same words."""

INDEPENDENT = [
    path for path in OUTSIDE if path.relative_to(PACKAGE).parts[0] not in OWN_PROTOCOLS
]


@pytest.mark.parametrize("path", INDEPENDENT, ids=lambda path: path.stem)
def test_platform_names_occur_only_in_its_package(path):
    found = NAMES.findall(path.read_text())
    assert found == []


def test_only_the_composition_root_imports_the_platform():
    importers = set()
    for path in OUTSIDE:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                module = node.module or ""
                if node.level and module.split(".")[0] == "platform":
                    importers.add(path.name)
    assert importers == COMPOSITION_ROOTS


def test_platform_stays_small_and_imports_no_policy():
    lines = sum(len(path.read_text().splitlines()) for path in sources(PLATFORM))
    assert lines < MAX_LINES
    for path in sources(PLATFORM):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                assert "policy" not in (node.module or "").split(".")
