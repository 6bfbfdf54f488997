"""Edits of a configuration: one upstream's labels, or one selector."""

from __future__ import annotations

import collections.abc as cabc

import msgspec

from ..errors import ConfigError
from .checks import did_you_mean
from .document import Configuration
from .document import Selector


def with_labels(
    configuration: Configuration,
    upstream: str,
    labels: cabc.Mapping[str, str | None],
) -> Configuration:
    """Return a document with some labels of one upstream changed.

    :param labels: new values; ``None`` removes a label. An upstream without any
        remaining label is removed.
    """
    changed = {**configuration.labels.get(upstream, {}), **labels}
    kept = {label: value for label, value in changed.items() if value is not None}
    all_labels = {**configuration.labels, upstream: kept}
    if not kept:
        del all_labels[upstream]
    return msgspec.structs.replace(configuration, labels=all_labels)


def with_selector(configuration: Configuration, selector: Selector) -> Configuration:
    """Return a document with a selector replaced, or added if its name is new."""
    selectors = list(configuration.selectors)
    names = [other.name for other in selectors]
    if selector.name in names:
        selectors[names.index(selector.name)] = selector
    else:
        selectors.append(selector)
    return msgspec.structs.replace(configuration, selectors=tuple(selectors))


def without_selector(configuration: Configuration, name: str) -> Configuration:
    """Return a document without a selector.

    :raises ConfigError: if there is no selector with this name.
    """
    names = [selector.name for selector in configuration.selectors]
    if name not in names:
        hint = did_you_mean(name, names)
        raise ConfigError(f"there is no selector {name!r}{hint}")
    kept = tuple(s for s in configuration.selectors if s.name != name)
    return msgspec.structs.replace(configuration, selectors=kept)


def parse_label_changes(words: cabc.Iterable[str]) -> dict[str, str | None]:
    """Parse ``label=value`` to set a label and ``label-`` to remove it.

    :raises ConfigError: for a word that is neither.
    """
    changes: dict[str, str | None] = {}
    for word in words:
        label, separator, value = word.partition("=")
        if separator and label and value:
            changes[label] = value
        elif not separator and word.endswith("-") and len(word) > 1:
            changes[word.removesuffix("-")] = None
        else:
            raise ConfigError(f"{word!r} is neither label=value nor label-")
    return changes
