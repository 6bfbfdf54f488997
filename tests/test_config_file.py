from __future__ import annotations

import pathlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bergamotmast.config.document import Configuration
from bergamotmast.config.document import decode_configuration
from bergamotmast.config.document import encode_configuration
from bergamotmast.config.file import dump_yaml
from bergamotmast.config.file import load_configuration
from bergamotmast.config.file import parse_configuration
from bergamotmast.errors import ConfigError
from bergamotmast.errors import ContradictionError
from bergamotmast.errors import ResultCode

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

VALID = b"""
labels:
  engine-1: {pool: main}
selectors:
  - name: main
    group: pool=main
classes:
  checks: {priority: interactive, first_token: 1}
"""


@pytest.mark.parametrize(
    ("name", "models", "services"), [("trindade", 6, 4), ("alliance", 5, 4)]
)
def test_the_examples_are_valid(name, models, services):
    configuration = load_configuration(EXAMPLES / name / "config.yaml")
    pools = [labels["pool"] for labels in configuration.labels.values()]
    assert pools.count("models") == models
    assert len(pools) == models + services
    assert len({labels["zone"] for labels in configuration.labels.values()}) == 4
    assert [r.repeatable for r in configuration.routes.values()].count(False) == 1


def test_dumped_configuration_is_parsed_unchanged():
    configuration = load_configuration(EXAMPLES / "trindade" / "config.yaml")
    assert parse_configuration(dump_yaml(configuration).encode(), "x") == configuration
    as_json = encode_configuration(configuration)
    assert parse_configuration(as_json, "x.json") == configuration


def test_an_empty_file_is_an_empty_configuration():
    assert parse_configuration(b"", "x") == Configuration()


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        (b"group:", b"goup:", "c:6: selectors[0].goup: there is no field 'goup' here;"),
        (b"group:", b"goup:", "did you mean 'group'?"),
        (b"group:", b"goup:", "c:5: selectors[0]: the field 'group' is missing"),
        (b"pool=main", b"poll=main", "c:6: selectors[0].group: no upstream has"),
        (b"interactive", b"interactiv", "c:8: classes.checks.priority:"),
        (b"interactive", b"interactiv", "did you mean 'interactive'?"),
        (b"first_token: 1", b"first_token: soon", "Expected `float`, got `str`"),
        (b"{pool: main}", b"{pool: 7}", "Expected `str`, got `int`; put it in quotes"),
        (b"{pool: main}", b"main", "c:3: labels.engine-1: Expected `object`"),
        (b"{pool: main}", b"{pool: main, pool: b}", "c:3: 'pool' is there already"),
        (b"{pool: main}", b"{pool: main", "c:4:"),
        (b"{pool: main}", b"&a {pool: main}\n  engine-2: *a", "aliases are not"),
        (b"{pool: main}", b"{pool: 2001-99-99}", "c:3: '2001-99-99' has no value"),
        (b"{pool: main}", b"{pool: !!python/none x}", "c:3: could not determine"),
        (b"main", b"\xff", "c: this is not UTF-8 text"),
        (VALID, b"[" * 2000, "c: the document is nested too deeply"),
        (VALID, b"- a", "c:1: fields are expected here"),
        (VALID, b"a" * 1_000_001, "longer than"),
    ],
)
def test_messages_name_file_line_and_field(before, after, expected):
    with pytest.raises(ConfigError) as caught:
        parse_configuration(VALID.replace(before, after), "c")
    assert expected in caught.value.message


def test_every_problem_is_named_up_to_a_limit():
    labels = "\n".join(f"  e{number}: {{a: {number}}}" for number in range(30))
    with pytest.raises(ConfigError) as caught:
        parse_configuration(f"labels:\n{labels}".encode(), "c")
    lines = caught.value.message.splitlines()
    assert lines[1].startswith("c:3: labels.e1.a: ")
    assert lines[-1] == "and 10 more"


def test_a_contradiction_names_the_line_of_the_second_selector():
    other = b"  - {name: other, group: pool=main, state: withdrawn}\nclasses:"
    with pytest.raises(ContradictionError) as caught:
        parse_configuration(VALID.replace(b"classes:", other), "c")
    assert caught.value.message.startswith("c:7: selectors[1]: selectors 'main' and")


@pytest.mark.parametrize(
    ("data", "line"), [(b'{\n"labels": {],', 2), (b'{\n\n\t"generation": "x"}', 3)]
)
def test_json_problems_name_their_line(data, line):
    with pytest.raises(ConfigError, match=rf"^c\.json:{line}: "):
        parse_configuration(data, "c.json")


def test_unreadable_file(tmp_path):
    with pytest.raises(ConfigError, match="No such file"):
        load_configuration(tmp_path / "none.yaml")


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["pool=main", "m@1", "serving", "/a", "mixed", "batch"]),
)
KEYS = st.one_of(
    st.text(max_size=5),
    st.sampled_from(
        "generation labels selectors classes tenants routes admin_keys name group"
        " match models roles mixed least most state priority keys prefix".split()
    ),
)
CONTENT = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner),
    max_leaves=12,
)


def assert_valid_or_coded(data: bytes, name: str) -> None:
    try:
        configuration = parse_configuration(data, name)
    except ConfigError as error:
        assert error.code in (ResultCode.INVALID_CONFIG, ResultCode.CONTRADICTION)
        assert error.show()
    else:
        encoded = encode_configuration(configuration)
        assert decode_configuration(encoded) == configuration


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.one_of(st.binary(), st.text().map(lambda text: text.encode(errors="ignore"))))
def test_any_bytes_are_valid_or_an_error_with_a_code(data):
    assert_valid_or_coded(data, "c.yaml")
    assert_valid_or_coded(data, "c.json")


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.dictionaries(KEYS, CONTENT))
def test_any_content_is_valid_or_an_error_with_a_code(content):
    data = msgspec.json.encode(content)
    assert_valid_or_coded(data, "c.yaml")
    assert_valid_or_coded(data, "c.json")


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, len(VALID)), st.integers(0, 20), st.text(max_size=4))
def test_any_damage_to_a_file_is_an_error_with_a_code(start, length, text):
    damaged = VALID[:start] + text.encode() + VALID[start + length :]
    assert_valid_or_coded(damaged, "c.yaml")
