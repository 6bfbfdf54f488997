"""HTTP administration interface of an entry: fleet status and configuration edits.

Operators change labels and selectors; no endpoint controls a single engine.
"""

from __future__ import annotations

import collections.abc as cabc
import logging
import secrets
import typing as t

import msgspec
from aiohttp import web

from ..config.checks import find_warnings
from ..config.diff import diff
from ..config.document import AdminKey
from ..config.document import Configuration
from ..config.document import Scope
from ..config.document import encode_configuration
from ..config.edit import with_labels
from ..config.edit import with_selector
from ..config.edit import without_selector
from ..config.file import parse_body
from ..config.file import parse_selector
from ..config.holder import ConfigHolder
from ..config.permissions import find_key
from ..config.permissions import require_edit_allowed
from ..config.permissions import require_scope
from ..config.store import ConfigStore
from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import CODE_INFO
from ..errors import BergamotmastError
from ..errors import ContradictionError
from ..errors import EditConflictError
from ..errors import RequestError
from ..errors import ResultCode
from . import admin_messages as messages
from .fleet_status import FleetStatus

logger = logging.getLogger(__name__)

HISTORY_LIMIT = 100
"""Maximum number of edits in one response."""

MAX_IDEMPOTENCY_KEY_LENGTH = 255
"""Maximum characters of an idempotency key, which is stored in the history."""

_Handler = cabc.Callable[[web.Request], cabc.Awaitable[web.StreamResponse]]
_Change = cabc.Callable[[Configuration], Configuration]
_Body = t.TypeVar("_Body", bound=messages.EditBody)


class AdminHttp:
    """Handles the requests of operators.

    :param holder: the configuration in force, which contains the teams' keys.
    :param store: the configuration in the key-value service.
    :param fleet: returns the fleet's status as this entry knows it.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        store: ConfigStore,
        fleet: cabc.Callable[[], FleetStatus],
    ) -> None:
        self.holder = holder
        self.store = store
        self.fleet = fleet

    def application(self) -> web.Application:
        """Return the application to be mounted at ``/admin/v1``."""
        application = web.Application(middlewares=[_errors])
        router = application.router
        router.add_get("/fleet", self._read_fleet)
        router.add_get("/configuration", self._read_configuration)
        router.add_put("/configuration", self._replace_configuration)
        router.add_patch("/labels/{upstream}", self._change_labels)
        router.add_put("/selectors/{name}", self._put_selector)
        router.add_delete("/selectors/{name}", self._delete_selector)
        router.add_get("/history", self._read_history)
        router.add_get("/history/{generation}", self._read_generation)
        return application

    # Reading

    async def _read_fleet(self, request: web.Request) -> web.Response:
        self._authorize(request, Scope.READ)
        return _json_response(self.fleet())

    async def _read_configuration(self, request: web.Request) -> web.Response:
        self._authorize(request, Scope.READ)
        current = self.holder.current
        return _json_response(messages.ConfigurationAnswer(current.generation, current))

    async def _read_history(self, request: web.Request) -> web.Response:
        self._authorize(request, Scope.READ)
        limit = _parse_integer(request.query.get("limit", "20"), 1, HISTORY_LIMIT)
        records = await self.store.history(limit)
        edits = tuple(
            messages.RecordSummary(r.generation, r.author, r.accepted_at, r.changes)
            for r in records
        )
        return _json_response(messages.HistoryAnswer(edits))

    async def _read_generation(self, request: web.Request) -> web.Response:
        self._authorize(request, Scope.READ)
        generation = _parse_integer(request.match_info["generation"], 0, 10**12)
        record = await self.store.read_record(generation)
        if record is None:
            raise RequestError(
                ResultCode.UNKNOWN_ROUTE, f"There is no record of {generation}."
            )
        return _json_response(
            messages.ConfigurationAnswer(generation, record.configuration)
        )

    # Proposing edits

    async def _replace_configuration(self, request: web.Request) -> web.Response:
        key = self._authorize(request, Scope.EDIT)
        body = await _read_body(request, messages.DocumentEdit)
        proposed = parse_body(bytes(body.configuration))
        return await self._edit(request, key, body.against, lambda base: proposed)

    async def _change_labels(self, request: web.Request) -> web.Response:
        key = self._authorize(request, Scope.EDIT)
        body = await _read_body(request, messages.LabelEdit)
        upstream = request.match_info["upstream"]
        return await self._edit(
            request,
            key,
            body.against,
            lambda base: with_labels(base, upstream, body.labels),
        )

    async def _put_selector(self, request: web.Request) -> web.Response:
        key = self._authorize(request, Scope.EDIT)
        body = await _read_body(request, messages.SelectorEdit)
        plain = {**body.selector, "name": request.match_info["name"]}
        selector = parse_selector(plain, "body")
        return await self._edit(
            request, key, body.against, lambda base: with_selector(base, selector)
        )

    async def _delete_selector(self, request: web.Request) -> web.Response:
        key = self._authorize(request, Scope.EDIT)
        body = await _read_body(request, messages.SelectorRemoval)
        name = request.match_info["name"]
        return await self._edit(
            request, key, body.against, lambda base: without_selector(base, name)
        )

    async def _edit(
        self, request: web.Request, key: AdminKey, against: int, change: _Change
    ) -> web.Response:
        base = await self._read_base(against)
        proposed = change(base)
        require_edit_allowed(key, base, proposed)
        nonce = _nonce(request, key)
        accepted = await self.store.propose(proposed, against, key.team, nonce)
        self.holder.offer(encode_configuration(accepted))
        changes = diff(base, accepted)
        warnings = tuple(warning.show() for warning in find_warnings(accepted))
        return _json_response(
            messages.EditAnswer(accepted.generation, changes, warnings)
        )

    async def _read_base(self, against: int) -> Configuration:
        """Return the configuration of the generation that an edit was made against.

        :raises RequestError: ``STALE_GENERATION`` while the key-value service stores
            an older document than the one in force, for instance after a restore: an
            edit of it would be accepted there and refused by every process.
        :raises EditConflictError: if the generation is not in the history.
        """
        current = (await self.store.read()).configuration
        if current.generation < self.holder.generation:
            raise RequestError(
                ResultCode.STALE_GENERATION,
                f"The service holds generation {current.generation} and"
                f" {self.holder.generation} is in force; it will be put back shortly.",
            )
        if current.generation == against:
            return current
        record = await self.store.read_record(against)
        if record is None:
            raise EditConflictError(
                f"generation {against} is not known; {current.generation} is current",
                generation=current.generation,
            )
        return record.configuration

    def _authorize(self, request: web.Request, scope: Scope) -> AdminKey:
        """Return the admin key of a request, after checking that it has a scope.

        :raises RequestError: ``UNAUTHENTICATED`` or ``FORBIDDEN``.
        """
        scheme, _, secret = request.headers.get("Authorization", "").partition(" ")
        key = find_key(self.holder.current, secret.strip())
        if key is None or scheme.lower() != "bearer":
            raise RequestError(ResultCode.UNAUTHENTICATED)
        require_scope(key, scope)
        return key


@web.middleware
async def _errors(request: web.Request, handler: _Handler) -> web.StreamResponse:
    """Turn every failure into an error response with a numeric result code."""
    try:
        return await handler(request)
    except BergamotmastError as error:
        return _error_response(error)
    except web.HTTPRequestEntityTooLarge:
        return _error_response(RequestError(ResultCode.BODY_TOO_LARGE))
    except web.HTTPException as error:
        detail = f"{request.method} {request.path}: {error.reason}"
        return _error_response(RequestError(ResultCode.UNKNOWN_ROUTE, detail))
    except Exception:
        logger.exception("administration request failed")
        return _error_response(RequestError(ResultCode.INTERNAL))


def _error_response(error: BergamotmastError) -> web.Response:
    info = CODE_INFO[error.code]
    detail = messages.AdminErrorDetail(
        code=int(error.code),
        name=error.code.name.lower(),
        outcome=info.outcome.value,
        message=error.message,
    )
    if isinstance(error, EditConflictError):
        detail = msgspec.structs.replace(
            detail,
            generation=error.generation,
            author=error.author,
            differences=error.differences,
        )
    if isinstance(error, ContradictionError):
        detail = msgspec.structs.replace(
            detail, selectors=error.selectors, upstream=error.upstream
        )
    return _json_response(messages.AdminErrorBody(detail), info.status)


def _json_response(body: msgspec.Struct, status: int = 200) -> web.Response:
    encoded = msgspec.json.encode(body)
    return web.Response(status=status, body=encoded, content_type="application/json")


async def _read_body(request: web.Request, kind: type[_Body]) -> _Body:
    try:
        return decode_json(await request.read(), kind)
    except DecodingError as error:
        raise RequestError(ResultCode.MALFORMED_BODY, str(error)) from error


def _nonce(request: web.Request, key: AdminKey) -> str:
    """Return an identifier of a proposal, by which a retry of it is recognised."""
    given = request.headers.get("Idempotency-Key", "")
    if len(given) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise RequestError(ResultCode.BAD_HEADER, "The Idempotency-Key is too long.")
    return f"{key.team}:{given or secrets.token_hex(16)}"


def _parse_integer(text: str, minimum: int, maximum: int) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(maximum))
    if not (is_number and minimum <= int(text) <= maximum):
        detail = f"{text[:20]!r} is not a number from {minimum} to {maximum}."
        raise RequestError(ResultCode.MALFORMED_BODY, detail)
    return int(text)
