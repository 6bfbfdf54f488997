"""Record of a claimed call in the key-value service."""

from __future__ import annotations

import hashlib

import msgspec

from ..decoding import MessagePackDecoder
from ..model import ServiceAnswer

CLAIMS_PREFIX = "/bergamotmast/claims/"

MAX_ANSWER_BYTES = 2048
"""Maximum length of an answer's body that is stored for replays."""


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a claimed call, returned to replays of the call."""

    status: int
    body: bytes
    content_type: str


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """Claim of a call.

    :param nonce: random for each claim; identifies the record to its writer.
    :param digest: digest of the request; another request with this key is refused.
    :param owner: name of the entry that made the claim, for operators.
    :param done: whether the call has completed.
    :param answer: its answer, if no longer than :data:`MAX_ANSWER_BYTES`.
    """

    nonce: bytes
    digest: bytes
    owner: str
    done: bool = False
    answer: StoredAnswer | None = None


def claim_key(key: str) -> str:
    """Return the key at which the claim of a caller's key is stored.

    The hash is cryptographic: a tenant that could find two keys with the same hash
    would see another tenant's answer.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return CLAIMS_PREFIX + digest


def stored_answer(answer: ServiceAnswer) -> StoredAnswer | None:
    """Return the stored form of an answer; ``None`` if its body is too long."""
    if len(answer.body) > MAX_ANSWER_BYTES:
        return None
    return StoredAnswer(answer.status, answer.body, answer.content_type)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = MessagePackDecoder[ClaimRecord](ClaimRecord)


def encode_claim(record: ClaimRecord) -> bytes:
    """Encode a record as msgpack."""
    return _ENCODER.encode(record)


def decode_claim(data: bytes) -> ClaimRecord:
    """Decode a record.

    :raises DecodingError: if the data is not a claim's record.
    """
    return _DECODER.decode(data)
