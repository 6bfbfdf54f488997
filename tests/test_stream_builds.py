"""Builds at which streams began, as entries tell each other over lossy datagrams."""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import json
import math
import random

import msgspec
import pytest

from bergamotmast.direct import stream_builds
from bergamotmast.direct.fleet import Fleet
from bergamotmast.direct.peer_messages import Address
from bergamotmast.direct.peer_messages import PeerInbox
from bergamotmast.direct.peer_messages import StreamBuildCopies
from bergamotmast.direct.stream_build_exchange import COPIES
from bergamotmast.direct.stream_build_exchange import QUERY_SECONDS
from bergamotmast.direct.stream_build_exchange import SURVEY_SECONDS
from bergamotmast.direct.stream_build_exchange import StreamBuildExchange
from bergamotmast.direct.stream_builds import StreamBuilds
from bergamotmast.platform.directory import PlatformDirectory
from bergamotmast.ports import KeyValue


def new_fleet(*versions: str) -> Fleet:
    """Return a fleet with an engine of each version."""
    fleet = Fleet(PlatformDirectory(), asyncio.get_running_loop().time)
    for number, version in enumerate(versions):
        register(fleet, f"i-{number}", version)
    return fleet


def registration_of(version: str) -> bytes:
    value = {
        "service": "llm",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "version": version,
        "slots": 4,
        "state": "ready",
        "stage": "decode",
    }
    return json.dumps(value).encode()


def register(fleet: Fleet, name: str, version: str) -> None:
    fleet.put(KeyValue(f"servers/{name}", registration_of(version), 1))


class Network:
    """Entries that exchange datagrams, some of which get lost.

    :param alive: entries that have not ended.
    :param sent: number of datagrams.
    :param sent_by: number of datagrams, by sender.
    """

    def __init__(self, count: int, loss: float = 0.0, versions=("v1", "v2")) -> None:
        self.rng = random.Random(5)
        self.loss = loss
        self.sent = 0
        self.sent_by: collections.Counter[str] = collections.Counter()
        self.addresses = {f"entry-{n}": ("127.0.0.1", 1 + n) for n in range(count)}
        self.alive = set(self.addresses)
        self.fleets = {name: new_fleet(*versions) for name in self.addresses}
        for fleet in self.fleets.values():
            fleet.in_sync = True
        self.inboxes = {name: PeerInbox() for name in self.addresses}
        self.builds: dict[str, StreamBuilds] = {}
        self.exchanges: dict[str, StreamBuildExchange] = {}
        for name in self.addresses:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an entry, which knows no stream."""
        self.builds[name] = builds = StreamBuilds(self.fleets[name])
        exchange = StreamBuildExchange(
            name, builds, lambda: self.addresses, self.sender(name)
        )
        exchange.listen(self.inboxes[name])
        builds.peers = self.exchanges[name] = exchange

    async def find(self, name: str, request_id: str) -> str | None:
        """Return the build that an entry finds for a stream."""
        record = (await self.builds[name].find(request_id, ["llm"])).record
        return None if record is None else record.build

    def sender(self, name: str) -> cabc.Callable[[bytes, Address], None]:
        def send(data: bytes, address: Address) -> None:
            self.sent += 1
            self.sent_by[name] += 1
            target = next(n for n, a in self.addresses.items() if a == address)
            if {name, target} <= self.alive and self.rng.random() >= self.loss:
                inbox = self.inboxes[target]
                asyncio.get_running_loop().call_soon(
                    inbox.receive, data, self.addresses[name]
                )

        return send


@pytest.mark.parametrize("loss", [0.0, 0.2])
async def test_any_entry_knows_the_builds_of_a_killed_one(loss):
    """Guards against streams that can't be resumed as their entry has ended."""
    network = Network(12, loss)
    began = {f"id-{n}": f"v{1 + n % 2}" for n in range(40)}
    for request_id, build in began.items():
        network.builds["entry-3"].on_begun(request_id, "llm", build)
    await asyncio.sleep(0.02)
    network.alive.remove("entry-3")
    found = await asyncio.gather(
        *(network.find("entry-7", request_id) for request_id in began)
    )
    wrong = [
        b for b, e in zip(found, began.values(), strict=True) if b not in (None, e)
    ]
    assert wrong == []
    assert found.count(None) <= (4 if loss else 0)


async def test_restarted_holders_are_not_the_only_ones_asked():
    """Guards against refusing a stream that an entry beyond the first ones knows."""
    network = Network(12)
    network.builds["entry-3"].on_begun("id-1", "llm", "v2")
    await asyncio.sleep(0.02)
    for name in network.addresses:
        if name != "entry-3":
            network.start(name)
    for name in sorted(network.alive - {"entry-3"}):
        assert await network.find(name, "id-1") == "v2"


async def test_streams_of_one_build_cost_no_datagrams():
    """Guards against messages for each stream while there is nothing to tell apart."""
    network = Network(4, versions=("v1", "v1"))
    for number in range(100):
        network.builds["entry-0"].on_begun(f"id-{number}", "llm", "v1")
    await asyncio.sleep(0.02)
    assert network.sent == 0


async def test_streams_that_began_before_the_second_build_are_copied():
    """Guards against losing the builds of streams that run as a release begins."""
    network = Network(4, versions=("v1",))
    network.builds["entry-0"].on_begun("id-1", "llm", "v1")
    for fleet in network.fleets.values():
        register(fleet, "i-9", "v2")
    network.builds["entry-0"].copy_records()
    await asyncio.sleep(0.02)
    network.alive.remove("entry-0")
    assert await network.find("entry-1", "id-1") == "v1"


async def test_records_are_bounded_and_expire(monkeypatch):
    """Guards against memory that grows with the number of streams."""
    monkeypatch.setattr(stream_builds, "MAX_RECORDS", 50)
    monkeypatch.setattr(stream_builds, "RETENTION_SECONDS", 0.05)
    builds = StreamBuilds(new_fleet("v1", "v2"))
    for number in range(200):
        builds.on_begun(f"id-{number}", "llm", "v1")
    assert len(builds.records) <= 50
    assert (await builds.find("id-199", ["llm"])).record is not None
    await asyncio.sleep(0.06)
    assert (await builds.find("id-199", ["llm"])).record is None


async def test_build_of_a_stream_is_known_after_a_long_time_and_its_break(monkeypatch):
    """Guards against refusing a stream that lasted longer than records are kept."""
    monkeypatch.setattr(stream_builds, "RETENTION_SECONDS", 0.05)
    builds = StreamBuilds(new_fleet("v1", "v2"))
    builds.on_begun("id-1", "llm", "v2")
    await asyncio.sleep(0.06)
    builds.on_ended("id-1", complete=False)
    found = await builds.find("id-1", ["llm"])
    assert found.record is not None
    assert found.record.build == "v2"


async def test_spoilt_datagrams_are_dropped():
    """Guards against an entry that fails by what another one sends."""
    network = Network(2)
    inbox = network.inboxes["entry-0"]
    whole = msgspec.msgpack.encode(StreamBuildCopies({1: ("llm", "v1")}))
    for cut in range(len(whole)):
        inbox.receive(whole[:cut], ("127.0.0.1", 2))
    for spoilt in ([7], {"a": "b"}, ["builds", {"x": 3}], ["builds", {1: ["llm"]}]):
        inbox.receive(msgspec.msgpack.encode(spoilt), ("127.0.0.1", 2))
    assert network.builds["entry-0"].records == {}


async def test_unknown_stream_is_asked_for_a_bounded_number_of_times():
    """Guards against queries to all entries for each name that a caller makes up."""
    network = Network(30)
    names = [f"made-up-{number}" for number in range(100)]
    found = await asyncio.gather(*(network.find("entry-0", name) for name in names))
    assert set(found) == {None}
    narrow = 2 * (COPIES + 1) * len(names)
    queries = narrow + 2 * 29 * 10
    assert network.sent_by["entry-0"] <= queries
    assert network.sent <= 2 * queries


@pytest.mark.parametrize("in_sync", [True, False])
async def test_entry_that_has_not_heard_of_the_second_build_makes_no_guess(in_sync):
    """Guards against the only build that an entry knows, while there is another one."""
    network = Network(12, versions=("v1",))
    register(network.fleets["entry-0"], "i-9", "v2")
    network.fleets["entry-5"].in_sync = in_sync
    began = [f"id-{number}" for number in range(40)]
    for request_id in began:
        network.builds["entry-0"].on_begun(request_id, "llm", "v2")
    await asyncio.sleep(0.02)
    found = [await network.find("entry-5", request_id) for request_id in began]
    assert found == ["v2"] * 40


async def test_first_record_of_a_stream_is_kept():
    """Guards against one wrong record that spoils the right ones of all entries."""
    network = Network(4)
    network.builds["entry-0"].on_begun("id-1", "llm", "v2")
    await asyncio.sleep(0.02)
    network.builds["entry-1"].on_begun("id-1", "llm", "v1")
    await asyncio.sleep(0.02)
    assert await network.find("entry-0", "id-1") == "v2"
    assert await network.find("entry-2", "id-1") == "v2"


async def test_two_callers_of_one_stream_both_learn_its_build():
    """Guards against a query that ends for all who wait as the first one gives up."""
    network = Network(4)
    network.builds["entry-0"].on_begun("id-1", "llm", "v2")
    await asyncio.sleep(0.02)
    for name in ("entry-1", "entry-2", "entry-3"):
        network.start(name)
    found = await asyncio.gather(*(network.find("entry-3", "id-1") for _ in range(5)))
    assert found == ["v2"] * 5


async def test_build_that_can_not_be_read_any_more_may_still_have_streams():
    """Guards against a guess as the other build's registration can't be decoded."""
    fleet = new_fleet("v1", "v2")
    fleet.put(KeyValue("servers/i-1", b"{", 2))
    assert fleet.build_history.builds("llm") == {"v1", "v2"}


async def test_build_that_changes_under_one_name_may_still_have_streams():
    """Guards against a guess after an engine came back with another build."""
    fleet = new_fleet("v1")
    fleet.put(KeyValue("servers/i-0", registration_of("v2"), 2))
    assert fleet.build_history.builds("llm") == {"v1", "v2"}


async def test_entry_that_started_after_a_build_had_gone_makes_no_guess():
    """Guards against the only registered build, where others still know another one."""
    network = Network(3)
    for name in network.addresses:
        network.start(name)
    network.fleets["entry-2"].upstream_records.pop("servers/i-1")
    network.fleets["entry-2"].build_history.watched_since = math.inf
    assert network.fleets["entry-2"].build_history.builds("llm") == {"v1"}
    assert await network.find("entry-2", "id-1") is None
    for name in ("entry-0", "entry-1"):
        network.fleets[name].upstream_records.pop("servers/i-1")
    # What is passed on does not last longer than what the first entry knew.
    assert network.fleets["entry-2"].build_history.seconds("llm")["v2"] <= 60.0


async def test_entries_that_know_no_builds_are_asked_at_intervals():
    """Guards against datagrams without a pause to entries that have just started."""
    network = Network(5, versions=("v1",))
    for name in ("entry-1", "entry-2", "entry-3", "entry-4"):
        network.fleets[name].remove("servers/i-0", 2)
        network.fleets[name].build_history.departed.clear()
    answers = await network.exchanges["entry-0"].survey("llm")
    assert (answers.entries, answers.informed) == (5, 0)
    assert network.sent_by["entry-0"] <= 4 * 2 * (SURVEY_SECONDS / QUERY_SECONDS + 1)
