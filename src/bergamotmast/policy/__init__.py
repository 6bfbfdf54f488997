"""Admission, placement, scheduling and role policies, without I/O or a clock."""

from __future__ import annotations

from .interfaces import Candidate
from .interfaces import Choice
from .interfaces import EngineView
from .interfaces import EntryPolicy
from .interfaces import GroupSnapshot
from .interfaces import QueueItem
from .interfaces import RoleChange
from .interfaces import ShiftPolicy
from .interfaces import SidePolicy
from .interfaces import UpstreamSpeed

__all__ = [
    "Candidate",
    "Choice",
    "EngineView",
    "EntryPolicy",
    "GroupSnapshot",
    "QueueItem",
    "RoleChange",
    "ShiftPolicy",
    "SidePolicy",
    "UpstreamSpeed",
]
