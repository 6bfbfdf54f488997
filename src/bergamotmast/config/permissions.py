"""Authorization of configuration edits by the teams' keys."""

from __future__ import annotations

import hashlib
import hmac

from ..errors import RequestError
from ..errors import ResultCode
from .document import AdminKey
from .document import Configuration
from .document import Scope
from .groups import selectors_by_upstream

_PARTLY_EDITABLE = ("labels", "selectors", "generation")
"""Fields of which a key limited to some selectors may change a part."""


_NO_SELECTORS: frozenset[str] = frozenset()


def find_key(configuration: Configuration, secret: str) -> AdminKey | None:
    """Return the key whose digest matches a secret; ``None`` if none does.

    Every digest is compared, each in constant time, so that the time taken reveals
    neither how close a guess was nor which team's key it is.
    """
    digest = hashlib.sha256(secret.encode(errors="replace")).hexdigest().encode()
    matching_key = None
    for key in configuration.admin_keys:
        if hmac.compare_digest(key.digest.encode(), digest):
            matching_key = key
    return matching_key


def require_scope(key: AdminKey, scope: Scope) -> None:
    """Reject a key that lacks a scope.

    :raises RequestError: ``FORBIDDEN``.
    """
    if scope not in key.scopes:
        _forbid(key, f"has no scope {scope.value!r}")


def require_edit_allowed(
    key: AdminKey, before: Configuration, after: Configuration
) -> None:
    """Reject an edit that exceeds a key's selectors.

    A key limited to some selectors may change these, and the labels of upstreams that
    match no other selector before or after the edit: otherwise a team could take
    upstreams from another team's group by a label or by a wider expression.

    :raises RequestError: ``FORBIDDEN``, naming what the key does not cover.
    """
    require_scope(key, Scope.EDIT)
    if not key.groups:
        return
    for field in Configuration.__struct_fields__:
        if field not in _PARTLY_EDITABLE and getattr(before, field) != getattr(
            after, field
        ):
            _forbid(key, f"may not change {field}")
    allowed = frozenset(key.groups)
    _require_selectors(key, allowed, before, after)
    _require_upstreams(key, allowed, before, after)


def _require_selectors(
    key: AdminKey,
    allowed: frozenset[str],
    before: Configuration,
    after: Configuration,
) -> None:
    """Reject changes of selectors that a key does not cover."""
    old = {selector.name: selector for selector in before.selectors}
    new = {selector.name: selector for selector in after.selectors}
    for name in sorted((old.keys() | new.keys()) - allowed):
        if old.get(name) != new.get(name):
            _forbid(key, f"may not change selector {name!r}")


def _require_upstreams(
    key: AdminKey,
    allowed: frozenset[str],
    before: Configuration,
    after: Configuration,
) -> None:
    """Reject changes of labels or groups of upstreams that a key does not cover."""
    old, new = selectors_by_upstream(before), selectors_by_upstream(after)
    for upstream in sorted(before.labels.keys() | after.labels.keys()):
        old_groups, new_groups = (
            old.get(upstream, _NO_SELECTORS),
            new.get(upstream, _NO_SELECTORS),
        )
        same_labels = before.labels.get(upstream) == after.labels.get(upstream)
        beyond = (old_groups | new_groups) - allowed
        if beyond and not (same_labels and old_groups == new_groups):
            group = min(beyond)
            _forbid(key, f"may not change {upstream!r}, which is in group {group!r}")


def _forbid(key: AdminKey, reason: str) -> None:
    raise RequestError(ResultCode.FORBIDDEN, f"The key of team {key.team!r} {reason}.")
