"""No module imports another that leads back to it, type hints included."""

from __future__ import annotations

import grimp


def test_modules_import_each_other_in_one_direction():
    """A circle hides which part is the lower one, and breaks at import time one day."""
    graph = grimp.build_graph("bergamotmast", exclude_type_checking_imports=False)
    left = {
        name: set(graph.find_modules_directly_imported_by(name))
        for name in graph.modules
    }
    while free := {name for name, imported in left.items() if not imported & set(left)}:
        left = {name: imported for name, imported in left.items() if name not in free}
    assert sorted(left) == []
