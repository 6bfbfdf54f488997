"""The promises that a run is held to, checked on its recorded history."""

from __future__ import annotations

from .history_check import Summary as Summary
from .history_check import check as check
from .history_check import summary as summary
from .rules import Limits as Limits
from .rules import Rule as Rule
from .rules import Violation as Violation
