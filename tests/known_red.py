"""Reads ``KNOWN-RED.txt``, the list of tests that fail for a known fault.

An entry begins with the test's id at the start of a line; the indented lines below it
give the command and seed, what was seen, and the issue.
"""

from __future__ import annotations

import collections.abc as cabc
import pathlib

KNOWN_RED_FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_known_red(path: pathlib.Path = KNOWN_RED_FILE) -> dict[str, str]:
    """Return the description of each listed test, by its id; empty without a file."""
    if not path.exists():
        return {}
    entries: dict[str, list[str]] = {}
    lines: list[str] = []
    for line in path.read_text().splitlines():
        if line.startswith("tests/"):
            lines = entries.setdefault(line.strip(), [])
        elif line.strip():
            lines.append(line.strip())
    return {test: " ".join(text) for test, text in entries.items()}


def entry_of(node: str, entries: cabc.Iterable[str]) -> str | None:
    """Return the entry that lists a test: its own id, or that of all its parameters."""
    return next((e for e in entries if e in (node, node.partition("[")[0])), None)
