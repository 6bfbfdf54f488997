"""The configuration document: labels, selectors, classes, tenants and routes."""

from __future__ import annotations

import enum
import functools

import msgspec

from ..decoding import DecodingError
from ..decoding import JsonDecoder
from ..model import Priority
from ..model import Role


class SelectorState(enum.Enum):
    """Desired state of the engines in a selector's group."""

    SERVING = "serving"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class _DocumentStruct(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of all parts of the document; unknown fields are errors, to find typos.

    Fields with their default value are not encoded: otherwise a process of an earlier
    version, which rejects unknown fields, would reject every document of a later
    version, and an upgrade of one process would cut off all others.
    """


class Match(_DocumentStruct, frozen=True):
    """Filter of the requests that a selector applies to; an empty list matches all."""

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()


class RoleBounds(_DocumentStruct, frozen=True):
    """Bounds on the number of engines in a group that have one role.

    :param least: minimum, below which the planner never goes.
    :param most: maximum, above which the planner never goes; ``None`` for no bound.
    """

    least: int = 0
    most: int | None = None


class Selector(_DocumentStruct, frozen=True):
    """A rule that routes matching requests to a group of upstreams.

    :param name: unique name, used in every message about it.
    :param group: label expression, for instance ``pool=main,tier!=old``.
    :param match: filter of the requests that go to the group.
    :param models: models that the group's engines serve, ``name@version``.
    :param adapters: adapters that they load, ``name@version``.
    :param roles: bounds on the number of engines for each role.
    :param state: whether the group serves, drains or is withdrawn.
    """

    name: str
    group: str
    match: Match = Match()
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    roles: dict[Role, RoleBounds] = {}
    state: SelectorState = SelectorState.SERVING


class RequestClass(_DocumentStruct, frozen=True):
    """Priority and latency targets of a class of requests.

    :param priority: scheduling priority among queued requests.
    :param first_token: seconds until the first token is due.
    :param total: seconds until the whole answer is due.
    :param between_tokens: seconds allowed between tokens, on average.
    """

    priority: Priority = Priority.STANDARD
    first_token: float = 10.0
    total: float = 120.0
    between_tokens: float = 1.0


class Tenant(_DocumentStruct, frozen=True):
    """A tenant, whose requests share upstreams with those of other tenants.

    :param weight: share of a saturated upstream, relative to other tenants' weights.
    :param keys: SHA-256 hex digests of its caller keys; if empty, a header suffices to
        identify its callers.
    """

    weight: float = 1.0
    keys: tuple[str, ...] = ()


class Route(_DocumentStruct, frozen=True):
    """One path prefix of a plain service.

    :param prefix: path prefix at the entry, below ``/services/``.
    :param repeatable: whether a call may run more than once.
    :param request_class: class of its calls.
    """

    prefix: str
    repeatable: bool = True
    request_class: str = "default"


class Scope(enum.Enum):
    """Permission that an administration key grants."""

    READ = "read"
    EDIT = "edit"


class AdminKey(_DocumentStruct, frozen=True):
    """A team's key to the administration interface.

    :param team: name shown in the history.
    :param digest: SHA-256 hex digest of the key.
    :param scopes: permissions that it grants.
    :param groups: names of the selectors it may edit; empty for all.
    """

    team: str
    digest: str
    scopes: tuple[Scope, ...] = (Scope.READ,)
    groups: tuple[str, ...] = ()


class Configuration(_DocumentStruct, frozen=True):
    """The whole document that is in force.

    :param generation: incremented by each accepted edit.
    :param labels: labels of each upstream, by its name.
    :param classes: request classes, by name.
    :param tenants: tenants, by name.
    :param routes: routes of plain services, by name.
    :param admin_keys: keys to the administration interface.
    """

    generation: int = 0
    labels: dict[str, dict[str, str]] = {}
    selectors: tuple[Selector, ...] = ()
    classes: dict[str, RequestClass] = {}
    tenants: dict[str, Tenant] = {}
    routes: dict[str, Route] = {}
    admin_keys: tuple[AdminKey, ...] = ()

    def request_class(self, name: str) -> RequestClass:
        """Return a class by name, or a default one if the name is not configured."""
        return self.classes.get(name, RequestClass())

    def selectors_for(self, upstream: str) -> tuple[Selector, ...]:
        """Return the selectors whose label expression matches an upstream."""
        labels = self.labels.get(upstream, {})
        return tuple(
            s for s in self.selectors if parse_label_expression(s.group).matches(labels)
        )


class LabelTerm(msgspec.Struct, frozen=True):
    """One comparison of a label expression."""

    label: str
    value: str
    equal: bool

    def matches(self, labels: dict[str, str]) -> bool:
        """Return whether an upstream's labels satisfy the comparison."""
        return (labels.get(self.label) == self.value) is self.equal


class LabelExpression(msgspec.Struct, frozen=True):
    """A conjunction of comparisons; an empty one matches nothing."""

    terms: tuple[LabelTerm, ...]

    def matches(self, labels: dict[str, str]) -> bool:
        """Return whether an upstream's labels satisfy every comparison."""
        return bool(self.terms) and all(term.matches(labels) for term in self.terms)


@functools.lru_cache(maxsize=4096)
def parse_label_expression(text: str) -> LabelExpression:
    """Parse ``label=value,label!=value``.

    :raises ValueError: naming a part that is neither comparison.
    """
    return LabelExpression(
        tuple(_parse_term(part) for part in text.split(",") if part.strip())
    )


def _parse_term(part: str) -> LabelTerm:
    label, operator, value = part.partition("=")
    if not operator or not label.strip("! ") or not value.strip():
        raise ValueError(f"{part.strip()!r} is not label=value or label!=value")
    return LabelTerm(label.strip("! "), value.strip(), not label.rstrip().endswith("!"))


_ENCODER = msgspec.json.Encoder(order="sorted")
_DECODER = JsonDecoder[Configuration](Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a document as JSON with sorted keys."""
    return _ENCODER.encode(msgspec.to_builtins(configuration))


def decode_configuration(data: bytes) -> Configuration:
    """Decode what :func:`encode_configuration` wrote.

    :raises DecodingError: for anything else, including a label expression
        that can't be parsed, which would otherwise fail when the document is put in
        force.
    """
    configuration = _DECODER.decode(data)
    for selector in configuration.selectors:
        try:
            parse_label_expression(selector.group)
        except ValueError as error:
            raise DecodingError(f"{selector.name!r}: {error}") from error
    return configuration
