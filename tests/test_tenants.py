"""Tests of API keys and tenants at a direct entry."""

from __future__ import annotations

import asyncio
import logging
import string

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.direct.fingerprint import fingerprint_of
from bergamotmast.direct.tenants import TenantIndex
from bergamotmast.direct.tenants import TenantSpec
from bergamotmast.errors import ConfigError
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.policy.direct_placement import prefill_priority
from bergamotmast.policy.priority import ENGINE_PRIORITIES
from bergamotmast.policy.priority import PriorityBand
from bergamotmast.policy.priority import Rank
from direct_support import ROUTES
from direct_support import config
from direct_support import engine
from direct_support import read_answer
from direct_support import request
from direct_support import route
from direct_support import serving
from platform_standin import EngineScript
from platform_standin import Received
from platform_standin import Replica
from platform_standin import Script
from platform_standin import answer
from platform_standin import not_run

KEY = "k1-of-the-notaries"
OTHER_KEY = "k2-of-the-hospital"
PUBLIC = [route("/open/", "safe", public=True)]


def tenants(version: int = 1, **keys: list[str]) -> dict:
    """Return a configuration with the keys of each tenant."""
    entries = [{"name": name, "api-keys": held} for name, held in keys.items()]
    return config(version, ROUTES + PUBLIC) | {"tenants": entries}


DOCUMENT = tenants(notaries=[KEY, "k1-second"], hospital=[OTHER_KEY])


def secrets_of(received: Received) -> list[str]:
    return [value for _, value in received.raw_headers if KEY in value]


async def test_upstream_receives_the_tenant_and_not_the_key():
    """Guards against a forged tenant and a key that leaves the entry."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        got = await entry.ask("/order/x", X_Api_Key=KEY, X_Tenant="hospital")
    assert got.status == 200
    received = replica.received[0]
    names = [value for name, value in received.raw_headers if name == "X-Tenant"]
    assert names == ["notaries"]
    assert "x-api-key" not in received.headers
    assert secrets_of(received) == []


async def test_prefill_resume_and_retry_carry_the_tenant_and_not_the_key():
    """Guards against a key or a missing tenant in later sends of one request."""
    prefill = engine("p-1", EngineScript(), "prefill")
    breaking = [engine(f"d-{n}", EngineScript(last=6, break_after=2)) for n in (1, 2)]
    replicas = (prefill, *breaking)
    async with serving(*replicas, document=DOCUMENT) as entry:
        for number in range(6):
            await entry.ask(
                "/long/x",
                request_id=f"id-{number}",
                X_Api_Key=KEY,
                X_Token_Count="40000,20",
                X_Prompt_Prefix=f"a{number}:40000",
            )
    sends = [r for replica in replicas for r in replica.received]
    assert any("x-stage" in r.headers for r in sends)
    assert any("last-event-id" in r.headers for r in sends)
    runs = [r for r in sends if r.method == "POST"]
    assert {r.headers.get("x-tenant") for r in runs} == {"notaries"}
    assert not any("x-api-key" in r.headers or secrets_of(r) for r in sends)


@pytest.mark.parametrize(
    "keys",
    [
        [],
        [""],
        ["nobody"],
        [KEY.upper()],
        [KEY + "x"],
        [KEY[:-1]],
        [KEY, KEY],
        [KEY, OTHER_KEY],
        ["nobody", KEY],
        [f"{KEY},{KEY}"],
        [f'"{KEY}"'],
        [f"Bearer {KEY}"],
        ["k" * 8000],
        ["k\u00e9y"],
    ],
)
async def test_request_without_one_known_key_is_refused(keys):
    """Guards against running a request whose key no configuration holds."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        got = await ask_with(entry, [f"X-Api-Key: {key}" for key in keys])
        sound = await entry.ask("/order/x", X_Api_Key=KEY)
    assert got.status == 401
    assert sound.status == 200
    assert len(replica.received) == 1


async def ask_with(entry, lines: list[str], target: str = "/order/x"):
    """Send a request with header lines as they are."""
    reader, writer = await entry.connect()
    head, _, rest = request(target).partition(b"\r\n\r\n")
    writer.write(
        b"\r\n".join([head, *(x.encode() for x in lines)]) + b"\r\n\r\n" + rest
    )
    try:
        return await asyncio.wait_for(read_answer(reader), 3)
    finally:
        writer.close()


async def test_key_surrounded_by_white_space_is_accepted():
    """White space around a header's value is no part of it (RFC 9110)."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        got = await ask_with(entry, [f"x-api-KEY: \t {KEY} \t"])
    assert got.status == 200


async def test_key_in_a_trailer_is_no_key():
    """Guards against a trailer that is taken for a header."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        reader, writer = await entry.connect()
        writer.write(
            b"POST /order/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: a\r\n"
            b"Trailer: X-Api-Key\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\nX-Api-Key: " + KEY.encode() + b"\r\n\r\n"
        )
        got = await asyncio.wait_for(read_answer(reader), 3)
        writer.close()
    assert got.status == 401
    assert replica.received == []


@pytest.mark.parametrize(
    "named", ["X-Tenant", "X-Api-Key, X-Tenant", "x-expect-instance"]
)
async def test_connection_header_can_not_strip_what_the_entry_sets(named):
    """Guards against a caller that removes its tenant on the way."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        got = await ask_with(entry, [f"X-Api-Key: {KEY}", f"Connection: {named}"])
    assert got.status == 200
    headers = replica.received[0].headers
    assert headers["x-tenant"] == "notaries"
    assert headers["x-expect-instance"] == "i-1"
    assert "x-api-key" not in headers


@pytest.mark.parametrize(
    ("key", "tenant"), [(None, None), ("nobody", None), (KEY, "notaries")]
)
async def test_public_route_needs_no_key(key, tenant):
    """Guards against refusals on public routes, and against forged tenants there."""
    replica = Replica("i-1", answer())
    headers = {"X_Tenant": "hospital"} | ({"X_Api_Key": key} if key else {})
    async with serving(replica, document=DOCUMENT) as entry:
        got = await entry.ask("/open/x", method="GET", body=b"", **headers)
    assert got.status == 200
    assert replica.received[0].headers.get("x-tenant") == tenant
    assert "x-api-key" not in replica.received[0].headers


async def test_configuration_without_tenants_needs_no_key():
    """Guards against refusals where no tenants are configured."""
    replica = Replica("i-1", answer())
    async with serving(replica) as entry:
        got = await entry.ask("/order/x", X_Api_Key="any", X_Tenant="forged")
    assert got.status == 200
    assert "x-tenant" not in replica.received[0].headers


async def test_keys_take_hold_on_kept_connections():
    """Guards against connections that stay under the version they were opened in."""
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        reader, writer = await entry.connect()

        async def ask(key: str) -> int:
            writer.write(request("/order/x", X_Api_Key=key))
            return (await asyncio.wait_for(read_answer(reader), 3)).status

        before = [await ask(KEY), await ask("new")]
        entry.put("op/config", tenants(2, notaries=["new"], hospital=[OTHER_KEY]))
        after = [await ask(KEY), await ask("new"), await ask(OTHER_KEY)]
        writer.close()
    assert before == [200, 401]
    assert after == [401, 200, 200]


async def test_stream_goes_on_when_its_key_is_removed():
    """Guards against cutting off a stream that was admitted with a valid key."""
    sound = engine("d-1", EngineScript(last=6, pause=0.05))
    async with serving(sound, document=DOCUMENT) as entry:
        running = asyncio.create_task(entry.ask("/talk/x", X_Api_Key=KEY))
        await asyncio.sleep(0.12)
        entry.put("op/config", tenants(2, hospital=[OTHER_KEY]))
        got = await running
        refused = await entry.ask("/talk/x", X_Api_Key=KEY)
    assert (got.status, got.complete) == (200, True)
    assert refused.status == 401


async def test_unknown_key_without_the_store_may_be_new():
    """Guards against a final refusal of a key that another entry knows.

    The entry has lost the store: a key that it does not know may be new.
    """
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        entry.fleet.in_sync = False
        new = await entry.ask("/order/x", X_Api_Key="new")
        none = await entry.ask("/order/x")
        known = await entry.ask("/order/x", X_Api_Key=KEY)
    assert (new.status, none.status, known.status) == (503, 401, 200)
    assert 0 < float(new.headers["retry-after"]) <= 1


@pytest.mark.parametrize(
    "tenant_list",
    [
        [{"name": "a", "api-keys": ["k"]}, {"name": "b", "api-keys": ["k"]}],
        [{"name": "a", "api-keys": [7]}],
        [{"name": "a", "api-keys": "k"}],
        [{"api-keys": ["k"]}],
        [{"name": "a", "api-keys": ["k"], "priority": "high"}],
        {"a": ["k"]},
    ],
)
async def test_unusable_tenants_leave_the_version_in_force(tenant_list, caplog):
    """Guards against a broken document that locks all callers out."""
    caplog.set_level(logging.INFO)
    replica = Replica("i-1", answer())
    async with serving(replica, document=DOCUMENT) as entry:
        entry.put("op/config", config(2) | {"tenants": tenant_list})
        got = await entry.ask("/order/x", X_Api_Key=KEY)
        assert entry.fleet.generation == 1
    assert got.status == 200
    assert "configuration cannot be decoded" in caplog.text


async def test_keys_are_in_no_log_line_and_no_error(caplog):
    """Guards against keys in logs, also those of refused and failed requests."""
    caplog.set_level(logging.DEBUG)
    failing: Script = not_run()
    replicas = Replica("i-1", failing), engine("d-1", EngineScript(break_after=1))
    async with serving(*replicas, document=DOCUMENT) as entry:
        answers = [
            await entry.ask(target, X_Api_Key=key, X_Deadline_Ms=left)
            for target in ("/order/x", "/talk/x", "/read/x", "/none/x")
            for key in (KEY, "secret-nobody")
            for left in ("900", "junk")
        ]
        index = entry.fleet.table.routing.tenants
        entry.put("op/config", tenants(2, notaries=[KEY], hospital=[KEY]))
        assert KEY not in repr(entry.fleet.table.routing) + repr(index)
    shown = "".join(str(vars(record)) for record in caplog.records)
    shown += "".join(got.body.decode() + str(got.headers) for got in answers)
    assert KEY not in shown
    assert "secret-nobody" not in shown


async def test_requests_are_counted_by_tenant():
    """Operators see each tenant's requests; those without a tenant share one series."""
    metrics = OpenTelemetryMetrics("p")
    async with serving(Replica("i-1", answer()), document=DOCUMENT) as entry:
        entry.core.telemetry = metrics
        await entry.ask("/order/x", X_Api_Key=KEY)
        await entry.ask("/order/x", X_Api_Key="nobody")
    exposed = metrics.exposition().decode()
    assert 'tenant_total_seconds_count{tenant="notaries"} 1.0' in exposed
    assert 'tenant_total_seconds_count{tenant=""} 1.0' in exposed


async def test_tenants_do_not_share_a_fingerprint():
    """Guards against a tenant whose harmful request puts another's into quarantine."""
    replica = Replica("i-1", answer())
    calls = []
    async with serving(replica, document=DOCUMENT) as entry:
        run = entry.core._run

        async def keep(call, *more):
            calls.append(call)
            return await run(call, *more)

        entry.core._run = keep
        for key in (KEY, OTHER_KEY, "k1-second"):
            await entry.ask("/order/x", X_Api_Key=key)
    first, other, same = map(fingerprint_of, calls)
    assert first == same
    assert first != other


KEYS = st.text(string.printable, max_size=12)


@settings(deadline=None)
@given(st.dictionaries(KEYS, st.integers(0, 5), max_size=8), KEYS)
def test_index_finds_exactly_the_keys_that_it_holds(holders, probe):
    """Guards against a key that matches another one or a wrong tenant."""
    held: dict[int, list[str]] = {}
    for key, holder in holders.items():
        held.setdefault(holder, []).append(key)
    index = TenantIndex(TenantSpec(f"t{n}", tuple(keys)) for n, keys in held.items())
    assert len(index) == len(holders)
    for key, holder in holders.items():
        assert index.find(key).name == f"t{holder}"
    assert (index.find(probe) is not None) == (probe in holders)


def test_shared_key_is_reported_without_the_key():
    with pytest.raises(ConfigError) as caught:
        TenantIndex([TenantSpec("a", (KEY,)), TenantSpec("b", (KEY,))])
    assert KEY not in str(caught.value) + repr(caught.value)
    assert "a and b" in caught.value.message


def test_tenants_priority_precedes_that_of_the_route():
    """Guards against an urgent tenant's long prompt behind another's short one."""
    index = TenantIndex(
        [
            TenantSpec("urgent", ("u",), 0),
            TenantSpec("usual", ("n",), 3),
            TenantSpec("usual too", ("m",), 3),
            TenantSpec("none", ("o",)),
        ]
    )
    bands = [index.find(key).band for key in "unmo"]
    assert bands == [PriorityBand(n, 3) for n in (0, 1, 1, 2)]
    lowest_urgent = prefill_priority(Rank(2, bands[0]), 90_000)
    assert lowest_urgent < prefill_priority(Rank(0, bands[1]), 100)


@pytest.mark.parametrize("count", range(1, 14))
def test_bands_keep_the_order_of_ranks(count):
    """Guards against priorities that engines do not know, and against inversions."""
    found = [
        prefill_priority(Rank(rank, PriorityBand(band, count)), tokens)
        for band in range(count)
        for rank in range(3)
        for tokens in (100, 90_000)
    ]
    assert found == sorted(found)
    assert all(0 <= priority < ENGINE_PRIORITIES for priority in found)


def test_configuration_is_decoded_with_its_tenants():
    document = tenants(3, notaries=[KEY]) | {"unknown": 1}
    document["tenants"][0]["priority"] = 1
    routing = PlatformDirectory().decode_routing(msgspec.json.encode(document))
    assert routing.tenants.find(KEY).name == "notaries"
    assert [r.public for r in routing.routes] == [False] * len(ROUTES) + [True]
    plain = PlatformDirectory().decode_routing(msgspec.json.encode(config(3)))
    assert plain.tenants is None
