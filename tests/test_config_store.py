from __future__ import annotations

import asyncio
import pathlib

import pytest

from bergamotmast.config.document import Configuration
from bergamotmast.config.file import load_configuration
from bergamotmast.config.store import CURRENT_KEY
from bergamotmast.config.store import MAX_HISTORY_RECORDS
from bergamotmast.config.store import MAX_WRITE_ATTEMPTS
from bergamotmast.config.store import ConfigStore
from bergamotmast.config.store import history_key
from bergamotmast.errors import ConfigError
from bergamotmast.errors import EditConflictError
from bergamotmast.errors import KeyValueOutcomeUnknownError
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.history import ConfigAccepted
from bergamotmast.history import MemoryHistory
from bergamotmast.ports import Put
from bergamotmast.standins.key_value import KeyValueStandIn

pytestmark = pytest.mark.looptime


def labelled(**pools: str) -> Configuration:
    return Configuration(labels={name: {"pool": pool} for name, pool in pools.items()})


def store(service: KeyValueStandIn, name: str = "operator") -> ConfigStore:
    return ConfigStore(service.client(name), wall_clock=lambda: 1_700_000_000.0)


async def test_accepted_edit_is_current_and_in_the_history():
    history = MemoryHistory()
    edits = ConfigStore(KeyValueStandIn().client("a"), history, lambda: 5.0)
    first = await edits.propose(labelled(one="main"), 0, "ana", "n1")
    second = await edits.propose(labelled(one="old"), 1, "rui", "n2")
    assert (first.generation, second.generation) == (1, 2)
    assert (await edits.read()).configuration == second
    newest, oldest = await edits.history()
    assert (newest.author, newest.changes) == (
        "rui",
        ('~ labels[one].pool: "main" -> "old"',),
    )
    assert oldest.configuration == first
    assert history.records == [
        ConfigAccepted(at=0.0, generation=1),
        ConfigAccepted(at=0.0, generation=2),
    ]


async def test_example_configuration_is_stored_and_read_back():
    example = pathlib.Path(__file__).parent.parent / "examples/trindade/config.yaml"
    edits = store(KeyValueStandIn())
    accepted = await edits.propose(load_configuration(example), 0, "ana", "n1")
    assert (await edits.read()).configuration == accepted
    assert (await edits.history())[0].configuration == accepted


async def test_concurrent_proposals_conflict():
    # Two operators read generation 1 and propose at the same time. One is accepted; the
    # other gets an error that names the author and the differences, and writes nothing.
    service = KeyValueStandIn(delay=0.1)
    await store(service).propose(labelled(one="main"), 0, "ana", "n0")
    results = await asyncio.gather(
        store(service, "a").propose(labelled(one="left"), 1, "ana", "n1"),
        store(service, "b").propose(labelled(one="right"), 1, "rui", "n2"),
        return_exceptions=True,
    )
    assert results[0] == (await store(service).read()).configuration
    conflict = results[1]
    assert isinstance(conflict, EditConflictError)
    assert (conflict.author, conflict.generation) == ("ana", 2)
    assert conflict.differences == ('~ labels[one].pool: "left" -> "right"',)
    assert "ana was first" in conflict.show()
    assert len(await store(service).history()) == 2


@pytest.mark.parametrize("losses", [1, 2, MAX_WRITE_ATTEMPTS - 1])
async def test_a_lost_reply_of_an_edit_that_took_effect(losses):
    # The service applies the edit, but its reply and those of retries are lost. The
    # operator must see success, and the edit must be recorded once.
    service = KeyValueStandIn()
    service.lose_next_reply(count=losses)
    accepted = await store(service).propose(labelled(one="main"), 0, "ana", "n1")
    assert accepted.generation == 1
    assert [r.nonce for r in await store(service).history()] == ["n1"]


async def test_a_lost_reply_of_an_edit_that_lost_the_race():
    # The reply of a failed compare-and-swap is lost after another operator's edit was
    # accepted. The operator must see a conflict, never success.
    service = KeyValueStandIn()
    slow = store(service, "slow")
    service.delays["slow"] = 1.0
    service.lose_next_reply("slow")
    proposal = asyncio.create_task(slow.propose(labelled(a="x"), 0, "ana", "n1"))
    await asyncio.sleep(1.2)
    await store(service).propose(labelled(a="y"), 0, "rui", "n2")
    with pytest.raises(EditConflictError, match="rui was first"):
        await proposal


async def test_revision_reissued_by_a_restored_service_conflicts():
    # An operator reads generation 2. The service is restored without it, and another
    # operator's edit gets the same generation and the same revision. The first must
    # see a conflict; the accepted edit must not be overwritten unnoticed.
    service = KeyValueStandIn()
    await store(service).propose(labelled(a="one"), 0, "ana", "n1")
    backup = service.snapshot()
    await store(service).propose(labelled(a="lost"), 1, "ana", "n2")
    service.delays["slow"] = 2.0
    slow = store(service, "slow").propose(labelled(a="x"), 2, "ana", "n3")
    proposal = asyncio.create_task(slow)
    await asyncio.sleep(1.5)
    service.restore(backup)
    other = await store(service).propose(labelled(a="kept"), 1, "rui", "n4")
    with pytest.raises(EditConflictError):
        await proposal
    assert (await store(service).read()).configuration == other


async def test_unknown_outcome_is_reported_as_unknown():
    # The service applies the edit, loses the reply and goes down before anything can be
    # read back. The error must not say that nothing was written.
    service = KeyValueStandIn(delay=0.2)
    proposal = asyncio.create_task(
        store(service).propose(labelled(a="x"), 0, "ana", "n1")
    )
    await asyncio.sleep(0.55)
    service.down = True
    with pytest.raises(KeyValueOutcomeUnknownError, match="n1"):
        await proposal
    service.down = False
    assert (await store(service).propose(labelled(a="x"), 0, "ana", "n1")).generation


async def test_proposal_to_an_unavailable_service_fails():
    service = KeyValueStandIn()
    service.down = True
    with pytest.raises(KeyValueUnavailableError):
        await store(service).propose(labelled(a="x"), 0, "ana", "n1")


async def test_the_same_proposal_sent_twice_counts_once():
    edits = store(KeyValueStandIn())
    first = await edits.propose(labelled(a="x"), 0, "ana", "n1")
    assert await edits.propose(labelled(a="x"), 0, "ana", "n1") == first
    with pytest.raises(EditConflictError):
        await edits.propose(labelled(a="x"), 0, "ana", "n2")


async def test_old_records_are_removed():
    edits = store(KeyValueStandIn())
    for generation in range(MAX_HISTORY_RECORDS + 3):
        await edits.propose(labelled(a=str(generation)), generation, "ana", "n")
    records = await edits.history(limit=1000)
    assert len(records) == MAX_HISTORY_RECORDS
    assert records[0].generation == MAX_HISTORY_RECORDS + 3


async def test_invalid_stored_values_raise_coded_errors():
    service = KeyValueStandIn()
    await service.client("x").txn([], [Put(CURRENT_KEY, b"\xff")])
    await service.client("x").txn([], [Put(history_key(1), b"[]")])
    with pytest.raises(ConfigError, match="holds no configuration"):
        await store(service).read()
    with pytest.raises(ConfigError, match="holds no record"):
        await store(service).history()
