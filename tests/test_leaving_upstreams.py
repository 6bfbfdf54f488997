"""Tests of upstreams that say in their replies that they leave."""

from __future__ import annotations

import logging

import pytest

from bergamotmast.platform.headers import PlatformDialect
from direct_support import serving
from limit_support import HeaderScript
from platform_standin import Replica
from platform_standin import answer

LEAVING = "Server-Leaving: 1"


@pytest.mark.parametrize(
    ("text", "leaving"),
    [("1", True), (" 1 ", True), ("0", False), ("", False), ("true", False)],
)
def test_only_a_one_says_that_an_upstream_leaves(text, leaving):
    traits = PlatformDialect().read_reply(200, {"Server-Leaving": text})
    assert traits.leaving is leaving


async def test_leaving_is_logged_once(caplog):
    caplog.set_level(logging.INFO)
    script = HeaderScript(answer(), LEAVING)
    async with serving(Replica("i-1", script)) as entry:
        await entry.ask("/read/0")
        await entry.ask("/read/1")
    lines = [line for line in caplog.records if "says that it leaves" in line.message]
    assert [line.upstream for line in lines] == ["i-1"]
