"""Switch of the capacity that entries learn of upstreams, by group."""

from __future__ import annotations

import typing as t


class CapacitySwitch(t.Protocol):
    """Tells in which groups entries learn together what upstreams handle well."""

    def is_on(self, group: str) -> bool:
        """Return whether it is on in a group."""
        ...
