"""Typed records of a run, stored as JSON lines and read by the checker."""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import typing as t

import msgspec

from .decoding import JsonDecoder


class Record(msgspec.Struct, frozen=True, tag_field="kind", kw_only=True):
    """Base class of all records.

    :param at: time of the event, seconds on the clock of the run.
    """

    at: float


class RequestSent(Record, frozen=True, tag="request_sent"):
    """A caller sent a request.

    :param expected_text: complete response that the stand-in will give; empty if
        unknown.
    """

    request: str
    request_class: str
    repeatable: bool = True
    idempotency_key: str = ""
    expected_text: str = ""


class RequestAnswered(Record, frozen=True, tag="request_answered"):
    """A caller has received its final response.

    :param code: result code; 0 for a complete response.
    :param outcome: ``ran``, ``not_run`` or ``unknown``, as reported to the caller.
    :param cut_off: whether the response broke off without a result code.
    """

    request: str
    code: int
    outcome: str
    text: str = ""
    cut_off: bool = False


class Execution(Record, frozen=True, tag="execution"):
    """An upstream began to run a request; recorded by its stand-in.

    :param key: idempotency key that the upstream received; empty for none.
    """

    upstream: str
    request: str
    key: str = ""


class AttemptRecord(Record, frozen=True, tag="attempt"):
    """A side's record of an event of an attempt.

    :param event: ``started``, ``refused``, ``never_started`` or ``done``.
    """

    upstream: str
    request: str
    attempt: str
    event: str


class OrderTaken(Record, frozen=True, tag="order_taken"):
    """An engine accepted an order; recorded by its stand-in."""

    engine: str
    epoch: int
    revision: int
    assignment: str


class OrderEnded(Record, frozen=True, tag="order_ended"):
    """An engine completed an order, or lost it in a crash."""

    engine: str
    epoch: int
    revision: int
    completed: bool


class PlanWritten(Record, frozen=True, tag="plan_written"):
    """The key-value service accepted a write of the plan."""

    epoch: int
    revision: int
    writer: str


class ConfigAccepted(Record, frozen=True, tag="config_accepted"):
    """The key-value service accepted a configuration."""

    generation: int


class ConfigInForce(Record, frozen=True, tag="config_in_force"):
    """A process began to use a configuration."""

    process: str
    generation: int


class LeavingAnnounced(Record, frozen=True, tag="leaving_announced"):
    """An upstream was first announced as leaving, by any signal."""

    upstream: str


class StayingAnnounced(Record, frozen=True, tag="staying_announced"):
    """All signals announce again that an upstream stays."""

    upstream: str


class ProcessStarted(Record, frozen=True, tag="process_started"):
    """A process began to serve, with no state from an earlier run."""

    process: str


class ProcessStopped(Record, frozen=True, tag="process_stopped"):
    """A process ended, for whatever reason."""

    process: str


class ProcessUnreachable(Record, frozen=True, tag="process_unreachable"):
    """A process was paused or partitioned from all others."""

    process: str


class ProcessReachable(Record, frozen=True, tag="process_reachable"):
    """A paused or partitioned process is reachable again."""

    process: str


class PlannedChange(Record, frozen=True, tag="planned_change"):
    """A planned change of the fleet began."""

    upstream: str
    change: str


AnyRecord: t.TypeAlias = (
    RequestSent
    | RequestAnswered
    | Execution
    | AttemptRecord
    | OrderTaken
    | OrderEnded
    | PlanWritten
    | ConfigAccepted
    | ConfigInForce
    | LeavingAnnounced
    | StayingAnnounced
    | ProcessStarted
    | ProcessStopped
    | ProcessUnreachable
    | ProcessReachable
    | PlannedChange
)


class HistorySink(t.Protocol):
    """Receiver of records, in the order of the events."""

    def record(self, record: AnyRecord) -> None:
        """Store or discard one record."""
        ...


class NullHistory:
    """History that discards all records."""

    def record(self, record: AnyRecord) -> None:
        """Discard the record."""


class MemoryHistory:
    """History that stores all records in a list.

    :param records: stored records, oldest first.
    """

    def __init__(self) -> None:
        self.records: list[AnyRecord] = []

    def record(self, record: AnyRecord) -> None:
        """Append the record to the list."""
        self.records.append(record)


def write_history(path: pathlib.Path, records: cabc.Iterable[AnyRecord]) -> None:
    """Write records to a file as JSON lines."""
    encoder = msgspec.json.Encoder()
    with path.open("wb") as file:
        for record in records:
            file.write(encoder.encode(record) + b"\n")


def read_history(path: pathlib.Path) -> list[AnyRecord]:
    """Read records that were written by :func:`write_history`.

    :raises DecodingError: if a line isn't a record.
    """
    decoder = JsonDecoder[AnyRecord](AnyRecord)
    with path.open("rb") as file:
        return [decoder.decode(line) for line in file if line.strip()]
