"""Logging handler that writes JSON lines without blocking, with a bounded buffer."""

from __future__ import annotations

import collections
import json
import logging
import os
import time
import typing as t

import msgspec

MAX_BUFFERED_BYTES = 256 * 1024
"""Buffer size for a slow reader; lines that don't fit are dropped and counted."""

MAX_LINES_PER_SECOND = 400
"""Rate limit of lines below the warning level, about four times the usual rate of an
entry. Warnings and errors are not limited."""

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "process_name",
    "request",
    "request_id",
}


class BoundedJsonHandler(logging.Handler):
    """Logging handler that writes each record as one line of JSON and never blocks.

    If the reader of a pipe stops, a blocking write would stall all requests of the
    process. The descriptor is therefore set to non-blocking mode. Lines that it doesn't
    accept are buffered up to :data:`MAX_BUFFERED_BYTES` and then dropped, and the next
    written line gives the number of dropped lines.

    :param descriptor: file descriptor to write to, usually standard output.
    :param process_name: name of this process, written to each line.
    """

    def __init__(self, descriptor: int, process_name: str) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.process_name = process_name
        self.buffered_lines: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.current_second = 0
        self.lines_in_second = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write, buffer or drop a record."""
        if not self._is_within_rate_limit(record):
            self.dropped += 1
            return
        try:
            line = self._encode(record)
        except Exception:
            # A record that can't be encoded must not fail the request that logs it:
            # its caller would get a closed connection instead of a response.
            self.dropped += 1
            return
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self.buffered_lines.append(line)
            self.buffered_bytes += len(line)
            # Reset only now, as the line that reports the count could be dropped too.
            self.dropped = 0
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self.buffered_lines:
            line = self.buffered_lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; the process must continue to serve.
                self.buffered_lines.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffered_lines[0] = line[written:]
                return
            self.buffered_lines.popleft()

    def _is_within_rate_limit(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self.current_second:
            self.current_second = second
            self.lines_in_second = 0
        self.lines_in_second += 1
        return (
            self.lines_in_second <= MAX_LINES_PER_SECOND
            or record.levelno >= logging.WARNING
        )

    def _encode(self, record: logging.LogRecord) -> bytes:
        fields: dict[str, t.Any] = {
            "at": round(record.created, 3),
            "steady": round(time.monotonic(), 3),
            "level": record.levelname.lower(),
            "process": self.process_name,
            "event": record.getMessage(),
        }
        request_id = getattr(record, "request_id", "")
        if request_id:
            fields["request_id"] = request_id
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS and name not in fields:
                fields[name] = value
        if record.exc_info:
            fields["exception"] = logging.Formatter().formatException(record.exc_info)
        if self.dropped:
            fields["dropped_before"] = self.dropped
        return _json(fields) + b"\n"


def _json(fields: dict[str, t.Any]) -> bytes:
    try:
        return msgspec.json.encode(fields, enc_hook=str)
    except UnicodeEncodeError:
        # A value with bytes that are not UTF-8, which ``json`` writes as escapes.
        return json.dumps(fields, default=str).encode()
