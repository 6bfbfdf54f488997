from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bergamotmast.config.document import Configuration
from bergamotmast.config.document import Match
from bergamotmast.config.document import RequestClass
from bergamotmast.config.document import Selector
from bergamotmast.config.document import decode_configuration
from bergamotmast.config.document import encode_configuration
from bergamotmast.config.holder import PEER_PULL_DELAY_SECONDS
from bergamotmast.config.holder import ConfigHolder
from bergamotmast.history import ConfigInForce
from bergamotmast.history import MemoryHistory
from bergamotmast.history import NullHistory


def document(generation: int) -> bytes:
    return encode_configuration(Configuration(generation=generation))


@pytest.mark.looptime
async def test_older_document_is_rejected_from_any_source():
    # Generation 2 is in force when the key-value service is restored from a backup and
    # serves generation 1 again. The process must stay at 2.
    history = MemoryHistory()
    holder = ConfigHolder("entry-1", history)
    assert holder.offer(document(2))
    assert not holder.offer(document(1))
    assert not holder.offer(document(2))
    assert holder.generation == 2
    assert [r.generation for r in history.records] == [2]
    assert isinstance(history.records[0], ConfigInForce)


@pytest.mark.looptime
async def test_waiters_wake_on_a_newer_document():
    holder = ConfigHolder("entry-1", MemoryHistory())
    waiter = asyncio.create_task(holder.wait_for_newer(4))
    await asyncio.sleep(10)
    holder.offer(document(4))
    await asyncio.sleep(10)
    assert not waiter.done()
    holder.offer(document(5))
    assert (await waiter).generation == 5


def test_earlier_version_decodes_documents_of_a_later_one():
    # A later version has an additional field that its operator does not use. Processes
    # of this version, which reject unknown fields, must still accept the document.
    class Later(Configuration, frozen=True):
        quotas: dict[str, int] = {}

    written = encode_configuration(Later(generation=1))
    assert written == b'{"generation":1}'
    assert decode_configuration(written) == Configuration(generation=1)
    assert encode_configuration(Later(quotas={"t": 1})) == b'{"quotas":{"t":1}}'


DOCUMENT = Configuration(
    generation=1,
    labels={"engine-1": {"pool": "main"}},
    selectors=(
        Selector(name="main", group="pool=main", match=Match(classes=("checks",))),
    ),
    classes={"checks": RequestClass(first_token=1.5)},
)
ENCODED = encode_configuration(DOCUMENT)


def damaged(start: int, length: int, inserted: bytes) -> bytes:
    return ENCODED[:start] + inserted + ENCODED[start + length :]


@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    st.one_of(
        st.binary(),
        st.builds(
            lambda start, length, text: (
                ENCODED[:start] + text + ENCODED[start + length :]
            ),
            st.integers(0, len(ENCODED)),
            st.integers(0, 20),
            st.binary(max_size=4),
        ),
    )
)
@example(ENCODED.replace(b"pool=main", b"pool"))
@example(b'{"labels":{"\xff":{}}}')
@example(b"[" * 100_000)
@example(b'{"generation":' + b"9" * 5000 + b"}")
def test_any_bytes_from_a_peer_are_taken_or_refused_whole(data):
    # A peer or the service sends corrupted bytes. The process must reject them with one
    # type of error and keep its configuration, never a partly updated one.
    holder = ConfigHolder("entry-1", NullHistory())

    async def offer() -> None:
        try:
            holder.offer(data)
        except msgspec.DecodeError:
            assert holder.generation == 0
            assert holder.document == b""
        assert holder.selection.configuration == holder.current

    asyncio.run(offer())


@pytest.mark.looptime
async def test_peer_is_asked_only_if_the_service_does_not_deliver_the_edit():
    # A process learns of an edit from many peers at once. If it asked each of them, one
    # edit would send the whole document over every session.
    holder = ConfigHolder("entry-1", MemoryHistory())
    assert holder.should_pull(3)
    assert not holder.should_pull(3)
    holder.offer(document(3))
    assert not holder.should_pull(4)
    await asyncio.sleep(PEER_PULL_DELAY_SECONDS)
    assert holder.should_pull(4)
    assert not holder.should_pull(4)
    holder.offer(document(4))
    assert not holder.should_pull(4)
    assert not holder.should_pull(5)
