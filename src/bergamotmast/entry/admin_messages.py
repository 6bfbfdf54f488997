"""Request and response bodies of the administration interface."""

from __future__ import annotations

import typing as t

import msgspec

from ..config.diff import Change
from ..config.document import Configuration


class EditBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Fields common to all proposed edits.

    :param against: generation of the configuration that the proposer read.
    """

    against: int


class DocumentEdit(EditBody, frozen=True):
    """Replace the whole configuration.

    :param configuration: the new document; its generation, if any, is ignored.
    """

    configuration: msgspec.Raw


class LabelEdit(EditBody, frozen=True):
    """Change some labels of one upstream.

    :param labels: new values by label; ``null`` removes a label.
    """

    labels: dict[str, str | None]


class SelectorEdit(EditBody, frozen=True):
    """Add or replace one selector.

    :param selector: its fields; the name is taken from the request's path.
    """

    selector: dict[str, t.Any]


class SelectorRemoval(EditBody, frozen=True):
    """Remove one selector."""


class ConfigurationAnswer(msgspec.Struct, frozen=True):
    """A configuration: the one in force at the answering entry, or a recorded one."""

    generation: int
    configuration: Configuration


class EditAnswer(msgspec.Struct, frozen=True):
    """An accepted edit.

    :param generation: generation that the edit created.
    :param changes: differences from the configuration that it was made against.
    :param warnings: valid settings that are likely mistakes, one line each.
    """

    generation: int
    changes: tuple[Change, ...]
    warnings: tuple[str, ...] = ()


class RecordSummary(msgspec.Struct, frozen=True):
    """An accepted edit, without the document.

    :param generation: generation that the edit created.
    :param author: team of the key that proposed it.
    :param accepted_at: Unix time in seconds, by the clock of the proposing entry.
    :param changes: differences from the previous generation, one line each.
    """

    generation: int
    author: str
    accepted_at: float
    changes: tuple[str, ...]


class HistoryAnswer(msgspec.Struct, frozen=True):
    """The latest edits, newest first."""

    edits: tuple[RecordSummary, ...]


class AdminErrorDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why an operator's request failed.

    :param code: numeric result code.
    :param name: name of the result code, in lower case.
    :param outcome: ``not_run``, ``ran`` or ``unknown``.
    :param message: explanation for people, one sentence.
    :param generation: after a conflict, the current generation.
    :param author: after a conflict, the team that made the current generation.
    :param differences: after a conflict, what the proposal would change in the
        current generation.
    :param selectors: names of two selectors that contradict each other.
    :param upstream: an upstream that both selectors match.
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
    """The JSON body of every error."""

    error: AdminErrorDetail
