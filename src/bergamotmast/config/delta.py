"""Deltas between encoded documents, which processes read instead of whole documents.

At full size the document has some 200 KB and an edit a few hundred bytes. With an edit
every half minute, reading whole documents would exceed the budget that a process has
for all of its control traffic.

A delta is a JSON merge patch (RFC 7396): objects are merged, ``null`` removes a key,
and all other values, including lists, are replaced.
"""

from __future__ import annotations

import typing as t

import msgspec

from ..decoding import decode_json

_ENCODER = msgspec.json.Encoder(order="sorted")
_EMPTY = b"{}"

_Plain = dict[str, t.Any]


def make_delta(before: bytes, after: bytes) -> bytes:
    """Return the delta from one encoded document to another.

    :param before: empty for no document.
    """
    return _ENCODER.encode(_difference(_decode(before), _decode(after)))


def apply_delta(document: bytes, delta: bytes) -> bytes:
    """Return the document that results from a delta, encoded in the same way.

    The result is right only if the delta was made from this very document: the caller
    must compare its digest key.

    :raises DecodingError: if either is not a JSON object.
    """
    return _ENCODER.encode(_merged(_decode(document), _decode(delta)))


def _decode(document: bytes) -> _Plain:
    return decode_json(document or _EMPTY, _Plain)


def _difference(before: _Plain, after: _Plain) -> _Plain:
    """Return the merge patch from one object to another."""
    delta: _Plain = {key: None for key in before if key not in after}
    for key, value in after.items():
        old = before.get(key)
        if isinstance(old, dict) and isinstance(value, dict):
            inner = _difference(old, value)
            if inner:
                delta[key] = inner
        elif key not in before or old != value:
            delta[key] = value
    return delta


def _merged(document: _Plain, delta: _Plain) -> _Plain:
    """Return an object with a merge patch applied."""
    merged = dict(document)
    for key, value in delta.items():
        if value is None:
            merged.pop(key, None)
        elif isinstance(value, dict):
            old = merged.get(key)
            merged[key] = _merged(old if isinstance(old, dict) else {}, value)
        else:
            merged[key] = value
    return merged
