"""Checks of upstreams' registrations, which any writer may have put into the store."""

from __future__ import annotations

from ..errors import ConfigError
from ..ports import KeyValue
from .model import Upstream
from .ports import Directory

MAX_REGISTRATION_BYTES = 16_384
"""Maximum size of a registration; those of the platform have some 200 bytes."""

MAX_SLOTS = 100_000
"""Maximum number of slots. An upstream that registers more than any machine has would
look idle under any load and get all requests of its group."""

MAX_ERROR_CHARACTERS = 200
"""Length at which the error is cut off: it may quote the value, and is logged."""


def decode_registration(directory: Directory, item: KeyValue) -> Upstream:
    """Return the upstream that a registration names.

    :raises ConfigError: if it names no upstream that can be used.
    """
    if len(item.value) > MAX_REGISTRATION_BYTES:
        raise ConfigError(f"{item.key} has {len(item.value)} bytes")
    try:
        upstream = directory.decode_upstream(item.key, item.value)
    except ConfigError as error:
        raise ConfigError(error.message[:MAX_ERROR_CHARACTERS]) from None
    if not upstream.name:
        raise ConfigError(f"{item.key} has no name")
    if not 0 < upstream.slots <= MAX_SLOTS:
        raise ConfigError(f"{item.key} has {upstream.slots} slots")
    return upstream
