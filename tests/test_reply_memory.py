"""Tests of the account of what upstreams have sent that is no part of an answer."""

from __future__ import annotations

from bergamotmast.policy.reply_memory import MAX_UNPARSED_BYTES
from bergamotmast.policy.reply_memory import ReplyMemory


def test_head_without_end_ends_its_connection():
    memory = ReplyMemory(1 << 30)
    assert not memory.add("a", MAX_UNPARSED_BYTES)
    assert memory.add("a", 1)


def test_large_heads_end_where_all_together_are_too_large():
    """Guards against ending ordinary replies beside those of an upstream in trouble."""
    memory = ReplyMemory(100_000)
    for number in range(50):
        assert not memory.add(f"ordinary {number}", 500)
    assert not memory.add("large", 70_000)
    assert not memory.add("ordinary 0", 500)
    assert memory.add("large", 10_000)


def test_parsed_bytes_do_not_count():
    memory = ReplyMemory(1 << 30)
    for _ in range(10):
        assert not memory.add("a", MAX_UNPARSED_BYTES)
        memory.release("a")
    assert (memory.held, memory.charges) == (0, {})
