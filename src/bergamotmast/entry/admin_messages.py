"""Bodies of the administration interface."""

from __future__ import annotations

import typing as t

import msgspec

from ..config.diff import Change
from ..config.document import Configuration


class EditBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What every proposed edit says.

    :param against: the generation that the proposer read.
    """

    against: int


class DocumentEdit(EditBody, frozen=True):
    """Replace the whole document; a generation inside it is ignored."""

    configuration: msgspec.Raw


class LabelEdit(EditBody, frozen=True):
    """Change some labels of one upstream; ``null`` removes a label."""

    labels: dict[str, str | None]


class SelectorEdit(EditBody, frozen=True):
    """Replace or add one selector; its name is that of the path."""

    selector: dict[str, t.Any]


class SelectorRemoval(EditBody, frozen=True):
    """Remove one selector."""


class ConfigurationAnswer(msgspec.Struct, frozen=True):
    """The configuration that the answering entry has in force."""

    generation: int
    configuration: Configuration


class EditAnswer(msgspec.Struct, frozen=True):
    """An accepted edit.

    :param generation: the generation that it is.
    :param changes: what it changed.
    :param warnings: what is allowed and still likely a mistake, a line each.
    """

    generation: int
    changes: tuple[Change, ...]
    warnings: tuple[str, ...] = ()


class RecordSummary(msgspec.Struct, frozen=True):
    """An accepted edit, without the document.

    :param accepted_at: wall clock of the proposer, seconds since 1970.
    :param changes: what it changed, a line each.
    """

    generation: int
    author: str
    accepted_at: float
    changes: tuple[str, ...]


class HistoryAnswer(msgspec.Struct, frozen=True):
    """The newest edits, newest first."""

    edits: tuple[RecordSummary, ...]


class AdminErrorDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why an operator's request was not carried out.

    :param code: numbered result code.
    :param name: its name.
    :param outcome: ``not_run``, ``ran`` or ``unknown``.
    :param message: a sentence.
    :param generation: after a conflict, the generation that is current.
    :param author: after a conflict, who was first.
    :param differences: after a conflict, what the proposal would change in it.
    :param selectors: names of the two selectors that contradict each other.
    :param upstream: an upstream that both name.
    """

    code: int
    name: str
    outcome: str
    message: str
    generation: int = 0
    author: str = ""
    differences: tuple[str, ...] = ()
    selectors: tuple[str, ...] = ()
    upstream: str = ""


class AdminErrorBody(msgspec.Struct, frozen=True):
    """The body of every error."""

    error: AdminErrorDetail
