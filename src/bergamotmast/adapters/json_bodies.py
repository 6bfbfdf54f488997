"""JSON bodies of other systems: objects with kebab-case names and base64 values."""

from __future__ import annotations

import base64
import typing as t

import msgspec

from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import BergamotmastError
from ..errors import KeyValueOutcomeUnknownError
from ..errors import KeyValueUnavailableError
from ..errors import PortError

_StructT = t.TypeVar("_StructT", bound=msgspec.Struct)


class KebabStruct(msgspec.Struct, frozen=True, rename="kebab"):
    """Base of JSON objects with kebab-case names; unknown fields are ignored."""


def decode_body(
    body: bytes, kind: type[_StructT], failure: type[BergamotmastError], subject: str
) -> _StructT:
    """Decode a body.

    :param subject: what the body is, for the error's message.
    :raises BergamotmastError: of the class ``failure``, if it can't be decoded.
    """
    try:
        return decode_json(body, kind)
    except DecodingError as error:
        raise failure(f"{subject} can't be decoded: {error}") from error


def decode_answer(
    body: bytes,
    kind: type[_StructT],
    failure: type[PortError] = KeyValueUnavailableError,
) -> _StructT:
    """Decode an answer of a key-value service."""
    return decode_body(body, kind, failure, "the store's answer")


def decode_written(body: bytes, kind: type[_StructT]) -> _StructT:
    """Decode the answer to a write, which took effect even if this fails."""
    return decode_answer(body, kind, KeyValueOutcomeUnknownError)


def encode_value(value: bytes) -> str:
    """Encode a value in base64."""
    return base64.b64encode(value).decode()


def decode_value(text: str) -> bytes:
    """Decode a value in base64; empty if it is invalid."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        # Decoding the empty value fails, and the error names the key.
        return b""
