"""Structured logs: one line each, as text or JSON, with the request they belong to."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import contextvars
import logging
import sys
import typing as t

from .bounded_log import BoundedJsonHandler

TEXT_FORMAT = "%(asctime)s %(levelname)s %(process_name)s %(name)s%(request)s"
JSON_FIELDS = ("levelname", "name", "message", "process_name", "request_id")

_request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)


@contextlib.contextmanager
def request_context(request_id: str) -> cabc.Iterator[None]:
    """Mark every log line written inside as belonging to a request."""
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


class ContextFilter(logging.Filter):
    """Adds the process's name and the request's id to each record.

    :param process_name: name of this process.
    """

    def __init__(self, process_name: str) -> None:
        super().__init__()
        self.process_name = process_name

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields and let the record pass."""
        request_id = _request_id.get()
        record.process_name = self.process_name
        record.request_id = request_id
        record.request = f" [{request_id}]" if request_id else ""
        return True


def new_handler(
    log_format: str, process_name: str, stream: t.TextIO | None = None
) -> logging.Handler:
    """Return a handler that writes one form of log line.

    :param log_format: ``text`` or ``json``.
    :param stream: where to; the standard error stream by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.addFilter(ContextFilter(process_name))
    handler.setFormatter(_formatter(log_format))
    return handler


def configure_logs(log_format: str, log_level: str, process_name: str) -> None:
    """Send the logs of the whole process to the standard error stream."""
    _send_all_to(new_handler(log_format, process_name), log_level)
    # The library tells of each transition, twice a second for each engine at rest.
    logging.getLogger("transitions").setLevel(logging.WARNING)


def _formatter(log_format: str) -> logging.Formatter:
    if log_format == "json":
        from pythonjsonlogger.json import JsonFormatter

        fields = " ".join(f"%({field})s" for field in JSON_FIELDS)
        return JsonFormatter(fields, timestamp=True)
    return logging.Formatter(TEXT_FORMAT + " %(message)s")


def configure_decision_logs(log_level: str, process_name: str) -> None:
    """Send the logs of the whole process to standard output, bounded, as JSON."""
    handler = BoundedJsonHandler(sys.stdout.fileno(), process_name)
    handler.addFilter(ContextFilter(process_name))
    _send_all_to(handler, log_level)


def _send_all_to(handler: logging.Handler, log_level: str) -> None:
    root = logging.getLogger()
    for earlier in root.handlers[:]:
        root.removeHandler(earlier)
    root.addHandler(handler)
    root.setLevel(log_level.upper())
