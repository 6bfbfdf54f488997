"""Tests of the decoding of bytes that another program has written."""

from __future__ import annotations

import ast
import collections.abc as cabc
import pathlib

import msgspec
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import bergamotmast
from bergamotmast.adapters.json_bodies import KebabStruct
from bergamotmast.adapters.json_bodies import decode_body
from bergamotmast.config.document import Configuration
from bergamotmast.crashes.part_records import PartCrashReport
from bergamotmast.crashes.records import CrashReport
from bergamotmast.decoding import DecodingError
from bergamotmast.decoding import JsonDecoder
from bergamotmast.decoding import MessagePackDecoder
from bergamotmast.decoding import decode_json
from bergamotmast.decoding import decode_msgpack
from bergamotmast.direct.peer_messages import PeerMessage
from bergamotmast.direct.scaling_record import ScalingRecord
from bergamotmast.direct.usage_record import UsageRecord
from bergamotmast.errors import ReplyLostError
from bergamotmast.platform.directory import _Config
from bergamotmast.platform.directory import _Registration
from bergamotmast.platform.orders import _Report
from bergamotmast.platform.store import _Events
from bergamotmast.platform.store import _Range
from bergamotmast.protocol.claim_record import ClaimRecord
from bergamotmast.protocol.messages import ToEntry
from bergamotmast.protocol.messages import ToSide
from bergamotmast.protocol.plan import EnginePlan
from bergamotmast.protocol.plan import PlanHead

SOURCES = pathlib.Path(bergamotmast.__file__).parent

DECODERS = {"decode", "Decoder", "load", "loads"}
MODULES = {"msgspec.json", "msgspec.msgpack", "msgspec.yaml", "msgspec.toml", "json"}

OPERATORS_FILES = {
    # Finds duplicate names in a file that the module above has decoded.
    "config/file.py": {"json.loads"},
    "bench/fleet.py": {"msgspec.yaml.decode"},
}
"""Decoders of files that an operator gives a command."""


def decoders_in(source: str) -> set[str]:
    """Return the names of the decoders that a module refers to."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute) and node.attr in DECODERS:
            module = ast.unparse(node.value)
            if module in MODULES:
                found.add(f"{module}.{node.attr}")
        if isinstance(node, ast.ImportFrom) and node.module in {*MODULES, "msgspec"}:
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        if isinstance(node, ast.Import | ast.ImportFrom):
            names = {alias.name for alias in node.names}
            found |= names & {"pickle", "marshal", "tomllib", "msgpack", "ujson"}
            found |= {a.name for a in node.names if a.asname and a.name in MODULES}
    return found


def test_bytes_are_decoded_in_one_place():
    """Guards against a decoder whose errors are handled in part."""
    found = {
        path.relative_to(SOURCES).as_posix(): decoders_in(path.read_text())
        for path in SOURCES.rglob("*.py")
    }
    assert found.pop("decoding.py")
    assert {name: used for name, used in found.items() if used} == OPERATORS_FILES


@pytest.mark.parametrize(
    "source",
    [
        "import msgspec\nmsgspec.json.decode(b'')",
        "import msgspec\nx = msgspec.msgpack.Decoder(int)",
        "from msgspec.json import decode",
        "from msgspec import json",
        "import msgspec.json as codec",
        "import json\njson.loads('')",
        "import pickle",
    ],
)
def test_decoder_elsewhere_is_found(source):
    assert decoders_in(source)


KINDS = [
    object,
    dict,
    dict[str, list[str]],
    dict[str, dict[str, bytes]],
    Configuration,
    ClaimRecord,
    CrashReport,
    EnginePlan,
    PartCrashReport,
    PeerMessage,
    PlanHead,
    ScalingRecord,
    ToEntry,
    ToSide,
    UsageRecord,
    _Config,
    _Events,
    _Range,
    _Registration,
    _Report,
]


def nested(depth: int, name: bytes = b"x") -> bytes:
    return b'{"%s":' % name + b"[" * depth + b"]" * depth + b"}"


ODD_JSON = [
    b"",
    b"\xff",
    b'"\\ud800"',
    b'{"x":"\xff"}',
    b'{"x":"\\ud800"}',
    b'{"\\udfff":1}',
    b"9" * 400,
    b"-" + b"9" * 5_000,
    b"1e400",
    b"1e999999999999",
    b'{"version":' + b"9" * 5_000 + b"}",
    b"[" * 100_000,
    nested(5_000),
    nested(100_000, b"routes"),
    b'{"a":' * 50_000,
    b"0" * 400_000,
    b'"' + b"x" * 400_000,
]

ODD_MESSAGES = [
    b"",
    b"\xc1",
    b"\x91" * 100_000 + b"\xc0",
    b"\x81\xa1x" * 50_000 + b"\xc0",
    b"\xdd\xff\xff\xff\xff",
    b"\xdf\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xffx",
    b"\xdb\xff\xff\xff\xffx",
    b"\xa2\xff\xfe",
    b"\xd6\xff\x00\x00\x00\x00",
    b"\xc7\x0c\xff" + b"\xff" * 12,
    b"\x81\x90\xc0",
    b"\x95\xa8liveness\xa1s\x80\x80" + b"\x91" * 100_000,
]


def check(decode: cabc.Callable[[], object]) -> None:
    """Decode; the only error allowed is that of the module."""
    try:
        decode()
    except DecodingError as error:
        assert error.message == str(error)


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: str(kind)[-40:])
def test_decoders_have_one_error(kind):
    """Guards against an error that the handler of a damaged value doesn't expect."""
    for data in ODD_JSON:
        check(lambda data=data: JsonDecoder(kind).decode(data))
        check(lambda data=data: decode_json(data, kind))
    for data in ODD_MESSAGES:
        check(lambda data=data: MessagePackDecoder(kind).decode(data))
        check(lambda data=data: decode_msgpack(data, kind))


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.integers(10**30, 10**40)
    | st.sampled_from(["ready", "\ud800", "9" * 400, "-1", "1e400"]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
FIELDS = ["version", "routes", "groups", "windows", "orders", "slots", "items", "parts"]


@settings(max_examples=200, deadline=None)
@given(st.dictionaries(st.sampled_from(FIELDS) | st.text(), json_values), st.binary())
@example({}, b"")
def test_values_of_any_form_have_one_error(document, noise):
    """Guards against the same, for values that are nearly right."""
    data = repr(document).replace("'", '"').encode(errors="surrogatepass") + noise
    for kind in KINDS:
        check(lambda kind=kind: decode_json(data, kind))
        check(lambda kind=kind: decode_msgpack(noise, kind))
        check(lambda kind=kind: decode_msgpack(data, kind))


class Body(KebabStruct, frozen=True):
    number: int


@pytest.mark.parametrize("data", ODD_JSON, ids=range(len(ODD_JSON)))
def test_reply_of_any_form_is_lost(data):
    """Guards against a reply whose error no handler of a lost reply expects."""
    with pytest.raises(ReplyLostError):
        decode_body(data, Body, ReplyLostError, "the reply")


def test_error_names_the_reason():
    with pytest.raises(DecodingError, match="nested too deeply"):
        decode_json(nested(100_000), dict)
    with pytest.raises(DecodingError, match="int"):
        decode_json(b'"x"', int)
    assert issubclass(DecodingError, msgspec.DecodeError)


LARGE = [2**63, -(2**63), 2**64 - 1, 10**30, 10**400]


@pytest.mark.parametrize("number", LARGE, ids=range(len(LARGE)))
def test_number_that_cannot_be_calculated_with_is_refused(number):
    """Guards against an error far from here, as a number is converted or encoded."""
    digits = str(number).encode()
    for kind, data in [
        (UsageRecord, b'{"last_window":%s}'),
        (UsageRecord, b'{"windows":{"%s":{}}}'),
        (UsageRecord, b'{"windows":{"1":{"t":%s}}}'),
        (ScalingRecord, b'{"orders":{"g":{"z":{"count":%s}}}}'),
        (PlanHead, b'{"epoch":%s,"revision":1,"nonce":"","planner":""}'),
        (_Report, b'{"sequence":%s,"busy":false}'),
        (dict, b'{"x":[%s]}'),
    ]:
        with pytest.raises(DecodingError, match="number"):
            decode_json(data.replace(b"%s", digits), kind)
        with pytest.raises(DecodingError, match="number"):
            JsonDecoder(kind).decode(data.replace(b"%s", digits))
        largest = data.replace(b"%s", str(2**62).encode())
        assert decode_json(largest, kind) == JsonDecoder(kind).decode(largest)
    unread = b'{"holder":"%s","more":%s}'.replace(b"%s", digits)
    assert decode_json(unread, UsageRecord).holder == str(number)
