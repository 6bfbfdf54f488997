"""Parsing of the addresses that upstreams and entries register."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535
"""Highest port number."""


def check_http_address(address: str) -> None:
    """Raise :exc:`ValueError` unless an address is an IPv4 address and a port.

    A host name would be looked up for each connection, in a thread, and some can't be.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    _check_port(port)


def datagram_address(value: bytes) -> tuple[str, int] | None:
    """Return an entry's address, or ``None`` if it is not an IP address and a port.

    A host name would be resolved for every datagram, blocking the event loop. A port
    out of range, or a scope with a character that no host name has, would close the
    socket that sends the datagrams.
    """
    host, _, port = value.decode(errors="replace").rpartition(":")
    try:
        address = ipaddress.ip_address(host)
        if isinstance(address, ipaddress.IPv6Address) and address.scope_id is not None:
            return None
        return host, _check_port(port)
    except ValueError:
        return None


def _check_port(text: str) -> int:
    """Return a port number.

    :raises ValueError: if it is none. Python reads "+80" and "8_0" as numbers, too.
    """
    is_number = text.isascii() and text.isdigit()
    if not is_number or not 0 < int(text) <= MAX_PORT:
        raise ValueError(f"{text!r} is no port")
    return int(text)
