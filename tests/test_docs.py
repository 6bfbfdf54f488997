"""Hand-written pages match the code: links, tests, command lines, logs and metrics."""

from __future__ import annotations

import ast
import pathlib
import re
import shlex

import msgspec
import pytest

from bergamotmast.adapters.metrics import OpenTelemetryMetrics
from bergamotmast.cli import build_parser
from bergamotmast.errors import ResultCode
from bergamotmast.model import Readiness
from bergamotmast.model import SideReport
from bergamotmast.settings import EntrySettings
from bergamotmast.settings import SideSettings
from bergamotmast.settings import load_settings
from bergamotmast.standins.run import StandInOptions

ROOT = pathlib.Path(__file__).parents[1]
README = ROOT / "README.md"
PROMISES = ROOT / "docs/operators/promises.md"
PAGES = [README, ROOT / "CHANGES.md", *sorted((ROOT / "docs").rglob("*.md"))]

LINK = re.compile(r"\]\(([^)\s]+)\)")
FENCED = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
TEST_NAME = re.compile(r"\btest_\w+")
TEST_DEFINED = re.compile(r"^(?:async )?def (test_\w+)", re.MULTILINE)


def links(page):
    found = LINK.findall(page.read_text())
    return [link for link in found if "://" not in link]


def anchor(heading):
    words = re.sub(r"[^\w\s-]", "", heading.lower()).strip()
    return re.sub(r"\s", "-", words)


def anchors(page):
    headings = re.findall(r"^#+ (.+)$", page.read_text(), re.MULTILINE)
    return {anchor(heading) for heading in headings}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_relative_links_resolve(page):
    for link in links(page):
        path, _, fragment = link.partition("#")
        target = (page.parent / path).resolve() if path else page
        assert target.exists(), link
        assert target.is_relative_to(ROOT), link
        assert not fragment or fragment in anchors(target), link


def test_every_test_named_in_the_promises_exists():
    defined = {path.stem for path in (ROOT / "tests").glob("test_*.py")}
    for path in (ROOT / "tests").glob("test_*.py"):
        defined.update(TEST_DEFINED.findall(path.read_text()))
    named = set(TEST_NAME.findall(PROMISES.read_text()))
    assert len(named) > 20
    assert named - defined == set()


def command_lines():
    """Return the words of each command in the README's blocks, split as by a shell."""
    commands = []
    for block in FENCED.findall(README.read_text()):
        pending = ""
        for line in block.splitlines():
            pending += line.removesuffix("\\") if line.endswith("\\") else line + "\n"
            if line.endswith("\\"):
                continue
            try:
                commands.append(shlex.split(pending, comments=True))
            except ValueError:
                continue  # A quoted text continues in the next line.
            pending = ""
        assert not pending, pending
    return [words for words in commands if words]


def exported():
    given = [words[1] for words in command_lines() if words[0] == "export"]
    return dict(word.split("=", 1) for word in given)


def own_commands():
    for words in command_lines():
        if words[0] == "bergamotmast":
            yield [word for word in words[1:] if word != "&"]


@pytest.mark.parametrize("argv", list(own_commands()), ids=" ".join)
def test_command_lines_of_the_readme_are_valid(argv):
    arguments = build_parser(argv).parse_args(argv)
    match argv[0]:
        case "entry":
            load_settings(EntrySettings, arguments, exported())
        case "side":
            load_settings(SideSettings, arguments, exported())
        case "standin":
            msgspec.json.decode(arguments.options, type=StandInOptions)
        case "config":
            for path in [
                *getattr(arguments, "files", []),
                arguments.__dict__.get("file"),
            ]:
                assert path is None or (ROOT / path).exists()


def test_the_readme_shows_each_kind_of_process():
    shown = {argv[0] for argv in own_commands()}
    assert shown >= {"standin", "side", "entry", "config", "status"}


LOG_ROW = re.compile(r"^\| log[^|]*\|", re.MULTILINE)
QUOTED = re.compile(r"`([^`]+)`")
CONVERSION = re.compile(r"%[.\d]*[a-z]")


def strings_of_the_code():
    """Yield every string in the code, with its format conversions replaced by dots."""
    for path in (ROOT / "src").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                yield CONVERSION.sub("…", node.value)


def test_log_lines_in_operators_pages_are_in_the_code():
    written = list(strings_of_the_code())
    named = 0
    for page in sorted((ROOT / "docs/operators").glob("*.md")):
        for row in LOG_ROW.findall(page.read_text()):
            for line in QUOTED.findall(row):
                pattern = ".*".join(map(re.escape, line.split("…")))
                assert any(re.search(pattern, text) for text in written), line
                named += 1
    assert named > 10


def test_metrics_in_operators_pages_are_exposed():
    metrics = OpenTelemetryMetrics("p")
    metrics.on_first_token("t", "c", 0.1)
    metrics.on_inter_token_latency("c", 0.1, 1)
    metrics.on_ended("t", "c", ResultCode.OK, 0.1)
    metrics.on_queue_wait("t", "c", 0.1)
    metrics.on_generation(1)
    metrics.on_unknown_message()
    metrics.on_report(SideReport(Readiness.READY, None))
    exposed = metrics.exposition().decode()
    page = (ROOT / "docs/operators/failures.md").read_text()
    table = page.partition("| series |")[2].partition("\n\n")[0]
    first_cells = [row.split("|")[1] for row in table.splitlines()[2:]]
    named = [name for cell in first_cells for name in QUOTED.findall(cell)]
    assert len(named) > 8
    for name in named:
        assert f"# TYPE {name.partition('{')[0]} " in exposed, name
