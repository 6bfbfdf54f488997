"""Optional features of a direct entry that a deployment asks for."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """What a deployment asks for beyond the usual.

    :param scarcity: whether callers may compete for too little capacity.
    """

    scarcity: bool = False
