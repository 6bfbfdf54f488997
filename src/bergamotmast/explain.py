"""Timeline of one request, from the log lines of several processes.

Lines are JSON objects as :mod:`.bounded_log` writes them. Text before the object on a
line, such as a log collector's time stamp, is ignored.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

import msgspec

from .decoding import DecodingError
from .decoding import decode_json
from .errors import CODE_INFO
from .errors import ResultCode

LOOKBACK_SECONDS = 3.0
"""Time before a request's arrival from which events of its process are shown too, as
they may have affected its handling."""

_COMMON = frozenset({"at", "steady", "level", "process", "event", "request_id"})

_PROCESS_EVENTS = frozenset(
    {
        "starts",
        "stops soon",
        "takes no more requests",
        "reload",
        "store is lost",
        "store is reached",
        "configuration is in force",
        "entry is not registered",
    }
)
"""Events that may affect all requests of their process."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Line of a process's log.

    :param at: Unix time, seconds; used only to order different processes.
    :param steady: monotonic clock of the process, seconds.
    :param process: name of the process.
    :param event: log message.
    :param request_id: id of the request; empty for none.
    :param fields: other fields of the line, in their order.
    """

    at: float
    steady: float
    process: str
    event: str
    request_id: str
    fields: cabc.Mapping[str, t.Any]


def read_line(text: str) -> LogLine | None:
    """Parse a line; return ``None`` if it isn't a log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        plain = decode_json(text[start:], object)
    except DecodingError:
        return None
    if not isinstance(plain, dict) or not isinstance(plain.get("event"), str):
        return None
    return LogLine(
        at=_number(plain.get("at")),
        steady=_number(plain.get("steady")),
        process=str(plain.get("process", "")),
        event=plain["event"],
        request_id=str(plain.get("request_id", "")),
        fields={name: plain[name] for name in plain if name not in _COMMON},
    )


def explain(request_id: str, lines: cabc.Iterable[LogLine]) -> str:
    """Return a request's timeline at each process that handled it; empty for none."""
    by_process: dict[str, list[LogLine]] = {}
    for line in lines:
        by_process.setdefault(line.process, []).append(line)
    timelines = []
    for process, own in by_process.items():
        of_request = [line for line in own if line.request_id == request_id]
        if of_request:
            timelines.append(
                (of_request[0].at, _timeline(request_id, process, own, of_request))
            )
    return "\n".join(timeline for _, timeline in sorted(timelines))


def _timeline(
    request_id: str, process: str, own: list[LogLine], of_request: list[LogLine]
) -> str:
    """Return the timeline of a request at one process.

    :param own: all lines of the process.
    :param of_request: those with the request's id.
    """
    arrived = _arrival(of_request)
    last = max(line.steady for line in of_request)
    upstreams = {line.fields.get("upstream") for line in of_request} | {
        line.fields.get("reader") for line in of_request
    }
    shown = [f"{request_id} at {process or 'a process without a name'}"]
    for line in sorted(own, key=lambda line: line.steady):
        if line.request_id not in ("", request_id):
            continue
        if arrived - LOOKBACK_SECONDS <= line.steady <= last and _is_relevant(
            line, upstreams
        ):
            shown.append(_format_line(line, arrived))
    return "\n".join([*shown, _format_result(of_request)]) + "\n"


def _is_relevant(line: LogLine, upstreams: set[t.Any]) -> bool:
    """Return whether a line concerns the request, its upstreams or its process."""
    if line.request_id or line.event in _PROCESS_EVENTS:
        return True
    if line.fields.get("dropped_before"):
        return True
    return (
        line.fields.get("upstream") is not None
        and line.fields.get("upstream") in upstreams
    )


def _arrival(of_request: list[LogLine]) -> float:
    """Return the arrival time of a request, on its process's monotonic clock."""
    for line in of_request:
        took = line.fields.get("ms")
        if line.event == "request ended" and isinstance(took, int | float):
            return line.steady - took / 1e3
    return min(line.steady for line in of_request)


def _format_line(line: LogLine, arrived: float) -> str:
    fields = " ".join(f"{name}={_text(value)}" for name, value in line.fields.items())
    return f"  {line.steady - arrived:+8.3f} s  {line.event}  {fields}".rstrip()


def _format_result(of_request: list[LogLine]) -> str:
    """Return a sentence on the request's result code, or on its missing end."""
    ended = [line for line in of_request if line.event == "request ended"]
    if not ended:
        return "  No end is logged here: it is still running, or its line was dropped."
    code = ended[-1].fields.get("code")
    if code not in {int(known) for known in ResultCode}:
        return f"  It ended with {code}, a result code that is not known here."
    result = ResultCode(code)
    info = CODE_INFO[result]
    ran = info.outcome.value.replace("_", " ")
    return f"  {code} {result.name}: {info.description} What is known of it: {ran}."


def _text(value: t.Any) -> str:
    return value if isinstance(value, str) and " " not in value else _json(value)


def _json(value: t.Any) -> str:
    return msgspec.json.encode(value).decode()


def _number(value: t.Any) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
