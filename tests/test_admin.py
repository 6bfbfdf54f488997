from __future__ import annotations

import asyncio
import hashlib
import logging
import types

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer

from bergamotmast.config.document import AdminKey
from bergamotmast.config.document import Configuration
from bergamotmast.config.document import Scope
from bergamotmast.config.document import Selector
from bergamotmast.config.document import encode_configuration
from bergamotmast.config.holder import ConfigHolder
from bergamotmast.config.store import ConfigStore
from bergamotmast.entry.admin import AdminHttp
from bergamotmast.entry.fleet_status import FleetStatus
from bergamotmast.entry.fleet_status import read_fleet_status
from bergamotmast.history import MemoryHistory
from bergamotmast.model import InstanceInfo
from bergamotmast.model import Readiness
from bergamotmast.model import Role
from bergamotmast.model import SideReport
from bergamotmast.model import UpstreamKind
from bergamotmast.standins.key_value import KeyValueStandIn

SCOPES = {
    "all": (Scope.READ, Scope.EDIT),
    "reader": (Scope.READ,),
    "limited": (Scope.READ, Scope.EDIT),
}


def admin_key(team: str) -> AdminKey:
    return AdminKey(
        team=team,
        digest=hashlib.sha256(team.encode()).hexdigest(),
        scopes=SCOPES[team],
        groups=("main",) if team == "limited" else (),
    )


DOCUMENT = Configuration(
    labels={"engine-1": {"pool": "main"}, "engine-2": {"pool": "other"}},
    selectors=(
        Selector(name="main", group="pool=main"),
        Selector(name="other", group="pool=other"),
    ),
    admin_keys=tuple(map(admin_key, SCOPES)),
)


class Admin:
    """An entry's administration interface and an HTTP client for it."""

    def __init__(self) -> None:
        self.service = KeyValueStandIn()
        self.store = ConfigStore(self.service.client("entry"))
        self.holder = ConfigHolder("entry", MemoryHistory())
        self.client: TestClient[web.Request, web.Application]

    async def start(self) -> None:
        accepted = await self.store.propose(DOCUMENT, 0, "setup", "n0")
        self.holder.offer(encode_configuration(accepted))
        status = FleetStatus(entry="entry", generation=1, upstreams=())
        admin = AdminHttp(self.holder, self.store, lambda: status)
        application = web.Application()
        application.add_subapp("/admin/v1", admin.application())
        self.client = TestClient(TestServer(application))
        await self.client.start_server()

    async def ask(
        self, method: str, path: str, body: object = None, team: str = "all", **headers
    ) -> tuple[int, dict]:
        sent = {"Authorization": f"Bearer {team}", **headers}
        async with self.client.request(
            method, f"/admin/v1{path}", data=msgspec.json.encode(body), headers=sent
        ) as answer:
            return answer.status, await answer.json()


@pytest.fixture
async def admin():
    admin = Admin()
    await admin.start()
    yield admin
    await admin.client.close()


def labels(against: int, **labels: str | None) -> dict[str, object]:
    return {"against": against, "labels": labels}


async def test_fleet_configuration_and_history_are_read(admin):
    assert await admin.ask("GET", "/fleet", team="reader") == (
        200,
        {"entry": "entry", "generation": 1, "upstreams": []},
    )
    status, body = await admin.ask("GET", "/configuration", team="reader")
    assert (status, body["generation"]) == (200, 1)
    assert body["configuration"]["labels"] == DOCUMENT.labels
    status, body = await admin.ask("GET", "/history?limit=5")
    assert (status, body["edits"][0]["author"]) == (200, "setup")
    status, body = await admin.ask("GET", "/history/1")
    assert (status, body["generation"]) == (200, 1)


async def test_an_edit_is_accepted_and_in_force_at_once(admin):
    status, body = await admin.ask(
        "PATCH", "/labels/engine-2", labels(1, pool="main", tier="new")
    )
    assert (status, body["generation"]) == (200, 2)
    assert [change["path"] for change in body["changes"]] == [
        "labels[engine-2].pool",
        "labels[engine-2].tier",
    ]
    assert admin.holder.generation == 2
    assert admin.holder.document == (await admin.store.read()).document


async def test_selectors_are_put_and_removed(admin):
    selector = {"group": "pool=main", "state": "draining"}
    body = {"against": 1, "selector": selector}
    status, _ = await admin.ask("PUT", "/selectors/main", body)
    assert (status, admin.holder.current.selectors[0].state.value) == (200, "draining")
    status, _ = await admin.ask("DELETE", "/selectors/main", {"against": 2})
    assert (status, len(admin.holder.current.selectors)) == (200, 1)


async def test_a_whole_document_is_replaced(admin):
    document = msgspec.to_builtins(DOCUMENT) | {"labels": {"e": {"pool": "main"}}}
    body = {"against": 1, "configuration": document | {"selectors": []}}
    assert (await admin.ask("PUT", "/configuration", body))[0] == 200
    assert admin.holder.current.labels == {"e": {"pool": "main"}}


async def test_likely_mistakes_are_returned_as_warnings(admin):
    _, body = await admin.ask("PATCH", "/labels/engine-2", labels(1, pool="othr"))
    assert body["warnings"] == [
        "selectors[1].group: 'pool=other' names no upstream",
        "labels.engine-2: no selector names it: it gets no work",
    ]


async def test_conflicting_edit_is_refused_with_the_first_author(admin):
    # Two teams edit generation 1. The second gets a conflict with the author of the
    # first edit and what its own proposal would change in the current document.
    await admin.ask("PATCH", "/labels/engine-1", labels(1, tier="a"), team="limited")
    status, body = await admin.ask("PATCH", "/labels/engine-1", labels(1, tier="b"))
    error = body["error"]
    assert (status, error["code"], error["outcome"]) == (409, 600, "not_run")
    assert (error["author"], error["generation"]) == ("limited", 2)
    assert error["differences"] == ['~ labels[engine-1].tier: "a" -> "b"']


async def test_retried_edit_with_an_idempotency_key_is_applied_once(admin):
    # The first response is lost and the operator's tool retries with the same key. It
    # must see success, not a conflict with its own edit.
    for _ in range(2):
        status, body = await admin.ask(
            "PATCH", "/labels/engine-1", labels(1, tier="a"), **{"Idempotency-Key": "k"}
        )
        assert (status, body["generation"]) == (200, 2)


@pytest.mark.parametrize(
    ("team", "method", "path", "body", "status", "code"),
    [
        ("nobody", "GET", "/fleet", None, 401, 106),
        ("nobody", "PATCH", "/labels/x", labels(1, a="b"), 401, 106),
        ("reader", "PATCH", "/labels/engine-1", labels(1, a="b"), 403, 107),
        ("reader", "PUT", "/configuration", {}, 403, 107),
        ("limited", "PATCH", "/labels/engine-2", labels(1, pool="main"), 403, 107),
        ("limited", "DELETE", "/selectors/other", {"against": 1}, 403, 107),
        ("all", "PATCH", "/labels/x", {"labels": {}}, 400, 100),
        ("all", "PATCH", "/labels/x", {"against": 1, "label": {}}, 400, 100),
        ("all", "PATCH", "/labels/x", labels(7, a="b"), 409, 600),
        ("all", "PATCH", "/labels/x", labels(1, a="b,c"), 422, 602),
        ("all", "PUT", "/configuration", {"against": 1, "configuration": 7}, 422, 602),
        ("all", "PUT", "/selectors/m", {"against": 1, "selector": {}}, 422, 602),
        ("all", "DELETE", "/selectors/m", {"against": 1}, 422, 602),
        (
            "all",
            "PUT",
            "/selectors/x",
            {"against": 1, "selector": {"group": "pool=main", "state": "withdrawn"}},
            422,
            601,
        ),
        ("all", "GET", "/history/99", None, 404, 105),
        ("all", "GET", "/history?limit=many", None, 400, 100),
        ("all", "GET", "/elsewhere", None, 404, 105),
        ("all", "POST", "/fleet", None, 404, 105),
    ],
)
async def test_refusals_have_a_code_and_change_nothing(
    admin, team, method, path, body, status, code
):
    found, answer = await admin.ask(method, path, body, team)
    assert (found, answer["error"]["code"]) == (status, code), answer
    assert answer["error"]["outcome"] == "not_run"
    assert (await admin.store.read()).configuration.generation == 1


async def test_admin_key_must_be_a_bearer_token(admin):
    status, _ = await admin.ask("GET", "/fleet", Authorization="Basic all")
    assert status == 401


async def test_edits_and_history_fail_while_the_key_value_service_is_down(admin):
    admin.service.down = True
    status, body = await admin.ask("PATCH", "/labels/x", labels(1, a="b"))
    assert (status, body["error"]["code"]) == (503, 603)
    assert (await admin.ask("GET", "/history"))[0] == 503
    assert (await admin.ask("GET", "/configuration"))[0] == 200


async def test_edit_is_refused_after_a_restore_to_an_older_generation(admin):
    # The key-value service is restored without generation 2, which is in force. An edit
    # of generation 1 would be accepted there and refused by every process.
    backup = admin.service.snapshot()
    await admin.ask("PATCH", "/labels/engine-1", labels(1, tier="a"))
    admin.service.restore(backup)
    status, body = await admin.ask("PATCH", "/labels/engine-1", labels(1, tier="b"))
    assert (status, body["error"]["code"]) == (409, 604)


async def test_internal_error_has_an_unknown_outcome(admin, monkeypatch, caplog):
    monkeypatch.setattr(admin.store, "read", None)
    with caplog.at_level(logging.CRITICAL):
        status, body = await admin.ask("PATCH", "/labels/x", labels(1, a="b"))
    assert (status, body["error"]["outcome"]) == (500, "unknown")


async def test_fleet_status_joins_instance_list_labels_and_reports():
    holder = ConfigHolder("entry", MemoryHistory())
    holder.offer(encode_configuration(msgspec.structs.replace(DOCUMENT, generation=3)))
    report = SideReport(Readiness.READY, Role.MIXED, ("m@1",), running=2)
    info = InstanceInfo("engine-1", UpstreamKind.ENGINE, "z", "a:1", "http://a")
    peer = types.SimpleNamespace(
        session="s",
        report=report,
        reported_at=asyncio.get_running_loop().time(),
        generation=2,
    )
    membership = types.SimpleNamespace(
        infos={"engine-1": info},
        peers={"engine-1": peer},
        is_leaving=lambda name: name != "engine-1",
    )
    core = types.SimpleNamespace(name="entry-1", holder=holder, membership=membership)
    fleet = read_fleet_status(core)
    first, second = fleet.upstreams
    assert (fleet.generation, first.generation) == (3, 2)
    assert (first.connected, first.role, first.running) == (True, "mixed", 2)
    assert (first.selectors, first.kind, first.zone) == (("main",), "engine", "z")
    assert (second.name, second.connected, second.leaving) == ("engine-2", False, True)
