from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bergamotmast.config.delta import apply_delta
from bergamotmast.config.delta import make_delta
from bergamotmast.config.document import Configuration
from bergamotmast.config.document import RequestClass
from bergamotmast.config.document import Selector
from bergamotmast.config.document import encode_configuration

NAMES = st.sampled_from("abcd")
DOCUMENTS = st.builds(
    Configuration,
    generation=st.integers(0, 3),
    labels=st.dictionaries(NAMES, st.dictionaries(NAMES, NAMES)),
    selectors=st.lists(
        st.builds(Selector, name=NAMES, group=st.just("a=b"), models=st.tuples(NAMES))
    ).map(tuple),
    classes=st.dictionaries(NAMES, st.builds(RequestClass, total=st.floats(1, 9))),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(DOCUMENTS, DOCUMENTS)
def test_a_delta_leads_from_one_document_to_the_other(before, after):
    old, new = encode_configuration(before), encode_configuration(after)
    assert apply_delta(old, make_delta(old, new)) == new
    assert apply_delta(b"", make_delta(b"", new)) == new


def test_delta_contains_only_the_changes():
    labels = {f"engine-{number}": {"pool": "main"} for number in range(600)}
    before = Configuration(generation=1, labels=labels)
    after = Configuration(
        generation=2, labels={**labels, "engine-7": {"pool": "other"}}
    )
    delta = make_delta(encode_configuration(before), encode_configuration(after))
    assert delta == b'{"generation":2,"labels":{"engine-7":{"pool":"other"}}}'


def test_delta_that_is_not_an_object_is_rejected():
    with pytest.raises(msgspec.DecodeError):
        apply_delta(b"{}", b"[]")
