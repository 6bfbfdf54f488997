from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from bergamotmast.config.document import Configuration
from bergamotmast.config.holder import ConfigHolder
from bergamotmast.config.store import CURRENT_KEY
from bergamotmast.config.store import ConfigStore
from bergamotmast.config.store import StoredConfiguration
from bergamotmast.config.store import delta_key
from bergamotmast.config.watch import ConfigWatcher
from bergamotmast.history import MemoryHistory
from bergamotmast.ports import Put
from bergamotmast.standins.key_value import KeyValueStandIn

pytestmark = pytest.mark.looptime

MAX_DELIVERY_SECONDS = 18.0
"""Maximum time until an accepted edit is in force in all processes."""


class Fleet:
    """Processes that watch one service, and an operator who edits it."""

    def __init__(self) -> None:
        self.service = KeyValueStandIn(delay=0.002)
        self.operator = ConfigStore(self.service.client("operator"))
        self.history = MemoryHistory()
        self.holders: dict[str, ConfigHolder] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.document_reads = 0

    def start(self, *names: str) -> None:
        for name in names:
            holder = self.holders[name] = ConfigHolder(name, self.history)
            kv = self.service.client(name)
            watcher = ConfigWatcher(kv, holder, random.Random(name))
            self.count_document_reads(watcher.store)
            self.tasks[name] = asyncio.create_task(watcher.run())

    def count_document_reads(self, store: ConfigStore) -> None:
        read = store.read

        async def counted() -> StoredConfiguration:
            self.document_reads += 1
            return await read()

        store.read = counted

    def kill(self, name: str) -> None:
        self.tasks.pop(name).cancel()
        del self.holders[name]

    async def edit(self, pool: str) -> int:
        stored = await self.operator.read()
        generation = stored.configuration.generation
        proposal = Configuration(labels={"engine-1": {"pool": pool}})
        nonce = f"{pool}-{generation}"
        accepted = await self.operator.propose(proposal, generation, "ana", nonce)
        return accepted.generation

    async def in_force(self, generation: int) -> float:
        """Wait until a generation is in force in all processes; return the seconds."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.timeout(MAX_DELIVERY_SECONDS):
            for holder in self.holders.values():
                await holder.wait_for_newer(generation - 1)
        return loop.time() - began

    def pools(self) -> set[str]:
        return {h.current.labels["engine-1"]["pool"] for h in self.holders.values()}

    def assert_never_older(self) -> None:
        for name in self.holders:
            seen = [r.generation for r in self.history.records if r.process == name]
            assert seen == sorted(set(seen))


@pytest.fixture
async def fleet():
    fleet = Fleet()
    fleet.start("entry-1", "entry-2", "side-1")
    yield fleet
    for task in fleet.tasks.values():
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def test_an_edit_is_in_force_everywhere_at_once(fleet):
    await asyncio.sleep(5)
    assert await fleet.in_force(await fleet.edit("main")) < 1


async def test_many_edits_in_a_row_are_read_a_few_times(fleet):
    await fleet.in_force(await fleet.edit("main"))
    await asyncio.sleep(15)
    reads = fleet.service.reads
    for number in range(20):
        generation = await fleet.edit(f"pool-{number}")
    edits = fleet.service.reads - reads
    await fleet.in_force(generation)
    assert fleet.service.reads - reads - edits <= 3 * 2 * 2 + 3


async def test_edit_is_applied_without_reading_the_whole_document(fleet):
    await fleet.in_force(await fleet.edit("main"))
    whole = fleet.document_reads
    for number in range(5):
        await fleet.in_force(await fleet.edit(f"pool-{number}"))
    assert fleet.document_reads == whole


@pytest.mark.parametrize("change", [b'{"labels":{"engine-1":{"pool":"x"}}}', b"["])
async def test_delta_that_does_not_lead_to_the_digest_key_is_rejected(fleet, change):
    # The delta stored for the next generation belongs to another document, as after a
    # restore. Every process must read the accepted document as a whole.
    await fleet.in_force(await fleet.edit("main"))
    for name in fleet.holders:
        fleet.service.delays[name] = 0.2
    generation = await fleet.edit("later")
    await fleet.service.client("x").txn([], [Put(delta_key(generation), change)])
    await fleet.in_force(generation)
    assert fleet.pools() == {"later"}


async def test_watch_that_stops_without_an_error(fleet):
    # All watches stop without an error, and an edit is accepted. The old rules would
    # apply forever; missing keep-alives must make every process read again.
    await asyncio.sleep(5)
    fleet.service.silence_watches()
    await fleet.in_force(await fleet.edit("main"))
    await asyncio.sleep(30)
    assert await fleet.in_force(await fleet.edit("later")) < 1


async def test_live_watch_that_loses_an_event(fleet):
    # The watch loses an edit's event but sends keep-alives, so that it never times out.
    # The periodic re-read must find the edit.
    await asyncio.sleep(5)
    for watch in fleet.service._watches:
        watch.prefix = "/elsewhere/"
    await fleet.in_force(await fleet.edit("main"))
    await fleet.in_force(await fleet.edit("later"))


async def test_a_long_outage_with_instances_replaced(fleet):
    # The service is down for ten minutes. Processes keep their configuration; one that
    # starts meanwhile gets it from a peer, as over its sessions. After the outage the
    # next edit is in force everywhere, and there were few attempts to read.
    await fleet.in_force(await fleet.edit("main"))
    fleet.service.down = True
    await asyncio.sleep(300)
    fleet.kill("side-1")
    fleet.start("side-2")
    await asyncio.sleep(1)
    assert fleet.holders["side-2"].generation == 0
    fleet.holders["side-2"].offer(fleet.holders["entry-1"].document)
    reads = fleet.service.reads
    await asyncio.sleep(299)
    assert fleet.pools() == {"main"}
    assert fleet.service.reads - reads < 3 * 299
    fleet.service.down = False
    await fleet.in_force(await fleet.edit("later"))
    fleet.assert_never_older()


async def test_service_restored_from_an_older_backup(fleet):
    # The service is restored from a backup without the newest edit. No process may
    # revert to the older generation, a process that starts later must get the newer
    # one, and the next edit must build on it.
    await fleet.in_force(await fleet.edit("old"))
    backup = fleet.service.snapshot()
    await fleet.in_force(await fleet.edit("new"))
    fleet.service.down = True
    await asyncio.sleep(60)
    fleet.service.restore(backup)
    fleet.service.down = False
    await asyncio.sleep(MAX_DELIVERY_SECONDS)
    assert fleet.pools() == {"new"}
    fleet.start("side-2")
    await asyncio.sleep(1)
    assert fleet.pools() == {"new"}
    await fleet.in_force(await fleet.edit("newer"))
    assert fleet.pools() == {"newer"}
    fleet.assert_never_older()


async def test_service_restored_without_a_configuration(fleet):
    # The restored service is empty. Processes write the document in force to it.
    empty = fleet.service.snapshot()
    await fleet.in_force(await fleet.edit("main"))
    fleet.service.restore(empty)
    await asyncio.sleep(MAX_DELIVERY_SECONDS)
    assert (await fleet.operator.read()).configuration.generation == 1


async def test_edit_of_a_restored_service_before_the_republish(fleet):
    # An operator edits the restored service before any process reads it, so that two
    # documents have the same generation. The edit was reported as accepted: it must be
    # in force everywhere, under a generation above both.
    await fleet.in_force(await fleet.edit("old"))
    backup = fleet.service.snapshot()
    await fleet.in_force(await fleet.edit("lost"))
    fleet.service.restore(backup)
    assert await fleet.edit("kept") == 2
    assert await fleet.in_force(3) < MAX_DELIVERY_SECONDS
    assert fleet.pools() == {"kept"}
    fleet.assert_never_older()


async def test_invalid_stored_document_is_ignored(fleet):
    await fleet.in_force(await fleet.edit("main"))
    await fleet.service.client("x").txn([], [Put(CURRENT_KEY, b"{")])
    await asyncio.sleep(30)
    assert fleet.pools() == {"main"}
    assert not any(task.done() for task in fleet.tasks.values())
