"""The logging handler that writes JSON lines without blocking."""

from __future__ import annotations

import ast
import json
import logging
import os
import pathlib
import time

import pytest

from bergamotmast import bounded_log
from bergamotmast.bounded_log import MAX_BUFFERED_BYTES
from bergamotmast.bounded_log import MAX_LINES_PER_SECOND
from bergamotmast.bounded_log import BoundedJsonHandler


@pytest.fixture
def pipe():
    """Return a logger that writes to a pipe, its handler, and the pipe's read end."""
    readable, writable = os.pipe()
    handler = BoundedJsonHandler(writable, "entry-1")
    logger = logging.Logger("test")
    logger.addHandler(handler)
    yield logger, handler, readable
    os.close(readable)
    os.close(writable)


def lines(readable: int) -> list[dict]:
    os.set_blocking(readable, False)
    data = b""
    try:
        while part := os.read(readable, 1 << 16):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_line_contains_the_event_and_extra_fields(pipe):
    logger, _, readable = pipe
    logger.info("send failed", extra={"upstream": "i-1", "sends": 2})
    (line,) = lines(readable)
    assert line["event"] == "send failed"
    assert line["process"] == "entry-1"
    assert (line["upstream"], line["sends"]) == ("i-1", 2)
    assert {"at", "steady", "level"} <= set(line)


def test_exception_is_written_on_one_line(pipe):
    logger, _, readable = pipe
    try:
        raise ValueError("no")
    except ValueError:
        logger.exception("request failed")
    (line,) = lines(readable)
    assert "ValueError: no" in line["exception"]


def test_stopped_reader_does_not_block_logging(pipe):
    """The reader of the logs hangs and the pipe fills up; no request may block on it.

    Lines that don't fit are dropped and counted, memory stays bounded, and once the
    reader resumes, the next line gives the number of dropped lines.
    """
    logger, handler, readable = pipe
    began = time.monotonic()
    for number in range(3_000):
        logger.warning("filler", extra={"text": "x" * 400, "number": number})
    assert time.monotonic() - began < 2.0
    assert handler.buffered_bytes <= MAX_BUFFERED_BYTES
    assert handler.dropped > 0
    lines_before = []
    while found := lines(readable):
        lines_before += found
        handler.flush()
    logger.warning("after")
    (line,) = lines(readable)
    dropped_counts = [found.get("dropped_before", 0) for found in (*lines_before, line)]
    assert line["dropped_before"] > 0
    assert len(lines_before) + sum(dropped_counts) == 3_000


def test_lines_below_warning_are_rate_limited(pipe):
    """The rate is four times the limit; warnings are written even so."""
    logger, _, readable = pipe
    record = logger.makeRecord("test", logging.INFO, "", 0, "decision", (), None)
    written = []
    for _ in range(MAX_LINES_PER_SECOND * 4):
        logger.handle(record)
        written += lines(readable)
    warning = logger.makeRecord("test", logging.WARNING, "", 0, "warning", (), None)
    warning.created = record.created
    logger.handle(warning)
    assert len(written) == MAX_LINES_PER_SECOND
    (last,) = lines(readable)
    assert last["event"] == "warning"
    assert last["dropped_before"] == MAX_LINES_PER_SECOND * 3


def test_closed_output_raises_no_error():
    """The reader has closed the pipe; the process continues without logs."""
    readable, writable = os.pipe()
    os.close(readable)
    handler = BoundedJsonHandler(writable, "entry-1")
    logger = logging.Logger("test")
    logger.addHandler(handler)
    logger.info("anything")
    assert handler.buffered_bytes == 0
    os.close(writable)


class Unprintable:
    """Object whose conversion to text fails."""

    def __str__(self) -> str:
        raise ValueError("no text")


def test_line_with_bytes_that_are_not_utf8_is_written(pipe):
    logger, _, readable = pipe
    logger.info("request ended", extra={"target": "/a\udcff", "more": ["\ud800"]})
    (line,) = lines(readable)
    assert line["event"] == "request ended"
    assert line["target"] == "/a\udcff"


def test_record_that_can_not_be_encoded_is_dropped_and_counted(pipe):
    logger, _, readable = pipe
    logger.info("request ended", extra={"upstream": Unprintable()})
    logger.info("%d requests", "many")
    logger.info("request ended")
    (line,) = lines(readable)
    assert line["dropped_before"] == 2


def test_no_field_of_a_log_line_is_taken_for_a_standard_one():
    """Guards against fields that are given to a log call and never written."""
    package = pathlib.Path(bounded_log.__file__).parent
    given = set()
    for path in package.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.keyword) and node.arg == "extra":
                if isinstance(node.value, ast.Dict):
                    keys = [k for k in node.value.keys if isinstance(k, ast.Constant)]
                    given |= {key.value for key in keys}
    assert given & bounded_log._STANDARD_FIELDS == set()
    assert {"fingerprint", "upstream"} <= given
