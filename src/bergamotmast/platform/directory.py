"""Decoders for the platform's store entries: configuration and registrations."""

from __future__ import annotations

import msgspec

from ..adapters.json_bodies import KebabStruct
from ..adapters.json_bodies import decode_body
from ..direct.addresses import check_http_address
from ..direct.model import CallerLimits
from ..direct.model import CallKind
from ..direct.model import EngineTraits
from ..direct.model import Group
from ..direct.model import Route
from ..direct.model import Routing
from ..direct.model import Target
from ..direct.model import Upstream
from ..direct.model import build_name
from ..direct.tenants import TenantIndex
from ..direct.tenants import TenantSpec
from ..errors import ConfigError
from ..model import UNREADABLE_BOUNDS
from ..model import ReplicaBounds
from ..model import Role

_KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.AT_MOST_ONCE,
    "streaming": CallKind.STREAM,
}

_LEAVING_BY_STATE = {"ready": False, "draining": True}
"""Whether an upstream in each state is leaving."""

MIN_CALLER_TIMEOUT_MS = 2_000.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
"""Callers time out on a stream after the longest of these without an event; the
platform sets them for all routes."""


class _Split(KebabStruct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(KebabStruct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: int = 1
    resumable: bool = False
    gap_aim_ms: float = 0.0
    public: bool = False


class _Tenant(KebabStruct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Engine(KebabStruct, frozen=True):
    slots: int = 64
    kv_capacity_tokens: int = 1 << 30
    handle_ttl_s: float = 5.0


class _Scaling(KebabStruct, frozen=True):
    min: int
    max: int
    boot_s: float


class _Service(KebabStruct, frozen=True):
    name: str
    engine: _Engine | None = None
    scaling: object = None


class _Limits(KebabStruct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0


class _Config(KebabStruct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Registration(KebabStruct, frozen=True):
    """An upstream's registration.

    ``sequence``, a counter of writes, is ignored. ``version`` is that of its software.
    ``born`` is its start time, in milliseconds of the wall clock.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    stage: str = ""
    born: int = 0
    version: str = ""


class PlatformDirectory:
    """Implements :class:`~bergamotmast.direct.ports.Directory`."""

    config_key = "op/config"
    upstream_prefix = "servers/"

    def decode_routing(self, value: bytes) -> Routing:
        """Decode the operators' configuration."""
        try:
            config = decode_body(value, _Config, ConfigError, "the configuration")
            return Routing(
                generation=config.version,
                routes=tuple(map(_to_route, config.routes)),
                groups={
                    s.name: Group(
                        s.name, _to_engine_traits(s.engine), _to_bounds(s.scaling)
                    )
                    for s in config.services
                },
                limits=CallerLimits(
                    config.limits.max_header_bytes,
                    config.limits.max_body_bytes,
                    config.limits.idle_timeout_ms / 1e3,
                ),
                tenants=_to_tenants(config.tenants),
            )
        except KeyError as error:
            raise ConfigError(f"the configuration can't be decoded: {error}") from error

    def decode_upstream(self, key: str, value: bytes) -> Upstream:
        """Decode an upstream's registration."""
        try:
            registration = decode_body(value, _Registration, ConfigError, key)
            leaving = _LEAVING_BY_STATE[registration.state]
            role = Role(registration.stage) if registration.stage else None
            check_http_address(registration.address)
        except (KeyError, ValueError) as error:
            raise ConfigError(f"{key} can't be decoded: {error}") from error
        return Upstream(
            name=key.removeprefix(self.upstream_prefix),
            boot=str(registration.born),
            group=registration.service,
            address=registration.address,
            zone=registration.zone,
            slots=registration.slots,
            leaving=leaving,
            role=role,
            build=build_name(registration.version),
        )


def _to_route(route: _Route) -> Route:
    split = route.traffic_split or (_Split(route.service),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_KINDS[route.kind],
        targets=tuple(Target(part.service, part.weight) for part in split),
        timeout=route.timeout_ms / 1e3,
        objective=route.target_latency_ms / 1e3,
        max_attempts=route.max_attempts,
        rank=route.priority,
        resumable=route.resumable,
        gap_objective=route.gap_aim_ms / 1e3,
        patience=_caller_timeout(route),
        public=route.public,
    )


def _to_tenants(tenants: tuple[_Tenant, ...] | None) -> TenantIndex | None:
    if tenants is None:
        return None
    specs = (TenantSpec(t.name, t.api_keys, t.priority) for t in tenants)
    return TenantIndex(specs)


def _caller_timeout(route: _Route) -> float:
    """Return the seconds without an event after which a route's callers time out."""
    objective = CALLER_TIMEOUT_OBJECTIVES * route.target_latency_ms
    gaps = CALLER_TIMEOUT_GAPS * route.gap_aim_ms
    return max(MIN_CALLER_TIMEOUT_MS, objective, gaps) / 1e3


def _to_engine_traits(engine: _Engine | None) -> EngineTraits | None:
    if engine is None:
        return None
    return EngineTraits(engine.slots, engine.kv_capacity_tokens, engine.handle_ttl_s)


def _to_bounds(scaling: object) -> ReplicaBounds | None:
    """Return bounds that nothing meets for unreadable ones, as the rest serves."""
    try:
        bounds = msgspec.convert(scaling, _Scaling)
    except msgspec.ValidationError:
        return None if scaling is None else UNREADABLE_BOUNDS
    return ReplicaBounds(bounds.min, bounds.max, bounds.boot_s)
