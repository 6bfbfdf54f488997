from __future__ import annotations

import hashlib

import msgspec
import pytest

from bergamotmast.config.document import AdminKey
from bergamotmast.config.document import Configuration
from bergamotmast.config.document import Scope
from bergamotmast.config.document import Selector
from bergamotmast.config.document import Tenant
from bergamotmast.config.edit import parse_label_changes
from bergamotmast.config.edit import with_labels
from bergamotmast.config.edit import with_selector
from bergamotmast.config.edit import without_selector
from bergamotmast.config.permissions import find_key
from bergamotmast.config.permissions import require_edit_allowed
from bergamotmast.errors import ConfigError
from bergamotmast.errors import RequestError
from bergamotmast.errors import ResultCode

DIGEST = hashlib.sha256(b"secret").hexdigest()
OURS = Selector(name="ours", group="pool=ours")
THEIRS = Selector(name="theirs", group="pool=theirs")
BASE = Configuration(
    labels={
        "a": {"pool": "ours"},
        "b": {"pool": "theirs"},
        "free": {"zone": "x"},
    },
    selectors=(OURS, THEIRS),
)
KEY = AdminKey(team="t", digest=DIGEST, scopes=(Scope.EDIT,), groups=("ours",))


@pytest.mark.parametrize(
    ("after", "reason"),
    [
        (with_labels(BASE, "b", {"pool": "ours"}), "'b', which is in group 'theirs'"),
        (with_labels(BASE, "a", {"pool": "theirs"}), "'a', which is in group"),
        (with_labels(BASE, "b", {"zone": "x"}), "'b', which is in group 'theirs'"),
        (with_selector(BASE, Selector(name="theirs", group="pool=x")), "'theirs'"),
        (with_selector(BASE, Selector(name="new", group="pool=x")), "'new'"),
        (without_selector(BASE, "theirs"), "selector 'theirs'"),
        (with_selector(BASE, Selector(name="ours", group="pool!=x")), "change 'b'"),
        (msgspec.structs.replace(BASE, tenants={"t": Tenant()}), "change tenants"),
        (msgspec.structs.replace(BASE, admin_keys=(KEY,)), "change admin_keys"),
    ],
)
def test_limited_key_can_not_edit_beyond_its_selectors(after, reason):
    # A team tries to take another team's upstreams by a label or a wider expression, to
    # change another team's selector, or to grant itself permissions. All are rejected.
    with pytest.raises(RequestError) as caught:
        require_edit_allowed(KEY, BASE, after)
    assert caught.value.code is ResultCode.FORBIDDEN
    assert reason in caught.value.message
    require_edit_allowed(msgspec.structs.replace(KEY, groups=()), BASE, after)


@pytest.mark.parametrize(
    "after",
    [
        BASE,
        with_labels(BASE, "a", {"tier": "new"}),
        with_labels(BASE, "a", {"pool": None}),
        with_labels(BASE, "free", {"pool": "ours"}),
        with_selector(BASE, Selector(name="ours", group="pool=ours", models=("m@1",))),
        without_selector(BASE, "ours"),
    ],
)
def test_limited_key_can_edit_its_own_selectors_and_upstreams(after):
    require_edit_allowed(KEY, BASE, after)


def test_a_key_without_the_scope_may_change_nothing():
    key = msgspec.structs.replace(KEY, scopes=(Scope.READ,))
    with pytest.raises(RequestError, match="has no scope 'edit'"):
        require_edit_allowed(key, BASE, BASE)


def test_a_key_is_found_by_its_secret():
    document = msgspec.structs.replace(BASE, admin_keys=(KEY,))
    assert find_key(document, "secret") == KEY
    assert find_key(document, "Secret") is None
    assert find_key(document, "") is None
    assert find_key(Configuration(), "secret") is None


def test_label_changes():
    changes = parse_label_changes(["pool=main", "tier-"])
    assert changes == {"pool": "main", "tier": None}
    assert with_labels(BASE, "a", {"pool": None}).labels.keys() == {"b", "free"}


@pytest.mark.parametrize("word", ["pool", "-", "=x", "pool=", ""])
def test_invalid_label_change(word):
    with pytest.raises(ConfigError, match="neither label=value nor label-"):
        parse_label_changes([word])


def test_removing_a_missing_selector():
    with pytest.raises(ConfigError, match="did you mean 'ours'"):
        without_selector(BASE, "our")
