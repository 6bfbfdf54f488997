"""Numbered result codes and the exception hierarchy."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.Enum):
    """Whether a request was executed, as far as its caller can know."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Result of a request or of an edit of the configuration.

    ``docs/result-codes.md`` describes the codes for operators and callers.
    """

    OK = 0

    MALFORMED_BODY = 100
    BODY_TOO_LARGE = 101
    BAD_HEADER = 102
    UNKNOWN_MODEL = 103
    PROMPT_TOO_LONG = 104
    UNKNOWN_ROUTE = 105
    UNAUTHENTICATED = 106
    FORBIDDEN = 107
    KEY_REQUIRED = 108
    KEY_MISMATCH = 109

    TENANT_OVER_SHARE = 200
    QUEUE_FULL = 201
    DEADLINE_UNREACHABLE = 202
    EXPIRED_IN_QUEUE = 203
    RETRY_BUDGET_SPENT = 204
    QUARANTINED = 205
    UPSTREAMS_LIMITED = 206
    CAPACITY_SHARED = 207
    CALLERS_LIMITED = 208

    NO_UPSTREAM = 300
    UPSTREAM_LEAVING = 301
    STALE_SESSION = 302
    CANCELLED_BEFORE_START = 303
    CLAIM_UNAVAILABLE = 304
    ENGINE_NOT_READY = 305
    NOT_HANDED_OVER = 306
    SHUTTING_DOWN = 307

    DEADLINE_EXCEEDED = 400
    CANCELLED_BY_CALLER = 401
    UPSTREAM_FAILED = 402
    ALREADY_RAN = 403

    OUTCOME_UNKNOWN = 500
    CLAIM_HELD = 501

    EDIT_CONFLICT = 600
    CONTRADICTION = 601
    INVALID_CONFIG = 602
    KEY_VALUE_UNAVAILABLE = 603
    STALE_GENERATION = 604

    BAD_SETTING = 700
    INTERNAL = 900


@dataclasses.dataclass(frozen=True, slots=True)
class CodeInfo:
    """Properties of a result code.

    :param outcome: whether the request was executed.
    :param status: HTTP status of the response.
    :param retryable: whether a retry at another upstream, or later by the caller, may
        succeed.
    :param description: description of the result, one sentence.
    """

    outcome: Outcome
    status: int
    retryable: bool
    description: str


_NOT_RUN = Outcome.NOT_RUN
_RAN = Outcome.RAN
_UNKNOWN = Outcome.UNKNOWN

CODE_INFO: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(_RAN, 200, False, "The request was answered."),
    ResultCode.MALFORMED_BODY: CodeInfo(
        _NOT_RUN, 400, False, "The body is not what this path takes."
    ),
    ResultCode.BODY_TOO_LARGE: CodeInfo(
        _NOT_RUN, 413, False, "The body is larger than this path takes."
    ),
    ResultCode.BAD_HEADER: CodeInfo(
        _NOT_RUN, 400, False, "A header has a value that is not allowed."
    ),
    ResultCode.UNKNOWN_MODEL: CodeInfo(
        _NOT_RUN, 404, False, "No selector carries this model."
    ),
    ResultCode.PROMPT_TOO_LONG: CodeInfo(
        _NOT_RUN, 400, False, "The prompt and its answer exceed the context."
    ),
    ResultCode.UNKNOWN_ROUTE: CodeInfo(
        _NOT_RUN, 404, False, "No route is configured for this path."
    ),
    ResultCode.UNAUTHENTICATED: CodeInfo(
        _NOT_RUN, 401, False, "The key is missing or unknown."
    ),
    ResultCode.FORBIDDEN: CodeInfo(
        _NOT_RUN, 403, False, "The key does not allow this."
    ),
    ResultCode.KEY_REQUIRED: CodeInfo(
        _NOT_RUN, 400, False, "This route needs an Idempotency-Key."
    ),
    ResultCode.KEY_MISMATCH: CodeInfo(
        _NOT_RUN, 422, False, "The Idempotency-Key was used for another request."
    ),
    ResultCode.TENANT_OVER_SHARE: CodeInfo(
        _NOT_RUN, 429, True, "The tenant has used its share; come back later."
    ),
    ResultCode.QUEUE_FULL: CodeInfo(
        _NOT_RUN, 503, True, "Every suitable upstream has a full queue."
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeInfo(
        _NOT_RUN, 503, True, "The request could not be answered by its deadline."
    ),
    ResultCode.EXPIRED_IN_QUEUE: CodeInfo(
        _NOT_RUN, 503, True, "The request waited past the time it may wait."
    ),
    ResultCode.RETRY_BUDGET_SPENT: CodeInfo(
        _NOT_RUN, 503, True, "The retry budget is spent; come back later."
    ),
    ResultCode.QUARANTINED: CodeInfo(
        _NOT_RUN, 503, False, "The request has crashed upstreams and is not run again."
    ),
    ResultCode.UPSTREAMS_LIMITED: CodeInfo(
        _NOT_RUN, 503, True, "Every suitable upstream has asked for fewer requests."
    ),
    ResultCode.CAPACITY_SHARED: CodeInfo(
        _NOT_RUN,
        503,
        True,
        "Capacity is short, and the tenant has used its share of it.",
    ),
    ResultCode.CALLERS_LIMITED: CodeInfo(
        _NOT_RUN, 503, True, "The memory for requests that arrive is used up."
    ),
    ResultCode.NO_UPSTREAM: CodeInfo(
        _NOT_RUN, 503, True, "No upstream is ready for this request."
    ),
    ResultCode.UPSTREAM_LEAVING: CodeInfo(
        _NOT_RUN, 503, True, "The upstream is leaving."
    ),
    ResultCode.STALE_SESSION: CodeInfo(
        _NOT_RUN, 503, True, "The offer belongs to a session that has ended."
    ),
    ResultCode.CANCELLED_BEFORE_START: CodeInfo(
        _NOT_RUN, 503, True, "The request was cancelled before it started."
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeInfo(
        _NOT_RUN, 503, True, "The request could not be claimed for its one run."
    ),
    ResultCode.ENGINE_NOT_READY: CodeInfo(
        _NOT_RUN, 503, True, "The engine is changing or in an unknown state."
    ),
    ResultCode.NOT_HANDED_OVER: CodeInfo(
        _NOT_RUN, 503, True, "The request never left the entry."
    ),
    ResultCode.SHUTTING_DOWN: CodeInfo(
        _NOT_RUN, 503, True, "The entry is shutting down."
    ),
    ResultCode.DEADLINE_EXCEEDED: CodeInfo(
        _RAN, 504, False, "The request ran and was not whole by its deadline."
    ),
    ResultCode.CANCELLED_BY_CALLER: CodeInfo(_RAN, 499, False, "The caller went away."),
    ResultCode.UPSTREAM_FAILED: CodeInfo(
        _RAN, 502, False, "The upstream answered with an error."
    ),
    ResultCode.ALREADY_RAN: CodeInfo(
        _RAN, 409, False, "The request with this key has run before."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        _UNKNOWN, 502, False, "The request may have run; its answer was lost."
    ),
    ResultCode.CLAIM_HELD: CodeInfo(
        _UNKNOWN, 409, False, "An earlier call with this key may have run."
    ),
    ResultCode.EDIT_CONFLICT: CodeInfo(
        _NOT_RUN, 409, True, "The configuration was changed by someone else."
    ),
    ResultCode.CONTRADICTION: CodeInfo(
        _NOT_RUN, 422, False, "Two selectors contradict each other."
    ),
    ResultCode.INVALID_CONFIG: CodeInfo(
        _NOT_RUN, 422, False, "The configuration is not valid."
    ),
    ResultCode.KEY_VALUE_UNAVAILABLE: CodeInfo(
        _NOT_RUN, 503, True, "The key-value service does not answer."
    ),
    ResultCode.STALE_GENERATION: CodeInfo(
        _NOT_RUN, 409, False, "The document is older than the one in force."
    ),
    ResultCode.BAD_SETTING: CodeInfo(
        _NOT_RUN, 400, False, "A setting has a value that is not allowed."
    ),
    ResultCode.INTERNAL: CodeInfo(
        _UNKNOWN, 500, False, "The system failed while it handled the request."
    ),
}


DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Default of the Retry-After header of retryable errors."""


class BergamotmastError(Exception):
    """Base class of all errors of the package.

    :param message: error message, one sentence.
    """

    exit_code = 1
    code = ResultCode.INTERNAL

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def show(self) -> str:
        """Return the text that the command line shows for the error."""
        return f"Error {int(self.code)}: {self.message}"


class SettingError(BergamotmastError):
    """A flag or environment variable is missing or has an invalid value.

    :param name: flag as written on the command line, or environment variable.
    :param value: the invalid value; empty if missing.
    :param allowed: description of the allowed values.
    """

    exit_code = 2
    code = ResultCode.BAD_SETTING

    def __init__(self, name: str, value: str, allowed: str) -> None:
        super().__init__(f"{name}: {value!r} is not allowed; give {allowed}.")
        self.name = name
        self.value = value
        self.allowed = allowed


class ConfigError(BergamotmastError):
    """A configuration document is not valid."""

    exit_code = 3
    code = ResultCode.INVALID_CONFIG


class ContradictionError(ConfigError):
    """Two selectors make conflicting demands on the same engine.

    :param selectors: names of both selectors.
    :param upstream: name of the engine.
    """

    code = ResultCode.CONTRADICTION

    def __init__(
        self, message: str, selectors: tuple[str, ...] = (), upstream: str = ""
    ) -> None:
        super().__init__(message)
        self.selectors = selectors
        self.upstream = upstream


class EditConflictError(BergamotmastError):
    """The configuration was changed by a concurrent edit.

    :param generation: generation of the conflicting configuration.
    :param author: author of that configuration.
    :param differences: differences between it and the proposal, one per line.
    """

    exit_code = 4
    code = ResultCode.EDIT_CONFLICT

    def __init__(
        self,
        message: str,
        generation: int = 0,
        author: str = "",
        differences: tuple[str, ...] = (),
    ) -> None:
        super().__init__(message)
        self.generation = generation
        self.author = author
        self.differences = differences

    def show(self) -> str:
        """Return the error followed by the differences."""
        return "\n".join((super().show(), *self.differences))


class LeadershipLostError(BergamotmastError):
    """The planner may have lost its lease, or another planner has written the plan."""

    exit_code = 4
    code = ResultCode.EDIT_CONFLICT


class PortError(BergamotmastError):
    """An external system failed or could not be reached."""


class KeyValueUnavailableError(PortError):
    """The key-value service refused a call or was unreachable; nothing was written."""

    exit_code = 5
    code = ResultCode.KEY_VALUE_UNAVAILABLE


class LeaseLapsedError(KeyValueUnavailableError):
    """A write referred to an expired lease; nothing was written."""


class KeyValueOutcomeUnknownError(PortError):
    """The reply to a write was lost; the write may or may not have taken effect."""

    exit_code = 5
    code = ResultCode.OUTCOME_UNKNOWN


class NotReachedError(PortError):
    """The upstream did not receive the call, which was certainly not executed."""

    code = ResultCode.NOT_HANDED_OVER


class ReplyLostError(PortError):
    """The upstream's reply was lost; the call may have been executed."""

    code = ResultCode.OUTCOME_UNKNOWN


class ConnectionLostError(ReplyLostError):
    """The connection ended before the upstream's reply was complete."""


class OrderRefusedError(PortError):
    """The engine refused an order because of its fencing token or its own state."""


class RequestError(BergamotmastError):
    """A request ended without its complete response.

    :param code: result code.
    :param detail: error message for this occurrence; the code's description if empty.
    :param retry_after: seconds after which the caller may retry; ``None`` for the
        default of retryable codes.
    """

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after: float | None = None
    ) -> None:
        super().__init__(detail or CODE_INFO[code].description)
        self.code = code
        if retry_after is None and CODE_INFO[code].retryable:
            retry_after = DEFAULT_RETRY_AFTER_SECONDS
        self.retry_after = retry_after

    @property
    def info(self) -> CodeInfo:
        """Properties of this error's result code."""
        return CODE_INFO[self.code]
