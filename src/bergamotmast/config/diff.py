"""Differences between two configuration documents, as text and as data."""

from __future__ import annotations

import collections.abc as cabc
import enum
import typing as t

import msgspec

from .document import Configuration

_KEY_FIELDS = {"selectors": "name", "admin_keys": "digest"}
"""Lists whose items are identified by a field, so that their order is ignored."""


class Change(msgspec.Struct, frozen=True):
    """One difference between two documents.

    :param path: location, for instance ``selectors[appraisals].models``.
    :param before: the older value; ``None`` if it was absent.
    :param after: the newer value; ``None`` if it is absent.
    """

    path: str
    before: t.Any
    after: t.Any

    def show(self) -> str:
        """Return the change as one line."""
        if self.before is None:
            return f"+ {self.path}: {_to_json(self.after)}"
        if self.after is None:
            return f"- {self.path}: {_to_json(self.before)}"
        return f"~ {self.path}: {_to_json(self.before)} -> {_to_json(self.after)}"


def diff(before: Configuration, after: Configuration) -> tuple[Change, ...]:
    """Return every difference in content, in the order of the paths.

    The generation is ignored: it differs between any two documents.
    """
    return tuple(_compare("", _plain(before), _plain(after)))


def diff_named(
    before: cabc.Mapping[str, t.Any], after: cabc.Mapping[str, t.Any]
) -> tuple[Change, ...]:
    """Return every difference between two mappings of sections to named items."""
    changes: list[Change] = []
    for section in sorted(before.keys() | after.keys()):
        old, new = before.get(section, {}), after.get(section, {})
        for name in sorted(old.keys() | new.keys()):
            path = f"{section}[{name}]"
            changes += _compare(path, old.get(name), new.get(name))
    return tuple(changes)


def show_diff(changes: cabc.Iterable[Change]) -> str:
    """Return one line for each change."""
    return "\n".join(change.show() for change in changes)


def _plain(configuration: Configuration) -> dict[str, t.Any]:
    plain: dict[str, t.Any] = _with_defaults(configuration)
    del plain["generation"]
    for field, key in _KEY_FIELDS.items():
        plain[field] = {item[key]: item for item in plain[field]}
    return plain


def _with_defaults(value: t.Any) -> t.Any:
    if isinstance(value, msgspec.Struct):
        fields = value.__struct_fields__
        return {field: _with_defaults(getattr(value, field)) for field in fields}
    if isinstance(value, dict):
        return {_with_defaults(key): _with_defaults(v) for key, v in value.items()}
    if isinstance(value, tuple):
        return [_with_defaults(item) for item in value]
    return value.value if isinstance(value, enum.Enum) else value


def _compare(path: str, before: t.Any, after: t.Any) -> cabc.Iterator[Change]:
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from _compare(_join(path, key), before.get(key), after.get(key))
    elif before != after:
        yield Change(path, before, after)


def _join(path: str, key: str) -> str:
    if not path:
        return key
    if path in _KEY_FIELDS or path in ("labels", "classes", "tenants", "routes"):
        return f"{path}[{key}]"
    return f"{path}.{key}"


def _to_json(value: t.Any) -> str:
    return msgspec.json.encode(value).decode()
