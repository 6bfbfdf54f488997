"""Decision logs: one JSON line each, bounded, never waiting."""

from __future__ import annotations

import json
import logging
import os
import time

import pytest

from bergamotmast.bounded_log import LINES_A_SECOND
from bergamotmast.bounded_log import MOST_WAITING_BYTES
from bergamotmast.bounded_log import BoundedJsonHandler


@pytest.fixture
def pipe():
    """Return a logger whose handler writes to a pipe, and the end to read from."""
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


def test_line_holds_what_decided(pipe):
    logger, _, readable = pipe
    logger.info("send failed", extra={"upstream": "i-1", "sends": 2})
    (line,) = lines(readable)
    assert line["event"] == "send failed"
    assert line["process"] == "entry-1"
    assert (line["upstream"], line["sends"]) == ("i-1", 2)
    assert {"at", "steady", "level"} <= set(line)


def test_exception_stays_on_one_line(pipe):
    logger, _, readable = pipe
    try:
        raise ValueError("no")
    except ValueError:
        logger.exception("request failed")
    (line,) = lines(readable)
    assert "ValueError: no" in line["exception"]


def test_reader_that_stops_holds_nobody(pipe):
    """Whatever reads the logs hangs: the pipe fills, and no request may wait for it.

    What does not fit is dropped and counted, memory stays bounded, and once the
    reader is back the next line says how many are missing.
    """
    logger, handler, readable = pipe
    began = time.monotonic()
    for number in range(3_000):
        logger.warning("filler", extra={"text": "x" * 400, "number": number})
    assert time.monotonic() - began < 2.0
    assert handler.waiting_bytes <= MOST_WAITING_BYTES
    assert handler.dropped > 0
    lines_before = []
    while found := lines(readable):
        lines_before += found
        handler.flush()
    logger.warning("after")
    (line,) = lines(readable)
    told = [found.get("dropped_before", 0) for found in (*lines_before, line)]
    assert line["dropped_before"] > 0
    assert len(lines_before) + sum(told) == 3_000


def test_flood_is_cut_but_warnings_pass(pipe):
    """Four times the usual load: lines below a warning are bounded in a second."""
    logger, _, readable = pipe
    record = logger.makeRecord("test", logging.INFO, "", 0, "decision", (), None)
    written = []
    for _ in range(LINES_A_SECOND * 4):
        logger.handle(record)
        written += lines(readable)
    warning = logger.makeRecord("test", logging.WARNING, "", 0, "warning", (), None)
    warning.created = record.created
    logger.handle(warning)
    assert len(written) == LINES_A_SECOND
    (last,) = lines(readable)
    assert last["event"] == "warning"
    assert last["dropped_before"] == LINES_A_SECOND * 3


def test_closed_output_ends_nothing():
    """The reader is gone for good: the process serves on without its logs."""
    readable, writable = os.pipe()
    os.close(readable)
    handler = BoundedJsonHandler(writable, "entry-1")
    logger = logging.Logger("test")
    logger.addHandler(handler)
    logger.info("anything")
    assert handler.waiting_bytes == 0
    os.close(writable)


class Unwritable:
    """Something that has no text."""

    def __str__(self) -> str:
        raise ValueError("no text")


def test_line_with_bytes_that_are_no_utf8_is_written(pipe):
    logger, _, readable = pipe
    logger.info("request ended", extra={"target": "/a\udcff", "more": ["\ud800"]})
    (line,) = lines(readable)
    assert line["event"] == "request ended"
    assert line["target"] == "/a\udcff"


def test_line_that_can_not_be_written_is_counted_and_ends_nothing(pipe):
    logger, _, readable = pipe
    logger.info("request ended", extra={"upstream": Unwritable()})
    logger.info("%d requests", "many")
    logger.info("request ended")
    (line,) = lines(readable)
    assert line["dropped_before"] == 2
