from __future__ import annotations

import argparse
import gc
import types

from bergamotmast.commands import direct


def test_objects_of_the_start_are_excluded_from_garbage_collection(monkeypatch):
    """Garbage collections block the event loop of an entry for 25 to 70 ms at times.

    A collection of the oldest generation traverses all objects, most of which are
    modules and their functions and live as long as the process.
    """
    frozen = []

    async def serve(settings: object) -> None:
        frozen.append(gc.get_freeze_count())

    settings = types.SimpleNamespace(log_level="info", name="entry-1")
    monkeypatch.setattr(direct, "load_settings", lambda *_: settings)
    monkeypatch.setattr(direct, "configure_decision_logs", lambda *_: None)
    monkeypatch.setattr(direct, "serve_direct", serve)
    objects = len(gc.get_objects())
    try:
        assert direct.run(argparse.Namespace()) == 0
    finally:
        gc.unfreeze()
    assert frozen[0] > objects / 2
