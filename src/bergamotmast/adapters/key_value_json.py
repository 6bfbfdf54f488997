"""Encoding of etcd's v3 JSON gateway: base64 keys and values, numbers as strings."""

from __future__ import annotations

import base64
import typing as t

from ..errors import KeyValueUnavailableError
from ..ports import Compare
from ..ports import Delete
from ..ports import KeyValue
from ..ports import Put
from ..ports import WatchEvent

JsonObject = dict[str, t.Any]

EVERY_KEY = "AA=="
"""A zero byte in base64; as both ends of a range it selects all keys."""


def encode_text(text: str) -> str:
    """Encode a key for JSON."""
    return base64.b64encode(text.encode()).decode()


def decode_text(encoded: str) -> str:
    """Decode a key that :func:`encode_text` encoded."""
    return base64.b64decode(encoded).decode()


def prefix_range(prefix: str) -> JsonObject:
    """Return the half-open range of keys that begin with a prefix."""
    if not prefix:
        return {"key": EVERY_KEY, "range_end": EVERY_KEY}
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {
        "key": base64.b64encode(start).decode(),
        "range_end": base64.b64encode(end).decode(),
    }


def write_compare(compare: Compare) -> JsonObject:
    """Encode a condition of a transaction."""
    return {
        "key": encode_text(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def write_operation(write: Put | Delete) -> JsonObject:
    """Encode a write of a transaction."""
    if isinstance(write, Delete):
        return {"request_delete_range": {"key": encode_text(write.key)}}
    value = base64.b64encode(write.value).decode()
    put = {"key": encode_text(write.key), "value": value, "lease": str(write.lease)}
    return {"request_put": put}


def read_revision(answer: JsonObject) -> int:
    """Return the store's revision at the time of an answer."""
    return int(answer["header"]["revision"])


def read_key_value(item: JsonObject) -> KeyValue:
    """Decode one key and its value in an answer."""
    return KeyValue(
        decode_text(item["key"]),
        base64.b64decode(item.get("value", "")),
        int(item["mod_revision"]),
        int(item.get("lease", 0)),
    )


def read_watch_events(line: JsonObject) -> list[WatchEvent | None]:
    """Decode the events in one line of a watch; ``None`` for a line without events.

    :raises KeyValueUnavailableError: if the service has cancelled the watch.
    """
    result = line.get("result", {})
    if result.get("canceled") or "error" in line:
        raise KeyValueUnavailableError("the watch was cancelled")
    events: list[WatchEvent | None] = []
    for event in result.get("events", []):
        item = read_key_value(event["kv"])
        deleted = event.get("type") == "DELETE"
        value = None if deleted else item.value
        events.append(WatchEvent(item.key, value, item.mod_revision))
    return events or [None]
