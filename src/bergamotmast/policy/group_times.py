"""Prefill times of a group's engines in each role, and its KV transfer times."""

from __future__ import annotations

from ..model import Role
from .engine_speed import SharedPrefills
from .prefill_model import DECODE_ENGINE_PRIOR
from .prefill_model import PREFILL_ENGINE_PRIOR
from .prefill_model import TRANSFER_PRIOR
from .prefill_model import PrefillTimeModel


class GroupPrefillTimes:
    """Prefill times of a group's engines in each role, and its KV transfer times.

    :param group: name of the group.
    :param shared: whether they are learned from the prefills of all entries, and the
        engines' speeds with them.
    """

    def __init__(self, group: str = "") -> None:
        self.group = group
        self.shared = False
        self.prefill_engines = PrefillTimeModel(PREFILL_ENGINE_PRIOR)
        self.decode_engines = PrefillTimeModel(DECODE_ENGINE_PRIOR)
        self.transfers = PrefillTimeModel(TRANSFER_PRIOR)
        self.shared_prefill = SharedPrefills(self.prefill_engines)
        self.shared_decode = SharedPrefills(self.decode_engines)

    def of(self, role: Role) -> PrefillTimeModel:
        """Return the model for engines in a role."""
        return self.prefill_engines if role is Role.PREFILL else self.decode_engines

    def shared_of(self, role: Role) -> SharedPrefills:
        """Return the samples of all entries for engines in a role."""
        return self.shared_prefill if role is Role.PREFILL else self.shared_decode
