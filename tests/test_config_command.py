from __future__ import annotations

import contextlib
import json
import pathlib

import pytest

from bergamotmast.cli import build_parser
from bergamotmast.cli import main
from bergamotmast.commands import config
from bergamotmast.config.store import ConfigStore
from bergamotmast.errors import ConfigError
from bergamotmast.errors import EditConflictError
from bergamotmast.errors import KeyValueUnavailableError
from bergamotmast.errors import SettingError
from bergamotmast.standins.key_value import KeyValueStandIn

FILE = """
labels:
  engine-1: {pool: main}
selectors:
  - {name: main, group: pool=main}
"""

pytestmark = pytest.mark.looptime


@pytest.fixture
def service(monkeypatch):
    service = KeyValueStandIn()

    @contextlib.asynccontextmanager
    async def open_key_value(settings):
        yield service.client("command")

    monkeypatch.setattr(config, "open_key_value", open_key_value)
    return service


@pytest.fixture
def path(tmp_path) -> str:
    path = tmp_path / "c.yaml"
    path.write_text(FILE)
    return str(path)


async def run(*words: str) -> int:
    argv = ["config", *words, "--key-value-url", "http://10.0.0.1:1"]
    arguments = build_parser(argv).parse_args(argv)
    return await arguments.action(arguments)


async def test_apply_label_show_and_history(service, path, capsys):
    await run("apply", path, "--author", "ana")
    assert "+ labels[engine-1]" in capsys.readouterr().out
    await run("label", "engine-1", "tier=new", "--author", "rui")
    assert capsys.readouterr().out == (
        '+ labels[engine-1].tier: "new"\ngeneration 2 accepted\n'
    )
    await run("show")
    shown = capsys.readouterr().out
    assert shown.startswith("generation: 2\n")
    await run("show", "--json", "--generation", "1")
    assert json.loads(capsys.readouterr().out)["generation"] == 1
    await run("history")
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[-1] for line in lines if line[0] != " "] == ["rui", "ana"]
    await run("history", "--json", "--limit", "1")
    assert json.loads(capsys.readouterr().out)["author"] == "rui"


async def test_shown_configuration_can_be_edited_and_applied(service, path, capsys):
    await run("apply", path)
    capsys.readouterr()
    await run("show")
    pathlib.Path(path).write_text(capsys.readouterr().out.replace("main", "other"))
    await run("diff", path, "--json")
    assert '"path":"labels[engine-1].pool"' in capsys.readouterr().out
    await run("apply", path)
    assert "generation 2 accepted" in capsys.readouterr().out
    with pytest.raises(EditConflictError):
        await run("apply", path)


async def test_label_that_removes_an_upstream_from_every_group_warns(
    service, path, capsys
):
    # A typo in a label takes an engine out of service. The edit is accepted, and the
    # command prints warnings at once.
    await run("apply", path)
    capsys.readouterr()
    await run("label", "engine-1", "pool=mian")
    shown = capsys.readouterr().out
    assert "warning: labels.engine-1: no selector names it" in shown
    assert "warning: selectors[0].group: 'pool=main' names no upstream" in shown


async def test_a_dry_run_changes_nothing(service, path, capsys):
    await run("apply", path, "--dry-run")
    assert "accepted" not in capsys.readouterr().out
    assert not service.store.items


async def test_file_without_a_generation_needs_an_explicit_base(service, path):
    # A file without a generation would overwrite edits made in the meantime. The
    # operator must name the edited generation, or ask for the latest to be replaced.
    await run("apply", path)
    with pytest.raises(SettingError, match="--against"):
        await run("apply", path)
    with pytest.raises(EditConflictError):
        await run("apply", path, "--against", "0")
    assert await run("apply", path, "--latest") == 0


async def test_label_edit_is_rebased_on_a_concurrent_edit(service, path, monkeypatch):
    # Another operator's edit is accepted between read and proposal. A change of one
    # upstream's labels is applied on top of it; neither edit is lost.
    await run("apply", path)
    propose = ConfigStore.propose

    async def propose_second(store, *arguments):
        monkeypatch.setattr(ConfigStore, "propose", propose)
        await run("label", "engine-2", "pool=main")
        return await propose(store, *arguments)

    monkeypatch.setattr(ConfigStore, "propose", propose_second)
    await run("label", "engine-1", "tier=new")
    current = (await ConfigStore(service.client("x")).read()).configuration
    assert current.generation == 3
    assert current.labels == {
        "engine-1": {"pool": "main", "tier": "new"},
        "engine-2": {"pool": "main"},
    }


async def test_two_files_are_compared_without_a_service(path, tmp_path, capsys):
    assert await run("diff", path, path) == 0
    assert capsys.readouterr().out == "no differences\n"


async def test_errors_of_the_service_are_shown(service, path):
    service.down = True
    with pytest.raises(KeyValueUnavailableError):
        await run("apply", path)
    service.down = False
    with pytest.raises(ConfigError, match="generation 7 is not in the history"):
        await run("show", "--generation", "7")


def test_a_command_without_a_service_names_the_flag(capsys, monkeypatch):
    monkeypatch.delenv("BERGAMOTMAST_KEY_VALUE_URL", raising=False)
    assert main(["config", "show"]) == 2
    assert "--key-value-url" in capsys.readouterr().err
