"""Selection of the upstreams that may serve a request by the configuration."""

from __future__ import annotations

from .config.document import Configuration
from .config.document import Match
from .config.document import Selector
from .config.document import SelectorState
from .config.groups import GroupIndex
from .model import ModelCall
from .model import ServiceCall


def _allows(allowed: tuple[str, ...], value: str) -> bool:
    """Return whether a value is allowed; an empty tuple allows all values."""
    return not allowed or value in allowed


def _matches(match: Match, call: ModelCall | ServiceCall) -> bool:
    """Return whether a call meets all conditions of a selector's match."""
    if not _allows(match.classes, call.request_class):
        return False
    if not _allows(match.tenants, call.tenant):
        return False
    if isinstance(call, ModelCall):
        return not match.routes and _allows(match.models, call.model)
    return call.route in match.routes


def unversioned_name(versioned: str) -> str:
    """Return the name in ``name@version``."""
    return versioned.partition("@")[0]


def carried_names(selector: Selector) -> frozenset[str]:
    """Return the names of the models and adapters that a selector's group carries."""
    return frozenset(map(unversioned_name, selector.models + selector.adapters))


def required_names(model: str) -> tuple[str, ...]:
    """Return the names that an engine must carry for ``model`` or ``model:adapter``."""
    return tuple(model.split(":", 1))


class Selection:
    """Selectors of a configuration, prepared for fast lookups.

    :param configuration: configuration that contains the selectors.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.serving = tuple(
            s for s in configuration.selectors if s.state is SelectorState.SERVING
        )
        groups = GroupIndex(configuration)
        self.members = {s.name: groups.members(s) for s in self.serving}
        self.leaving = _leaving(configuration, groups)
        self.known = frozenset().union(*map(carried_names, self.serving))

    def knows_model(self, model: str) -> bool:
        """Return whether serving selectors carry a model and its adapter."""
        return all(name in self.known for name in required_names(model))

    def upstreams(self, call: ModelCall | ServiceCall) -> frozenset[str]:
        """Return the names of the upstreams that may serve a call."""
        found: set[str] = set()
        for selector in self.serving:
            if _matches(selector.match, call) and _carries(selector, call):
                found |= self.members[selector.name]
        return frozenset(found) - self.leaving


def _carries(selector: Selector, call: ModelCall | ServiceCall) -> bool:
    """Return whether a selector's group carries the model and adapter of a call."""
    if isinstance(call, ServiceCall):
        return True
    return carried_names(selector).issuperset(required_names(call.model))


def _leaving(configuration: Configuration, groups: GroupIndex) -> frozenset[str]:
    """Return the upstreams of all selectors that are draining or withdrawn."""
    leaving: set[str] = set()
    for selector in configuration.selectors:
        if selector.state is not SelectorState.SERVING:
            leaving |= groups.members(selector)
    return frozenset(leaving)
