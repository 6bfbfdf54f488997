"""Data about crashes of upstreams."""

from __future__ import annotations

import dataclasses
import hashlib

CRASH_ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of an upstream's process.

    :param name: name of the upstream.
    :param boot: id that changes with each restart.
    """

    name: str
    boot: str

    @property
    def crash_id(self) -> str:
        """Id of the crash of this incarnation.

        It is short and hexadecimal, whatever the name is, as keys are limited.
        """
        text = f"{self.name}\n{self.boot}".encode(errors="surrogateescape")
        return hashlib.blake2b(text, digest_size=CRASH_ID_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost with its upstream.

    :param fingerprint: fingerprint of the request, the same for all of its tries.
    :param request_id: id of the caller's try.
    :param parts: names of the parts of its prompt that other prompts may share.
    :param sent_at: when it was sent; a point in time.
    :param build: version of the upstream's software.
    :param tried: those of the parts that were on trial, and ran apart from others.
    """

    fingerprint: str
    request_id: str
    parts: tuple[str, ...] = ()
    sent_at: float = 0.0
    build: str = ""
    tried: tuple[str, ...] = ()
