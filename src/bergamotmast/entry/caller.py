"""Identification of callers: tenant, request class and request id from headers."""

from __future__ import annotations

import dataclasses
import hashlib
import re
import uuid

from aiohttp import web

from ..config.document import Configuration
from ..errors import RequestError
from ..errors import ResultCode

TENANT_HEADER = "X-Tenant"
CLASS_HEADER = "X-Request-Class"
REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_HEADER = "Idempotency-Key"

DEFAULT_TENANT = "default"
DEFAULT_CLASS = "default"

_NAME_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}")
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
_MEDIA_TYPE_PATTERN = re.compile(r"[\t\x20-\x7e]+")


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The identity of one request, from its headers.

    :param tenant: the tenant that the request counts for.
    :param request_class: name of the request class.
    :param request_id: given by the caller, or generated.
    :param idempotency_key: the caller's key; empty for none.
    """

    tenant: str
    request_class: str
    request_id: str
    idempotency_key: str


def request_id_of(request: web.Request) -> str:
    """Return the request id given by the caller, or a generated one if it is invalid.

    Bytes that are not valid text arrive as lone surrogates, which a response header
    can't encode: a response that echoed such an id would itself fail.
    """
    value = request.headers.get(REQUEST_ID_HEADER, "")
    return value if _NAME_PATTERN.fullmatch(value) else uuid.uuid4().hex


def read_content_type(request: web.Request) -> str:
    """Return the ``Content-Type`` of a request; empty for none.

    :raises RequestError: ``BAD_HEADER``.
    """
    return _header(request, "Content-Type", _MEDIA_TYPE_PATTERN)


def read_caller(
    request: web.Request, request_id: str, configuration: Configuration
) -> Caller:
    """Read and validate the headers that identify a caller.

    :param request_id: given by the caller, or generated.
    :raises RequestError: ``BAD_HEADER`` or ``UNAUTHENTICATED``.
    """
    return Caller(
        tenant=_tenant(request, configuration),
        request_class=_header(request, CLASS_HEADER, _NAME_PATTERN) or DEFAULT_CLASS,
        request_id=_header(request, REQUEST_ID_HEADER, _NAME_PATTERN) or request_id,
        idempotency_key=_header(request, IDEMPOTENCY_HEADER, _KEY_PATTERN),
    )


def _header(request: web.Request, name: str, allowed: re.Pattern[str]) -> str:
    value = request.headers.get(name, "")
    if value and not allowed.fullmatch(value):
        raise RequestError(
            ResultCode.BAD_HEADER,
            f"{name}: {value[:80]!r} is not allowed; give {allowed.pattern}.",
        )
    return value


def _tenant(request: web.Request, configuration: Configuration) -> str:
    """Return the tenant that owns the bearer key, or else the one in the header.

    A tenant that has keys can't be named by the header alone.
    """
    authorization = request.headers.get("Authorization", "")
    if authorization:
        return _tenant_of_key(authorization, configuration)
    name = _header(request, TENANT_HEADER, _NAME_PATTERN) or DEFAULT_TENANT
    tenant = configuration.tenants.get(name)
    if tenant is not None and tenant.keys:
        raise RequestError(
            ResultCode.UNAUTHENTICATED, f"Tenant {name!r} must show its key."
        )
    return name


def _tenant_of_key(authorization: str, configuration: Configuration) -> str:
    scheme, _, key = authorization.partition(" ")
    digest = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
    if scheme.lower() == "bearer":
        for name, tenant in configuration.tenants.items():
            if digest in tenant.keys:
                return name
    raise RequestError(ResultCode.UNAUTHENTICATED)
