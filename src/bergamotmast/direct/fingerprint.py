"""Fingerprint of a direct entry's calls."""

from __future__ import annotations

from ..crashes.fingerprint import fingerprint
from .model import Call


def fingerprint_of(call: Call) -> str:
    """Return the fingerprint of a call's tenant, host, method, target and body.

    The headers are left out, as some of them change between the tries of one caller.
    With the tenant, no tenant's requests can put those of another into quarantine.
    """
    tenant = (call.tenant.name,) if call.tenant is not None else ()
    head = (*tenant, call.route.host, call.method, call.target)
    encoded = (part.encode(errors="surrogateescape") for part in head)
    return fingerprint(*encoded, call.body)
