"""The samples that the measurement of capacity prints."""

from __future__ import annotations

import msgspec


class ControlSample(msgspec.Struct, frozen=True):
    """Control traffic of a fleet at rest.

    Rates are a second; bytes are payload, without the transport's own few.

    :param sessions: open sessions between entries and sides.
    :param entry_bytes: sent and received by an entry that doesn't plan, mean.
    :param side_bytes: sent and received by a side, mean.
    :param observer_bytes: sent and received by the entry that plans, over the
        sessions in which it only observes.
    :param session_frames: of one session, both ways.
    :param session_bytes: the same in bytes.
    :param cpu_us_per_frame: processor time of everything, over all frames.
    :param kv_reads: calls that read; watches not counted.
    :param kv_writes: writes and lease renewals.
    :param kv_watches: watches that wait.
    :param list_reads: calls of the instance list.
    """

    entries: int
    sides: int
    sessions: int
    entry_bytes: float
    side_bytes: float
    observer_bytes: float
    session_frames: float
    session_bytes: float
    cpu_us_per_frame: float
    kv_reads: float
    kv_writes: float
    kv_watches: int
    list_reads: float


class MemorySample(msgspec.Struct, frozen=True):
    """Bytes of Python objects that each part of a fleet keeps.

    :param session: at both its ends together.
    """

    entry: float
    side: float
    session: float


class ConfigSample(msgspec.Struct, frozen=True):
    """What the document costs at a number of tenants.

    :param document_bytes: length of the document.
    :param apply_ms: processor time to take a document, milliseconds.
    :param memory: bytes that a holder keeps.
    """

    tenants: int
    upstreams: int
    document_bytes: int
    apply_ms: float
    memory: int


class EditSample(msgspec.Struct, frozen=True):
    """What one edit costs the service and each process that follows it.

    :param reads: calls of the service by one process.
    :param read_bytes: bytes read by one process.
    :param peer_bytes: bytes of a process to and from its peers beyond those at rest.
    :param cpu_ms: processor time of one process.
    :param slowest_seconds: from acceptance until in force in the last process.
    """

    tenants: int
    processes: int
    reads: float
    read_bytes: float
    peer_bytes: float
    cpu_ms: float
    slowest_seconds: float


class ListSample(msgspec.Struct, frozen=True):
    """Length of the instance list in JSON, and what reading it takes."""

    instances: int
    bytes: int
    decode_ms: float


class SubsetSample(msgspec.Struct, frozen=True):
    """Sessions of a whole fleet, from the choice that entries make.

    :param groups: groups of engines, as many as models.
    :param per_entry: most sessions of one entry.
    :param most_in_one_zone: most of an entry's sessions of one group in one zone.
    """

    entries: int
    sides: int
    groups: int
    per_entry: int
    per_side_least: int
    per_side_mean: float
    per_side_most: int
    most_in_one_zone: int
