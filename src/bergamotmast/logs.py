"""Configuration of structured logs, as text or JSON, with the id of the request."""

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
    """Add the request's id to all log lines that are written in the block."""
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


class ContextFilter(logging.Filter):
    """Logging filter that adds the process's name and the request's id to each record.

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
    """Return a logging handler for a log format.

    :param log_format: ``text`` or ``json``.
    :param stream: stream to write to; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.addFilter(ContextFilter(process_name))
    handler.setFormatter(_formatter(log_format))
    return handler


def configure_logs(log_format: str, log_level: str, process_name: str) -> None:
    """Write all logs of the process to standard error.

    :param log_format: ``text`` or ``json``.
    :param log_level: lowest level to write.
    """
    _set_root_handler(new_handler(log_format, process_name), log_level)
    # The library logs each transition, twice a second for each idle engine.
    logging.getLogger("transitions").setLevel(logging.WARNING)


def _formatter(log_format: str) -> logging.Formatter:
    if log_format == "json":
        from pythonjsonlogger.json import JsonFormatter

        fields = " ".join(f"%({field})s" for field in JSON_FIELDS)
        return JsonFormatter(fields, timestamp=True)
    return logging.Formatter(TEXT_FORMAT + " %(message)s")


def configure_decision_logs(log_level: str, process_name: str) -> None:
    """Write all logs of the process to standard output as JSON, without blocking."""
    handler = BoundedJsonHandler(sys.stdout.fileno(), process_name)
    handler.addFilter(ContextFilter(process_name))
    _set_root_handler(handler, log_level)


def _set_root_handler(handler: logging.Handler, log_level: str) -> None:
    root = logging.getLogger()
    for earlier in root.handlers[:]:
        root.removeHandler(earlier)
    root.addHandler(handler)
    root.setLevel(log_level.upper())
