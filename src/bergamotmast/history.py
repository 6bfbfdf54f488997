"""Typed records of a run, written as JSON lines and read by the checker."""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import typing as t

import msgspec


class Record(msgspec.Struct, frozen=True, tag_field="kind", kw_only=True):
    """What every record carries.

    :param at: seconds on the clock of the run.
    """

    at: float


class RequestSent(Record, frozen=True, tag="request_sent"):
    """A caller sent a request.

    :param expected_text: the whole answer that the stand-in will give; empty if the
        caller can't know it.
    """

    request: str
    request_class: str
    repeatable: bool = True
    idempotency_key: str = ""
    expected_text: str = ""


class RequestAnswered(Record, frozen=True, tag="request_answered"):
    """A caller has its final answer.

    :param code: numbered result code; 0 for the whole answer.
    :param outcome: ``ran``, ``not_run`` or ``unknown``, as the caller was told.
    :param cut_off: whether the answer broke off without a code.
    """

    request: str
    code: int
    outcome: str
    text: str = ""
    cut_off: bool = False


class Execution(Record, frozen=True, tag="execution"):
    """An upstream began to run a request, as its stand-in saw it.

    :param key: the idempotency key that reached the upstream; empty for none.
    """

    upstream: str
    request: str
    key: str = ""


class AttemptRecord(Record, frozen=True, tag="attempt"):
    """A side's word on one attempt.

    :param event: ``started``, ``refused``, ``never_started`` or ``done``.
    """

    upstream: str
    request: str
    attempt: str
    event: str


class OrderTaken(Record, frozen=True, tag="order_taken"):
    """An engine took an order, as its stand-in saw it."""

    engine: str
    epoch: int
    revision: int
    assignment: str


class OrderEnded(Record, frozen=True, tag="order_ended"):
    """An engine finished an order or lost it in a crash."""

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
    """A process began to act on a configuration."""

    process: str
    generation: int


class LeavingAnnounced(Record, frozen=True, tag="leaving_announced"):
    """Somebody first said that an upstream is leaving."""

    upstream: str


class StayingAnnounced(Record, frozen=True, tag="staying_announced"):
    """Every signal says again that an upstream stays."""

    upstream: str


class ProcessStarted(Record, frozen=True, tag="process_started"):
    """A process began to serve, with nothing in its memory."""

    process: str


class ProcessStopped(Record, frozen=True, tag="process_stopped"):
    """A process ended, in whatever way."""

    process: str


class ProcessUnreachable(Record, frozen=True, tag="process_unreachable"):
    """A process was paused or cut off from every other one."""

    process: str


class ProcessReachable(Record, frozen=True, tag="process_reachable"):
    """A paused or cut-off process is back."""

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
    """Takes records in the order they happened."""

    def record(self, record: AnyRecord) -> None:
        """Take one record."""
        ...


class NullHistory:
    """Keeps nothing."""

    def record(self, record: AnyRecord) -> None:
        """Drop the record."""


class MemoryHistory:
    """Keeps the records in a list.

    :param records: records so far, oldest first.
    """

    def __init__(self) -> None:
        self.records: list[AnyRecord] = []

    def record(self, record: AnyRecord) -> None:
        """Append the record."""
        self.records.append(record)


def write_history(path: pathlib.Path, records: cabc.Iterable[AnyRecord]) -> None:
    """Write records as JSON lines."""
    encoder = msgspec.json.Encoder()
    with path.open("wb") as file:
        for record in records:
            file.write(encoder.encode(record) + b"\n")


def read_history(path: pathlib.Path) -> list[AnyRecord]:
    """Read records written by :func:`write_history`.

    :raises msgspec.ValidationError: for a line that is no record.
    """
    decoder = msgspec.json.Decoder(AnyRecord)
    with path.open("rb") as file:
        return [decoder.decode(line) for line in file if line.strip()]
