"""JSON lines to a descriptor that may be slow or full: bounded, and never waiting."""

from __future__ import annotations

import collections
import json
import logging
import os
import time
import typing as t

import msgspec

MOST_WAITING_BYTES = 256 * 1024
"""Lines held while the reader of the logs is slow; more are counted and dropped."""

LINES_A_SECOND = 400
"""Most lines below a warning in a second: about four times the usual load of an
entry. Warnings and errors are never left out for their number."""

_OWN_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "process_name",
    "request",
    "request_id",
}


class BoundedJsonHandler(logging.Handler):
    """Writes each record as one line of JSON, if it can be done at once.

    A pipe whose reader has stopped would block a plain write, and with it every
    request of the process. The descriptor is therefore set not to block; what does
    not fit is held up to :data:`MOST_WAITING_BYTES` and then dropped, and the next
    line that is written says how many lines are missing.

    :param descriptor: where to, usually that of standard output.
    """

    def __init__(self, descriptor: int, process_name: str) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.process_name = process_name
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped = 0
        self.second = 0
        self.lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or hold or drop it."""
        if not self._may_write(record):
            self.dropped += 1
            return
        try:
            line = self._encode(record)
        except Exception:
            # Whatever can't be written must not end the request that wrote it: its
            # caller would have a closed connection in place of its answer.
            self.dropped += 1
            return
        if self.waiting_bytes + len(line) > MOST_WAITING_BYTES:
            self.dropped += 1
        else:
            self.waiting.append(line)
            self.waiting_bytes += len(line)
            # Only a line that is kept has told of those before it.
            self.dropped = 0
        self.flush()

    def flush(self) -> None:
        """Write as much of what is held as the descriptor takes."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process must serve on all the same.
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()

    def _may_write(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        return self.lines <= LINES_A_SECOND or record.levelno >= logging.WARNING

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
            if name not in _OWN_FIELDS and name not in fields:
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
        # A caller's bytes that are no UTF-8, which this one writes as escapes.
        return json.dumps(fields, default=str).encode()
