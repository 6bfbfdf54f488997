from __future__ import annotations

from bergamotmast.config.diff import diff
from bergamotmast.config.diff import show_diff
from bergamotmast.config.document import Configuration
from bergamotmast.config.document import RequestClass
from bergamotmast.config.document import Selector

ONE = Selector(name="one", group="pool=one", models=("m@1",))
TWO = Selector(name="two", group="pool=two")


def test_selector_order_and_generation_are_ignored():
    before = Configuration(generation=1, selectors=(ONE, TWO))
    assert diff(before, Configuration(generation=2, selectors=(TWO, ONE))) == ()


def test_each_change_is_one_line_with_its_path():
    before = Configuration(selectors=(ONE,), labels={"e": {"pool": "one"}})
    changed = Selector(name="one", group="pool=one", models=("m@2",))
    after = Configuration(selectors=(changed,), classes={"checks": RequestClass()})
    assert show_diff(diff(before, after)).splitlines() == [
        '+ classes[checks]: {"priority":1,"first_token":10.0,"total":120.0,'
        '"between_tokens":1.0}',
        '- labels[e]: {"pool":"one"}',
        '~ selectors[one].models: ["m@1"] -> ["m@2"]',
    ]
