"""Parsing of header values, which callers and upstreams may have spoilt."""

from __future__ import annotations

import collections.abc as cabc
import math
import re

from ..errors import RequestError
from ..errors import ResultCode
from .model import PromptPart
from .ports import LoadHint

MAX_COUNT_DIGITS = 15
"""Maximum length of a count; longer ones are invalid."""

_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")

_HEXADECIMAL = re.compile(r"[0-9A-Fa-f]+")


def count(text: str) -> int:
    """Return a count, which is only a hint; 0 if it is missing or invalid."""
    text = text.strip()
    is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_valid else 0


def count_pair(text: str) -> tuple[int, int]:
    """Return two counts that are separated by a comma."""
    first, _, second = text.partition(",")
    return count(first), count(second)


def milliseconds(name: str, text: str) -> float:
    """Return a duration in milliseconds, with or without a fraction.

    :param name: name of the header.
    :raises RequestError: if it is invalid.
    """
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value <= 1e9:
        raise RequestError(ResultCode.BAD_HEADER, f"{name}: {text!r} is no duration.")
    return value


def prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt from a list of key and tokens, ``KEY:TOKENS,...``.

    Keys are numbers in hexadecimal, so that letter case and leading zeros don't count.
    """
    parts = []
    for entry in text.split(","):
        key, _, tokens = entry.strip().partition(":")
        if _HEXADECIMAL.fullmatch(key):
            key = key.lower().lstrip("0") or "0"
        if key:
            parts.append(PromptPart(key, count(tokens)))
    return tuple(parts)


def all_values(headers: cabc.Mapping[str, str], name: str) -> list[str]:
    """Return the values of all headers of a name, without white space around them.

    :param headers: lookups ignore case, and all repeated headers are items.
    """
    if name not in headers:
        return []
    lower = name.lower()
    return [text.strip() for other, text in headers.items() if other.lower() == lower]


def agreed_value(headers: cabc.Mapping[str, str], name: str) -> str:
    """Return the value of a header; empty if it is missing or its lines differ.

    Lines differ where the head of a reply was cut off and another one follows.
    """
    values = set(all_values(headers, name))
    return values.pop() if len(values) == 1 else ""


def lowest_number(headers: cabc.Mapping[str, str], name: str) -> float | None:
    """Return the lowest of the decimal numbers that the headers of a name hold.

    :returns: infinity if there is no such header, ``None`` if no value is valid.
    """
    if name not in headers:
        return math.inf
    return min(_decimals(headers, name), default=None)


def highest_number(headers: cabc.Mapping[str, str], name: str) -> float:
    """Return the highest of the decimal numbers that the headers of a name hold.

    :returns: 0 if no value is valid.
    """
    return max(_decimals(headers, name), default=0.0)


def _decimals(headers: cabc.Mapping[str, str], name: str) -> list[float]:
    """Return the decimal numbers that the headers of a name hold.

    Signs, exponents and anything else than digits and a point are invalid.
    """
    texts = all_values(headers, name)
    return [float(text) for text in texts if _DECIMAL.fullmatch(text)]


def load_hint(text: str) -> LoadHint | None:
    """Return requests running, requests waiting, slots and, if given, slowness.

    The fourth figure is how long work takes at this moment, in percent of the usual.
    """
    numbers = [count(part) for part in text.split(",")]
    if len(numbers) not in (3, 4):
        return None
    running, waiting, slots, *rest = numbers
    percent = rest[0] if rest else 0
    return LoadHint(running, waiting, slots, percent / 100 if percent else None)
