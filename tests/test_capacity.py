from __future__ import annotations

from bergamotmast.bench.capacity import measure_config
from bergamotmast.bench.capacity import measure_control
from bergamotmast.bench.capacity import measure_edits
from bergamotmast.bench.capacity import run_in_virtual_time


def test_session_traffic_is_independent_of_fleet_size():
    small = run_in_virtual_time(measure_control(2, 4))
    large = run_in_virtual_time(measure_control(4, 4))
    assert (small.sessions, large.sessions) == (8, 16)
    assert abs(large.session_bytes - small.session_bytes) < 0.1 * small.session_bytes
    assert large.kv_watches == small.kv_watches + 2


def test_edit_does_not_transfer_the_whole_document():
    # With a thousand tenants a document has some 200 kB. Every process must read only
    # what an edit changed: otherwise a burst of edits uses the whole network budget.
    config = run_in_virtual_time(measure_config(1000, 4))
    edits = run_in_virtual_time(measure_edits(1000, 1, 4))
    assert config.document_bytes > 100_000
    assert edits.read_bytes < 0.05 * config.document_bytes
    assert edits.slowest_seconds < 18.0
