"""Settings of all processes, from flags, environment variables and defaults.

Each setting is declared once, as a field of a frozen data class. Its flag and its
environment variable are derived from the field's name.
"""

from __future__ import annotations

import argparse
import collections.abc as cabc
import dataclasses
import os
import typing as t

from .errors import SettingError
from .policy.decisions import DECISION_NAMES
from .setting_kinds import ADDRESS
from .setting_kinds import BOOLEAN
from .setting_kinds import FILE
from .setting_kinds import NAME
from .setting_kinds import URL
from .setting_kinds import Kind
from .setting_kinds import choice
from .setting_kinds import integer
from .setting_kinds import number
from .setting_kinds import optional
from .setting_kinds import subset_of
from .setting_kinds import words

DEFAULT_BODY_BYTES = 8 << 20
DEFAULT_CONTEXT_TOKENS = 131_072

ENVIRONMENT_PREFIX = "BERGAMOTMAST_"

_DECLARATION = "declaration"


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """Declaration of a setting.

    :param field: name of the field.
    :param kind: kind of value.
    :param default: default value; ``None`` for a required setting.
    :param group: heading in the help and the reference page.
    :param help: description for operators.
    """

    field: str
    kind: Kind
    default: t.Any
    group: str
    help: str

    @property
    def flag(self) -> str:
        """The setting's flag on the command line."""
        return "--" + self.field.replace("_", "-")

    @property
    def variable(self) -> str:
        """The setting's environment variable."""
        return ENVIRONMENT_PREFIX + self.field.upper()

    @property
    def default_text(self) -> str:
        """The default as text; ``required`` for a required setting."""
        if self.default is None:
            return "required"
        if isinstance(self.default, bool):
            return "yes" if self.default else "no"
        return str(self.default)


def _setting(kind: Kind, group: str, help_text: str, default: t.Any = None) -> t.Any:
    """Return a data class field with the declaration of a setting."""
    metadata = {_DECLARATION: (kind, default, group, help_text)}
    return dataclasses.field(metadata=metadata)


_PROCESS = "This process"
_PLATFORM = "The platform"
_KEYS = "Keys between processes"
_LOGS = "Logs and metrics"
_CALLERS = "Callers"
_UPSTREAM = "The upstream"
_WORK = "Work"


def _memory_setting(default: float) -> t.Any:
    """Return the field of the setting for the memory of a process that has callers."""
    return _setting(
        number(64, 1 << 20, "megabytes"),
        _CALLERS,
        "memory of this process in megabytes; a share of it is for callers",
        default,
    )


def _descriptors_setting() -> t.Any:
    """Return the field of the setting for its file descriptors."""
    return _setting(
        integer(0, 1 << 30),
        _CALLERS,
        "file descriptors that this process may open; 0 for the limit of the operating"
        " system",
        0,
    )


_LOG_LEVEL = choice("debug", "info", "warning", "error")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyValueSettings:
    """Settings of the ``config`` commands: the URL of the key-value service."""

    key_value_url: str = _setting(URL, _PLATFORM, "base URL of the key-value service")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """Settings of the ``quarantine`` commands: where the crashes are kept."""

    store_address: str = _setting(ADDRESS, _PLATFORM, "address of the platform's store")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedSettings(KeyValueSettings):
    """Settings that entries and sides share."""

    name: str = _setting(
        NAME, _PROCESS, "unique name; a side has the name of its upstream"
    )
    zone: str = _setting(NAME, _PROCESS, "availability zone of this instance")
    shutdown_seconds: float = _setting(
        number(0, 3600, "seconds"),
        _PROCESS,
        "maximum time for running requests to complete after SIGTERM",
        600.0,
    )
    instance_list_url: str = _setting(URL, _PLATFORM, "URL of the instance list")
    weight_store_url: str = _setting(
        optional(URL), _PLATFORM, "base URL of the weight store; not used if empty", ""
    )
    curve_secret_file: str = _setting(
        optional(FILE),
        _KEYS,
        "file with this process's CURVE key pair; CURVE is off if empty",
        "",
    )
    curve_peers_file: str = _setting(
        optional(FILE),
        _KEYS,
        "file with the public CURVE keys of the accepted peers",
        "",
    )
    log_format: str = _setting(
        choice("text", "json"), _LOGS, "format of the logs", "text"
    )
    log_level: str = _setting(_LOG_LEVEL, _LOGS, "lowest level that is logged", "info")
    policy: str = _setting(NAME, _WORK, "name of the policy set", "default")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(SharedSettings):
    """Settings of an entry."""

    listen_address: str = _setting(
        ADDRESS,
        _CALLERS,
        "address that callers and operators connect to",
        "127.0.0.1:8080",
    )
    tls_certificate_file: str = _setting(
        optional(FILE), _CALLERS, "certificate chain in PEM; plain HTTP if empty", ""
    )
    tls_key_file: str = _setting(
        optional(FILE), _CALLERS, "private key of the certificate, in PEM", ""
    )
    memory_mb: float = _memory_setting(512.0)
    max_descriptors: int = _descriptors_setting()
    max_body_bytes: int = _setting(
        integer(1_024, 1 << 30),
        _CALLERS,
        "maximum size of a request body",
        DEFAULT_BODY_BYTES,
    )
    max_context_tokens: int = _setting(
        integer(1, 10_000_000),
        _CALLERS,
        "maximum length of prompt and output together, in tokens",
        DEFAULT_CONTEXT_TOKENS,
    )
    planner: bool = _setting(
        BOOLEAN, _WORK, "whether this entry may hold the planner's lease", True
    )
    planner_lease_seconds: int = _setting(
        integer(2, 600), _WORK, "time to live of the planner's lease, in seconds", 10
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DirectEntrySettings:
    """Settings of an entry that connects to upstreams without sides."""

    name: str = _setting(NAME, _PROCESS, "unique name of this instance")
    zone: str = _setting(NAME, _PROCESS, "availability zone of this instance")
    shutdown_seconds: float = _setting(
        number(0, 3600, "seconds"),
        _PROCESS,
        "maximum time from SIGTERM to the end of the process",
        8.0,
    )
    order_pause_ms: int = _setting(
        integer(0, 600_000),
        _PLATFORM,
        "minimum time between the orders of two planners, in milliseconds",
        3_000,
    )
    retry_share: float = _setting(
        number(0, 10, "retries"),
        _WORK,
        "retries that all entries together may make per request in ten seconds",
        0.2,
    )
    retry_free: float = _setting(
        number(0, 1e6, "retries"),
        _WORK,
        "retries in ten seconds that they may make in addition",
        20.0,
    )
    switched_off: str = _setting(
        optional(subset_of(*sorted(DECISION_NAMES))),
        _WORK,
        "decisions that are switched off, to measure their effect",
        "",
    )
    learned_capacity: str = _setting(
        choice("auto", "on", "off"),
        _WORK,
        "whether the load that each upstream handles well is learned from its answers;"
        " auto: where upstreams report how slow their machines are, or capacity may be"
        " scarce",
        "auto",
    )
    tenant_shares: str = _setting(
        choice("auto", "on", "off"),
        _WORK,
        "whether tenants share scarce capacity evenly; auto: where it may be scarce",
        "off",
    )
    contracts: str = _setting(
        optional(words()),
        _PLATFORM,
        "contracts of the platform that are in force",
        "",
    )
    scaling_address: str = _setting(
        optional(ADDRESS),
        _PLATFORM,
        "address that takes orders for numbers of replicas; none are sent if empty",
        "",
    )
    store_address: str = _setting(ADDRESS, _PLATFORM, "address of the platform's store")
    store_recovery_ms: int = _setting(
        integer(1_500, 31_000),
        _PLATFORM,
        "milliseconds until an unresponsive connection to the store is replaced",
        3_000,
    )
    store_writes_per_second: int = _setting(
        integer(1, 1_000_000),
        _PLATFORM,
        "writes per second that the store accepts from all entries together",
        400,
    )
    usage_address: str = _setting(
        optional(ADDRESS),
        _PLATFORM,
        "address that receives usage reports; none are sent if empty",
        "",
    )
    usage_window_seconds: float = _setting(
        number(0.5, 86_400, "seconds"),
        _PLATFORM,
        "length of the time windows that usage is reported for",
        5.0,
    )
    usage_due_seconds: float = _setting(
        number(1, 86_400, "seconds"),
        _PLATFORM,
        "time from the end of a window until its report is due",
        10.0,
    )
    listen_address: str = _setting(ADDRESS, _CALLERS, "address that callers connect to")
    memory_mb: float = _memory_setting(256.0)
    max_descriptors: int = _descriptors_setting()
    ready_address: str = _setting(ADDRESS, _CALLERS, "address of the readiness probe")
    peer_address: str = _setting(
        ADDRESS, _PROCESS, "address for datagrams from other entries"
    )
    log_level: str = _setting(_LOG_LEVEL, _LOGS, "lowest level that is logged", "info")
    metrics_address: str = _setting(
        optional(ADDRESS),
        _LOGS,
        "address that Prometheus scrapes; no metrics if empty",
        "",
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SideSettings(SharedSettings):
    """Settings of a side."""

    listen_address: str = _setting(
        ADDRESS,
        _PROCESS,
        "fixed address that entries connect to; bound exclusively",
    )
    metrics_address: str = _setting(
        optional(ADDRESS),
        _LOGS,
        "address that Prometheus scrapes; no metrics if empty",
        "",
    )
    upstream_url: str = _setting(
        URL, _UPSTREAM, "base URL of the upstream beside this process"
    )
    upstream_kind: str = _setting(
        choice("engine", "service"), _UPSTREAM, "kind of upstream", "engine"
    )
    service_concurrency: int = _setting(
        integer(1, 10_000), _UPSTREAM, "maximum concurrent calls to a plain service", 16
    )


AnySettings: t.TypeAlias = KeyValueSettings | DirectEntrySettings | QuarantineSettings

_S = t.TypeVar("_S", bound=AnySettings)


def declarations(settings: type[AnySettings]) -> tuple[Declaration, ...]:
    """Return the declarations of a settings class, sorted by group."""
    found = [
        Declaration(field.name, *field.metadata[_DECLARATION])
        for field in dataclasses.fields(settings)
    ]
    groups = list(dict.fromkeys(declaration.group for declaration in found))
    return tuple(sorted(found, key=lambda declaration: groups.index(declaration.group)))


def add_settings(parser: argparse.ArgumentParser, settings: type[AnySettings]) -> None:
    """Add a flag for each setting to a parser, in argument groups."""
    groups: dict[str, argparse._ArgumentGroup] = {}
    for declaration in declarations(settings):
        group = declaration.group
        if group not in groups:
            groups[group] = parser.add_argument_group(group)
        groups[group].add_argument(
            declaration.flag,
            metavar="VALUE",
            help=_help(declaration),
        )


def load_settings(
    settings: type[_S],
    flags: argparse.Namespace,
    environment: cabc.Mapping[str, str] | None = None,
) -> _S:
    """Load and validate settings from flags, environment variables and defaults.

    :param flags: parsed flags; a flag that was not given is ``None`` or absent.
    :param environment: environment variables; those of the process by default.
    :raises SettingError: for the first missing or invalid value.
    """
    environment = os.environ if environment is None else environment
    values = {
        declaration.field: _value(declaration, flags, environment)
        for declaration in declarations(t.cast("type[AnySettings]", settings))
    }
    loaded = settings(**values)
    _check_combinations(loaded)
    return loaded


def _help(declaration: Declaration) -> str:
    text = (
        f"{declaration.help}: {declaration.kind.allowed}"
        f" [{declaration.default_text}; {declaration.variable}]"
    )
    return text.replace("%", "%%")


def _value(
    declaration: Declaration,
    flags: argparse.Namespace,
    environment: cabc.Mapping[str, str],
) -> t.Any:
    source = declaration.flag
    text: str | None = getattr(flags, declaration.field, None)
    if text is None:
        source = declaration.variable
        text = environment.get(declaration.variable)
    if text is None:
        if declaration.default is None:
            allowed = f"{declaration.kind.allowed}, here or in {declaration.variable}"
            raise SettingError(declaration.flag, "", allowed)
        return declaration.default
    try:
        return declaration.kind.parse(text)
    except ValueError as error:
        raise SettingError(source, text, declaration.kind.allowed) from error


def _check_combinations(settings: AnySettings) -> None:
    if isinstance(settings, EntrySettings):
        _require_both_or_none(settings, "tls_certificate_file", "tls_key_file")
    if isinstance(settings, SharedSettings):
        _require_both_or_none(settings, "curve_secret_file", "curve_peers_file")


def _require_both_or_none(settings: KeyValueSettings, first: str, second: str) -> None:
    by_field = {found.field: found for found in declarations(type(settings))}
    for present, absent in ((first, second), (second, first)):
        if getattr(settings, present) and not getattr(settings, absent):
            missing = by_field[absent]
            allowed = f"a file, because {by_field[present].flag} is given"
            raise SettingError(missing.flag, "", allowed)
