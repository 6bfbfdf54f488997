"""Decoding of bytes that another program has written.

Only this module calls the decoders of JSON and MessagePack. They fail with errors of
several classes: a nested value exhausts the stack even in a field that nobody reads,
and a long number or an odd byte has errors of its own.
"""

from __future__ import annotations

import typing as t

import msgspec

from .errors import BergamotmastError

_T = t.TypeVar("_T")
_Bytes: t.TypeAlias = bytes | bytearray | memoryview

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
            return self.decoder.decode(data)
        except _ERRORS as error:
            raise DecodingError(_reason(error)) from error


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
        return msgspec.json.decode(data, type=kind)
    except _ERRORS as error:
        raise DecodingError(_reason(error)) from error


def decode_msgpack(data: _Bytes, kind: type[_T]) -> _T:
    """Decode a MessagePack value.

    :raises DecodingError: if the data is no value of the type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _ERRORS as error:
        raise DecodingError(_reason(error)) from error


def _reason(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "the value is nested too deeply"
    return str(error)
