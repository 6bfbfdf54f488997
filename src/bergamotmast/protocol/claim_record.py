"""Record of one claimed call in the key-value service."""

from __future__ import annotations

import hashlib

import msgspec

from ..model import ServiceAnswer

CLAIMS_PREFIX = "/bergamotmast/claims/"

MAX_ANSWER_BYTES = 2048
"""Longest body that is kept, so that a replay gets the first answer."""


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The first answer of a claimed call."""

    status: int
    body: bytes
    content_type: str


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claimed call.

    :param nonce: drawn for each claim; tells its writer that the record is its own.
    :param digest: of the request; another request with this key is refused.
    :param owner: name of the entry that claimed, for operators.
    :param done: whether the call ran to its end.
    :param answer: its answer, if small.
    """

    nonce: bytes
    digest: bytes
    owner: str
    done: bool = False
    answer: StoredAnswer | None = None


def claim_key(key: str) -> str:
    """Return where the claim of a caller's key is kept.

    The hash is a cryptographic one: a tenant that could find two keys of one hash
    would see another tenant's answer.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return CLAIMS_PREFIX + digest


def stored_answer(answer: ServiceAnswer) -> StoredAnswer | None:
    """Return what is kept of an answer; ``None`` if it is too long."""
    if len(answer.body) > MAX_ANSWER_BYTES:
        return None
    return StoredAnswer(answer.status, answer.body, answer.content_type)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ClaimRecord)


def encode_claim(record: ClaimRecord) -> bytes:
    """Encode a record as msgpack."""
    return _ENCODER.encode(record)


def decode_claim(data: bytes) -> ClaimRecord:
    """Decode a record.

    :raises msgspec.ValidationError: for anything else.
    """
    return _DECODER.decode(data)
