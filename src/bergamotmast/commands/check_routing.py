"""The action ``config check-routing``: checks a document of direct entries."""

from __future__ import annotations

import argparse
import collections.abc as cabc
import dataclasses
import enum
import pathlib
import typing as t

import msgspec

from ..config.diff import Change
from ..config.diff import diff_named
from ..config.diff import show_diff
from ..direct.model import Routing
from ..direct.ports import Directory
from ..direct.routing_check import Severity
from ..direct.routing_check import check_routing
from ..direct_daemon import open_store
from ..direct_daemon import routing_directory
from ..errors import ConfigError

EXIT_ERRORS = 2
"""Exit code for a document with errors."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the action's arguments to a parser."""
    parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    other = parser.add_mutually_exclusive_group()
    other.add_argument(
        "--against", type=pathlib.Path, metavar="FILE", help="document to compare with"
    )
    other.add_argument(
        "--store-address",
        metavar="HOST:PORT",
        help="store of the platform, whose document in force is compared with",
    )


async def run(arguments: argparse.Namespace) -> int:
    """Check a document, and print what is wrong and what differs."""
    directory = routing_directory()
    try:
        routing = directory.decode_routing(_read(arguments.file))
        other, zones = await _read_other(arguments, directory)
    except ConfigError as error:
        print(f"error: {error.message}")
        return EXIT_ERRORS
    in_force = other if arguments.store_address else None
    findings = check_routing(routing, zones, in_force)
    for finding in findings:
        print(finding.show())
    if other is not None:
        changes = diff_routing(other, routing)
        print(show_diff(changes) if changes else "no differences")
    errors = sum(finding.severity is Severity.ERROR for finding in findings)
    print(
        f"{arguments.file}: version {routing.generation}, {len(routing.routes)} routes,"
        f" {errors} errors, {len(findings) - errors} warnings"
    )
    return EXIT_ERRORS if errors else 0


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path} can't be read: {error.strerror}") from error


async def _read_other(
    arguments: argparse.Namespace, directory: Directory
) -> tuple[Routing | None, int | None]:
    """Return the document to compare with, and the number of availability zones."""
    if arguments.against is not None:
        return directory.decode_routing(_read(arguments.against)), None
    if arguments.store_address is None:
        return None, None
    async with open_store(arguments.store_address) as store:
        item = await store.get(directory.config_key)
        servers = await store.range(directory.upstream_prefix)
    zones = set()
    for server in servers.items:
        try:
            zones.add(directory.decode_upstream(server.key, server.value).zone)
        except ConfigError as error:
            print(f"warning: {error.message}")
    routing = None if item is None else directory.decode_routing(item.value)
    return routing, len(zones) or None


def diff_routing(before: Routing, after: Routing) -> tuple[Change, ...]:
    """Return what entries would do differently, without any API key."""
    return diff_named(_sections(before), _sections(after))


def _sections(routing: Routing) -> dict[str, dict[str, t.Any]]:
    tenants = routing.tenants
    return {
        "routes": {route.name: _plain(route) for route in routing.routes},
        "services": {name: _plain(group) for name, group in routing.groups.items()},
        "limits": {"callers": _plain(routing.limits)},
        "tenants": {"keys needed": tenants is not None}
        | ({} if tenants is None else tenants.describe()),
    }


def _plain(value: t.Any) -> t.Any:
    plain = msgspec.to_builtins(dataclasses.asdict(value), enc_hook=_encode)
    assert isinstance(plain, cabc.Mapping)
    return plain


def _encode(value: object) -> object:
    return value.value if isinstance(value, enum.Enum) else str(value)
