"""Which edits a team's key allows."""

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
"""Fields that a key limited to some selectors may change in part."""


_NONE: frozenset[str] = frozenset()


def find_key(configuration: Configuration, secret: str) -> AdminKey | None:
    """Return the key whose digest a secret has.

    Every digest is compared in full, so that the time taken says nothing about how
    near a guess came or which team's key it is.
    """
    digest = hashlib.sha256(secret.encode(errors="replace")).hexdigest().encode()
    found = None
    for key in configuration.admin_keys:
        if hmac.compare_digest(key.digest.encode(), digest):
            found = key
    return found


def require_scope(key: AdminKey, scope: Scope) -> None:
    """Refuse a key without a scope.

    :raises RequestError: ``FORBIDDEN``.
    """
    if scope not in key.scopes:
        _forbid(key, f"has no scope {scope.value!r}")


def require_edit_allowed(
    key: AdminKey, before: Configuration, after: Configuration
) -> None:
    """Refuse an edit that reaches beyond a key's selectors.

    A key limited to some selectors may change these, and labels as far as the
    upstream belongs to no other selector before or after: else a team could take
    upstreams from another team's group by a label or by a wider expression.

    :raises RequestError: ``FORBIDDEN``, naming what is out of reach.
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
    old, new = selectors_by_upstream(before), selectors_by_upstream(after)
    for upstream in sorted(before.labels.keys() | after.labels.keys()):
        was, will_be = old.get(upstream, _NONE), new.get(upstream, _NONE)
        same_labels = before.labels.get(upstream) == after.labels.get(upstream)
        beyond = (was | will_be) - allowed
        if beyond and not (same_labels and was == will_be):
            group = min(beyond)
            _forbid(key, f"may not change {upstream!r}, which is in group {group!r}")


def _forbid(key: AdminKey, reason: str) -> None:
    raise RequestError(ResultCode.FORBIDDEN, f"The key of team {key.team!r} {reason}.")
