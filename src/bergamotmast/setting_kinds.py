"""Kinds of setting values: parsing and validation of their text."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import ipaddress
import math
import pathlib
import re
import typing as t
import urllib.parse

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_WORDS = re.compile(r"[A-Za-z0-9-]+(,[A-Za-z0-9-]+)*")
_TRUE = ("yes", "true", "on", "1")
_FALSE = ("no", "false", "off", "0")


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Kind of value of a setting.

    :param parse: converts text to the value; raises ``ValueError`` if it is invalid.
    :param allowed: description of the allowed values, for error messages and help.
    """

    parse: cabc.Callable[[str], t.Any]
    allowed: str


def integer(minimum: int, maximum: int) -> Kind:
    """Return the kind of whole numbers between two bounds, inclusive."""

    def parse(text: str) -> t.Any:
        return _check_range(int(text), minimum, maximum)

    return Kind(parse, f"a whole number from {minimum} to {maximum}")


def number(minimum: float, maximum: float, unit: str) -> Kind:
    """Return the kind of numbers between two bounds, inclusive.

    :param unit: unit of the number, plural.
    """

    def parse(text: str) -> t.Any:
        return _check_range(float(text), minimum, maximum)

    return Kind(parse, f"a number of {unit} from {minimum:g} to {maximum:g}")


def choice(*values: str) -> Kind:
    """Return the kind that allows one of the given words."""

    def parse(text: str) -> str:
        if text not in values:
            raise ValueError(text)
        return text

    return Kind(parse, f"one of {', '.join(values)}")


def subset_of(*values: str) -> Kind:
    """Return the kind that allows any of the given words, separated by commas."""

    def parse(text: str) -> str:
        if not set(text.split(",")) <= set(values):
            raise ValueError(text)
        return text

    return Kind(parse, f"some of {', '.join(values)}, separated by commas")


def words() -> Kind:
    """Return the kind that allows any words, separated by commas."""

    def parse(text: str) -> str:
        if not _WORDS.fullmatch(text):
            raise ValueError(text)
        return text

    return Kind(parse, "words of letters, digits and '-', separated by commas")


def optional(kind: Kind) -> Kind:
    """Return a kind that also allows an empty text."""

    def parse(text: str) -> t.Any:
        return kind.parse(text) if text else ""

    return Kind(parse, f"{kind.allowed}, or nothing")


def _check_range(value: t.Any, minimum: float, maximum: float) -> t.Any:
    if not math.isfinite(value) or not minimum <= value <= maximum:
        raise ValueError(value)
    return value


def _parse_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


def _parse_bool(text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise ValueError(text)


def _parse_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(text)
    if parts.query or parts.fragment or parts.port == 0:
        raise ValueError(text)
    return text.rstrip("/")


def _parse_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(text)
    _check_range(int(port), 0, 65535)
    return text


def _parse_file(text: str) -> str:
    if not pathlib.Path(text).is_file():
        raise ValueError(text)
    return text


NAME = Kind(_parse_name, "a name of letters, digits, '.', '_' and '-', at most 63")
BOOLEAN = Kind(_parse_bool, "yes or no")
URL = Kind(_parse_url, "an http:// or https:// URL without a query")
ADDRESS = Kind(_parse_address, "an IP number and a port, for instance 10.0.0.7:7000")
FILE = Kind(_parse_file, "the path of a file that exists")
