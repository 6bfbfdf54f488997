from __future__ import annotations

import io
import json
import logging

from bergamotmast.logs import configure_logs
from bergamotmast.logs import new_handler
from bergamotmast.logs import request_context


def logged(log_format: str) -> str:
    stream = io.StringIO()
    logger = logging.Logger("bergamotmast.entry")
    logger.addHandler(new_handler(log_format, "entry-1", stream))
    with request_context("r-1"):
        logger.info("answered", extra={"code": 0})
    logger.info("idle")
    return stream.getvalue()


def test_json_lines_contain_the_request_and_extra_fields():
    first, second = map(json.loads, logged("json").splitlines())
    assert first["message"] == "answered"
    assert first["request_id"] == "r-1"
    assert first["process_name"] == "entry-1"
    assert first["code"] == 0
    assert "timestamp" in first
    assert second["request_id"] == ""


def test_text_lines_contain_the_request_id():
    first, second = logged("text").splitlines()
    assert first.endswith("INFO entry-1 bergamotmast.entry [r-1] answered")
    assert second.endswith("INFO entry-1 bergamotmast.entry idle")


def test_configuring_logs_again_replaces_the_handler(monkeypatch):
    root = logging.RootLogger(logging.WARNING)
    loggers = {None: root, "transitions": logging.Logger("transitions")}
    monkeypatch.setattr(logging, "getLogger", lambda name=None: loggers[name])
    configure_logs("text", "error", "entry-1")
    configure_logs("json", "info", "entry-1")
    assert len(root.handlers) == 1
    assert root.level == logging.INFO
    assert loggers["transitions"].level == logging.WARNING
