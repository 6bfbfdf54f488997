"""What entries and sides measure, whoever collects it."""

from __future__ import annotations

import typing as t

from .errors import ResultCode
from .model import SideReport
from .policy.size_classes import SizeClass


class Telemetry(t.Protocol):
    """Takes measurements; every duration is in seconds."""

    def on_first_token(self, tenant: str, request_class: str, seconds: float) -> None:
        """Take the time from a request's arrival to its first token."""
        ...

    def on_between_tokens(
        self, request_class: str, seconds: float, tokens: int
    ) -> None:
        """Take the time to each of so many tokens that came as one chunk."""
        ...

    def on_ended(
        self, tenant: str, request_class: str, code: ResultCode, seconds: float
    ) -> None:
        """Take a request's end and its whole time."""
        ...

    def on_sized_end(
        self, request_class: str, size_class: SizeClass, code: ResultCode
    ) -> None:
        """Take the end of a request with a prompt of some size."""
        ...

    def on_queue_wait(self, tenant: str, request_class: str, seconds: float) -> None:
        """Take the time that a request waited at a side."""
        ...

    def on_generation(self, generation: int) -> None:
        """Take the configuration generation in force."""
        ...

    def on_report(self, report: SideReport) -> None:
        """Take a side's state."""
        ...

    def on_unknown_message(self) -> None:
        """Take a message that only a later protocol version knows."""
        ...

    def on_second_send(self, group: str, *, allowed: bool) -> None:
        """Take a second send to a group, or one that the retry budget refused."""
        ...


class NullTelemetry:
    """Measures nothing."""

    def on_first_token(self, tenant: str, request_class: str, seconds: float) -> None:
        """Drop it."""

    def on_between_tokens(
        self, request_class: str, seconds: float, tokens: int
    ) -> None:
        """Drop it."""

    def on_ended(
        self, tenant: str, request_class: str, code: ResultCode, seconds: float
    ) -> None:
        """Drop it."""

    def on_sized_end(
        self, request_class: str, size_class: SizeClass, code: ResultCode
    ) -> None:
        """Drop it."""

    def on_queue_wait(self, tenant: str, request_class: str, seconds: float) -> None:
        """Drop it."""

    def on_generation(self, generation: int) -> None:
        """Drop it."""

    def on_report(self, report: SideReport) -> None:
        """Drop it."""

    def on_unknown_message(self) -> None:
        """Drop it."""

    def on_second_send(self, group: str, *, allowed: bool) -> None:
        """Drop it."""
