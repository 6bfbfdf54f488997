"""Fingerprint by which the tries of one request are recognized.

A caller that sends a request again gives it another id, and may use another connection,
entry and headers such as the time it has left. What stays is where the request goes and
what it contains.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16


def fingerprint(*parts: bytes) -> str:
    """Return the digest of a request's parts, in hexadecimal.

    The hash is cryptographic: with a weaker one, a caller could choose a request that
    shares the digest of another caller's, and have that one refused.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
