"""Trace files: requests with arrival times, as JSON lines."""

from __future__ import annotations

import collections.abc as cabc
import pathlib

import msgspec

from ..decoding import DecodingError
from ..decoding import JsonDecoder
from ..errors import BergamotmastError


class TraceError(BergamotmastError):
    """A trace or fleet file can't be read or is invalid."""

    exit_code = 2


class TraceRequest(
    msgspec.Struct, frozen=True, kw_only=True, rename={"klass": "class"}
):
    """One request of a trace; unknown fields are ignored.

    :param at: arrival, seconds after the start of the trace.
    :param klass: request class, ``class`` in the file.
    :param model: model name; empty for a call of a plain service.
    :param output_tokens: length of the whole answer, which the system can't see.
    :param prefix: name of the prompt's shared prefix, if any.
    :param repeatable: whether the call may be executed more than once.
    :param deadline: seconds after arrival.
    """

    at: float
    tenant: str = "tenant"
    klass: str = "default"
    model: str = ""
    prompt_tokens: int = 1
    output_tokens: int = 1
    prefix: str | None = None
    repeatable: bool = True
    deadline: float = 60.0


def read_trace(path: pathlib.Path) -> tuple[TraceRequest, ...]:
    """Read a trace and sort it by arrival.

    :raises TraceError: naming the first invalid line.
    """
    decoder = JsonDecoder[TraceRequest](TraceRequest)
    requests = []
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise TraceError(f"--trace: {path}: {error.strerror}.") from error
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            requests.append(decoder.decode(line))
        except DecodingError as error:
            raise TraceError(f"--trace: {path}, line {number}: {error}.") from error
    return tuple(sorted(requests, key=lambda r: r.at))


def write_trace(path: pathlib.Path, requests: cabc.Iterable[TraceRequest]) -> None:
    """Write a trace as JSON lines."""
    with path.open("wb") as file:
        for request in requests:
            file.write(msgspec.json.encode(request) + b"\n")
