"""Fleet files: the upstreams of a deployment with their zones, labels and rates."""

from __future__ import annotations

import pathlib
import typing as t

import msgspec

from ..config.document import RequestClass
from ..config.document import Tenant
from ..model import Priority
from ..model import Role
from ..model import UpstreamKind
from ..standins.engine_spec import EngineSpec
from ..standins.engine_spec import RoleRates
from .trace import TraceError

TOKENS_PER_CHUNK = 32
"""Decode steps between chunks; progress in larger steps makes long runs affordable."""


class RatesPart(msgspec.Struct, frozen=True, kw_only=True):
    """Speed of an engine in one role; see ``RoleRates`` of the engine stand-in."""

    prefill_rate: float
    prefill_share: float = 0.7
    step_base: float
    step_per_stream: float
    interference: float = 1.5
    max_streams: int


class UpstreamPart(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream.

    :param rates: speed in each role; roles left out take those of the fleet.
    :param call_seconds: how long a plain service takes for a call.
    :param max_calls: how many calls a plain service takes at once.
    """

    name: str
    zone: str = "zone-1"
    kind: UpstreamKind = UpstreamKind.ENGINE
    labels: dict[str, str] = {}
    rates: dict[Role, RatesPart] = {}
    call_seconds: float = 0.05
    max_calls: int = 32


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """A whole deployment; fields that are not known are ignored.

    :param entries: entry instances; their zones go round.
    :param zones: availability zones.
    :param rates: speed of every engine in each role.
    :param classes: what callers of each class may expect; others get a class made
        from their deadlines.
    :param tenants: weights; others weigh 1.
    :param change_seconds: how long a role change takes.
    :param load_lag: seconds that load reports are old.
    """

    name: str = "fleet"
    upstreams: tuple[UpstreamPart, ...]
    entries: int = 3
    zones: tuple[str, ...] = ("zone-1", "zone-2", "zone-3", "zone-4")
    rates: dict[Role, RatesPart] = {}
    classes: dict[str, RequestClass] = {}
    tenants: dict[str, Tenant] = {}
    kv_capacity: int = 100_000
    cache_capacity: int = 50_000
    shared_share: float = 0.6
    transfer_rate: float = 100_000.0
    change_seconds: float = 8.0
    load_lag: float = 1.0
    tokens_per_chunk: int = TOKENS_PER_CHUNK

    def engines(self) -> tuple[UpstreamPart, ...]:
        """Return the engines."""
        return tuple(u for u in self.upstreams if u.kind is UpstreamKind.ENGINE)

    def services(self) -> tuple[UpstreamPart, ...]:
        """Return the plain services."""
        return tuple(u for u in self.upstreams if u.kind is UpstreamKind.SERVICE)

    def role_rates(self, upstream: UpstreamPart, role: Role) -> RoleRates:
        """Return the speed of one engine in one role."""
        part = upstream.rates.get(role) or self.rates.get(role)
        if part is None:
            return DEFAULT_RATES[role]
        return RoleRates(
            part.prefill_rate,
            part.prefill_share,
            part.step_base,
            part.step_per_stream,
            part.interference,
            part.max_streams,
        )

    def spec(self, upstream: UpstreamPart) -> EngineSpec:
        """Return what the stand-in of one engine is."""
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
"""A quarter of the engine stand-in's own default, to make long runs affordable."""


def _class(priority: Priority, first_token: float, total: float) -> RequestClass:
    return RequestClass(priority=priority, first_token=first_token, total=total)


CLASSES: dict[str, dict[str, RequestClass]] = {
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
"""Classes of each deployment: seconds to the first token and to the whole answer."""


def read_fleet(path: pathlib.Path) -> Fleet:
    """Read a fleet file, YAML or JSON.

    :raises TraceError: naming the file and the field that is wrong.
    """
    try:
        data = path.read_bytes()
        if path.suffix == ".json":
            return msgspec.json.decode(data, type=Fleet)
        return msgspec.yaml.decode(data, type=Fleet)
    except OSError as error:
        raise TraceError(f"--fleet: {path}: {error.strerror}.") from error
    except msgspec.MsgspecError as error:
        raise TraceError(f"--fleet: {path}: {error}.") from error


def deployment(name: t.Literal["trindade", "alliance"]) -> Fleet:
    """Return the fleet of one of the deployments the scenarios are made for."""
    engines, services = (6, 4) if name == "trindade" else (5, 4)
    service = "counter" if name == "trindade" else "notify"
    zones = ("zone-1", "zone-2", "zone-3", "zone-4")
    upstreams = [
        UpstreamPart(name=f"model-{i}", zone=zones[i % 4], labels={"pool": "models"})
        for i in range(engines)
    ]
    upstreams += [
        UpstreamPart(
            name=f"{service}-{i}",
            zone=zones[i % 4],
            kind=UpstreamKind.SERVICE,
            labels={"pool": service},
        )
        for i in range(services)
    ]
    return Fleet(name=name, upstreams=tuple(upstreams), classes=CLASSES[name])
