"""The story of one request, from the log lines of several processes.

Lines are JSON objects as :mod:`.bounded_log` writes them. What stands before an object
on its line, such as a collector's time stamp, is passed over.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import typing as t

import msgspec

from .errors import CODE_INFO
from .errors import ResultCode

BEFORE_SECONDS = 3.0
"""What a process learnt so long before a request arrived may have decided it."""

_COMMON = frozenset({"at", "steady", "level", "process", "event", "request_id"})

_ABOUT_STATE = frozenset(
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
"""Events that bear on every request of their process."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process's log.

    :param at: time of day, seconds; only for lines of different processes.
    :param steady: the process's own clock, seconds; never goes back.
    :param fields: what else the line says, in its order.
    """

    at: float
    steady: float
    process: str
    event: str
    request_id: str
    fields: cabc.Mapping[str, t.Any]


def read_line(text: str) -> LogLine | None:
    """Read one line; ``None`` for one that is no log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        plain = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
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
    """Return the story of a request at each process that met it; empty for none."""
    by_process: dict[str, list[LogLine]] = {}
    for line in lines:
        by_process.setdefault(line.process, []).append(line)
    stories = []
    for process, own in by_process.items():
        met = [line for line in own if line.request_id == request_id]
        if met:
            stories.append((met[0].at, _story(request_id, process, own, met)))
    return "\n".join(story for _, story in sorted(stories))


def _story(
    request_id: str, process: str, own: list[LogLine], met: list[LogLine]
) -> str:
    arrived = _arrival(met)
    last = max(line.steady for line in met)
    named = {line.fields.get("upstream") for line in met} | {
        line.fields.get("reader") for line in met
    }
    told = [f"{request_id} at {process or 'a process without a name'}"]
    for line in sorted(own, key=lambda line: line.steady):
        if line.request_id not in ("", request_id):
            continue
        if arrived - BEFORE_SECONDS <= line.steady <= last and _bears_on(line, named):
            told.append(_shown(line, arrived))
    return "\n".join([*told, _verdict(met)]) + "\n"


def _bears_on(line: LogLine, named: set[t.Any]) -> bool:
    """Return whether a line is of the request, its upstreams or its process."""
    if line.request_id or line.event in _ABOUT_STATE:
        return True
    if line.fields.get("dropped_before"):
        return True
    return (
        line.fields.get("upstream") is not None and line.fields.get("upstream") in named
    )


def _arrival(met: list[LogLine]) -> float:
    """Return when a request arrived, on its process's clock."""
    for line in met:
        took = line.fields.get("ms")
        if line.event == "request ended" and isinstance(took, int | float):
            return line.steady - took / 1e3
    return min(line.steady for line in met)


def _shown(line: LogLine, arrived: float) -> str:
    fields = " ".join(f"{name}={_text(value)}" for name, value in line.fields.items())
    return f"  {line.steady - arrived:+8.3f} s  {line.event}  {fields}".rstrip()


def _verdict(met: list[LogLine]) -> str:
    ended = [line for line in met if line.event == "request ended"]
    if not ended:
        return (
            "  No end is logged here: it is still under way, or its line was dropped."
        )
    code = ended[-1].fields.get("code")
    if code not in {int(known) for known in ResultCode}:
        return f"  It ended with {code}, a result code that is not known here."
    result = ResultCode(code)
    info = CODE_INFO[result]
    ran = info.outcome.value.replace("_", " ")
    return f"  {code} {result.name}: {info.sentence} What is known of it: {ran}."


def _text(value: t.Any) -> str:
    return value if isinstance(value, str) and " " not in value else _json(value)


def _json(value: t.Any) -> str:
    return msgspec.json.encode(value).decode()


def _number(value: t.Any) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
