"""Samples that the capacity measurements print."""

from __future__ import annotations

import msgspec


class ControlSample(msgspec.Struct, frozen=True):
    """Control traffic of an idle fleet.

    Rates are per second; bytes are payload, without the transport's framing.

    :param sessions: open sessions between entries and sides.
    :param entry_bytes: mean sent and received by an entry that isn't the planner.
    :param side_bytes: mean sent and received by a side.
    :param observer_bytes: sent and received by the planning entry over sessions that
        only observe.
    :param session_frames: frames of one session, both ways.
    :param session_bytes: bytes of one session, both ways.
    :param cpu_us_per_frame: processor time of the whole process for each frame,
        microseconds.
    :param kv_reads: read calls of the key-value service, without watches.
    :param kv_writes: writes and lease renewals at the key-value service.
    :param kv_watches: number of open watches.
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
    """Memory of Python objects that each part of a fleet adds, bytes.

    :param session: memory at both ends together.
    """

    entry: float
    side: float
    session: float


class ConfigSample(msgspec.Struct, frozen=True):
    """Cost of a configuration document for a number of tenants.

    :param document_bytes: length of the document.
    :param apply_ms: processor time to apply a document, milliseconds.
    :param memory: memory of the process's copy, bytes.
    """

    tenants: int
    upstreams: int
    document_bytes: int
    apply_ms: float
    memory: int


class EditSample(msgspec.Struct, frozen=True):
    """Cost of one configuration edit, beyond the traffic of an idle fleet.

    :param processes: processes that watch the configuration.
    :param reads: read calls of the key-value service by one process.
    :param read_bytes: bytes that one process reads there.
    :param peer_bytes: bytes that one process exchanges with its peers.
    :param cpu_ms: processor time of one process, milliseconds.
    :param slowest_seconds: from the start of an edit until every process applied it;
        maximum over the edits.
    """

    tenants: int
    processes: int
    reads: float
    read_bytes: float
    peer_bytes: float
    cpu_ms: float
    slowest_seconds: float


class ListSample(msgspec.Struct, frozen=True):
    """Cost of reading the instance list.

    :param instances: instances in the list.
    :param bytes: length of the list in JSON.
    :param decode_ms: processor time to decode it, milliseconds.
    """

    instances: int
    bytes: int
    decode_ms: float


class SubsetSample(msgspec.Struct, frozen=True):
    """Sessions of a fleet whose entries connect to a subset of each group.

    :param groups: groups of engines, one for each model.
    :param per_entry: maximum sessions of an entry.
    :param per_side_least: minimum sessions of a side.
    :param per_side_most: maximum sessions of a side.
    :param most_in_one_zone: maximum sessions of an entry with one group in one zone.
    """

    entries: int
    sides: int
    groups: int
    per_entry: int
    per_side_least: int
    per_side_mean: float
    per_side_most: int
    most_in_one_zone: int
