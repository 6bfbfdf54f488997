"""Marks the tests listed in ``KNOWN-RED.txt`` as expected failures and prints them."""

from __future__ import annotations

import pytest

from known_red import entry_of
from known_red import read_known_red


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let listed tests run without affecting the result."""
    descriptions = read_known_red()
    for item in items:
        entry = entry_of(item.nodeid, descriptions)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=descriptions[entry], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each listed test and its outcome."""
    descriptions = read_known_red()
    if not descriptions:
        return
    terminalreporter.section("KNOWN-RED.txt")
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.line(f"{outcome}: {report.nodeid}")
    for test, text in descriptions.items():
        terminalreporter.line(f"{test}: {text}")
