"""Fleet files: the upstreams of a deployment with their zones, labels and rates."""

from __future__ import annotations

import pathlib
import typing as t

import msgspec

from ..config.document import RequestClass
from ..config.document import Tenant
from ..decoding import DecodingError
from ..decoding import decode_json
from ..model import Priority
from ..model import Role
from ..model import UpstreamKind
from ..standins.engine_spec import EngineSpec
from ..standins.engine_spec import RoleRates
from .trace import TraceError

TOKENS_PER_CHUNK = 32
"""Decode steps between chunks; larger chunks shorten long simulations."""


class FleetRates(msgspec.Struct, frozen=True, kw_only=True):
    """Speed of an engine in one role; see :class:`RoleRates` for the fields."""

    prefill_rate: float
    prefill_share: float = 0.7
    step_base: float
    step_per_stream: float
    interference: float = 1.5
    max_streams: int


class FleetUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of a fleet file.

    :param rates: speed in each role; other roles take the fleet's rates.
    :param call_seconds: service time of a plain service's call.
    :param max_calls: concurrent calls that a plain service executes.
    """

    name: str
    zone: str = "zone-1"
    kind: UpstreamKind = UpstreamKind.ENGINE
    labels: dict[str, str] = {}
    rates: dict[Role, FleetRates] = {}
    call_seconds: float = 0.05
    max_calls: int = 32


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet file: one whole deployment; unknown fields are ignored.

    :param entries: number of entry instances, assigned to the zones in turn.
    :param zones: availability zones.
    :param rates: speed of an engine in each role, unless its upstream sets another.
    :param classes: objectives of request classes; others are derived from the
        deadlines in the trace.
    :param tenants: settings of tenants, such as weights; others have weight 1.
    :param kv_capacity: KV-cache size of an engine, tokens.
    :param cache_capacity: prefix-cache size of an engine, tokens.
    :param shared_share: share of a prompt that belongs to its shared prefix.
    :param transfer_rate: speed of KV transfers between engines, tokens a second.
    :param change_seconds: duration of a role change.
    :param load_lag: age of the load reports that engines give, seconds.
    :param tokens_per_chunk: decode steps between two chunks of an answer.
    """

    name: str = "fleet"
    upstreams: tuple[FleetUpstream, ...]
    entries: int = 3
    zones: tuple[str, ...] = ("zone-1", "zone-2", "zone-3", "zone-4")
    rates: dict[Role, FleetRates] = {}
    classes: dict[str, RequestClass] = {}
    tenants: dict[str, Tenant] = {}
    kv_capacity: int = 100_000
    cache_capacity: int = 50_000
    shared_share: float = 0.6
    transfer_rate: float = 100_000.0
    change_seconds: float = 8.0
    load_lag: float = 1.0
    tokens_per_chunk: int = TOKENS_PER_CHUNK

    def engines(self) -> tuple[FleetUpstream, ...]:
        """Return the engines."""
        return tuple(u for u in self.upstreams if u.kind is UpstreamKind.ENGINE)

    def services(self) -> tuple[FleetUpstream, ...]:
        """Return the plain services."""
        return tuple(u for u in self.upstreams if u.kind is UpstreamKind.SERVICE)

    def role_rates(self, upstream: FleetUpstream, role: Role) -> RoleRates:
        """Return the speed of one engine in one role."""
        configured_rates = upstream.rates.get(role) or self.rates.get(role)
        if configured_rates is None:
            return DEFAULT_RATES[role]
        return RoleRates(
            configured_rates.prefill_rate,
            configured_rates.prefill_share,
            configured_rates.step_base,
            configured_rates.step_per_stream,
            configured_rates.interference,
            configured_rates.max_streams,
        )

    def spec(self, upstream: FleetUpstream) -> EngineSpec:
        """Return the specification of an engine's stand-in."""
        return EngineSpec(
            roles={role: self.role_rates(upstream, role) for role in Role},
            kv_capacity=self.kv_capacity,
            cache_capacity=self.cache_capacity,
            shared_share=self.shared_share,
            transfer_rate=self.transfer_rate,
            change_seconds=self.change_seconds,
            load_lag=self.load_lag,
            tokens_per_chunk=self.tokens_per_chunk,
        )


DEFAULT_RATES: dict[Role, RoleRates] = {
    Role.MIXED: RoleRates(3_500.0, 0.7, 0.015, 0.0006, 2.0, 24),
    Role.PREFILL: RoleRates(5_500.0, 0.9, 0.02, 0.002, 4.0, 8),
    Role.DECODE: RoleRates(1_000.0, 0.5, 0.012, 0.0004, 1.3, 48),
}
"""A quarter of the engine stand-in's default rates, to shorten long simulations."""


def _class(priority: Priority, first_token: float, total: float) -> RequestClass:
    return RequestClass(priority=priority, first_token=first_token, total=total)


DEPLOYMENT_CLASSES: dict[str, dict[str, RequestClass]] = {
    "trindade": {
        "hold-check": _class(Priority.INTERACTIVE, 2.0, 5.0),
        "question": _class(Priority.STANDARD, 4.0, 30.0),
        "appraisal": _class(Priority.BATCH, 60.0, 180.0),
        "order": _class(Priority.INTERACTIVE, 2.0, 5.0),
    },
    "alliance": {
        "confirm-flag": _class(Priority.INTERACTIVE, 2.0, 5.0),
        "scene-note": _class(Priority.STANDARD, 5.0, 40.0),
        "call-sheet": _class(Priority.BATCH, 45.0, 150.0),
        "push": _class(Priority.INTERACTIVE, 2.0, 5.0),
    },
}
"""Request classes of each deployment; times in seconds."""


def read_fleet(path: pathlib.Path) -> Fleet:
    """Read a fleet file, YAML or JSON.

    :raises TraceError: naming the file and the invalid field.
    """
    try:
        data = path.read_bytes()
        if path.suffix == ".json":
            return decode_json(data, Fleet)
        return msgspec.yaml.decode(data, type=Fleet)
    except OSError as error:
        raise TraceError(f"--fleet: {path}: {error.strerror}.") from error
    except (DecodingError, msgspec.MsgspecError) as error:
        raise TraceError(f"--fleet: {path}: {error}.") from error


def deployment(name: t.Literal["trindade", "alliance"]) -> Fleet:
    """Return the fleet of one of the deployments that scenarios use."""
    engines, services = (6, 4) if name == "trindade" else (5, 4)
    service = "counter" if name == "trindade" else "notify"
    zones = ("zone-1", "zone-2", "zone-3", "zone-4")
    upstreams = [
        FleetUpstream(name=f"model-{i}", zone=zones[i % 4], labels={"pool": "models"})
        for i in range(engines)
    ]
    upstreams += [
        FleetUpstream(
            name=f"{service}-{i}",
            zone=zones[i % 4],
            kind=UpstreamKind.SERVICE,
            labels={"pool": service},
        )
        for i in range(services)
    ]
    return Fleet(
        name=name, upstreams=tuple(upstreams), classes=DEPLOYMENT_CLASSES[name]
    )
