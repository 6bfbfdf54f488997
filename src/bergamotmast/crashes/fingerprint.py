"""Fingerprint by which the tries of one request are recognized.

A caller that sends a request again gives it another id, and may use another connection,
entry and headers such as the time it has left. What stays is where the request goes and
what it contains.
"""

from __future__ import annotations

import hashlib
import re

DIGEST_BYTES = 16

_SHORT_HEX = re.compile(r"[0-9a-f]{1,32}")


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


def part_name(part_id: str) -> str:
    """Return the name of a prompt's part in logs and in the store.

    It is the id itself, by which operators find the prompts, unless a caller chose one
    that is not fit for a key: its digest then begins with a letter that no id has.
    """
    if _SHORT_HEX.fullmatch(part_id):
        return part_id
    return "x" + fingerprint(part_id.encode(errors="surrogateescape"))
