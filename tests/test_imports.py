"""Imports between modules have no cycles, including those for type checking."""

from __future__ import annotations

import grimp


def test_imports_have_no_cycles():
    """A cycle blurs the layers and can fail at import time after a later change."""
    graph = grimp.build_graph("bergamotmast", exclude_type_checking_imports=False)
    left = {
        name: set(graph.find_modules_directly_imported_by(name))
        for name in graph.modules
    }
    while free := {name for name, imported in left.items() if not imported & set(left)}:
        left = {name: imported for name, imported in left.items() if name not in free}
    assert sorted(left) == []
