"""Tenants and the API keys by which their requests are recognized."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import hashlib

from ..errors import ConfigError
from ..policy.priority import SINGLE_BAND
from ..policy.priority import PriorityBand


@dataclasses.dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant as configured.

    :param keys: its API keys.
    :param priority: 0 is the most urgent; ``None`` if none is configured.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, without its keys.

    :param band: position of its priority among those of all tenants.
    """

    name: str
    band: PriorityBand = SINGLE_BAND


class TenantIndex:
    """The tenants of one version of the configuration, by API key.

    It is never changed: a new version has an index of its own. The keys are in no
    ``repr`` and in no error message.
    """

    def __init__(self, specs: cabc.Iterable[TenantSpec]) -> None:
        self._by_key: dict[str, Tenant] = {}
        specs = tuple(specs)
        # A tenant without a priority comes after those that have one.
        priorities = sorted({_sort_key(spec) for spec in specs})
        for spec in specs:
            band = PriorityBand(priorities.index(_sort_key(spec)), len(priorities))
            self._add(Tenant(spec.name, band), spec.keys)

    def _add(self, tenant: Tenant, keys: cabc.Iterable[str]) -> None:
        for key in keys:
            holder = self._by_key.setdefault(key, tenant)
            if holder.name != tenant.name:
                raise ConfigError(f"{holder.name} and {tenant.name} share an API key")

    def find(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key, or ``None``."""
        return self._by_key.get(key)

    def describe(self) -> dict[str, dict[str, object]]:
        """Return each tenant's priority and a digest of its keys, by name."""
        keys: dict[str, list[str]] = {}
        for key, tenant in self._by_key.items():
            keys.setdefault(tenant.name, []).append(key)
        return {
            tenant.name: {
                "band": tenant.band.index,
                "keys": len(keys[tenant.name]),
                "digest": _digest(keys[tenant.name]),
            }
            for tenant in self._by_key.values()
        }

    def __len__(self) -> int:
        return len(self._by_key)


def _sort_key(spec: TenantSpec) -> tuple[bool, int]:
    return spec.priority is None, spec.priority or 0


def _digest(keys: cabc.Iterable[str]) -> str:
    """Return a short digest of keys, which shows a change and no key."""
    return hashlib.sha256("\n".join(sorted(keys)).encode()).hexdigest()[:8]
