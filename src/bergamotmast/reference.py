"""Generator of the reference pages of settings and result codes.

``python -m bergamotmast.reference docs`` writes them. A test fails if a committed page
is out of date.
"""

from __future__ import annotations

import pathlib
import sys

from .errors import CODE_INFO
from .errors import ResultCode
from .settings import AnySettings
from .settings import Declaration
from .settings import DirectEntrySettings
from .settings import EntrySettings
from .settings import KeyValueSettings
from .settings import QuarantineSettings
from .settings import SideSettings
from .settings import declarations

_RANGES = (
    (100, "The request is wrong"),
    (200, "Turned away under load"),
    (300, "Not run, for the state of the fleet"),
    (400, "Ran"),
    (500, "Unknown outcome"),
    (600, "Configuration"),
    (700, "Start"),
    (900, "Faults of ours"),
)

_SETTINGS_INTRO = """\
# Settings

<!-- Written by python -m bergamotmast.reference; edit the code, not this page. -->

A flag overrides its environment variable, which overrides the default. Every value is
validated at start; an error names the flag or variable, the value and what is allowed.
"""

_CODES_INTRO = """\
# Result codes

<!-- Written by python -m bergamotmast.reference; edit the code, not this page. -->

Every error body carries one of these numbers and what the caller may conclude about
the execution of its request:

- **not run**: it was not run and will not be run;
- **ran**: an upstream began to run it;
- **unknown**: it may have run, or may still be running.

*Retry* says whether the same request may succeed later; with "not run" it may be sent
again without running twice.
"""


def settings_page() -> str:
    """Return the reference page of all settings, in Markdown."""
    sections: tuple[tuple[str, type[AnySettings]], ...] = (
        ("`bergamotmast entry`", EntrySettings),
        ("`bergamotmast side`", SideSettings),
        ("`bergamotmast direct`", DirectEntrySettings),
        ("`bergamotmast config`", KeyValueSettings),
        ("`bergamotmast quarantine`", QuarantineSettings),
    )
    parts = [_SETTINGS_INTRO]
    for title, settings in sections:
        parts.append(f"\n## {title}\n")
        parts.extend(_settings_tables(settings))
    return "".join(parts)


def result_codes_page() -> str:
    """Return the reference page of all result codes, in Markdown."""
    parts = [_CODES_INTRO]
    for first, title in _RANGES:
        codes = [code for code in ResultCode if first <= code < first + 100]
        parts.append(f"\n## {first}: {title}\n\n")
        parts.append("| code | name | outcome | HTTP | retry | meaning |\n")
        parts.append("|---|---|---|---|---|---|\n")
        parts.extend(_code_row(code) for code in codes)
    return "".join(parts)


PAGES = {"settings.md": settings_page, "result-codes.md": result_codes_page}
"""Function that returns each page, by its path below ``docs``."""


def main(directory: pathlib.Path) -> None:
    """Write all pages to a directory."""
    for name, page in PAGES.items():
        (directory / name).write_text(page())


def _settings_tables(settings: type[AnySettings]) -> list[str]:
    lines: list[str] = []
    group = ""
    for declaration in declarations(settings):
        if declaration.group != group:
            group = declaration.group
            lines.append(f"\n### {group}\n\n")
            lines.append("| flag | variable | default | allowed | description |\n")
            lines.append("|---|---|---|---|---|\n")
        lines.append(_setting_row(declaration))
    return lines


def _setting_row(declaration: Declaration) -> str:
    default = declaration.default_text
    shown = "*required*" if declaration.default is None else f"`{default}`"
    cells = (
        f"`{declaration.flag}`",
        f"`{declaration.variable}`",
        shown if default else "",
        declaration.kind.allowed,
        declaration.help,
    )
    return f"| {' | '.join(cells)} |\n"


def _code_row(code: ResultCode) -> str:
    info = CODE_INFO[code]
    cells = (
        str(int(code)),
        f"`{code.name.lower()}`",
        info.outcome.value.replace("_", " "),
        str(info.status),
        "yes" if info.retryable else "no",
        info.description,
    )
    return f"| {' | '.join(cells)} |\n"


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
