"""Checks the system's guarantees on the recorded history of a run."""

from __future__ import annotations

from .history_check import Summary as Summary
from .history_check import check as check
from .history_check import summary as summary
from .rules import Limits as Limits
from .rules import Rule as Rule
from .rules import Violation as Violation
