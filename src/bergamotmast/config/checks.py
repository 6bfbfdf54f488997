"""Validation of a configuration beyond the types of its fields."""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import difflib
import math
import re

from ..errors import ConfigError
from ..errors import ContradictionError
from ..model import Role
from .contradictions import find_contradictions
from .document import Configuration
from .document import Match
from .document import RequestClass
from .document import RoleBounds
from .document import Selector
from .document import SelectorState
from .document import parse_label_expression
from .groups import GroupIndex
from .groups import selectors_by_upstream

DEFAULT_CLASS = "default"
"""Class of a request that names none; the document need not define it."""

GENERATION_LIMIT = 10**12
"""Exclusive upper bound on a generation, which has 12 digits in a key."""

MAX_PROBLEMS_SHOWN = 20
"""Maximum number of problems named in one message."""

_DIGEST = re.compile(r"[0-9a-f]{64}")
_NAME_AT_VERSION = re.compile(r"[^@:\s]+@[^@:\s]+")
_LABEL = re.compile(r"[^=!,\s]+")

Path = tuple[str | int, ...]
"""Location of a value: field names, keys and indexes, outermost first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A validation problem of a configuration.

    :param path: location of the value; empty for the whole document.
    :param message: what is wrong, with a suggestion if a known name is close.
    """

    path: Path
    message: str

    def show(self) -> str:
        """Return the problem as one line."""
        return f"{show_path(self.path)}: {self.message}" if self.path else self.message


def show_path(path: Path) -> str:
    """Return a path as in ``selectors[0].roles.prefill``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def did_you_mean(word: str, known: cabc.Iterable[str]) -> str:
    """Return a hint that suggests the closest known word; empty if none is close."""
    matches = difflib.get_close_matches(word, list(known), n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def check_configuration(configuration: Configuration) -> None:
    """Reject an invalid document.

    :raises ContradictionError: if two selectors contradict each other.
    :raises ConfigError: for any other problem, naming the first ones.
    """
    problems = find_problems(configuration)
    if problems:
        raise ConfigError(show_problems(problem.show() for problem in problems))
    for contradiction in find_contradictions(configuration):
        raise ContradictionError(
            contradiction.show(), contradiction.selectors, contradiction.upstream
        )


def show_problems(lines: cabc.Iterable[str]) -> str:
    """Return one message with a line for each problem, up to a limit."""
    shown = list(lines)
    rest = len(shown) - MAX_PROBLEMS_SHOWN
    if rest > 0:
        shown = [*shown[:MAX_PROBLEMS_SHOWN], f"and {rest} more"]
    return "\n".join(shown)


def find_problems(configuration: Configuration) -> tuple[Problem, ...]:
    """Return every problem except contradictions between selectors."""
    return (
        *_generation_problems(configuration),
        *_label_problems(configuration),
        *_selector_problems(configuration),
        *_class_problems(configuration),
        *_tenant_problems(configuration),
        *_route_problems(configuration),
        *_admin_key_problems(configuration),
    )


def find_warnings(configuration: Configuration) -> tuple[Problem, ...]:
    """Return settings that are valid but likely mistakes.

    The document must be free of problems.
    """
    groups = GroupIndex(configuration)
    empty = (
        Problem(("selectors", index, "group"), f"{selector.group!r} names no upstream")
        for index, selector in enumerate(configuration.selectors)
        if selector.state is SelectorState.SERVING and not groups.members(selector)
    )
    # Only a warning: the team may not have added its selector yet, or has removed it.
    names = {selector.name for selector in configuration.selectors}
    unknown = (
        problem
        for index, key in enumerate(configuration.admin_keys)
        for problem in _unknown_name_problems(
            "selector", key.groups, names, ("admin_keys", index, "groups")
        )
    )
    named = selectors_by_upstream(configuration)
    idle = (
        Problem(("labels", upstream), "no selector names it: it gets no work")
        for upstream in configuration.labels
        if upstream not in named
    )
    return (*empty, *unknown, *idle)


def _generation_problems(configuration: Configuration) -> cabc.Iterator[Problem]:
    if not 0 <= configuration.generation < GENERATION_LIMIT:
        yield Problem(("generation",), "a generation counts edits from 0")


def _label_problems(configuration: Configuration) -> cabc.Iterator[Problem]:
    for upstream, labels in configuration.labels.items():
        for label, value in labels.items():
            for word in (label, value):
                if not _LABEL.fullmatch(word):
                    path = ("labels", upstream, label)
                    yield Problem(path, f"{word!r} has spaces or one of '=!,'")


def _selector_problems(configuration: Configuration) -> cabc.Iterator[Problem]:
    first: dict[str, int] = {}
    groups = GroupIndex(configuration)
    model_names = _model_names(configuration)
    for index, selector in enumerate(configuration.selectors):
        path: Path = ("selectors", index)
        if not selector.name:
            yield Problem((*path, "name"), "a selector needs a name")
        if first.setdefault(selector.name, index) != index:
            message = f"{selector.name!r} is the name of an earlier selector"
            yield Problem((*path, "name"), message)
        match_path = (*path, "match")
        yield from _match_problems(
            configuration, selector.match, model_names, match_path
        )
        yield from _version_problems(selector, path)
        yield from _group_problems(groups, selector, path)


def _group_problems(
    groups: GroupIndex, selector: Selector, path: Path
) -> cabc.Iterator[Problem]:
    try:
        terms = parse_label_expression(selector.group).terms
    except ValueError as error:
        yield Problem((*path, "group"), str(error))
        return
    if not terms:
        yield Problem((*path, "group"), "an empty expression names no upstream")
    for term in terms:
        if term.label not in groups.labels:
            hint = did_you_mean(term.label, groups.labels)
            message = f"no upstream has a label {term.label!r}{hint}"
            yield Problem((*path, "group"), message)
    members = len(groups.members(selector))
    yield from _bound_problems(selector.roles, members, (*path, "roles"))


def _bound_problems(
    roles: dict[Role, RoleBounds], members: int, path: Path
) -> cabc.Iterator[Problem]:
    """Yield bounds that are negative, reversed or unsatisfiable by a group's size."""
    for role, bounds in roles.items():
        if bounds.least < 0 or (bounds.most is not None and bounds.most < 0):
            yield Problem((*path, role.value), "bounds must not be negative")
        if bounds.most is not None and bounds.least > bounds.most:
            message = f"least {bounds.least} is above most {bounds.most}"
            yield Problem((*path, role.value), message)
    least = sum(bounds.least for bounds in roles.values())
    if least > members:
        message = f"at least {least} engines are wanted and {members} are labelled"
        yield Problem(path, message)
    most = [roles[role].most if role in roles else None for role in Role]
    bounded = [bound for bound in most if bound is not None]
    if len(bounded) == len(most) and sum(bounded) < members:
        message = f"at most {sum(bounded)} engines may have a role, of {members}"
        yield Problem(path, message)


def _version_problems(selector: Selector, path: Path) -> cabc.Iterator[Problem]:
    for field in ("models", "adapters"):
        seen: dict[str, str] = {}
        for index, item in enumerate(getattr(selector, field)):
            item_path = (*path, field, index)
            if not _NAME_AT_VERSION.fullmatch(item):
                yield Problem(item_path, f"{item!r} is not name@version")
                continue
            name = item.partition("@")[0]
            if name in seen:
                yield Problem(item_path, f"{seen[name]!r} is there already")
            seen[name] = item


def _match_problems(
    configuration: Configuration, match: Match, model_names: set[str], path: Path
) -> cabc.Iterator[Problem]:
    classes = {DEFAULT_CLASS, *configuration.classes}
    yield from _unknown_name_problems(
        "class", match.classes, classes, (*path, "classes")
    )
    yield from _unknown_name_problems(
        "tenant", match.tenants, configuration.tenants, (*path, "tenants")
    )
    yield from _unknown_name_problems(
        "route", match.routes, configuration.routes, (*path, "routes")
    )
    yield from _unknown_name_problems(
        "model", match.models, model_names, (*path, "models")
    )


def _model_names(configuration: Configuration) -> set[str]:
    """Return the names that requests may use: ``model`` and ``model:adapter``."""
    names = set()
    for selector in configuration.selectors:
        models = [item.partition("@")[0] for item in selector.models]
        adapters = [item.partition("@")[0] for item in selector.adapters]
        names.update(models)
        names.update(f"{model}:{adapter}" for model in models for adapter in adapters)
    return names


def _unknown_name_problems(
    what: str, names: tuple[str, ...], known: cabc.Collection[str], path: Path
) -> cabc.Iterator[Problem]:
    for index, name in enumerate(names):
        if name not in known:
            message = f"there is no {what} {name!r}{did_you_mean(name, known)}"
            yield Problem((*path, index), message)


def _class_problems(configuration: Configuration) -> cabc.Iterator[Problem]:
    for name, request_class in configuration.classes.items():
        path = ("classes", name)
        for field in ("first_token", "total", "between_tokens"):
            yield from _positive_problems(getattr(request_class, field), (*path, field))
        yield from _total_problems(request_class, path)


def _total_problems(request_class: RequestClass, path: Path) -> cabc.Iterator[Problem]:
    if request_class.total < request_class.first_token:
        message = f"{request_class.total:g} s is shorter than first_token"
        yield Problem((*path, "total"), message)


def _positive_problems(value: float, path: Path) -> cabc.Iterator[Problem]:
    if not (math.isfinite(value) and value > 0):
        yield Problem(path, f"{value:g} is not above 0")


def _tenant_problems(configuration: Configuration) -> cabc.Iterator[Problem]:
    owners: dict[str, str] = {}
    for name, tenant in configuration.tenants.items():
        path = ("tenants", name)
        yield from _positive_problems(tenant.weight, (*path, "weight"))
        for index, digest in enumerate(tenant.keys):
            item_path = (*path, "keys", index)
            yield from _digest_problems(digest, item_path)
            if owners.setdefault(digest, name) != name:
                yield Problem(item_path, f"tenant {owners[digest]!r} has the same key")


def _digest_problems(digest: str, path: Path) -> cabc.Iterator[Problem]:
    if not _DIGEST.fullmatch(digest):
        yield Problem(path, "this is not a SHA-256 digest of 64 lower-case hex digits")


def _route_problems(configuration: Configuration) -> cabc.Iterator[Problem]:
    owners: dict[str, str] = {}
    classes = {DEFAULT_CLASS, *configuration.classes}
    for name, route in configuration.routes.items():
        path = ("routes", name)
        if not route.prefix.startswith("/") or " " in route.prefix:
            yield Problem((*path, "prefix"), f"{route.prefix!r} is not /path")
        prefix = route.prefix.rstrip("/")
        if owners.setdefault(prefix, name) != name:
            message = f"route {owners[prefix]!r} has the same prefix"
            yield Problem((*path, "prefix"), message)
        yield from _unknown_name_problems(
            "class", (route.request_class,), classes, path
        )


def _admin_key_problems(configuration: Configuration) -> cabc.Iterator[Problem]:
    counts = collections.Counter(key.digest for key in configuration.admin_keys)
    for index, key in enumerate(configuration.admin_keys):
        path = ("admin_keys", index)
        yield from _digest_problems(key.digest, (*path, "digest"))
        if counts[key.digest] > 1:
            yield Problem((*path, "digest"), "another team has the same key")
        if not key.scopes:
            yield Problem((*path, "scopes"), "a key without a scope allows nothing")
