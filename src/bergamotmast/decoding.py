"""Decoding of bytes that another program has written.

Only this module calls the decoders of JSON and MessagePack. They fail with errors of
several classes: a nested value exhausts the stack even in a field that nobody reads,
and a long number or an odd byte has errors of its own. A number that JSON may hold, but
that can't be encoded again or converted to a float, is refused here as well.
"""

from __future__ import annotations

import typing as t

import msgspec

from .errors import BergamotmastError

_T = t.TypeVar("_T")
_Bytes: t.TypeAlias = bytes | bytearray | memoryview

MAX_NUMBER = 1 << 62
"""Largest absolute value of an integer. Encoders take 64 bits, and counters go on."""

_DIGITS_TO_ZERO = bytes.maketrans(b"123456789", b"0" * 9)
_MANY_DIGITS = b"0" * 19
"""Larger integers have as many digits; hardly any other data does."""

_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    ArithmeticError,
    LookupError,
    TypeError,
    RecursionError,
    MemoryError,
)


class DecodingError(BergamotmastError, msgspec.ValidationError):
    """Bytes are no value of the expected type."""


class JsonDecoder(t.Generic[_T]):
    """Decoder of JSON values of one type.

    :param kind: the type, or a union of types.
    """

    def __init__(self, kind: t.Any) -> None:
        self.decoder: msgspec.json.Decoder[_T] = msgspec.json.Decoder(kind)

    def decode(self, data: _Bytes | str) -> _T:
        """Decode a value.

        :raises DecodingError: if the data is no value of the type.
        """
        try:
            value = self.decoder.decode(data)
            _check_numbers(data, value)
        except _ERRORS as error:
            raise DecodingError(_reason(error)) from error
        return value


class MessagePackDecoder(t.Generic[_T]):
    """Decoder of MessagePack values of one type.

    :param kind: the type, or a union of types.
    """

    def __init__(self, kind: t.Any) -> None:
        self.decoder: msgspec.msgpack.Decoder[_T] = msgspec.msgpack.Decoder(kind)

    def decode(self, data: _Bytes) -> _T:
        """Decode a value.

        :raises DecodingError: if the data is no value of the type.
        """
        try:
            return self.decoder.decode(data)
        except _ERRORS as error:
            raise DecodingError(_reason(error)) from error


def decode_json(data: _Bytes | str, kind: type[_T]) -> _T:
    """Decode a JSON value.

    :raises DecodingError: if the data is no value of the type.
    """
    try:
        value = msgspec.json.decode(data, type=kind)
        _check_numbers(data, value)
    except _ERRORS as error:
        raise DecodingError(_reason(error)) from error
    return value


def decode_msgpack(data: _Bytes, kind: type[_T]) -> _T:
    """Decode a MessagePack value.

    :raises DecodingError: if the data is no value of the type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _ERRORS as error:
        raise DecodingError(_reason(error)) from error


def _check_numbers(data: _Bytes | str, value: object) -> None:
    """Raise :exc:`OverflowError` if a decoded value holds too large a number."""
    text = data.encode() if isinstance(data, str) else bytes(data)
    if _MANY_DIGITS not in text.translate(_DIGITS_TO_ZERO):
        return
    unchecked = [msgspec.to_builtins(value)]
    while unchecked:
        match unchecked.pop():
            case dict() as members:
                unchecked += members
                unchecked += members.values()
            case list() | tuple() as items:
                unchecked += items
            case int(number) if abs(number) > MAX_NUMBER:
                raise OverflowError(f"a number has {number.bit_length()} bits")


def _reason(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "the value is nested too deeply"
    return str(error)
