"""Parsing of header values, which callers and upstreams may have spoilt."""

from __future__ import annotations

MAX_COUNT_DIGITS = 15
"""Maximum length of a count; longer ones are invalid."""


def count(text: str) -> int:
    """Return a count, which is only a hint; 0 if it is missing or invalid."""
    text = text.strip()
    is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_valid else 0
