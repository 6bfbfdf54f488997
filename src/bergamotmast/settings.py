"""The settings of every process: flags, then environment variables, then defaults.

Each setting is declared once, as a field of a frozen data class; its flag and its
environment variable follow from the field's name.
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
from .setting_kinds import several

DEFAULT_BODY_BYTES = 8 << 20
DEFAULT_CONTEXT_TOKENS = 131_072

ENVIRONMENT_PREFIX = "BERGAMOTMAST_"

_DECLARATION = "declaration"


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """What is known of a setting before it has a value.

    :param field: name of its field.
    :param kind: which values are allowed.
    :param default: value where none is given; ``None`` where one must be given.
    :param group: heading it stands under.
    :param help: what it does, for a person.
    """

    field: str
    kind: Kind
    default: t.Any
    group: str
    help: str

    @property
    def flag(self) -> str:
        """The setting as written on the command line."""
        return "--" + self.field.replace("_", "-")

    @property
    def variable(self) -> str:
        """The setting's environment variable."""
        return ENVIRONMENT_PREFIX + self.field.upper()

    @property
    def default_text(self) -> str:
        """The default as it would be given; ``required`` where there is none."""
        if self.default is None:
            return "required"
        if isinstance(self.default, bool):
            return "yes" if self.default else "no"
        return str(self.default)


def _setting(kind: Kind, group: str, help_text: str, default: t.Any = None) -> t.Any:
    metadata = {_DECLARATION: (kind, default, group, help_text)}
    return dataclasses.field(metadata=metadata)


_PROCESS = "This process"
_PLATFORM = "The platform"
_KEYS = "Keys between processes"
_LOGS = "Logs and metrics"
_CALLERS = "Callers"
_UPSTREAM = "The upstream"
_WORK = "Work"


_LOG_LEVEL = choice("debug", "info", "warning", "error")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyValueSettings:
    """Where the key-value service is; all that the ``config`` commands need."""

    key_value_url: str = _setting(URL, _PLATFORM, "the key-value service")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SharedSettings(KeyValueSettings):
    """What entries and sides have in common."""

    name: str = _setting(NAME, _PROCESS, "unique name; a side takes its upstream's")
    zone: str = _setting(NAME, _PROCESS, "availability zone of this instance")
    shutdown_seconds: float = _setting(
        number(0, 3600, "seconds"),
        _PROCESS,
        "most time that work in flight is given to end after SIGTERM",
        600.0,
    )
    instance_list_url: str = _setting(URL, _PLATFORM, "the instance list")
    weight_store_url: str = _setting(
        optional(URL), _PLATFORM, "the weight store; not asked if empty", ""
    )
    curve_secret_file: str = _setting(
        optional(FILE),
        _KEYS,
        "file with this process's CURVE key pair; no keys are used if empty",
        "",
    )
    curve_peers_file: str = _setting(
        optional(FILE),
        _KEYS,
        "file with the public CURVE keys of the peers that are let in",
        "",
    )
    log_format: str = _setting(
        choice("text", "json"), _LOGS, "form of the logs", "text"
    )
    log_level: str = _setting(_LOG_LEVEL, _LOGS, "least level", "info")
    policy: str = _setting(NAME, _WORK, "name of the policy under load", "default")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(SharedSettings):
    """An entry's settings."""

    listen_address: str = _setting(
        ADDRESS, _CALLERS, "where callers and operators come in", "127.0.0.1:8080"
    )
    tls_certificate_file: str = _setting(
        optional(FILE), _CALLERS, "certificate chain in PEM; plain HTTP if empty", ""
    )
    tls_key_file: str = _setting(
        optional(FILE), _CALLERS, "private key of the certificate, in PEM", ""
    )
    max_body_bytes: int = _setting(
        integer(1_024, 1 << 30), _CALLERS, "largest body taken", DEFAULT_BODY_BYTES
    )
    max_context_tokens: int = _setting(
        integer(1, 10_000_000),
        _CALLERS,
        "longest prompt and answer together, in tokens",
        DEFAULT_CONTEXT_TOKENS,
    )
    planner: bool = _setting(
        BOOLEAN, _WORK, "whether this entry may hold the planner's lease", True
    )
    planner_lease_seconds: int = _setting(
        integer(2, 600), _WORK, "time to live of the planner's lease, seconds", 10
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DirectEntrySettings:
    """An entry's settings where it reaches upstreams without sides."""

    name: str = _setting(NAME, _PROCESS, "unique name of this instance")
    zone: str = _setting(NAME, _PROCESS, "availability zone of this instance")
    shutdown_seconds: float = _setting(
        number(0, 3600, "seconds"),
        _PROCESS,
        "most time from SIGTERM to the end of the process",
        8.0,
    )
    order_pause_ms: int = _setting(
        integer(0, 600_000),
        _PLATFORM,
        "milliseconds between the orders of two planners",
        3_000,
    )
    retry_share: float = _setting(
        number(0, 10, "second sends"),
        _WORK,
        "second sends that all entries may make for each request in ten seconds",
        0.2,
    )
    retry_free: float = _setting(
        number(0, 1e6, "second sends"),
        _WORK,
        "second sends that they may make beside those",
        20.0,
    )
    switched_off: str = _setting(
        optional(several(*sorted(DECISION_NAMES))),
        _WORK,
        "decisions that are not taken, to see what they are worth",
        "",
    )
    store_address: str = _setting(ADDRESS, _PLATFORM, "the platform's store")
    store_recovery_ms: int = _setting(
        integer(1_500, 31_000),
        _PLATFORM,
        "milliseconds in which a connection to the store that went silent is replaced",
        3_000,
    )
    listen_address: str = _setting(ADDRESS, _CALLERS, "where callers come in")
    ready_address: str = _setting(
        ADDRESS, _CALLERS, "where the platform asks whether this entry is ready"
    )
    peer_address: str = _setting(
        ADDRESS, _PROCESS, "where other entries send datagrams to this one"
    )
    log_level: str = _setting(_LOG_LEVEL, _LOGS, "least level", "info")
    metrics_address: str = _setting(
        optional(ADDRESS), _LOGS, "where Prometheus reads metrics; off if empty", ""
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SideSettings(SharedSettings):
    """A side's settings."""

    listen_address: str = _setting(
        ADDRESS,
        _PROCESS,
        "fixed address that entries reach this side at; bound exclusively",
    )
    metrics_address: str = _setting(
        optional(ADDRESS), _LOGS, "where Prometheus reads metrics; off if empty", ""
    )
    upstream_url: str = _setting(URL, _UPSTREAM, "the upstream beside this process")
    upstream_kind: str = _setting(
        choice("engine", "service"), _UPSTREAM, "what the upstream is", "engine"
    )
    service_concurrency: int = _setting(
        integer(1, 10_000), _UPSTREAM, "most calls a plain service takes at once", 16
    )


AnySettings: t.TypeAlias = KeyValueSettings | DirectEntrySettings

_S = t.TypeVar("_S", bound=AnySettings)


def declarations(settings: type[AnySettings]) -> tuple[Declaration, ...]:
    """Return the declarations of a settings class, by group."""
    found = [
        Declaration(field.name, *field.metadata[_DECLARATION])
        for field in dataclasses.fields(settings)
    ]
    groups = list(dict.fromkeys(declaration.group for declaration in found))
    return tuple(sorted(found, key=lambda declaration: groups.index(declaration.group)))


def add_settings(parser: argparse.ArgumentParser, settings: type[AnySettings]) -> None:
    """Give a parser a flag for each setting, under the group's heading."""
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
    given: argparse.Namespace,
    environment: cabc.Mapping[str, str] | None = None,
) -> _S:
    """Return checked settings.

    :param given: parsed flags; one that was not given is ``None`` or absent.
    :param environment: environment variables; the process's own by default.
    :raises SettingError: for the first value that is not allowed.
    """
    environment = os.environ if environment is None else environment
    values = {
        declaration.field: _value(declaration, given, environment)
        for declaration in declarations(t.cast("type[AnySettings]", settings))
    }
    loaded = settings(**values)
    _check_together(loaded)
    return loaded


def _help(declaration: Declaration) -> str:
    text = (
        f"{declaration.help}: {declaration.kind.allowed}"
        f" [{declaration.default_text}; {declaration.variable}]"
    )
    return text.replace("%", "%%")


def _value(
    declaration: Declaration,
    given: argparse.Namespace,
    environment: cabc.Mapping[str, str],
) -> t.Any:
    source = declaration.flag
    text: str | None = getattr(given, declaration.field, None)
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


def _check_together(settings: AnySettings) -> None:
    if isinstance(settings, EntrySettings):
        _both_or_none(settings, "tls_certificate_file", "tls_key_file")
    if isinstance(settings, SharedSettings):
        _both_or_none(settings, "curve_secret_file", "curve_peers_file")


def _both_or_none(settings: KeyValueSettings, first: str, second: str) -> None:
    by_field = {found.field: found for found in declarations(type(settings))}
    for present, absent in ((first, second), (second, first)):
        if getattr(settings, present) and not getattr(settings, absent):
            missing = by_field[absent]
            allowed = f"a file, because {by_field[present].flag} is given"
            raise SettingError(missing.flag, "", allowed)
