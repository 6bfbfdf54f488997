from __future__ import annotations

import msgspec
import pytest

from bergamotmast.config.checks import check_configuration
from bergamotmast.config.checks import find_problems
from bergamotmast.config.checks import find_warnings
from bergamotmast.config.document import AdminKey
from bergamotmast.config.document import Configuration
from bergamotmast.config.document import Match
from bergamotmast.config.document import RequestClass
from bergamotmast.config.document import RoleBounds
from bergamotmast.config.document import Route
from bergamotmast.config.document import Selector
from bergamotmast.config.document import SelectorState
from bergamotmast.config.document import Tenant
from bergamotmast.config.store import ConfigStore
from bergamotmast.errors import ConfigError
from bergamotmast.errors import ContradictionError
from bergamotmast.model import Role
from bergamotmast.standins.key_value import KeyValueStandIn

DIGEST = "0123456789abcdef" * 4

BASE = Configuration(
    labels={"engine-1": {"pool": "main"}, "engine-2": {"pool": "main"}},
    selectors=(Selector(name="main", group="pool=main", models=("m@1",)),),
    classes={"checks": RequestClass()},
    routes={"orders": Route(prefix="/orders")},
)


def selector(**fields: object) -> dict[str, object]:
    plain = {"name": "main", "group": "pool=main", "models": ("m@1",)} | fields
    return {"selectors": (Selector(**plain),)}


def bounds(**roles: RoleBounds) -> dict[str, object]:
    return selector(roles={Role(role): bound for role, bound in roles.items()})


def test_a_valid_document_has_no_problems():
    check_configuration(BASE)
    assert find_warnings(BASE) == ()


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        (selector(group="pool"), "selectors[0].group: 'pool' is not label=value"),
        (selector(group=""), "selectors[0].group: an empty expression"),
        (selector(group="pol=main"), "has a label 'pol'; did you mean 'pool'?"),
        (selector(models=("m",)), "selectors[0].models[0]: 'm' is not name@version"),
        (selector(adapters=("a@1", "a@2")), "adapters[1]: 'a@1' is there already"),
        (selector(match=Match(classes=("check",))), "did you mean 'checks'?"),
        (selector(match=Match(routes=("order",))), "did you mean 'orders'?"),
        (selector(match=Match(models=("n",))), "there is no model 'n'"),
        (selector(match=Match(tenants=("x",))), "there is no tenant 'x'"),
        (bounds(mixed=RoleBounds(least=2, most=1)), "least 2 is above most 1"),
        (bounds(mixed=RoleBounds(least=-1)), "roles.mixed: bounds must not be neg"),
        (bounds(mixed=RoleBounds(least=3)), "at least 3 engines are wanted and 2 are"),
        (
            bounds(**{role.value: RoleBounds(most=0) for role in Role}),
            "at most 0 engines may have a role, of 2",
        ),
        (
            {"selectors": (*BASE.selectors, *BASE.selectors)},
            "selectors[1].name: 'main' is the name of an earlier selector",
        ),
        ({"classes": {"checks": RequestClass(total=1)}}, "shorter than first_token"),
        ({"classes": {"checks": RequestClass(first_token=0)}}, "0 is not above 0"),
        ({"tenants": {"t": Tenant(weight=float("nan"))}}, "nan is not above 0"),
        ({"tenants": {"t": Tenant(keys=("x",))}}, "tenants.t.keys[0]: this is not a"),
        (
            {"tenants": {"t": Tenant(keys=(DIGEST,)), "u": Tenant(keys=(DIGEST,))}},
            "tenants.u.keys[0]: tenant 't' has the same key",
        ),
        ({"routes": {"r": Route(prefix="x")}}, "routes.r.prefix: 'x' is not /path"),
        (
            {"routes": {"r": Route(prefix="/x"), "s": Route(prefix="/x/")}},
            "routes.s.prefix: route 'r' has the same prefix",
        ),
        (
            {"routes": {"r": Route(prefix="/x", request_class="cheks")}},
            "there is no class 'cheks'; did you mean 'checks'?",
        ),
        ({"admin_keys": (AdminKey(team="t", digest="x"),)}, "admin_keys[0].digest"),
        (
            {"admin_keys": (AdminKey(team="t", digest=DIGEST, scopes=()),)},
            "a key without a scope",
        ),
        ({"labels": {"e": {"pool": "a,b"}}}, "'a,b' has spaces or one of"),
        ({"generation": -1}, "generation: a generation counts edits"),
    ],
)
def test_each_problem_names_its_location(changes, expected):
    document = msgspec.structs.replace(BASE, **changes)
    shown = [problem.show() for problem in find_problems(document)]
    assert any(expected in line for line in shown), shown
    with pytest.raises(ConfigError):
        check_configuration(document)


def test_a_group_without_upstreams_is_a_warning():
    document = msgspec.structs.replace(BASE, **selector(group="pool=spare"))
    check_configuration(document)
    assert [w.show() for w in find_warnings(document)] == [
        "selectors[0].group: 'pool=spare' names no upstream",
        "labels.engine-1: no selector names it: it gets no work",
        "labels.engine-2: no selector names it: it gets no work",
    ]


def test_a_key_for_a_missing_selector_is_a_warning():
    key = AdminKey(team="t", digest=DIGEST, groups=("man",))
    document = msgspec.structs.replace(BASE, admin_keys=(key,))
    check_configuration(document)
    assert [w.show() for w in find_warnings(document)] == [
        "admin_keys[0].groups[0]: there is no selector 'man'; did you mean 'main'?"
    ]


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"state": SelectorState.WITHDRAWN}, "one says serving, the other withdrawn"),
        ({"models": ("m@2",)}, "model 'm' at versions '1' and '2'"),
        (
            {"roles": {Role.MIXED: RoleBounds(most=0)}},
            "'main' wants at least 1 mixed engines, 'other' at most 0",
        ),
        (
            {"roles": {Role.PREFILL: RoleBounds(least=2)}},
            "together they want at least 3 engines of 2",
        ),
    ],
)
def test_contradictions_name_both_selectors_and_the_engine(fields, reason):
    # Two selectors have conflicting demands on one engine. The edit is rejected with an
    # error that names both selectors, the engine and the reason.
    main = msgspec.structs.replace(
        BASE.selectors[0], roles={Role.MIXED: RoleBounds(least=1)}
    )
    other = Selector(name="other", group="pool!=spare", **fields)
    document = msgspec.structs.replace(BASE, selectors=(main, other))
    with pytest.raises(ContradictionError) as caught:
        check_configuration(document)
    assert caught.value.selectors == ("main", "other")
    assert caught.value.upstream == "engine-1"
    assert "'main' and 'other'" in caught.value.message
    assert reason in caught.value.message


def test_selectors_of_different_engines_do_not_contradict():
    other = Selector(name="other", group="pool=spare", models=("m@2",))
    document = msgspec.structs.replace(
        BASE,
        labels={**BASE.labels, "engine-3": {"pool": "spare"}},
        selectors=(*BASE.selectors, other),
    )
    check_configuration(document)


@pytest.mark.looptime
async def test_every_proposed_edit_is_checked():
    store = ConfigStore(KeyValueStandIn().client("operator"))
    document = msgspec.structs.replace(BASE, **selector(group="pool"))
    with pytest.raises(ConfigError):
        await store.propose(document, 0, "ana", "n1")
    assert (await store.read()).configuration.generation == 0
