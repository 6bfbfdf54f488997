"""An entry's share of a fleet-wide budget."""

from __future__ import annotations

from bergamotmast.policy.entry_share import LAPSED_ENTRY_SECONDS
from bergamotmast.policy.entry_share import MIN_ENTRIES
from bergamotmast.policy.entry_share import RAMP_UP_SECONDS
from bergamotmast.policy.entry_share import EntryShare

NAMES = [f"e{number}" for number in range(8)]


def test_lapsed_entry_counts_for_a_while():
    share = EntryShare("e0")
    share.on_lapsed("e7", 1.0)
    assert share.entries(NAMES[:7], 1.0) == 8
    assert share.entries(NAMES[:7], 1.0 + LAPSED_ENTRY_SECONDS) == 7


def test_returned_entry_counts_once():
    share = EntryShare("e0")
    share.on_lapsed("e7", 1.0)
    assert share.entries(NAMES, 2.0) == 8
    assert share.entries(NAMES[:7], 3.0) == 7


def test_number_of_entries_has_a_lower_bound():
    assert EntryShare("e0").entries([], 0.0) == MIN_ENTRIES


def test_share_grows_while_the_store_replies():
    share = EntryShare("e0")
    share.on_store_reply(1.0)
    share.on_registered("e1", 1.0)
    assert share.share(NAMES, 9.0) == 0.0
    share.on_registered("e0", 2.0)
    share.on_store_reply(2.0 + RAMP_UP_SECONDS / 4)
    assert share.share(NAMES, 90.0) == 1 / 4 / len(NAMES)
    share.on_registered("e0", 90.0)
    share.on_store_reply(95.0)
    assert share.share(NAMES, 95.0) == 1 / len(NAMES)
